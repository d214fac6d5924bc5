package load_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/load"
)

// group returns agents 1 to n. The first local agents are in the caller's data centre.
func group(local, n int) []load.Candidate {
	var out []load.Candidate
	for i := 1; i <= n; i++ {
		out = append(out, load.Candidate{Agent: flow.IP(i), Remote: i > local})
	}
	return out
}

func count(cs []load.Candidate, f func(load.Candidate) bool) (n int) {
	for _, c := range cs {
		if f(c) {
			n++
		}
	}
	return n
}

func isRemote(c load.Candidate) bool { return c.Remote }

func TestSample(t *testing.T) {
	likelyDown := group(14, 42)
	for i := range likelyDown {
		likelyDown[i].LikelyDown = i != 5
	}
	tests := []struct {
		name         string
		candidates   []load.Candidate
		size, remote int
	}{
		{"None", nil, 0, 0},
		{"SmallGroup", group(2, 3), 3, 1},
		{"LargeGroup", group(14, 42), 3, 1},
		{"NoneLocal", group(0, 42), 3, 3},
		{"OneLocal", group(1, 42), 3, 2},
		{"AllLocal", group(42, 42), 3, 0},
		{"OneNotLikelyDown", likelyDown, 1, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for hash := range uint64(50) {
				s := load.Sample(hash, test.candidates)
				qt.Assert(t, s, qt.HasLen, test.size)
				qt.Assert(t, count(s, isRemote), qt.Equals, test.remote)
			}
		})
	}
}

// TestBurstIsSpreadOverAgents guards against homes that all choose the same agent: in
// a burst between two reports they have the same load data, in which one agent is free.
func TestBurstIsSpreadOverAgents(t *testing.T) {
	const homes, agents = 42, 42
	got := make(map[flow.IP]int)
	for home := range uint64(homes) {
		tracker := load.New()
		for a := 1; a <= agents; a++ {
			busy := 2
			if a == 7 {
				busy = 0
			}
			tracker.Update(flow.IP(a), load.Report{Slots: 2, Busy: busy})
		}
		hash := flow.ID{Caller: flow.Endpoint{IP: flow.IP(home)}}.Hash()
		a, ok := tracker.Choose(load.Sample(hash, group(14, agents)))
		qt.Assert(t, ok, qt.IsTrue)
		got[a]++
	}
	// Two slots and a queue of two hold four flows; twice that is the limit.
	for a, n := range got {
		qt.Assert(t, n <= 8, qt.IsTrue, qt.Commentf("%v gets %d of %d", a, n, homes))
	}
}

// TestUpstreamsWithoutFlowsLeftArePassedOver guards against new flows for cold upstreams that have
// used up their warm-up limit while others take flows.
func TestUpstreamsWithoutFlowsLeftArePassedOver(t *testing.T) {
	tracker := load.New()
	tracker.Update(1, load.Report{Slots: 2, FlowsLeft: 3})
	tracker.Update(2, load.Report{Slots: 2, Busy: 9})
	qt.Assert(t, tracker.HasFlowsLeft(1), qt.IsTrue)
	tracker.AddPlacement(1)
	qt.Assert(t, tracker.HasFlowsLeft(1), qt.IsTrue)
	tracker.AddPlacement(1)
	qt.Assert(t, tracker.HasFlowsLeft(1), qt.IsFalse)
	qt.Assert(t, tracker.HasFlowsLeft(2), qt.IsTrue)
	candidates := []load.Candidate{{Agent: 1, NoFlowsLeft: true}, {Agent: 2}}
	agent, ok := tracker.Choose(load.Sample(7, candidates))
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, agent, qt.Equals, candidates[1].Agent)
	// With no flows left anywhere the agent decides whether the flow waits.
	qt.Assert(t, load.Sample(7, candidates[:1]), qt.HasLen, 1)
}

// TestDistance guards against remote agents that cost more or less than their distance, or
// other than before if it is not known.
func TestDistance(t *testing.T) {
	tracker := load.New()
	tracker.Update(1, load.Report{Slots: 4, Busy: 2})
	for _, test := range []struct {
		candidate load.Candidate
		want      float64
	}{
		{load.Candidate{Agent: 1}, 0.25},
		{load.Candidate{Agent: 1, Distance: 0.5}, 0.25},
		{load.Candidate{Agent: 1, Remote: true}, 0.4},
		{load.Candidate{Agent: 1, Remote: true, Distance: 0.5}, 0.75},
	} {
		qt.Check(t, tracker.Cost(test.candidate), qt.Equals, test.want, qt.Commentf("%+v", test.candidate))
	}
}

// TestCostCountsOnlyWhatGoesBefore guards against urgent flows that avoid an upstream because
// of requests that wait there with lower priorities.
func TestCostCountsOnlyWhatGoesBefore(t *testing.T) {
	tr := load.New()
	tr.Update(1, load.Report{Slots: 2, Busy: 8, Waiting: load.Waiting{0, 1, 3, 2}})
	tr.Update(2, load.Report{Slots: 2, Busy: 3})
	cost := func(a flow.IP, priority uint32) float64 {
		return tr.Cost(load.Candidate{Agent: a, Priority: priority})
	}
	qt.Check(t, cost(1, 1), qt.Equals, cost(2, 1))
	qt.Check(t, cost(1, 0) < cost(2, 0), qt.IsTrue)
	qt.Check(t, cost(1, 2) > cost(2, 2), qt.IsTrue)
	qt.Check(t, cost(1, 9), qt.Equals, cost(1, 3))
}
