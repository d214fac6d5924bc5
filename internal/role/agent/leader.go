package agent

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jaytack/jaytack/internal/customer/contract"
	"github.com/jaytack/jaytack/internal/flow/connid"
	"github.com/jaytack/jaytack/internal/process/store"
	"github.com/jaytack/jaytack/internal/request/idempotency"
	"github.com/jaytack/jaytack/internal/request/outcome"
)

// Durations of the leader's lease and of the election.
const (
	leaseTTL            = time.Minute
	leaseRenewInterval  = 20 * time.Second
	leaderCheckInterval = 500 * time.Millisecond
	leaseMargin         = 5 * time.Second
	leaderConfirmedFor  = 10 * time.Second // since confirmedAt
	acquireStagger      = 200 * time.Millisecond
)

var (
	errKeyVersion = eris.New("key is not a UUIDv7")
	errRecordLost = eris.New("the store does not have the record of this leader")
)

// leaderRecord is the leader as it is stored, in JSON.
type leaderRecord struct {
	Agent       netip.AddrPort
	Control     netip.AddrPort
	Incarnation connid.Incarnation
	// Epoch orders the leaders of a service. It rises with time, not with the store's
	// revision, which may go back when the store is restored.
	Epoch uint64
}

// nextEpoch returns the epoch of a leader that follows the one with the given epoch.
func nextEpoch(before uint64, now time.Time) uint64 { return max(before+1, uint64(now.UnixMicro())) }

// leaderElection elects the agent of a service that deduplicates submissions by
// idempotency key. Logs, the wire protocol and the store call the leader the home.
//
// The leader's record in the store has a lease. The leader accepts keys until its
// term ends on its own clock, which is before the lease can expire in the store.
type leaderElection struct {
	a *Agent

	mu     sync.Mutex
	leader leaderRecord
	// confirmedAt is when the leader, the store or a renewal last confirmed leader.
	confirmedAt time.Time
	// lookedUpAt is when leaderForRequest last read the leader from the store.
	lookedUpAt time.Time
	lease      store.LeaseID
	renewedAt  time.Time
	term       idempotency.Term
	leaving    bool
}

func newLeaderElection(a *Agent) *leaderElection { return &leaderElection{a: a} }

// serviceNeedingLeader returns the service's number, and reports whether the
// contract has at-most-once submissions.
func (e *leaderElection) serviceNeedingLeader() (contract.ServiceNumber, bool) {
	p := e.a.policy.Load()
	if p == nil {
		return 0, false
	}
	for _, k := range p.service.Kinds {
		if !k.Idempotent && !k.Feed {
			return p.service.Number, true
		}
	}
	return 0, false
}

func (e *leaderElection) run() {
	t := time.NewTicker(leaderCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-e.a.ctx.Done():
			return
		case <-t.C:
		}
		if n, ok := e.serviceNeedingLeader(); ok {
			e.renewOrAcquire(n)
		}
	}
}

// renewOrAcquire renews the lease of a leader, or resigns if the agent's clock is
// wrong. An agent that does not lead looks for the leader if it is not confirmed, or
// becomes the leader.
func (e *leaderElection) renewOrAcquire(n contract.ServiceNumber) {
	e.mu.Lock()
	leading, renewedAt := e.lease != 0, e.renewedAt
	confirmed := time.Since(e.confirmedAt) < leaderConfirmedFor
	leaving := e.leaving
	e.mu.Unlock()
	switch {
	case leading && e.a.ClockOffset().Abs() > idempotency.MaxClockSkew/2:
		e.a.Error("ClockWrong", "Offset", e.a.ClockOffset())
		e.resign(false)
	case leading && time.Since(renewedAt) >= leaseRenewInterval:
		e.renew(n)
	case !leading && !confirmed && !leaving && e.a.ClockOffset().Abs() <= idempotency.MaxClockSkew/2:
		if err := e.findOrAcquire(n); err != nil {
			e.a.Debug("HomeUnknown", "Reason", err)
		}
	}
}

// renew renews the lease. The leader resigns if the lease has ended or if its record is not in
// the store: a restored store may have lost the record and given the lease to another process.
func (e *leaderElection) renew(n contract.ServiceNumber) {
	e.mu.Lock()
	lease, own := e.lease, e.leader
	e.mu.Unlock()
	sent := time.Now()
	err := e.a.Store.KeepAlive(e.a.ctx, lease)
	if err == nil {
		err = e.checkRecord(n, own)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lease != lease {
		return
	}
	switch {
	case err == nil:
		e.renewedAt, e.confirmedAt = sent, sent
		e.term.ValidTo = sent.Add(leaseTTL - leaseMargin)
	case errors.Is(err, store.ErrLeaseExpired) || errors.Is(err, errRecordLost) || time.Now().After(e.term.ValidTo):
		e.lease = 0
		e.leader = leaderRecord{}
		e.a.Warn("HomeLost", "Reason", err)
	}
}

// checkRecord fails with errRecordLost if the stored leader is not own.
func (e *leaderElection) checkRecord(n contract.ServiceNumber, own leaderRecord) error {
	kv, err := e.a.Store.Get(e.a.ctx, leaderStoreKey(n))
	if err != nil {
		return err
	}
	var v leaderRecord
	if kv.Revision == 0 || json.Unmarshal(kv.Value, &v) != nil || v != own {
		return errRecordLost
	}
	return nil
}

func leaderStoreKey(n contract.ServiceNumber) store.Key {
	return store.HomePrefix + store.Key(strconv.Itoa(int(n))) + "/holder"
}

func termStoreKey(n contract.ServiceNumber) store.Key {
	return store.HomePrefix + store.Key(strconv.Itoa(int(n))) + "/term"
}

// findOrAcquire reads the leader from the store and, if there is none, tries to become
// the leader.
func (e *leaderElection) findOrAcquire(n contract.ServiceNumber) error {
	found, err := e.readLeader(n)
	if err != nil || found {
		return err
	}
	time.Sleep(e.acquireDelay())
	return e.acquire(n)
}

// readLeader reads the leader from the store and reports whether there is one.
func (e *leaderElection) readLeader(n contract.ServiceNumber) (found bool, err error) {
	kv, err := e.a.Store.Get(e.a.ctx, leaderStoreKey(n))
	if err != nil || kv.Revision == 0 {
		return false, err
	}
	var v leaderRecord
	if err := json.Unmarshal(kv.Value, &v); err != nil {
		return true, err
	}
	// An earlier incarnation of this agent no longer runs, so its record is ignored.
	// No leader is elected until its lease expires.
	if self := e.a.Self(); v.Agent != self.Address || v.Incarnation == self.Incarnation {
		e.observe(v.Control, v.Epoch)
	}
	return true, nil
}

// leaderForRequest returns the leader for a request and whether it is this agent.
// An unknown leader is read from the store, at most once per leaderCheckInterval.
func (e *leaderElection) leaderForRequest() (v leaderRecord, leading bool) {
	v, leading = e.current()
	if leading || v.Control.IsValid() {
		return v, leading
	}
	e.mu.Lock()
	due := time.Since(e.lookedUpAt) >= leaderCheckInterval
	if due {
		e.lookedUpAt = time.Now()
	}
	e.mu.Unlock()
	if n, ok := e.serviceNeedingLeader(); ok && due {
		if _, err := e.readLeader(n); err != nil {
			e.a.Debug("HomeUnknown", "Reason", err)
		}
	}
	return e.current()
}

// acquireDelay staggers the agents of a service by address, so that they do not
// all try to acquire the lease at once.
func (e *leaderElection) acquireDelay() time.Duration {
	self := e.a.Self()
	e.a.peers.mu.Lock()
	defer e.a.peers.mu.Unlock()
	before := 0
	for p := range e.a.peers.controlAddr {
		if p.Compare(self.Address) < 0 {
			before++
		}
	}
	return min(time.Duration(before)*acquireStagger, leaseTTL)
}

func (e *leaderElection) acquire(n contract.ServiceNumber) error {
	st, ctx := e.a.Store, e.a.ctx
	term, err := st.Get(ctx, termStoreKey(n))
	if err != nil {
		return err
	}
	sent := time.Now()
	lease, err := st.Grant(ctx, leaseTTL)
	if err != nil {
		return err
	}
	var previous leaderRecord
	if term.Revision != 0 {
		if err := json.Unmarshal(term.Value, &previous); err != nil {
			return eris.Wrap(err, "stored term")
		}
	}
	self := e.a.Self()
	v := leaderRecord{self.Address, self.Control, self.Incarnation, nextEpoch(previous.Epoch, time.Now())}
	value, err := json.Marshal(v)
	if err != nil {
		return err
	}
	conditions := []store.Compare{{Key: leaderStoreKey(n)}, {Key: termStoreKey(n), Revision: term.Revision}}
	puts := []store.Put{{Key: leaderStoreKey(n), Value: value, Lease: lease}, {Key: termStoreKey(n), Value: value}}
	// If the answer is lost, the stored record shows whether the commit succeeded.
	_, ok, err := st.Commit(ctx, conditions, puts)
	if errors.Is(err, store.ErrOutcomeUnknown) {
		ok, err = e.isCommitted(n, value)
	}
	if err != nil || !ok {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leader, e.lease = v, lease
	e.renewedAt, e.confirmedAt = sent, sent
	e.term = idempotency.Term{Since: time.Now(), First: term.Revision == 0, ValidTo: sent.Add(leaseTTL - leaseMargin)}
	e.a.Info("HomeTaken", "Service", n, "Epoch", v.Epoch, "First", e.term.First)
	return nil
}

// isCommitted reports whether a commit with a lost answer took effect.
func (e *leaderElection) isCommitted(n contract.ServiceNumber, value []byte) (bool, error) {
	kv, err := e.a.Store.Get(e.a.ctx, leaderStoreKey(n))
	return err == nil && string(kv.Value) == string(value), err
}

// observe records the leader that a peer announces or the store contains. This agent stops
// leading if that one was elected later: the store has then lost this agent's record.
func (e *leaderElection) observe(control netip.AddrPort, epoch uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !control.IsValid() || epoch < e.leader.Epoch || e.lease != 0 && epoch == e.leader.Epoch {
		return
	}
	if e.lease != 0 {
		e.a.Warn("HomeLost", "Reason", "Superseded", "Epoch", e.leader.Epoch, "By", control, "ByEpoch", epoch)
		e.lease, e.leader = 0, leaderRecord{}
	}
	e.leader.Control, e.leader.Epoch = control, epoch
	e.confirmedAt = time.Now()
}

// announcement returns the record to send to peers: this agent's if it leads,
// otherwise the zero value. Agents do not relay the record of another leader, since
// that would keep confirming a leader that has stopped.
func (e *leaderElection) announcement() leaderRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lease == 0 {
		return leaderRecord{}
	}
	return e.leader
}

// current returns the leader and whether it is this agent.
func (e *leaderElection) current() (leaderRecord, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leader, e.lease != 0
}

// IsKeyLeader reports whether this agent is the leader for its service's idempotency keys.
func (a *Agent) IsKeyLeader() bool {
	_, leading := a.election.current()
	return leading
}

// invalidate makes the agent read the leader from the store at the next check, if the
// leader is still v.
func (e *leaderElection) invalidate(v leaderRecord) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leader == v {
		e.confirmedAt = time.Time{}
	}
}

// checkKey reports whether a submission whose key is not in the table may run. created
// is the timestamp in the key. If it may not run, the reply is for the caller.
func (e *leaderElection) checkKey(created time.Time) (reply, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lease == 0 || e.a.ClockOffset().Abs() > idempotency.MaxClockSkew/2 {
		return notLeaderReply(), false
	}
	switch e.term.CheckKey(created, time.Now()) {
	case idempotency.KeyAccepted:
		return reply{}, true
	case idempotency.KeyTermEnded:
		return notLeaderReply(), false
	case idempotency.KeyTooNew:
		return reply{outcome: outcome.NotRun, status: http.StatusServiceUnavailable, reason: "KeyFromFuture", retryAfter: idempotency.MaxKeyLead}, false
	}
	return unknownReply("KeyForgotten"), false
}

func notLeaderReply() reply {
	r := unknownReply("NotHome")
	r.status, r.retryAfter = http.StatusServiceUnavailable, time.Second
	return r
}

// release resigns before a planned stop.
func (e *leaderElection) release() { e.resign(true) }

// resign revokes the lease if this agent leads. leaving stops it from becoming the
// leader again.
func (e *leaderElection) resign(leaving bool) {
	e.mu.Lock()
	lease := e.lease
	e.lease, e.leader, e.leaving = 0, leaderRecord{}, leaving
	e.mu.Unlock()
	if lease == 0 {
		return
	}
	if err := e.a.Store.Revoke(e.a.ctx, lease); err != nil {
		e.a.Warn("HomeNotReleased", "Reason", err)
	}
}
