package relay

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Peaks of the demand of Ratenwerk.
const (
	firstPeak, secondPeak = 26 * time.Second, 39 * time.Second
	halfPeak              = 3 * time.Second
)

// lateAtPeaks returns the share of requests late or failed at the peaks of the demand.
func lateAtPeaks(w *World) float64 {
	all, late := 0, 0
	for _, r := range w.Results {
		if (r.At-firstPeak).Abs() < halfPeak || (r.At-secondPeak).Abs() < halfPeak {
			all++
			if r.Latency == 0 || r.Latency > r.Kind.Aim {
				late++
			}
		}
	}
	return float64(late) / float64(all)
}

// TestUnevenUpstreamsUnderAWave guards against requests that are late at slow upstreams while
// fast ones have room, although the mean load is below half of the slots. At least half of the
// late requests that placement without service times has are avoided. Nearly none is
// unavoidable: alone at a fast upstream no request takes as long as the target latency.
func TestUnevenUpstreamsUnderAWave(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			run := func(hide bool) float64 {
				cfg := Ratenwerk(seed)
				cfg.HideServiceTimes = hide
				w := New(cfg)
				w.Run(secondPeak + halfPeak)
				qt.Check(t, w.Violations, qt.HasLen, 0)
				return lateAtPeaks(w)
			}
			blind, informed := run(true), run(false)
			t.Logf("late at the peaks: %.2f %% without service times, %.2f %% with them", 100*blind, 100*informed)
			qt.Check(t, informed <= blind/2, qt.IsTrue)
		})
	}
}

// TestEvenUpstreamsStayEven guards against even upstreams whose estimates differ by chance, by
// the mix of kinds, or since some have started cold or had queues, so that the group counts as
// uneven.
func TestEvenUpstreamsStayEven(t *testing.T) {
	wave := Ratenwerk(3)
	wave.Services[0].Factors = nil
	wave.Scale(1.2)
	for _, test := range []struct {
		name string
		cfg  Config
	}{
		{"Wave", wave}, {"Registro", Registro(3)}, {"LargeRegistro", LargeRegistro(3)}, {"Kitambaa", Kitambaa(3)},
	} {
		t.Run(test.name, func(t *testing.T) {
			counts := countEvents(&test.cfg)
			w := New(test.cfg)
			w.At(9*time.Second, func() {
				for _, p := range w.Agents[:len(w.Agents)/6] {
					p.Upstream.Crash()
					w.after(time.Second, p.Upstream.Start)
				}
			})
			unevenAt, known := time.Duration(0), 0
			for at := time.Second; at < 25*time.Second; at += 100 * time.Millisecond {
				w.At(at, func() {
					known = 0
					for _, p := range w.Agents {
						s := p.Agent.Speed(w.now)
						if s.Uneven {
							unevenAt = w.Now()
						}
						if s.ReportedMicros > 0 {
							known++
						}
					}
				})
			}
			w.Run(25 * time.Second)
			qt.Check(t, unevenAt, qt.Equals, time.Duration(0))
			qt.Check(t, counts["RelativeSpeedChanged"], qt.Equals, 0)
			qt.Check(t, known >= len(w.Agents)*9/10, qt.IsTrue, qt.Commentf("%d of %d known", known, len(w.Agents)))
		})
	}
}

// usualServiceTime is about the median of the service times of Ratenwerk at a factor of 1.
const usualServiceTime = 24 * time.Millisecond

// checkServiceTime checks that an agent reports the service time of an upstream with a factor,
// within the dead band.
func checkServiceTime(t *testing.T, w *World, p *Process, factor float64) {
	t.Helper()
	s := p.Agent.Speed(w.now)
	ratio := float64(s.ReportedMicros) / float64(usualServiceTime.Microseconds()) / factor
	qt.Check(t, math.Abs(ratio-1) < 0.25, qt.IsTrue, qt.Commentf("factor %v at %v: %+v", factor, w.Now(), s))
}

// TestChangedUpstreamIsFollowed guards against an upstream that is starved or flooded since its
// predecessor was slow or fast, and against one that slows down while it runs.
func TestChangedUpstreamIsFollowed(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name     string
		from, to float64
		restart  bool
	}{
		{"FasterAfterRestart", 1.6, 0.6, true},
		{"SlowerAfterRestart", 0.6, 1.6, true},
		{"SlowerWhileItRuns", 0.6, 1.6, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := New(Ratenwerk(5))
			p := w.Agents[len(w.Agents)-1]
			p.Upstream.Factor = test.from
			w.At(20*time.Second, func() {
				checkServiceTime(t, w, p, test.from)
				p.Upstream.Factor = test.to
				if test.restart {
					p.Upstream.Crash()
					w.after(200*time.Millisecond, p.Upstream.Start)
				}
			})
			w.Run(45 * time.Second)
			checkServiceTime(t, w, p, test.to)
		})
	}
}

// TestUpstreamThatFailsFast guards against a faulty upstream that answers at once and thereby
// attracts the flows of an uneven group.
func TestUpstreamThatFailsFast(t *testing.T) {
	t.Parallel()
	w := New(Ratenwerk(6))
	faulty := w.Agents[4]
	faulty.Upstream.Factor = 0.02
	w.Run(30 * time.Second)
	flows, median := 0, 0
	for _, p := range w.Agents {
		if p.Upstream.Factor == 1 {
			flows += p.Upstream.SynsReceived
			median++
		}
	}
	share := float64(flows) / float64(median)
	t.Logf("%d flows, %.1f at upstreams of median speed", faulty.Upstream.SynsReceived, share)
	qt.Assert(t, faulty.Upstream.SynsReceived > 0 && float64(faulty.Upstream.SynsReceived) <= 1.25*share, qt.IsTrue)
}

// TestRestartedAgentLearnsAgain guards against an upstream that is flooded or left out after
// its agent has lost the estimate.
func TestRestartedAgentLearnsAgain(t *testing.T) {
	t.Parallel()
	w := New(Ratenwerk(7))
	p := w.Agents[8]
	qt.Assert(t, p.Upstream.Factor, qt.Equals, 1.6)
	w.At(20*time.Second, func() { w.Restart(p, 100*time.Millisecond) })
	flows := 0
	w.At(21*time.Second, func() {
		qt.Check(t, p.Agent.Speed(w.now).ReportedMicros, qt.Equals, int64(0))
		flows = p.Upstream.SynsReceived
	})
	w.Run(38 * time.Second)
	s := p.Agent.Speed(w.now)
	qt.Check(t, s.Relative > 1.25, qt.IsTrue, qt.Commentf("%+v", s))
	others := 0
	for _, a := range w.Agents {
		others += a.Upstream.SynsReceived
	}
	qt.Check(t, p.Upstream.SynsReceived > flows, qt.IsTrue)
	qt.Check(t, p.Upstream.SynsReceived < 2*others/len(w.Agents), qt.IsTrue)
}
