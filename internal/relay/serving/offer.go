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

// offer delivers the first packet of a flow that was placed here.
func (c *Core) offer(now instant.Instant, p flow.Packet, m *message.Carried) {
	if !p.OpensFlow() {
		c.asOwner(now, p, m)
		return
	}
	if c.closedForNew() {
		c.passOn(now, p, m)
		return
	}
	if f := c.table.Get(p.Flow); f != nil && f.Phase >= flowtable.Offered {
		c.offerNow(now, p, m)
		return
	}
	left := flow.OpenTimeLeft(p.AckSeq) - time.Duration(m.WaitedMillis)*time.Millisecond
	if left < 0 {
		c.LogNotable("FlowGivenUp", "Flow", p.Flow, "Copy", p.AckSeq, "Waited", m.WaitedMillis)
		return
	}
	e := &admission.Entry{
		Flow: p.Flow, Carried: m, FirstSentAt: now.Add(left - flow.OpenTimeout), ExpiresAt: now.Add(left), ArrivedAt: now,
		TargetLatency: time.Duration(m.AimMillis) * time.Millisecond, Priority: m.Priority,
	}
	s := c.fullness(now)
	if c.room.Len() == 0 && admission.CanAdmit(now, e, s) {
		c.offerNow(now, p, m)
		return
	}
	refused := c.room.Add(now, e, s)
	if refused != e {
		c.Counts.Waited++
		c.LogNotable("FlowWaits", "Flow", p.Flow, "InSystem", s.InSystem, "Work", s.ServiceTime, "Waiting", c.room.Len(), "Copy", p.AckSeq)
	}
	if refused != nil {
		c.turnAway(now, refused)
	}
	c.letPass(now)
}

// turnAway passes a flow on that would not have its turn here, or refuses it where
// others are as full.
func (c *Core) turnAway(now instant.Instant, e *admission.Entry) {
	p, ok := c.Codec.DecodeFromCaller(e.Carried.Packet)
	if !ok {
		return
	}
	e.Carried.WaitedMillis += uint32(now.Sub(e.ArrivedAt) / time.Millisecond)
	if len(e.Carried.Excluded) < maxPlacements && c.othersAreFreer(now, p, e.Carried) {
		c.passOn(now, p, e.Carried)
		return
	}
	c.refuse(now, p, e.Carried, "UpstreamFull")
}

// othersAreFreer reports whether a flow would wait less at another agent.
func (c *Core) othersAreFreer(now instant.Instant, p flow.Packet, m *message.Carried) bool {
	c.noteOwnLoad(now)
	others := slices.DeleteFunc(c.candidates(now, m), func(x load.Candidate) bool { return x.Agent == c.Self })
	best, ok := c.board.Choose(c.Sample(p.Flow.Hash(), others))
	return ok && c.board.Cost(load.Candidate{Agent: best})+passOnGain < c.board.Cost(load.Candidate{Agent: c.Self})
}

// fullness returns how full the upstream is.
func (c *Core) fullness(now instant.Instant) admission.UpstreamLoad {
	work := c.table.Work()
	if c.up.coldUntil > now {
		work = time.Duration(load.ColdFactor * float64(work))
	}
	return admission.UpstreamLoad{Slots: c.slots(), InSystem: c.table.InSystem(now), ServiceTime: work}
}

func (c *Core) slots() int {
	if c.up.Slots > 0 {
		return c.up.Slots
	}
	return usualSlots
}

// letPass offers flows that wait as far as the upstream has room.
func (c *Core) letPass(now instant.Instant) {
	for _, e := range c.room.Expire(now) {
		c.LogNotable("FlowGivenUp", "Flow", e.Flow, "Waited", now.Sub(e.ArrivedAt), "Waiting", c.room.Len())
	}
	for {
		e, ok := c.room.Next(now, c.fullness(now))
		if !ok {
			return
		}
		p, ok := c.Codec.DecodeFromCaller(e.Carried.Packet)
		if !ok {
			continue
		}
		c.OnWait(now.Sub(e.ArrivedAt))
		e.Carried.WaitedMillis += uint32(now.Sub(e.ArrivedAt) / time.Millisecond)
		if c.closedForNew() {
			c.passOn(now, p, e.Carried)
			continue
		}
		c.offerNow(now, p, e.Carried)
	}
}

// offerNow delivers the first packet of a flow.
func (c *Core) offerNow(now instant.Instant, p flow.Packet, m *message.Carried) {
	f := c.table.Offer(now, p)
	c.via(f, m)
	f.Excluded = m.Excluded
	c.await(now, &c.up.openingSince, &c.up.owesOpening)
	c.deliver(now, m, p)
}

// closedForNew reports whether the upstream takes no new flows.
func (c *Core) closedForNew() bool {
	return c.state == message.State_StateDraining || c.state == message.State_StateGone || c.state == message.State_StateRestarting
}

// passOn has another agent chosen for a new flow that the upstream does not take.
func (c *Core) passOn(now instant.Instant, p flow.Packet, m *message.Carried) {
	c.Counts.Redirected++
	m.Excluded = append(m.Excluded, uint32(c.Self))
	home, ok := c.Roster.Home(now, c.Service, m.DataCentre, p.Flow.Hash())
	if !ok {
		home = c.Self
	}
	c.carry(now, home, m, message.Step_StepHome)
}
