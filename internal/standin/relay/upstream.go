package relay

import (
	"fmt"
	"slices"
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/serving"
)

// Upstreams report that they are cold for warmUpTime after their start. Their requests
// take longer by warmUpSlowdown.
const (
	heartbeatInterval = 1200 * time.Millisecond
	// firstHeartbeatDelay is the time from the start of an upstream to its first heartbeat.
	firstHeartbeatDelay = 10 * time.Millisecond
	warmUpTime          = 2 * time.Second
	warmUpSlowdown      = 1.6
)

type upstreamFlow struct {
	sequence uint32
	open     bool
	// lastPacket is the last packet of the caller.
	lastPacket   []byte
	lastPacketAt instant.Instant
}

type upstreamRequest struct {
	id          flow.ID
	request     uint32
	serviceTime time.Duration
}

// Upstream runs requests on a limited number of slots, queues some and sheds the rest.
type Upstream struct {
	Service
	// Factor multiplies the service times.
	Factor float64
	w      *World
	p      *Process
	flows  map[flow.ID]*upstreamFlow
	alive  bool
	// Dark makes connection attempts to a stopped upstream time out instead of being refused.
	Dark bool
	// bouncesPackets is set while the instance is up but its upstream is down.
	bouncesPackets bool
	draining       bool
	startedAt      instant.Instant
	// ClockAhead is how far the time of day of the instance is ahead when the upstream starts.
	ClockAhead        time.Duration
	born              int64
	heartbeatSequence int64
	// HeartbeatsLostUntil is when heartbeats begin to arrive again.
	HeartbeatsLostUntil instant.Instant
	starts              int
	busySlots           int
	queued              []upstreamRequest
	// ResetsUnknown makes the upstream answer packets of unknown flows with a reset,
	// as after the end of a flow.
	ResetsUnknown bool
	// FailsRequests makes the upstream reset the flow of each request instead of running it,
	// while its heartbeats say that it is well.
	FailsRequests bool
	// Ran counts requests that started to run, Shed those that were rejected.
	Ran, Shed int
	// RanRemotely counts those of Ran whose caller is in another data centre.
	RanRemotely int
	// SynsReceived counts SYN packets, retransmissions included.
	SynsReceived int
	// MostFirstPackets is the largest number of first packets of new flows that arrived within a
	// second while the upstream was cold; firstPackets holds when those of the last second did.
	MostFirstPackets int
	firstPackets     []instant.Instant
	startedRequests  map[uint32]bool
	// answered holds the requests whose answer has been sent.
	answered map[uint32]bool
}

func newUpstream(w *World, p *Process, s Service) *Upstream {
	return &Upstream{Service: s, Factor: 1, w: w, p: p, startedRequests: make(map[uint32]bool), answered: make(map[uint32]bool)}
}

// Start starts the upstream under a new name, without its earlier state.
func (u *Upstream) Start() {
	u.starts++
	u.alive, u.bouncesPackets, u.draining, u.startedAt, u.heartbeatSequence = true, false, false, u.w.now, 0
	u.born = (u.w.Now() + u.ClockAhead).Milliseconds()
	u.flows, u.busySlots, u.queued, u.firstPackets = make(map[flow.ID]*upstreamFlow), 0, nil, nil
	start := u.starts
	u.w.after(firstHeartbeatDelay, func() { u.heartbeatLoop(start) })
}

// CrashVisibly stops the upstream; its instance bounces packets for it.
func (u *Upstream) CrashVisibly() {
	u.Crash()
	u.bouncesPackets = true
}

// Crash stops the upstream; packets for it are dropped without a reply.
func (u *Upstream) Crash() {
	u.alive = false
	u.starts++
	u.flows = nil
}

// Drain announces in heartbeats that the upstream is draining, and stops it after a delay.
func (u *Upstream) Drain(after time.Duration) {
	u.draining = true
	u.heartbeat()
	start := u.starts
	u.w.after(after, func() {
		if u.starts != start {
			return
		}
		u.w.dispatch(u.p, func() {
			if u.p.Agent != nil {
				u.p.Agent.HandleLeave(u.w.now, u.name())
			}
		})
		u.Crash()
	})
}

func (u *Upstream) name() string { return fmt.Sprintf("u-%v-%d", u.p.IP, u.startedAt) }

func (u *Upstream) heartbeatLoop(start int) {
	if u.starts != start {
		return
	}
	u.heartbeat()
	u.w.after(heartbeatInterval, func() { u.heartbeatLoop(start) })
}

func (u *Upstream) heartbeat() { u.sendHeartbeat(u.newHeartbeat()) }

func (u *Upstream) newHeartbeat() serving.Heartbeat {
	u.heartbeatSequence++
	return serving.Heartbeat{
		Upstream: u.name(), Service: u.Name, DataCentre: u.p.DataCentre, Born: u.born, Sequence: u.heartbeatSequence, Draining: u.draining, Slots: u.Slots,
		ColdFor: max(0, warmUpTime-u.w.now.Sub(u.startedAt)),
	}
}

func (u *Upstream) sendHeartbeat(h serving.Heartbeat) {
	if u.w.now < u.HeartbeatsLostUntil {
		return
	}
	u.w.dispatch(u.p, func() {
		if u.p.Agent != nil {
			u.p.Agent.HandleHeartbeat(u.w.now, h)
		}
	})
}

// send sends a packet to the agent.
func (u *Upstream) send(b []byte) {
	u.w.dispatch(u.p, func() {
		if u.p.Agent != nil {
			u.p.Agent.HandleUpstreamPacket(u.w.now, b)
		}
	})
}

// receive handles a packet from a caller after 100 µs.
func (u *Upstream) receive(b []byte) {
	start := u.starts
	u.w.after(100*time.Microsecond, func() {
		switch {
		case u.alive && u.starts == start:
			u.handlePacket(b)
		case u.bouncesPackets:
			h, _ := parseHeader(b)
			u.bounce(h, b)
		}
	})
}

func (u *Upstream) handlePacket(b []byte) {
	h, _ := parseHeader(b)
	id := flow.ID{Caller: h.Source, Address: h.Destination}
	if !slices.Contains(u.w.allowedServices[id.Address], u.Name) {
		u.w.addViolation("packet of flow %v reached %v of service %s", id, u.p.IP, u.Name)
	}
	f := u.flows[id]
	if h.Flags.Has(flow.Syn) {
		u.SynsReceived++
		if f == nil {
			u.w.recordNewFlow(u.p, id)
			u.checkWarmUp()
			f = &upstreamFlow{sequence: u.w.Random.Uint32()}
			u.flows[id] = f
		}
		u.send(header{Source: id.Address, Destination: id.Caller, Flags: flow.Syn | flow.Ack, Seq: f.sequence, Request: 1}.packet(0))
		return
	}
	if f == nil {
		u.w.recordStray(id, b)
	} else if f.open {
		f.lastPacket, f.lastPacketAt = b, u.w.now
		delete(u.w.strays, id)
	}
	if f == nil && u.ResetsUnknown {
		u.send(header{Source: id.Address, Destination: id.Caller, Flags: flow.Rst, Request: h.Request}.packet(0))
		return
	}
	if f == nil || !f.open && h.Ack-f.sequence > 1<<20 {
		u.bounce(h, b)
		return
	}
	f.open = true
	switch {
	case h.Flags.Has(flow.Fin):
		delete(u.flows, id)
	case len(b) > headerLen && u.FailsRequests:
		delete(u.flows, id)
		u.send(header{Source: id.Address, Destination: id.Caller, Flags: flow.Rst, Seq: f.sequence + 1, Request: h.Request}.packet(0))
	case len(b) > headerLen && !u.startedRequests[h.Request]:
		u.admit(upstreamRequest{id, h.Request, u.w.sampleServiceTime(h.Request)})
	case len(b) > headerLen && u.answered[h.Request]:
		// The caller has not received the answer.
		u.answer(upstreamRequest{id: id, request: h.Request}, answerLen)
	}
}

// isCold reports whether the upstream is slow after its start.
func (u *Upstream) isCold() bool { return u.w.now.Sub(u.startedAt) < warmUpTime }

// checkWarmUp records the first packet of a new flow, and a violation if the cold upstream has
// got too many within a second.
func (u *Upstream) checkWarmUp() {
	rate := u.w.WarmUpRates[u.Name]
	if rate == 0 || !u.isCold() {
		return
	}
	u.firstPackets = append(u.firstPackets, u.w.now)
	for u.w.now.Sub(u.firstPackets[0]) > time.Second {
		u.firstPackets = u.firstPackets[1:]
	}
	u.MostFirstPackets = max(u.MostFirstPackets, len(u.firstPackets))
	if most := u.w.WarmUp.Overage*float64(rate) + u.w.WarmUp.Slack; float64(len(u.firstPackets)) > most {
		u.w.addViolation("cold upstream of %v got %d first packets within a second, more than %v", u.p.IP, len(u.firstPackets), most)
	}
}

// bounce returns a packet to the agent, marked as bounced.
func (u *Upstream) bounce(h header, b []byte) {
	h.Flags |= flow.Bounced
	u.send(h.packet(len(b) - headerLen))
}

// admit runs a request, queues it or sheds it. It ignores copies of a queued request.
func (u *Upstream) admit(j upstreamRequest) {
	for _, q := range u.queued {
		if q.request == j.request {
			return
		}
	}
	switch {
	case u.busySlots < u.Slots:
		u.run(j)
	case len(u.queued) < u.Queue:
		u.queued = append(u.queued, j)
	default:
		u.Shed++
		u.answer(j, shedAnswerLen)
	}
}

func (u *Upstream) run(j upstreamRequest) {
	u.busySlots++
	u.startedRequests[j.request] = true
	u.Ran++
	if t := u.w.callerFlows[j.id.Caller]; t != nil && t.caller.dc != u.p.DataCentre {
		u.RanRemotely++
	}
	if u.isCold() {
		j.serviceTime = time.Duration(float64(j.serviceTime) * warmUpSlowdown)
	}
	j.serviceTime = time.Duration(float64(j.serviceTime) * u.Factor)
	start := u.starts
	u.w.after(j.serviceTime, func() {
		if u.starts != start {
			return
		}
		u.busySlots--
		u.answered[j.request] = true
		u.answer(j, answerLen)
		if len(u.queued) > 0 {
			next := u.queued[0]
			u.queued = slices.Delete(u.queued, 0, 1)
			u.run(next)
		}
	})
}

// Lengths of answers in bytes. Callers recognise a rejection by its length.
const (
	answerLen     = 200
	shedAnswerLen = 50
)

func (u *Upstream) answer(j upstreamRequest, length int) {
	f := u.flows[j.id]
	if f == nil {
		return
	}
	u.send(header{Source: j.id.Address, Destination: j.id.Caller, Flags: flow.Ack, Seq: f.sequence + 1, Request: j.request}.packet(length))
}
