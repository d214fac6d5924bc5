package serving

import (
	"slices"
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/admission"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/flowtable"
	"github.com/jaytack/jaytack/internal/relay/load"
	"github.com/jaytack/jaytack/internal/relay/message"
)

// admit delivers the first packet of a flow that was placed here, queues it, redirects
// it to another agent or refuses the flow.
func (c *Core) admit(now instant.Instant, p flow.Packet, m *message.Carried) {
	if !p.OpensFlow() {
		c.handleAsOwner(now, p, m)
		return
	}
	if c.rejectsNewFlows() {
		c.redirect(now, p, m)
		return
	}
	if c.isEvacuated() && !c.wasOffered(now, p.Flow) {
		c.redirectEvacuated(now, p, m, 0)
		return
	}
	f := c.flows.Get(p.Flow)
	c.detectUnanswered(now, f)
	if f != nil && f.Phase >= flowtable.Offered && (f.Phase >= flowtable.Accepted || c.warmUpAllows(now, p.Flow)) {
		c.deliverFirstPacket(now, p, m)
		return
	}
	c.severalKinds = m.SeveralKinds
	e := c.newEntry(now, p, m)
	if e.ExpiresAt < now {
		c.LogNotable("FlowGivenUp", "Flow", p.Flow, "Copy", p.AckSeq, "Waited", m.WaitedMillis)
		return
	}
	upstreamLoad := c.upstreamLoad(now)
	if c.exceedsWarmUpLimit(now, p.Flow) && !c.waitsForTurn(now, e, p, upstreamLoad) {
		return
	}
	if c.waitQueue.Len() == 0 && admission.CanAdmit(now, e, upstreamLoad) && c.warmUpAllows(now, p.Flow) {
		c.deliverFirstPacket(now, p, m)
		return
	}
	rejected := c.waitQueue.Add(now, e, upstreamLoad)
	if rejected != e {
		c.Counts.Waited++
		c.LogNotable("FlowWaits", "Flow", p.Flow, "InSystem", upstreamLoad.InSystem, "Work", upstreamLoad.ServiceTime, "Waiting", c.waitQueue.Len(), "Copy", p.AckSeq)
	}
	if rejected != nil {
		c.redirectOrRefuse(now, rejected)
	}
	c.admitQueued(now)
}

// newEntry returns the entry of the wait queue for a first packet.
func (c *Core) newEntry(now instant.Instant, p flow.Packet, m *message.Carried) *admission.Entry {
	timeLeft := flow.OpenTimeLeft(p.AckSeq) - time.Duration(m.WaitedMillis)*time.Millisecond
	return &admission.Entry{
		Flow: p.Flow, Carried: m, FirstSentAt: now.Add(timeLeft - flow.OpenTimeout), ExpiresAt: now.Add(timeLeft), ArrivedAt: now,
		TargetLatency: time.Duration(m.AimMillis) * time.Millisecond, Priority: m.Priority,
	}
}

// redirectOrRefuse redirects a flow rejected by the wait queue to another agent, or
// refuses it if none is less loaded or maxPlacements is reached.
func (c *Core) redirectOrRefuse(now instant.Instant, e *admission.Entry) {
	p, ok := c.Codec.DecodeFromCaller(e.Carried.Packet)
	if !ok {
		return
	}
	if e.WasDelivered {
		c.dropCopy(e, "UpstreamFull", now.Sub(e.ArrivedAt))
		return
	}
	e.Carried.WaitedMillis += uint32(now.Sub(e.ArrivedAt) / time.Millisecond)
	if len(e.Carried.Excluded) < maxPlacements && c.othersLessLoaded(now, p, e.Carried) {
		c.redirect(now, p, e.Carried)
		return
	}
	c.refuse(now, p, e.Carried, "UpstreamFull")
}

// othersLessLoaded reports whether a flow would wait less at another agent, by more
// than minRedirectGain.
func (c *Core) othersLessLoaded(now instant.Instant, p flow.Packet, m *message.Carried) bool {
	c.updateOwnLoad(now)
	others := slices.DeleteFunc(c.candidates(now, m), func(x load.Candidate) bool { return x.Agent == c.Self })
	best, ok := c.loads.Choose(c.Sample(p.Flow.Hash(), others))
	return ok && c.loads.Cost(load.Candidate{Agent: best, Priority: m.Priority})+minRedirectGain < c.loads.Cost(load.Candidate{Agent: c.Self, Priority: m.Priority})
}

// upstreamLoad returns the upstream's load for the wait queue.
func (c *Core) upstreamLoad(now instant.Instant) admission.UpstreamLoad {
	serviceTime := time.Duration(c.slowdown(now) * float64(c.flows.ServiceTime()))
	l := admission.UpstreamLoad{
		Slots: c.slots(), InSystem: c.flows.InSystem(now) - c.flows.Waiting(), ServiceTime: serviceTime,
		InOrder: c.warmUpLimit(now).IsSet(), Held: c.requests.Len(),
	}
	if l.Held > 0 {
		l.Ahead = func(e *admission.Entry) int { return c.requests.Ahead(now, l, e) }
	}
	return l
}

// slowdown returns how many times longer than usual requests take at the upstream now.
func (c *Core) slowdown(now instant.Instant) float64 {
	if c.upstream.coldUntil > now {
		return load.ColdFactor
	}
	return 1
}

func (c *Core) slots() int {
	if c.upstream.Slots > 0 {
		return c.upstream.Slots
	}
	return defaultSlots
}

// admitQueued delivers held requests whose turn has come, and queued first packets while the
// upstream has capacity.
func (c *Core) admitQueued(now instant.Instant) {
	c.deliverHeld(now)
	for _, e := range c.waitQueue.Expire(now) {
		c.LogNotable("FlowGivenUp", "Flow", e.Flow, "Waited", now.Sub(e.ArrivedAt), "Waiting", c.waitQueue.Len())
	}
	for c.warmUpLeft(now) != 0 {
		e, ok := c.waitQueue.Next(now, c.upstreamLoad(now))
		if !ok {
			return
		}
		p, ok := c.Codec.DecodeFromCaller(e.Carried.Packet)
		if !ok {
			continue
		}
		if f := c.flows.Get(p.Flow); e.WasDelivered && f != nil && f.Phase >= flowtable.Accepted {
			continue
		}
		c.OnWait(now.Sub(e.ArrivedAt))
		e.Carried.WaitedMillis += uint32(now.Sub(e.ArrivedAt) / time.Millisecond)
		switch {
		case c.rejectsNewFlows():
			c.redirect(now, p, e.Carried)
		case c.isEvacuated() && !e.WasDelivered && !c.wasOffered(now, p.Flow):
			c.redirectEvacuated(now, p, e.Carried, 0)
		default:
			c.deliverFirstPacket(now, p, e.Carried)
		}
	}
}

// deliverFirstPacket records a new flow and delivers its first packet.
func (c *Core) deliverFirstPacket(now instant.Instant, p flow.Packet, m *message.Carried) {
	delete(c.disowned, p.Flow)
	f := c.flows.RecordFirstPacket(now, p)
	if c.warmUpRate > 0 {
		c.warmUp.Record(now, p.Flow)
	}
	c.recordRoute(f, m)
	f.FirstSentAt = now.Add(flow.OpenTimeLeft(p.AckSeq) - flow.OpenTimeout - time.Duration(m.WaitedMillis)*time.Millisecond)
	f.Excluded, f.PlacedBy = m.Excluded, flow.IP(m.Home)
	c.expectResponse(now, &c.upstream.openingPendingSince, &c.upstream.openingPending)
	c.deliver(now, m, p, 0)
}

// rejectsNewFlows reports whether the agent accepts no new flows: its upstream drains
// or has left, or the process is stopping.
func (c *Core) rejectsNewFlows() bool {
	return c.state == message.State_StateDraining || c.state == message.State_StateGone || c.state == message.State_StateRestarting
}

// redirect returns a new flow to its home to be placed at another agent.
func (c *Core) redirect(now instant.Instant, p flow.Packet, m *message.Carried) {
	c.Counts.Redirected++
	m.Excluded = append(m.Excluded, uint32(c.Self))
	m.Evacuations = c.evacuations.Message()
	home := flow.IP(m.Home)
	if home == 0 {
		home = c.homeOf(now, p.Flow, m.DataCentre)
	}
	c.sendPacket(now, home, m, message.Step_StepHome)
}
