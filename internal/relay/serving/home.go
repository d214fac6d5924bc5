package serving

import (
	"slices"
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/directory"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/load"
	"github.com/jaytack/jaytack/internal/relay/message"
	"github.com/jaytack/jaytack/internal/relay/ownership"
	"github.com/jaytack/jaytack/internal/relay/roster"
)

// asHome finds the owner of an open flow, or chooses one for a new flow.
func (c *Core) asHome(now instant.Instant, p flow.Packet, m *message.Carried) {
	m.ByHome = true
	if p.Opens() {
		c.placeAgain(now, p, m)
		return
	}
	if f := c.table.Get(p.Flow); f != nil && f.Phase >= ownership.Accepted && !f.Foreign(p) {
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
	return r != nil && r.Service == c.Service && r.Takes() && !r.Suspect(now)
}

// place chooses the agent of a new flow.
func (c *Core) place(now instant.Instant, p flow.Packet, m *message.Carried) {
	candidates := c.candidates(now, m)
	to, ok := c.board.Choose(candidates)
	if !ok || len(m.Excluded) >= maxPlacements {
		c.refuse(now, p, m, "NoUpstreamTakesFlows")
		return
	}
	c.Counts.Placed++
	c.board.Place(to)
	c.directory.Own(now, p.Flow, to)
	c.Note("FlowPlaced", "Flow", p.Flow, "Agent", to, "Among", len(candidates),
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
		cand := load.Candidate{Agent: id, Far: dataCentre != m.DataCentre}
		switch state {
		case message.State_StateReady:
			cand.Doubtful = suspect
		case message.State_StateUnknown:
			cand.Doubtful = true
		case message.State_StateSilent:
			cand.Doubtful, cand.Unlikely = true, true
		default:
			return
		}
		cand.Unlikely = cand.Unlikely || suspect && !c.young(now)
		out = append(out, cand)
	}
	add(c.Self, c.DataCentre, c.state, false)
	for _, r := range c.Roster.Group(c.Service) {
		if r.ID() != c.Self {
			add(r.ID(), r.DataCentre, r.State, r.Suspect(now))
		}
	}
	return out
}

// young reports whether the process has started so lately that peers may not have
// reported yet.
func (c *Core) young(now instant.Instant) bool { return now.Sub(c.Started) < roster.SettleAfter }

// refuse turns a new flow away that no upstream can take; it has not run. Where an
// earlier copy may have been accepted elsewhere the caller hears nothing.
func (c *Core) refuse(now instant.Instant, p flow.Packet, m *message.Carried, reason string) {
	if waited := time.Duration(m.WaitedMillis) * time.Millisecond; flow.MayBeOpen(p.AckSeq, waited) {
		c.Explain("CopyDropped", "Flow", p.Flow, "Reason", reason, "Copy", p.AckSeq, "Waited", waited)
		return
	}
	c.Counts.Refused++
	c.reset(p.Flow, 0, reason, "InSystem", c.table.InSystem(now), "Waiting", c.room.Len(), "Members", len(c.Roster.Group(c.Service)), "Excluded", len(m.Excluded))
	c.directory.Disown(p.Flow)
}

// search asks all agents of the service that have not denied the flow.
func (c *Core) search(now instant.Instant, p flow.Packet, m *message.Carried) {
	c.directory.Disown(p.Flow)
	s := c.directory.Search(now, p.Flow)
	if s == nil {
		c.Counts.Overflowed++
		return
	}
	s.LastAck = p.AckSeq
	if s.Asked != 0 && now.Sub(s.Asked) < askAgainAfter {
		s.Queue(m)
		return
	}
	if s.Asked == 0 {
		c.Counts.Searches++
		c.Explain("OwnerSearched", "Flow", p.Flow, "Members", len(c.Roster.Group(c.Service)), "Settled", c.Roster.Settled(now))
	}
	s.Asked = now
	c.ask(now, s, m)
	c.conclude(now, p.Flow, s)
}

func (c *Core) ask(now instant.Instant, s *directory.Search, m *message.Carried) {
	s.Last = m
	for _, r := range c.Roster.Group(c.Service) {
		if r.ID() != c.Self && r.State != message.State_StateGone && !s.Denied(r.ID()) {
			c.probe(now, r.ID(), m)
		}
	}
	if !s.Denied(c.Self) {
		c.probe(now, c.Self, m)
	}
}

// claimed notes the owner of a flow and passes on what waited for it.
func (c *Core) claimed(now instant.Instant, from flow.IP, id flow.ID) {
	c.Counts.Claims++
	s := c.directory.Own(now, id, from)
	if s == nil {
		return
	}
	c.Explain("OwnerFound", "Flow", id, "Agent", from, "Took", now.Sub(s.Started), "Denials", s.Denials())
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
func (c *Core) askMissing(now instant.Instant, s *directory.Search, members []uint32) {
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
		TimeoutMillis: m.TimeoutMillis,
	}, message.Step_StepProbe)
}

// conclude resets a flow once every member of the service has denied it.
func (c *Core) conclude(now instant.Instant, id flow.ID, s *directory.Search) {
	if !c.Roster.Settled(now) || !s.Denied(c.Self) || s.Missing() {
		return
	}
	for _, r := range c.Roster.Group(c.Service) {
		if r.ID() != c.Self && r.State != message.State_StateGone && !s.Denied(r.ID()) {
			return
		}
	}
	c.reset(id, s.LastAck, "AllUpstreamsDenied", "Denials", s.Denials(), "Took", now.Sub(s.Started))
	c.directory.End(id)
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

// FoundOwn takes in the entry that an earlier process of the instance left.
func (c *Core) FoundOwn(now instant.Instant, r *message.Record) {
	c.Incarnation = max(c.Incarnation, r.Incarnation+1)
	c.Roster.FoundOwn(now)
	if !c.up.known && r.State == message.State_StateDraining {
		// The upstream said so to the earlier process; its next heartbeat decides.
		c.up.Draining = true
		c.announce(now)
	}
}

// Stored takes in all entries of the store.
func (c *Core) Stored(now instant.Instant, recs []*message.Record) {
	c.Roster.Stored(now, recs)
	c.rosterChanged(now)
}

func (c *Core) reported(now instant.Instant, from flow.IP, r *message.Record) {
	if r == nil || flow.IP(r.Instance) != from || from == c.Self {
		return
	}
	if !c.Roster.Report(now, r) {
		return
	}
	if r.Service == c.Service {
		c.board.Update(from, load.Signal{Slots: int(r.Slots), Busy: int(r.Busy), Idle: int(r.Idle), Cold: r.Cold})
	}
	c.rosterChanged(now)
}

// rosterChanged has homes reckoned anew after a change of the members.
func (c *Core) rosterChanged(now instant.Instant) {
	if c.changes == c.Roster.Changes {
		return
	}
	c.changes = c.Roster.Changes
	c.rehoming = true
	c.tellNewMembers(now)
}

// tellNewMembers reports at once, so that new members need not wait.
func (c *Core) tellNewMembers(now instant.Instant) {
	c.groupAt, c.balancersAt, c.urgent = min(c.groupAt, now), min(c.balancersAt, now), true
}

// rehome claims flows at their homes where these have changed.
func (c *Core) rehome(now instant.Instant) {
	if !c.rehoming {
		return
	}
	left := claimsPerTick
	c.table.All(func(f *ownership.Flow) {
		if left == 0 || f.Phase != ownership.Open {
			return
		}
		home, ok := c.Roster.Home(now, c.Service, f.DataCentre, f.ID.Hash())
		if !ok || home == f.Home {
			return
		}
		left--
		c.claim(f, home)
	})
	c.rehoming = left == 0
}

// claim tells a home that the upstream holds a flow.
func (c *Core) claim(f *ownership.Flow, home flow.IP) {
	f.Home = home
	if home != c.Self {
		c.Send(home, &message.Envelope{Body: &message.Envelope_Claim{Claim: &message.Claim{Flow: message.FlowOf(f.ID)}}})
	}
}

// expire forgets what is old.
func (c *Core) expire(now instant.Instant) {
	c.table.Expire(now)
	for _, id := range c.directory.Expire(now) {
		c.Explain("OwnerNotFound", "Flow", id, "Members", len(c.Roster.Group(c.Service)))
	}
	for _, r := range c.Roster.Expire(now) {
		c.Believe("MemberForgotten", "Agent", r.ID(), "Service", r.Service, "Heard", sinceHeard(now, r))
		c.board.Forget(r.ID())
	}
	c.rosterChanged(now)
}

func sinceHeard(now instant.Instant, r *roster.Member) any {
	if r.Heard < 0 {
		return "Never"
	}
	return now.Sub(r.Heard)
}
