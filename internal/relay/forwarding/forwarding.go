// Package forwarding decides where a balancer sends a caller's packets.
//
// A balancer keeps no state that a flow depends on. It sends a packet to the
// flow's owner where it has been told of one, and else to the flow's home, an
// agent of the service that knows the owner or finds it. A first packet without a
// route is reset once a configuration is in force; until then, and until agents
// are known, packets wait for a moment.
//
// # Usage
//
//	c := forwarding.New(cfg)
//	c.Packet(now, bytes)
//	c.Message(now, from, envelope)
//	c.Configure(now, configuration)
//	for _, a := range c.Take() {
//		do(a)
//	}
//
// The package does no input or output. A Core must not be shared without a lock.
package forwarding

import (
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/action"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/membership"
	"github.com/jaytack/jaytack/internal/relay/message"
	"github.com/jaytack/jaytack/internal/relay/routes"
)

// Times and bounds.
const (
	// TickInterval is how often Tick is called.
	TickInterval = 100 * time.Millisecond
	// reportEvery is how often the balancer reports to agents and other balancers.
	reportEvery = 400 * time.Millisecond
	// keepHint is how long an owner is remembered without use.
	keepHint = 30 * time.Second
	// maxHints bounds the owners that are remembered.
	maxHints = 1 << 18
	// maxWaiting bounds the packets that wait.
	maxWaiting = 1024
	// watchers is how many balancers watch for new configurations, so that one hears
	// of them while others fail.
	watchers = 3
	// expireEvery is how often hints are swept.
	expireEvery = 2 * time.Second
	// waitNear is how long a newer version that is known to be elsewhere is awaited from
	// the data centre's own balancers: some times as long as two reports and two fetches
	// take, a fraction of the seconds within which it is to be in force.
	waitNear = time.Second
	// isolatedAfter is the silence of all agents after which the balancer says that
	// it cannot route.
	isolatedAfter = time.Second
)

// Config is what a balancer knows from its settings.
type Config struct {
	Self        flow.IP
	DataCentre  string
	Incarnation uint64
	Codec       flow.Codec
}

// Counts counts decisions since the start.
type Counts struct {
	Packets, ToOwner, ToHome, Resets, Dropped, Waited, Unreadable, Hints int64
}

type hint struct {
	owner flow.IP
	used  instant.Instant
}

// Core is the decisions of one balancer.
type Core struct {
	Config
	action.Output
	Roster *membership.Table
	Routes routes.Table
	Counts Counts

	hints    map[flow.ID]*hint
	waiting  []waiting
	sequence uint64
	stopping bool
	reportAt instant.Instant
	expireAt instant.Instant
	changes  uint64
	// newerSince is when a newer version was first heard of, 0 while there is none.
	newerSince instant.Instant
	// lost names those parts of the process that cannot reach the store.
	lost map[string]bool
}

// New returns the core of a balancer that has heard of nobody.
func New(cfg Config) *Core {
	return &Core{Config: cfg, Roster: membership.New(cfg.Self, cfg.DataCentre), hints: make(map[flow.ID]*hint), lost: make(map[string]bool)}
}

// Sizes returns the number of hints and of waiting packets.
func (c *Core) Sizes() (hints, waits int) { return len(c.hints), len(c.waiting) }

// Ready reports whether the balancer can route, and why not.
func (c *Core) Ready(now instant.Instant) (ok bool, reason string) {
	switch {
	case c.stopping:
		return false, "Stopping"
	case c.Routes.Version() == 0:
		return false, "NoConfiguration"
	case !c.Roster.Loaded() && c.Roster.Size() == 0:
		return false, "NoMembers"
	}
	agents := 0
	for _, r := range c.Routes.Services() {
		for _, m := range c.Roster.Agents(r) {
			agents++
			if now.Sub(m.LastReport) < isolatedAfter {
				return true, ""
			}
		}
	}
	if agents == 0 {
		return true, ""
	}
	return false, "NoAgentReports"
}

// HandlePacket handles a packet of a caller.
func (c *Core) HandlePacket(now instant.Instant, b []byte) {
	c.Counts.Packets++
	p, ok := c.Codec.DecodeFromCaller(b)
	if !ok {
		c.Counts.Unreadable++
		return
	}
	c.forward(now, p, 0)
}

// forward sends a packet on that has waited here for a time.
func (c *Core) forward(now instant.Instant, p flow.Packet, waited time.Duration) {
	route, known := c.Routes.Lookup(p.Flow.Address)
	switch {
	case !known:
		c.wait(now, p)
	case route == nil:
		c.unrouted(p)
	default:
		c.route(now, p, waited, route)
	}
}

// unrouted turns away a packet to an address without a route.
func (c *Core) unrouted(p flow.Packet) {
	if !p.OpensFlow() {
		c.Counts.Dropped++
		return
	}
	c.Counts.Resets++
	c.LogNotable("FlowReset", "Flow", p.Flow, "Reason", "NoRoute", "Version", c.Routes.Version())
	c.Emit(action.Action{Kind: action.Reply, Flow: p.Flow, Bytes: c.Codec.NewReset(p.Flow, 0)})
}

// route sends a packet to the flow's owner or to its home.
func (c *Core) route(now instant.Instant, p flow.Packet, waited time.Duration, r *routes.Route) {
	hash := p.Flow.Hash()
	service := r.ServiceOf(hash)
	m := &message.Carried{
		Packet: p.Bytes, Service: service, Balancer: uint32(c.Self), DataCentre: c.DataCentre,
		WaitedMillis: uint32(waited / time.Millisecond), Priority: r.Priority, AimMillis: uint32(r.TargetLatency / time.Millisecond), TimeoutMillis: uint32(r.Timeout / time.Millisecond),
	}
	if !p.OpensFlow() {
		m.Others = r.Others(service)
	}
	if h := c.hints[p.Flow]; h != nil && !p.OpensFlow() {
		if owner := c.Roster.Member(h.owner); owner != nil && r.Serves(owner.Service) {
			h.used = now
			m.Service, m.Step, m.Others = owner.Service, message.Step_StepOwner, r.Others(owner.Service)
			c.Counts.ToOwner++
			c.send(h.owner, m)
			return
		}
		delete(c.hints, p.Flow)
	}
	home, ok := c.Roster.Home(now, service, c.DataCentre, hash)
	if !ok {
		c.noAgent(now, p, service)
		return
	}
	m.Step = message.Step_StepHome
	c.Counts.ToHome++
	c.LogRoutine("PacketToHome", "Flow", p.Flow, "Home", home, "Service", service, "Opens", p.OpensFlow(), "Version", c.Routes.Version())
	c.send(home, m)
}

// noAgent handles a packet to a service without agents.
func (c *Core) noAgent(now instant.Instant, p flow.Packet, service string) {
	if !c.Roster.IsSettled(now) || !p.OpensFlow() || flow.MayBeOpen(p.AckSeq, 0) {
		c.wait(now, p)
		return
	}
	c.Counts.Resets++
	c.LogNotable("FlowReset", "Flow", p.Flow, "Reason", "NoAgent", "Service", service, "Version", c.Routes.Version())
	c.Emit(action.Action{Kind: action.Reply, Flow: p.Flow, Bytes: c.Codec.NewReset(p.Flow, 0)})
}

func (c *Core) send(to flow.IP, m *message.Carried) {
	c.Emit(action.Action{Kind: action.Send, To: to, Message: &message.Envelope{Body: &message.Envelope_Carried{Carried: m}}})
}

// HandleMessage handles a message of another process.
func (c *Core) HandleMessage(now instant.Instant, from flow.IP, e *message.Envelope) {
	switch b := e.Body.(type) {
	case *message.Envelope_Hint:
		c.hinted(now, b.Hint)
	case *message.Envelope_Report:
		c.reported(now, from, b.Report.GetRecord())
	}
}

func (c *Core) hinted(now instant.Instant, m *message.Hint) {
	c.Counts.Hints++
	id := m.GetFlow().ID()
	h := c.hints[id]
	switch {
	case m.Owner == 0:
		delete(c.hints, id)
	case h != nil:
		h.owner, h.used = flow.IP(m.Owner), now
	case len(c.hints) < maxHints:
		c.hints[id] = &hint{flow.IP(m.Owner), now}
	}
}

func (c *Core) reported(now instant.Instant, from flow.IP, r *message.Record) {
	if r == nil || flow.IP(r.Instance) != from || from == c.Self {
		return
	}
	if !c.Roster.ApplyReport(now, r) {
		return
	}
	if r.Service == "" && routes.Version(r.Version) > c.Routes.Version() {
		c.heardOfNewer(now, from, r.DataCentre)
	}
	c.rosterChanged(now)
}

// rosterChanged tells new members of the balancer and forwards what waited.
func (c *Core) rosterChanged(now instant.Instant) {
	if c.changes == c.Roster.ChangeCount {
		return
	}
	c.changes = c.Roster.ChangeCount
	c.reportAt = min(c.reportAt, now)
	c.retry(now)
}

// RestoreOwnRecord takes in the entry that an earlier process of the instance left.
func (c *Core) RestoreOwnRecord(now instant.Instant, r *message.Record) {
	c.Incarnation = max(c.Incarnation, r.Incarnation+1)
	c.Roster.MarkSettled(now)
}

// ApplyStored takes in all entries of the store.
func (c *Core) ApplyStored(now instant.Instant, recs []*message.Record) {
	first := !c.Roster.Loaded()
	c.Roster.ApplyStored(now, recs)
	if first {
		c.LogStateChange("MembersLoaded", "Members", c.Roster.Size())
		c.changes--
	}
	c.rosterChanged(now)
}

// Stop announces that the process ends.
func (c *Core) Stop(now instant.Instant) {
	c.stopping = true
	c.reportAt = now
}

// Record returns what the balancer announces.
func (c *Core) Record() *message.Record {
	s := message.State_StateReady
	switch {
	case c.stopping:
		s = message.State_StateRestarting
	case len(c.lost) > 0:
		s = message.State_StateSilent
	}
	return &message.Record{
		Instance: uint32(c.Self), DataCentre: c.DataCentre, Incarnation: c.Incarnation, Sequence: c.sequence, State: s,
		Version: int64(c.Routes.Version()),
	}
}

// Tick does what is due.
func (c *Core) Tick(now instant.Instant) {
	c.retry(now)
	if now >= c.expireAt {
		c.expireAt = now.Add(expireEvery)
		c.expire(now)
	}
	if now < c.reportAt {
		return
	}
	c.reportAt = now.Add(reportEvery)
	c.sequence++
	e := &message.Envelope{Body: &message.Envelope_Report{Report: &message.Report{Record: c.Record()}}}
	c.Roster.All(func(m *membership.Member) {
		if m.ID() != c.Self {
			c.Emit(action.Action{Kind: action.Send, To: m.ID(), Message: e})
		}
	})
}

func (c *Core) expire(now instant.Instant) {
	for id, h := range c.hints {
		if now.Sub(h.used) > keepHint {
			delete(c.hints, id)
		}
	}
	for _, m := range c.Roster.Expire(now) {
		c.LogStateChange("MemberForgotten", "Member", m.ID(), "Service", m.Service)
	}
	c.rosterChanged(now)
}
