package serving

import (
	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/load"
	"github.com/jaytack/jaytack/internal/relay/membership"
	"github.com/jaytack/jaytack/internal/relay/message"
)

// Record returns the record that the agent reports to others and stores.
func (c *Core) Record(now instant.Instant) *message.Record {
	_, idle := c.flows.Load()
	return &message.Record{
		Instance: uint32(c.Self), Service: c.Service, DataCentre: c.DataCentre, Incarnation: c.Incarnation, Sequence: c.sequence,
		State: c.state, Upstream: c.upstream.Upstream, UpstreamBorn: c.upstream.Born, Slots: uint32(c.upstream.Slots),
		Busy: uint32(c.flows.InSystem(now) + c.waitQueue.Len()), Idle: uint32(idle), Cold: c.upstream.coldUntil > now,
	}
}

// Tick runs the periodic tasks. It is called every TickInterval.
func (c *Core) Tick(now instant.Instant) {
	c.detectAbsence(now)
	c.recordTick(now)
	c.updateState(now)
	if c.upstream.resetFlowsAt != 0 && now >= c.upstream.resetFlowsAt {
		c.upstream.resetFlowsAt = 0
		c.resetAllFlows(now, "UpstreamLeft")
	}
	c.admitQueued(now)
	c.updateOwnLoad(now)
	if now >= c.nextExpiry {
		c.nextExpiry = now.Add(expiryInterval)
		c.expire(now)
	}
	c.sendClaimsToNewHomes(now)
	c.retryProbes(now)
	c.sendReports(now)
}

// updateOwnLoad updates the load of this agent's upstream in the load table.
func (c *Core) updateOwnLoad(now instant.Instant) {
	_, idle := c.flows.Load()
	c.loads.Update(c.Self, load.Report{Slots: c.upstream.Slots, Busy: c.flows.InSystem(now) + c.waitQueue.Len(), Idle: idle, Cold: c.upstream.coldUntil > now})
}

// sendReports sends the agent's record to the peers and balancers that are due for it.
func (c *Core) sendReports(now instant.Instant) {
	toAgents, toBalancers := now >= c.nextAgentReport, now >= c.nextBalancerReport
	if !toAgents && !toBalancers {
		return
	}
	reportToAll := c.reportToAll
	c.reportToAll = false
	c.sequence++
	e := &message.Envelope{Body: &message.Envelope_Report{Report: &message.Report{Record: c.Record(now)}}}
	if toAgents {
		c.nextAgentReport = now.Add(agentReportInterval)
		c.agentReports++
		all := reportToAll || c.agentReports%remoteReportEvery == 0
		c.sendReportTo(e, c.Members.Agents(c.Service), func(m *membership.Member) bool { return all || m.DataCentre == c.DataCentre })
	}
	if toBalancers {
		c.nextBalancerReport = now.Add(balancerReportInterval)
		c.sendReportTo(e, c.Members.Balancers(), func(*membership.Member) bool { return true })
	}
}

func (c *Core) sendReportTo(e *message.Envelope, members []*membership.Member, include func(*membership.Member) bool) {
	for _, m := range members {
		if m.ID() != c.Self && include(m) {
			c.Send(m.ID(), e)
		}
	}
}
