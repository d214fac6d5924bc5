package relay

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestCrestOfALargeGroup guards against poor placement under peak load, which uses at
// least 90% of the slots of many upstreams with two slots each. New flows must find the
// free upstreams although all homes place flows at once and their load reports of each
// other are some tens of milliseconds old.
func TestCrestOfALargeGroup(t *testing.T) {
	// The users' goal is a value of 0.90 after costs of about 0.05.
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
