package placement

import (
	"encoding/binary"
	"math"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func candidates(n int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		out[i] = Candidate{netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7100), FullWeight}
	}
	return out
}

func flow(i int) FlowHash {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(i))
	return HashConnectionID(b[:])
}

func TestLog2(t *testing.T) {
	for u := 1e-15; u < 1; u *= 1.07 {
		qt.Assert(t, math.Abs(log2(u)-math.Log2(u)) < 1e-3, qt.IsTrue, qt.Commentf("%v", u))
	}
}

// TestRemovalMovesOnlyItsOwn checks that a change moves no flow but those of the
// candidate that changed.
func TestRemovalMovesOnlyItsOwn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := candidates(rapid.IntRange(2, 20).Draw(t, "n"))
		gone := rapid.IntRange(0, len(all)-1).Draw(t, "gone")
		rest := append(append([]Candidate(nil), all[:gone]...), all[gone+1:]...)
		before, after := NewRendezvous(all), NewRendezvous(rest)
		for i := range 200 {
			first, second, _ := before.Choose(flow(i))
			now, _, _ := after.Choose(flow(i))
			if first != all[gone].Agent && now != first {
				t.Fatalf("flow %d moved from %v to %v", i, first, now)
			}
			if first == all[gone].Agent && now != second {
				t.Fatalf("flow %d went to %v and not to its second choice %v", i, now, second)
			}
		}
	})
}

func TestSharesFollowWeights(t *testing.T) {
	cs := candidates(4)
	cs[0].Weight, cs[1].Weight, cs[2].Weight = 500, 2000, 0
	s := NewRendezvous(cs)
	m := NewMaglev(cs)
	const flows = 100_000
	got := make(map[netip.AddrPort]float64)
	gotMaglev := make(map[netip.AddrPort]float64)
	for i := range flows {
		a, _, _ := s.Choose(flow(i))
		got[a]++
		b, _ := m.Choose(flow(i))
		gotMaglev[b]++
	}
	for i, want := range []float64{500, 2000, 0, 1000} {
		want *= flows / 3500.0
		a := cs[i].Agent
		qt.Check(t, math.Abs(got[a]-want) < 0.02*flows, qt.IsTrue, qt.Commentf("%v of %v", got[a], want))
		qt.Check(t, math.Abs(gotMaglev[a]-want) < 0.02*flows, qt.IsTrue, qt.Commentf("%v of %v", gotMaglev[a], want))
	}
}

// TestUniformChoosesAlike holds the choice without logarithms against the one
// with them: a balancer may use either for the same candidates.
func TestUniformChoosesAlike(t *testing.T) {
	s := NewRendezvous(candidates(9))
	qt.Assert(t, s.uniform, qt.IsTrue)
	for i := range 10_000 {
		best, next := s.greatestDraw(flow(i))
		wantBest, wantNext := s.least(flow(i))
		qt.Assert(t, [2]int{best, next}, qt.Equals, [2]int{wantBest, wantNext})
	}
}

func TestNoCandidate(t *testing.T) {
	_, _, ok := NewRendezvous(nil).Choose(1)
	qt.Check(t, ok, qt.IsFalse)
	_, ok = NewMaglev(nil).Choose(1)
	qt.Check(t, ok, qt.IsFalse)
}

func TestWeigh(t *testing.T) {
	base := WeightInput{Age: time.Minute, ServedRequests: 1000, Flows: 100, MaxFlows: 1000, MeanFlows: 100, HasMeanFlows: true}
	with := func(change func(*WeightInput)) Weight {
		s := base
		change(&s)
		return WeightFor(s)
	}
	qt.Check(t, with(func(*WeightInput) {}), qt.Equals, FullWeight)
	qt.Check(t, with(func(s *WeightInput) { s.Age, s.ServedRequests = 0, 0 }), qt.Equals, InitialWeight)
	qt.Check(t, with(func(s *WeightInput) { s.Flows = 10 }), qt.Equals, maxWeight)
	qt.Check(t, with(func(s *WeightInput) { s.Flows = 300 }), qt.Equals, InitialWeight)
	qt.Check(t, with(func(s *WeightInput) { s.Shedding = true }), qt.Equals, FullWeight/2)
	qt.Check(t, with(func(s *WeightInput) { s.Down = true }), qt.Equals, Weight(0))
	qt.Check(t, with(func(s *WeightInput) { s.Flows = s.MaxFlows }), qt.Equals, Weight(0))
}
