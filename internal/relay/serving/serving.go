// Package serving implements an agent's protocol logic for relayed flows.
//
// An agent has two roles. As the owner of a flow it forwards packets between the
// caller and its upstream. As the home of a flow it selects the upstream for a new
// flow and looks up the owner of an open one; see package lookup.
//
// The agent resets a flow only if the flow is known to be lost: the upstream bounced
// a packet of a flow that was open there, the upstream left and refuses connections, or all
// agents of the services that may hold the flow denied it. When a new upstream replaces
// another, the last packets of open flows are redelivered, and the flows whose packets bounce
// are reset. New flows that no upstream can accept are reset as well, unless they may
// be open elsewhere. In all other cases the agent sends nothing, and the caller's next
// packet repeats the lookup.
//
// # Usage
//
//	c := serving.New(cfg)
//	c.HandleMessage(now, from, envelope)
//	c.HandleUpstreamPacket(now, bytes)
//	c.HandleHeartbeat(now, heartbeat)
//	c.Tick(now)
//	actions, logEntries := c.TakeOutput()
//
// The package performs no I/O. A Core is not safe for concurrent use.
package serving

import (
	"net/netip"
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/action"
	"github.com/jaytack/jaytack/internal/relay/admission"
	"github.com/jaytack/jaytack/internal/relay/ejection"
	"github.com/jaytack/jaytack/internal/relay/evacuation"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/flowtable"
	"github.com/jaytack/jaytack/internal/relay/load"
	"github.com/jaytack/jaytack/internal/relay/locality"
	"github.com/jaytack/jaytack/internal/relay/lookup"
	"github.com/jaytack/jaytack/internal/relay/membership"
	"github.com/jaytack/jaytack/internal/relay/message"
	"github.com/jaytack/jaytack/internal/relay/scheduling"
	"github.com/jaytack/jaytack/internal/relay/warmup"
)

// Protocol intervals and limits.
const (
	// TickInterval is the interval between calls of Tick.
	TickInterval = 50 * time.Millisecond
	// agentReportInterval is the interval between load reports to agents of the same
	// service while the load changes: the duration of a few requests. Agents in other data
	// centres get every remoteReportEvery-th report, since that traffic costs more and
	// flows go there only if the local upstreams are full.
	agentReportInterval = 50 * time.Millisecond
	remoteReportEvery   = 3
	// localKeepAlive and remoteKeepAlive are the intervals between reports to agents while
	// the load stays the same: two fit into the silence after which an agent is suspect.
	localKeepAlive  = 4 * agentReportInterval
	remoteKeepAlive = 2 * remoteReportEvery * agentReportInterval
	// minIdleChange is the change in the number of idle flows that counts as a change of
	// the load: less than one request.
	minIdleChange = 10
	// balancerReportInterval is the interval between reports to balancers: two fit into
	// the silence after which a balancer suspects the agent. It grows with their number
	// above maxBalancerReportRate reports a second.
	balancerReportInterval = 200 * time.Millisecond
	maxBalancerReportRate  = 80
	// announcementCount is how often a change of state is announced to all that may have
	// to know of it, announcementInterval the time between two announcements.
	announcementCount    = 2
	announcementInterval = 500 * time.Millisecond
	// expiryInterval is the interval between removals of expired table entries.
	expiryInterval = time.Second
	// reportRequestInterval is the interval between requests to members that may be gone.
	reportRequestInterval = 500 * time.Millisecond
	// openingResponseTimeout and dataResponseTimeout bound how long the upstream may
	// send nothing while a response to a first packet or to data is pending; after
	// that its state is StateSilent.
	openingResponseTimeout = 150 * time.Millisecond
	dataResponseTimeout    = 400 * time.Millisecond
	// probeRetryInterval is the delay before agents that have not answered a probe are
	// probed again: longer than the round trip between data centres.
	probeRetryInterval = 100 * time.Millisecond
	// askTimeout is how long a search waits for an agent that may know the flow and does not
	// answer before it delivers packets to upstreams that may not hold the flow: several round
	// trips between data centres.
	askTimeout = 100 * time.Millisecond
	// askElsewhereTimeout is how long it waits for the homes of other services: long enough to
	// ask a second one and for that one to ask its agents, if the first has left.
	askElsewhereTimeout = membership.AnswerTimeout + 3*askTimeout
	// deliveryTimeout is how long a search waits for the answers of the upstreams to which it
	// has last delivered a packet: an upstream that does not hold the flow answers within a
	// round trip.
	deliveryTimeout = 50 * time.Millisecond
	// maxDeliveries is about the number of steps in which all upstreams of a service get a
	// packet.
	maxDeliveries = 8
	// maxProbeRetries limits the probe retries for one packet of the caller, which
	// retransmits within 1.6 s.
	maxProbeRetries = 5
	// bounceDownAfter is the silence after which a bounced first packet means that the
	// upstream is down; an upstream heard more recently is only full.
	bounceDownAfter = 50 * time.Millisecond
	// defaultSlots is used if the upstream has not reported its number of slots.
	defaultSlots = 4
	// leaveGracePeriod is the delay between an upstream's leave and the reset of its flows.
	leaveGracePeriod = 300 * time.Millisecond
	// maxDenialMembers limits the members listed in a denial so that it fits a datagram.
	maxDenialMembers = 200
	// maxDisowned limits the flows that the upstream is known not to hold.
	maxDisowned = 1 << 14
	// maxRedeliveryPackets limits the packets kept for redelivery.
	maxRedeliveryPackets = 512
	// maxPlacements limits how often a new flow is redirected to another agent.
	maxPlacements = 4
	// minRedirectGain is the reduction in expected wait, in request durations, that
	// justifies a redirect: more than the extra hops and outdated load reports cost.
	minRedirectGain = 1
	// maxClaimsPerTick limits the claims sent to new homes per tick.
	maxClaimsPerTick = 200
	// absentHeartbeats is the number of heartbeat intervals without any packet or
	// heartbeat after which a newly started agent considers its upstream absent.
	absentHeartbeats = 3
	// startTolerance is how long before the agent an upstream may have started and still
	// have met no earlier agent: less than the time in which a process is restarted.
	startTolerance = 50 * time.Millisecond
	// maxStartSequence is the highest sequence of the first heartbeat heard of an upstream
	// that has just started.
	maxStartSequence = 2
	// maxTickGap limits how much of the time between two ticks counts as listening
	// time: a process resumed after a pause still has unread heartbeats.
	maxTickGap = 2 * TickInterval
)

// Config configures a Core.
type Config struct {
	Self        flow.IP
	Service     string
	DataCentre  string
	Incarnation uint64
	Codec       flow.Codec
	// Upstream is where the upstream receives packets.
	Upstream netip.AddrPort
	// Started is when the process started, StartedMillis the same in Unix milliseconds.
	Started       instant.Instant
	StartedMillis int64
	// HeartbeatEvery is the interval of the upstream's heartbeats, 0 if unknown.
	HeartbeatEvery time.Duration
	// FlowLifetime is how long a flow may stay open.
	FlowLifetime time.Duration
	// WarmUp is what the upstream tolerates beyond the rate of its service while it is cold.
	WarmUp warmup.Bounds
	// CrossDataCentreCost is set if traffic between data centres has a price, so that new
	// flows leave theirs only while that pays.
	CrossDataCentreCost bool
	// EjectFailing is set if upstreams that fail requests get no new flows.
	EjectFailing bool
}

// Heartbeat is an upstream's report about itself.
type Heartbeat struct {
	Upstream string
	Service  string
	// Address is where the upstream receives packets.
	Address    netip.AddrPort
	DataCentre string
	// Born is the start time of the upstream in Unix milliseconds. Sequence counts its
	// heartbeats.
	Born     int64
	Sequence int64
	Draining bool
	Slots    int
	// ColdFor is the remaining warm-up time, during which the upstream is slow.
	ColdFor time.Duration
}

// Counts holds event counters since the start of the process.
type Counts struct {
	Delivered, Replied, Bounced, Placed, Redirected, Waited, Refused, Searches, Claims, Denials, Resets, Unreadable, Misdirected, Overflowed int64
	// Reports, Announcements and ReportRequests count the messages about members, Probes
	// those of searches, ListedDenials the denials with a list of members.
	Reports, Announcements, ReportRequests, Probes, ListedDenials int64
	// EvacuationChanges counts the changes of the set of evacuated data centres, Evacuated the
	// new flows that were forwarded since this data centre is evacuated, PassedOn those that
	// another agent places for it.
	EvacuationChanges, Evacuated, PassedOn int64
	// WarmUpWaited, WarmUpRedirected and WarmUpRefused count the flows over the warm-up limit
	// by what became of them.
	WarmUpWaited, WarmUpRedirected, WarmUpRefused int64
	// PlacedLocally and PlacedRemotely count the flows placed by where the upstream is.
	PlacedLocally, PlacedRemotely int64
	// RequestsFailed counts the requests that the upstream has reset or not answered in time,
	// Ejections how often it was ejected for that.
	RequestsFailed, Ejections int64
	// Held counts requests on open flows that were held, HeldByPriority those of them that
	// were delivered, by priority with all lower ones in the last element, DeliveredLate those
	// delivered after their target latency, DeliveredToQueue those delivered while no slot was
	// free, HeldDropped those whose caller had given up. RefusedByPriority splits Refused.
	Held, DeliveredLate, DeliveredToQueue, HeldDropped int64
	HeldByPriority, RefusedByPriority                  [4]int64
}

// redeliveryPacket is a packet that is delivered again once the upstream is heard, since
// it may not have been listening at the first delivery.
type redeliveryPacket struct {
	deliveredAt instant.Instant
	carried     *message.Carried
}

// Core is the protocol state machine of one agent.
type Core struct {
	Config
	action.Output
	Members *membership.Table
	Counts  Counts
	// Sample selects the candidates whose load is compared for a new flow.
	Sample func(hash uint64, candidates []load.Candidate) []load.Candidate
	// OnWait is called with the time that a new flow spent in the wait queue.
	OnWait func(time.Duration)
	// OnHeld is called with the time that a request on an open flow was held.
	OnHeld func(time.Duration)

	owners    *lookup.Table
	flows     *flowtable.Table
	waitQueue *admission.Queue
	// warmUp holds the first packets that the upstream received in the last window, warmUpRate
	// the rate of its service in the last first packet seen. warmUpLimited is set while the limit
	// applies.
	warmUp        *warmup.Limiter
	warmUpRate    warmup.Rate
	warmUpLimited bool
	requests      *scheduling.Queue
	// severalKinds is set if the last packet of the service said that it has several kinds of
	// requests.
	severalKinds bool
	loads        *load.Tracker
	evacuations  evacuation.Table
	locality     *locality.Controller
	roundTrips   roundTrips
	ejection     *ejection.Detector
	// ejectionState is the state that was last logged.
	ejectionState   ejection.State
	upstream        upstreamState
	sequence        uint64
	state           message.State
	stopping        bool
	redeliveryQueue []redeliveryPacket
	// disowned holds the flows that the upstream has been found not to hold, and when. It
	// will not hold them later either, unless they are opened there.
	disowned map[flow.ID]instant.Instant
	// silentAgents holds the agents that were probed and have not sent anything since.
	silentAgents map[flow.IP]*silentAgent
	// checkpoint is the checkpoint of the earlier process until the upstream has reported
	// its start, then nil.
	checkpoint *message.Checkpoint

	nextAgentReport, nextBalancerReport, nextExpiry, nextReportRequest, lastTick instant.Instant
	// resumedAt is the end of the last pause of the process, 0 if there was none.
	resumedAt instant.Instant
	// agentReports counts the times at which reports to agents of the same service were due.
	// remoteReportDue makes the next one go to other data centres too.
	agentReports    int
	remoteReportDue bool
	// lastLocal and lastRemote are the last loads that agents were told.
	lastLocal, lastRemote toldLoad
	// audience is as of the Members.ChangeCount audienceAt.
	audience   audience
	audienceAt uint64
	// startedMembers lists the processes that get a report with the next tick.
	startedMembers []flow.IP
	// announcementsLeft and nextAnnouncement tell when the record is announced next.
	announcementsLeft int
	nextAnnouncement  instant.Instant
	// handledChanges is the Members.ChangeCount that handleMemberChanges last handled.
	handledChanges uint64
	// loggedSpeed is the relative speed of the upstream when it was last logged.
	loggedSpeed float64
	// membersWanted is set if the members should be read from the store at once.
	membersWanted bool
	// homesChanged is set if flows may have new homes that have not received a claim.
	homesChanged bool
}

// New returns the core of an agent that knows no other members.
func New(cfg Config) *Core {
	c := &Core{
		Config: cfg, Sample: load.Sample, OnWait: func(time.Duration) {}, OnHeld: func(time.Duration) {}, Members: membership.New(cfg.Self, cfg.DataCentre, cfg.Service),
		owners: lookup.New(), disowned: make(map[flow.ID]instant.Instant), silentAgents: make(map[flow.IP]*silentAgent), flows: flowtable.New(), loads: load.New(), waitQueue: admission.New(), warmUp: warmup.New(cfg.Started),
		locality: locality.New(), roundTrips: make(roundTrips), requests: scheduling.New(), loggedSpeed: 1,
		ejection: ejection.New(),
	}
	c.flows.OnOutcome = c.recordOutcome
	c.flows.OnDrop = c.dropHeld
	c.updateState(0)
	return c
}

// Sizes returns the numbers of flows, of requests in progress, of known owners and
// of owner searches.
func (c *Core) Sizes() (flows, busy, owners, searches int) {
	busy, _ = c.flows.Load()
	owners, searches = c.owners.Sizes()
	return c.flows.Len(), busy, owners, searches
}

// sendPacket sends a packet to an agent; a packet to this agent is handled directly.
func (c *Core) sendPacket(now instant.Instant, to flow.IP, m *message.Carried, step message.Step) {
	m.Step = step
	if to == c.Self {
		c.handlePacket(now, c.Self, m)
		return
	}
	c.Send(to, &message.Envelope{Body: &message.Envelope_Carried{Carried: m}})
}

// HandleMessage handles a message from another process.
func (c *Core) HandleMessage(now instant.Instant, from flow.IP, e *message.Envelope) {
	c.recordHeard(now, from)
	switch b := e.Body.(type) {
	case *message.Envelope_Carried:
		c.countUnreadTime(now, b.Carried)
		c.handlePacket(now, from, b.Carried)
	case *message.Envelope_Claim:
		owner := from
		if b.Claim.Owner != 0 {
			owner = flow.IP(b.Claim.Owner)
		}
		c.handleClaim(now, owner, b.Claim.GetFlow().ID())
	case *message.Envelope_Denial:
		c.handleDenial(now, from, b.Denial)
	case *message.Envelope_Unsure:
		c.handleUnsure(now, from, b.Unsure.GetFlow().ID())
	case *message.Envelope_Report:
		c.handleReport(now, from, b.Report)
	}
}

// handlePacket processes a packet according to its step.
func (c *Core) handlePacket(now instant.Instant, from flow.IP, m *message.Carried) {
	p, ok := c.Codec.DecodeFromCaller(m.Packet)
	if !ok {
		c.Counts.Unreadable++
		return
	}
	if m.Service != c.Service {
		// The instance's address previously belonged to an agent of that service.
		c.Counts.Misdirected++
		c.LogNotable("PacketMisdirected", "Flow", p.Flow, "From", from, "Service", m.Service)
		c.sendHint(p.Flow, flow.IP(m.Balancer), 0)
		return
	}
	c.exchangeEvacuations(now, from, p, m)
	if p.OpensFlow() {
		c.warmUpRate = warmup.Rate(m.WarmUpRate)
	}
	switch m.Step {
	case message.Step_StepHome:
		c.handleAsHome(now, p, m)
	case message.Step_StepPlace:
		c.admit(now, p, m)
	case message.Step_StepOwner:
		c.handleAsOwner(now, p, m)
	case message.Step_StepProbe:
		c.handleProbe(now, from, p, m)
	case message.Step_StepReturn:
		c.handleReturn(now, from, p, m)
	}
}

func (c *Core) sendHint(id flow.ID, balancer, owner flow.IP) {
	if balancer == 0 {
		return
	}
	c.Send(balancer, &message.Envelope{Body: &message.Envelope_Hint{Hint: &message.Hint{
		Flow: message.FlowOf(id), Owner: uint32(owner),
	}}})
}

// resetFlow sends the caller a reset packet.
func (c *Core) resetFlow(id flow.ID, seq uint32, reason string, pairs ...any) {
	c.Counts.Resets++
	c.LogNotable("FlowReset", append([]any{"Flow", id, "Reason", reason}, pairs...)...)
	c.Emit(action.Action{Kind: action.Reply, Flow: id, Bytes: c.Codec.NewReset(id, seq)})
}

// SetOnAnswer sets the callback that receives the duration of each answered request.
func (c *Core) SetOnAnswer(f func(time.Duration)) { c.flows.OnAnswer = f }

// State returns the upstream state that the agent reports.
func (c *Core) State() message.State { return c.state }
