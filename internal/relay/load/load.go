// Package load chooses the upstream of a new flow by least expected wait.
//
// It answers demand that swings within seconds on upstreams with few slots, where
// one upstream has a queue while its neighbour is idle, and flows that stay open
// for many requests, which pin their demand to an upstream once and for all. Every
// agent of a service knows its peers' requests in progress from their reports; what
// it has placed since a peer's last report is added, so that a burst between two
// reports is not sent to one peer.
//
// # Usage
//
//	b := load.New()
//	b.Update(peer, load.Signal{Slots: 4, Busy: 2, Idle: 30})
//	at, ok := b.Choose(load.Sample(id.Hash(), candidates))
//	b.Place(at)
//
// The package does no input or output. A Board must not be shared without a lock.
package load

import (
	"cmp"
	"slices"

	"github.com/jaytack/jaytack/internal/relay/flow"
)

// Costs of a candidate beside its requests in progress.
const (
	// idleCost is what an open flow without a request adds to those, in requests:
	// the share of its time in which such a flow has a request in progress.
	idleCost = 0.04
	// farCost is what another data centre adds, in rounds of requests: two crossings
	// of some milliseconds against a request of some tens.
	farCost = 0.15
	// ColdFactor is how much longer requests take at an upstream that has just started.
	ColdFactor = 1.6
	// doubtfulCost is what an upstream adds that may not be ready yet, in rounds of
	// requests: some tens of milliseconds. unlikelyCost is more than any queue.
	doubtfulCost = 1.5
	unlikelyCost = 1000
	// usualSlots stands in where an upstream has not said how many it has.
	usualSlots = 4
)

// Sizes of a sample: with two of its own data centre a flow finds a free upstream
// as surely as with more, and one elsewhere relieves a data centre that is full.
const (
	nearSample = 2
	farSample  = 1
)

// Report is what an agent says about its upstream's load.
type Report struct {
	// Slots is the number of requests that run at a time, 0 if unknown.
	Slots int
	// Busy is the number of flows with a request in progress.
	Busy int
	// Idle is the number of open flows without one.
	Idle int
	Cold bool
}

type entry struct {
	Report
	// placed counts the flows placed since the signal.
	placed int
}

// Candidate is an agent that may take a new flow.
type Candidate struct {
	Agent flow.IP
	// Remote is set where the agent is in another data centre than the caller's.
	Remote bool
	// Unconfirmed is set where the agent has not shown that its upstream is ready, and
	// Unlikely where it should have.
	Unconfirmed, LikelyDown bool
}

// Sample returns the few candidates that a flow is compared at: those with the highest
// random weight among the near and among the far ones, or more of one where the other
// are too few. Unlikely candidates are left out while there are others.
func Sample(hash uint64, candidates []Candidate) []Candidate {
	likely := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.LikelyDown })
	if len(likely) == 0 {
		likely = candidates
	}
	if len(likely) <= nearSample+farSample {
		return likely
	}
	slices.SortFunc(likely, func(a, b Candidate) int {
		return cmp.Compare(flow.RendezvousWeight(hash, b.Agent), flow.RendezvousWeight(hash, a.Agent))
	})
	var sample, rest []Candidate
	near, far := nearSample, farSample
	for _, c := range likely {
		left := &near
		if c.Remote {
			left = &far
		}
		if *left == 0 {
			rest = append(rest, c)
			continue
		}
		*left--
		sample = append(sample, c)
	}
	return append(sample, rest[:near+far]...)
}

// Tracker is what one agent knows about its group's load.
type Tracker struct {
	entries map[flow.IP]*entry
}

// New returns a board that knows nothing.
func New() *Tracker {
	return &Tracker{entries: make(map[flow.IP]*entry)}
}

func (b *Tracker) of(a flow.IP) *entry {
	e := b.entries[a]
	if e == nil {
		e = &entry{}
		b.entries[a] = e
	}
	return e
}

// Update takes in an agent's signal.
func (b *Tracker) Update(a flow.IP, s Report) {
	e := b.of(a)
	e.Report, e.placed = s, 0
}

// Remove drops an agent.
func (b *Tracker) Remove(a flow.IP) { delete(b.entries, a) }

// AddPlacement counts a flow that was placed at an agent.
func (b *Tracker) AddPlacement(a flow.IP) { b.of(a).placed++ }

// Cost returns the expected wait at an agent, in units of the time that its
// upstream takes for one request.
func (b *Tracker) Cost(c Candidate) float64 {
	e := b.of(c.Agent)
	slots := e.Slots
	if slots == 0 {
		slots = usualSlots
	}
	cost := expectedWait((float64(e.Busy+e.placed) + idleCost*float64(e.Idle)) / float64(slots))
	if c.Remote {
		cost += farCost
	}
	if c.Unconfirmed {
		cost += doubtfulCost
	}
	if c.LikelyDown {
		cost += unlikelyCost
	}
	if e.Cold {
		cost = (cost + 1/float64(slots)) * ColdFactor
	}
	return cost
}

// expectedWait grows slowly while slots are free, when a request waits only if
// others come at once, and with the queue beyond.
func expectedWait(rounds float64) float64 {
	if rounds < 1 {
		return rounds * rounds
	}
	return 2*rounds - 1
}

// Choose returns the candidate with the least cost, the first of equals; ok is
// false where there is none.
func (b *Tracker) Choose(candidates []Candidate) (a flow.IP, ok bool) {
	best := 0.0
	for _, c := range candidates {
		if cost := b.Cost(c); !ok || cost < best {
			a, best, ok = c.Agent, cost, true
		}
	}
	return a, ok
}
