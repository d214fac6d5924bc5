// Package forwarding implements a balancer's forwarding decisions for packets of
// callers.
//
// A balancer keeps no state that a flow depends on. It sends a packet to the
// flow's owner if a hint names one. Otherwise it sends the packet to the flow's
// home, an agent of the service that knows the owner or searches for it. A packet
// that opens a flow is reset if the configuration in force has no route for its
// address, or if the service certainly has no agents. Packets are queued briefly
// until a configuration is in force and agents are known.
//
// # Usage
//
//	c := forwarding.New(cfg)
//	c.HandlePacket(now, bytes)
//	c.HandleMessage(now, from, envelope)
//	c.ApplyConfiguration(now, configuration, source)
//	actions, logEntries := c.TakeOutput()
//
// The package performs no I/O. A Core is not safe for concurrent use.
package forwarding

import (
	"slices"
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/action"
	"github.com/jaytack/jaytack/internal/relay/evacuation"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/membership"
	"github.com/jaytack/jaytack/internal/relay/message"
	"github.com/jaytack/jaytack/internal/relay/routes"
)

// Timing and limits.
const (
	// TickInterval is the interval between calls of Tick.
	TickInterval = 100 * time.Millisecond
	// reportInterval is the interval between reports to other balancers.
	reportInterval = 400 * time.Millisecond
	// announcementCount is how often the start and the stop of the process are announced to
	// all members, announcementInterval the time between two announcements.
	announcementCount    = 2
	announcementInterval = 500 * time.Millisecond
	// reportRequestInterval is the interval between requests to members that may be gone.
	reportRequestInterval = 500 * time.Millisecond
	// hintIdleTimeout is how long an unused hint is kept.
	hintIdleTimeout = 30 * time.Second
	// maxHints limits the number of hints.
	maxHints = 1 << 18
	// maxQueuedPackets limits the queue of packets that cannot be forwarded yet.
	maxQueuedPackets = 1024
	// maxConfigurationWatchers limits the balancers that watch the store for new
	// configurations. Several watch so that one still receives them if others fail.
	maxConfigurationWatchers = 3
	// watchTakeoverInterval is the delay after which the next maxConfigurationWatchers
	// balancers watch if too few do, maxWatchTakeoverDelay that after which all do: a
	// fraction of the few seconds within which a version must be in force.
	watchTakeoverInterval = 250 * time.Millisecond
	maxWatchTakeoverDelay = time.Second
	// maxSearchedServices limits the services at which a flow's owner is searched although
	// the route does not name them: such a search asks all agents.
	maxSearchedServices = 16
	// versionValidity is how long a version counts as the newest after the store has
	// confirmed it: longer than one watch, its answer and a report take, and short enough
	// that a balancer can still ask the store itself within the few seconds in which a
	// version must be in force.
	versionValidity = 2 * time.Second
	// expiryInterval is the interval between removals of expired hints and members.
	expiryInterval = 2 * time.Second
	// localFetchTimeout is how long the balancer waits for its own data centre to
	// offer a newer version before it fetches from another one: several times as long
	// as two reports and two fetches take, but only a fraction of the few seconds
	// within which a version must be in force.
	localFetchTimeout = time.Second
	// agentReportTimeout is the time without a report from any agent after which the
	// balancer is not ready.
	agentReportTimeout = time.Second
)

// Config holds a balancer's settings.
type Config struct {
	Self        flow.IP
	DataCentre  string
	Incarnation uint64
	Codec       flow.Codec
	// FlowLifetime is how long a flow may stay open.
	FlowLifetime time.Duration
	// Evacuations is set if the deployment has evacuations: new flows wait until the set of
	// evacuated data centres is known, and their first packets carry it.
	Evacuations bool
}

// Counts holds event counters since the start of the process.
type Counts struct {
	Packets, ToOwner, ToHome, Resets, Dropped, Waited, Unreadable, Hints int64
	// Reports, Announcements and ReportRequests count the messages about members.
	Reports, Announcements, ReportRequests int64
	// EvacuationChanges counts the changes of the set of evacuated data centres.
	EvacuationChanges int64
}

type hint struct {
	owner flow.IP
	// service is the service of the owner, which held the flow when it sent the hint.
	service  string
	lastUsed instant.Instant
}

// Core makes the forwarding decisions of one balancer.
type Core struct {
	Config
	action.Output
	Members *membership.Table
	Routes  routes.Table
	Counts  Counts

	hints      map[flow.ID]*hint
	queue      []queuedPacket
	sequence   uint64
	stopping   bool
	nextReport instant.Instant
	nextExpiry instant.Instant
	// announcementsLeft, nextAnnouncement and nextReportRequest schedule the messages to
	// members that get no regular reports.
	announcementsLeft                   int
	nextAnnouncement, nextReportRequest instant.Instant
	// audience holds the balancers that get regular reports.
	audience       map[flow.IP]bool
	handledChanges uint64
	// newerVersionSince is when a newer version was first reported, 0 if none was.
	newerVersionSince instant.Instant
	// versionValidUntil is when this process's version stops counting as the newest unless
	// the store confirms it again; validUntil holds the same for other balancers.
	versionValidUntil instant.Instant
	validUntil        map[flow.IP]instant.Instant
	// unwatchedSince is when too few balancers were first seen to watch the store, 0 if
	// enough do.
	unwatchedSince instant.Instant
	history        storedHistory
	evacuations    evacuation.Table
	// failedComponents holds the components of the process that cannot reach the store.
	failedComponents map[string]bool
}

// New returns a core without members, routes or hints.
func New(cfg Config) *Core {
	return &Core{
		Config: cfg, Members: membership.New(cfg.Self, cfg.DataCentre, ""), hints: make(map[flow.ID]*hint),
		validUntil: make(map[flow.IP]instant.Instant), failedComponents: make(map[string]bool),
	}
}

// Sizes returns the number of hints and of queued packets.
func (c *Core) Sizes() (hints, queued int) { return len(c.hints), len(c.queue) }

// Ready reports whether the balancer can route packets, with the reason if it cannot.
func (c *Core) Ready(now instant.Instant) (ok bool, reason string) {
	switch {
	case c.stopping:
		return false, "Stopping"
	case c.Routes.Version() == 0:
		return false, "NoConfiguration"
	case c.lacksEvacuations():
		return false, "NoEvacuations"
	case !c.Members.IsLoaded() && c.Members.Len() == 0:
		return false, "NoMembers"
	}
	agents := 0
	for _, service := range c.Routes.Services() {
		for _, m := range c.Members.Agents(service) {
			agents++
			if now.Sub(m.LastReport) < agentReportTimeout {
				return true, ""
			}
		}
	}
	if agents == 0 {
		return true, ""
	}
	return false, "NoAgentReports"
}

// HandlePacket forwards, queues, resets or drops a packet of a caller.
func (c *Core) HandlePacket(now instant.Instant, b []byte) {
	c.Counts.Packets++
	p, ok := c.Codec.DecodeFromCaller(b)
	if !ok {
		c.Counts.Unreadable++
		return
	}
	c.forward(now, p, 0)
}

// forward forwards, queues, resets or drops a packet. waited is how long the packet has
// been queued in this balancer.
func (c *Core) forward(now instant.Instant, p flow.Packet, waited time.Duration) {
	route, known := c.Routes.Lookup(p.Flow.Address)
	switch {
	case !known:
		c.enqueue(now, p)
	case route == nil:
		c.rejectUnrouted(p)
	case p.OpensFlow() && c.lacksEvacuations():
		c.enqueue(now, p)
	default:
		c.forwardToAgent(now, p, waited, route)
	}
}

// rejectUnrouted resets a new flow to an address without a route and drops other
// packets.
func (c *Core) rejectUnrouted(p flow.Packet) {
	if !p.OpensFlow() {
		c.Counts.Dropped++
		return
	}
	c.Counts.Resets++
	c.LogNotable("FlowReset", "Flow", p.Flow, "Reason", "NoRoute", "Version", c.Routes.Version())
	c.Emit(action.Action{Kind: action.Reply, Flow: p.Flow, Bytes: c.Codec.NewReset(p.Flow, 0)})
}

// forwardToAgent sends a packet to the flow's owner, or to its home if no owner is
// known.
func (c *Core) forwardToAgent(now instant.Instant, p flow.Packet, waited time.Duration, r *routes.Route) {
	hash := p.Flow.Hash()
	service := r.ServiceFor(hash)
	m := &message.Carried{
		Packet: p.Bytes, Service: service, Balancer: uint32(c.Self), DataCentre: c.DataCentre,
		WaitedMillis: uint32(waited / time.Millisecond), Priority: r.Priority, AimMillis: uint32(r.TargetLatency / time.Millisecond), TimeoutMillis: uint32(r.Timeout / time.Millisecond),
	}
	if h := c.hints[p.Flow]; h != nil && !p.OpensFlow() {
		if owner := c.Members.Member(h.owner); owner != nil && owner.Service == h.service {
			h.lastUsed = now
			m.Service, m.Step = owner.Service, message.Step_StepOwner
			m.KnownOnly = !r.HasService(owner.Service)
			m.SeveralKinds = c.Routes.HasSeveralKinds(owner.Service)
			c.setOtherServices(now, m, r)
			c.Counts.ToOwner++
			c.sendPacket(h.owner, m)
			return
		}
		delete(c.hints, p.Flow)
	}
	if p.OpensFlow() {
		m.Evacuations = c.evacuations.Message()
		m.WarmUpRate = float64(c.Routes.WarmUpRate(service))
	} else {
		c.setOtherServices(now, m, r)
	}
	home, ok := c.Members.Home(now, service, c.DataCentre, hash)
	if !ok {
		c.handleNoAgent(now, p, service)
		return
	}
	if c.Members.Depend(now, home) {
		c.Counts.ReportRequests++
		c.sendReport(now, home, true)
	}
	m.Step, m.SeveralKinds = message.Step_StepHome, c.Routes.HasSeveralKinds(service)
	c.Counts.ToHome++
	c.LogRoutine("PacketToHome", "Flow", p.Flow, "Home", home, "Service", service, "Opens", p.OpensFlow(), "Version", c.Routes.Version())
	c.sendPacket(home, m)
}

// setOtherServices lists the other services that may hold the flow of a packet: those
// that the route names or has named, and all unnamed ones, since this process may have
// missed the version that named one of them. With more than maxSearchedServices services
// the unnamed ones are left out.
func (c *Core) setOtherServices(now instant.Instant, m *message.Carried, r *routes.Route) {
	m.Others = r.OtherServices(m.Service)
	all := c.Members.Services()
	listsAll := len(all) <= maxSearchedServices
	m.OthersIncomplete = !c.knowsServices(now, r, listsAll)
	if !listsAll {
		return
	}
	for _, s := range all {
		if s != m.Service && !slices.Contains(m.Others, s) {
			m.Unnamed = append(m.Unnamed, s)
		}
	}
}

// knowsServices reports whether all services that may hold flows of a route are known: the
// table or the store has the history of the route, or listsAll is set and all services that
// have agents are known.
func (c *Core) knowsServices(now instant.Instant, r *routes.Route, listsAll bool) bool {
	switch {
	case c.Routes.HasHistory(now, c.FlowLifetime):
		return true
	case !c.Members.IsLoaded():
		return false
	}
	return c.history.services[r.Address] != nil || listsAll && c.Members.KnowsAllServices(now)
}

// handleNoAgent handles a packet to a service without known agents. It resets a new
// flow only if the membership table is settled and the flow cannot be open already;
// otherwise it queues the packet.
func (c *Core) handleNoAgent(now instant.Instant, p flow.Packet, service string) {
	if !c.Members.IsSettled(now) || !p.OpensFlow() || flow.MayBeOpen(p.AckSeq, 0) {
		c.enqueue(now, p)
		return
	}
	c.Counts.Resets++
	c.LogNotable("FlowReset", "Flow", p.Flow, "Reason", "NoAgent", "Service", service, "Version", c.Routes.Version())
	c.Emit(action.Action{Kind: action.Reply, Flow: p.Flow, Bytes: c.Codec.NewReset(p.Flow, 0)})
}

func (c *Core) sendPacket(to flow.IP, m *message.Carried) {
	c.Emit(action.Action{Kind: action.Send, To: to, Message: &message.Envelope{Body: &message.Envelope_Carried{Carried: m}}})
}

// HandleMessage handles a hint or a report from another process.
func (c *Core) HandleMessage(now instant.Instant, from flow.IP, e *message.Envelope) {
	switch b := e.Body.(type) {
	case *message.Envelope_Hint:
		c.handleHint(now, b.Hint)
	case *message.Envelope_Report:
		c.handleReport(now, from, b.Report)
	}
}

func (c *Core) handleHint(now instant.Instant, m *message.Hint) {
	c.Counts.Hints++
	id := m.GetFlow().ID()
	owner := c.Members.Member(flow.IP(m.Owner))
	if owner == nil {
		delete(c.hints, id)
		return
	}
	if c.Routes.RecordService(now, id.Address, owner.Service) {
		c.checkHistory(now)
	}
	if c.hints[id] != nil || len(c.hints) < maxHints {
		c.hints[id] = &hint{owner.ID(), owner.Service, now}
	}
}

// handleMemberChanges retries queued packets if the members have changed.
func (c *Core) handleMemberChanges(now instant.Instant) {
	if c.handledChanges == c.Members.ChangeCount {
		return
	}
	c.handledChanges = c.Members.ChangeCount
	c.forwardQueued(now)
}

// RestoreOwnRecord applies the record that an earlier process of this instance stored:
// this process reports with a higher incarnation. current is false if the store may have
// been restored from a copy since.
func (c *Core) RestoreOwnRecord(now instant.Instant, r *message.Record, current bool) {
	c.Incarnation = max(c.Incarnation, r.Incarnation+1)
	if current {
		c.Members.MarkSettled(now)
	}
}

// ApplyStored applies all member records of the store.
func (c *Core) ApplyStored(now instant.Instant, recs []*message.Record) {
	firstRead := !c.Members.IsLoaded()
	c.Members.ApplyStored(now, recs)
	if firstRead {
		c.announce(now)
		c.LogStateChange("MembersLoaded", "Members", c.Members.Len())
		// The first read counts as a change even if it returned no member.
		c.handledChanges--
	}
	c.handleMemberChanges(now)
}

// Stop makes the balancer not ready and reports that the process is stopping.
func (c *Core) Stop(now instant.Instant) {
	c.stopping = true
	c.announce(now)
}

// Tick retries queued packets, removes expired entries and sends reports that are due.
func (c *Core) Tick(now instant.Instant) {
	c.forwardQueued(now)
	if now >= c.nextExpiry {
		c.nextExpiry = now.Add(expiryInterval)
		c.expire(now)
	}
	if now >= c.nextReportRequest {
		c.nextReportRequest = now.Add(reportRequestInterval)
		c.requestReports(now)
	}
	c.sendReports(now)
}

func (c *Core) expire(now instant.Instant) {
	for id, h := range c.hints {
		if now.Sub(h.lastUsed) > hintIdleTimeout {
			delete(c.hints, id)
		}
	}
	for _, m := range c.Members.Expire(now) {
		delete(c.validUntil, m.ID())
		c.LogStateChange("MemberForgotten", "Member", m.ID(), "Service", m.Service)
	}
	c.handleMemberChanges(now)
}
