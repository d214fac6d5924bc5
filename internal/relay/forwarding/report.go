package forwarding

import (
	"maps"
	"slices"
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/message"
	"github.com/jaytack/jaytack/internal/relay/routes"
)

// Record returns the record that the balancer reports to other processes.
func (c *Core) Record() *message.Record {
	state := message.State_StateReady
	switch {
	case c.stopping:
		state = message.State_StateRestarting
	case len(c.failedComponents) > 0:
		state = message.State_StateSilent
	}
	return &message.Record{
		Instance: uint32(c.Self), DataCentre: c.DataCentre, Incarnation: c.Incarnation, Sequence: c.sequence, State: state,
		Version: int64(c.Routes.Version()),
	}
}

func (c *Core) handleReport(now instant.Instant, from flow.IP, report *message.Report) {
	r := report.GetRecord()
	if r == nil || flow.IP(r.Instance) != from || from == c.Self || r.Check() != nil {
		c.Counts.Unreadable++
		return
	}
	if report.ReplyWanted {
		c.sendReport(now, from, false)
	}
	if r.Service == "" {
		c.mergeReportedEvacuations(now, from, report.Evacuations)
	}
	if !c.Members.ApplyReport(now, r, time.Duration(report.IntervalMillis)*time.Millisecond) {
		return
	}
	if r.Service == "" {
		c.validUntil[from] = now.Add(time.Duration(report.VersionValidMillis) * time.Millisecond)
	}
	if v := routes.Version(r.Version); r.Service == "" && v > c.Routes.Version() {
		c.handleNewerVersion(now, from, r.DataCentre, v)
	}
	c.handleMemberChanges(now)
}

// sendReports sends the balancer's record to the processes that are due for it: regularly to
// the audience, once to processes that have started, and to all members when this process
// starts or stops.
func (c *Core) sendReports(now instant.Instant) {
	started := c.Members.TakeStarted()
	before := c.audience
	c.audience = c.newAudience(now)
	if c.announcementsLeft > 0 && now >= c.nextAnnouncement {
		c.announcementsLeft--
		c.nextAnnouncement = now.Add(announcementInterval)
		c.nextReport = now.Add(reportInterval)
		c.Counts.Announcements++
		c.sendReportTo(now, c.Members.IDs())
		return
	}
	if now >= c.nextReport {
		c.nextReport = now.Add(reportInterval)
		c.sendReportTo(now, slices.Sorted(maps.Keys(c.audience)))
	}
	for id := range before {
		if !c.audience[id] && c.Members.Member(id) != nil {
			// The member must not wait for further reports.
			started = append(started, id)
		}
	}
	slices.Sort(started)
	c.sendReportTo(now, slices.Compact(started))
}

// newAudience returns the balancers to which this one reports regularly: those of its data
// centre, and all if it watches the store for new configurations.
func (c *Core) newAudience(now instant.Instant) map[flow.IP]bool {
	a := make(map[flow.IP]bool)
	watching := c.ShouldWatchConfiguration(now) && now < c.versionValidUntil
	for _, m := range c.Members.Balancers() {
		if m.ID() != c.Self && (watching || m.DataCentre == c.DataCentre) {
			a[m.ID()] = true
		}
	}
	return a
}

// announce sends the balancer's record to all members with the next tick, and repeats it
// since datagrams may be lost.
func (c *Core) announce(now instant.Instant) {
	c.announcementsLeft, c.nextAnnouncement = announcementCount, now
}

// sendReportTo sends one state of the record to several processes.
func (c *Core) sendReportTo(now instant.Instant, ids []flow.IP) {
	if len(ids) == 0 {
		return
	}
	c.sequence++
	regular, other := c.newReport(now, reportInterval), c.newReport(now, 0)
	for _, id := range ids {
		e := other
		if c.audience[id] {
			e = regular
		}
		if id != c.Self {
			c.Counts.Reports++
			c.Send(id, e)
		}
	}
}

// newReport returns a report with the balancer's record to a process to which it reports at
// an interval, 0 for changes only.
func (c *Core) newReport(now instant.Instant, interval time.Duration) *message.Envelope {
	valid := max(c.versionValidUntil.Sub(now), 0)
	return &message.Envelope{Body: &message.Envelope_Report{Report: &message.Report{
		Record: c.Record(), VersionValidMillis: uint32(valid / time.Millisecond), IntervalMillis: uint32(interval / time.Millisecond),
		Evacuations: c.evacuations.Message(),
	}}}
}

// requestReports asks the members that may be gone for a report.
func (c *Core) requestReports(now instant.Instant) {
	for _, id := range c.Members.Unconfirmed(now) {
		c.Counts.ReportRequests++
		c.sendReport(now, id, true)
	}
}

// sendReport sends a report to one process, which has to answer with its own if replyWanted
// is set.
func (c *Core) sendReport(now instant.Instant, to flow.IP, replyWanted bool) {
	c.sequence++
	interval := time.Duration(0)
	if c.audience[to] {
		interval = reportInterval
	}
	e := c.newReport(now, interval)
	e.GetReport().ReplyWanted = replyWanted
	c.Send(to, e)
}
