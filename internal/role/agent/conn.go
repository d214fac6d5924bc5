package agent

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/customer/catalogue"
	"github.com/jaytack/jaytack/internal/fleet/membership"
	"github.com/jaytack/jaytack/internal/flow/connid"
	"github.com/jaytack/jaytack/internal/flow/placement"
	"github.com/jaytack/jaytack/internal/flow/routing"
	"github.com/jaytack/jaytack/internal/flow/tunnel"
)

const (
	controlBacklog = 1024 // datagrams
	// routeSilence is how long a balancer may be silent before answers go
	// through others too.
	routeSilence = 500 * time.Millisecond
	// recentFirst is how long a new flow's first ID is remembered.
	recentFirst = 10 * time.Second
)

// route is how answers reach a caller.
type route struct {
	addr     *net.UDPAddr
	balancer atomic.Pointer[netip.AddrPort]
	service  netip.AddrPort
	heard    atomic.Int64
	retry    atomic.Bool
}

// flowConn is the packet connection under QUIC. It takes the tunnel's header
// off what balancers bring, and answers through the balancer that spoke last.
//
// The socket is not embedded: QUIC would find its faster calls and go past the
// tunnel.
type flowConn struct {
	udp     *net.UDPConn
	a       *Agent
	control chan []byte
	ring    atomic.Pointer[connid.Ring]
	nonce   atomic.Uint32

	opener *connid.Opener
	buf    []byte
	out    sync.Pool

	mu     sync.RWMutex
	byPeer map[netip.AddrPort]*route
	recent map[placement.FlowHash]time.Time

	serving  chan struct{}
	released chan struct{}
	next     atomic.Uint32
}

func newFlowConn(a *Agent, udp *net.UDPConn) *flowConn {
	c := &flowConn{
		udp: udp, a: a, control: make(chan []byte, controlBacklog), opener: connid.NewOpener(),
		buf: make([]byte, tunnel.MaxDatagram), byPeer: make(map[netip.AddrPort]*route),
		recent: make(map[placement.FlowHash]time.Time), serving: make(chan struct{}), released: make(chan struct{}),
	}
	c.out.New = func() any { b := make([]byte, tunnel.MaxDatagram); return &b }
	return c
}

// Close closes the socket.
func (c *flowConn) Close() error { return c.udp.Close() }

// LocalAddr returns the tunnel address.
func (c *flowConn) LocalAddr() net.Addr { return c.udp.LocalAddr() }

// SetDeadline sets the deadlines of the socket.
func (c *flowConn) SetDeadline(t time.Time) error { return c.udp.SetDeadline(t) }

// SetReadDeadline sets the read deadline of the socket.
func (c *flowConn) SetReadDeadline(t time.Time) error { return c.udp.SetReadDeadline(t) }

// SetWriteDeadline sets the write deadline of the socket.
func (c *flowConn) SetWriteDeadline(t time.Time) error { return c.udp.SetWriteDeadline(t) }

// SetReadBuffer sets the size of the socket's buffer.
func (c *flowConn) SetReadBuffer(bytes int) error { return c.udp.SetReadBuffer(bytes) }

// SetWriteBuffer sets the size of the socket's buffer.
func (c *flowConn) SetWriteBuffer(bytes int) error { return c.udp.SetWriteBuffer(bytes) }

func (c *flowConn) post(datagram []byte, to netip.AddrPort) {
	_, _ = c.udp.WriteToUDPAddrPort(datagram, to)
}

func (c *flowConn) setRing(r *connid.Ring) {
	if r != nil {
		c.ring.Store(r)
	}
}

func (c *flowConn) hasRing() bool { return c.ring.Load() != nil }

// GenerateConnectionID seals the agent's place into a new connection ID.
func (c *flowConn) GenerateConnectionID() (quic.ConnectionID, error) {
	self := c.a.Self()
	owner := connid.Owner{Agent: self.Address, Service: self.Service, Incarnation: self.Incarnation}
	id := c.ring.Load().Seal(owner, connid.Nonce(c.nonce.Add(1)))
	return quic.ConnectionIDFromBytes(id[:]), nil
}

// ConnectionIDLen returns the length of every ID.
func (c *flowConn) ConnectionIDLen() int { return connid.Length }

// verifySource asks for QUIC Retry while balancers may place a new flow
// differently: the retried flow carries a sealed ID.
func (c *flowConn) verifySource(addr net.Addr) bool {
	u, ok := addr.(*net.UDPAddr)
	if !ok {
		return true
	}
	c.mu.RLock()
	defer c.mu.RUnlock()
	r := c.byPeer[addrPort(u)]
	return r != nil && r.retry.Load()
}

func addrPort(u *net.UDPAddr) netip.AddrPort {
	a := u.AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// readUntilServing handles control datagrams before QUIC reads the socket.
func (c *flowConn) readUntilServing() {
	defer close(c.released)
	for {
		_ = c.SetReadDeadline(time.Now().Add(tickEvery))
		select {
		case <-c.serving:
			_ = c.SetReadDeadline(time.Time{})
			return
		default:
		}
		n, _, err := c.udp.ReadFromUDPAddrPort(c.buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			c.takeControl(c.buf[:n])
		}
	}
}

func (c *flowConn) stopReading() {
	close(c.serving)
	<-c.released
}

func (c *flowConn) takeControl(datagram []byte) {
	if tunnel.KindOf(datagram) != tunnel.Control {
		c.a.metrics.Add("DatagramsEarly", 1)
		return
	}
	select {
	case c.control <- append([]byte(nil), datagram...):
	default:
		c.a.metrics.Add("ControlLost", 1)
	}
}

func (c *flowConn) handleControl() {
	for {
		select {
		case <-c.a.ctx.Done():
			return
		case d := <-c.control:
			if e := c.a.HandleDatagram(d); e != nil {
				c.a.peers.onEnvelope(e)
			}
		}
	}
}

// ReadFrom returns the next datagram of a caller and the caller's address.
func (c *flowConn) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		n, from, err := c.udp.ReadFromUDPAddrPort(c.buf)
		if err != nil {
			return 0, nil, err
		}
		if tunnel.KindOf(c.buf[:n]) != tunnel.ToAgent {
			c.takeControl(c.buf[:n])
			continue
		}
		h, payload, err := tunnel.Open(c.buf[:n], c.a.Identity.Tunnel)
		if err != nil {
			c.a.metrics.Add("DatagramsRefused", 1)
			continue
		}
		if !c.accept(h, payload) {
			continue
		}
		r := c.noteRoute(h, from)
		return copy(p, payload), r.addr, nil
	}
}

// accept checks again what the balancer checked, and passes new flows on that
// this agent does not take.
func (c *flowConn) accept(h tunnel.Header, payload []byte) bool {
	self := c.a.Self()
	if h.Service != self.Service {
		c.a.metrics.Add("DatagramsCrossed", 1)
		return false
	}
	id, ok := routing.ConnectionID(payload)
	if !ok {
		c.a.metrics.Add("DatagramsMalformed", 1)
		return false
	}
	owner, err := c.opener.Open(c.ring.Load(), id)
	if err == nil {
		if owner.Agent != self.Address || owner.Service != self.Service {
			c.a.metrics.Add("DatagramsCrossed", 1)
			return false
		}
		return true
	}
	if h.Flags&tunnel.NewFlow == 0 {
		c.a.metrics.Add("DatagramsForged", 1)
		return false
	}
	return c.acceptNew(h, payload, placement.HashConnectionID(id))
}

// acceptNew passes a new flow on to the second choice when this agent is full
// or leaves, unless the flow's first datagram was taken already.
func (c *flowConn) acceptNew(h tunnel.Header, payload []byte, id placement.FlowHash) bool {
	c.mu.Lock()
	_, known := c.recent[id]
	full := c.a.full()
	if !full || known {
		c.recent[id] = time.Now()
	}
	c.mu.Unlock()
	if !full || known || !h.SecondChoice.IsValid() || h.Flags&tunnel.Forwarded != 0 {
		return true
	}
	b := c.out.Get().(*[]byte)
	defer c.out.Put(b)
	n := copy((*b)[tunnel.HeaderLength:], payload)
	h.Flags |= tunnel.Forwarded
	tunnel.Put((*b)[:tunnel.HeaderLength+n], h, c.a.Identity.Tunnel)
	c.post((*b)[:tunnel.HeaderLength+n], h.SecondChoice)
	c.a.metrics.Add("FlowsForwarded", 1)
	c.a.Decision("FlowForwarded", "Caller", h.Caller, "To", h.SecondChoice, "Reason", "Full")
	return false
}

// noteRoute remembers through whom the caller was heard. A forwarded datagram
// comes from a peer, not from a balancer, and does not move the route.
func (c *flowConn) noteRoute(h tunnel.Header, from netip.AddrPort) *route {
	c.mu.RLock()
	r := c.byPeer[h.Caller]
	c.mu.RUnlock()
	if r == nil {
		r = &route{addr: net.UDPAddrFromAddrPort(h.Caller), service: h.ServiceAddress}
		c.mu.Lock()
		if old := c.byPeer[h.Caller]; old != nil {
			r = old
		} else {
			c.byPeer[h.Caller] = r
		}
		c.mu.Unlock()
	}
	r.heard.Store(int64(c.a.Now()))
	r.retry.Store(h.Flags&tunnel.Unsettled != 0)
	if h.Flags&tunnel.Forwarded == 0 {
		if old := r.balancer.Load(); old == nil || *old != from {
			r.balancer.Store(&from)
		}
	}
	return r
}

// WriteTo sends an answer to a caller through a balancer.
func (c *flowConn) WriteTo(p []byte, addr net.Addr) (int, error) {
	u, ok := addr.(*net.UDPAddr)
	if !ok {
		return 0, net.ErrClosed
	}
	caller := addrPort(u)
	c.mu.RLock()
	r := c.byPeer[caller]
	c.mu.RUnlock()
	if r == nil {
		return len(p), nil
	}
	to, ok := c.balancerFor(r)
	if !ok {
		return len(p), nil
	}
	b := c.out.Get().(*[]byte)
	defer c.out.Put(b)
	n := copy((*b)[tunnel.HeaderLength:], p)
	h := tunnel.Header{Kind: tunnel.ToBalancer, Service: c.a.Self().Service, Caller: caller, ServiceAddress: r.service}
	tunnel.Put((*b)[:tunnel.HeaderLength+n], h, c.a.Identity.Tunnel)
	if _, err := c.udp.WriteToUDPAddrPort((*b)[:tunnel.HeaderLength+n], to); errors.Is(err, net.ErrClosed) {
		return 0, err
	}
	return len(p), nil
}

// balancerFor returns the balancer that spoke last. After a silence it takes
// turns among those known, since that one may be gone.
func (c *flowConn) balancerFor(r *route) (netip.AddrPort, bool) {
	last := r.balancer.Load()
	if last != nil && c.a.Now().Sub(instant.Instant(r.heard.Load())) < routeSilence && !c.gone(*last) {
		return *last, true
	}
	contacts := c.a.Contacts()
	if len(contacts) == 0 {
		if last == nil {
			return netip.AddrPort{}, false
		}
		return *last, true
	}
	return contacts[int(c.next.Add(1))%len(contacts)], true
}

func (c *flowConn) gone(balancer netip.AddrPort) bool {
	out := false
	c.a.WithView(func(v *membership.View, _ *catalogue.Catalogue) {
		m, ok := v.Member(balancer)
		out = ok && !m.IsLive()
	})
	return out
}

// sweep forgets callers that were silent for longer than a flow can be.
func (c *flowConn) sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.a.Now()
	for caller, r := range c.byPeer {
		if now.Sub(instant.Instant(r.heard.Load())) > 2*idleTimeout {
			delete(c.byPeer, caller)
		}
	}
	for id, at := range c.recent {
		if time.Since(at) > recentFirst {
			delete(c.recent, id)
		}
	}
}

func (c *flowConn) routes() int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return len(c.byPeer)
}
