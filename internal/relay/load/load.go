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
// Upstreams may differ in speed. Those of a group whose service times are all within a dead
// band around the median are compared by their expected wait only. If any is outside, all are
// compared by the expected time to an answer, so that flows go to fast upstreams as long as
// these have room; see unevenCost.
//
// # Usage
//
//	t := load.New()
//	t.Update(peer, load.Report{Slots: 4, Busy: 2, Idle: 30, ServiceTime: 26 * time.Millisecond})
//	agent, ok := t.Choose(load.Sample(id.Hash(), candidates))
//	t.AddPlacement(agent)
//
// The package performs no I/O. A Tracker is not safe for concurrent use.
package load

import (
	"cmp"
	"slices"
	"time"

	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/speed"
)

// Costs of a candidate in addition to its requests in progress.
const (
	// idleFlowCost is the load of an open flow without a request, in requests: the
	// fraction of time in which such a flow has a request in progress. Uneven groups use
	// the fraction observed, which starts from this one.
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

// Constants of the cost in uneven groups.
const (
	// weightNow is the weight of the wait that the present load causes, and the rest that of the
	// long-run load. Flows stay where they were opened through several waves of demand, so the
	// long-run load counts more. docs/design/speed.md has the measurements.
	weightNow = 0.25
	// maxStable is the utilisation above which the long-run wait grows linearly: it is not
	// bounded at 1, but costs must stay comparable there.
	maxStable = 0.9
	// activityWeight is the weight of a report in the moving averages of running requests and
	// flows. With 16 peers that report up to 20 times a second they cover more than 10 s, a
	// wave of demand.
	activityWeight = 1.0 / 4096
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
	// FlowsLeft is the number of new flows, plus 1, that the cold upstream still takes; 0
	// means no limit.
	FlowsLeft int
	// ServiceTime is the usual time of a request without waiting, 0 if unknown.
	ServiceTime time.Duration
	// Waiting is the number of requests among Busy that wait for a slot, by priority.
	Waiting Waiting
}

func (r Report) slots() int {
	if r.Slots == 0 {
		return defaultSlots
	}
	return r.Slots
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
	// speed is the ratio of the service time to the median of the group, see speed.Relative.
	speed float64
	// distrusted is set if the service time is so short that the requests may fail.
	distrusted bool
}

// Candidate is an agent that may receive a new flow.
type Candidate struct {
	Agent flow.IP
	// Remote is set if the agent is not in the caller's data centre.
	Remote bool
	// Distance is the cost of the round trip to a remote agent, in request durations,
	// remoteCost if 0.
	Distance float64
	// Unconfirmed is set if the agent has not confirmed that its upstream is ready,
	// LikelyDown if that confirmation is overdue.
	Unconfirmed, LikelyDown bool
	// Failing is set if the agent's upstream is ejected, since it fails its requests.
	Failing bool
	// NoFlowsLeft is set if the agent's cold upstream takes no new flow now.
	NoFlowsLeft bool
	// Priority is the priority of the flow to place. Requests that wait with a lower one
	// are served after it.
	Priority uint32
}

// Sample returns the candidates to compare for a flow: those with the highest rendezvous
// weight among the local and among the remote ones, or more of one kind if the other
// has too few. LikelyDown candidates are left out if there are others, then those without any
// flows left.
func Sample(hash uint64, candidates []Candidate) []Candidate {
	available := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.LikelyDown })
	if len(available) == 0 {
		available = candidates
	}
	hasNoFlowsLeft := func(c Candidate) bool { return c.NoFlowsLeft }
	if slices.ContainsFunc(available, hasNoFlowsLeft) {
		if rest := slices.DeleteFunc(slices.Clone(available), hasNoFlowsLeft); len(rest) > 0 {
			available = rest
		}
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
	// median is the median of the known service times. uneven is set if one of them is
	// outside the dead band. Both and the relative speeds are outdated if a service time has
	// changed since.
	median           time.Duration
	uneven, outdated bool
	// running and flows are moving averages of the requests that run at an upstream and of its
	// open flows. A flow counts by the relative speed of its upstream, since its requests take
	// longer at a slow one.
	running, flows float64
}

// New returns a tracker without agents.
func New() *Tracker {
	return &Tracker{agents: make(map[flow.IP]*agentLoad), running: idleFlowCost, flows: 1}
}

func (t *Tracker) getOrCreate(a flow.IP) *agentLoad {
	e := t.agents[a]
	if e == nil {
		e = &agentLoad{speed: 1}
		t.agents[a] = e
	}
	return e
}

// Update replaces an agent's report and resets the count of its placements.
func (t *Tracker) Update(a flow.IP, r Report) {
	e := t.getOrCreate(a)
	t.outdated = t.outdated || e.ServiceTime != r.ServiceTime
	e.Report, e.placedSinceReport = r, 0
	running, flows := float64(min(e.Busy, e.slots())), float64(e.Busy+e.Idle)*e.speed
	t.running += (running - t.running) * activityWeight
	t.flows += (flows - t.flows) * activityWeight
}

// Remove removes an agent.
func (t *Tracker) Remove(a flow.IP) {
	delete(t.agents, a)
	t.outdated = true
}

// updateSpeeds compares the service times of all agents if one has changed.
func (t *Tracker) updateSpeeds() {
	if !t.outdated {
		return
	}
	known := make([]time.Duration, 0, len(t.agents))
	for _, e := range t.agents {
		known = append(known, e.ServiceTime)
	}
	t.median, t.uneven, t.outdated = speed.Median(known), false, false
	for _, e := range t.agents {
		e.speed = speed.Relative(e.ServiceTime, t.median)
		isEven := speed.IsEven(e.ServiceTime, t.median)
		e.distrusted = !isEven && e.speed == 1
		t.uneven = t.uneven || !isEven
	}
}

// GroupSpeed describes the service times in a group.
type GroupSpeed struct {
	// Median is the median of the known service times, 0 if none is known.
	Median time.Duration
	// Uneven is set if a service time is outside the dead band around the median.
	Uneven bool
	// FlowLoad is the fraction of time in which an open flow has a request in progress at an
	// upstream of median speed.
	FlowLoad float64
}

// GroupSpeed returns the description of the group.
func (t *Tracker) GroupSpeed() GroupSpeed {
	t.updateSpeeds()
	return GroupSpeed{Median: t.median, Uneven: t.uneven, FlowLoad: t.flowLoad()}
}

// Speed returns the ratio of an agent's service time to the median as it counts for
// placement, 1 if it is unknown.
func (t *Tracker) Speed(a flow.IP) float64 {
	t.updateSpeeds()
	return t.getOrCreate(a).speed
}

// flowLoad returns the load of an open flow at an upstream of median speed, in requests.
func (t *Tracker) flowLoad() float64 { return min(t.running/max(t.flows, t.running), 1) }

// AddPlacement counts a flow placed at an agent since its last report.
func (t *Tracker) AddPlacement(a flow.IP) { t.getOrCreate(a).placedSinceReport++ }

// HasFlowsLeft reports whether an agent's upstream takes new flows as far as its last report
// and the placements since then tell: it is not cold, or its warm-up limit is not used up.
func (t *Tracker) HasFlowsLeft(a flow.IP) bool {
	e := t.agents[a]
	return e == nil || e.FlowsLeft == 0 || e.FlowsLeft-1 > e.placedSinceReport
}

// Demand returns an agent's slots, of which a cold upstream uses fewer than it has, its
// requests with the flows placed there since its last report.
func (t *Tracker) Demand(a flow.IP) (slots, requests float64) {
	e := t.getOrCreate(a)
	slots = float64(e.slots())
	if e.Cold {
		slots /= ColdFactor
	}
	return slots, float64(e.Busy + e.placedSinceReport)
}

// busyBefore returns the requests that go before one of a priority, with the flows placed since
// the last report.
func (e *agentLoad) busyBefore(priority uint32) int {
	return max(e.Busy-e.Waiting.after(priority), 0) + e.placedSinceReport
}

// Cost returns the expected wait at an agent, in request durations of its upstream or, in an
// uneven group, of one of median speed.
func (t *Tracker) Cost(c Candidate) float64 {
	t.updateSpeeds()
	e := t.getOrCreate(c.Agent)
	if t.uneven {
		return c.addPenalty(t.unevenCost(e, c.Priority))
	}
	slots := e.slots()
	cost := ExpectedWait((float64(e.busyBefore(c.Priority)) + idleFlowCost*float64(e.Idle)) / float64(slots))
	cost = c.addPenalty(cost)
	if e.Cold {
		cost = (cost + 1/float64(slots)) * ColdFactor
	}
	return cost
}

// addPenalty adds the costs of a candidate that do not depend on its load.
func (c Candidate) addPenalty(cost float64) float64 {
	switch {
	case c.Remote && c.Distance > 0:
		cost += c.Distance
	case c.Remote:
		cost += remoteCost
	}
	if c.Unconfirmed {
		cost += unconfirmedCost
	}
	if c.LikelyDown {
		cost += likelyDownCost
	}
	return cost
}

// unevenCost returns the expected time to an answer at an agent, less one request duration at
// median speed, in such durations. A request that takes several times as long as usual is in
// time at a fast upstream and late at a slow one, so the service time itself counts besides
// the wait. The wait is a mean of that at the present load and that at the long-run load, in
// which all flows count by how often they have a request in progress. Counting flows also
// keeps an upstream that fails fast, and is seldom busy, from attracting more of them.
func (t *Tracker) unevenCost(e *agentLoad, priority uint32) float64 {
	slots := float64(e.slots())
	perFlow := t.flowLoad() * e.speed
	longRun := perFlow * float64(e.Busy+e.placedSinceReport+e.Idle) / slots
	now := (float64(e.busyBefore(priority)) + perFlow*float64(e.Idle)) / slots
	if e.distrusted {
		now = max(now, longRun)
	}
	rounds := 1 + weightNow*ExpectedWait(now) + (1-weightNow)*longRunWait(longRun)
	if e.Cold {
		rounds = (rounds + 1/slots) * ColdFactor
	}
	return e.speed*rounds - 1
}

// ExpectedWait returns the expected wait in request durations. Below one request per
// slot it grows slowly, since a request waits only if others arrive at the same time;
// above that it grows linearly with the queue.
func ExpectedWait(requestsPerSlot float64) float64 {
	if requestsPerSlot < 1 {
		return requestsPerSlot * requestsPerSlot
	}
	return 2*requestsPerSlot - 1
}

// longRunWait returns the expected wait in request durations at a utilisation that lasts: that
// of two slots with random arrivals and service times.
func longRunWait(utilisation float64) float64 {
	wait := func(u float64) float64 { return u * u / (1 - u*u) }
	if utilisation <= maxStable {
		return wait(utilisation)
	}
	const slope = 2 * maxStable / ((1 - maxStable*maxStable) * (1 - maxStable*maxStable))
	return wait(maxStable) + slope*(utilisation-maxStable)
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
