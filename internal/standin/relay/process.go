package relay

import (
	"bytes"
	"slices"
	"time"

	"github.com/jaytack/jaytack/internal/relay/action"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/forwarding"
	"github.com/jaytack/jaytack/internal/relay/message"
	"github.com/jaytack/jaytack/internal/relay/routes"
	"github.com/jaytack/jaytack/internal/relay/serving"
)

// Start starts a process that is not running, without its earlier state.
func (w *World) Start(p *Process) {
	p.startCount++
	p.Paused, p.backlog = false, nil
	p.storeCalls = storeCalls{}
	tick := forwarding.TickInterval
	if p.Upstream == nil {
		p.Balancer = forwarding.New(forwarding.Config{Self: p.IP, DataCentre: p.DataCentre, Incarnation: p.startCount, Codec: w.codec, FlowLifetime: flow.DefaultLifetime, Evacuations: w.EvacuateWithin > 0})
	} else {
		tick = serving.TickInterval
		p.Agent = serving.New(serving.Config{Self: p.IP, Service: p.service, DataCentre: p.DataCentre, Incarnation: p.startCount, Codec: w.codec, Started: w.now, StartedMillis: w.Now().Milliseconds(), HeartbeatEvery: heartbeatInterval, FlowLifetime: flow.DefaultLifetime, WarmUp: w.WarmUp, CrossDataCentreCost: w.CrossDataCentreCost, EjectFailing: w.EjectFailing})
		if w.Sample != nil {
			p.Agent.Sample = w.Sample
		}
	}
	w.tick(p, p.startCount, tick)
	start := p.startCount
	delay := time.Duration(0)
	switch {
	case p.Agent != nil:
		w.checkListening(p, start)
		p.publishedState = p.Agent.State()
	default:
		if w.EvacuateWithin > 0 {
			w.watchEvacuations(p, start)
		}
		if w.MaxReadDelay > 0 {
			delay = time.Duration(flow.RendezvousWeight(start, p.IP) % uint64(w.MaxReadDelay))
		}
		w.after(storeLatency, func() { w.readConfiguration(p, start) })
	}
	w.after(storeLatency+delay, func() { w.register(p, start) })
}

// readConfiguration periodically reads the configuration and the history of the routes, and
// writes the history if the balancer has to.
func (w *World) readConfiguration(p *Process, start uint64) {
	if p.startCount != start {
		return
	}
	if !w.reachesStore(p) {
		w.after(storeRetryInterval, func() { w.readConfiguration(p, start) })
		return
	}
	w.dispatch(p, func() {
		w.applyConfiguration(p)
		p.Balancer.ApplyHistory(w.now, w.history)
		if h, due := p.Balancer.HistoryToStore(w.now); due {
			w.history = h
			p.Balancer.ApplyHistory(w.now, h)
		}
	})
	w.after(configurationInterval, func() { w.readConfiguration(p, start) })
}

// reachesStore reports whether the store would answer a process now.
func (w *World) reachesStore(p *Process) bool {
	return !w.StoreDown && !p.Paused && !w.StoreRefuses(p.IP)
}

func (w *World) applyConfiguration(p *Process) {
	w.readEvacuations(p)
	p.Balancer.ApplyConfiguration(w.now, &routes.Configuration{Version: w.configurationVersion, Routes: slices.Clone(w.Routes), Services: w.warmUpServices()}, "Read")
}

// warmUpServices lists the services with a warm-up limit, as the configuration does.
func (w *World) warmUpServices() []routes.Service {
	var out []routes.Service
	for _, s := range w.Services {
		if rate := w.WarmUpRates[s.Name]; rate > 0 {
			out = append(out, routes.Service{Name: s.Name, WarmUpTime: warmUpTime, WarmUpRate: rate})
		}
	}
	return out
}

// Stop announces the planned stop of a process, which goes on until it is killed.
func (w *World) Stop(p *Process) {
	w.dispatch(p, func() {
		if p.Balancer != nil {
			p.Balancer.Stop(w.now)
		} else {
			p.Agent.Stop(w.now)
		}
	})
}

// Kill stops a process at once.
func (w *World) Kill(p *Process) {
	p.Balancer, p.Agent = nil, nil
	p.Paused, p.backlog = false, nil
	p.startCount++
}

// Restart kills a process and starts it again after a delay.
func (w *World) Restart(p *Process, after time.Duration) {
	w.Kill(p)
	w.after(after, func() { w.Start(p) })
}

// Resume continues a paused process, which first handles its backlog of inputs.
func (w *World) Resume(p *Process) {
	p.Paused = false
	backlog := p.backlog
	p.backlog = nil
	for _, f := range backlog {
		f()
	}
}

// dispatch handles an input of a process and applies the resulting actions. A paused
// process queues the input; a process that does not run drops it.
func (w *World) dispatch(p *Process, f func()) {
	switch {
	case !p.Running():
	case p.Paused:
		p.backlog = append(p.backlog, f)
	default:
		f()
		w.applyActions(p)
	}
}

func (w *World) tick(p *Process, start uint64, every time.Duration) {
	w.after(every, func() {
		if p.startCount != start {
			return
		}
		if !p.Paused {
			w.dispatch(p, func() {
				if p.Balancer != nil {
					p.Balancer.Tick(w.now)
				} else {
					p.Agent.Tick(w.now)
				}
			})
		}
		w.tick(p, start, every)
	})
}

// checkListening periodically tells an agent whether its upstream refuses connections, while
// the agent needs to know. One whose instance is dark answers nothing.
func (w *World) checkListening(p *Process, start uint64) {
	w.after(serving.ListenCheckInterval, func() {
		if p.startCount != start {
			return
		}
		if !p.Paused {
			w.dispatch(p, func() {
				if p.Agent.NeedsListenCheck() {
					p.Agent.HandleListenCheck(w.now, !p.Upstream.alive && !p.Upstream.Dark)
				}
			})
		}
		w.checkListening(p, start)
	})
}

// applyActions carries out the actions and traces the decisions of a core.
func (w *World) applyActions(p *Process) {
	var v *action.Output
	if p.Balancer != nil {
		v = &p.Balancer.Output
	} else {
		v = &p.Agent.Output
	}
	actions, decisions := v.TakeOutput()
	for _, d := range decisions {
		w.trace(p, d.Event, d.Pairs)
	}
	if p.Agent != nil {
		w.publish(p)
	}
	for _, a := range actions {
		switch a.Kind {
		case action.Send:
			w.sendMessage(p.IP, a.To, a.Message)
		case action.Deliver:
			p.Upstream.receive(slices.Clone(a.Bytes))
		case action.Reply:
			h, _ := parseHeader(a.Bytes)
			w.sendToCaller(p.IP, a.Flow, a.Bytes, h.Flags == flow.Rst)
		case action.Refresh:
			w.fetchConfiguration(p, a.To)
		}
	}
}

func (w *World) trace(p *Process, event string, pairs []any) {
	if w.Trace != nil {
		w.Trace(w.Now(), p.IP, event, pairs)
	}
}

func (w *World) sendMessage(from, to flow.IP, e *message.Envelope) {
	p := w.processes[to]
	if p == nil {
		return
	}
	if r := e.GetReport().GetRecord(); r != nil && w.HideServiceTimes {
		r.ServiceTimeMicros = 0
	}
	if w.Traffic != nil {
		w.countMessage(from, to, e)
	}
	if m := e.GetCarried(); m != nil && w.SingleKind {
		m.SeveralKinds = false
	}
	w.send(from, to, func() {
		w.dispatch(p, func() {
			if p.Balancer != nil {
				p.Balancer.HandleMessage(w.now, from, e)
			} else {
				p.Agent.HandleMessage(w.now, from, e)
			}
		})
	})
}

// sendToCaller sends a packet to a caller. If isGeneratedReset is set, the packet is a
// reset that no upstream sent.
func (w *World) sendToCaller(from flow.IP, id flow.ID, b []byte, isGeneratedReset bool) {
	b = slices.Clone(b)
	if isGeneratedReset {
		w.checkCallerReset(id)
	}
	w.send(from, id.Caller.IP, func() {
		if t := w.callerFlows[id.Caller]; t != nil {
			t.receive(b)
		}
	})
}

// checkCallerReset records a violation if the flow is open at a running upstream.
func (w *World) checkCallerReset(id flow.ID) {
	if holder := w.holder(id); holder != nil {
		w.addViolation("flow %v was reset while it is open at the upstream of %v", id, holder.IP)
	}
}

// recordStray records that a packet of a flow has reached an upstream that does not hold it. It
// records a violation if the flow is open at another one, and only others have got its packets
// for maxStrayTime, also while the agent of its own restarts.
func (w *World) recordStray(id flow.ID, packet []byte) {
	if !w.ReportStrays {
		return
	}
	holder := w.holder(id)
	if holder == nil {
		return
	}
	s := w.strays[id]
	if s == nil {
		s = &stray{since: w.now}
		w.strays[id] = s
		w.after(maxStrayTime, func() { w.checkStray(id, s) })
	}
	s.count++
	if f := holder.Upstream.flows[id]; !bytes.Equal(f.lastPacket, packet) || w.now.Sub(f.lastPacketAt) >= retransmitMin {
		s.missed++
	}
	if s.count >= minStrays && w.now.Sub(s.since) >= maxStrayTime {
		w.addStrayViolation(id, s, holder)
	}
}

// checkStray records a violation if no packet of a flow has reached its upstream since the first
// of several reached others. Copies of a transmission that its upstream has got do not count: that
// upstream is at work on it.
func (w *World) checkStray(id flow.ID, s *stray) {
	if holder := w.holder(id); w.strays[id] == s && holder != nil && s.missed >= minStrays {
		w.addStrayViolation(id, s, holder)
	}
}

func (w *World) addStrayViolation(id flow.ID, s *stray, holder *Process) {
	w.addViolation("%d packets of flow %v have reached other upstreams than that of %v and none that one since %v", s.count, id, holder.IP, time.Duration(s.since))
	delete(w.strays, id)
}

// holder returns the agent of the running upstream at which a flow is open, nil if there is none.
func (w *World) holder(id flow.ID) *Process {
	for _, p := range w.Agents {
		if f := p.Upstream.flows[id]; f != nil && f.open && p.Upstream.alive {
			return p
		}
	}
	return nil
}

// probeReadiness is the routers' readiness check of all balancers.
func (w *World) probeReadiness() {
	for _, p := range w.Balancers {
		ok := false
		if p.Balancer != nil && !p.Paused {
			ok, _ = p.Balancer.Ready(w.now)
		}
		if p.failedProbes++; ok {
			p.failedProbes = 0
		}
	}
}

// routeFromCaller sends a caller's packet to a balancer as a router does: by a hash
// of the flow over the ready balancers of the data centre, or over all of them if
// fewer than half are ready.
func (w *World) routeFromCaller(dc string, id flow.ID, b []byte) {
	var ready, all []*Process
	for _, p := range w.Balancers {
		if p.DataCentre != dc {
			continue
		}
		all = append(all, p)
		if p.failedProbes < maxFailedProbes {
			ready = append(ready, p)
		}
	}
	if 2*len(ready) < len(all) {
		ready = all
	}
	p := ready[id.Hash()%uint64(len(ready))]
	w.send(id.Caller.IP, p.IP, func() {
		w.dispatch(p, func() {
			if p.Balancer != nil {
				p.Balancer.HandlePacket(w.now, b)
			}
		})
	})
}
