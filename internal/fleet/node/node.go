// Package node is what balancers and agents have in common: their place in the
// fleet.
//
// A node runs the protocol of its process: it reads the clock, seals and sends
// what the protocol decides, pulls what others have newer, and writes the log.
// Balancers also follow the store.
//
// # Usage
//
//	n, err := node.New(protocol.Config{...}, identity, store, journal, send)
//	n.Start()
//	n.HandleControl(datagram)
//	n.Announce(func(m *membership.Member) { m.State = membership.Draining })
//	n.Close()
//
// send must not block. OnChange is called after each change of the view, the
// contracts or the keyring, without a lock held.
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
	// ErrListen reports a control address that cannot be used.
	ErrListen = eris.New("cannot listen on the control address")
	// errRaced reports a compare-and-swap that another process won.
	errRaced = eris.New("another process changed the key first")
)

// Node is one process's place in the fleet.
type Node struct {
	*eventlog.Logger
	Identity *identity.Identity
	Store    *store.Client
	// OnChange is called after a change; it must be set before Start.
	OnChange func()

	role   membership.Role
	send   func(datagram []byte, to netip.AddrPort)
	start  time.Time
	pool   *pool
	server *server

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	superseded     chan struct{}
	supersededOnce sync.Once

	mu        sync.Mutex
	core      *gossip.Core
	storeSeen store.Revision
	pulling   map[netip.AddrPort]bool
	changed   bool
	traffic   Traffic
}

// Traffic counts the control traffic of a node.
type Traffic struct {
	SentBytes, SentDatagrams         int64
	ReceivedBytes, ReceivedDatagrams int64
	// Rejected counts datagrams that were not sealed under the system's key.
	Rejected int64
}

// New returns a node that does nothing before Start.
func New(cfg gossip.Config, id *identity.Identity, st *store.Client, j *eventlog.Logger, send func([]byte, netip.AddrPort)) (*Node, error) {
	lis, err := net.Listen("tcp", cfg.Self.Control.String())
	if err != nil {
		return nil, eris.Wrap(ErrListen, err.Error())
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		Logger: j, Identity: id, Store: st, OnChange: func() {}, superseded: make(chan struct{}),
		role: cfg.Self.Role, send: send, start: time.Now(), ctx: ctx, cancel: cancel, pool: newPool(id),
		core:    gossip.New(cfg, rand.IntN, func() int64 { return time.Now().UnixNano() }),
		pulling: make(map[netip.AddrPort]bool),
	}
	n.server = newServer(n, lis)
	return n, nil
}

// Start begins heartbeats, gossip and, on a balancer, following the store.
func (n *Node) Start() {
	n.goes(n.server.serve)
	n.goes(n.loop)
	if n.role == membership.Balancer {
		n.goes(n.followStore)
		return
	}
	n.goes(n.bootstrap)
}

func (n *Node) goes(f func()) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		f()
	}()
}

// Close ends the node's goroutines and connections.
func (n *Node) Close() {
	n.cancel()
	n.server.close()
	n.pool.close()
	n.wg.Wait()
}

// Now returns the monotonic time since the start of the process.
func (n *Node) Now() instant.Instant { return instant.Instant(time.Since(n.start)) }

func (n *Node) loop() {
	t := time.NewTicker(gossip.TickInterval)
	defer t.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-t.C:
		}
		n.with(func(c *gossip.Core) { c.Tick(n.Now()) })
		n.notify()
	}
}

// with gives the protocol an input and does what it decides.
func (n *Node) with(f func(c *gossip.Core)) {
	n.mu.Lock()
	f(n.core)
	out := n.core.TakeOutput()
	n.changed = n.changed || out.Changed
	n.mu.Unlock()
	for _, e := range out.Events {
		n.log(e)
	}
	for _, d := range out.Datagrams {
		n.SendEnvelope(d.Body, d.To)
	}
	for _, p := range out.Pulls {
		n.pull(p)
	}
}

// notify calls OnChange if there was a change.
func (n *Node) notify() {
	n.mu.Lock()
	changed := n.changed
	n.changed = false
	n.mu.Unlock()
	if changed {
		n.OnChange()
	}
}

func (n *Node) log(e gossip.Event) {
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

// Announce changes the node's own record and tells the fleet at once.
func (n *Node) Announce(change func(m *membership.Member)) {
	n.with(func(c *gossip.Core) { c.Announce(n.Now(), change) })
}

// MarkSuspect marks a member as suspect that was silent for too long.
func (n *Node) MarkSuspect(a netip.AddrPort) {
	n.with(func(c *gossip.Core) { c.Suspect(n.Now(), a) })
}

// Superseded is closed when another process has taken this one's address.
func (n *Node) Superseded() <-chan struct{} { return n.superseded }

// WithView calls f with the view and the contracts, under the lock.
func (n *Node) WithView(f func(v *membership.View, c *catalogue.Catalogue)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f(n.core.View(), n.core.Catalogue())
}

// KeyringRevision returns the revision of the keyring in force, 0 for none.
func (n *Node) KeyringRevision() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.KeyringRevision()
}

// Ring returns the ring of the current keys, nil where there is none.
func (n *Node) Ring() *connid.Ring {
	n.mu.Lock()
	defer n.mu.Unlock()
	r, err := n.core.Ring(n.Now())
	if err != nil {
		n.Error("KeyringUnusable", "Reason", err)
	}
	return r
}

// CustomerAgents returns the number of agents among which the customer's limits are divided.
func (n *Node) CustomerAgents() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return max(n.core.CustomerAgents(), 1)
}

// ClockOffset returns how far the balancers' clocks are ahead of the own one.
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

// Contacts returns balancers heard of lately, or the seeds where there are none.
func (n *Node) Contacts() []netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Contacts(n.Now())
}

// SendEnvelope seals an envelope and sends it.
func (n *Node) SendEnvelope(e *wire.Envelope, to netip.AddrPort) {
	b, err := proto.Marshal(e)
	if err != nil {
		n.Error("EnvelopeUnsent", "Reason", err)
		return
	}
	sealed := n.Identity.Seal(b)
	n.mu.Lock()
	n.traffic.SentBytes += int64(len(sealed))
	n.traffic.SentDatagrams++
	n.mu.Unlock()
	n.send(sealed, to)
}

// HandleDatagram takes in a sealed control datagram and returns a message that
// is not the node's own to handle, or nil.
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
	n.with(func(c *gossip.Core) { handled = c.HandleMessage(n.Now(), &e) })
	if handled {
		return nil
	}
	return &e
}
