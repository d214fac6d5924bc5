package serving

import (
	"slices"
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/load"
	"github.com/jaytack/jaytack/internal/relay/membership"
	"github.com/jaytack/jaytack/internal/relay/message"
)

// handleFirstPacket places a new flow. A retransmitted first packet goes to the agent
// chosen before, unless that agent no longer accepts new flows.
func (c *Core) handleFirstPacket(now instant.Instant, p flow.Packet, m *message.Carried) {
	owner, ok := c.owners.Owner(now, p.Flow)
	if ok && c.acceptsNewFlows(now, owner) && !slices.Contains(m.Excluded, uint32(owner)) {
		c.sendPacket(now, owner, m, message.Step_StepPlace)
		return
	}
	c.place(now, p, m)
}

// acceptsNewFlows reports whether an agent is known to accept new flows.
func (c *Core) acceptsNewFlows(now instant.Instant, a flow.IP) bool {
	if a == c.Self {
		return c.state == message.State_StateReady
	}
	r := c.Members.Member(a)
	return r != nil && r.Service == c.Service && r.AcceptsFlows() && !r.IsSuspect(now)
}

// place selects the agent for a new flow and forwards the first packet to it.
func (c *Core) place(now instant.Instant, p flow.Packet, m *message.Carried) {
	all := c.candidates(now, m)
	if c.delegatePlacement(now, p, m, all) {
		return
	}
	candidates := c.Sample(p.Flow.Hash(), c.filterRemote(now, p.Flow.Hash(), m, all))
	to, ok := c.loads.Choose(candidates)
	if !ok || len(m.Excluded) >= maxPlacements {
		c.refuse(now, p, m, c.refusalReason("NoUpstreamTakesFlows"))
		return
	}
	c.Counts.Placed++
	c.countPlacement(slices.ContainsFunc(candidates, func(x load.Candidate) bool { return x.Agent == to && x.Remote }))
	m.Home = uint32(c.Self)
	c.loads.AddPlacement(to)
	c.owners.SetOwner(now, p.Flow, to)
	c.LogRoutine("FlowPlaced", "Flow", p.Flow, "Agent", to, "Among", len(candidates),
		"Cost", c.loads.Cost(load.Candidate{Agent: to, Priority: m.Priority}), "Speed", c.loads.Speed(to), "Excluded", len(m.Excluded), "Copy", p.AckSeq)
	c.sendPacket(now, to, m, message.Step_StepPlace)
}

// candidates lists the agents that may accept a new flow: this one and those that report
// their load to it. Agents that should but have not reported yet are included at a higher
// cost: otherwise, after many processes failed, the first agents to report would get all
// flows.
func (c *Core) candidates(now instant.Instant, m *message.Carried) []load.Candidate {
	var out []load.Candidate
	local := c.localDataCentre(m)
	add := func(id flow.IP, dataCentre string, state message.State, reporting, failing bool) {
		if slices.Contains(m.Excluded, uint32(id)) || c.evacuations.Contains(dataCentre) {
			return
		}
		cand := load.Candidate{Agent: id, Remote: dataCentre != local, NoFlowsLeft: !c.loads.HasFlowsLeft(id), Priority: m.Priority}
		switch state {
		case message.State_StateReady:
			cand.Unconfirmed = !reporting
		case message.State_StateUnknown:
			cand.Unconfirmed = true
		case message.State_StateSilent:
			cand.Unconfirmed, cand.LikelyDown = true, true
		default:
			return
		}
		cand.LikelyDown = cand.LikelyDown || !reporting && !c.recentlyStarted(now)
		cand.Failing = failing
		out = append(out, cand)
	}
	add(c.Self, c.DataCentre, c.state, true, c.isFailing(now))
	reporters := c.Members.Overlay().Reporters
	for _, r := range c.Members.Agents(c.Service) {
		if r.ID() != c.Self && (reporters[r.ID()] || r.ReportsRegularly(now)) {
			add(r.ID(), r.DataCentre, r.State, r.IsReporting(now), r.Failing)
		}
	}
	return avoidFailing(out)
}

// recentlyStarted reports whether the process started so recently that some peers may
// not have reported yet.
func (c *Core) recentlyStarted(now instant.Instant) bool {
	return now.Sub(c.Started) < membership.SettleAfter
}

// refuse resets a new flow that no upstream can accept; its request has not run. If an
// earlier copy of the packet may have been accepted elsewhere, it only drops the packet.
func (c *Core) refuse(now instant.Instant, p flow.Packet, m *message.Carried, reason string) {
	if waited := time.Duration(m.WaitedMillis) * time.Millisecond; flow.MayBeOpen(p.AckSeq, waited) {
		c.LogNotable("CopyDropped", "Flow", p.Flow, "Reason", reason, "Copy", p.AckSeq, "Waited", waited)
		return
	}
	c.Counts.Refused++
	c.Counts.RefusedByPriority[min(int(m.Priority), len(c.Counts.RefusedByPriority)-1)]++
	c.resetFlow(p.Flow, 0, reason, "InSystem", c.flows.InSystem(now), "Waiting", c.waitQueue.Len(), "Members", len(c.Members.Agents(c.Service)), "Excluded", len(m.Excluded))
	c.owners.DeleteOwner(p.Flow)
}
