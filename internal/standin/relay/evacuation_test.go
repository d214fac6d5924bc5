package relay

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/relay/flow"
)

// evacuationBound is the time that the platform allows until an evacuation is in force,
// usualBound that which it takes while the store answers.
const (
	evacuationBound = 5 * time.Second
	usualBound      = 500 * time.Millisecond
)

// evacuating returns a fleet of 52 upstreams with evacuations under a load that two of its three
// data centres can serve.
func evacuating(seed uint64, within time.Duration) Config {
	cfg := LargeRegistro(seed)
	cfg.EvacuateWithin = within
	cfg.Scale(0.55)
	return cfg
}

// refused counts the requests from one time until before another that ended with a reset.
func refused(w *World, from, to time.Duration) (n, all int) {
	for _, r := range w.Results {
		if r.At >= from && r.At < to {
			all++
			if r.Outcome == "Reset" {
				n++
			}
		}
	}
	return n, all
}

// TestEvacuatedDataCentreGetsNoNewFlows guards against new flows at an evacuated data centre
// under load, and against callers that are served worse since the homes of its flows know too
// few upstreams elsewhere. Once it is taken back, it serves again at once.
func TestEvacuatedDataCentreGetsNoNewFlows(t *testing.T) {
	const evacuated, back, end = 3 * time.Second, 7 * time.Second, 11 * time.Second
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			cfg := evacuating(seed, usualBound)
			n := countEvents(&cfg)
			w := New(cfg)
			w.At(evacuated, func() { w.Evacuate("dc-0") })
			w.At(back, func() { w.TakeBack("dc-0") })
			w.Run(end)
			qt.Assert(t, w.Violations, qt.HasLen, 0)
			before, during, after := w.Served(1500*time.Millisecond, evacuated), w.Served(evacuated, back-time.Second), w.Served(back+500*time.Millisecond, end-time.Second)
			t.Logf("served %.3f, %.3f, %.3f; passed on %d, redirected %d; new flows before %d, after %d", before, during, after,
				n["FlowPassedOn"], n["FlowRedirected"], w.NewFlows("dc-0", evacuated-time.Second, evacuated), w.NewFlows("dc-0", back+time.Second, back+2*time.Second))
			qt.Check(t, during > 0.95, qt.IsTrue, qt.Commentf("%.3f", during))
			qt.Check(t, after > 0.95, qt.IsTrue, qt.Commentf("%.3f", after))
			qt.Check(t, n["FlowPassedOn"] > 0, qt.IsTrue)
			qt.Check(t, w.NewFlows("dc-0", back+time.Second, back+2*time.Second) > w.NewFlows("dc-0", evacuated-time.Second, evacuated)/2, qt.IsTrue)
		})
	}
}

// TestEvacuationsHoldUnderFaults guards against new flows at an evacuated data centre after
// faults that keep the request for it from most processes.
func TestEvacuationsHoldUnderFaults(t *testing.T) {
	const evacuated = 3 * time.Second
	restartAll := func(w *World, at time.Duration) {
		w.At(at, func() {
			for _, p := range append(w.Agents, w.Balancers...) {
				w.Restart(p, 500*time.Millisecond)
			}
		})
	}
	tests := []struct {
		name   string
		within time.Duration
		change func(w *World)
	}{
		{"StoreGoesAwayAfterTheAcknowledgement", usualBound, func(w *World) {
			w.At(evacuated+time.Millisecond, func() { w.StoreDown = true })
		}},
		{"AllButOneWatcherAreRefused", usualBound, func(w *World) {
			w.StoreRefuses = func(ip flow.IP) bool { return w.Now() > 2*time.Second && ip != w.Balancers[1].IP }
		}},
		{"WatchersRestartInAnOutage", usualBound, func(w *World) {
			w.At(evacuated+time.Millisecond, func() { w.StoreDown = true })
			for i, p := range w.Balancers {
				w.At(evacuated+time.Duration(500+200*i)*time.Millisecond, func() { w.Restart(p, 300*time.Millisecond) })
			}
		}},
		{"AgentsRestart", usualBound, func(w *World) {
			for i, p := range w.Agents {
				w.At(evacuated+time.Duration(i)*70*time.Millisecond, func() { w.Restart(p, 200*time.Millisecond) })
			}
		}},
		{"AllAreKilled", usualBound, func(w *World) { restartAll(w, evacuated+time.Second) }},
		{"AllAreKilledInAnOutage", usualBound, func(w *World) {
			w.At(evacuated+500*time.Millisecond, func() { w.StoreDown = true })
			restartAll(w, evacuated+time.Second)
			w.At(evacuated+3*time.Second, func() { w.StoreDown = false })
		}},
		{"DataCentreIsCutOff", evacuationBound, func(w *World) {
			w.Cut = func(from, to flow.IP) bool {
				a, b := w.processes[from], w.processes[to]
				return a != nil && b != nil && a.DataCentre != b.DataCentre && (a.DataCentre == "dc-0" || b.DataCentre == "dc-0") &&
					w.Now() > evacuated-time.Millisecond && w.Now() < evacuated+4*time.Second
			}
		}},
		{"StoreIsRestored", usualBound, func(w *World) {
			w.At(2*time.Second, func() { w.Evacuate("dc-1") })
			w.At(evacuated+100*time.Millisecond, func() {
				restore := w.CopyEntries()
				w.At(evacuated+time.Second, func() { w.Evacuate("dc-2"); w.TakeBack("dc-1") })
				// The operators' later writes are lost.
				w.At(evacuated+2*time.Second, restore)
			})
		}},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			cfg := evacuating(3, c.within)
			cfg.Scale(0.5)
			w := New(cfg)
			w.At(evacuated, func() { w.Evacuate("dc-0") })
			c.change(w)
			w.Run(evacuated + 7*time.Second)
			qt.Assert(t, w.Violations, qt.HasLen, 0)
			// The others serve new flows.
			n, all := refused(w, evacuated+5*time.Second, evacuated+6*time.Second)
			qt.Check(t, all > 100 && n < all/10, qt.IsTrue, qt.Commentf("%d of %d refused", n, all))
		})
	}
}

// TestSeveralDataCentresAreEvacuated guards against new flows that wait, or reach an upstream,
// while two or all data centres are evacuated. Open flows go on.
func TestSeveralDataCentresAreEvacuated(t *testing.T) {
	const first, second, all, back, end = 3 * time.Second, 4 * time.Second, 6 * time.Second, 8 * time.Second, 11 * time.Second
	cfg := evacuating(5, usualBound)
	cfg.Scale(0.4)
	w := New(cfg)
	w.At(first, func() { w.Evacuate("dc-0") })
	w.At(second, func() { w.Evacuate("dc-1") })
	w.At(all, func() { w.Evacuate("dc-2") })
	w.At(back, func() { w.TakeBack("dc-1") })
	w.Run(end)
	qt.Assert(t, w.Violations, qt.HasLen, 0)
	n, _ := refused(w, second+time.Second, all-500*time.Millisecond)
	qt.Check(t, n, qt.Equals, 0, qt.Commentf("one data centre is left"))
	opened, answered := 0, 0
	for _, r := range w.Results {
		if r.At < all+time.Second || r.At >= back-time.Second/2 {
			continue
		}
		switch r.Outcome {
		case "Reset":
			opened++
		case "Answered":
			answered++
		default:
			qt.Check(t, r.Outcome, qt.Equals, "Reset", qt.Commentf("request of %s at %v", r.Kind.Name, r.At))
		}
	}
	qt.Check(t, opened > 0, qt.IsTrue, qt.Commentf("new flows are refused at once"))
	qt.Check(t, answered > 0, qt.IsTrue, qt.Commentf("open flows go on"))
	n, served := refused(w, back+time.Second, end-time.Second)
	qt.Check(t, n, qt.Equals, 0, qt.Commentf("of %d", served))
	qt.Check(t, w.NewFlows("dc-1", back+time.Second, end) > 0, qt.IsTrue)
}

// TestOpenFlowsSurviveEvacuations guards against the reset of an open flow whose home does not
// know its owner, since another agent has placed it, while faults overlap with evacuations.
// Faults may keep a request from a process for any time, so that the bound is not checked.
func TestOpenFlowsSurviveEvacuations(t *testing.T) {
	for _, seed := range testSeedsOf(t, "JAYTACK_EVACUATION_SEEDS", 3, nil) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			cfg := evacuating(seed, time.Hour)
			for i := range cfg.Callers {
				cfg.Callers[i].Callers /= 8
			}
			n := countEvents(&cfg)
			w, faults := newRandomRunOf(cfg, randomFaults)
			for range 6 {
				dc := dataCentre(w.r.IntN(3))
				at := w.between(1500*time.Millisecond, 9*time.Second)
				w.At(at, func() { w.Evacuate(dc) })
				w.At(at+w.between(100*time.Millisecond, 4*time.Second), func() { w.TakeBack(dc) })
				faults = append(faults, fmt.Sprint("Evacuate ", dc, " ", at))
			}
			w.Run(randomRunEnd)
			qt.Check(t, w.Violations, qt.HasLen, 0, qt.Commentf("faults %v", faults))
			t.Logf("passed on %d", n["FlowPassedOn"])
		})
	}
}
