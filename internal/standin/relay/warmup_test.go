package relay

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/serving"
	"github.com/jaytack/jaytack/internal/relay/warmup"
)

// warmUpRate is the rate of the tests: far below what callers ask of an upstream, and high
// enough that twice the rate exceeds the usual overage and slack.
const warmUpRate = 20

// limitedFleet returns a fleet of two data centres whose callers open a flow for each request:
// about 40 new flows a second for each of 8 upstreams.
func limitedFleet(seed uint64) Config {
	cfg := Registro(seed)
	cfg.DataCentres, cfg.Balancers, cfg.LossPerMille = 2, 4, 0
	cfg.Services = []Service{{Name: "stock", Upstreams: 8, Slots: 4, Queue: 16}}
	cfg.WarmUpRates = map[string]warmup.Rate{"stock": warmUpRate}
	cfg.WarmUp = warmup.Bounds{Overage: 1.5, Slack: 5}
	cfg.Callers = []Kind{{
		Name: "Read", Callers: 160, Rate: constantRate(1), Idempotent: true, ServiceTime: 20 * time.Millisecond,
		Aim: 200 * time.Millisecond, Deadline: 1500 * time.Millisecond, Value: 1, LateValue: 0.3, Retries: 2,
	}}
	return cfg
}

// runLimited runs a fault in a fleet for some seeds and fails on violations.
func runLimited(t *testing.T, until time.Duration, prepare func(w *World), check func(t *testing.T, w *World, events map[string]int)) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			cfg := limitedFleet(seed)
			events := countEvents(&cfg)
			w := New(cfg)
			prepare(w)
			w.Run(until)
			qt.Assert(t, w.Violations, qt.HasLen, 0)
			most := 0
			for _, p := range w.Agents {
				most = max(most, p.Upstream.MostFirstPackets)
			}
			t.Logf("most first packets %d, events %v", most, events)
			if check != nil {
				check(t, w, events)
			}
		})
	}
}

// restartUpstream crashes an upstream and starts it after the downtime.
func (w *World) restartUpstream(p *Process, downtime time.Duration) {
	p.Upstream.Crash()
	w.after(downtime, p.Upstream.Start)
}

// TestColdDataCentreBesideWarmOnes guards against the overload of upstreams that return cold
// together, and against callers who wait for them while warm upstreams are free.
func TestColdDataCentreBesideWarmOnes(t *testing.T) {
	runLimited(t, 11*time.Second, func(w *World) {
		w.At(5*time.Second, func() {
			for _, p := range w.Agents {
				if p.DataCentre == dataCentre(0) {
					w.Kill(p)
					p.Upstream.Crash()
					w.after(2*time.Second, func() { w.Start(p); p.Upstream.Start() })
				}
			}
		})
	}, func(t *testing.T, w *World, _ map[string]int) {
		got := w.Served(7*time.Second, 9*time.Second)
		t.Logf("served %.3f", got)
		qt.Check(t, got > 0.9, qt.IsTrue, qt.Commentf("served %.3f", got))
	})
}

// TestAllColdUnderLoad guards against flows that gather at some cold upstreams while others have
// flows left, and against callers who wait until they give up instead of being refused at once.
func TestAllColdUnderLoad(t *testing.T) {
	t.Parallel()
	runLimited(t, 11*time.Second, func(w *World) {
		w.At(5*time.Second, func() { w.LosePower(time.Second) })
	}, func(t *testing.T, w *World, events map[string]int) {
		least := warmUpRate
		for _, p := range w.Agents {
			least = min(least, p.Upstream.MostFirstPackets)
		}
		qt.Check(t, least >= warmUpRate/2, qt.IsTrue, qt.Commentf("an upstream got only %d", least))
		requests, unopened := 0, 0
		for _, r := range w.Results {
			if r.At >= 5500*time.Millisecond && r.At < 9*time.Second {
				requests++
				if r.Outcome == "NotOpened" {
					unopened++
				}
			}
		}
		t.Logf("%d of %d requests not opened, %d flows given up", unopened, requests, events["FlowGivenUp"])
		// Flows that still wait when the limit ends may be overtaken by flows that are in time.
		qt.Check(t, float64(unopened) <= 0.02*float64(requests), qt.IsTrue, qt.Commentf("%d of %d not opened", unopened, requests))
	})
}

// TestAgentRestartsInTheWarmUp guards against an agent that forgets the deliveries of its
// predecessor to the cold upstream.
func TestAgentRestartsInTheWarmUp(t *testing.T) {
	t.Parallel()
	for _, downtime := range []time.Duration{20 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(fmt.Sprint(downtime), func(t *testing.T) {
			runLimited(t, 9*time.Second, func(w *World) {
				w.At(5*time.Second, func() {
					for _, p := range w.Agents[:4] {
						w.restartUpstream(p, 500*time.Millisecond)
					}
				})
				for i, p := range w.Agents[:4] {
					w.At(5900*time.Millisecond+time.Duration(i)*150*time.Millisecond, func() { w.Restart(p, downtime) })
				}
			}, nil)
		})
	}
}

// TestUpstreamRestartsAlone guards against an agent that takes the restarted upstream beside it
// for the warm one it knew.
func TestUpstreamRestartsAlone(t *testing.T) {
	t.Parallel()
	for _, downtime := range []time.Duration{50 * time.Millisecond, 400 * time.Millisecond, 3 * time.Second} {
		for _, visible := range []bool{false, true} {
			t.Run(fmt.Sprint(downtime, visible), func(t *testing.T) {
				runLimited(t, 12*time.Second, func(w *World) {
					for i, p := range w.Agents[:6] {
						w.At(5*time.Second+time.Duration(i)*170*time.Millisecond, func() {
							w.restartUpstream(p, downtime)
							p.Upstream.bouncesPackets = visible
						})
					}
				}, nil)
			})
		}
	}
}

// TestHeartbeatsOfColdUpstreamsAreLostOrLate guards against an agent that believes for long that
// its upstream is warm although it has heard nothing since the upstream was away.
func TestHeartbeatsOfColdUpstreamsAreLostOrLate(t *testing.T) {
	t.Parallel()
	for _, upstreams := range []int{4, 8} {
		for _, downtime := range []time.Duration{160 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond} {
			for _, delay := range []time.Duration{200 * time.Millisecond, 2 * heartbeatInterval} {
				t.Run(fmt.Sprint(upstreams, downtime, delay), func(t *testing.T) {
					runLimited(t, 12*time.Second, func(w *World) {
						w.At(5*time.Second, func() {
							for _, p := range w.Agents[:upstreams] {
								w.restartUpstream(p, downtime)
								// No heartbeat arrives until delay after the restart.
								p.Upstream.HeartbeatsLostUntil = w.now.Add(downtime + delay)
							}
						})
					}, nil)
				})
			}
		}
	}
}

// TestSignsOfARestartLimitFlows guards against an agent that goes by the last heartbeat of the warm
// upstream: a lone upstream is away for a while and then cold, and its heartbeats get lost.
func TestSignsOfARestartLimitFlows(t *testing.T) {
	const downtime = 600 * time.Millisecond
	for _, visible := range []bool{false, true} {
		t.Run(fmt.Sprint(visible), func(t *testing.T) {
			cfg := limitedFleet(1)
			cfg.Callers = nil
			cfg.Services[0].Upstreams = 1
			w := New(cfg)
			p := w.Agents[0]
			w.At(5*time.Second, func() {
				w.restartUpstream(p, downtime)
				p.Upstream.bouncesPackets = visible
				p.Upstream.HeartbeatsLostUntil = w.now.Add(downtime + 1500*time.Millisecond)
			})
			for i := range 300 {
				w.At(5*time.Second+time.Duration(i)*10*time.Millisecond, func() {
					id := flow.ID{Caller: flow.Endpoint{IP: 0x64410000, Port: uint16(2000 + i)}, Address: Address(0)}
					m := place(header{Source: id.Caller, Destination: id.Address, Flags: flow.Syn}.packet(0), p)
					m.GetCarried().WarmUpRate, m.GetCarried().Balancer = warmUpRate, uint32(w.Balancers[0].IP)
					w.dispatch(p, func() { p.Agent.HandleMessage(w.now, w.Balancers[0].IP, m) })
				})
			}
			w.Run(8 * time.Second)
			qt.Assert(t, w.Violations, qt.HasLen, 0)
			t.Logf("most first packets %d", p.Upstream.MostFirstPackets)
			qt.Assert(t, p.Upstream.MostFirstPackets > 0, qt.IsTrue)
		})
	}
}

// TestOverdueHeartbeatsLimitFlows guards against an agent that takes its upstream for warm for long
// after the last heartbeat, and against a limit that stays once heartbeats come again.
func TestOverdueHeartbeatsLimitFlows(t *testing.T) {
	cfg := limitedFleet(1)
	w := New(cfg)
	p := w.Agents[0]
	limited := func(at time.Duration, want bool) {
		w.At(at, func() { qt.Check(t, p.Agent.FlowsLeft(w.now) >= 0, qt.Equals, want, qt.Commentf("at %v", at)) })
	}
	w.At(5*time.Second, func() { p.Upstream.HeartbeatsLostUntil = w.now.Add(3 * time.Second) })
	limited(5*time.Second, false)
	limited(5*time.Second+heartbeatInterval*3/2, true)
	limited(8*time.Second, true)
	limited(8*time.Second+heartbeatInterval, false)
	w.Run(10 * time.Second)
	qt.Assert(t, w.Violations, qt.HasLen, 0)
}

// TestClocksStepInTheWarmUp guards against limits that depend on the time of day: upstreams start
// again with a start time in the past or the future.
func TestClocksStepInTheWarmUp(t *testing.T) {
	t.Parallel()
	for _, step := range []time.Duration{-time.Hour, -time.Second, time.Second, time.Hour} {
		t.Run(fmt.Sprint(step), func(t *testing.T) {
			runLimited(t, 12*time.Second, func(w *World) {
				w.At(5*time.Second, func() {
					for _, p := range w.Agents[:4] {
						p.Upstream.ClockAhead = step
						w.restartUpstream(p, 600*time.Millisecond)
					}
				})
				w.At(6500*time.Millisecond, func() { w.Restart(w.Agents[0], 50*time.Millisecond) })
			}, nil)
		})
	}
}

// TestNoWarmUpRateChangesNothing guards against a cost for services without a limit: the bounds
// alone must change no decision.
func TestNoWarmUpRateChangesNothing(t *testing.T) {
	run := func(bounds warmup.Bounds) (*World, map[string]int) {
		cfg := limitedFleet(1)
		cfg.WarmUp, cfg.WarmUpRates = bounds, nil
		events := countEvents(&cfg)
		w := New(cfg)
		w.At(4*time.Second, func() { w.LosePower(time.Second) })
		w.Run(8 * time.Second)
		return w, events
	}
	with, withEvents := run(warmup.Bounds{Overage: 1.5, Slack: 5})
	without, withoutEvents := run(warmup.Bounds{})
	qt.Assert(t, withEvents, qt.DeepEquals, withoutEvents)
	qt.Assert(t, with.Results, qt.HasLen, len(without.Results))
	for _, p := range with.Agents {
		qt.Assert(t, p.Agent.Record(with.now).FlowsLeft, qt.Equals, uint32(0))
	}
}

// TestCopiesOfDeliveredFirstPacketsDoNotCount guards against an allowance used up by copies, and
// against uncounted ones after a bounce.
func TestCopiesOfDeliveredFirstPacketsDoNotCount(t *testing.T) {
	cfg := limitedFleet(1)
	cfg.Callers = nil
	cfg.Services[0].Upstreams = 1
	w := New(cfg)
	p := w.Agents[0]
	w.At(5*time.Second, func() { w.restartUpstream(p, 300*time.Millisecond) })
	packet := func(i int, copies uint32) []byte {
		id := flow.ID{Caller: flow.Endpoint{IP: 0x64410000, Port: uint16(2000 + i)}, Address: Address(0)}
		return header{Source: id.Caller, Destination: id.Address, Flags: flow.Syn, Ack: copies}.packet(0)
	}
	send := func(i int, copies uint32) {
		m := place(packet(i, copies), p)
		m.GetCarried().WarmUpRate = warmUpRate
		w.dispatch(p, func() { p.Agent.HandleMessage(w.now, w.Balancers[0].IP, m) })
	}
	left := func() int { return p.Agent.FlowsLeft(w.now) }
	w.At(5500*time.Millisecond, func() {
		send(1, 0)
		before := left()
		send(1, 1)
		send(1, 2)
		qt.Check(t, left(), qt.Equals, before)
		qt.Check(t, before, qt.Equals, warmUpRate-1)
		h, _ := parseHeader(packet(1, 0))
		h.Flags |= flow.Bounced
		w.dispatch(p, func() { p.Agent.HandleUpstreamPacket(w.now, h.packet(0)) })
		send(1, 1)
		qt.Check(t, left(), qt.Equals, before-1)
	})
	w.Run(5600 * time.Millisecond)
	qt.Assert(t, w.Violations, qt.HasLen, 0)
}

// TestFlowsWaitOnlyIfTheirTurnComes guards against flows that wait until their callers give up:
// a lone cold upstream has more flows than it takes in time, and no other one can take them.
func TestFlowsWaitOnlyIfTheirTurnComes(t *testing.T) {
	cfg := limitedFleet(1)
	cfg.Callers = nil
	cfg.Services[0].Upstreams = 1
	events := countEvents(&cfg)
	w := New(cfg)
	p := w.Agents[0]
	w.At(5*time.Second, func() { w.restartUpstream(p, 300*time.Millisecond) })
	w.At(5400*time.Millisecond, func() {
		for i := range 100 {
			id := flow.ID{Caller: flow.Endpoint{IP: 0x64410000, Port: uint16(2000 + i)}, Address: Address(0)}
			m := place(header{Source: id.Caller, Destination: id.Address, Flags: flow.Syn}.packet(0), p)
			m.GetCarried().WarmUpRate, m.GetCarried().Balancer = warmUpRate, uint32(w.Balancers[0].IP)
			w.dispatch(p, func() { p.Agent.HandleMessage(w.now, w.Balancers[0].IP, m) })
		}
	})
	var c serving.Counts
	w.At(5401*time.Millisecond, func() { c = p.Agent.Counts })
	w.Run(8 * time.Second)
	qt.Assert(t, w.Violations, qt.HasLen, 0)
	t.Logf("%+v, events %v", c, events)
	qt.Assert(t, c.WarmUpRefused, qt.Equals, int64(60))
	qt.Assert(t, events["FlowGivenUp"], qt.Equals, 0)
	qt.Assert(t, p.Upstream.SynsReceived, qt.Equals, 40)
}
