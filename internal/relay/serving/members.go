package serving

import (
	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/flowtable"
	"github.com/jaytack/jaytack/internal/relay/load"
	"github.com/jaytack/jaytack/internal/relay/membership"
	"github.com/jaytack/jaytack/internal/relay/message"
)

// RestoreOwnRecord takes in the entry that an earlier process of the instance left.
func (c *Core) RestoreOwnRecord(now instant.Instant, r *message.Record) {
	c.Incarnation = max(c.Incarnation, r.Incarnation+1)
	c.Roster.MarkSettled(now)
	if c.up.heard != 0 || r.Service != c.Service {
		return
	}
	// The upstream said so to the earlier process; its next heartbeat decides.
	c.up.Draining = r.State == message.State_StateDraining
	c.up.absent = r.State == message.State_StateGone
	c.announce(now)
}

// ApplyStored takes in all entries of the store.
func (c *Core) ApplyStored(now instant.Instant, recs []*message.Record) {
	c.Roster.ApplyStored(now, recs)
	c.rosterChanged(now)
}

func (c *Core) reported(now instant.Instant, from flow.IP, r *message.Record) {
	if r == nil || flow.IP(r.Instance) != from || from == c.Self {
		return
	}
	if !c.Roster.ApplyReport(now, r) {
		return
	}
	if r.Service == c.Service {
		c.board.Update(from, load.Report{Slots: int(r.Slots), Busy: int(r.Busy), Idle: int(r.Idle), Cold: r.Cold})
	}
	c.rosterChanged(now)
}

// rosterChanged has homes reckoned anew after a change of the members.
func (c *Core) rosterChanged(now instant.Instant) {
	if c.changes == c.Roster.ChangeCount {
		return
	}
	c.changes = c.Roster.ChangeCount
	c.rehoming = true
	c.tellNewMembers(now)
	c.concludeAll(now)
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
	c.table.All(func(f *flowtable.Flow) {
		if left == 0 || f.Phase != flowtable.Open {
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
func (c *Core) claim(f *flowtable.Flow, home flow.IP) {
	f.Home = home
	if home != c.Self {
		c.Send(home, &message.Envelope{Body: &message.Envelope_Claim{Claim: &message.Claim{Flow: message.FlowOf(f.ID)}}})
	}
}

// expire forgets what is old.
func (c *Core) expire(now instant.Instant) {
	c.table.Expire(now)
	for _, id := range c.directory.Expire(now) {
		c.LogNotable("OwnerNotFound", "Flow", id, "Members", len(c.Roster.Agents(c.Service)))
	}
	for _, r := range c.Roster.Expire(now) {
		c.LogStateChange("MemberForgotten", "Agent", r.ID(), "Service", r.Service, "Heard", sinceHeard(now, r))
		c.board.Remove(r.ID())
	}
	c.rosterChanged(now)
}

func sinceHeard(now instant.Instant, r *membership.Member) any {
	if r.LastReport < 0 {
		return "Never"
	}
	return now.Sub(r.LastReport)
}
