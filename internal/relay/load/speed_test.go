package load_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/load"
	"github.com/jaytack/jaytack/internal/relay/speed"
)

const ms = time.Millisecond

// evenCost is the cost by the expected wait alone, as it was before upstreams could differ in
// speed.
func evenCost(c load.Candidate, r load.Report, placed int) float64 {
	slots := r.Slots
	if slots == 0 {
		slots = 4
	}
	cost := (float64(r.Busy+placed) + 0.04*float64(r.Idle)) / float64(slots)
	if cost < 1 {
		cost *= cost
	} else {
		cost = 2*cost - 1
	}
	if c.Remote {
		cost += 0.15
	}
	if c.Unconfirmed {
		cost += 1.5
	}
	if c.LikelyDown {
		cost += 1000
	}
	if r.Cold {
		cost = (cost + 1/float64(slots)) * 1.6
	}
	return cost
}

// TestEvenGroupIsServedAsBefore guards against another choice in a service whose upstreams
// are even, which is served well by the expected wait: inside the dead band, and while some or
// all service times are unknown, each cost is exactly that of the expected wait.
func TestEvenGroupIsServedAsBefore(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		tracker := load.New()
		candidates := group(2, 3+random.IntN(10))
		reports, placed := make(map[flow.IP]load.Report), make(map[flow.IP]int)
		for range 50 {
			i := random.IntN(len(candidates))
			c := &candidates[i]
			c.Unconfirmed, c.LikelyDown = random.IntN(8) == 0, random.IntN(8) == 0
			r := load.Report{Slots: random.IntN(5), Busy: random.IntN(12), Idle: random.IntN(90), Cold: random.IntN(4) == 0}
			if random.IntN(3) > 0 {
				r.ServiceTime = time.Duration(23+random.IntN(5)) * ms
			}
			tracker.Update(c.Agent, r)
			reports[c.Agent], placed[c.Agent] = r, 0
			got, ok := tracker.Choose(candidates)
			qt.Assert(t, ok, qt.IsTrue)
			want, least := flow.IP(0), 0.0
			for _, c := range candidates {
				cost := evenCost(c, reports[c.Agent], placed[c.Agent])
				qt.Assert(t, tracker.Cost(c), qt.Equals, cost)
				if want == 0 || cost < least {
					want, least = c.Agent, cost
				}
			}
			qt.Assert(t, got, qt.Equals, want)
			tracker.AddPlacement(got)
			placed[got]++
		}
	}
}

// place places flows at agents with two slots and the given service times, and returns how many
// each agent got. The flows stay open and have a request in progress for 4 % of the time at a
// service time of 20 ms. busyTimes differ from serviceTimes where an estimate is wrong.
func place(n int, serviceTimes, busyTimes []time.Duration) map[flow.IP]int {
	tracker, candidates := load.New(), group(len(serviceTimes), len(serviceTimes))
	got := make(map[flow.IP]int)
	update := func(a flow.IP) {
		flows := got[a]
		busy := int(float64(flows) * 0.04 * float64(busyTimes[a-1]) / float64(20*ms))
		tracker.Update(a, load.Report{Slots: 2, Busy: busy, Idle: flows - busy, ServiceTime: serviceTimes[a-1]})
	}
	for _, c := range candidates {
		update(c.Agent)
	}
	for range n {
		a, _ := tracker.Choose(candidates)
		got[a]++
		update(a)
	}
	return got
}

// TestFastUpstreamsAreFilledFirst guards against requests that are late at slow upstreams while
// fast ones have room, and against a fast upstream that gets all flows.
func TestFastUpstreamsAreFilledFirst(t *testing.T) {
	times := []time.Duration{12 * ms, 20 * ms, 20 * ms, 20 * ms, 32 * ms}
	few := place(10, times, times)
	qt.Check(t, few[1], qt.Equals, 10)
	// 220 flows have 8.8 requests in progress at a time on 10 slots.
	all := place(220, times, times)
	qt.Check(t, all[1] > all[2] && all[2] > all[5], qt.IsTrue, qt.Commentf("%v", all))
	qt.Check(t, all[1] < 220/2 && all[5] > 0, qt.IsTrue, qt.Commentf("%v", all))
}

// TestFullUpstreamIsNotChosen guards against flows that wait at a fast upstream longer than at
// a slow one that is free.
func TestFullUpstreamIsNotChosen(t *testing.T) {
	tracker := load.New()
	for i, d := range []time.Duration{12 * ms, 20 * ms, 32 * ms} {
		tracker.Update(flow.IP(i+1), load.Report{Slots: 2, ServiceTime: d, Busy: []int{12, 12, 0}[i]})
	}
	a, _ := tracker.Choose(group(3, 3))
	qt.Assert(t, a, qt.Equals, flow.IP(3))
}

// TestUpstreamThatFailsFastGetsNoMoreThanItsShare guards against a faulty upstream that
// answers at once, is never busy and thereby attracts all flows.
func TestUpstreamThatFailsFastGetsNoMoreThanItsShare(t *testing.T) {
	times := []time.Duration{20 * ms, 20 * ms, ms, 20 * ms, 20 * ms}
	for _, flows := range []int{20, 100, 220} {
		got := place(flows, times, times)
		// Placements are whole flows, and the mean load of the others varies.
		qt.Check(t, got[3] <= flows/5*6/5, qt.IsTrue, qt.Commentf("%v", got))
	}
}

// TestWrongEstimateNeitherStarvesNorFloods guards against an upstream that gets no flows, which
// would show that it is not slow, and against one that gets all since it is believed to be fast.
func TestWrongEstimateNeitherStarvesNorFloods(t *testing.T) {
	busyTimes := slices.Repeat([]time.Duration{20 * ms}, 5)
	reported := slices.Clone(busyTimes)
	reported[4] = 8 * ms
	fast := place(200, reported, busyTimes)
	// At 0.4 of the service time 112 flows use 90 % of two slots. Others get half of their share.
	qt.Check(t, fast[5] <= 112, qt.IsTrue, qt.Commentf("%v", fast))
	for a := flow.IP(1); a <= 4; a++ {
		qt.Check(t, fast[a] >= 20, qt.IsTrue, qt.Commentf("%v", fast))
	}
	// Without requests an estimate is old after some seconds and decays.
	slow := speed.Estimate{ServiceTime: time.Hour, Samples: 1000, Age: 30 * time.Second}
	reported[4] = slow.Report(20 * ms)
	got := place(200, reported, busyTimes)
	qt.Check(t, got[5] >= 200/10, qt.IsTrue, qt.Commentf("%v", got))
}

// TestColdUpstreamIsSlowerInUnevenGroup guards against cold upstreams that are preferred since
// they are fast otherwise.
func TestColdUpstreamIsSlowerInUnevenGroup(t *testing.T) {
	for _, slots := range []int{1, 2, 16} {
		tracker := load.New()
		for i, d := range []time.Duration{12 * ms, 12 * ms, 20 * ms, 20 * ms, 20 * ms} {
			tracker.Update(flow.IP(i+1), load.Report{Slots: slots, Cold: i == 0, ServiceTime: d})
		}
		c := group(5, 5)
		qt.Check(t, tracker.Cost(c[0]) > tracker.Cost(c[1]), qt.IsTrue)
	}
}
