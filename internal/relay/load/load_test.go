package load_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/load"
)

// group returns agents 1 to n, of which the first are near.
func group(near, n int) []load.Candidate {
	var out []load.Candidate
	for i := 1; i <= n; i++ {
		out = append(out, load.Candidate{Agent: flow.IP(i), Remote: i > near})
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

func isFar(c load.Candidate) bool { return c.Remote }

func TestSample(t *testing.T) {
	unlikely := group(14, 42)
	for i := range unlikely {
		unlikely[i].LikelyDown = i != 5
	}
	tests := []struct {
		name       string
		candidates []load.Candidate
		size, far  int
	}{
		{"None", nil, 0, 0},
		{"SmallGroup", group(2, 3), 3, 1},
		{"LargeGroup", group(14, 42), 3, 1},
		{"NoneNear", group(0, 42), 3, 3},
		{"OneNear", group(1, 42), 3, 2},
		{"AllNear", group(42, 42), 3, 0},
		{"OneIsLikely", unlikely, 1, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for hash := range uint64(50) {
				s := load.Sample(hash, test.candidates)
				qt.Assert(t, s, qt.HasLen, test.size)
				qt.Assert(t, count(s, isFar), qt.Equals, test.far)
			}
		})
	}
}

// TestHomesDoNotAllChooseThePeerThatSeemsFree replays a burst between two reports:
// homes that know the same must not send all flows to the one that was free.
func TestHomesDoNotAllChooseThePeerThatSeemsFree(t *testing.T) {
	const homes, agents = 42, 42
	got := make(map[flow.IP]int)
	for home := range uint64(homes) {
		b := load.New()
		for a := 1; a <= agents; a++ {
			busy := 2
			if a == 7 {
				busy = 0
			}
			b.Update(flow.IP(a), load.Report{Slots: 2, Busy: busy})
		}
		hash := flow.ID{Caller: flow.Endpoint{IP: flow.IP(home)}}.Hash()
		a, ok := b.Choose(load.Sample(hash, group(14, agents)))
		qt.Assert(t, ok, qt.IsTrue)
		got[a]++
	}
	// Two slots and a queue of as many are filled by four.
	for a, n := range got {
		qt.Assert(t, n <= 8, qt.IsTrue, qt.Commentf("%v gets %d of %d", a, n, homes))
	}
}
