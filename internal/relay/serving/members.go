package serving

import (
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/flowtable"
	"github.com/jaytack/jaytack/internal/relay/load"
	"github.com/jaytack/jaytack/internal/relay/message"
)

// RestoreOwnRecord applies the record that an earlier process of this instance stored:
// this process reports with a higher incarnation and restores the upstream's state. current
// is false if the store may have been restored from a copy since.
func (c *Core) RestoreOwnRecord(now instant.Instant, r *message.Record, current bool) {
	c.Incarnation = max(c.Incarnation, r.Incarnation+1)
	if current {
		c.Members.MarkSettled(now)
	}
	if c.upstream.lastHeard != 0 || r.Service != c.Service {
		return
	}
	// The upstream reported this to the earlier process; its next heartbeat overrides it.
	c.upstream.Draining = r.State == message.State_StateDraining
	c.upstream.leftBefore = r.State == message.State_StateGone && current
	c.updateState(now)
}

// ApplyStored updates the members from all records in the store. After the first read the
// agent announces itself to them.
func (c *Core) ApplyStored(now instant.Instant, records []*message.Record) {
	if !c.Members.IsLoaded() {
		c.announce(now)
	}
	c.Members.ApplyStored(now, records)
	c.handleMemberChanges(now)
}

func (c *Core) handleReport(now instant.Instant, from flow.IP, report *message.Report) {
	r := report.GetRecord()
	if r == nil || flow.IP(r.Instance) != from || from == c.Self || r.Check() != nil {
		c.Counts.Unreadable++
		return
	}
	if report.ReplyWanted {
		c.updateAudience(now)
		c.newReporter(now).send(from)
	}
	if r.Service == "" {
		c.mergeEvacuations(now, from, report.Evacuations)
		c.recordRoundTrip(now, from, r.DataCentre)
	}
	if !c.Members.ApplyReport(now, r, time.Duration(report.IntervalMillis)*time.Millisecond) {
		return
	}
	if r.Service == c.Service {
		serviceTime := time.Duration(r.ServiceTimeMicros) * time.Microsecond
		if report.IntervalMillis == 0 {
			// No report says when the service time changes, and a stale one would count in
			// the group's median for as long as the member lives.
			serviceTime = 0
		}
		c.loads.Update(from, load.Report{
			Slots: int(r.Slots), Busy: int(r.Busy), Idle: int(r.Idle), Cold: r.Cold, FlowsLeft: int(r.FlowsLeft),
			ServiceTime: serviceTime, Waiting: waitingOf(r),
		})
	}
	c.handleMemberChanges(now)
}

// handleMemberChanges schedules claims to new homes, and ends searches that no longer
// wait for any agent, if the members have changed.
func (c *Core) handleMemberChanges(now instant.Instant) {
	if c.handledChanges == c.Members.ChangeCount {
		return
	}
	c.handledChanges = c.Members.ChangeCount
	c.homesChanged = true
	c.finishDeniedSearches(now)
}

// sendClaimsToNewHomes sends claims for flows whose home has changed or has restarted, which
// loses its table, up to maxClaimsPerTick.
func (c *Core) sendClaimsToNewHomes(now instant.Instant) {
	if !c.homesChanged {
		return
	}
	remaining := maxClaimsPerTick
	c.flows.All(func(f *flowtable.Flow) {
		if remaining == 0 || !f.IsHeld() {
			return
		}
		home, ok := c.Members.Home(now, c.Service, f.DataCentre, f.ID.Hash())
		if !ok {
			return
		}
		if home == f.Home && c.incarnationOf(home) == f.HomeIncarnation {
			return
		}
		remaining--
		c.sendClaim(f, home)
	})
	c.homesChanged = remaining == 0
}

// setHome records a flow's home, which knows that this agent is its owner.
func (c *Core) setHome(f *flowtable.Flow, home flow.IP) {
	f.Home, f.HomeIncarnation = home, c.incarnationOf(home)
}

// incarnationOf returns the incarnation of an agent's process, 0 if unknown.
func (c *Core) incarnationOf(a flow.IP) uint64 {
	if m := c.Members.Member(a); m != nil {
		return m.Incarnation
	}
	return 0
}

// sendClaim sends a home or prober the claim that the upstream holds a flow.
func (c *Core) sendClaim(f *flowtable.Flow, home flow.IP) {
	c.setHome(f, home)
	if home != c.Self {
		c.Send(home, &message.Envelope{Body: &message.Envelope_Claim{Claim: &message.Claim{Flow: message.FlowOf(f.ID)}}})
	}
}

// expire removes expired flows, owners, searches and members.
func (c *Core) expire(now instant.Instant) {
	c.flows.Expire(now)
	c.logSpeed(now)
	for id, since := range c.disowned {
		if now.Sub(since) > c.FlowLifetime {
			delete(c.disowned, id)
		}
	}
	for _, id := range c.owners.Expire(now) {
		c.LogNotable("OwnerNotFound", "Flow", id, "Members", len(c.Members.Agents(c.Service)))
	}
	for _, r := range c.Members.Expire(now) {
		c.LogStateChange("MemberForgotten", "Agent", r.ID(), "Service", r.Service, "Heard", sinceHeard(now, r))
		c.loads.Remove(r.ID())
		delete(c.silentAgents, r.ID())
	}
	c.handleMemberChanges(now)
}
