// Package serving decides what an agent does with relayed flows.
//
// An agent has two parts to play. As the owner of a flow it delivers the caller's
// packets to its upstream and the upstream's to the caller. As the home of a flow
// it chooses the upstream of a new flow and finds the owner of one that is open,
// see package directory.
//
// A reset goes to a caller only on proof: the upstream bounced a packet of a flow
// that had opened there, a later incarnation has taken the upstream's place, or all
// agents of the service have denied the flow. Without proof the agent is silent,
// and the caller's next packet tries again.
//
// # Usage
//
//	c := serving.New(cfg)
//	c.Message(now, from, envelope)
//	c.Upstream(now, bytes)
//	c.Heartbeat(now, heartbeat)
//	c.Tick(now)
//	for _, a := range c.Take() {
//		do(a)
//	}
//
// The package does no input or output. A Core must not be shared without a lock.
package serving

import (
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/action"
	"github.com/jaytack/jaytack/internal/relay/admission"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/flowtable"
	"github.com/jaytack/jaytack/internal/relay/load"
	"github.com/jaytack/jaytack/internal/relay/lookup"
	"github.com/jaytack/jaytack/internal/relay/membership"
	"github.com/jaytack/jaytack/internal/relay/message"
)

// Times and bounds of the protocol.
const (
	// TickInterval is how often Tick is called.
	TickInterval = 50 * time.Millisecond
	// reportGroupEvery is how often peers hear about load: a few requests' time. Those
	// in other data centres, where bytes cost more and flows go only when near
	// upstreams are full, hear every farReports-th report.
	reportGroupEvery = 50 * time.Millisecond
	farReports       = 3
	// reportBalancersEvery is how often balancers hear that the agent lives, twice
	// within the silence after which they suspect it.
	reportBalancersEvery = 200 * time.Millisecond
	// expireEvery is how often tables are swept.
	expireEvery = time.Second
	// silentAfterOpening and silentAfterData are the time without any packet of the
	// upstream after which it is taken for silent, while it owes an answer to a first
	// packet or to data.
	silentAfterOpening = 150 * time.Millisecond
	silentAfterData    = 400 * time.Millisecond
	// askAgainAfter is how long a search waits before agents are asked again that
	// have not answered: longer than the way there and back between data centres.
	askAgainAfter = 100 * time.Millisecond
	// maxRepeats bounds how often agents are asked again for one packet of the caller,
	// which sends the next one after 1.6 s at the latest.
	maxRepeats = 5
	// bouncesAfter is the silence after which a bounced first packet means that the
	// upstream is down; one that answers is full for a moment.
	bouncesAfter = 50 * time.Millisecond
	// usualSlots is taken for the slots of an upstream that has not said how many.
	usualSlots = 4
	// endAfterLeave is the time between an upstream's leave and its end.
	endAfterLeave = 300 * time.Millisecond
	// maxListed bounds the members that a denial lists, so that it fits a datagram.
	maxListed = 200
	// maxMissed bounds the packets that are kept.
	maxMissed = 512
	// maxPlacements bounds how often a new flow is passed on to another agent.
	maxPlacements = 4
	// passOnGain is how much less a flow must wait elsewhere to be passed on, in rounds
	// of requests: more than the hops and the age of what is known of others cost.
	passOnGain = 1
	// claimsPerTick bounds the claims after a change of homes.
	claimsPerTick = 200
	// absentAfter is the time, in intervals of heartbeats, for which an agent that has
	// just started waits for a sign of its upstream before it takes it for absent.
	absentAfter = 3
	// maxWatched bounds the time between two ticks that counts as time in which the
	// process listened: one that was frozen has heartbeats still to read.
	maxWatched = 2 * TickInterval
)

// Config is what an agent knows from its settings.
type Config struct {
	Self        flow.IP
	Service     string
	DataCentre  string
	Incarnation uint64
	Codec       flow.Codec
	// Started is when the process started.
	Started instant.Instant
	// HeartbeatEvery is the interval of the upstream's heartbeats, 0 if unknown.
	HeartbeatEvery time.Duration
}

// Heartbeat is what an upstream says about itself.
type Heartbeat struct {
	Upstream string
	Service  string
	// Born is the start of the upstream in Unix milliseconds, Sequence counts its
	// heartbeats.
	Born     int64
	Sequence int64
	Draining bool
	Slots    int
	// ColdFor is how much longer the upstream is slow after its start.
	ColdFor time.Duration
}

// Counts counts decisions since the start.
type Counts struct {
	Delivered, Replied, Bounced, Placed, Redirected, Waited, Refused, Searches, Claims, Denials, Resets, Unreadable, Misdirected, Overflowed int64
}

// missed is a packet that was delivered to an upstream that has not been heard since.
type missed struct {
	at     instant.Instant
	packet []byte
}

// upstream is what the agent knows about its upstream.
type upstream struct {
	Heartbeat
	known bool
	// heard is when it last sent anything, beat when it last sent a heartbeat.
	heard, beat instant.Instant
	// openingSince and dataSince are when it was first owed an answer since then.
	openingSince, dataSince instant.Instant
	owesOpening, owesData   bool
	coldUntil               instant.Instant
	gone                    bool
	// absent is set while no sign of an upstream has come since the process started,
	// and either the earlier process saw it leave or heartbeats are overdue: there is
	// none that holds flows. watched is for how long the process has listened.
	absent  bool
	watched time.Duration
	// refuses is set while first packets bounce: the upstream is down, or full.
	refuses bool
	// endAt is when the flows of an upstream that has left are ended, 0 for never.
	endAt instant.Instant
}

// Core is the decisions of one agent.
type Core struct {
	Config
	action.Output
	Roster *membership.Table
	Counts Counts
	// Sample draws the candidates that a new flow is compared at.
	Sample func(hash uint64, candidates []load.Candidate) []load.Candidate
	// OnWait is called with the time that a flow waited in front of the upstream.
	OnWait func(time.Duration)

	directory *lookup.Directory
	table     *flowtable.Table
	room      *admission.Queue
	board     *load.Tracker
	up        upstream
	sequence  uint64
	state     message.State
	stopping  bool
	missed    []missed

	groupAt, balancersAt, expireAt, tickedAt instant.Instant
	// reports counts those to the group; an urgent one goes to all.
	reports  int
	urgent   bool
	changes  uint64
	rehoming bool
}

// New returns the core of an agent that has heard of nobody.
func New(cfg Config) *Core {
	c := &Core{
		Config: cfg, Sample: load.Sample, OnWait: func(time.Duration) {}, Roster: membership.New(cfg.Self, cfg.DataCentre),
		directory: lookup.New(), table: flowtable.New(), board: load.New(), room: admission.New(),
	}
	c.announce(0)
	return c
}

// Sizes returns the number of flows, of requests in progress, of known owners and
// of searches.
func (c *Core) Sizes() (flows, busy, owners, searches int) {
	busy, _ = c.table.Load()
	owners, searches = c.directory.Sizes()
	return c.table.Len(), busy, owners, searches
}

// carry sends a packet to an agent, which may be this one.
func (c *Core) carry(now instant.Instant, to flow.IP, m *message.Carried, step message.Step) {
	m.Step = step
	if to == c.Self {
		c.take(now, c.Self, m)
		return
	}
	c.Send(to, &message.Envelope{Body: &message.Envelope_Carried{Carried: m}})
}

// HandleMessage handles a message of another process.
func (c *Core) HandleMessage(now instant.Instant, from flow.IP, e *message.Envelope) {
	switch b := e.Body.(type) {
	case *message.Envelope_Carried:
		c.take(now, from, b.Carried)
	case *message.Envelope_Claim:
		c.claimed(now, from, b.Claim.GetFlow().ID())
	case *message.Envelope_Denial:
		c.denied(now, from, b.Denial.GetFlow().ID(), b.Denial.GetMembers())
	case *message.Envelope_Report:
		c.reported(now, from, b.Report.GetRecord())
	case *message.Envelope_Records:
		for _, r := range b.Records.GetRecords() {
			if flow.IP(r.Instance) != c.Self {
				c.Roster.ApplyRelayed(now, r)
			}
		}
	}
}

// take does what a step asks for.
func (c *Core) take(now instant.Instant, from flow.IP, m *message.Carried) {
	p, ok := c.Codec.DecodeFromCaller(m.Packet)
	if !ok {
		c.Counts.Unreadable++
		return
	}
	if m.Service != c.Service {
		// The instance's address belonged to an agent of another service before.
		c.Counts.Misdirected++
		c.LogNotable("PacketMisdirected", "Flow", p.Flow, "From", from, "Service", m.Service)
		c.hint(p.Flow, flow.IP(m.Balancer), 0)
		return
	}
	switch m.Step {
	case message.Step_StepHome:
		c.asHome(now, p, m)
	case message.Step_StepPlace:
		c.offer(now, p, m)
	case message.Step_StepOwner:
		c.asOwner(now, p, m)
	case message.Step_StepProbe:
		c.probed(now, from, p, m)
	case message.Step_StepReturn:
		c.returned(now, from, p, m)
	}
}

func (c *Core) hint(id flow.ID, balancer, owner flow.IP) {
	if balancer == 0 {
		return
	}
	c.Send(balancer, &message.Envelope{Body: &message.Envelope_Hint{Hint: &message.Hint{
		Flow: message.FlowOf(id), Owner: uint32(owner),
	}}})
}

// reset tells a caller that a flow has ended.
func (c *Core) reset(id flow.ID, seq uint32, reason string, pairs ...any) {
	c.Counts.Resets++
	c.LogNotable("FlowReset", append([]any{"Flow", id, "Reason", reason}, pairs...)...)
	c.Emit(action.Action{Kind: action.Reply, Flow: id, Bytes: c.Codec.NewReset(id, seq)})
}

// SetOnAnswer has f called with the time of each request that was answered.
func (c *Core) SetOnAnswer(f func(time.Duration)) { c.table.Answered = f }

// State returns what the agent announces about its upstream.
func (c *Core) State() message.State { return c.state }
