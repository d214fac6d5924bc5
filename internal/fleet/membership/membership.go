// Package membership keeps a process's view of the fleet.
//
// No list of upstreams is configured: every process announces itself with a
// record. The record with the higher incarnation and then the higher sequence
// supersedes the other. A balancer marks a member that it watches as suspect if
// heartbeats are missing; the member refutes this with a higher sequence. A
// suspect member gets no new flows, but established flows continue, since they do
// not depend on the view.
//
// # Usage
//
//	v := membership.New(self)
//	v.Merge(now, record)
//	records := v.NextGossip(limit, fanout)
//	for _, m := range v.Expire(now) {
//		log(m)
//	}
//
// The package does no I/O. A View is not safe for concurrent use.
package membership

import (
	"math"
	"net/netip"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/customer/contract"
	"github.com/jaytack/jaytack/internal/flow/connid"
	"github.com/jaytack/jaytack/internal/flow/placement"
)

type (
	// Role is the kind of a process: balancer or agent.
	Role uint8
	// State is the lifecycle state that a member announces.
	State uint8
	// Sequence orders the records of one incarnation.
	Sequence uint64
)

// Roles.
const (
	Balancer Role = iota + 1
	Agent
)

// States.
const (
	Ready State = iota + 1
	Draining
	Left
)

var stateNames = map[State]string{Ready: "Ready", Draining: "Draining", Left: "Left"}

// String returns the name of the state.
func (s State) String() string { return stateNames[s] }

// String returns the name of the role.
func (r Role) String() string {
	if r == Balancer {
		return "Balancer"
	}
	return "Agent"
}

// Member is the record of one process.
type Member struct {
	Address     netip.AddrPort
	Control     netip.AddrPort
	Role        Role
	Service     contract.ServiceNumber
	DataCentre  contract.DataCentre
	Incarnation connid.Incarnation
	Sequence    Sequence
	State       State
	Weight      placement.Weight
	Suspect     bool
}

// Supersedes reports whether m replaces old. At the same incarnation and
// sequence, a suspect record replaces one that is not.
func (m Member) Supersedes(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	if m.Sequence != old.Sequence {
		return m.Sequence > old.Sequence
	}
	return m.Suspect && !old.Suspect
}

// IsLive reports whether the member is ready and not suspect.
func (m Member) IsLive() bool {
	return m.State == Ready && !m.Suspect
}

func (m Member) hash() uint64 {
	b := make([]byte, 0, 32)
	a := m.Address.Addr().As4()
	b = append(b, a[:]...)
	b = appendUint(b, uint64(m.Address.Port()))
	b = appendUint(b, uint64(m.Incarnation))
	b = appendUint(b, uint64(m.Sequence))
	return xxhash.Sum64(b)
}

func appendUint(b []byte, v uint64) []byte {
	for range 8 {
		b = append(b, byte(v))
		v >>= 8
	}
	return b
}

// Times and sizes of the protocol.
const (
	// suspectAfterTenths is the time without a heartbeat after which a watcher
	// suspects a member, in tenths of the heartbeat interval.
	suspectAfterTenths = 35
	// RecordRetention is how long the record of a member that is not live is kept.
	RecordRetention = 10 * time.Minute
	// ConvergenceTime is how long balancers may disagree about a change.
	ConvergenceTime = 3 * time.Second
	// BucketCount is the number of buckets in which two balancers compare their views.
	BucketCount = 64
)

type record struct {
	Member
	changedAt instant.Instant
	// remainingSends is the number of gossip messages that will carry the record.
	remainingSends int
}

type heartbeatStatus struct {
	receivedAt instant.Instant
	interval   time.Duration
}

// View is one process's view of the fleet.
type View struct {
	self             netip.AddrPort
	members          map[netip.AddrPort]*record
	watched          map[netip.AddrPort]heartbeatStatus
	balancers        []netip.AddrPort
	serviceChangedAt map[contract.ServiceNumber]instant.Instant
	groups           map[contract.ServiceNumber]map[netip.AddrPort]*record
	gossipQueue      map[netip.AddrPort]*record
	digest           uint64
	bucketHashes     [BucketCount]uint64
}

// New returns an empty view of the process at address self.
func New(self netip.AddrPort) *View {
	return &View{
		self:             self,
		members:          make(map[netip.AddrPort]*record),
		watched:          make(map[netip.AddrPort]heartbeatStatus),
		serviceChangedAt: make(map[contract.ServiceNumber]instant.Instant),
		groups:           make(map[contract.ServiceNumber]map[netip.AddrPort]*record),
		gossipQueue:      make(map[netip.AddrPort]*record),
	}
}

// Merge stores a record if it is unknown or supersedes the stored one. It reports
// whether the record was stored.
func (v *View) Merge(now instant.Instant, m Member) bool {
	r := v.members[m.Address]
	if r != nil && !m.Supersedes(r.Member) {
		return false
	}
	if r == nil {
		r = &record{}
		v.members[m.Address] = r
	} else {
		v.toggleDigests(r.Member)
	}
	v.recordServiceChange(now, r.Member, m)
	r.Member = m
	r.changedAt = now
	v.toggleDigests(m)
	v.indexRecord(r)
	v.queueGossip(r)
	return true
}

// toggleDigests adds a live record to the digests, or removes it if included.
func (v *View) toggleDigests(m Member) {
	if !m.IsLive() {
		return
	}
	h := m.hash()
	v.digest ^= h
	v.bucketHashes[bucketIndex(m.Address)] ^= h
}

func bucketIndex(a netip.AddrPort) int {
	b, _ := a.MarshalBinary()
	return int(xxhash.Sum64(b) % BucketCount)
}

func (v *View) recordServiceChange(now instant.Instant, old, m Member) {
	if old.IsLive() == m.IsLive() && old.Weight == m.Weight && old.Service == m.Service {
		return
	}
	v.serviceChangedAt[m.Service] = now
	if old.Service != m.Service {
		v.serviceChangedAt[old.Service] = now
		delete(v.groups[old.Service], m.Address)
	}
}

func (v *View) indexRecord(r *record) {
	group := v.groups[r.Service]
	if group == nil {
		group = make(map[netip.AddrPort]*record)
		v.groups[r.Service] = group
	}
	group[r.Address] = r
	if r.Role == Balancer {
		v.rebuildBalancers()
	}
}

func (v *View) rebuildBalancers() {
	v.balancers = v.balancers[:0]
	for a, r := range v.groups[0] {
		if r.Role == Balancer && r.IsLive() && a != v.self {
			v.balancers = append(v.balancers, a)
		}
	}
	sort.Slice(v.balancers, func(i, j int) bool { return v.balancers[i].Compare(v.balancers[j]) < 0 })
}

// extraGossipSends is added to the logarithm of the number of balancers. With it,
// gossip misses less than one balancer in fifty, which anti-entropy then updates.
const extraGossipSends = 5

// GossipSends returns how often a process sends a change by gossip, so that it
// reaches nearly every balancer.
func (v *View) GossipSends() int {
	return int(math.Ceil(math.Log(float64(len(v.balancers)+1)))) + extraGossipSends
}

// queueGossip queues the record for gossip.
func (v *View) queueGossip(r *record) {
	r.remainingSends = v.GossipSends()
	v.gossipQueue[r.Address] = r
}

// NextGossip returns up to limit records to send to each of fanout peers.
//
// Records with the most remaining sends come first.
func (v *View) NextGossip(limit, fanout int) []Member {
	if len(v.gossipQueue) == 0 {
		return nil
	}
	records := make([]*record, 0, len(v.gossipQueue))
	for _, r := range v.gossipQueue {
		records = append(records, r)
	}
	sort.Slice(records, func(i, j int) bool {
		if records[i].remainingSends != records[j].remainingSends {
			return records[i].remainingSends > records[j].remainingSends
		}
		return records[i].Address.Compare(records[j].Address) < 0
	})
	out := make([]Member, 0, min(limit, len(records)))
	for _, r := range records[:min(limit, len(records))] {
		out = append(out, r.Member)
		r.remainingSends -= fanout
		if r.remainingSends <= 0 {
			delete(v.gossipQueue, r.Address)
		}
	}
	return out
}

// RecordHeartbeat records a heartbeat of a member whose record has been merged.
func (v *View) RecordHeartbeat(now instant.Instant, a netip.AddrPort, interval time.Duration) {
	v.watched[a] = heartbeatStatus{now, interval}
}

// StopWatching ends failure detection for a member that has left this watcher.
func (v *View) StopWatching(a netip.AddrPort) { delete(v.watched, a) }

// WatchedCount returns the number of members whose heartbeats this process receives.
func (v *View) WatchedCount() int { return len(v.watched) }

// Expire marks watched members without heartbeats as suspect and removes records
// after RecordRetention. It returns the members that became suspect.
func (v *View) Expire(now instant.Instant) []Member {
	var suspected []Member
	for a, w := range v.watched {
		r := v.members[a]
		if r == nil || r.State == Left {
			delete(v.watched, a)
			continue
		}
		if now.Sub(w.receivedAt) < w.interval*suspectAfterTenths/10 {
			continue
		}
		delete(v.watched, a)
		m := r.Member
		m.Suspect = true
		if v.Merge(now, m) {
			suspected = append(suspected, m)
		}
	}
	for a, r := range v.members {
		if !r.IsLive() && now.Sub(r.changedAt) > RecordRetention {
			v.remove(a, r)
		}
	}
	return suspected
}

func (v *View) remove(a netip.AddrPort, r *record) {
	delete(v.members, a)
	delete(v.gossipQueue, a)
	delete(v.groups[r.Service], a)
	if len(v.groups[r.Service]) == 0 {
		delete(v.groups, r.Service)
		delete(v.serviceChangedAt, r.Service)
	}
}

// Member returns the record of the process at a.
func (v *View) Member(a netip.AddrPort) (Member, bool) {
	r := v.members[a]
	if r == nil {
		return Member{}, false
	}
	return r.Member, true
}
