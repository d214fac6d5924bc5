// Package load tracks the load of upstreams and chooses the one with the least
// expected wait for a new flow.
//
// Demand can change within seconds, and upstreams have few slots, so one may have a
// queue while another is idle. A flow may also stay open for many requests, all of
// which go to the upstream chosen first. Every agent of a service knows its peers'
// requests in progress from their reports. It adds the flows that it has placed
// since a peer's last report, so that a burst between two reports is not sent to one
// peer.
//
// # Usage
//
//	t := load.New()
//	t.Update(peer, load.Report{Slots: 4, Busy: 2, Idle: 30})
//	agent, ok := t.Choose(load.Sample(id.Hash(), candidates))
//	t.AddPlacement(agent)
//
// The package performs no I/O. A Tracker is not safe for concurrent use.
package load

import (
	"cmp"
	"slices"

	"github.com/jaytack/jaytack/internal/relay/flow"
)

// Costs of a candidate in addition to its requests in progress.
const (
	// idleFlowCost is the load of an open flow without a request, in requests: the
	// fraction of time in which such a flow has a request in progress.
	idleFlowCost = 0.04
	// remoteCost is the cost of another data centre, in request durations: two
	// crossings of a few milliseconds, relative to a request of a few tens.
	remoteCost = 0.15
	// ColdFactor is how many times longer requests take at an upstream that has just started.
	ColdFactor = 1.6
	// unconfirmedCost is the cost of an upstream that may not be ready yet, in request
	// durations: a few tens of milliseconds. likelyDownCost exceeds the cost of any queue.
	unconfirmedCost = 1.5
	likelyDownCost  = 1000
	// defaultSlots is used if an upstream has not reported its slots.
	defaultSlots = 4
)

// Sample sizes. Two local candidates find a free upstream as reliably as more do; one
// remote candidate allows flows to leave a data centre that is full.
const (
	localSampleSize  = 2
	remoteSampleSize = 1
)

// Report is an agent's report of its upstream's load.
type Report struct {
	// Slots is the number of requests that run at a time, 0 if unknown.
	Slots int
	// Busy is the number of flows with a request in progress.
	Busy int
	// Idle is the number of open flows without a request in progress.
	Idle int
	// Cold is set while the upstream is slow after its start.
	Cold bool
	// Waiting is the number of requests among Busy that wait for a slot, by priority.
	Waiting Waiting
}

// Waiting is a number of requests and new flows by priority; the last element counts all
// lower priorities.
type Waiting [4]int

// Add counts n requests of a priority.
func (w *Waiting) Add(priority uint32, n int) { w[min(int(priority), len(w)-1)] += n }

// after returns the number of those with a lower priority.
func (w Waiting) after(priority uint32) (n int) {
	for _, x := range w[min(int(priority)+1, len(w)):] {
		n += x
	}
	return n
}

type agentLoad struct {
	Report
	// placedSinceReport counts the flows placed since the last report.
	placedSinceReport int
}

// Candidate is an agent that may receive a new flow.
type Candidate struct {
	Agent flow.IP
	// Remote is set if the agent is not in the caller's data centre.
	Remote bool
	// Unconfirmed is set if the agent has not confirmed that its upstream is ready,
	// LikelyDown if that confirmation is overdue.
	Unconfirmed, LikelyDown bool
	// Priority is the priority of the flow to place. Requests that wait with a lower one
	// are served after it.
	Priority uint32
}

// Sample returns the candidates to compare for a flow: those with the highest rendezvous
// weight among the local and among the remote ones, or more of one kind if the other
// has too few. LikelyDown candidates are left out if there are others.
func Sample(hash uint64, candidates []Candidate) []Candidate {
	available := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.LikelyDown })
	if len(available) == 0 {
		available = candidates
	}
	if len(available) <= localSampleSize+remoteSampleSize {
		return available
	}
	slices.SortFunc(available, func(a, b Candidate) int {
		return cmp.Compare(flow.RendezvousWeight(hash, b.Agent), flow.RendezvousWeight(hash, a.Agent))
	})
	var sample, rest []Candidate
	localLeft, remoteLeft := localSampleSize, remoteSampleSize
	for _, c := range available {
		remaining := &localLeft
		if c.Remote {
			remaining = &remoteLeft
		}
		if *remaining == 0 {
			rest = append(rest, c)
			continue
		}
		*remaining--
		sample = append(sample, c)
	}
	return append(sample, rest[:localLeft+remoteLeft]...)
}

// Tracker holds the load of a service's agents as known to one agent.
type Tracker struct {
	agents map[flow.IP]*agentLoad
}

// New returns a tracker without agents.
func New() *Tracker {
	return &Tracker{agents: make(map[flow.IP]*agentLoad)}
}

func (t *Tracker) getOrCreate(a flow.IP) *agentLoad {
	e := t.agents[a]
	if e == nil {
		e = &agentLoad{}
		t.agents[a] = e
	}
	return e
}

// Update replaces an agent's report and resets the count of its placements.
func (t *Tracker) Update(a flow.IP, r Report) {
	e := t.getOrCreate(a)
	e.Report, e.placedSinceReport = r, 0
}

// Remove removes an agent.
func (t *Tracker) Remove(a flow.IP) { delete(t.agents, a) }

// AddPlacement counts a flow placed at an agent since its last report.
func (t *Tracker) AddPlacement(a flow.IP) { t.getOrCreate(a).placedSinceReport++ }

// Cost returns the expected wait at an agent, in request durations of its upstream.
func (t *Tracker) Cost(c Candidate) float64 {
	e := t.getOrCreate(c.Agent)
	slots := e.Slots
	if slots == 0 {
		slots = defaultSlots
	}
	cost := expectedWait((float64(max(e.Busy-e.Waiting.after(c.Priority), 0)+e.placedSinceReport) + idleFlowCost*float64(e.Idle)) / float64(slots))
	if c.Remote {
		cost += remoteCost
	}
	if c.Unconfirmed {
		cost += unconfirmedCost
	}
	if c.LikelyDown {
		cost += likelyDownCost
	}
	if e.Cold {
		cost = (cost + 1/float64(slots)) * ColdFactor
	}
	return cost
}

// expectedWait returns the expected wait in request durations. Below one request per
// slot it grows slowly, since a request waits only if others arrive at the same time;
// above that it grows linearly with the queue.
func expectedWait(requestsPerSlot float64) float64 {
	if requestsPerSlot < 1 {
		return requestsPerSlot * requestsPerSlot
	}
	return 2*requestsPerSlot - 1
}

// Choose returns the agent with the lowest cost, the first among equals. ok is false
// if there are no candidates.
func (t *Tracker) Choose(candidates []Candidate) (a flow.IP, ok bool) {
	best := 0.0
	for _, c := range candidates {
		if cost := t.Cost(c); !ok || cost < best {
			a, best, ok = c.Agent, cost, true
		}
	}
	return a, ok
}
