package relay

import (
	"fmt"
	"slices"
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/serving"
)

// Times of upstreams.
const (
	heartbeatEvery = 1200 * time.Millisecond
	coldFor        = 2 * time.Second
	coldFactor     = 1.6
)

type upstreamFlow struct {
	seq  uint32
	open bool
}

type job struct {
	id      flow.ID
	request uint32
	work    time.Duration
}

// Upstream runs requests on a few slots and queues a few more.
type Upstream struct {
	Service
	w     *World
	p     *Process
	flows map[flow.ID]*upstreamFlow
	alive bool
	// bounces is set while nothing listens on a machine that answers.
	bounces  bool
	draining bool
	born     instant.Instant
	sequence int64
	starts   int
	running  int
	waiting  []job
	// ResetsUnknown has packets of unknown flows answered with a reset, as those of a
	// flow that has ended.
	ResetsUnknown bool
	// Ran counts requests that ran, Shed those that were turned away.
	Ran, Shed int
	// Offered counts first packets.
	Offered int
	ran     map[uint32]bool
}

func newUpstream(w *World, p *Process, s Service) *Upstream {
	return &Upstream{Service: s, w: w, p: p, ran: make(map[uint32]bool)}
}

// Start starts the upstream under a new name; it knows nothing of before.
func (u *Upstream) Start() {
	u.starts++
	u.alive, u.bounces, u.draining, u.born, u.sequence = true, false, false, u.w.now, 0
	u.flows, u.running, u.waiting = make(map[flow.ID]*upstreamFlow), 0, nil
	u.beat(u.starts)
}

// CrashVisibly ends the upstream; its machine bounces what comes for it.
func (u *Upstream) CrashVisibly() {
	u.Crash()
	u.bounces = true
}

// Crash ends the upstream silently.
func (u *Upstream) Crash() {
	u.alive = false
	u.starts++
	u.flows = nil
}

// Drain announces that the upstream leaves, and has it leave after a time.
func (u *Upstream) Drain(after time.Duration) {
	u.draining = true
	u.heartbeat()
	start := u.starts
	u.w.after(after, func() {
		if u.starts != start {
			return
		}
		u.w.run(u.p, func() {
			if u.p.Agent != nil {
				u.p.Agent.HandleLeave(u.w.now, u.name())
			}
		})
		u.Crash()
	})
}

func (u *Upstream) name() string { return fmt.Sprintf("u-%v-%d", u.p.IP, u.born) }

func (u *Upstream) beat(start int) {
	if u.starts != start {
		return
	}
	u.heartbeat()
	u.w.after(heartbeatEvery, func() { u.beat(start) })
}

func (u *Upstream) heartbeat() {
	u.sequence++
	h := serving.Heartbeat{
		Upstream: u.name(), Service: u.Name, Born: int64(u.born), Sequence: u.sequence, Draining: u.draining, Slots: u.Slots,
		ColdFor: max(0, coldFor-u.w.now.Sub(u.born)),
	}
	u.w.run(u.p, func() {
		if u.p.Agent != nil {
			u.p.Agent.HandleHeartbeat(u.w.now, h)
		}
	})
}

// send hands a packet to the agent.
func (u *Upstream) send(b []byte) {
	u.w.run(u.p, func() {
		if u.p.Agent != nil {
			u.p.Agent.HandleUpstreamPacket(u.w.now, b)
		}
	})
}

// receive takes a packet of a caller, after a moment.
func (u *Upstream) receive(b []byte) {
	start := u.starts
	u.w.after(100*time.Microsecond, func() {
		switch {
		case u.alive && u.starts == start:
			u.take(b)
		case u.bounces:
			h, _ := readHead(b)
			u.bounce(h, b)
		}
	})
}

func (u *Upstream) take(b []byte) {
	h, _ := readHead(b)
	id := flow.ID{Caller: h.Source, Address: h.Destination}
	if !slices.Contains(u.w.named[id.Address], u.Name) {
		u.w.broken("packet of %v reached %v of service %s", id, u.p.IP, u.Name)
	}
	f := u.flows[id]
	if h.Flags.Has(flow.Syn) {
		u.Offered++
		if f == nil {
			f = &upstreamFlow{seq: u.w.Random.Uint32()}
			u.flows[id] = f
		}
		u.send(head{Source: id.Address, Destination: id.Caller, Flags: flow.Syn | flow.Ack, Seq: f.seq, Request: 1}.packet(0))
		return
	}
	if f == nil && u.ResetsUnknown {
		u.send(head{Source: id.Address, Destination: id.Caller, Flags: flow.Rst, Request: h.Request}.packet(0))
		return
	}
	if f == nil || !f.open && h.Ack-f.seq > 1<<20 {
		u.bounce(h, b)
		return
	}
	f.open = true
	switch {
	case h.Flags.Has(flow.Fin):
		delete(u.flows, id)
	case len(b) > headLen && !u.ran[h.Request]:
		u.admit(job{id, h.Request, u.w.workOf(h.Request)})
	}
}

// bounce gives a packet back to the agent.
func (u *Upstream) bounce(h head, b []byte) {
	h.Flags |= flow.Bounced
	u.send(h.packet(len(b) - headLen))
}

// admit runs a request, queues it or turns it away.
func (u *Upstream) admit(j job) {
	for _, q := range u.waiting {
		if q.request == j.request {
			return
		}
	}
	switch {
	case u.running < u.Slots:
		u.start(j)
	case len(u.waiting) < u.Queue:
		u.waiting = append(u.waiting, j)
	default:
		u.Shed++
		u.answer(j, answerShed)
	}
}

func (u *Upstream) start(j job) {
	u.running++
	u.ran[j.request] = true
	u.Ran++
	if u.w.now.Sub(u.born) < coldFor {
		j.work = time.Duration(float64(j.work) * coldFactor)
	}
	start := u.starts
	u.w.after(j.work, func() {
		if u.starts != start {
			return
		}
		u.running--
		u.answer(j, answerDone)
		if len(u.waiting) > 0 {
			next := u.waiting[0]
			u.waiting = slices.Delete(u.waiting, 0, 1)
			u.start(next)
		}
	})
}

// Lengths of answers, which tell them apart.
const (
	answerDone = 200
	answerShed = 50
)

func (u *Upstream) answer(j job, length int) {
	f := u.flows[j.id]
	if f == nil {
		return
	}
	u.send(head{Source: j.id.Address, Destination: j.id.Caller, Flags: flow.Ack, Seq: f.seq + 1, Request: j.request}.packet(length))
}
