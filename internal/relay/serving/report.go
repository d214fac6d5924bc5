package serving

import (
	"math"
	"slices"
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/load"
	"github.com/jaytack/jaytack/internal/relay/membership"
	"github.com/jaytack/jaytack/internal/relay/message"
)

// Record returns the record that the agent reports to others and stores.
func (c *Core) Record(now instant.Instant) *message.Record {
	_, idle := c.flows.Load()
	return &message.Record{
		Instance: uint32(c.Self), Service: c.Service, DataCentre: c.DataCentre, Incarnation: c.Incarnation, Sequence: c.sequence,
		State: c.state, Upstream: c.upstream.Upstream, UpstreamBorn: c.upstream.Born, Slots: uint32(c.upstream.Slots),
		Busy: uint32(c.reportedBusy(now)), Idle: uint32(idle), Cold: c.upstream.coldUntil > now,
		FlowsLeft: uint32(c.flowsLeft(now)), ServiceTimeMicros: uint32(min(c.reportedServiceTime(now).Microseconds(), math.MaxUint32)),
		Waiting: c.recordedWaiting(), Failing: c.isFailing(now),
	}
}

// Tick runs the periodic tasks. It is called every TickInterval.
func (c *Core) Tick(now instant.Instant) {
	c.detectAbsence(now)
	c.recordTick(now)
	c.updateState(now)
	c.updateEjection(now)
	if c.upstream.resetFlowsAt != 0 && now >= c.upstream.resetFlowsAt {
		c.upstream.resetFlowsAt = 0
		c.resetAllFlows(now, "UpstreamLeft")
	}
	c.updateWarmUpLimit(now)
	c.admitQueued(now)
	c.updateOwnLoad(now)
	c.updateLocality(now)
	if now >= c.nextExpiry {
		c.nextExpiry = now.Add(expiryInterval)
		c.expire(now)
	}
	if now >= c.nextReportRequest {
		c.nextReportRequest = now.Add(reportRequestInterval)
		c.requestReports(now)
		// Members may have left for long enough to count as gone.
		c.finishDeniedSearches(now)
	}
	c.sendClaimsToNewHomes(now)
	c.retryProbes(now)
	c.sendReports(now)
}

// updateOwnLoad updates the load of this agent's upstream in the load table.
func (c *Core) updateOwnLoad(now instant.Instant) {
	_, idle := c.flows.Load()
	c.loads.Update(c.Self, load.Report{
		Slots: c.upstream.Slots, Busy: c.reportedBusy(now), Idle: idle, Cold: c.upstream.coldUntil > now,
		FlowsLeft: c.flowsLeft(now), ServiceTime: c.reportedServiceTime(now), Waiting: c.waiting(),
	})
}

// audience holds the processes that get regular reports, with their intervals.
type audience struct {
	local, remote, balancers []flow.IP
	intervals                map[flow.IP]time.Duration
}

// newAudience returns the processes to which this agent reports regularly: the agents that
// place flows at its upstream, and the balancers whose flows may have it as a home.
func (c *Core) newAudience() audience {
	o := c.Members.Overlay()
	a := audience{local: o.Local, remote: o.Remote, intervals: make(map[flow.IP]time.Duration)}
	for _, m := range c.Members.Balancers() {
		if m.DataCentre == c.DataCentre || c.Members.NeedsRemoteHomes(c.Service, m.DataCentre) {
			a.balancers = append(a.balancers, m.ID())
		}
	}
	set := func(ids []flow.IP, interval time.Duration) {
		for _, id := range ids {
			a.intervals[id] = interval
		}
	}
	set(a.local, localKeepAlive)
	set(a.remote, remoteKeepAlive)
	set(a.balancers, max(balancerReportInterval, time.Duration(len(a.balancers))*time.Second/maxBalancerReportRate))
	return a
}

// updateAudience recomputes the audience after a change of the members. Processes that no
// longer belong to it are told so, and new ones get a report with the next tick.
func (c *Core) updateAudience(now instant.Instant) {
	if c.audienceAt == c.Members.ChangeCount {
		return
	}
	c.audienceAt = c.Members.ChangeCount
	before := c.audience.intervals
	c.audience = c.newAudience()
	for id := range before {
		if c.audience.intervals[id] == 0 && c.Members.Member(id) != nil {
			c.startedMembers = append(c.startedMembers, id)
		}
	}
	for id := range c.audience.intervals {
		if before[id] == 0 {
			c.startedMembers = append(c.startedMembers, id)
		}
	}
	slices.Sort(c.startedMembers)
}

// sendReports sends the agent's record to the processes that are due for it: regularly to
// the audience, once to processes that have started, and after a change of state to all
// agents of the service and all balancers.
func (c *Core) sendReports(now instant.Instant) {
	c.updateAudience(now)
	c.startedMembers = append(c.startedMembers, c.Members.TakeStarted()...)
	r := c.newReporter(now)
	if c.announcementsLeft > 0 && now >= c.nextAnnouncement {
		c.announcementsLeft--
		c.nextAnnouncement = now.Add(announcementInterval)
		c.nextAgentReport, c.nextBalancerReport = now.Add(agentReportInterval), now.Add(c.balancerInterval())
		c.startedMembers = nil
		c.Counts.Announcements++
		for _, m := range c.Members.Agents(c.Service) {
			r.send(m.ID())
		}
		for _, m := range c.Members.Balancers() {
			r.send(m.ID())
		}
		return
	}
	if now >= c.nextAgentReport {
		c.nextAgentReport = now.Add(agentReportInterval)
		c.agentReports++
		load := c.Record(now)
		if c.lastLocal.isOutdated(now, load, localKeepAlive) {
			c.lastLocal = toldLoad{load, now}
			r.sendAll(c.audience.local)
		}
		if (c.remoteReportDue || c.agentReports%remoteReportEvery == 0) && c.lastRemote.isOutdated(now, load, remoteKeepAlive) {
			c.lastRemote, c.remoteReportDue = toldLoad{load, now}, false
			r.sendAll(c.audience.remote)
		}
	}
	if now >= c.nextBalancerReport {
		c.nextBalancerReport = now.Add(c.balancerInterval())
		r.sendAll(c.audience.balancers)
	}
	for _, id := range slices.Compact(c.startedMembers) {
		if m := c.Members.Member(id); m != nil && (!m.IsAgent() || m.Service == c.Service) {
			r.send(id)
		}
	}
	c.startedMembers = nil
}

// toldLoad is the load that agents were told in a record, and when.
type toldLoad struct {
	record *message.Record
	at     instant.Instant
}

// isOutdated reports whether the load has changed or has not been told for keepAlive.
func (l toldLoad) isOutdated(now instant.Instant, current *message.Record, keepAlive time.Duration) bool {
	if l.record == nil || now.Sub(l.at) >= keepAlive-TickInterval/2 {
		return true
	}
	idleChange := int(current.Idle) - int(l.record.Idle)
	return current.State != l.record.State || current.Slots != l.record.Slots || current.Busy != l.record.Busy ||
		current.Cold != l.record.Cold || current.FlowsLeft != l.record.FlowsLeft || current.Failing != l.record.Failing || max(idleChange, -idleChange) >= minIdleChange ||
		!slices.Equal(current.Waiting, l.record.Waiting)
}

// balancerInterval returns the interval between reports to the balancers of the audience.
func (c *Core) balancerInterval() time.Duration {
	if len(c.audience.balancers) == 0 {
		return balancerReportInterval
	}
	return c.audience.intervals[c.audience.balancers[0]]
}

// announce sends the agent's record to all agents of the service and all balancers with
// the next tick, and repeats it since datagrams may be lost.
func (c *Core) announce(now instant.Instant) {
	c.announcementsLeft, c.nextAnnouncement = announcementCount, now
}

// reportSoon makes all regular reports due with the next tick.
func (c *Core) reportSoon(now instant.Instant) {
	c.nextAgentReport, c.nextBalancerReport, c.remoteReportDue = now, now, true
}

// reporter sends reports with one state of the record.
type reporter struct {
	*Core
	now instant.Instant
	// envelopes holds the reports by their interval; they are encoded once each.
	envelopes map[time.Duration]*message.Envelope
}

func (c *Core) newReporter(now instant.Instant) *reporter {
	return &reporter{Core: c, now: now}
}

func (r *reporter) sendAll(ids []flow.IP) {
	for _, id := range ids {
		r.send(id)
	}
}

// send sends a report to a process that is not this one.
func (r *reporter) send(to flow.IP) {
	if to == r.Self {
		return
	}
	if r.envelopes == nil {
		r.sequence++
		r.envelopes = make(map[time.Duration]*message.Envelope)
	}
	interval := r.audience.intervals[to]
	e := r.envelopes[interval]
	if e == nil {
		e = &message.Envelope{Body: &message.Envelope_Report{Report: &message.Report{
			Record: r.Record(r.now), IntervalMillis: uint32(interval / time.Millisecond),
		}}}
		r.envelopes[interval] = e
	}
	r.Counts.Reports++
	r.Send(to, e)
}

// requestReports asks the members that may be gone for a report.
func (c *Core) requestReports(now instant.Instant) {
	for _, id := range c.Members.Unconfirmed(now) {
		c.requestReport(now, id)
	}
}

// dependOn asks a member for a report before this process sends it something that nobody else
// handles, if it is not known to be alive.
func (c *Core) dependOn(now instant.Instant, id flow.IP) {
	if c.Members.Depend(now, id) {
		c.requestReport(now, id)
	}
}

// requestReport asks a member for a report.
func (c *Core) requestReport(now instant.Instant, id flow.IP) {
	c.updateAudience(now)
	c.sequence++
	c.Counts.ReportRequests++
	c.Send(id, &message.Envelope{Body: &message.Envelope_Report{Report: &message.Report{
		Record: c.Record(now), IntervalMillis: uint32(c.audience.intervals[id] / time.Millisecond), ReplyWanted: true,
	}}})
}

// sinceHeard returns the time since a member's last report, or "Never".
func sinceHeard(now instant.Instant, r *membership.Member) any {
	if r.LastReport < 0 {
		return "Never"
	}
	return now.Sub(r.LastReport)
}
