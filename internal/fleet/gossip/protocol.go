// Package gossip decides what a process says to the other processes of the
// fleet.
//
// Each process sends heartbeats to a few balancers that watch it. Balancers pass
// news on to each other and compare their views from time to time. Contracts
// and keyrings travel as versions; what is missing is pulled.
//
// # Usage
//
//	c := protocol.New(cfg, rand.IntN)
//	c.Tick(now)
//	c.Receive(now, envelope)
//	out := c.Take()
//	for _, d := range out.Datagrams {
//		send(d.To, d.Body)
//	}
//
// The package does no input or output: what is to be sent, pulled and logged is
// collected until Take. A Core must not be shared without a lock.
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

// TickInterval is how often Tick is to be called.
const TickInterval = 100 * time.Millisecond

// Times and sizes of the protocol.
const (
	watcherCount      = 2
	firstInterval     = time.Second
	maxInterval       = 8 * time.Second
	heartbeatsPerSec  = 4
	ackLossIntervals  = 3
	urgentRepeats     = 3
	fewContacts       = 3
	spareWatched      = 3  // members that a balancer watches beyond its share
	contactsEvery     = 16 // acknowledgements, of which one names balancers
	gossipFanout      = 3
	recordsPerPacket  = 16
	versionsPerPacket = 16
	antiEntropyEvery  = time.Second
	leaveNotices      = 16 // balancers that a leaving process tells itself
	balancersPerAck   = 4
	lostEvery         = 4   // comparisons, of which one is with a lost balancer or a seed
	gossipBytes       = 768 // per second
	gossipBurst       = 1 << 20
	wantedFor         = 500 * time.Millisecond
	wantedTries       = 4
	newsTime          = 500 * time.Millisecond // during which versions may differ because of a change on its way
	contactTTL        = 5 * time.Minute
	supersededAfter   = 5 * time.Second
	pullBalancers     = 16
	// KeySettles is how long a key must be known before it seals: by then every
	// balancer holds it.
	KeySettles = 10 * time.Second
)

// Config is what a process must be told about itself.
type Config struct {
	Self  membership.Member
	Seeds []netip.AddrPort
	// Customer and Service name an agent's service; its number follows from the contract.
	Customer contract.Customer
	Service  contract.ServiceName
}

// Datagram is one control message to be sent.
type Datagram struct {
	To   netip.AddrPort
	Body *wire.Envelope
}

// EventKind names what happened.
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

// Event is something that the log names.
type Event struct {
	Kind     EventKind
	Member   membership.Member
	Contract catalogue.Entry
	Revision int64
}

// Pull is a call to a process that holds something newer.
type Pull struct {
	From    netip.AddrPort
	Request *wire.PullRequest
}

// Output is what came of the inputs since the last Take.
type Output struct {
	Datagrams []Datagram
	// Pulls lists what other processes hold that is newer.
	Pulls  []Pull
	Events []Event
	// Changed is set after a change of view, contracts or keyring.
	Changed bool
}

// watcher is a balancer to which the process sends heartbeats.
type watcher struct {
	interval time.Duration
	sent     instant.Instant
	acked    instant.Instant
	offset   time.Duration
	// knows is the sequence of the own record that the balancer holds.
	knows membership.Sequence
}

// want is a contract that was asked for and has not come yet.
type want struct {
	version catalogue.Version
	from    netip.AddrPort
	until   instant.Instant
	tries   int
}

// Core is the protocol of one process.
type Core struct {
	// Random returns a number from 0 to n-1.
	Random func(n int) int
	// Wall returns the Unix time in nanoseconds.
	Wall func() int64
	// Fanout is the number of balancers that news is passed on to at a time; 0
	// ends all exchange that a balancer begins.
	Fanout int

	cfg         Config
	self        membership.Member
	view        *membership.View
	catalogue   *catalogue.Catalogue
	keyring     connid.Keyring
	keyringRev  int64
	keySeen     map[connid.KeyID]instant.Instant
	watchers    map[netip.AddrPort]*watcher
	contacts    map[netip.AddrPort]instant.Instant
	urgent      int
	customerN   int
	antiEntropy instant.Instant
	lastNews    instant.Instant
	wanted      map[contract.Customer]want
	gossip      *rate.Limiter
	out         Output
}

// New returns the protocol of the process that cfg describes.
func New(cfg Config, random func(n int) int, wall func() int64) *Core {
	c := &Core{
		Random: random, Wall: wall, Fanout: gossipFanout, cfg: cfg, self: cfg.Self,
		view: membership.New(cfg.Self.Address), catalogue: catalogue.New(),
		keySeen:  make(map[connid.KeyID]instant.Instant),
		watchers: make(map[netip.AddrPort]*watcher), contacts: make(map[netip.AddrPort]instant.Instant),
		wanted: make(map[contract.Customer]want), lastNews: instant.Instant(-newsTime) - 1,
		gossip: rate.NewLimiter(gossipBytes, gossipBurst),
	}
	c.view.Merge(0, c.self)
	return c
}

// TakeOutput returns what the inputs led to and begins anew.
func (c *Core) TakeOutput() Output {
	out := c.out
	c.out = Output{}
	return out
}

// Tick does what is due at now.
func (c *Core) Tick(now instant.Instant) {
	c.sendHeartbeats(now)
	if !c.isBalancer() {
		return
	}
	for _, m := range c.view.Expire(now) {
		c.event(Event{Kind: MemberSuspected, Member: m})
	}
	if c.Fanout > 0 {
		c.spread(now)
		c.compare(now)
	}
	c.askAgain(now)
}

// HandleMessage takes in a message and reports whether it belongs to this protocol.
func (c *Core) HandleMessage(now instant.Instant, e *wire.Envelope) bool {
	switch b := e.GetBody().(type) {
	case *wire.Envelope_Heartbeat:
		c.onHeartbeat(now, b.Heartbeat)
	case *wire.Envelope_HeartbeatAck:
		c.onHeartbeatAck(now, b.HeartbeatAck)
	case *wire.Envelope_Records:
		c.onRecords(now, b.Records)
	case *wire.Envelope_Digest:
		c.onDigest(now, b.Digest)
	case *wire.Envelope_Buckets:
		c.onBuckets(b.Buckets)
	default:
		return false
	}
	return true
}

// Announce changes the process's own record and tells the fleet at once.
func (c *Core) Announce(now instant.Instant, change func(m *membership.Member)) {
	change(&c.self)
	c.raise(now, c.self.Sequence+1)
	c.sendHeartbeats(now)
	if c.self.State == membership.Ready {
		return
	}
	contacts := c.Contacts(now)
	for range min(leaveNotices, len(contacts)) {
		i := c.Random(len(contacts))
		c.sendRecords([]membership.Member{c.self}, contacts[i])
		contacts = slices.Delete(contacts, i, i+1)
	}
}

// raise gives the own record a sequence that supersedes what others hold.
func (c *Core) raise(now instant.Instant, s membership.Sequence) {
	c.self.Sequence = s
	c.view.Merge(now, c.self)
	c.urgent = urgentRepeats
	c.out.Changed = true
}

func (c *Core) isBalancer() bool { return c.cfg.Self.Role == membership.Balancer }

func (c *Core) send(to netip.AddrPort, e *wire.Envelope) {
	c.out.Datagrams = append(c.out.Datagrams, Datagram{to, e})
}

// pull asks a process for all that it holds and this one lacks.
func (c *Core) pull(from netip.AddrPort) {
	c.ask(from, c.PullRequest())
}

// pullWanted asks a process for the contracts that it named, unless they have
// been asked for.
func (c *Core) pullWanted(now instant.Instant, from netip.AddrPort, versions []catalogue.Version, keyring int64) {
	req := c.wantedRequest()
	for _, v := range versions {
		old := c.wanted[v.Customer]
		if !c.catalogue.IsNewer(v) || old.version.Revision >= v.Revision {
			continue
		}
		c.wanted[v.Customer] = want{v, from, now.Add(wantedFor), 1}
		req.Wanted = append(req.Wanted, string(v.Customer))
	}
	if len(req.GetWanted()) > 0 || keyring > c.keyringRev {
		c.ask(from, req)
	}
}

func (c *Core) wantedRequest() *wire.PullRequest {
	return &wire.PullRequest{KeyringRevision: c.keyringRev, Customer: string(c.cfg.Customer)}
}

// askAgain repeats what was asked for and did not come.
func (c *Core) askAgain(now instant.Instant) {
	for name, w := range c.wanted {
		switch {
		case !c.catalogue.IsNewer(w.version) || w.tries >= wantedTries:
			delete(c.wanted, name)
		case now >= w.until:
			w.until, w.tries = now.Add(wantedFor), w.tries+1
			c.wanted[name] = w
			req := c.wantedRequest()
			req.Wanted = append(req.Wanted, string(name))
			c.ask(w.from, req)
		}
	}
}

func (c *Core) ask(from netip.AddrPort, req *wire.PullRequest) {
	same := func(p Pull) bool { return p.From == from }
	if from.IsValid() && from != c.self.Control && !slices.ContainsFunc(c.out.Pulls, same) {
		c.out.Pulls = append(c.out.Pulls, Pull{from, req})
	}
}

func (c *Core) event(e Event) {
	c.out.Events = append(c.out.Events, e)
	c.out.Changed = true
}

func (c *Core) merge(now instant.Instant, m membership.Member) {
	if c.view.Merge(now, m) {
		c.event(Event{Kind: MemberChanged, Member: m})
	}
}

func (c *Core) pick(list []netip.AddrPort) netip.AddrPort {
	return list[c.Random(len(list))]
}

// AddSeeds adds balancers to ask while none is known.
func (c *Core) AddSeeds(seeds []netip.AddrPort) {
	for _, a := range seeds {
		if a != c.self.Address && !slices.Contains(c.cfg.Seeds, a) {
			c.cfg.Seeds = append(c.cfg.Seeds, a)
		}
	}
}

// Self returns the process's own record.
func (c *Core) Self() membership.Member { return c.self }

// View returns the view of the fleet.
func (c *Core) View() *membership.View { return c.view }

// Catalogue returns the contracts in force.
func (c *Core) Catalogue() *catalogue.Catalogue { return c.catalogue }

// KeyringRevision returns the revision of the keyring in force, 0 for none.
func (c *Core) KeyringRevision() int64 { return c.keyringRev }

// CustomerAgents returns the number of live agents of the process's customer, 0
// where it is not known.
func (c *Core) CustomerAgents() int { return c.customerN }

// Ring returns the ring of the current keys, nil where there is none. It seals
// under the newest key that has been known for KeySettles.
func (c *Core) Ring(now instant.Instant) (*connid.Ring, error) {
	if len(c.keyring.Keys) == 0 {
		return nil, nil
	}
	active := c.keyring.Keys[0].ID
	for _, k := range c.keyring.Keys {
		if now.Sub(c.keySeen[k.ID]) >= KeySettles {
			active = k.ID
		}
	}
	return c.keyring.Ring(active)
}

// ClockOffset returns how far the clocks of the watching balancers are ahead of
// the own one. Where they disagree, one that is wrong must not mislead: the
// offset is the greatest that most of them exceed or share.
func (c *Core) ClockOffset() time.Duration {
	var offsets []time.Duration
	for _, w := range c.watchers {
		offsets = append(offsets, w.offset)
	}
	if len(offsets) == 0 {
		return 0
	}
	slices.SortFunc(offsets, func(a, b time.Duration) int { return cmp.Compare(a.Abs(), b.Abs()) })
	return offsets[(len(offsets)-1)/2]
}

// Contacts returns balancers heard of lately, or the seeds where there are none.
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
	// The order must follow from the inputs alone.
	slices.SortFunc(out, netip.AddrPort.Compare)
	return out
}
