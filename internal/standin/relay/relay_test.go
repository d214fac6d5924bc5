package relay

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/routes"
	"github.com/jaytack/jaytack/internal/relay/serving"
)

func TestCalmDay(t *testing.T) {
	w := New(Registro(1))
	w.Run(12 * time.Second)
	qt.Assert(t, w.Violations, qt.HasLen, 0)
	qt.Assert(t, w.Served(time.Second, 10*time.Second) > 0.97, qt.IsTrue, qt.Commentf("%.3f", w.Served(time.Second, 10*time.Second)))
}

func TestFlowsSurvive(t *testing.T) {
	tests := []struct {
		name string
		// least is the minimum result of World.Served during the change and after it.
		least  float64
		change func(w *World)
	}{
		{"BalancersRestartInTurn", 0.90, func(w *World) {
			for i, p := range w.Balancers {
				w.At(time.Duration(2000+600*i)*time.Millisecond, func() { w.Restart(p, 700*time.Millisecond) })
			}
		}},
		{"AgentsRestartInTurn", 0.85, func(w *World) {
			for i, p := range w.Agents {
				w.At(time.Duration(2000+700*i)*time.Millisecond, func() { w.Restart(p, 300*time.Millisecond) })
			}
		}},
		{"AllProcessesAreKilled", 0.70, func(w *World) {
			w.At(3*time.Second, func() {
				for _, p := range append(w.Agents, w.Balancers...) {
					w.Restart(p, time.Second)
				}
			})
		}},
		{"StoreLosesEntriesAndAllAreKilled", 0.55, func(w *World) {
			w.At(2*time.Second, func() { w.StoreDown = true; w.LoseEntries() })
			w.At(3*time.Second, func() {
				for _, p := range append(w.Agents, w.Balancers...) {
					w.Restart(p, 500*time.Millisecond)
				}
			})
			w.At(4500*time.Millisecond, func() { w.StoreDown = false })
		}},
		{"StoreIsRestoredWhileAgentsJoinAndLeave", 0.90, func(w *World) {
			w.At(1500*time.Millisecond, func() {
				restore := w.CopyEntries()
				w.At(6*time.Second, restore)
			})
			for i := range 4 {
				w.At(time.Duration(2000+600*i)*time.Millisecond, func() {
					w.AddAgent(w.Services[0], i)
					w.Agents[i].Upstream.Drain(3 * time.Second)
				})
			}
		}},
		{"StoreIsRestoredAndAllAreKilled", 0.55, func(w *World) {
			w.At(1500*time.Millisecond, func() {
				restore := w.CopyEntries()
				w.At(3500*time.Millisecond, restore)
			})
			for i := range 2 {
				w.At(2*time.Second, func() { w.AddAgent(w.Services[0], i) })
			}
			w.At(3*time.Second, func() {
				for _, p := range append(w.Agents, w.Balancers...) {
					w.Restart(p, time.Second)
				}
			})
		}},
		{"UpstreamsDrainAndOthersJoin", 0.93, func(w *World) {
			for i := range 4 {
				w.At(time.Duration(2000+800*i)*time.Millisecond, func() {
					w.AddAgent(w.Services[0], i)
					w.Agents[i].Upstream.Drain(3 * time.Second)
				})
			}
		}},
		{"AgentsJoinWhileOthersOfTheirDataCentreLeave", 0.93, func(w *World) {
			for i := range 7 {
				w.At(time.Duration(2000+300*i)*time.Millisecond, func() {
					w.AddAgent(w.Services[0], i)
					w.Agents[i].Upstream.Drain(3 * time.Second)
				})
			}
		}},
		{"AgentIsFrozen", 0.80, func(w *World) {
			w.At(3*time.Second, func() { w.Agents[0].Paused = true })
			w.At(6*time.Second, func() { w.Resume(w.Agents[0]) })
		}},
		{"BalancerIsCutFromAgents", 0.85, func(w *World) {
			b := w.Balancers[0].IP
			w.At(3*time.Second, func() { w.Cut = func(from, to flow.IP) bool { return from == b || to == b } })
			w.At(6*time.Second, func() { w.Cut = func(_, _ flow.IP) bool { return false } })
		}},
		{"AgentsAreCutFromEachOther", 0.90, func(w *World) {
			w.At(3*time.Second, func() {
				w.Cut = func(from, to flow.IP) bool { return from>>8 == to>>8 && from>>16 == 0x0a02 && (from^to)&1 == 1 }
			})
			w.At(6*time.Second, func() { w.Cut = func(_, _ flow.IP) bool { return false } })
		}},
	}
	for _, test := range tests {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s/%d", test.name, seed), func(t *testing.T) {
				w := New(Registro(seed))
				test.change(w)
				w.Run(12 * time.Second)
				qt.Check(t, w.Violations, qt.HasLen, 0)
				got := w.Served(2*time.Second, 10*time.Second)
				t.Logf("served %.3f", got)
				qt.Check(t, got >= test.least, qt.IsTrue, qt.Commentf("served %.3f", got))
			})
		}
	}
}

func TestUpstreamRestartResetsFlows(t *testing.T) {
	var resets []string
	cfg := Registro(4)
	cfg.Trace = func(_ time.Duration, _ flow.IP, event string, pairs []any) {
		if event == "FlowReset" {
			resets = append(resets, fmt.Sprint(pairs...))
		}
	}
	w := New(cfg)
	w.At(3*time.Second, func() {
		w.Agents[0].Upstream.Crash()
		w.Agents[0].Upstream.Start()
	})
	w.Run(8 * time.Second)
	qt.Assert(t, w.Violations, qt.HasLen, 0)
	qt.Assert(t, strings.Contains(strings.Join(resets, "\n"), "UpstreamLostFlow"), qt.IsTrue)
	qt.Assert(t, w.Served(3*time.Second, 7*time.Second) > 0.9, qt.IsTrue)
}

// countEvents sets cfg.Trace and returns the number of decisions by event, which the
// simulation updates.
func countEvents(cfg *Config) map[string]int {
	n := make(map[string]int)
	cfg.Trace = func(_ time.Duration, _ flow.IP, event string, _ []any) { n[event]++ }
	return n
}

func TestCrashedUpstreamGetsNoNewFlows(t *testing.T) {
	cfg := Registro(6)
	n := countEvents(&cfg)
	w := New(cfg)
	w.At(3*time.Second, func() { w.Agents[0].Upstream.CrashVisibly() })
	w.Run(9 * time.Second)
	qt.Assert(t, w.Violations, qt.HasLen, 0)
	// The first bounce is reported to all agents; a few flows may be in transit meanwhile.
	qt.Assert(t, n["FirstPacketBounced"] > 0 && n["FirstPacketBounced"] < 10, qt.IsTrue, qt.Commentf("%d", n["FirstPacketBounced"]))
	qt.Assert(t, w.Served(3*time.Second, 8*time.Second) > 0.95, qt.IsTrue)
}

func TestFlowIsNotPassedInCircles(t *testing.T) {
	cfg := Registro(7)
	n := countEvents(&cfg)
	w := New(cfg)
	w.At(3*time.Second, func() {
		for _, p := range w.Agents[:7] {
			p.Upstream.CrashVisibly()
		}
	})
	w.Run(3200 * time.Millisecond)
	placed := n["FlowPlaced"]
	w.Run(6 * time.Second)
	// No upstream is left: the number of placements of each flow is limited.
	qt.Assert(t, n["FlowPlaced"]-placed < 5*n["FlowReset"], qt.IsTrue, qt.Commentf("%v", n))
	qt.Assert(t, n["FlowReset"] > 0, qt.IsTrue)
}

func TestResetOfAskedUpstreamStaysInside(t *testing.T) {
	cfg := Registro(8)
	n := countEvents(&cfg)
	w := New(cfg)
	w.At(2*time.Second, func() {
		for _, p := range w.Agents {
			p.Upstream.ResetsUnknown = true
		}
		for _, p := range append(w.Agents, w.Balancers...) {
			w.Restart(p, 300*time.Millisecond)
		}
	})
	w.Run(8 * time.Second)
	qt.Assert(t, w.Violations, qt.HasLen, 0)
	qt.Assert(t, n["UpstreamDisownsFlow"] > 0, qt.IsTrue, qt.Commentf("%v", n))
}

func TestRestartedAgentKeepsDraining(t *testing.T) {
	w := New(Registro(9))
	a := w.Agents[0]
	w.At(3*time.Second, func() { a.Upstream.Drain(6 * time.Second) })
	// Entries are written every 1.5 s, so the store has the draining one by then.
	w.At(5*time.Second, func() { w.Restart(a, 100*time.Millisecond) })
	var offered int
	w.At(5100*time.Millisecond, func() { offered = a.Upstream.SynsReceived })
	w.At(8*time.Second, func() { qt.Check(t, a.Upstream.SynsReceived, qt.Equals, offered) })
	w.Run(9 * time.Second)
	qt.Assert(t, w.Violations, qt.HasLen, 0)
}

// TestUpstreamDrainsAfterItsClockJumpedBack guards against new flows at a draining upstream: it
// has started with a lower start time than its predecessor, since the time of day had jumped
// ahead before and back again.
func TestUpstreamDrainsAfterItsClockJumpedBack(t *testing.T) {
	const drains = 9 * time.Second
	w := New(Registro(9))
	a := w.Agents[0]
	restart := func(ahead time.Duration) func() {
		return func() {
			a.Upstream.Crash()
			a.Upstream.ClockAhead = ahead
			a.Upstream.Start()
		}
	}
	// Callers start later, so that no packet is lost that would make the upstream look silent.
	w.At(100*time.Millisecond, restart(2400*time.Millisecond))
	w.At(800*time.Millisecond, restart(0))
	w.At(drains, func() { a.Upstream.Drain(7 * time.Second) })
	var before, offered int
	w.At(drains-time.Second, func() { before = a.Upstream.SynsReceived })
	w.At(drains+3*time.Second, func() {
		offered = a.Upstream.SynsReceived
		qt.Check(t, offered > before, qt.IsTrue, qt.Commentf("it got flows before it drained"))
	})
	w.Run(drains + 6*time.Second)
	qt.Check(t, a.Upstream.SynsReceived, qt.Equals, offered)
	qt.Assert(t, w.Violations, qt.HasLen, 0)
}

func TestLateHeartbeatAfterRestartEndsNoFlow(t *testing.T) {
	w := New(Registro(10))
	a := w.Agents[0]
	w.At(3*time.Second, func() { w.Restart(a, 100*time.Millisecond) })
	w.At(3150*time.Millisecond, func() {
		// A heartbeat of an earlier upstream of the instance, delayed by a partition.
		a.Agent.HandleHeartbeat(w.now, serving.Heartbeat{Upstream: "old", Service: "padron", DataCentre: a.DataCentre, Born: -5, Sequence: 90})
	})
	w.Run(8 * time.Second)
	qt.Assert(t, w.Violations, qt.HasLen, 0)
}

func TestLateLeaveAfterRestartEndsNothing(t *testing.T) {
	w := New(Registro(11))
	a := w.Agents[0]
	w.At(3*time.Second, func() { w.Restart(a, 100*time.Millisecond) })
	w.At(3150*time.Millisecond, func() { a.Agent.HandleLeave(w.now, "old") })
	w.Run(8 * time.Second)
	qt.Assert(t, w.Violations, qt.HasLen, 0)
}

func TestProcessesRestartWhileTheStoreIsDown(t *testing.T) {
	w := New(Registro(12))
	w.At(2*time.Second, func() { w.StoreDown = true })
	w.At(3*time.Second, func() {
		w.Restart(w.Agents[0], 200*time.Millisecond)
		w.Restart(w.Agents[3], 200*time.Millisecond)
	})
	w.Run(9 * time.Second)
	qt.Assert(t, w.Violations, qt.HasLen, 0)
	got := w.Served(4*time.Second, 8*time.Second)
	qt.Assert(t, got > 0.95, qt.IsTrue, qt.Commentf("%.3f", got))
}

func TestFlowsStayWhereTheyAreWhenRoutesChange(t *testing.T) {
	tests := []struct {
		name          string
		before, after []routes.Share
	}{
		{"AnotherService", []routes.Share{{Service: "padron", Weight: 1}}, []routes.Share{{Service: "recuento", Weight: 1}}},
		{"OtherWeights", []routes.Share{{Service: "padron", Weight: 9}, {Service: "recuento", Weight: 1}}, []routes.Share{{Service: "padron", Weight: 1}, {Service: "recuento", Weight: 9}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			cfg := Registro(13)
			n := countEvents(&cfg)
			w := New(cfg)
			w.Configure(Address(0), test.before...)
			w.At(4*time.Second, func() { w.Configure(Address(0), test.after...) })
			// One balancer stops, so that its flows move to balancers without hints, and
			// the agents lose their owner tables.
			w.At(6*time.Second, func() {
				w.Kill(w.Balancers[0])
				for _, p := range w.Agents {
					w.Restart(p, 200*time.Millisecond)
				}
			})
			w.Run(10 * time.Second)
			qt.Assert(t, w.Violations, qt.HasLen, 0)
			qt.Assert(t, n["SearchHandedOn"] > 0, qt.IsTrue, qt.Commentf("%v", n))
		})
	}
}

func TestSameSeedSameResults(t *testing.T) {
	run := func() []Result {
		w := New(Registro(5))
		w.At(2*time.Second, func() { w.Restart(w.Balancers[1], time.Second) })
		w.Run(5 * time.Second)
		for i := range w.Results {
			w.Results[i].Kind = nil
		}
		return w.Results
	}
	qt.Assert(t, run(), qt.DeepEquals, run())
}

// TestOpenFlowsSurviveBalancersThatMissedARoute guards against resets of open flows by
// processes that do not know the services that an address had before: an address moves to
// another service, then balancers restart, some or all of them, and read only the newest
// configuration. Agents restart too, so that homes have to search for the owners.
func TestOpenFlowsSurviveBalancersThatMissedARoute(t *testing.T) {
	for _, restarted := range []int{1, 6} {
		t.Run(fmt.Sprint(restarted), func(t *testing.T) {
			cfg := Registro(31)
			n := countEvents(&cfg)
			w := New(cfg)
			w.At(4*time.Second, func() { w.Configure(Address(0), routes.Share{Service: "recuento", Weight: 1}) })
			w.At(6*time.Second, func() {
				for _, p := range w.Balancers[:restarted] {
					w.Restart(p, 300*time.Millisecond)
				}
				for _, p := range w.Agents {
					w.Restart(p, 200*time.Millisecond)
				}
			})
			w.Run(10 * time.Second)
			qt.Assert(t, w.Violations, qt.HasLen, 0)
			qt.Assert(t, n["SearchHandedOn"] > 0, qt.IsTrue, qt.Commentf("%v", n))
		})
	}
}

// TestOpenFlowsSurviveManyMovesOfARoute guards against former services that are forgotten
// while flows are still open there: an address moves through more services than a route
// remembers, and the agents then lose their tables.
func TestOpenFlowsSurviveManyMovesOfARoute(t *testing.T) {
	cfg := Registro(32)
	for i := range 6 {
		cfg.Services = append(cfg.Services, Service{Name: fmt.Sprintf("extra-%d", i), Upstreams: 1, Slots: 4, Queue: 16})
	}
	w := New(cfg)
	for i := range 6 {
		w.At(4*time.Second+time.Duration(i)*2*time.Second, func() {
			w.Configure(Address(0), routes.Share{Service: fmt.Sprintf("extra-%d", i), Weight: 1})
		})
	}
	w.At(16500*time.Millisecond, func() {
		for _, p := range w.Agents {
			w.Restart(p, 200*time.Millisecond)
		}
	})
	w.Run(20 * time.Second)
	qt.Assert(t, w.Violations, qt.HasLen, 0)
}
