// Package membership maintains a process's membership table of the balancers and
// agents that relay flows.
//
// A member is known from two sources: its own reports, which show at once that it
// is alive, and its record in the platform's store, which survives restarts and
// network partitions between processes. Records carry an incarnation and a
// sequence, and the higher pair wins. To bound the messages of a large fleet, a member
// reports regularly only to the processes that depend on its load or on its being alive,
// and to all others only when it changes; each report names its interval. A member
// that stops reporting is suspect: it is avoided for new flows, but it may still hold
// flows until it reports that its upstream has left or it is removed. A member that does not
// report regularly is asked for a report when this process depends on it, and is suspect if it
// does not answer within AnswerTimeout. A member is removed
// when neither source has confirmed it for ExpireAfter and it has not answered the requests
// for a report that Unconfirmed members get meanwhile.
//
// # Usage
//
//	t := membership.New(self, dataCentre, service)
//	t.ApplyReport(now, record, interval)
//	t.ApplyStored(now, records)
//	home, ok := t.Home(now, service, dataCentre, id.Hash())
//	if t.Depend(now, home) {
//		requestReport(home)
//	}
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
	// SuspectAfter is the least time without a report after which a member is suspect: ten
	// report intervals between agents of a service in one data centre, three between
	// data centres.
	SuspectAfter = 500 * time.Millisecond
	// suspectIntervals is how many intervals without a report make a member suspect that
	// reports less often.
	suspectIntervals = 2
	// AnswerTimeout is how long a member has to answer a request for a report before it is
	// suspect: several round trips between data centres.
	AnswerTimeout = 100 * time.Millisecond
	// minLocalHomes is the number of agents of a service in a data centre that suffices for
	// its balancers while some of them restart.
	minLocalHomes = 3
	// confirmGoneAfter is how long a member that has left according to the store has to leave
	// requests for a report unanswered: its process may have ended before it could write
	// that another upstream has started since.
	confirmGoneAfter = 600 * time.Millisecond
	// unconfirmedAfter is the time without a report after which a member that the store
	// does not list is asked for one: a part of ExpireAfter that leaves time for retries.
	unconfirmedAfter = time.Second
	// ExpireAfter is how long a member is kept that neither reports nor is in the
	// store: 2 s for rewriting an expired store record plus one read of the store.
	ExpireAfter = 3 * time.Second
	// SettleAfter is how long live members may be missing from the store after it
	// lost records: they write them again within 2 s.
	SettleAfter = 2 * time.Second
	// lostEntriesPeriod is how long after the first read of the store entries may still be missing
	// that it had lost before: longer than it turns single processes away, which cannot write
	// theirs again meanwhile.
	lostEntriesPeriod = 12 * time.Second
	// maxAnswerGap is the time between two answers of the store above which it counts as
	// unavailable in between: longer than the interval between calls.
	maxAnswerGap = 2500 * time.Millisecond
	// confirmMissingAfter is how long after a read without a member another one has to be
	// without it before it is removed.
	confirmMissingAfter = 1500 * time.Millisecond
	// incarnationResetAfter is the time without a report after which a report with a
	// lower incarnation is accepted: the clock of a restarted process may have been
	// set back.
	incarnationResetAfter = time.Second
)

// digestSeed sets the weights of digests apart from those of flows.
const digestSeed = 1

// neverSeen is earlier than every instant of a process.
const neverSeen = instant.Instant(-1 << 62)

// Table is the membership table of one process.
type Table struct {
	self       flow.IP
	dataCentre string
	// service is the service of this process's agent, empty for a balancer.
	service         string
	members         map[flow.IP]*Member
	agentsByService map[string][]*Member
	services        []string
	balancers       []*Member
	overlay         Overlay
	// indexOutdated is set while the lists above do not follow from members.
	indexOutdated bool
	// started lists the members whose present process has become known since TakeStarted.
	started []flow.IP
	// digests caches the digests of the services' agents at ChangeCount digestsAt.
	digests   map[string]uint64
	digestsAt uint64
	// ChangeCount counts the changes of members, of their processes and of their states.
	ChangeCount uint64
	loaded      bool
	// firstRead and lastRead are when the store's records were first and last read, lastAnswer is
	// when the store last answered, and readableSince when its present series of answers without
	// an outage began.
	firstRead, lastRead, lastAnswer, readableSince instant.Instant
	// settledAt is when all live members will have had time to write their store
	// records, 0 until that is known.
	settledAt instant.Instant
}

// New returns an empty table of an agent of a service, or of a balancer if service is empty.
func New(self flow.IP, dataCentre, service string) *Table {
	return &Table{
		self: self, dataCentre: dataCentre, service: service,
		members: make(map[flow.IP]*Member), agentsByService: make(map[string][]*Member),
	}
}

// IsLoaded reports whether the store has been read since the start.
func (t *Table) IsLoaded() bool { return t.loaded }

// IsSettled reports whether the table contains all live members: the store has been
// read, and either it still held this instance's current record, so it has not lost
// the others, or all live members have had time to write theirs.
func (t *Table) IsSettled(now instant.Instant) bool { return t.loaded && now >= t.settledAt }

// KnowsAllServices reports whether a service without members has none: a process learns of the
// agents of a service that it does not belong to from the store alone.
func (t *Table) KnowsAllServices(now instant.Instant) bool {
	return t.IsSettled(now) && now.Sub(t.firstRead) >= lostEntriesPeriod
}

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

// IDs returns the instances of all members, sorted.
func (t *Table) IDs() []flow.IP { return slices.Sorted(maps.Keys(t.members)) }

// Len returns the number of members.
func (t *Table) Len() int { return len(t.members) }

// supersedes reports whether rec is newer than old, by incarnation, then sequence.
func supersedes(rec, old *message.Record) bool {
	if rec.Incarnation != old.Incarnation {
		return rec.Incarnation > old.Incarnation
	}
	return rec.Sequence > old.Sequence
}

// ApplyReport applies a record sent by its own process, which reports to this process
// at an interval or, if that is 0, only changes. It reports whether the record was accepted.
func (t *Table) ApplyReport(now instant.Instant, rec *message.Record, interval time.Duration) bool {
	m := t.members[flow.IP(rec.Instance)]
	if m != nil && !supersedes(rec, m.Record) {
		if !m.acceptsEarlier(now, rec) {
			return false
		}
		if m.isStored {
			m.distrusted = m.Incarnation
		}
	}
	m = t.set(m, rec)
	m.LastReport, m.interval, m.isStored, m.askedSince = now, interval, false, 0
	t.updateIndex(now)
	return true
}

// ApplyStored applies all records of the store. Members that are missing there stay until
// ExpireAfter has passed since they were last confirmed.
func (t *Table) ApplyStored(now instant.Instant, recs []*message.Record) {
	if !t.loaded && t.settledAt == 0 {
		t.settledAt = now.Add(SettleAfter)
	}
	t.RecordStoreAnswer(now)
	if !t.loaded {
		t.firstRead = now
	}
	t.loaded, t.lastRead = true, now
	wasInStore := make(map[*Member]bool, len(t.members))
	for _, m := range t.members {
		wasInStore[m], m.inStore = m.inStore, false
	}
	for _, rec := range recs {
		m := t.members[flow.IP(rec.Instance)]
		if m == nil || supersedes(rec, m.Record) && !(rec.Incarnation == m.distrusted && m.IsReporting(now)) {
			m = t.set(m, rec)
			m.isStored, m.storedAt = true, now
		}
		m.inStore = true
		m.LastSeen = now
	}
	for _, m := range t.members {
		if !m.inStore && (wasInStore[m] || m.missingSince == neverSeen) {
			m.missingSince = now
		}
	}
	t.updateIndex(now)
}

// RecordStoreAnswer records that the store has answered a call.
func (t *Table) RecordStoreAnswer(now instant.Instant) {
	if !t.loaded || now.Sub(t.lastAnswer) > maxAnswerGap {
		t.readableSince = now
	}
	t.lastAnswer = now
}

// set adds a member or replaces its record. The caller calls updateIndex after the last change.
func (t *Table) set(m *Member, rec *message.Record) *Member {
	if m == nil {
		m = &Member{Record: rec, LastReport: neverSeen, LastSeen: neverSeen, missingSince: neverSeen}
		t.members[flow.IP(rec.Instance)] = m
		t.started = append(t.started, m.ID())
		t.indexOutdated = true
		return m
	}
	old := m.Record
	m.Record = rec
	if old.Incarnation != rec.Incarnation {
		t.started = append(t.started, m.ID())
	}
	if old.Service != rec.Service || old.DataCentre != rec.DataCentre || (old.State == message.State_StateGone) != (rec.State == message.State_StateGone) {
		t.indexOutdated = true
	} else if old.State != rec.State || old.Incarnation != rec.Incarnation {
		t.ChangeCount++
	}
	return m
}

// TakeStarted returns the members of which a new process has become known since the last
// call. They may not know this process yet.
func (t *Table) TakeStarted() []flow.IP {
	s := t.started
	t.started = nil
	return s
}

// Depend records that this process sends a member something that nobody else handles if the
// member does not. It reports whether the member has to be asked for a report: it does not have
// to report regularly, and is known from the store or from a change that it reported some time
// ago. Unconfirmed returns a member that does not answer, until it does.
func (t *Table) Depend(now instant.Instant, id flow.IP) (ask bool) {
	m := t.members[id]
	if m == nil || id == t.self || m.expected || m.askedSince != 0 || m.IsReporting(now) || m.IsSuspect(now) {
		return false
	}
	m.askedSince = now
	return true
}

// IsSuspect reports whether a process is a member that is suspect.
func (t *Table) IsSuspect(now instant.Instant, id flow.IP) bool {
	m := t.members[id]
	return m != nil && id != t.self && m.IsSuspect(now)
}

// Unconfirmed returns the members that have to be asked for a report before they count as
// gone, ordered by instance. Without the store nobody is removed.
func (t *Table) Unconfirmed(now instant.Instant) []flow.IP {
	if !t.loaded {
		return nil
	}
	var out []flow.IP
	for id, m := range t.members {
		if id != t.self && m.isUnconfirmed(now) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// updateIndex rebuilds, if members have changed, the lists of balancers and of agents by
// service, the overlay, and the members that have to report to this process.
func (t *Table) updateIndex(now instant.Instant) {
	if !t.indexOutdated {
		return
	}
	t.indexOutdated = false
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
	if t.service != "" {
		t.overlay = newOverlay(t.self, t.dataCentre, t.agentsByService[t.service])
	}
	for _, m := range t.members {
		expected := t.isExpected(m)
		if expected && !m.expected {
			m.expectedSince = now
		}
		m.expected = expected
	}
}

// isExpected reports whether a member has to report to this process regularly: an agent to
// the agents that its overlay names, and to the balancers of its data centre and of those
// that need remote homes; a balancer to those of its data centre.
func (t *Table) isExpected(m *Member) bool {
	switch {
	case t.service != "":
		return t.overlay.Reporters[m.ID()]
	case m.DataCentre == t.dataCentre:
		return true
	}
	return m.IsAgent() && t.NeedsRemoteHomes(m.Service, t.dataCentre)
}

// NeedsRemoteHomes reports whether a service has so few agents in a data centre that its
// balancers have to know which agents elsewhere are alive.
func (t *Table) NeedsRemoteHomes(service, dataCentre string) bool {
	n := 0
	for _, m := range t.agentsByService[service] {
		if m.DataCentre == dataCentre && m.State != message.State_StateGone {
			n++
		}
	}
	return n < minLocalHomes
}

// Digest returns a digest of the agents of a service whose upstream has not left, this
// process's own included. It is the same for the same agents, and never 0.
func (t *Table) Digest(service string) uint64 {
	if t.digests == nil || t.digestsAt != t.ChangeCount {
		t.digests, t.digestsAt = make(map[string]uint64), t.ChangeCount
	}
	if d, ok := t.digests[service]; ok {
		return d
	}
	d := uint64(0)
	for _, m := range t.agentsByService[service] {
		if m.State != message.State_StateGone && m.ID() != t.self {
			d ^= flow.RendezvousWeight(digestSeed, m.ID())
		}
	}
	if service == t.service {
		d ^= flow.RendezvousWeight(digestSeed, t.self)
	}
	t.digests[service] = max(d, 1)
	return max(d, 1)
}

// Expire removes and returns the members that have not reported for ExpireAfter, although
// they were asked to, and that two reads of the store have missed. A member whose record was
// lost stays until the store has been readable for SettleAfter, since it has to write the
// record again. The process's own record stays.
func (t *Table) Expire(now instant.Instant) []*Member {
	if t.lastRead.Sub(t.readableSince) < SettleAfter {
		return nil
	}
	var expired []*Member
	for id, m := range t.members {
		if m.inStore || now.Sub(m.LastReport) < ExpireAfter || t.lastRead.Sub(m.LastSeen) < ExpireAfter || t.lastRead.Sub(m.missingSince) < confirmMissingAfter || id == t.self {
			continue
		}
		expired = append(expired, m)
		delete(t.members, id)
		t.indexOutdated = true
	}
	t.updateIndex(now)
	return expired
}
