// Package node runs the fleet protocol of a balancer or an agent.
//
// A node drives the protocol with the clock and received datagrams, seals and
// sends its datagrams, performs its pulls and logs its events. Balancers also
// read contracts and the keyring from the store.
//
// # Usage
//
//	n, err := node.New(gossip.Config{...}, identity, store, logger, send)
//	n.Start()
//	n.HandleDatagram(datagram)
//	n.Announce(func(m *membership.Member) { m.State = membership.Draining })
//	n.Close()
//
// send must not block. OnChange is called after changes of the view, the contracts
// or the keyring, without a lock held.
package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/customer/catalogue"
	"github.com/jaytack/jaytack/internal/fleet/gossip"
	"github.com/jaytack/jaytack/internal/fleet/membership"
	"github.com/jaytack/jaytack/internal/fleet/wire"
	"github.com/jaytack/jaytack/internal/flow/connid"
	"github.com/jaytack/jaytack/internal/process/eventlog"
	"github.com/jaytack/jaytack/internal/process/identity"
	"github.com/jaytack/jaytack/internal/process/store"
)

var (
	// ErrListen reports a failure to listen on the control address.
	ErrListen = eris.New("cannot listen on the control address")
	// errConflict reports a compare-and-swap that failed because the key changed.
	errConflict = eris.New("another process changed the key first")
)

// Node runs the fleet protocol of one process.
type Node struct {
	*eventlog.Logger
	Identity *identity.Identity
	Store    *store.Client
	// OnChange is called after a change; it must be set before Start.
	OnChange func()

	role      membership.Role
	send      func(datagram []byte, to netip.AddrPort)
	startTime time.Time
	pool      *pool
	server    *server

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	superseded     chan struct{}
	supersededOnce sync.Once

	mu                sync.Mutex
	core              *gossip.Core
	lastStoreRevision store.Revision
	activePulls       map[netip.AddrPort]bool
	changePending     bool
	traffic           Traffic
}

// Traffic counts the control traffic of a node.
type Traffic struct {
	SentBytes, SentDatagrams         int64
	ReceivedBytes, ReceivedDatagrams int64
	// Rejected counts datagrams that failed authentication or decoding.
	Rejected int64
}

// New returns a node that listens on its control address and is idle until Start.
// It fails with ErrListen.
func New(cfg gossip.Config, id *identity.Identity, st *store.Client, j *eventlog.Logger, send func([]byte, netip.AddrPort)) (*Node, error) {
	listener, err := net.Listen("tcp", cfg.Self.Control.String())
	if err != nil {
		return nil, eris.Wrap(ErrListen, err.Error())
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		Logger: j, Identity: id, Store: st, OnChange: func() {}, superseded: make(chan struct{}),
		role: cfg.Self.Role, send: send, startTime: time.Now(), ctx: ctx, cancel: cancel, pool: newPool(id),
		core:        gossip.New(cfg, rand.IntN, func() int64 { return time.Now().UnixNano() }),
		activePulls: make(map[netip.AddrPort]bool),
	}
	n.server = newServer(n, listener)
	return n, nil
}

// Start starts heartbeats, gossip and, on a balancer, reading the store.
func (n *Node) Start() {
	n.spawn(n.server.serve)
	n.spawn(n.tickLoop)
	if n.role == membership.Balancer {
		n.spawn(n.syncStore)
		return
	}
	n.spawn(n.loadSeeds)
}

func (n *Node) spawn(run func()) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		run()
	}()
}

// Close closes the node's connections and waits for its goroutines.
func (n *Node) Close() {
	n.cancel()
	n.server.close()
	n.pool.close()
	n.wg.Wait()
}

// Now returns the monotonic time since the start of the process.
func (n *Node) Now() instant.Instant { return instant.Instant(time.Since(n.startTime)) }

func (n *Node) tickLoop() {
	t := time.NewTicker(gossip.TickInterval)
	defer t.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-t.C:
		}
		n.update(func(c *gossip.Core) { c.Tick(n.Now()) })
		n.notifyChange()
	}
}

// update passes an input to the protocol, then logs, sends and pulls its output.
func (n *Node) update(f func(c *gossip.Core)) {
	n.mu.Lock()
	f(n.core)
	out := n.core.TakeOutput()
	n.changePending = n.changePending || out.Changed
	n.mu.Unlock()
	for _, e := range out.Events {
		n.logEvent(e)
	}
	for _, d := range out.Datagrams {
		n.SendEnvelope(d.Body, d.To)
	}
	for _, p := range out.Pulls {
		n.startPull(p)
	}
}

// notifyChange calls OnChange if there was a change.
func (n *Node) notifyChange() {
	n.mu.Lock()
	changed := n.changePending
	n.changePending = false
	n.mu.Unlock()
	if changed {
		n.OnChange()
	}
}

func (n *Node) logEvent(e gossip.Event) {
	m := e.Member
	switch e.Kind {
	case gossip.MemberChanged:
		n.Info("MemberChanged", "Address", m.Address, "Role", m.Role, "Service", m.Service, "State", m.State,
			"Weight", m.Weight, "Suspect", m.Suspect, "Incarnation", m.Incarnation, "Sequence", m.Sequence)
	case gossip.MemberSuspected:
		n.Warn("MemberSuspected", "Address", m.Address, "Role", m.Role, "Service", m.Service)
	case gossip.Superseded:
		n.Error("Superseded", "Address", m.Address, "Incarnation", m.Incarnation)
		n.supersededOnce.Do(func() { close(n.superseded) })
	case gossip.ServiceAssigned:
		n.Info("ServiceAssigned", "Service", m.Service)
	case gossip.ContractApplied:
		n.Info("ContractApplied", "Customer", e.Contract.Customer, "Revision", e.Revision, "Retired", e.Contract.Stored.Retired)
	case gossip.KeyringApplied:
		n.Info("KeyringApplied", "Revision", e.Revision)
	}
}

// Self returns the node's own record.
func (n *Node) Self() membership.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Self()
}

// Announce changes the node's own record and sends it immediately.
func (n *Node) Announce(change func(m *membership.Member)) {
	n.update(func(c *gossip.Core) { c.Announce(n.Now(), change) })
}

// MarkSuspect marks a member whose messages have timed out as suspect.
func (n *Node) MarkSuspect(a netip.AddrPort) {
	n.update(func(c *gossip.Core) { c.MarkSuspect(n.Now(), a) })
}

// Superseded returns a channel that is closed when another process takes over
// this process's address.
func (n *Node) Superseded() <-chan struct{} { return n.superseded }

// WithView calls f with the view and the contracts while holding the lock.
func (n *Node) WithView(f func(v *membership.View, c *catalogue.Catalogue)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f(n.core.View(), n.core.Catalogue())
}

// keyring returns the keyring in force, without keys if there is none.
func (n *Node) keyring() connid.Keyring {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Keyring()
}

// KeyringRevision returns the revision of the keyring in force, 0 for none.
func (n *Node) KeyringRevision() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.KeyringRevision()
}

// Ring returns the ring of the current keys, or nil without a keyring.
func (n *Node) Ring() *connid.Ring {
	n.mu.Lock()
	defer n.mu.Unlock()
	r, err := n.core.Ring(n.Now())
	if err != nil {
		n.Error("KeyringUnusable", "Reason", err)
	}
	return r
}

// CustomerAgents returns the number of agents that share the customer's limits, at least 1.
func (n *Node) CustomerAgents() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return max(n.core.CustomerAgents(), 1)
}

// ClockOffset returns how far the balancers' clocks are ahead of the local clock.
func (n *Node) ClockOffset() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.ClockOffset()
}

// Traffic returns the control traffic so far.
func (n *Node) Traffic() Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.traffic
}

// Contacts returns the balancers seen recently, or else the seeds.
func (n *Node) Contacts() []netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Contacts(n.Now())
}

// SendEnvelope seals an envelope and sends it.
func (n *Node) SendEnvelope(e *wire.Envelope, to netip.AddrPort) {
	plain, err := proto.Marshal(e)
	if err != nil {
		n.Error("EnvelopeUnsent", "Reason", err)
		return
	}
	sealed := n.Identity.Seal(plain)
	n.mu.Lock()
	n.traffic.SentBytes += int64(len(sealed))
	n.traffic.SentDatagrams++
	n.mu.Unlock()
	n.send(sealed, to)
}

// HandleDatagram handles a sealed control datagram. It returns a valid message that
// the protocol does not handle, such as a load report, and nil otherwise.
func (n *Node) HandleDatagram(datagram []byte) *wire.Envelope {
	plain, err := n.Identity.Open(datagram)
	var e wire.Envelope
	if err == nil {
		err = proto.Unmarshal(plain, &e)
	}
	n.mu.Lock()
	n.traffic.ReceivedBytes += int64(len(datagram))
	n.traffic.ReceivedDatagrams++
	if err != nil {
		n.traffic.Rejected++
	}
	n.mu.Unlock()
	if err != nil {
		return nil
	}
	handled := false
	n.update(func(c *gossip.Core) { handled = c.HandleMessage(n.Now(), &e) })
	if handled {
		return nil
	}
	return &e
}
