// Package membership maintains a process's membership table of the balancers and
// agents that relay flows.
//
// A member is known from two sources: its own reports, which show at once that it
// is alive, and its record in the platform's store, which survives restarts and
// network partitions between processes. Records carry an incarnation and a
// sequence, and the higher pair wins. A member that stops reporting is suspect: it
// is avoided for new flows, but it may still hold flows until it reports that its
// upstream has left or it is removed. It is removed when neither source has
// confirmed it for ExpireAfter.
//
// # Usage
//
//	t := membership.New(self, dataCentre)
//	t.ApplyReport(now, record)
//	t.ApplyStored(now, records)
//	home, ok := t.Home(now, service, dataCentre, id.Hash())
//	for _, m := range t.Agents(service) {
//		ask(m)
//	}
//
// The package performs no I/O. A Table is not safe for concurrent use.
package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/message"
)

// Timeouts of members and of the table.
const (
	// SuspectAfter is the time without a report after which a member is suspect: ten
	// report intervals between agents of a service in one data centre, three between
	// data centres.
	SuspectAfter = 500 * time.Millisecond
	// ExpireAfter is how long a member is kept that neither reports nor is in the
	// store: 2 s for rewriting an expired store record plus one read of the store.
	ExpireAfter = 3 * time.Second
	// SettleAfter is how long live members may be missing from the store after it
	// lost records: they write them again within 2 s.
	SettleAfter = 2 * time.Second
	// maxReadGap is the time between two reads of the store above which it counts as
	// unavailable in between: longer than the interval between reads.
	maxReadGap = 2500 * time.Millisecond
	// incarnationResetAfter is the time without a report after which a report with a
	// lower incarnation is accepted: the clock of a restarted process may have been
	// set back.
	incarnationResetAfter = time.Second
)

// neverSeen is earlier than every instant of a process.
const neverSeen = instant.Instant(-1 << 62)

// Member is the latest record of one process and when the process was last confirmed.
type Member struct {
	*message.Record
	// LastReport is when the process last sent a report itself.
	LastReport instant.Instant
	// LastSeen is when its record was last read from the store or received from
	// another process.
	LastSeen instant.Instant
	// inStore is set if the last read of the store returned a record of the process.
	inStore bool
}

// ID returns the member's instance.
func (m *Member) ID() flow.IP { return flow.IP(m.Instance) }

// IsAgent reports whether the member is an agent; otherwise it is a balancer.
func (m *Member) IsAgent() bool { return m.Service != "" }

// IsSuspect reports whether the member has not reported for SuspectAfter.
func (m *Member) IsSuspect(now instant.Instant) bool { return now.Sub(m.LastReport) > SuspectAfter }

// AcceptsFlows reports whether the member reported that its upstream accepts new flows.
func (m *Member) AcceptsFlows() bool { return m.State == message.State_StateReady }

// isStaying reports whether the member is neither restarting, draining nor gone.
func (m *Member) isStaying() bool {
	return m.State != message.State_StateGone && m.State != message.State_StateRestarting && m.State != message.State_StateDraining
}

// Table is the membership table of one process.
type Table struct {
	self            flow.IP
	dataCentre      string
	members         map[flow.IP]*Member
	agentsByService map[string][]*Member
	services        []string
	balancers       []*Member
	// ChangeCount counts the changes of members and of their states.
	ChangeCount uint64
	loaded      bool
	// lastRead is when the store was last read, readableSince when the present series of
	// reads without an outage of the store began.
	lastRead, readableSince instant.Instant
	// settledAt is when all live members will have had time to write their store
	// records, 0 until that is known.
	settledAt instant.Instant
}

// New returns an empty table.
func New(self flow.IP, dataCentre string) *Table {
	return &Table{
		self: self, dataCentre: dataCentre,
		members: make(map[flow.IP]*Member), agentsByService: make(map[string][]*Member),
	}
}

// IsLoaded reports whether the store has been read since the start.
func (t *Table) IsLoaded() bool { return t.loaded }

// IsSettled reports whether the table contains all live members: the store has been
// read, and either it still held this instance's current record, so it has not lost
// the others, or all live members have had time to write theirs.
func (t *Table) IsSettled(now instant.Instant) bool { return t.loaded && now >= t.settledAt }

// MarkSettled marks the table as settled once the store has been read. It is called if
// the store still held the record of an earlier process of this instance and has not been
// restored from a copy since.
func (t *Table) MarkSettled(now instant.Instant) { t.settledAt = now }

// Member returns the member with an instance, nil if there is none.
func (t *Table) Member(id flow.IP) *Member { return t.members[id] }

// Agents returns the agents of a service, ordered by instance. The caller must not
// modify the slice.
func (t *Table) Agents(service string) []*Member { return t.agentsByService[service] }

// Services lists the services that have agents, sorted. The caller must not modify the
// slice.
func (t *Table) Services() []string { return t.services }

// Balancers returns the balancers, ordered by instance. The caller must not modify
// the slice.
func (t *Table) Balancers() []*Member { return t.balancers }

// ForEach calls f for every member, ordered by instance.
func (t *Table) ForEach(f func(*Member)) {
	for _, id := range slices.Sorted(maps.Keys(t.members)) {
		f(t.members[id])
	}
}

// Len returns the number of members.
func (t *Table) Len() int { return len(t.members) }

// supersedes reports whether rec is newer than old, by incarnation, then sequence.
func supersedes(rec, old *message.Record) bool {
	if rec.Incarnation != old.Incarnation {
		return rec.Incarnation > old.Incarnation
	}
	return rec.Sequence > old.Sequence
}

// ApplyReport applies a record sent by its own process and reports whether it was accepted.
func (t *Table) ApplyReport(now instant.Instant, rec *message.Record) bool {
	m := t.members[flow.IP(rec.Instance)]
	if m != nil && !supersedes(rec, m.Record) && (rec.Incarnation >= m.Incarnation || now.Sub(m.LastReport) < incarnationResetAfter) {
		return false
	}
	m = t.set(m, rec)
	m.LastReport = now
	return true
}

// ApplyStored applies all records of the store. Members that are missing there stay until
// ExpireAfter has passed since they were last confirmed.
func (t *Table) ApplyStored(now instant.Instant, recs []*message.Record) {
	if !t.loaded && t.settledAt == 0 {
		t.settledAt = now.Add(SettleAfter)
	}
	if !t.loaded || now.Sub(t.lastRead) > maxReadGap {
		t.readableSince = now
	}
	t.loaded, t.lastRead = true, now
	for _, m := range t.members {
		m.inStore = false
	}
	for _, rec := range recs {
		m := t.members[flow.IP(rec.Instance)]
		if m == nil || supersedes(rec, m.Record) {
			m = t.set(m, rec)
		}
		m.inStore = true
		m.LastSeen = now
	}
}

func (t *Table) set(m *Member, rec *message.Record) *Member {
	if m == nil {
		m = &Member{Record: rec, LastReport: neverSeen, LastSeen: neverSeen}
		t.members[flow.IP(rec.Instance)] = m
		t.rebuildIndex()
		return m
	}
	old := m.Record
	m.Record = rec
	if old.Service != rec.Service || old.DataCentre != rec.DataCentre {
		t.rebuildIndex()
	}
	if old.State != rec.State {
		t.ChangeCount++
	}
	return m
}

// rebuildIndex rebuilds the lists of balancers and of agents by service.
func (t *Table) rebuildIndex() {
	t.ChangeCount++
	clear(t.agentsByService)
	t.balancers = t.balancers[:0]
	for _, m := range t.members {
		if m.IsAgent() {
			t.agentsByService[m.Service] = append(t.agentsByService[m.Service], m)
		} else {
			t.balancers = append(t.balancers, m)
		}
	}
	byInstance := func(a, b *Member) int { return cmp.Compare(a.Instance, b.Instance) }
	for _, agents := range t.agentsByService {
		slices.SortFunc(agents, byInstance)
	}
	slices.SortFunc(t.balancers, byInstance)
	t.services = slices.Sorted(maps.Keys(t.agentsByService))
}

// Expire removes and returns the members that have not reported for ExpireAfter and that
// the store no longer lists ExpireAfter after their record was last seen. A member whose
// record was lost stays until the store has been readable for SettleAfter, since it has to
// write the record again. The process's own record stays.
func (t *Table) Expire(now instant.Instant) []*Member {
	if t.lastRead.Sub(t.readableSince) < SettleAfter {
		return nil
	}
	var expired []*Member
	for id, m := range t.members {
		if m.inStore || now.Sub(m.LastReport) < ExpireAfter || t.lastRead.Sub(m.LastSeen) < ExpireAfter || id == t.self {
			continue
		}
		expired = append(expired, m)
		delete(t.members, id)
	}
	if len(expired) > 0 {
		t.rebuildIndex()
	}
	return expired
}

// Home returns the home of a flow whose packets arrive in a data centre, false if the
// service has no agents. It prefers agents that are not suspect, then those that are
// staying, then those of the data centre, and among equals the highest rendezvous
// weight.
func (t *Table) Home(now instant.Instant, service, dataCentre string, hash uint64) (flow.IP, bool) {
	var best flow.IP
	bestRank, bestWeight := -1, uint64(0)
	for _, m := range t.agentsByService[service] {
		rank := t.rank(now, m, dataCentre)
		if weight := flow.RendezvousWeight(hash, m.ID()); rank > bestRank || rank == bestRank && weight > bestWeight {
			best, bestRank, bestWeight = m.ID(), rank, weight
		}
	}
	return best, bestRank >= 0
}

// rank returns an agent's preference as a home; higher is better.
func (t *Table) rank(now instant.Instant, m *Member, dataCentre string) int {
	rank := 0
	if m.ID() == t.self || !m.IsSuspect(now) {
		rank += 4
	}
	if m.isStaying() {
		rank += 2
	}
	if m.DataCentre == dataCentre {
		rank++
	}
	return rank
}
