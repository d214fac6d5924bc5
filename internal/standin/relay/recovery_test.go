package relay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/relay/polling"
	"github.com/jaytack/jaytack/internal/relay/routes"
)

// TestLateFlowsMakeNoOthersLate replays the return after a power failure: the backlog of
// the outage and the usual demand arrive together at cold upstreams. Flows that are late
// already must not fill the upstreams, or the requests that start after the return are late
// too.
func TestLateFlowsMakeNoOthersLate(t *testing.T) {
	// The users' target for a whole day with such a failure is 0.90.
	const least = 0.90
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			const lost, downtime = 10 * time.Second, 1600 * time.Millisecond
			w := New(Kitambaa(seed))
			w.At(lost, func() { w.LosePower(downtime) })
			w.Run(18 * time.Second)
			qt.Assert(t, w.Violations, qt.HasLen, 0)
			back := lost + downtime
			got := w.Served(back+500*time.Millisecond, back+2500*time.Millisecond)
			t.Logf("served %.3f", got)
			qt.Check(t, got >= least, qt.IsTrue, qt.Commentf("served %.3f", got))
		})
	}
}

// TestPlannedStopUnderLoadCutsNothing guards against requests that are cut off just after
// they were accepted: all processes stop and start again in turn, as at a rolling update,
// under peak load. Every request must be answered.
func TestPlannedStopUnderLoadCutsNothing(t *testing.T) {
	const drain, down = 400 * time.Millisecond, 100 * time.Millisecond
	cfg := Kitambaa(51)
	cfg.Scale(1.5)
	cfg.LossPerMille = 0
	w := New(cfg)
	for i, p := range append(append([]*Process{}, w.Agents...), w.Balancers...) {
		at := 3*time.Second + time.Duration(i)*600*time.Millisecond
		w.At(at, func() { w.Stop(p) })
		w.At(at+drain, func() { w.Restart(p, down) })
	}
	w.Run(18 * time.Second)
	qt.Assert(t, w.Violations, qt.HasLen, 0)
	lost := map[string]int{}
	for _, r := range w.Results {
		if r.At < 13*time.Second && r.Latency == 0 {
			lost[r.Kind.Name+" "+r.Outcome]++
		}
	}
	qt.Assert(t, lost, qt.DeepEquals, map[string]int{})
}

// TestPausedProcessesResetNoOpenFlow guards against decisions on knowledge that ran out
// during a pause: agents are paused in turn for longer than the lifetime of a store entry
// while routes move, upstreams are replaced and others join.
func TestPausedProcessesResetNoOpenFlow(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := New(Kitambaa(60 + seed))
			for i, p := range []*Process{w.Agents[0], w.Agents[3], w.Balancers[1], w.Balancers[2]} {
				at := 3*time.Second + time.Duration(i)*500*time.Millisecond
				w.At(at, func() { p.Paused = true })
				w.At(at+polling.LeaseTTL+time.Second, func() { w.Resume(p) })
			}
			w.At(5*time.Second, func() { w.Configure(Address(0), routes.Share{Service: "pattern-desk", Weight: 1}) })
			w.At(6*time.Second, func() { w.AddAgent(w.Services[1], 1) })
			w.At(7*time.Second, func() {
				w.Agents[5].Upstream.Crash()
				w.Agents[5].Upstream.Start()
			})
			w.At(9*time.Second, func() { w.Configure(Address(0), routes.Share{Service: "fold-studio", Weight: 1}) })
			w.Run(20 * time.Second)
			qt.Assert(t, w.Violations, qt.HasLen, 0)
			// The longest request takes its deadline, which ends before this time.
			qt.Check(t, w.Served(17*time.Second, 19*time.Second) > 0.9, qt.IsTrue)
		})
	}
}

// TestFlowsOfAgentsMissingInTheCopyAreNotReset guards against resets of open flows whose
// agents the restored store does not list: the others restart before them and take the
// store's list for complete, since it has their own entries.
func TestFlowsOfAgentsMissingInTheCopyAreNotReset(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			cfg := Registro(70 + seed)
			cfg.Services, cfg.Callers = cfg.Services[:1], cfg.Callers[:2]
			w := New(cfg)
			listed := slices.Clone(w.Agents)
			w.At(1500*time.Millisecond, func() {
				restore := w.CopyEntries()
				w.At(5*time.Second, restore)
				for i := range 3 {
					w.AddAgent(w.Services[0], i)
				}
			})
			w.At(4500*time.Millisecond, func() {
				w.Kill(w.Balancers[0])
				for _, p := range w.Agents {
					after := 700 * time.Millisecond
					if !slices.Contains(listed, p) {
						after = 1500 * time.Millisecond
					}
					w.Restart(p, after)
				}
			})
			w.Run(12 * time.Second)
			qt.Assert(t, w.Violations, qt.HasLen, 0)
		})
	}
}
