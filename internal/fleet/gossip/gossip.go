// Package gossip distributes the membership, contracts and keyring of the
// fleet by heartbeats, gossip and anti-entropy.
//
// Each process sends heartbeats to a few balancers that watch it. Balancers gossip
// changes to random peers and periodically compare digests. Messages carry only
// the versions of contracts and of the keyring; a process pulls the contents.
//
// # Usage
//
//	c := gossip.New(cfg, rand.IntN, wall)
//	c.Tick(now)
//	c.HandleMessage(now, envelope)
//	out := c.TakeOutput()
//	for _, d := range out.Datagrams {
//		send(d.To, d.Body)
//	}
//
// The package does no I/O: datagrams, pulls and events are collected until
// TakeOutput. A Core is not safe for concurrent use.
package gossip

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/customer/catalogue"
	"github.com/jaytack/jaytack/internal/customer/contract"
	"github.com/jaytack/jaytack/internal/fleet/membership"
	"github.com/jaytack/jaytack/internal/fleet/wire"
	"github.com/jaytack/jaytack/internal/flow/connid"
)

// TickInterval is the interval between calls of Tick.
const TickInterval = 100 * time.Millisecond

// Times and sizes of the protocol.
const (
	watcherCount               = 2
	initialHeartbeatInterval   = time.Second
	maxHeartbeatInterval       = 8 * time.Second
	targetHeartbeatsPerSecond  = 4
	ackTimeoutIntervals        = 3
	urgentHeartbeats           = 3
	minContacts                = 3
	maxExcessWatched           = 3  // members above 5/4 of a balancer's share
	acksPerContactList         = 16 // one in so many acknowledgements lists balancers
	gossipFanout               = 3
	recordsPerPacket           = 16
	versionsPerPacket          = 16
	antiEntropyInterval        = time.Second
	maxLeaveRecipients         = 16 // balancers that a leaving process notifies directly
	balancersPerAck            = 4
	exchangesPerSuspect        = 4 // one in so many exchanges goes to a suspect balancer or a seed
	gossipBytesPerSecond       = 768
	gossipBurstBytes           = 1 << 20
	contractRequestTimeout     = 500 * time.Millisecond
	maxContractRequestAttempts = 4
	versionPropagationTime     = 500 * time.Millisecond // versions may differ while gossip propagates a change
	contactTTL                 = 5 * time.Minute
	incarnationConflictGrace   = 5 * time.Second // after the start; see refute
	maxPullBalancers           = 16
	// KeyActivationDelay is how long a process holds a key before it seals with it.
	// By then every balancer holds the key.
	KeyActivationDelay = 10 * time.Second
)

// Config describes the local process.
type Config struct {
	Self  membership.Member
	Seeds []netip.AddrPort
	// Customer and Service name an agent's service; the contract gives its number.
	Customer contract.Customer
	Service  contract.ServiceName
}

// Datagram is one control message to send.
type Datagram struct {
	To   netip.AddrPort
	Body *wire.Envelope
}

// EventKind is the type of an Event.
type EventKind uint8

// Kinds of events.
const (
	MemberChanged EventKind = iota
	MemberSuspected
	Superseded
	ServiceAssigned
	ContractApplied
	KeyringApplied
)

// Event is a change to log.
type Event struct {
	Kind     EventKind
	Member   membership.Member
	Contract catalogue.Entry
	Revision int64
}

// Pull is a request for contracts and the keyring from a process with newer ones.
type Pull struct {
	From    netip.AddrPort
	Request *wire.PullRequest
}

// Output holds the results of the inputs since the last TakeOutput.
type Output struct {
	Datagrams []Datagram
	// Pulls lists the requests to other processes, at most one for each.
	Pulls  []Pull
	Events []Event
	// Changed reports whether the view, the contracts or the keyring changed.
	Changed bool
}

// watcher is a balancer to which the process sends heartbeats.
type watcher struct {
	interval    time.Duration
	lastSent    instant.Instant
	lastAcked   instant.Instant
	clockOffset time.Duration
	// knownSequence is the sequence of this process's record at the balancer.
	knownSequence membership.Sequence
}

// contractRequest is a pending request for a contract.
type contractRequest struct {
	version  catalogue.Version
	source   netip.AddrPort
	deadline instant.Instant
	attempts int
}

// Core is the protocol state machine of one process.
type Core struct {
	// Random returns a number from 0 to n-1.
	Random func(n int) int
	// Wall returns the Unix time in nanoseconds.
	Wall func() int64
	// Fanout is the number of balancers that each gossip message goes to; 0
	// disables gossip and the anti-entropy exchanges that this process starts.
	Fanout int

	cfg                  Config
	self                 membership.Member
	view                 *membership.View
	catalogue            *catalogue.Catalogue
	keyring              connid.Keyring
	keyringRev           int64
	keyAppliedAt         map[connid.KeyID]instant.Instant
	watchers             map[netip.AddrPort]*watcher
	contacts             map[netip.AddrPort]instant.Instant
	urgentRemaining      int
	customerAgents       int
	lastAntiEntropy      instant.Instant
	lastVersionsReceived instant.Instant
	contractRequests     map[contract.Customer]contractRequest
	gossipLimiter        *rate.Limiter
	output               Output
}

// New returns a core with the given random source and wall clock.
func New(cfg Config, random func(n int) int, wall func() int64) *Core {
	c := &Core{
		Random: random, Wall: wall, Fanout: gossipFanout, cfg: cfg, self: cfg.Self,
		view: membership.New(cfg.Self.Address), catalogue: catalogue.New(),
		keyAppliedAt: make(map[connid.KeyID]instant.Instant),
		watchers:     make(map[netip.AddrPort]*watcher), contacts: make(map[netip.AddrPort]instant.Instant),
		contractRequests: make(map[contract.Customer]contractRequest), lastVersionsReceived: instant.Instant(-versionPropagationTime) - 1,
		gossipLimiter: rate.NewLimiter(gossipBytesPerSecond, gossipBurstBytes),
	}
	c.view.Merge(0, c.self)
	return c
}

// TakeOutput returns the output of the inputs since the last call and clears it.
func (c *Core) TakeOutput() Output {
	out := c.output
	c.output = Output{}
	return out
}

// Tick sends the heartbeats, gossip and requests that are due at now and expires
// members.
func (c *Core) Tick(now instant.Instant) {
	c.sendHeartbeats(now)
	if !c.isBalancer() {
		return
	}
	for _, m := range c.view.Expire(now) {
		c.recordEvent(Event{Kind: MemberSuspected, Member: m})
	}
	if c.Fanout > 0 {
		c.sendGossip(now)
		c.startAntiEntropy(now)
	}
	c.retryContractRequests(now)
}

// HandleMessage handles a message and reports whether it belongs to this protocol.
func (c *Core) HandleMessage(now instant.Instant, e *wire.Envelope) bool {
	switch b := e.GetBody().(type) {
	case *wire.Envelope_Heartbeat:
		c.handleHeartbeat(now, b.Heartbeat)
	case *wire.Envelope_HeartbeatAck:
		c.handleHeartbeatAck(now, b.HeartbeatAck)
	case *wire.Envelope_Records:
		c.handleRecords(now, b.Records)
	case *wire.Envelope_Digest:
		c.handleDigest(now, b.Digest)
	case *wire.Envelope_Buckets:
		c.handleBuckets(b.Buckets)
	default:
		return false
	}
	return true
}

// Announce changes the process's own record and sends it immediately.
func (c *Core) Announce(now instant.Instant, change func(m *membership.Member)) {
	change(&c.self)
	c.setSequence(now, c.self.Sequence+1)
	c.sendHeartbeats(now)
	if c.self.State == membership.Ready {
		return
	}
	contacts := c.Contacts(now)
	for range min(maxLeaveRecipients, len(contacts)) {
		i := c.Random(len(contacts))
		c.sendRecords([]membership.Member{c.self}, contacts[i])
		contacts = slices.Delete(contacts, i, i+1)
	}
}

// setSequence sets the sequence of the own record, to supersede older copies.
func (c *Core) setSequence(now instant.Instant, s membership.Sequence) {
	c.self.Sequence = s
	c.view.Merge(now, c.self)
	c.urgentRemaining = urgentHeartbeats
	c.output.Changed = true
}

func (c *Core) isBalancer() bool { return c.cfg.Self.Role == membership.Balancer }

func (c *Core) queueDatagram(to netip.AddrPort, e *wire.Envelope) {
	c.output.Datagrams = append(c.output.Datagrams, Datagram{to, e})
}

// requestFullPull requests everything from a process that this one lacks.
func (c *Core) requestFullPull(from netip.AddrPort) {
	c.queuePull(from, c.NewFullPullRequest())
}

// requestNewer requests the given versions and the keyring from a process where
// they are newer. It skips contracts that are already requested.
func (c *Core) requestNewer(now instant.Instant, from netip.AddrPort, versions []catalogue.Version, keyring int64) {
	req := c.newPartialPullRequest()
	for _, v := range versions {
		old := c.contractRequests[v.Customer]
		if !c.catalogue.IsNewer(v) || old.version.Revision >= v.Revision {
			continue
		}
		c.contractRequests[v.Customer] = contractRequest{v, from, now.Add(contractRequestTimeout), 1}
		req.Wanted = append(req.Wanted, string(v.Customer))
	}
	if len(req.GetWanted()) > 0 || keyring > c.keyringRev {
		c.queuePull(from, req)
	}
}

func (c *Core) newPartialPullRequest() *wire.PullRequest {
	return &wire.PullRequest{KeyringRevision: c.keyringRev, Customer: string(c.cfg.Customer)}
}

// retryContractRequests repeats the contract requests that timed out.
func (c *Core) retryContractRequests(now instant.Instant) {
	for name, r := range c.contractRequests {
		switch {
		case !c.catalogue.IsNewer(r.version) || r.attempts >= maxContractRequestAttempts:
			delete(c.contractRequests, name)
		case now >= r.deadline:
			r.deadline, r.attempts = now.Add(contractRequestTimeout), r.attempts+1
			c.contractRequests[name] = r
			req := c.newPartialPullRequest()
			req.Wanted = append(req.Wanted, string(name))
			c.queuePull(r.source, req)
		}
	}
}

func (c *Core) queuePull(from netip.AddrPort, req *wire.PullRequest) {
	same := func(p Pull) bool { return p.From == from }
	if from.IsValid() && from != c.self.Control && !slices.ContainsFunc(c.output.Pulls, same) {
		c.output.Pulls = append(c.output.Pulls, Pull{from, req})
	}
}

func (c *Core) recordEvent(e Event) {
	c.output.Events = append(c.output.Events, e)
	c.output.Changed = true
}

func (c *Core) mergeMember(now instant.Instant, m membership.Member) {
	if c.view.Merge(now, m) {
		c.recordEvent(Event{Kind: MemberChanged, Member: m})
	}
}

func (c *Core) randomAddress(addresses []netip.AddrPort) netip.AddrPort {
	return addresses[c.Random(len(addresses))]
}

// AddSeeds adds addresses to contact while no balancer is known.
func (c *Core) AddSeeds(seeds []netip.AddrPort) {
	for _, a := range seeds {
		if a != c.self.Address && !slices.Contains(c.cfg.Seeds, a) {
			c.cfg.Seeds = append(c.cfg.Seeds, a)
		}
	}
}

// Self returns the process's own record.
func (c *Core) Self() membership.Member { return c.self }

// View returns the process's view of the fleet.
func (c *Core) View() *membership.View { return c.view }

// Catalogue returns the contracts in force.
func (c *Core) Catalogue() *catalogue.Catalogue { return c.catalogue }

// KeyringRevision returns the revision of the keyring in force, 0 for none.
func (c *Core) KeyringRevision() int64 { return c.keyringRev }

// CustomerAgents returns the number of live agents of the process's customer, 0
// if unknown.
func (c *Core) CustomerAgents() int { return c.customerAgents }

// Keyring returns the keyring in force, without keys if there is none.
func (c *Core) Keyring() connid.Keyring {
	return connid.Keyring{Revision: c.keyringRev, Keys: c.keyring.Keys}
}

// Ring returns the ring of the current keys, or nil without a keyring. It seals
// with the newest key held for at least KeyActivationDelay, else with the first.
func (c *Core) Ring(now instant.Instant) (*connid.Ring, error) {
	if len(c.keyring.Keys) == 0 {
		return nil, nil
	}
	active := c.keyring.Keys[0].ID
	for _, k := range c.keyring.Keys {
		if now.Sub(c.keyAppliedAt[k.ID]) >= KeyActivationDelay {
			active = k.ID
		}
	}
	return c.keyring.Ring(active)
}

// ClockOffset returns how far the watchers' clocks are ahead of the local clock,
// 0 without watchers. It is the lower median by magnitude, so that one watcher
// with a wrong clock does not distort it.
func (c *Core) ClockOffset() time.Duration {
	var offsets []time.Duration
	for _, w := range c.watchers {
		offsets = append(offsets, w.clockOffset)
	}
	if len(offsets) == 0 {
		return 0
	}
	slices.SortFunc(offsets, func(a, b time.Duration) int { return cmp.Compare(a.Abs(), b.Abs()) })
	return offsets[(len(offsets)-1)/2]
}

// Contacts returns the balancers seen within contactTTL, or else the seeds.
func (c *Core) Contacts(now instant.Instant) []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(c.contacts))
	for a, at := range c.contacts {
		if now.Sub(at) > contactTTL {
			delete(c.contacts, a)
			continue
		}
		out = append(out, a)
	}
	if len(out) == 0 {
		return append(out, c.cfg.Seeds...)
	}
	// The order of a map is random; the result must depend on the inputs alone.
	slices.SortFunc(out, netip.AddrPort.Compare)
	return out
}
