package serving

import (
	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/flowtable"
	"github.com/jaytack/jaytack/internal/relay/lookup"
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
		c.handleAsOwner(now, p, m)
		return
	}
	owner, ok := c.owners.Owner(now, p.Flow)
	if ok && c.mayHoldFlows(now, owner) && c.owners.ActiveSearch(p.Flow) == nil {
		c.sendPacket(now, owner, m, message.Step_StepOwner)
		return
	}
	c.searchOwner(now, p, m)
}

// mayHoldFlows reports whether an agent belongs to this service and its upstream has
// not left.
func (c *Core) mayHoldFlows(now instant.Instant, a flow.IP) bool {
	if a == c.Self {
		return true
	}
	r := c.Members.Member(a)
	return r != nil && r.Service == c.Service && !r.HasLeft(now)
}

// searchOwner probes all agents of the service that have not denied the flow, and passes the
// packet to the other services of the route; or it queues the packet if they were probed
// recently.
func (c *Core) searchOwner(now instant.Instant, p flow.Packet, m *message.Carried) {
	c.owners.DeleteOwner(p.Flow)
	s := c.owners.StartSearch(now, p.Flow)
	if s == nil {
		c.Counts.Overflowed++
		return
	}
	s.LastAck, s.Retries = p.AckSeq, 0
	if s.ProbedAt != 0 && now.Sub(s.ProbedAt) < probeRetryInterval {
		if s.LastPacket.GetOthersIncomplete() && !m.OthersIncomplete {
			// Only this packet names all services that have to deny the flow.
			s.LastPacket = m
		}
		s.Enqueue(m)
		return
	}
	if s.ProbedAt == 0 {
		c.Counts.Searches++
		c.LogNotable("OwnerSearched", "Flow", p.Flow, "Members", len(c.Members.Agents(c.Service)), "Settled", c.Members.IsSettled(now))
	}
	s.ProbedAt = now
	c.deliverElsewhere(now, p, m)
	c.probeAgents(now, s, m)
	c.finishAsking(now, p.Flow, s)
	c.finishIfDenied(now, p.Flow, s)
}

// finishAsking has the packet of a search delivered to the upstreams whose agents are unsure,
// once no agent is left that could know the owner. It waits for askTimeout if an agent does
// not answer, or if the owner is also searched in other services and may be found there.
func (c *Core) finishAsking(now instant.Instant, id flow.ID, s *lookup.Search) {
	if !s.Asking || c.owners.ActiveSearch(id) != s {
		return
	}
	if now.Sub(s.ProbedAt) < askTimeout && (len(s.LastPacket.GetOthers()) > 0 || !c.allAnswered(now, s)) {
		return
	}
	s.Asking, s.ProbedAt = false, now
	c.probeAgents(now, s, s.LastPacket)
}

// allAnswered reports whether all agents of the service have answered a search.
func (c *Core) allAnswered(now instant.Instant, s *lookup.Search) bool {
	for _, r := range c.Members.Agents(c.Service) {
		if r.ID() != c.Self && !r.HasLeft(now) && !s.Answered(r.ID()) {
			return false
		}
	}
	for _, a := range s.UnlistedPending() {
		if !s.Answered(a) {
			return false
		}
	}
	return s.Answered(c.Self)
}

// handleUnsure records that an agent does not know whether its upstream holds a flow.
func (c *Core) handleUnsure(now instant.Instant, from flow.IP, id flow.ID) {
	if s := c.owners.ActiveSearch(id); s != nil {
		s.AddUnsure(from)
		c.finishAsking(now, id, s)
	}
}

// deliverElsewhere passes a packet of a flow whose owner is searched here to the homes of the
// other services that the route names or has named. Otherwise the flow would get no packets
// while the search waits for an agent of this service that restarts. The homes do not reset
// the flow: that takes the denials of all services, which the search collects in turn.
func (c *Core) deliverElsewhere(now instant.Instant, p flow.Packet, m *message.Carried) {
	for _, service := range m.Others {
		if home, ok := c.Members.Home(now, service, m.DataCentre, p.Flow.Hash()); ok {
			c.sendPacket(now, home, &message.Carried{
				Packet: m.Packet, Service: service, Balancer: m.Balancer, DataCentre: m.DataCentre, TimeoutMillis: m.TimeoutMillis, OthersIncomplete: true,
			}, message.Step_StepHome)
		}
	}
}

func (c *Core) probeAgents(now instant.Instant, s *lookup.Search, m *message.Carried) {
	s.LastPacket = m
	for _, r := range c.Members.Agents(c.Service) {
		if r.ID() != c.Self && !r.HasLeft(now) && !s.Denied(r.ID()) && c.mayProbe(now, r.ID()) {
			c.probe(now, r.ID(), s, m)
		}
	}
	for _, a := range s.UnlistedPending() {
		if c.mayProbe(now, a) {
			c.probe(now, a, s, m)
		}
	}
	if !s.Denied(c.Self) {
		c.probe(now, c.Self, s, m)
	}
}

// retryProbes repeats the probes of searches whose responses are overdue.
func (c *Core) retryProbes(now instant.Instant) {
	c.owners.Searches(func(id flow.ID, s *lookup.Search) {
		if s.LastPacket == nil {
			return
		}
		c.finishAsking(now, id, s)
		if s.Retries >= maxProbeRetries || now.Sub(s.ProbedAt) < probeRetryInterval {
			return
		}
		s.Retries++
		s.ProbedAt = now
		c.probeAgents(now, s, s.LastPacket)
		c.finishIfDenied(now, id, s)
	})
}

// handleClaim records the owner of a flow and forwards the packets queued for it.
func (c *Core) handleClaim(now instant.Instant, from flow.IP, id flow.ID) {
	c.Counts.Claims++
	s := c.owners.SetOwner(now, id, from)
	if s == nil {
		return
	}
	c.LogNotable("OwnerFound", "Flow", id, "Agent", from, "Took", now.Sub(s.StartedAt), "Denials", s.Denials())
	for _, m := range s.TakePackets() {
		c.sendPacket(now, from, m, message.Step_StepOwner)
	}
}

// handleDenial records that an agent's upstream does not hold a flow.
func (c *Core) handleDenial(now instant.Instant, from flow.IP, d *message.Denial) {
	c.Counts.Denials++
	id := d.GetFlow().ID()
	s := c.owners.ActiveSearch(id)
	if s == nil {
		return
	}
	if d.GetMembersIncomplete() {
		// The sender may know an agent that nobody has asked.
		c.LogNotable("DenialIncomplete", "Flow", id, "Agent", from, "Listed", len(d.GetMembers()))
	} else {
		s.AddDenial(from)
	}
	c.probeUnlisted(now, s, d.GetMembers())
	c.finishAsking(now, id, s)
	c.finishIfDenied(now, id, s)
}

// probeUnlisted probes the agents that are listed in a denial but missing from the local
// membership table.
func (c *Core) probeUnlisted(now instant.Instant, s *lookup.Search, members []uint32) {
	for _, x := range members {
		a := flow.IP(x)
		if a == c.Self || s.Denied(a) || c.Members.Member(a) != nil || s.LastPacket == nil {
			continue
		}
		s.AddUnlisted(a)
		if c.mayProbe(now, a) {
			c.probe(now, a, s, s.LastPacket)
		}
	}
}

// probe sends a packet to an agent to find out whether its upstream holds the flow.
func (c *Core) probe(now instant.Instant, to flow.IP, s *lookup.Search, m *message.Carried) {
	c.Counts.Probes++
	c.sendPacket(now, to, &message.Carried{
		Packet: m.Packet, Service: m.Service, Balancer: m.Balancer, DataCentre: m.DataCentre, ByHome: true, MembersDigest: c.Members.Digest(c.Service),
		TimeoutMillis: m.TimeoutMillis, Others: m.Others, Unnamed: m.Unnamed, OthersIncomplete: m.OthersIncomplete, KnownOnly: m.KnownOnly || s.Asking,
	}, message.Step_StepProbe)
}

// finishIfDenied ends a search once every agent of the service has denied the flow. It
// passes the search to the next service that may hold the flow, or resets the flow.
// It does nothing if this agent's response to its own probe has already ended the search.
func (c *Core) finishIfDenied(now instant.Instant, id flow.ID, s *lookup.Search) {
	selfDenied := s.Denied(c.Self) || c.state == message.State_StateGone
	if c.owners.ActiveSearch(id) != s || !c.Members.IsSettled(now) || !selfDenied || len(s.UnlistedPending()) > 0 {
		return
	}
	for _, r := range c.Members.Agents(c.Service) {
		if r.ID() != c.Self && !r.HasLeft(now) && !s.Denied(r.ID()) {
			return
		}
	}
	c.owners.DeleteSearch(id)
	if c.searchNextService(now, id, s) {
		return
	}
	if s.LastPacket.GetOthersIncomplete() {
		c.LogNotable("OwnerNotFound", "Flow", id, "Reason", "ServicesUnknown", "Denials", s.Denials())
		return
	}
	c.resetFlow(id, s.LastAck, "AllUpstreamsDenied", "Denials", s.Denials(), "Took", now.Sub(s.StartedAt))
}

// finishDeniedSearches ends the searches that only waited for agents that have since left.
func (c *Core) finishDeniedSearches(now instant.Instant) {
	c.owners.Searches(func(id flow.ID, s *lookup.Search) { c.finishIfDenied(now, id, s) })
}

// searchNextService passes a search to the next service that may hold the flow and
// reports whether there is one.
func (c *Core) searchNextService(now instant.Instant, id flow.ID, s *lookup.Search) bool {
	named, unnamed := s.LastPacket.GetOthers(), s.LastPacket.GetUnnamed()
	for len(named)+len(unnamed) > 0 {
		var service string
		knownOnly := len(named) == 0
		if knownOnly {
			service, unnamed = unnamed[0], unnamed[1:]
		} else {
			service, named = named[0], named[1:]
		}
		home, ok := c.Members.Home(now, service, s.LastPacket.DataCentre, id.Hash())
		if !ok {
			continue
		}
		c.LogNotable("SearchHandedOn", "Flow", id, "Service", service, "Named", !knownOnly, "Home", home, "Denials", s.Denials())
		for _, m := range append([]*message.Carried{s.LastPacket}, s.TakePackets()...) {
			c.sendPacket(now, home, &message.Carried{
				Packet: m.Packet, Service: service, Balancer: m.Balancer, DataCentre: m.DataCentre,
				TimeoutMillis: m.TimeoutMillis, Others: named, Unnamed: unnamed,
				OthersIncomplete: s.LastPacket.OthersIncomplete, KnownOnly: knownOnly,
			}, message.Step_StepHome)
		}
		return true
	}
	return false
}

// handleReturn handles a packet returned by an agent that does not hold the flow: it
// forwards the packet to the known owner or starts a search.
func (c *Core) handleReturn(now instant.Instant, from flow.IP, p flow.Packet, m *message.Carried) {
	if owner, ok := c.owners.Owner(now, p.Flow); ok && owner != from && c.mayHoldFlows(now, owner) && c.owners.ActiveSearch(p.Flow) == nil {
		c.sendPacket(now, owner, m, message.Step_StepOwner)
		return
	}
	c.owners.DeleteOwner(p.Flow)
	if s := c.owners.StartSearch(now, p.Flow); s != nil {
		s.AddDenial(from)
	}
	c.searchOwner(now, p, m)
}
