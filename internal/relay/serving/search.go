package serving

import (
	"slices"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/lookup"
	"github.com/jaytack/jaytack/internal/relay/message"
)

// A search has two parts. It first asks all agents of the service, and the homes of the route's
// other services, who owns the flow. If none knows, agents that cannot tell deliver the caller's
// packet to their upstreams, a few at a time, until one of them accepts it. It ends with a claim,
// or once all agents have denied the flow; it then goes on in the next service or resets the flow.
// What concerns other services is in elsewhere.go.

// callerRepeats reports whether a caller sends a packet again until it is acknowledged.
func callerRepeats(p flow.Packet) bool { return p.Len > 0 || p.Flags.Has(flow.Fin) }

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
	// Another service has to get this packet too, if the search was handed over.
	handedTo := s.HandedTo
	s.HandedTo = 0
	if asker := flow.IP(m.Asker); asker != 0 && !s.Asking {
		c.sendUnsure(now, asker, p.Flow)
	}
	if !callerRepeats(p) {
		// It could reach other upstreams only, and never its own.
		m.KnownOnly = true
	}
	mayDeliver := s.LastPacket.GetKnownOnly() && !m.KnownOnly
	// A packet that may be delivered stays the one that is, until the next such packet.
	keepsPacket := s.LastPacket != nil && !s.LastPacket.KnownOnly && m.KnownOnly
	if keepsPacket || handedTo == 0 && s.ProbedAt != 0 && now.Sub(s.ProbedAt) < probeRetryInterval && !mayDeliver {
		if !keepsPacket && s.LastPacket.GetOthersIncomplete() && !m.OthersIncomplete {
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
	if handedTo == 0 {
		c.deliverElsewhere(now, p.Flow, s, m)
	}
	c.probeAgents(now, s, m)
	c.advanceSearch(now, p.Flow, s)
}

// advanceSearch does what the answers to a search allow. It does nothing if the search has
// ended.
func (c *Core) advanceSearch(now instant.Instant, id flow.ID, s *lookup.Search) {
	c.finishAsking(now, id, s)
	c.deliverNext(now, id, s)
	c.finishIfDenied(now, id, s)
}

// finishAsking ends the first part of a search once no agent is left that could know the
// owner, nor one of another service of the route. It waits longer for other services: while one of
// them may know the owner, the packet must not reach upstreams that do not hold the flow.
func (c *Core) finishAsking(now instant.Instant, id flow.ID, s *lookup.Search) {
	if !s.Asking || c.owners.ActiveSearch(id) != s {
		return
	}
	switch waited := now.Sub(s.StartedAt); {
	case waited < askTimeout && !(s.AnsweredElsewhere() && c.allAnswered(now, s)):
		return
	case waited < askElsewhereTimeout && s.AwaitsElsewhere():
		return
	}
	s.Asking = false
	if asker := flow.IP(s.LastPacket.GetAsker()); asker != 0 {
		c.sendUnsure(now, asker, id)
	}
}

// deliverNext has the packet of a search delivered to the next upstreams whose agents are
// unsure, the near ones first. It waits for the answers of the last ones: an upstream that does
// not hold the flow answers at once, and none has to get a packet after the one that does.
func (c *Core) deliverNext(now instant.Instant, id flow.ID, s *lookup.Search) {
	if s.Asking || s.LastPacket.GetKnownOnly() || c.owners.ActiveSearch(id) != s || s.DeliveryPending() && now.Sub(s.ProbedAt) < deliveryTimeout {
		return
	}
	agents := c.searchedAgents(now, s)
	next := slices.DeleteFunc(slices.Clone(agents), func(a flow.IP) bool { return !s.NeedsDelivery(a) })
	if len(next) == 0 {
		return
	}
	isFar := func(a flow.IP) int {
		if r := c.Members.Member(a); a != c.Self && (r == nil || r.DataCentre != s.LastPacket.DataCentre) {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(next, func(a, b flow.IP) int { return isFar(a) - isFar(b) })
	s.ProbedAt = now
	for _, a := range next[:min(len(next), max(1, len(agents)/maxDeliveries))] {
		s.AddDelivery(a)
		c.probe(now, a, s, s.LastPacket)
	}
}

// searchedAgents lists the agents that may hold the flow of a search, this one first.
func (c *Core) searchedAgents(now instant.Instant, s *lookup.Search) []flow.IP {
	agents := []flow.IP{c.Self}
	for _, r := range c.Members.Agents(c.Service) {
		if r.ID() != c.Self && !r.HasLeft(now) {
			agents = append(agents, r.ID())
		}
	}
	return append(agents, s.UnlistedPending()...)
}

// allAnswered reports whether all agents of the service have answered a search, but for those
// that were silent before.
func (c *Core) allAnswered(now instant.Instant, s *lookup.Search) bool {
	for _, a := range c.searchedAgents(now, s) {
		silent := c.silentAgents[a]
		if !s.Answered(a) && (silent == nil || now.Sub(silent.probedSince) < askTimeout) {
			return false
		}
	}
	return true
}

// handleUnsure records that an agent does not know whether its upstream holds a flow, or that a
// home of another service has found no agent that knows the flow.
func (c *Core) handleUnsure(now instant.Instant, from flow.IP, id flow.ID) {
	s := c.owners.ActiveSearch(id)
	if s == nil {
		return
	}
	switch r := c.Members.Member(from); {
	case from == s.HandedTo:
		// The other home searches now; it has the caller's packets.
		c.owners.DeleteSearch(id)
		return
	case r != nil && r.Service != c.Service:
		s.AnswerElsewhere(r.Service)
	default:
		s.AddUnsure(from)
	}
	c.advanceSearch(now, id, s)
}

// probeAgents sends a packet to all agents that have not denied the flow. Only those that have
// to deliver it on trial do so without knowing the flow; see probe.
func (c *Core) probeAgents(now instant.Instant, s *lookup.Search, m *message.Carried) {
	s.LastPacket = m
	for _, a := range c.searchedAgents(now, s) {
		if !s.Denied(a) && (a == c.Self || c.mayProbe(now, a)) {
			c.probe(now, a, s, m)
		}
	}
}

// retryProbes repeats the probes of searches whose responses are overdue.
func (c *Core) retryProbes(now instant.Instant) {
	c.owners.Searches(func(id flow.ID, s *lookup.Search) {
		if s.LastPacket == nil {
			return
		}
		due := s.Retries < maxProbeRetries && now.Sub(s.ProbedAt) >= probeRetryInterval
		if s.HandedTo == 0 {
			c.retryElsewhere(now, id, s, due && s.Asking)
		}
		c.advanceSearch(now, id, s)
		if !due || s.HandedTo != 0 || c.owners.ActiveSearch(id) != s || now.Sub(s.ProbedAt) < probeRetryInterval {
			return
		}
		s.Retries++
		s.ProbedAt = now
		if s.Retries == 1 && !s.Asking {
			c.deliverElsewhere(now, id, s, s.LastPacket)
		}
		c.probeAgents(now, s, s.LastPacket)
		c.finishIfDenied(now, id, s)
	})
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
	c.advanceSearch(now, id, s)
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

// probe sends a packet to an agent to find out whether its upstream holds the flow. The agent
// delivers it if it does not know only if the search has come to that.
func (c *Core) probe(now instant.Instant, to flow.IP, s *lookup.Search, m *message.Carried) {
	c.Counts.Probes++
	c.sendPacket(now, to, &message.Carried{
		Packet: m.Packet, Service: m.Service, Balancer: m.Balancer, DataCentre: m.DataCentre, ByHome: true, MembersDigest: c.Members.Digest(c.Service),
		TimeoutMillis: m.TimeoutMillis, Others: m.Others, Unnamed: m.Unnamed, OthersIncomplete: m.OthersIncomplete, KnownOnly: m.KnownOnly || !s.Delivered(to),
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
	if s.HandedTo != 0 && !c.handOverFailed(now, id, s) {
		return
	}
	for _, r := range c.Members.Agents(c.Service) {
		if r.ID() != c.Self && !r.HasLeft(now) && !s.Denied(r.ID()) {
			return
		}
	}
	handedOn, complete := c.searchNextService(now, id, s)
	if handedOn {
		return
	}
	c.owners.DeleteSearch(id)
	if !complete {
		c.LogNotable("OwnerNotFound", "Flow", id, "Reason", "ServicesUnknown", "Denials", s.Denials())
		return
	}
	c.resetFlow(id, s.LastAck, "AllUpstreamsDenied", "Denials", s.Denials(), "Took", now.Sub(s.StartedAt))
}

// finishDeniedSearches ends the searches that only waited for agents that have since left.
func (c *Core) finishDeniedSearches(now instant.Instant) {
	c.owners.Searches(func(id flow.ID, s *lookup.Search) { c.finishIfDenied(now, id, s) })
}
