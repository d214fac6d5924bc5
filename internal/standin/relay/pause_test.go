package relay

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// withPauses adds callers to a fleet that wait between the opening of a flow and the first
// request on it.
func withPauses(cfg Config) Config {
	k := cfg.Callers[0]
	k.Name, k.Callers, k.Rate, k.Pause, k.Idempotent = "Pausing", 40, constantRate(0.5), 4*time.Second, false
	cfg.Callers = append(cfg.Callers, k)
	return cfg
}

// TestFlowsWithoutRequestsOutliveRestarts guards against the reset of an open flow that has
// carried no request for seconds: its agent forgets it and later denies it to a home that has
// restarted.
func TestFlowsWithoutRequestsOutliveRestarts(t *testing.T) {
	const opened, restarted = 2 * time.Second, 3 * time.Second
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			cfg := withPauses(Registro(seed))
			cfg.Callers[len(cfg.Callers)-1].Pause = 7 * time.Second
			w := New(cfg)
			for i, p := range w.Balancers {
				w.At(restarted+time.Duration(i)*600*time.Millisecond, func() { w.Restart(p, 300*time.Millisecond) })
			}
			// The other agents stay, so that they know all flows of their upstreams.
			for i, p := range w.Agents[:3] {
				w.At(restarted+time.Duration(i)*1300*time.Millisecond, func() { w.Restart(p, 300*time.Millisecond) })
			}
			w.Run(opened + 12*time.Second)
			qt.Assert(t, w.Violations, qt.HasLen, 0)
			answered := 0
			for _, r := range w.Results {
				if r.Kind.Pause > 0 && r.Latency > 0 {
					answered++
				}
			}
			qt.Assert(t, answered > 50, qt.IsTrue, qt.Commentf("%d answered", answered))
		})
	}
}

// TestPausingFlowsSurviveRandomFaults resets no open flow while faults overlap and some flows
// carry no request for seconds after they have opened.
func TestPausingFlowsSurviveRandomFaults(t *testing.T) {
	for _, seed := range testSeeds(t, nil) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w, faults := newRandomRunOf(withPauses(Registro(seed)), randomFaults)
			w.Run(randomRunEnd)
			qt.Check(t, w.Violations, qt.HasLen, 0, qt.Commentf("faults %v", faults))
		})
	}
}
