package relay

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestCallersLearnOfFlowsLostWithTheirAgents replays a power failure that takes all
// processes and upstreams while callers hold open flows for requests that may run once at
// most. A request sent on such a flow afterwards is lost, so the next agents have to reset
// the flows before. From one second after the return on, callers must be served as before
// but for flows that opened just before the failure.
func TestCallersLearnOfFlowsLostWithTheirAgents(t *testing.T) {
	// Without checkpoints about a fifth of the requests of these callers is lost.
	const least = 0.95
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			cfg := Registro(seed)
			for i := range cfg.Callers {
				cfg.Callers[i].Persistent = true
			}
			cfg.Callers[1].Callers, cfg.Callers[1].Rate = 120, constantRate(0.2)
			n := countEvents(&cfg)
			w := New(cfg)
			w.At(15*time.Second, func() { w.LosePower(1500 * time.Millisecond) })
			w.Run(22 * time.Second)
			qt.Assert(t, w.Violations, qt.HasLen, 0)
			qt.Assert(t, n["CheckpointApplied"] > 0, qt.IsTrue)
			got := w.Served(17500*time.Millisecond, 21*time.Second)
			t.Logf("served %.3f", got)
			qt.Check(t, got >= least, qt.IsTrue, qt.Commentf("served %.3f", got))
		})
	}
}

// TestCheckpointEndsNoOpenFlow guards against resets of open flows by checkpoints that are
// out of date: agents and upstreams restart at different times and more than once, and an
// upstream is replaced shortly before its agent.
func TestCheckpointEndsNoOpenFlow(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			cfg := Registro(40 + seed)
			for i := range cfg.Callers {
				cfg.Callers[i].Persistent = true
			}
			w := New(cfg)
			for i, p := range w.Agents {
				for k := range 4 {
					at := 3*time.Second + time.Duration(i)*300*time.Millisecond + time.Duration(k)*4*time.Second
					w.At(at, func() {
						p.Upstream.Crash()
						p.Upstream.Start()
					})
					w.At(at+time.Duration(w.Random.Int64N(int64(2500*time.Millisecond))), func() { w.Restart(p, 100*time.Millisecond) })
				}
			}
			w.Run(20 * time.Second)
			qt.Assert(t, w.Violations, qt.HasLen, 0)
		})
	}
}
