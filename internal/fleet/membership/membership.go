// Package membership keeps a process's view of the fleet.
//
// There is no list of upstreams: every process announces itself with a record
// that carries its incarnation and a sequence, and the higher pair wins. A
// balancer that watches a member and misses its heartbeats marks the record as
// suspect; the member refutes this with a higher sequence. Suspicion removes new
// work only, since established flows do not depend on the view.
//
// # Usage
//
//	v := membership.New(self)
//	v.Merge(now, record)
//	records := v.Outgoing(limit)
//	for _, m := range v.Expire(now) {
//		log(m)
//	}
//
// The package does no input or output. A View must not be shared without a lock.
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
	// Role tells balancers from agents.
	Role uint8
	// State is what a member says about itself.
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

// Member is the announcement of one process.
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

// Supersedes reports whether m is news to a process that holds old.
func (m Member) Supersedes(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	if m.Sequence != old.Sequence {
		return m.Sequence > old.Sequence
	}
	return m.Suspect && !old.Suspect
}

// IsLive reports whether the member takes new work.
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
	// missedTenths is the number of intervals without a heartbeat after which a
	// watcher suspects a member, in tenths.
	missedTenths = 35
	// ForgetAfter is how long a record that takes no work is kept.
	ForgetAfter = 10 * time.Minute
	// SettleAfter is how long balancers may disagree about a change.
	SettleAfter = 3 * time.Second
	// Buckets is the number of parts in which two balancers compare their views.
	Buckets = 64
)

type entry struct {
	Member
	changed instant.Instant
	// sends is the number of times that the record is still to be passed on.
	sends int
}

type watch struct {
	heard    instant.Instant
	interval time.Duration
}

// View is what one process knows about the fleet.
type View struct {
	self      netip.AddrPort
	members   map[netip.AddrPort]*entry
	watched   map[netip.AddrPort]watch
	balancers []netip.AddrPort
	changed   map[contract.ServiceNumber]instant.Instant
	groups    map[contract.ServiceNumber]map[netip.AddrPort]*entry
	pending   map[netip.AddrPort]*entry
	digest    uint64
	buckets   [Buckets]uint64
}

// New returns the view of the process at address self, which knows nobody.
func New(self netip.AddrPort) *View {
	return &View{
		self:    self,
		members: make(map[netip.AddrPort]*entry),
		watched: make(map[netip.AddrPort]watch),
		changed: make(map[contract.ServiceNumber]instant.Instant),
		groups:  make(map[contract.ServiceNumber]map[netip.AddrPort]*entry),
		pending: make(map[netip.AddrPort]*entry),
	}
}

// Merge takes a record in and reports whether it was news.
func (v *View) Merge(now instant.Instant, m Member) bool {
	e := v.members[m.Address]
	if e != nil && !m.Supersedes(e.Member) {
		return false
	}
	if e == nil {
		e = &entry{}
		v.members[m.Address] = e
	} else {
		v.toggle(e.Member)
	}
	v.noteChange(now, e.Member, m)
	e.Member = m
	e.changed = now
	v.toggle(m)
	v.index(e)
	v.schedule(e)
	return true
}

// toggle adds the record to the digests, or removes it.
func (v *View) toggle(m Member) {
	if !m.IsLive() {
		return
	}
	h := m.hash()
	v.digest ^= h
	v.buckets[bucketOf(m.Address)] ^= h
}

func bucketOf(a netip.AddrPort) int {
	b, _ := a.MarshalBinary()
	return int(xxhash.Sum64(b) % Buckets)
}

func (v *View) noteChange(now instant.Instant, old, m Member) {
	if old.IsLive() == m.IsLive() && old.Weight == m.Weight && old.Service == m.Service {
		return
	}
	v.changed[m.Service] = now
	if old.Service != m.Service {
		v.changed[old.Service] = now
		delete(v.groups[old.Service], m.Address)
	}
}

func (v *View) index(e *entry) {
	g := v.groups[e.Service]
	if g == nil {
		g = make(map[netip.AddrPort]*entry)
		v.groups[e.Service] = g
	}
	g[e.Address] = e
	if e.Role == Balancer {
		v.listBalancers()
	}
}

func (v *View) listBalancers() {
	v.balancers = v.balancers[:0]
	for a, e := range v.groups[0] {
		if e.Role == Balancer && e.IsLive() && a != v.self {
			v.balancers = append(v.balancers, a)
		}
	}
	sort.Slice(v.balancers, func(i, j int) bool { return v.balancers[i].Compare(v.balancers[j]) < 0 })
}

// spareSends is the number of times that news is passed on beyond the logarithm
// of the balancers. It leaves less than one balancer in fifty to anti-entropy.
const spareSends = 5

// Sends returns how often a process passes a piece of news on, so that it
// reaches nearly every balancer.
func (v *View) Sends() int {
	return int(math.Ceil(math.Log(float64(len(v.balancers)+1)))) + spareSends
}

// schedule marks the record to be passed on.
func (v *View) schedule(e *entry) {
	e.sends = v.Sends()
	v.pending[e.Address] = e
}

// Outgoing returns up to limit records to pass on to each of fanout peers.
//
// Records that were passed on least come first.
func (v *View) Outgoing(limit, fanout int) []Member {
	if len(v.pending) == 0 {
		return nil
	}
	list := make([]*entry, 0, len(v.pending))
	for _, e := range v.pending {
		list = append(list, e)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].sends != list[j].sends {
			return list[i].sends > list[j].sends
		}
		return list[i].Address.Compare(list[j].Address) < 0
	})
	out := make([]Member, 0, min(limit, len(list)))
	for _, e := range list[:min(limit, len(list))] {
		out = append(out, e.Member)
		e.sends -= fanout
		if e.sends <= 0 {
			delete(v.pending, e.Address)
		}
	}
	return out
}

// RecordHeartbeat notes a heartbeat; the member's record must have been merged before.
func (v *View) RecordHeartbeat(now instant.Instant, a netip.AddrPort, interval time.Duration) {
	v.watched[a] = watch{now, interval}
}

// Release ends the watch over a member that has chosen another watcher.
func (v *View) Release(a netip.AddrPort) { delete(v.watched, a) }

// Watched returns the number of members whose heartbeats this process receives.
func (v *View) Watched() int { return len(v.watched) }

// Expire marks watched members without heartbeats as suspect and forgets old
// records. It returns the members that became suspect.
func (v *View) Expire(now instant.Instant) []Member {
	var out []Member
	for a, w := range v.watched {
		e := v.members[a]
		if e == nil || e.State == Left {
			delete(v.watched, a)
			continue
		}
		if now.Sub(w.heard) < w.interval*missedTenths/10 {
			continue
		}
		delete(v.watched, a)
		m := e.Member
		m.Suspect = true
		if v.Merge(now, m) {
			out = append(out, m)
		}
	}
	for a, e := range v.members {
		if !e.IsLive() && now.Sub(e.changed) > ForgetAfter {
			v.forget(a, e)
		}
	}
	return out
}

func (v *View) forget(a netip.AddrPort, e *entry) {
	delete(v.members, a)
	delete(v.pending, a)
	delete(v.groups[e.Service], a)
	if len(v.groups[e.Service]) == 0 {
		delete(v.groups, e.Service)
		delete(v.changed, e.Service)
	}
}

// Member returns the record of the process at a.
func (v *View) Member(a netip.AddrPort) (Member, bool) {
	e := v.members[a]
	if e == nil {
		return Member{}, false
	}
	return e.Member, true
}
