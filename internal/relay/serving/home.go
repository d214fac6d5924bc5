package serving

import (
	"slices"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/flowtable"
	"github.com/jaytack/jaytack/internal/relay/message"
)

// handleAsHome forwards a packet to the flow's owner, searches for an unknown owner or
// places a new flow.
func (c *Core) handleAsHome(now instant.Instant, p flow.Packet, m *message.Carried) {
	m.ByHome = true
	if p.OpensFlow() {
		c.handleFirstPacket(now, p, m)
		return
	}
	if f := c.flows.Get(p.Flow); f != nil && f.Phase >= flowtable.Accepted && !f.OpenedElsewhere(p) {
		c.claimFor(flow.IP(m.Asker), c.Self, p.Flow)
		c.handleAsOwner(now, p, m)
		return
	}
	owner, ok := c.owners.Owner(now, p.Flow)
	if ok && c.mayHoldFlows(now, owner, m) && c.owners.ActiveSearch(p.Flow) == nil {
		c.claimFor(flow.IP(m.Asker), owner, p.Flow)
		c.sendToOwner(now, owner, m)
		return
	}
	c.searchOwner(now, p, m)
}

// mayHoldFlows reports whether an agent may own the flow of a packet: it belongs to this
// service, or to another one of the route, and its upstream has not left.
func (c *Core) mayHoldFlows(now instant.Instant, a flow.IP, m *message.Carried) bool {
	if a == c.Self {
		return true
	}
	r := c.Members.Member(a)
	return r != nil && (r.Service == c.Service || slices.Contains(m.Others, r.Service)) && !r.HasLeft(now)
}

// sendToOwner sends a packet to the owner of its flow, which may belong to another service of
// the route.
func (c *Core) sendToOwner(now instant.Instant, owner flow.IP, m *message.Carried) {
	r := c.Members.Member(owner)
	if owner == c.Self || r == nil || r.Service == c.Service {
		c.sendPacket(now, owner, m, message.Step_StepOwner)
		return
	}
	others := append(slices.DeleteFunc(slices.Clone(m.Others), func(s string) bool { return s == r.Service }), c.Service)
	c.sendPacket(now, owner, &message.Carried{
		Packet: m.Packet, Service: r.Service, Balancer: m.Balancer, DataCentre: m.DataCentre, ByHome: true,
		TimeoutMillis: m.TimeoutMillis, Others: others, Unnamed: m.Unnamed, OthersIncomplete: m.OthersIncomplete,
	}, message.Step_StepOwner)
}

// claimFor tells a home in another service, if there is one, who owns a flow that it searches.
func (c *Core) claimFor(asker, owner flow.IP, id flow.ID) {
	if asker != 0 {
		c.Send(asker, &message.Envelope{Body: &message.Envelope_Claim{Claim: &message.Claim{Flow: message.FlowOf(id), Owner: uint32(owner)}}})
	}
}

// handleClaim records the owner of a flow and forwards the packets queued for it.
func (c *Core) handleClaim(now instant.Instant, owner flow.IP, id flow.ID) {
	c.Counts.Claims++
	s := c.owners.SetOwner(now, id, owner)
	if s == nil {
		return
	}
	c.LogNotable("OwnerFound", "Flow", id, "Agent", owner, "Took", now.Sub(s.StartedAt), "Denials", s.Denials())
	c.claimFor(flow.IP(s.LastPacket.GetAsker()), owner, id)
	for _, m := range s.TakePackets() {
		if c.mayHoldFlows(now, owner, m) {
			c.sendToOwner(now, owner, m)
		}
	}
}

// handleReturn handles a packet returned by an agent that does not hold the flow: it
// forwards the packet to the known owner or starts a search.
func (c *Core) handleReturn(now instant.Instant, from flow.IP, p flow.Packet, m *message.Carried) {
	if owner, ok := c.owners.Owner(now, p.Flow); ok && owner != from && c.mayHoldFlows(now, owner, m) && c.owners.ActiveSearch(p.Flow) == nil {
		c.sendToOwner(now, owner, m)
		return
	}
	c.owners.DeleteOwner(p.Flow)
	if s := c.owners.StartSearch(now, p.Flow); s != nil {
		s.AddDenial(from)
	}
	c.searchOwner(now, p, m)
}
