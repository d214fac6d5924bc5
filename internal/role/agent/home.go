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

// Times of the home's lease.
const (
	homeTTL    = time.Minute
	homeRenew  = 20 * time.Second
	homeCheck  = 500 * time.Millisecond
	homeMargin = 5 * time.Second
	homeFresh  = 10 * time.Second
	homeRank   = 200 * time.Millisecond
)

var errKeyVersion = eris.New("key is not a UUIDv7")

// holder names the home of a service's keys.
type holder struct {
	Agent       netip.AddrPort
	Control     netip.AddrPort
	Incarnation connid.Incarnation
	Epoch       uint64
}

// home takes part in choosing one agent of the service that decides on keys.
//
// The holder keeps a key in the store under a lease. Its right to accept a key
// ends on its own clock before the lease can lapse in the store.
type home struct {
	a *Agent

	mu        sync.Mutex
	known     holder
	heardAt   time.Time
	askedAt   time.Time
	lease     store.LeaseID
	renewedAt time.Time
	term      idempotency.Term
	leaving   bool
}

func newHome(a *Agent) *home { return &home{a: a} }

// wanted reports whether the contract has submissions that run at most once.
func (h *home) wanted() (contract.ServiceNumber, bool) {
	p := h.a.policy.Load()
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

func (h *home) loop() {
	t := time.NewTicker(homeCheck)
	defer t.Stop()
	for {
		select {
		case <-h.a.ctx.Done():
			return
		case <-t.C:
		}
		if n, ok := h.wanted(); ok {
			h.step(n)
		}
	}
}

func (h *home) step(n contract.ServiceNumber) {
	h.mu.Lock()
	mine, renewed := h.lease != 0, h.renewedAt
	fresh := time.Since(h.heardAt) < homeFresh
	leaving := h.leaving
	h.mu.Unlock()
	switch {
	case mine && h.a.ClockOffset().Abs() > idempotency.MaxClockSkew/2:
		h.a.Error("ClockWrong", "Offset", h.a.ClockOffset())
		h.giveUp(false)
	case mine && time.Since(renewed) >= homeRenew:
		h.renew()
	case !mine && !fresh && !leaving && h.a.ClockOffset().Abs() <= idempotency.MaxClockSkew/2:
		if err := h.find(n); err != nil {
			h.a.Debug("HomeUnknown", "Reason", err)
		}
	}
}

func (h *home) renew() {
	h.mu.Lock()
	lease := h.lease
	h.mu.Unlock()
	sent := time.Now()
	err := h.a.Store.KeepAlive(h.a.ctx, lease)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lease != lease {
		return
	}
	switch {
	case err == nil:
		h.renewedAt, h.heardAt = sent, sent
		h.term.ValidTo = sent.Add(homeTTL - homeMargin)
	case errors.Is(err, store.ErrLeaseExpired) || time.Now().After(h.term.ValidTo):
		h.lease = 0
		h.known = holder{}
		h.a.Warn("HomeLost", "Reason", err)
	}
}

func holderKey(n contract.ServiceNumber) store.Key {
	return store.HomePrefix + store.Key(strconv.Itoa(int(n))) + "/holder"
}

func termKey(n contract.ServiceNumber) store.Key {
	return store.HomePrefix + store.Key(strconv.Itoa(int(n))) + "/term"
}

// find learns the holder from the store, or becomes it.
func (h *home) find(n contract.ServiceNumber) error {
	held, err := h.lookUp(n)
	if err != nil || held {
		return err
	}
	time.Sleep(h.rank())
	return h.acquire(n)
}

// lookUp reads the holder from the store and reports whether there is one.
func (h *home) lookUp(n contract.ServiceNumber) (held bool, err error) {
	kv, err := h.a.Store.Get(h.a.ctx, holderKey(n))
	if err != nil || kv.Revision == 0 {
		return false, err
	}
	var v holder
	if err := json.Unmarshal(kv.Value, &v); err != nil {
		return true, err
	}
	// An earlier life of this process cannot be asked; its lease must lapse first.
	if self := h.a.Self(); v.Agent != self.Address || v.Incarnation == self.Incarnation {
		h.heard(v.Control, v.Epoch)
	}
	return true, nil
}

// forRequest returns the home for a request. One that is not known is looked up
// at once, but not more often than homeCheck.
func (h *home) forRequest() (v holder, mine bool) {
	v, mine = h.current()
	if mine || v.Control.IsValid() {
		return v, mine
	}
	h.mu.Lock()
	due := time.Since(h.askedAt) >= homeCheck
	if due {
		h.askedAt = time.Now()
	}
	h.mu.Unlock()
	if n, ok := h.wanted(); ok && due {
		if _, err := h.lookUp(n); err != nil {
			h.a.Debug("HomeUnknown", "Reason", err)
		}
	}
	return h.current()
}

// rank spreads the agents of a group, so that they do not all try at once.
func (h *home) rank() time.Duration {
	self := h.a.Self()
	h.a.peers.mu.Lock()
	defer h.a.peers.mu.Unlock()
	before := 0
	for p := range h.a.peers.control {
		if p.Compare(self.Address) < 0 {
			before++
		}
	}
	return min(time.Duration(before)*homeRank, homeTTL)
}

func (h *home) acquire(n contract.ServiceNumber) error {
	st, ctx := h.a.Store, h.a.ctx
	term, err := st.Get(ctx, termKey(n))
	if err != nil {
		return err
	}
	sent := time.Now()
	lease, err := st.Grant(ctx, homeTTL)
	if err != nil {
		return err
	}
	self := h.a.Self()
	v := holder{self.Address, self.Control, self.Incarnation, uint64(term.Revision) + 1}
	value, err := json.Marshal(v)
	if err != nil {
		return err
	}
	conditions := []store.Compare{{Key: holderKey(n)}, {Key: termKey(n), Revision: term.Revision}}
	puts := []store.Put{{Key: holderKey(n), Value: value, Lease: lease}, {Key: termKey(n), Value: value}}
	// A lost answer is settled by trying once more: the conditions hold at most once.
	_, ok, err := st.Commit(ctx, conditions, puts)
	if errors.Is(err, store.ErrOutcomeUnknown) {
		ok, err = h.settle(n, value)
	}
	if err != nil || !ok {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.known, h.lease = v, lease
	h.renewedAt, h.heardAt = sent, sent
	h.term = idempotency.Term{Since: time.Now(), First: term.Revision == 0, ValidTo: sent.Add(homeTTL - homeMargin)}
	h.a.Info("HomeTaken", "Service", n, "Epoch", v.Epoch, "First", h.term.First)
	return nil
}

// settle finds out whether a commit whose answer was lost took effect.
func (h *home) settle(n contract.ServiceNumber, value []byte) (bool, error) {
	kv, err := h.a.Store.Get(h.a.ctx, holderKey(n))
	return err == nil && string(kv.Value) == string(value), err
}

// heard takes in what a peer or the store says about the holder.
func (h *home) heard(control netip.AddrPort, epoch uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !control.IsValid() || epoch < h.known.Epoch || h.lease != 0 {
		return
	}
	h.known.Control, h.known.Epoch = control, epoch
	h.heardAt = time.Now()
}

// holder returns the home as far as it is known, for peers. Only a holder or a
// read of the store makes it fresh, so that hearsay does not keep it alive.
func (h *home) holder() holder {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lease == 0 {
		return holder{}
	}
	return h.known
}

// current returns the home and whether it is this agent.
func (h *home) current() (holder, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.known, h.lease != 0
}

// IsKeyLeader reports whether this agent decides on the keys of its service.
func (a *Agent) IsKeyLeader() bool {
	_, mine := a.home.current()
	return mine
}

// suspect makes the agent ask the store for the home again.
func (h *home) suspect(v holder) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.known == v {
		h.heardAt = time.Time{}
	}
}

// judge decides about a key that the ledger does not hold.
func (h *home) judge(made time.Time) (reply, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lease == 0 || h.a.ClockOffset().Abs() > idempotency.MaxClockSkew/2 {
		return notHome(), false
	}
	switch h.term.CheckKey(made, time.Now()) {
	case idempotency.KeyAccepted:
		return reply{}, true
	case idempotency.KeyTermEnded:
		return notHome(), false
	case idempotency.KeyTooNew:
		return reply{outcome: outcome.NotRun, status: http.StatusServiceUnavailable, reason: "KeyFromFuture", retryAfter: idempotency.MaxKeyLead}, false
	}
	return unknown("KeyForgotten"), false
}

func notHome() reply {
	r := unknown("NotHome")
	r.status, r.retryAfter = http.StatusServiceUnavailable, time.Second
	return r
}

// release gives the home up before a planned stop.
func (h *home) release() { h.giveUp(true) }

func (h *home) giveUp(leaving bool) {
	h.mu.Lock()
	lease := h.lease
	h.lease, h.known, h.leaving = 0, holder{}, leaving
	h.mu.Unlock()
	if lease == 0 {
		return
	}
	if err := h.a.Store.Revoke(h.a.ctx, lease); err != nil {
		h.a.Warn("HomeNotReleased", "Reason", err)
	}
}
