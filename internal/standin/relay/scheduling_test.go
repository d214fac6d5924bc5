package relay

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The load of two kinds, relative to what the slots can serve, in a usual time and in a peak
// that begins at peakStart and ends at peakEnd.
const (
	usualUse, peakUse  = 0.7, 1.3
	peakStart, peakEnd = 4 * time.Second, 7 * time.Second
)

// twoKindsUse is the use of the slots of twoKinds by callers at their usual rates: 1,156 polls
// a second of 26 ms and 330 approvals of 33 ms, 18 % more with the stragglers.
const twoKindsUse = 0.49

// twoKinds returns a fleet in which two kinds of requests on long flows share 49 upstreams with
// two slots. The rates of both are relative to what the slots can serve of their usual mix.
func twoKinds(seed uint64, poll, approve func(at time.Duration) float64) Config {
	// There are several times as many callers as requests a second, so that callers that wait
	// do not end an overload.
	const callersPerRate = 4
	rate := func(use func(time.Duration) float64) func(time.Duration) float64 {
		return func(at time.Duration) float64 { return use(at) / twoKindsUse / callersPerRate }
	}
	cfg := Registro(seed)
	cfg.DataCentres, cfg.Balancers, cfg.CrossDataCentreDelay, cfg.RoutePerKind = 4, 24, 500*time.Microsecond, true
	cfg.Services = []Service{{Name: "checkout", Upstreams: 49, Slots: 2, Queue: 8}}
	cfg.Callers = []Kind{
		{Name: "Poll", Callers: 289 * callersPerRate, Rate: rate(poll), MaxRate: 2, Persistent: true, Idempotent: true, ServiceTime: 26 * time.Millisecond, Aim: 250 * time.Millisecond, Deadline: 1500 * time.Millisecond, Value: 1, LateValue: 0.3, Retries: 2, Priority: 2},
		{Name: "Approve", Callers: 82 * callersPerRate, Rate: rate(approve), MaxRate: 2, Persistent: true, ServiceTime: 33 * time.Millisecond, Aim: 300 * time.Millisecond, Deadline: 1500 * time.Millisecond, Value: 2, LateValue: 0.6, Retries: 2, Priority: 1},
	}
	return cfg
}

func constantUse(use float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return use }
}

func peakOf(use float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= peakStart && at < peakEnd {
			return use
		}
		return usualUse
	}
}

// smallTwoKinds returns a tenth of the fleet of twoKinds, at a load that makes requests wait.
func smallTwoKinds(seed uint64) Config {
	cfg := twoKinds(seed, constantUse(peakUse), constantUse(peakUse))
	cfg.Services[0].Upstreams, cfg.Balancers = 5, 4
	for i := range cfg.Callers {
		cfg.Callers[i].Callers /= 10
	}
	return cfg
}

// shares describes the results of the requests of a time: in time, late and failed by kind.
func (w *World) shares(from, to time.Duration) string {
	count := make(map[string][3]int)
	for _, r := range w.Results {
		if r.At < from || r.At >= to {
			continue
		}
		c := count[r.Kind.Name]
		switch {
		case r.Credit() == 1:
			c[0]++
		case r.Credit() > 0:
			c[1]++
		default:
			c[2]++
		}
		count[r.Kind.Name] = c
	}
	s := ""
	for _, k := range w.Callers {
		c := count[k.Name]
		n := float64(c[0] + c[1] + c[2])
		s += fmt.Sprintf(" %s in time %.3f late %.3f failed %.3f", k.Name, float64(c[0])/n, float64(c[1])/n, float64(c[2])/n)
	}
	return s
}

// timesRun returns how often each request has started to run.
func (w *World) timesRun() map[uint32]int {
	n := make(map[uint32]int)
	for _, p := range w.Agents {
		for r := range p.Upstream.startedRequests {
			n[r]++
		}
	}
	return n
}

func (w *World) heldRequests() (n int64) {
	for _, p := range w.Agents {
		if p.Agent != nil {
			n += p.Agent.Counts.Held
		}
	}
	return n
}

// TestOrderOfTwoKinds guards against agents that order requests to the disadvantage of their
// callers. It compares the weighted credit with that of agents that deliver all requests at
// once: in overloads it must be higher, otherwise equal up to chance, and retries must not
// amplify a peak.
func TestOrderOfTwoKinds(t *testing.T) {
	wave := func(at time.Duration) float64 {
		const period = 6 * time.Second
		x := float64(at%period) / float64(period)
		return 0.6 * (1 + 0.55*(1-4*max(x-0.5, 0.5-x)))
	}
	tests := []struct {
		name          string
		poll, approve func(time.Duration) float64
		change        func(w *World)
		// leastGain and leastGainAfter are the least differences of the credit in the peak and in
		// the time after it.
		leastGain, leastGainAfter float64
		seeds                     int
	}{
		{"Peak", peakOf(peakUse), peakOf(peakUse), func(*World) {}, 0.01, -0.005, 2},
		{"BurstOfTheUrgent", constantUse(usualUse), peakOf(3.2), func(*World) {}, 0.005, -0.005, 1},
		{"LossOfAll", constantUse(usualUse), constantUse(usualUse), func(w *World) {
			w.At(peakStart, func() { w.LosePower(time.Second) })
		}, 0.05, 0.05, 1},
		{"CalmWave", wave, wave, func(*World) {}, -0.005, -0.005, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			const end = peakEnd + 4*time.Second
			var during, after [2]float64
			var ran [2]int
			for seed := range test.seeds {
				for i, singleKind := range []bool{true, false} {
					cfg := twoKinds(uint64(seed), test.poll, test.approve)
					cfg.SingleKind = singleKind
					w := New(cfg)
					test.change(w)
					w.Run(end + 2*time.Second)
					qt.Check(t, w.Violations, qt.HasLen, 0)
					d, a := w.Served(peakStart, peakEnd), w.Served(peakEnd, end)
					t.Logf("seed %d ordered %t held %d: credit %.4f, then %.4f; %s; then %s", seed, !singleKind, w.heldRequests(), d, a, w.shares(peakStart, peakEnd), w.shares(peakEnd, end))
					during[i] += d / float64(test.seeds)
					after[i] += a / float64(test.seeds)
					for _, p := range w.Agents {
						ran[i] += p.Upstream.Ran + p.Upstream.Shed
					}
				}
			}
			t.Logf("credit %.4f with, %.4f without order; then %.4f, %.4f; %d, %d requests reached upstreams", during[1], during[0], after[1], after[0], ran[1], ran[0])
			qt.Check(t, during[1]-during[0] >= test.leastGain, qt.IsTrue)
			qt.Check(t, after[1]-after[0] >= test.leastGainAfter, qt.IsTrue)
			if test.name != "LossOfAll" {
				qt.Check(t, float64(ran[1]) <= 1.02*float64(ran[0]), qt.IsTrue)
			}
		})
	}
}

// TestHeldRequestsSurviveFaults guards against requests that run twice, or flows that are reset
// at an upstream that holds them, if agents and upstreams change while requests are held.
func TestHeldRequestsSurviveFaults(t *testing.T) {
	const fault = 3 * time.Second
	tests := []struct {
		name   string
		change func(w *World, p *Process)
		// least is the minimum of World.Served after the fault, where the overload goes on.
		least float64
	}{
		{"AgentIsKilled", func(w *World, p *Process) { w.Restart(p, 100*time.Millisecond) }, 0.6},
		{"AgentStops", func(w *World, p *Process) {
			w.Stop(p)
			w.After(400*time.Millisecond, func() { w.Restart(p, 100*time.Millisecond) })
		}, 0.6},
		{"AgentIsPaused", func(w *World, p *Process) {
			p.Paused = true
			w.After(700*time.Millisecond, func() { w.Resume(p) })
		}, 0.6},
		{"UpstreamIsReplaced", func(w *World, p *Process) {
			p.Upstream.Crash()
			w.After(200*time.Millisecond, p.Upstream.Start)
		}, 0.5},
		{"UpstreamDrains", func(_ *World, p *Process) { p.Upstream.Drain(time.Second) }, 0.5},
	}
	for _, test := range tests {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s/%d", test.name, seed), func(t *testing.T) {
				t.Parallel()
				w := New(smallTwoKinds(seed))
				w.At(fault, func() { test.change(w, w.Agents[0]) })
				held := int64(0)
				w.At(fault-time.Millisecond, func() { held = w.Agents[0].Agent.Counts.Held })
				w.Run(fault + 5*time.Second)
				qt.Check(t, w.Violations, qt.HasLen, 0)
				qt.Check(t, held > 0, qt.IsTrue)
				for r, n := range w.timesRun() {
					qt.Check(t, n, qt.Equals, 1, qt.Commentf("request %d", r))
				}
				got := w.Served(fault, fault+3*time.Second)
				t.Logf("served %.3f", got)
				qt.Check(t, got >= test.least, qt.IsTrue, qt.Commentf("served %.3f", got))
			})
		}
	}
}

// TestTwoKindsSurviveRandomFaults resets no open flow and runs no request twice while faults
// overlap in a fleet that holds requests.
func TestTwoKindsSurviveRandomFaults(t *testing.T) {
	failed := map[uint64]string{71129: "two requests of the stand-in had the same number"}
	for _, seed := range testSeedsOf(t, "JAYTACK_SEEDS", 10, failed) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			cfg := Registro(seed)
			cfg.Scale(2)
			cfg.RoutePerKind = true
			cfg.Callers[0].Priority = 1
			w, faults := newRandomRunOf(cfg, randomFaults)
			w.Run(randomRunEnd)
			qt.Check(t, w.Violations, qt.HasLen, 0, qt.Commentf("faults %v", faults))
			for r, n := range w.timesRun() {
				qt.Check(t, n, qt.Equals, 1, qt.Commentf("request %d, faults %v", r, faults))
			}
			t.Logf("held %d, served %.3f", w.heldRequests(), w.Served(time.Second, randomRunEnd-2*time.Second))
		})
	}
}
