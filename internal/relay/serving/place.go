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

// placeAgain sends a copy of a flow's first packet where the first went, unless
// that agent has fallen silent since.
func (c *Core) placeAgain(now instant.Instant, p flow.Packet, m *message.Carried) {
	owner, ok := c.directory.Owner(now, p.Flow)
	if ok && c.mayTake(now, owner) && !slices.Contains(m.Excluded, uint32(owner)) {
		c.carry(now, owner, m, message.Step_StepPlace)
		return
	}
	c.place(now, p, m)
}

// mayTake reports whether an agent is known to take new flows.
func (c *Core) mayTake(now instant.Instant, a flow.IP) bool {
	if a == c.Self {
		return c.state == message.State_StateReady
	}
	r := c.Roster.Member(a)
	return r != nil && r.Service == c.Service && r.AcceptsFlows() && !r.IsSuspect(now)
}

// place chooses the agent of a new flow.
func (c *Core) place(now instant.Instant, p flow.Packet, m *message.Carried) {
	candidates := c.Sample(p.Flow.Hash(), c.candidates(now, m))
	to, ok := c.board.Choose(candidates)
	if !ok || len(m.Excluded) >= maxPlacements {
		c.refuse(now, p, m, "NoUpstreamTakesFlows")
		return
	}
	c.Counts.Placed++
	c.board.AddPlacement(to)
	c.directory.Own(now, p.Flow, to)
	c.LogRoutine("FlowPlaced", "Flow", p.Flow, "Agent", to, "Among", len(candidates),
		"Cost", c.board.Cost(load.Candidate{Agent: to}), "Excluded", len(m.Excluded), "Copy", p.AckSeq)
	c.carry(now, to, m, message.Step_StepPlace)
}

// candidates lists the agents that may take a new flow. Those that have not
// reported yet are less likely, but after a loss of many processes the first ones
// that report must not get all flows.
func (c *Core) candidates(now instant.Instant, m *message.Carried) []load.Candidate {
	var out []load.Candidate
	add := func(id flow.IP, dataCentre string, state message.State, suspect bool) {
		if slices.Contains(m.Excluded, uint32(id)) {
			return
		}
		cand := load.Candidate{Agent: id, Remote: dataCentre != m.DataCentre}
		switch state {
		case message.State_StateReady:
			cand.Unconfirmed = suspect
		case message.State_StateUnknown:
			cand.Unconfirmed = true
		case message.State_StateSilent:
			cand.Unconfirmed, cand.LikelyDown = true, true
		default:
			return
		}
		cand.LikelyDown = cand.LikelyDown || suspect && !c.young(now)
		out = append(out, cand)
	}
	add(c.Self, c.DataCentre, c.state, false)
	for _, r := range c.Roster.Agents(c.Service) {
		if r.ID() != c.Self {
			add(r.ID(), r.DataCentre, r.State, r.IsSuspect(now))
		}
	}
	return out
}

// young reports whether the process has started so lately that peers may not have
// reported yet.
func (c *Core) young(now instant.Instant) bool { return now.Sub(c.Started) < membership.SettleAfter }

// refuse turns a new flow away that no upstream can take; it has not run. Where an
// earlier copy may have been accepted elsewhere the caller hears nothing.
func (c *Core) refuse(now instant.Instant, p flow.Packet, m *message.Carried, reason string) {
	if waited := time.Duration(m.WaitedMillis) * time.Millisecond; flow.MayBeOpen(p.AckSeq, waited) {
		c.LogNotable("CopyDropped", "Flow", p.Flow, "Reason", reason, "Copy", p.AckSeq, "Waited", waited)
		return
	}
	c.Counts.Refused++
	c.reset(p.Flow, 0, reason, "InSystem", c.table.InSystem(now), "Waiting", c.room.Len(), "Members", len(c.Roster.Agents(c.Service)), "Excluded", len(m.Excluded))
	c.directory.Disown(p.Flow)
}
