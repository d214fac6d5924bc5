package serving

import (
	"slices"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/lookup"
	"github.com/jaytack/jaytack/internal/relay/message"
)

// A flow may be open in another service that its route names or has named. This agent knows the
// agents there from the store alone, which may be several seconds late, so that the functions below
// take no home there for alive that does not answer.

// deliverElsewhere passes a packet of a flow whose owner is searched here to the homes of the
// other services that the route names or has named. Otherwise the flow would get no packets
// while the search waits for an agent of this service that restarts. The homes answer with
// the owner, or that no agent of theirs knows it; while this search asks, they do not deliver
// the packet otherwise. They do not reset the flow: that takes the denials of all services,
// which the search collects in turn.
func (c *Core) deliverElsewhere(now instant.Instant, id flow.ID, s *lookup.Search, m *message.Carried) {
	for _, service := range m.Others {
		home, ok := c.homeElsewhere(now, service, m.DataCentre, id)
		if !ok {
			c.noteUnknownService(now)
			continue
		}
		c.askElsewhere(now, s, m, service, home)
	}
}

// homeElsewhere returns the home of a flow in another service, and asks whether it is alive.
func (c *Core) homeElsewhere(now instant.Instant, service, dataCentre string, id flow.ID) (flow.IP, bool) {
	home, ok := c.Members.Home(now, service, dataCentre, id.Hash())
	if ok {
		c.dependOn(now, home)
	}
	return home, ok
}

// askElsewhere passes a packet to the home of a flow in another service.
func (c *Core) askElsewhere(now instant.Instant, s *lookup.Search, m *message.Carried, service string, home flow.IP) {
	s.AskElsewhere(service, home)
	c.sendPacket(now, home, &message.Carried{
		Packet: m.Packet, Service: service, Balancer: m.Balancer, DataCentre: m.DataCentre, TimeoutMillis: m.TimeoutMillis, OthersIncomplete: true, KnownOnly: s.Asking, Asker: uint32(c.Self),
	}, message.Step_StepHome)
}

// retryElsewhere passes the last packet of a search to the next home of each other service whose
// home does not answer. If askAgain is set, it also repeats the packets without an answer, since a
// datagram may be lost.
func (c *Core) retryElsewhere(now instant.Instant, id flow.ID, s *lookup.Search, askAgain bool) {
	s.UnansweredElsewhere(func(service string, o *lookup.OtherSearch) {
		home, ok := flow.IP(0), false
		switch {
		case o.HomeFailed:
		case c.Members.IsSuspect(now, o.Home):
			home, ok = c.nextHome(now, id, s, service, o.Home)
			o.HomeFailed = !ok
		case askAgain:
			home, ok = c.homeElsewhere(now, service, s.LastPacket.DataCentre, id)
		}
		if ok {
			c.askElsewhere(now, s, s.LastPacket, service, home)
		}
	})
}

// nextHome returns the home of a flow in another service in place of one that does not answer,
// false if no agent there is known to be better. That home may have left, so that the members are
// read again.
func (c *Core) nextHome(now instant.Instant, id flow.ID, s *lookup.Search, service string, failed flow.IP) (flow.IP, bool) {
	c.membersWanted = true
	home, ok := c.homeElsewhere(now, service, s.LastPacket.DataCentre, id)
	ok = ok && home != failed && !c.Members.IsSuspect(now, home)
	c.LogNotable("HomeUnanswered", "Flow", id, "Service", service, "Home", failed, "Next", home, "Found", ok, "Took", now.Sub(s.StartedAt))
	return home, ok
}

// handOverFailed reports whether the home to which a search was handed over does not answer and
// another agent of its service may.
func (c *Core) handOverFailed(now instant.Instant, id flow.ID, s *lookup.Search) bool {
	r := c.Members.Member(s.HandedTo)
	switch {
	case r == nil || !slices.Contains(s.LastPacket.Others, r.Service) && !slices.Contains(s.LastPacket.Unnamed, r.Service):
		// Its address may belong to another service now.
		return true
	case s.HandOverFailed || !r.IsSuspect(now):
		return false
	}
	_, ok := c.nextHome(now, id, s, r.Service, s.HandedTo)
	s.HandOverFailed = !ok
	return ok
}

// searchNextService passes a search to the next service that may hold the flow and reports whether
// there is one. The search ends here once the home there has confirmed that it has it. complete is
// false if another service may hold the flow that could not be asked.
func (c *Core) searchNextService(now instant.Instant, id flow.ID, s *lookup.Search) (handedOn, complete bool) {
	complete = !s.LastPacket.GetOthersIncomplete()
	named, unnamed := s.LastPacket.GetOthers(), s.LastPacket.GetUnnamed()
	for len(named)+len(unnamed) > 0 {
		var service string
		knownOnly := len(named) == 0
		if knownOnly {
			service, unnamed = unnamed[0], unnamed[1:]
		} else {
			service, named = named[0], named[1:]
		}
		home, ok := c.homeElsewhere(now, service, s.LastPacket.DataCentre, id)
		if !ok {
			complete = complete && !c.noteUnknownService(now)
			continue
		}
		c.LogNotable("SearchHandedOn", "Flow", id, "Service", service, "Named", !knownOnly, "Home", home, "Denials", s.Denials())
		for _, m := range append([]*message.Carried{s.LastPacket}, s.TakePackets()...) {
			c.sendPacket(now, home, &message.Carried{
				Packet: m.Packet, Service: service, Balancer: m.Balancer, DataCentre: m.DataCentre,
				TimeoutMillis: m.TimeoutMillis, Others: named, Unnamed: unnamed,
				OthersIncomplete: !complete, KnownOnly: knownOnly, Asker: uint32(c.Self),
			}, message.Step_StepHome)
		}
		s.HandedTo, s.HandOverFailed = home, false
		return true, complete
	}
	return false, complete
}

// noteUnknownService records that a service of a route has no known agent, and reports whether it
// may have some.
func (c *Core) noteUnknownService(now instant.Instant) bool {
	if c.Members.KnowsAllServices(now) {
		return false
	}
	c.membersWanted = true
	return true
}

// TakeMembersWanted reports whether the members should be read from the store at once, since a
// search lacks those of a service.
func (c *Core) TakeMembersWanted() bool {
	wanted := c.membersWanted
	c.membersWanted = false
	return wanted
}
