package relay

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

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
			w := New(LargeRegistro(seed))
			w.Run(7 * time.Second)
			qt.Check(t, w.Violations, qt.HasLen, 0)
			got := w.Served(2*time.Second, 6*time.Second)
			t.Logf("served %.3f", got)
			qt.Check(t, got >= least, qt.IsTrue, qt.Commentf("served %.3f", got))
		})
	}
}
