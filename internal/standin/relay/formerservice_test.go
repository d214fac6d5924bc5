package relay

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/routes"
	"github.com/jaytack/jaytack/internal/relay/serving"
)

// TestFlowsOfAFormerServiceOutliveRestarts guards against open flows of a service that their
// route no longer names and whose packets reach no upstream, or others only, once balancers and
// agents have restarted.
func TestFlowsOfAFormerServiceOutliveRestarts(t *testing.T) {
	const (
		moved     = 4 * time.Second
		restarted = 6 * time.Second
		down      = 300 * time.Millisecond
	)
	tests := []struct {
		name string
		// restartAt returns when the i-th of n processes of a role restarts.
		restartAt func(i, n int) time.Duration
	}{
		{"InTurn", func(i, _ int) time.Duration { return restarted + time.Duration(i)*400*time.Millisecond }},
		{"InHalves", func(i, n int) time.Duration { return restarted + time.Duration(2*i/n)*500*time.Millisecond }},
		{"AllAtOnce", func(_, _ int) time.Duration { return restarted }},
	}
	for _, test := range tests {
		for _, seed := range []uint64{1, 2, 3} {
			t.Run(fmt.Sprint(test.name, seed), func(t *testing.T) {
				t.Parallel()
				cfg := Kitambaa(seed)
				cfg.Services[1].Upstreams = 11
				w := New(cfg)
				w.ReportStrays = true
				w.At(moved, func() { w.Configure(Address(0), routes.Share{Service: cfg.Services[1].Name, Weight: 1}) })
				end := time.Duration(0)
				for _, ps := range [][]*Process{w.Balancers, w.Agents} {
					for i, p := range ps {
						at := test.restartAt(i, len(ps))
						end = max(end, at+down)
						w.At(at, func() { w.Restart(p, down) })
					}
				}
				w.Run(end + 8*time.Second)
				qt.Assert(t, w.Violations, qt.HasLen, 0)
				answered, unanswered := 0, 0
				for _, r := range w.Results {
					switch {
					case r.Kind.Service != 0 || r.At < restarted:
					case r.Latency > 0:
						answered++
					default:
						unanswered++
					}
				}
				qt.Assert(t, answered > 500, qt.IsTrue, qt.Commentf("%d answered", answered))
				qt.Assert(t, unanswered, qt.Equals, 0, qt.Commentf("of %d", answered+unanswered))
			})
		}
	}
}

// TestSearchesReachAllServicesOfARoute guards against open flows that get no packets because
// the search for their owner begins in another service of the route and waits there for an
// agent that does not answer.
func TestSearchesReachAllServicesOfARoute(t *testing.T) {
	const (
		moved     = 4 * time.Second
		restarted = 6 * time.Second
		down      = 300 * time.Millisecond
		silent    = 5 * time.Second
	)
	cfg := Kitambaa(4)
	w := New(cfg)
	w.ReportStrays = true
	w.At(moved, func() { w.Configure(Address(0), routes.Share{Service: cfg.Services[1].Name, Weight: 1}) })
	named := w.Agents[len(w.Agents)-1]
	w.At(restarted, func() {
		named.Paused = true
		for _, p := range w.Balancers {
			w.Restart(p, down)
		}
	})
	w.At(restarted+silent, func() { w.Resume(named) })
	w.Run(restarted + silent + 6*time.Second)
	qt.Assert(t, w.Violations, qt.HasLen, 0)
	late, all := 0, 0
	for _, r := range w.Results {
		if r.Kind.Service == 0 && r.At > restarted+down && r.At < restarted+silent-time.Second {
			all++
			if r.Latency == 0 || r.Latency > time.Second {
				late++
			}
		}
	}
	qt.Assert(t, all > 500, qt.IsTrue)
	qt.Assert(t, late*100 < all, qt.IsTrue, qt.Commentf("%d of %d late", late, all))
}

// TestFlowsOfAFormerServiceOutliveALeavingHome guards against open flows whose packets reach other
// upstreams only, since a search for their owner is handed to an agent of the former service that
// has left or stopped, of which the store tells the agents of the other service late.
func TestFlowsOfAFormerServiceOutliveALeavingHome(t *testing.T) {
	const (
		moved     = 4 * time.Second
		restarted = 6 * time.Second
		leaves    = restarted + 10*time.Second + quietPeriod
		down      = 300 * time.Millisecond
	)
	tests := []struct {
		name string
		// stop ends an agent of the former service.
		stop func(w *World, p *Process)
	}{
		{"Left", func(w *World, p *Process) {
			p.Upstream.Drain(0)
			w.After(serving.TickInterval, func() { w.Kill(p) })
		}},
		{"Crashed", func(w *World, p *Process) { w.Kill(p) }},
		{"Paused", func(_ *World, p *Process) { p.Paused = true }},
		{"Unreachable", func(w *World, p *Process) {
			w.Cut = func(from, to flow.IP) bool { return from == p.IP || to == p.IP }
		}},
	}
	for _, test := range tests {
		for _, seed := range []uint64{1, 2, 3} {
			t.Run(fmt.Sprintf("%s/%d", test.name, seed), func(t *testing.T) {
				t.Parallel()
				cfg := Registro(seed)
				cfg.Callers[2].Persistent = true
				w := New(cfg)
				w.ReportStrays = true
				w.At(moved, func() { w.Configure(Address(1), routes.Share{Service: cfg.Services[0].Name, Weight: 1}) })
				for i, p := range w.Agents {
					w.At(restarted+time.Duration(i)*800*time.Millisecond, func() { w.Restart(p, down) })
				}
				// The only agent of the former service in its data centre.
				leaving := w.Agents[cfg.Services[0].Upstreams]
				w.At(leaves, func() {
					test.stop(w, leaving)
					for _, p := range w.Balancers {
						if p.DataCentre == leaving.DataCentre {
							w.Restart(p, down)
						}
					}
				})
				w.Run(leaves + 5*time.Second)
				// Packets of flows at the upstream whose agent has failed may reach others only.
				own := fmt.Sprintf("than that of %v ", leaving.IP)
				violations := slices.DeleteFunc(w.Violations, func(v string) bool { return strings.Contains(v, own) })
				qt.Assert(t, violations, qt.HasLen, 0)
			})
		}
	}
}

// TestLostEntriesOfAFormerServiceEndNoFlow guards against the reset of open flows by agents that
// start while the store lacks the entries of the service that holds the flows, and turns away the
// agents that would write them again.
func TestLostEntriesOfAFormerServiceEndNoFlow(t *testing.T) {
	const (
		moved      = 4 * time.Second
		lost       = 6 * time.Second
		turnedAway = 6 * time.Second
		down       = 300 * time.Millisecond
	)
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			cfg := Kitambaa(seed)
			w := New(cfg)
			former := cfg.Services[0].Name
			isFormer := make(map[flow.IP]bool)
			w.At(moved, func() { w.Configure(Address(0), routes.Share{Service: cfg.Services[1].Name, Weight: 1}) })
			w.At(lost, func() {
				for _, p := range w.Agents {
					if p.service == former {
						isFormer[p.IP] = true
						delete(w.entries, p.IP)
						continue
					}
					w.Restart(p, down)
				}
				for _, p := range w.Balancers {
					w.Restart(p, down)
				}
			})
			w.StoreRefuses = func(ip flow.IP) bool {
				return isFormer[ip] && w.Now() < lost+turnedAway
			}
			w.Run(lost + turnedAway + 5*time.Second)
			qt.Assert(t, w.Violations, qt.HasLen, 0)
		})
	}
}
