package serving

import (
	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/flowtable"
	"github.com/jaytack/jaytack/internal/relay/lookup"
	"github.com/jaytack/jaytack/internal/relay/message"
)

// asHome finds the owner of an open flow, or chooses one for a new flow.
func (c *Core) asHome(now instant.Instant, p flow.Packet, m *message.Carried) {
	m.ByHome = true
	if p.OpensFlow() {
		c.placeAgain(now, p, m)
		return
	}
	if f := c.table.Get(p.Flow); f != nil && f.Phase >= flowtable.Accepted && !f.Foreign(p) {
		c.asOwner(now, p, m)
		return
	}
	owner, ok := c.directory.Owner(now, p.Flow)
	if ok && c.isMember(owner) && c.directory.Searching(p.Flow) == nil {
		c.carry(now, owner, m, message.Step_StepOwner)
		return
	}
	c.search(now, p, m)
}

// isMember reports whether an agent of the own service may hold flows.
func (c *Core) isMember(a flow.IP) bool {
	if a == c.Self {
		return true
	}
	r := c.Roster.Member(a)
	return r != nil && r.Service == c.Service && r.State != message.State_StateGone
}

// search asks all agents of the service that have not denied the flow.
func (c *Core) search(now instant.Instant, p flow.Packet, m *message.Carried) {
	c.directory.Disown(p.Flow)
	s := c.directory.Search(now, p.Flow)
	if s == nil {
		c.Counts.Overflowed++
		return
	}
	s.LastAck, s.Repeats = p.AckSeq, 0
	if s.Asked != 0 && now.Sub(s.Asked) < askAgainAfter {
		s.Queue(m)
		return
	}
	if s.Asked == 0 {
		c.Counts.Searches++
		c.LogNotable("OwnerSearched", "Flow", p.Flow, "Members", len(c.Roster.Agents(c.Service)), "Settled", c.Roster.IsSettled(now))
	}
	s.Asked = now
	c.ask(now, s, m)
	c.conclude(now, p.Flow, s)
}

func (c *Core) ask(now instant.Instant, s *lookup.Search, m *message.Carried) {
	s.Last = m
	for _, r := range c.Roster.Agents(c.Service) {
		if r.ID() != c.Self && r.State != message.State_StateGone && !s.Denied(r.ID()) {
			c.probe(now, r.ID(), m)
		}
	}
	if !s.Denied(c.Self) {
		c.probe(now, c.Self, m)
	}
}

// askAgain repeats the question of searches whose answers are overdue.
func (c *Core) askAgain(now instant.Instant) {
	c.directory.Searches(func(id flow.ID, s *lookup.Search) {
		if s.Last == nil || s.Repeats >= maxRepeats || now.Sub(s.Asked) < askAgainAfter {
			return
		}
		s.Repeats++
		s.Asked = now
		c.ask(now, s, s.Last)
		c.conclude(now, id, s)
	})
}

// claimed notes the owner of a flow and passes on what waited for it.
func (c *Core) claimed(now instant.Instant, from flow.IP, id flow.ID) {
	c.Counts.Claims++
	s := c.directory.Own(now, id, from)
	if s == nil {
		return
	}
	c.LogNotable("OwnerFound", "Flow", id, "Agent", from, "Took", now.Sub(s.Started), "Denials", s.Denials())
	for _, m := range s.Take() {
		c.carry(now, from, m, message.Step_StepOwner)
	}
}

// denied notes that an agent does not hold a flow.
func (c *Core) denied(now instant.Instant, from flow.IP, id flow.ID, members []uint32) {
	c.Counts.Denials++
	s := c.directory.Searching(id)
	if s == nil {
		return
	}
	s.Deny(from)
	c.askMissing(now, s, members)
	c.conclude(now, id, s)
}

// askMissing asks agents that others know and this one does not.
func (c *Core) askMissing(now instant.Instant, s *lookup.Search, members []uint32) {
	for _, x := range members {
		a := flow.IP(x)
		if a == c.Self || s.Denied(a) || c.Roster.Member(a) != nil || s.Last == nil {
			continue
		}
		s.Miss(a)
		c.probe(now, a, s.Last)
	}
}

// probe asks an agent whether it holds the flow of a packet.
func (c *Core) probe(now instant.Instant, to flow.IP, m *message.Carried) {
	c.carry(now, to, &message.Carried{
		Packet: m.Packet, Service: m.Service, Balancer: m.Balancer, DataCentre: m.DataCentre, ByHome: true,
		TimeoutMillis: m.TimeoutMillis, Others: m.Others,
	}, message.Step_StepProbe)
}

// conclude resets a flow once every member of the service has denied it, unless
// a denial that came at once has ended the search already.
func (c *Core) conclude(now instant.Instant, id flow.ID, s *lookup.Search) {
	own := s.Denied(c.Self) || c.state == message.State_StateGone
	if c.directory.Searching(id) != s || !c.Roster.IsSettled(now) || !own || s.Missing() {
		return
	}
	for _, r := range c.Roster.Agents(c.Service) {
		if r.ID() != c.Self && r.State != message.State_StateGone && !s.Denied(r.ID()) {
			return
		}
	}
	c.directory.End(id)
	if c.handOn(now, id, s) {
		return
	}
	c.reset(id, s.LastAck, "AllUpstreamsDenied", "Denials", s.Denials(), "Took", now.Sub(s.Started))
}

// concludeAll ends the searches that waited only for agents that are gone by now.
func (c *Core) concludeAll(now instant.Instant) {
	c.directory.Searches(func(id flow.ID, s *lookup.Search) { c.conclude(now, id, s) })
}

// handOn has the next service searched that may hold a flow, and reports whether
// there is one.
func (c *Core) handOn(now instant.Instant, id flow.ID, s *lookup.Search) bool {
	for i, service := range s.Last.GetOthers() {
		home, ok := c.Roster.Home(now, service, s.Last.DataCentre, id.Hash())
		if !ok {
			continue
		}
		c.LogNotable("SearchHandedOn", "Flow", id, "Service", service, "Home", home, "Denials", s.Denials())
		for _, m := range append([]*message.Carried{s.Last}, s.Take()...) {
			c.carry(now, home, &message.Carried{
				Packet: m.Packet, Service: service, Balancer: m.Balancer, DataCentre: m.DataCentre,
				TimeoutMillis: m.TimeoutMillis, Others: s.Last.Others[i+1:],
			}, message.Step_StepHome)
		}
		return true
	}
	return false
}

// returned searches for the owner of a flow that the sender does not hold.
func (c *Core) returned(now instant.Instant, from flow.IP, p flow.Packet, m *message.Carried) {
	if owner, ok := c.directory.Owner(now, p.Flow); ok && owner != from && c.isMember(owner) && c.directory.Searching(p.Flow) == nil {
		c.carry(now, owner, m, message.Step_StepOwner)
		return
	}
	c.directory.Disown(p.Flow)
	if s := c.directory.Search(now, p.Flow); s != nil {
		s.Deny(from)
	}
	c.search(now, p, m)
}
