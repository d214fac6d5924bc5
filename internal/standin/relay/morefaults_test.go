package relay

import (
	"fmt"
	"slices"
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

// withLateReads makes balancers that start read their members later than their configuration.
func withLateReads(cfg Config) Config {
	cfg.MaxReadDelay = 400 * time.Millisecond
	return cfg
}

// moreRandomFaults lists faults that randomFaults lacks; the runs of its seeds stay as they are.
var moreRandomFaults = []randomFault{
	{"StepClocks", func(w *randomRun, at time.Duration) {
		w.changeUpstreams(func(u *Upstream) {
			ahead := w.between(0, 3*time.Second)
			w.At(at, func() { u.ClockAhead = ahead })
			w.At(at+w.between(time.Second, 4*time.Second), func() { u.ClockAhead = 0 })
		})
	}},
	{"DelayHeartbeats", func(w *randomRun, at time.Duration) {
		w.changeUpstreams(func(u *Upstream) {
			w.At(at, func() {
				if u.alive {
					late := u.newHeartbeat()
					w.after(w.between(0, 5*time.Second), func() { u.sendHeartbeat(late) })
				}
			})
		})
	}},
}

// changeUpstreams calls f for half of the upstreams.
func (w *randomRun) changeUpstreams(f func(u *Upstream)) {
	for _, p := range w.Agents {
		if w.r.IntN(2) == 0 {
			f(p.Upstream)
		}
	}
}

// TestFlowsSurviveMoreRandomFaults resets no open flow while faults overlap: flows carry no
// request for seconds after they have opened, balancers read their members late, the time of day
// jumps and heartbeats are late.
func TestFlowsSurviveMoreRandomFaults(t *testing.T) {
	for _, seed := range testSeeds(t, nil) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w, faults := newRandomRunOf(withLateReads(withPauses(Registro(seed))), slices.Concat(randomFaults, moreRandomFaults, moreRandomFaults))
			w.Run(randomRunEnd)
			qt.Check(t, w.Violations, qt.HasLen, 0, qt.Commentf("faults %v", faults))
		})
	}
}

// TestPlannedWorkResetsNoFlowsOfMovedRoutes guards against the reset of open flows of a former
// service by balancers that have just started.
func TestPlannedWorkResetsNoFlowsOfMovedRoutes(t *testing.T) {
	for _, seed := range testSeeds(t, nil) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w, faults := newRandomRunOf(withLateReads(Kitambaa(seed)), plannedFaults())
			w.Run(randomRunEnd)
			qt.Check(t, w.Violations, qt.HasLen, 0, qt.Commentf("faults %v", faults))
		})
	}
}
