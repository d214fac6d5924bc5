package relay

import (
	"fmt"

	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// grown returns a fleet whose group is several times larger, with fewer slots each,
// at the crest of its demand.
func grown(seed uint64) Config {
	cfg := registro(seed)
	cfg.Balancers = 20
	cfg.Services = []Service{{"padron", 42, 2, 8}, {"recuento", 10, 2, 8}}
	for i, k := range []struct {
		callers int
		rate    float64
		aim     time.Duration
	}{{870, 0.75, 250 * time.Millisecond}, {240, 0.8, 300 * time.Millisecond}, {100, 0.4, 800 * time.Millisecond}} {
		cfg.Callers[i].Callers, cfg.Callers[i].Rate, cfg.Callers[i].Aim = k.callers, steady(k.rate), k.aim
	}
	return cfg
}

// TestCrestOfALargeGroup replays a demand of nine tenths of the slots on many
// upstreams with two slots each: new flows must find the ones that are free, although
// what homes know of each other is some tens of milliseconds old.
// TestCrestOfALargeGroup replays a demand of nine tenths of the slots and more on many
// upstreams with two slots each: new flows must find the ones that are free, although
// what homes know of each other is some tens of milliseconds old and all place at once.
func TestCrestOfALargeGroup(t *testing.T) {
	// The users' aim is a worth of 0.90 after prices of some 0.05.
	const least = 0.95
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := New(grown(seed))
			w.Run(7 * time.Second)
			qt.Check(t, w.Broken, qt.HasLen, 0)
			got := served(w, 2*time.Second, 6*time.Second)
			t.Logf("served %.3f", got)
			qt.Check(t, got >= least, qt.IsTrue, qt.Commentf("served %.3f", got))
		})
	}
}
