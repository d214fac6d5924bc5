// Package membership keeps a process's view of the balancers and agents that relay
// flows.
//
// A member is known from two sources: its own reports, which tell at once that it
// lives, and its entry in the platform's store, which survives restarts and
// outlasts cuts between processes. Records carry an incarnation and a sequence,
// and the higher pair wins. A member that stops reporting is suspect: it gets no
// new flows, but it is still a member that may hold flows. It ceases to be one
// only when it says that its upstream has left, or when neither source has known
// it for ForgetAfter.
//
// # Usage
//
//	r := roster.New(self, dataCentre)
//	r.Report(now, record)
//	r.Stored(now, records)
//	home, ok := r.Home(now, service, dataCentre, id.Hash())
//	for _, m := range r.Group(now, service) {
//		ask(m)
//	}
//
// The package does no input or output. A Roster must not be shared without a lock.
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

// Times of the roster.
const (
	// SuspectAfter is the silence after which a member gets no new flows: five of
	// the reports that a group's members send each other.
	SuspectAfter = 500 * time.Millisecond
	// ForgetAfter is how long a member is kept that neither reports nor is in the
	// store: the 2 s within which a lapsed entry is written again, and one read.
	ForgetAfter = 3 * time.Second
	// SettleAfter is how long members may be missing in the store after it lost
	// entries: those that live write them again within 2 s.
	SettleAfter = 2 * time.Second
	// rebirthAfter is the silence after which a report with a lower incarnation is
	// believed: the clock of a restarted process may have been set back.
	rebirthAfter = time.Second
)

// never is before all instants of a process.
const never = instant.Instant(-1 << 62)

// Member is what is known of one process.
type Member struct {
	*message.Record
	// LastReport is when the process last reported by itself.
	LastReport instant.Instant
	// Seen is when its entry was last seen in the store.
	Seen instant.Instant
	// stored is set while the store holds an entry.
	stored bool
}

// ID returns the instance.
func (m *Member) ID() flow.IP { return flow.IP(m.Instance) }

// IsAgent reports whether the member stands beside an upstream.
func (m *Member) IsAgent() bool { return m.Service != "" }

// IsSuspect reports whether the member has been silent for too long.
func (m *Member) IsSuspect(now instant.Instant) bool { return now.Sub(m.LastReport) > SuspectAfter }

// AcceptsFlows reports whether the member says that its upstream takes new flows.
func (m *Member) AcceptsFlows() bool { return m.State == message.State_StateReady }

// steady reports whether the process itself goes on for a while.
func (m *Member) steady() bool {
	return m.State != message.State_StateGone && m.State != message.State_StateRestarting && m.State != message.State_StateDraining
}

// Table is the view.
type Table struct {
	self       flow.IP
	dataCentre string
	members    map[flow.IP]*Member
	groups     map[string][]*Member
	balancers  []*Member
	// ChangeCount counts changes of who is a member or takes flows.
	ChangeCount uint64
	loaded      bool
	// settleAt is when all that live have had the time to be in the store.
	settleAt instant.Instant
}

// New returns the view of a process that knows nobody.
func New(self flow.IP, dataCentre string) *Table {
	return &Table{
		self: self, dataCentre: dataCentre,
		members: make(map[flow.IP]*Member), groups: make(map[string][]*Member),
	}
}

// Loaded reports whether the store has been read since the start.
func (r *Table) Loaded() bool { return r.loaded }

// IsSettled reports whether a member that lives is known by now: the store has been
// read, and either it still had the own entry of before, so that it has not lost
// others, or all that live have had the time to write theirs.
func (r *Table) IsSettled(now instant.Instant) bool { return r.loaded && now >= r.settleAt }

// MarkSettled notes that the store still had the entry of an earlier process of the
// own instance.
func (r *Table) MarkSettled(now instant.Instant) { r.settleAt = now }

// Member returns a member, nil where there is none.
func (r *Table) Member(id flow.IP) *Member { return r.members[id] }

// Agents returns the agents of a service, ordered by instance. It must not be changed.
func (r *Table) Agents(service string) []*Member { return r.groups[service] }

// Balancers returns the balancers, ordered by instance. It must not be changed.
func (r *Table) Balancers() []*Member { return r.balancers }

// All calls f for every member, ordered by instance.
func (r *Table) All(f func(*Member)) {
	for _, id := range slices.Sorted(maps.Keys(r.members)) {
		f(r.members[id])
	}
}

// Size returns the number of members.
func (r *Table) Size() int { return len(r.members) }

// supersedes reports whether a record is news to one who holds old.
func supersedes(n, old *message.Record) bool {
	if n.Incarnation != old.Incarnation {
		return n.Incarnation > old.Incarnation
	}
	return n.Sequence > old.Sequence
}

// ApplyReport takes in a record that its process sent, and reports whether it was news.
func (r *Table) ApplyReport(now instant.Instant, rec *message.Record) bool {
	m := r.members[flow.IP(rec.Instance)]
	if m != nil && !supersedes(rec, m.Record) && (rec.Incarnation >= m.Incarnation || now.Sub(m.LastReport) < rebirthAfter) {
		return false
	}
	m = r.put(m, rec)
	m.LastReport = now
	return true
}

// ApplyRelayed takes in a record that another process passed on.
func (r *Table) ApplyRelayed(now instant.Instant, rec *message.Record) bool {
	m := r.members[flow.IP(rec.Instance)]
	if m != nil && !supersedes(rec, m.Record) {
		return false
	}
	if m = r.put(m, rec); m.Seen < now {
		m.Seen = now
	}
	return true
}

// ApplyStored takes in all entries of the store. Members that are missing there stay
// for ForgetAfter from the time when they were last known.
func (r *Table) ApplyStored(now instant.Instant, recs []*message.Record) {
	if !r.loaded && r.settleAt == 0 {
		r.settleAt = now.Add(SettleAfter)
	}
	r.loaded = true
	for _, m := range r.members {
		m.stored = false
	}
	for _, rec := range recs {
		m := r.members[flow.IP(rec.Instance)]
		if m == nil || supersedes(rec, m.Record) {
			m = r.put(m, rec)
		}
		m.stored = true
		m.Seen = now
	}
}

func (r *Table) put(m *Member, rec *message.Record) *Member {
	if m == nil {
		m = &Member{Record: rec, LastReport: never, Seen: never}
		r.members[flow.IP(rec.Instance)] = m
		r.index()
		return m
	}
	old := m.Record
	m.Record = rec
	if old.Service != rec.Service || old.DataCentre != rec.DataCentre {
		r.index()
	}
	if old.State != rec.State {
		r.ChangeCount++
	}
	return m
}

// index lists the members by service.
func (r *Table) index() {
	r.ChangeCount++
	clear(r.groups)
	r.balancers = r.balancers[:0]
	for _, m := range r.members {
		if m.IsAgent() {
			r.groups[m.Service] = append(r.groups[m.Service], m)
		} else {
			r.balancers = append(r.balancers, m)
		}
	}
	byInstance := func(a, b *Member) int { return cmp.Compare(a.Instance, b.Instance) }
	for _, g := range r.groups {
		slices.SortFunc(g, byInstance)
	}
	slices.SortFunc(r.balancers, byInstance)
}

// Expire forgets members that neither source knows any longer and returns them.
func (r *Table) Expire(now instant.Instant) []*Member {
	var out []*Member
	for id, m := range r.members {
		if m.stored || now.Sub(m.LastReport) < ForgetAfter || now.Sub(m.Seen) < ForgetAfter || id == r.self {
			continue
		}
		out = append(out, m)
		delete(r.members, id)
	}
	if len(out) > 0 {
		r.index()
	}
	return out
}

// Home returns the agent of a service that keeps track of a flow whose packets
// arrive in a data centre: by highest random weight among the agents there, or
// among all where none is there. Agents that are silent or about to leave are
// passed over while there are others.
func (r *Table) Home(now instant.Instant, service, dataCentre string, hash uint64) (flow.IP, bool) {
	var best flow.IP
	bestRank, bestDraw := -1, uint64(0)
	for _, m := range r.groups[service] {
		rank := r.rank(now, m, dataCentre)
		if d := flow.RendezvousWeight(hash, m.ID()); rank > bestRank || rank == bestRank && d > bestDraw {
			best, bestRank, bestDraw = m.ID(), rank, d
		}
	}
	return best, bestRank >= 0
}

// rank orders agents by their fitness as a home.
func (r *Table) rank(now instant.Instant, m *Member, dataCentre string) int {
	rank := 0
	if m.ID() == r.self || !m.IsSuspect(now) {
		rank += 4
	}
	if m.steady() {
		rank += 2
	}
	if m.DataCentre == dataCentre {
		rank++
	}
	return rank
}
