package relay

import (
	"slices"
	"time"

	"github.com/jaytack/jaytack/internal/relay/action"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/forwarding"
	"github.com/jaytack/jaytack/internal/relay/message"
	"github.com/jaytack/jaytack/internal/relay/routes"
	"github.com/jaytack/jaytack/internal/relay/serving"
)

// Start starts a process that does not run. It knows nothing of before.
func (w *World) Start(p *Process) {
	p.starts++
	p.Paused, p.backlog = false, nil
	tick := forwarding.TickInterval
	if p.Upstream == nil {
		p.Balancer = forwarding.New(forwarding.Config{Self: p.IP, DataCentre: p.DataCentre, Incarnation: p.starts, Codec: w.codec})
	} else {
		tick = serving.TickInterval
		p.Agent = serving.New(serving.Config{Self: p.IP, Service: p.service, DataCentre: p.DataCentre, Incarnation: p.starts, Codec: w.codec, Started: w.now, HeartbeatEvery: heartbeatEvery})
		if w.Sample != nil {
			p.Agent.Sample = w.Sample
		}
	}
	w.tick(p, p.starts, tick)
	w.after(storeDelay, func() { w.join(p, p.starts) })
}

// Kill ends a process at once.
func (w *World) Kill(p *Process) {
	p.Balancer, p.Agent = nil, nil
	p.starts++
}

// Restart ends a process and starts it again after a time.
func (w *World) Restart(p *Process, after time.Duration) {
	w.Kill(p)
	w.after(after, func() { w.Start(p) })
}

// Resume lets a paused process go on.
func (w *World) Resume(p *Process) {
	p.Paused = false
	backlog := p.backlog
	p.backlog = nil
	for _, f := range backlog {
		f()
	}
}

// run gives a process an input, unless it was started anew since.
func (w *World) run(p *Process, f func()) {
	switch {
	case !p.Running():
	case p.Paused:
		p.backlog = append(p.backlog, f)
	default:
		f()
		w.act(p)
	}
}

func (w *World) tick(p *Process, start uint64, every time.Duration) {
	w.after(every, func() {
		if p.starts != start {
			return
		}
		if !p.Paused {
			w.run(p, func() {
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

// join writes the process's entry and reads all, again and again.
func (w *World) join(p *Process, start uint64) {
	if p.starts != start {
		return
	}
	if w.StoreDown || p.Paused {
		w.after(retryStore, func() { w.join(p, start) })
		return
	}
	w.run(p, func() {
		if e := w.entries[p.IP]; e != nil && e.lapses > w.now && e.record.Incarnation < start {
			w.foundOwn(p, e.record)
		}
		w.entries[p.IP] = &entry{w.record(p), w.now.Add(listTTL)}
		var recs []*message.Record
		for ip, e := range w.entries {
			if ip != p.IP && e.lapses > w.now {
				recs = append(recs, e.record)
			}
		}
		slices.SortFunc(recs, func(a, b *message.Record) int { return int(a.Instance) - int(b.Instance) })
		if p.Agent != nil {
			p.Agent.ApplyStored(w.now, recs)
			return
		}
		p.Balancer.ApplyStored(w.now, recs)
		p.Balancer.ApplyConfiguration(w.now, &routes.Configuration{Version: w.version, Routes: slices.Clone(w.Routes)}, "Read")
	})
	w.after(listEvery, func() { w.join(p, start) })
}

func (w *World) foundOwn(p *Process, r *message.Record) {
	if p.Agent != nil {
		p.Agent.RestoreOwnRecord(w.now, r)
	} else {
		p.Balancer.RestoreOwnRecord(w.now, r)
	}
}

func (w *World) record(p *Process) *message.Record {
	if p.Agent != nil {
		return p.Agent.Record(w.now)
	}
	return p.Balancer.Record()
}

// LoseEntries makes the store forget all members.
func (w *World) LoseEntries() { clear(w.entries) }

// act does what a core has decided.
func (w *World) act(p *Process) {
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
	for _, a := range actions {
		switch a.Kind {
		case action.Send:
			w.message(p.IP, a.To, a.Message)
		case action.Deliver:
			p.Upstream.receive(slices.Clone(a.Bytes))
		case action.Reply:
			h, _ := readHead(a.Bytes)
			w.reply(p.IP, a.Flow, a.Bytes, h.Flags == flow.Rst)
		}
	}
}

func (w *World) trace(p *Process, event string, pairs []any) {
	if w.Trace != nil {
		w.Trace(w.Now(), p.IP, event, pairs)
	}
}

func (w *World) message(from, to flow.IP, e *message.Envelope) {
	p := w.processes[to]
	if p == nil {
		return
	}
	w.post(from, to, func() {
		w.run(p, func() {
			if p.Balancer != nil {
				p.Balancer.HandleMessage(w.now, from, e)
			} else {
				p.Agent.HandleMessage(w.now, from, e)
			}
		})
	})
}

// reply carries a packet to a caller; own marks a reset that no upstream sent.
func (w *World) reply(from flow.IP, id flow.ID, b []byte, own bool) {
	b = slices.Clone(b)
	if own {
		w.checkReset(id)
	}
	w.post(from, id.Caller.IP, func() {
		if t := w.callers[id.Caller]; t != nil {
			t.receive(b)
		}
	})
}

// checkReset notes a reset of an open flow whose upstream lives.
func (w *World) checkReset(id flow.ID) {
	for _, p := range w.Agents {
		if f := p.Upstream.flows[id]; f != nil && f.open && p.Upstream.alive {
			w.broken("flow %v was reset while %v holds it", id, p.IP)
		}
	}
}

// askReady is the routers' question.
func (w *World) askReady() {
	for _, p := range w.Balancers {
		ok := false
		if p.Balancer != nil && !p.Paused {
			ok, _ = p.Balancer.Ready(w.now)
		}
		if p.misses++; ok {
			p.misses = 0
		}
	}
}

// fromCaller carries a caller's packet through a router to a balancer.
func (w *World) fromCaller(dc string, id flow.ID, b []byte) {
	var ready, all []*Process
	for _, p := range w.Balancers {
		if p.DataCentre != dc {
			continue
		}
		all = append(all, p)
		if p.misses < missesOut {
			ready = append(ready, p)
		}
	}
	if 2*len(ready) < len(all) {
		ready = all
	}
	p := ready[id.Hash()%uint64(len(ready))]
	w.post(id.Caller.IP, p.IP, func() {
		w.run(p, func() {
			if p.Balancer != nil {
				p.Balancer.HandlePacket(w.now, b)
			}
		})
	})
}
