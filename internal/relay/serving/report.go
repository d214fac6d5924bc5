package serving

import (
	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/load"
	"github.com/jaytack/jaytack/internal/relay/membership"
	"github.com/jaytack/jaytack/internal/relay/message"
)

// Record returns what the agent announces.
func (c *Core) Record(now instant.Instant) *message.Record {
	_, idle := c.table.Load()
	return &message.Record{
		Instance: uint32(c.Self), Service: c.Service, DataCentre: c.DataCentre, Incarnation: c.Incarnation, Sequence: c.sequence,
		State: c.state, Upstream: c.up.Upstream, UpstreamBorn: c.up.Born, Slots: uint32(c.up.Slots),
		Busy: uint32(c.table.InSystem(now) + c.room.Len()), Idle: uint32(idle), Cold: c.up.coldUntil > now,
	}
}

// Tick does what is due.
func (c *Core) Tick(now instant.Instant) {
	c.watch(now)
	c.announce(now)
	if c.up.endAt != 0 && now >= c.up.endAt {
		c.up.endAt = 0
		c.endFlows(now, "UpstreamLeft")
	}
	c.letPass(now)
	c.noteOwnLoad(now)
	if now >= c.expireAt {
		c.expireAt = now.Add(expireEvery)
		c.expire(now)
	}
	c.rehome(now)
	c.askAgain(now)
	c.report(now)
}

// noteOwnLoad puts the own upstream's load on the board.
func (c *Core) noteOwnLoad(now instant.Instant) {
	_, idle := c.table.Load()
	c.board.Update(c.Self, load.Report{Slots: c.up.Slots, Busy: c.table.InSystem(now) + c.room.Len(), Idle: idle, Cold: c.up.coldUntil > now})
}

// report tells peers and balancers about the agent.
func (c *Core) report(now instant.Instant) {
	group, balancers := now >= c.groupAt, now >= c.balancersAt
	if !group && !balancers {
		return
	}
	urgent := c.urgent
	c.urgent = false
	c.sequence++
	e := &message.Envelope{Body: &message.Envelope_Report{Report: &message.Report{Record: c.Record(now)}}}
	if group {
		c.groupAt = now.Add(reportGroupEvery)
		c.reports++
		all := urgent || c.reports%farReports == 0
		c.reportTo(e, c.Roster.Agents(c.Service), func(m *membership.Member) bool { return all || m.DataCentre == c.DataCentre })
	}
	if balancers {
		c.balancersAt = now.Add(reportBalancersEvery)
		c.reportTo(e, c.Roster.Balancers(), func(*membership.Member) bool { return true })
	}
}

func (c *Core) reportTo(e *message.Envelope, members []*membership.Member, to func(*membership.Member) bool) {
	for _, m := range members {
		if m.ID() != c.Self && to(m) {
			c.Send(m.ID(), e)
		}
	}
}
