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
	controlQueueLength = 1024 // datagrams
	// balancerSilenceTimeout is the time without a datagram of the caller after
	// which replies go through all balancers in turn.
	balancerSilenceTimeout = 500 * time.Millisecond
	// recentFlowTTL is how long the hash of a new flow's first connection ID is kept
	// after the last datagram with this ID.
	recentFlowTTL = 10 * time.Second
)

// route is the return path to a caller.
type route struct {
	callerAddr   *net.UDPAddr
	balancer     atomic.Pointer[netip.AddrPort]
	serviceAddr  netip.AddrPort
	lastHeard    atomic.Int64
	requireRetry atomic.Bool
}

// tunnelConn is the net.PacketConn under QUIC. It decapsulates datagrams from
// balancers, and sends replies through the balancer that sent the caller's last
// datagram.
//
// The socket is not embedded: quic-go would detect the methods of *net.UDPConn and
// bypass the tunnel.
type tunnelConn struct {
	udp          *net.UDPConn
	a            *Agent
	controlQueue chan []byte
	keyring      atomic.Pointer[connid.Ring]
	nonce        atomic.Uint32

	opener  *connid.Opener
	buf     []byte
	buffers sync.Pool

	mu            sync.RWMutex
	routeByCaller map[netip.AddrPort]*route
	// recentFlows has the time of the last datagram of each accepted new flow.
	recentFlows map[placement.FlowHash]time.Time

	quicReading     chan struct{}
	earlyReaderDone chan struct{}
	nextBalancer    atomic.Uint32
}

func newTunnelConn(a *Agent, udp *net.UDPConn) *tunnelConn {
	c := &tunnelConn{
		udp: udp, a: a, controlQueue: make(chan []byte, controlQueueLength), opener: connid.NewOpener(),
		buf: make([]byte, tunnel.MaxDatagram), routeByCaller: make(map[netip.AddrPort]*route),
		recentFlows: make(map[placement.FlowHash]time.Time), quicReading: make(chan struct{}), earlyReaderDone: make(chan struct{}),
	}
	c.buffers.New = func() any { b := make([]byte, tunnel.MaxDatagram); return &b }
	return c
}

// Close closes the socket.
func (c *tunnelConn) Close() error { return c.udp.Close() }

// LocalAddr returns the tunnel address.
func (c *tunnelConn) LocalAddr() net.Addr { return c.udp.LocalAddr() }

// SetDeadline sets the deadlines of the socket.
func (c *tunnelConn) SetDeadline(t time.Time) error { return c.udp.SetDeadline(t) }

// SetReadDeadline sets the read deadline of the socket.
func (c *tunnelConn) SetReadDeadline(t time.Time) error { return c.udp.SetReadDeadline(t) }

// SetWriteDeadline sets the write deadline of the socket.
func (c *tunnelConn) SetWriteDeadline(t time.Time) error { return c.udp.SetWriteDeadline(t) }

// SetReadBuffer sets the size of the socket's receive buffer.
func (c *tunnelConn) SetReadBuffer(bytes int) error { return c.udp.SetReadBuffer(bytes) }

// SetWriteBuffer sets the size of the socket's send buffer.
func (c *tunnelConn) SetWriteBuffer(bytes int) error { return c.udp.SetWriteBuffer(bytes) }

func (c *tunnelConn) send(datagram []byte, to netip.AddrPort) {
	_, _ = c.udp.WriteToUDPAddrPort(datagram, to)
}

func (c *tunnelConn) setKeyring(r *connid.Ring) {
	if r != nil {
		c.keyring.Store(r)
	}
}

func (c *tunnelConn) hasKeyring() bool { return c.keyring.Load() != nil }

// GenerateConnectionID returns a connection ID that contains the encrypted address,
// service and incarnation of the agent.
func (c *tunnelConn) GenerateConnectionID() (quic.ConnectionID, error) {
	self := c.a.Self()
	owner := connid.Owner{Agent: self.Address, Service: self.Service, Incarnation: self.Incarnation}
	id := c.keyring.Load().Seal(owner, connid.Nonce(c.nonce.Add(1)))
	return quic.ConnectionIDFromBytes(id[:]), nil
}

// ConnectionIDLen returns the length of a connection ID in bytes.
func (c *tunnelConn) ConnectionIDLen() int { return connid.Length }

// verifySource reports whether QUIC must answer a new flow with a Retry. It must
// while balancers may choose different agents for the flow. The retried flow has a
// connection ID that names its agent.
func (c *tunnelConn) verifySource(addr net.Addr) bool {
	u, ok := addr.(*net.UDPAddr)
	if !ok {
		return true
	}
	c.mu.RLock()
	defer c.mu.RUnlock()
	r := c.routeByCaller[addrPort(u)]
	return r != nil && r.requireRetry.Load()
}

func addrPort(u *net.UDPAddr) netip.AddrPort {
	a := u.AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// runEarlyReader queues control datagrams until QUIC reads the socket.
func (c *tunnelConn) runEarlyReader() {
	defer close(c.earlyReaderDone)
	for {
		_ = c.SetReadDeadline(time.Now().Add(tickInterval))
		select {
		case <-c.quicReading:
			_ = c.SetReadDeadline(time.Time{})
			return
		default:
		}
		n, _, err := c.udp.ReadFromUDPAddrPort(c.buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			c.enqueueControl(c.buf[:n])
		}
	}
}

func (c *tunnelConn) stopEarlyReader() {
	close(c.quicReading)
	<-c.earlyReaderDone
}

func (c *tunnelConn) enqueueControl(datagram []byte) {
	if tunnel.KindOf(datagram) != tunnel.Control {
		c.a.metrics.Add("DatagramsEarly", 1)
		return
	}
	select {
	case c.controlQueue <- append([]byte(nil), datagram...):
	default:
		c.a.metrics.Add("ControlLost", 1)
	}
}

func (c *tunnelConn) handleControl() {
	for {
		select {
		case <-c.a.ctx.Done():
			return
		case d := <-c.controlQueue:
			if e := c.a.HandleDatagram(d); e != nil {
				c.a.peers.handleEnvelope(e)
			}
		}
	}
}

// ReadFrom reads the next datagram of a caller and returns the caller's address.
func (c *tunnelConn) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		n, from, err := c.udp.ReadFromUDPAddrPort(c.buf)
		if err != nil {
			return 0, nil, err
		}
		if tunnel.KindOf(c.buf[:n]) != tunnel.ToAgent {
			c.enqueueControl(c.buf[:n])
			continue
		}
		h, payload, err := tunnel.Open(c.buf[:n], c.a.Identity.Tunnel)
		if err != nil {
			c.a.metrics.Add("DatagramsRefused", 1)
			continue
		}
		if !c.acceptDatagram(h, payload) {
			continue
		}
		r := c.updateRoute(h, from)
		return copy(p, payload), r.callerAddr, nil
	}
}

// acceptDatagram repeats the balancer's checks of a datagram and reports whether
// to pass it to QUIC.
func (c *tunnelConn) acceptDatagram(h tunnel.Header, payload []byte) bool {
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
	owner, err := c.opener.Open(c.keyring.Load(), id)
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
	return c.acceptNewFlow(h, payload, placement.HashConnectionID(id))
}

// acceptNewFlow reports whether to pass a datagram of a new flow to QUIC. If this agent
// rejects flows and has accepted no datagram of this one, it forwards the datagram to
// the agent that is the balancer's second choice, if any. No datagram is forwarded
// twice.
func (c *tunnelConn) acceptNewFlow(h tunnel.Header, payload []byte, flow placement.FlowHash) bool {
	c.mu.Lock()
	_, known := c.recentFlows[flow]
	rejecting := c.a.rejectsFlows()
	if !rejecting || known {
		c.recentFlows[flow] = time.Now()
	}
	c.mu.Unlock()
	if !rejecting || known || !h.SecondChoice.IsValid() || h.Flags&tunnel.Forwarded != 0 {
		return true
	}
	b := c.buffers.Get().(*[]byte)
	defer c.buffers.Put(b)
	n := copy((*b)[tunnel.HeaderLength:], payload)
	h.Flags |= tunnel.Forwarded
	tunnel.Put((*b)[:tunnel.HeaderLength+n], h, c.a.Identity.Tunnel)
	c.send((*b)[:tunnel.HeaderLength+n], h.SecondChoice)
	c.a.metrics.Add("FlowsForwarded", 1)
	c.a.Decision("FlowForwarded", "Caller", h.Caller, "To", h.SecondChoice, "Reason", "Full")
	return false
}

// updateRoute records the balancer that a caller's datagram came through. A
// forwarded datagram comes from a peer and does not change the balancer.
func (c *tunnelConn) updateRoute(h tunnel.Header, from netip.AddrPort) *route {
	c.mu.RLock()
	r := c.routeByCaller[h.Caller]
	c.mu.RUnlock()
	if r == nil {
		r = &route{callerAddr: net.UDPAddrFromAddrPort(h.Caller), serviceAddr: h.ServiceAddress}
		c.mu.Lock()
		if old := c.routeByCaller[h.Caller]; old != nil {
			r = old
		} else {
			c.routeByCaller[h.Caller] = r
		}
		c.mu.Unlock()
	}
	r.lastHeard.Store(int64(c.a.Now()))
	r.requireRetry.Store(h.Flags&tunnel.Unsettled != 0)
	if h.Flags&tunnel.Forwarded == 0 {
		if old := r.balancer.Load(); old == nil || *old != from {
			r.balancer.Store(&from)
		}
	}
	return r
}

// WriteTo sends a datagram to a caller through a balancer.
func (c *tunnelConn) WriteTo(p []byte, addr net.Addr) (int, error) {
	u, ok := addr.(*net.UDPAddr)
	if !ok {
		return 0, net.ErrClosed
	}
	caller := addrPort(u)
	c.mu.RLock()
	r := c.routeByCaller[caller]
	c.mu.RUnlock()
	if r == nil {
		return len(p), nil
	}
	to, ok := c.balancerFor(r)
	if !ok {
		return len(p), nil
	}
	b := c.buffers.Get().(*[]byte)
	defer c.buffers.Put(b)
	n := copy((*b)[tunnel.HeaderLength:], p)
	h := tunnel.Header{Kind: tunnel.ToBalancer, Service: c.a.Self().Service, Caller: caller, ServiceAddress: r.serviceAddr}
	tunnel.Put((*b)[:tunnel.HeaderLength+n], h, c.a.Identity.Tunnel)
	if _, err := c.udp.WriteToUDPAddrPort((*b)[:tunnel.HeaderLength+n], to); errors.Is(err, net.ErrClosed) {
		return 0, err
	}
	return len(p), nil
}

// balancerFor returns the balancer that the caller's last datagram came through.
// If that was longer ago than balancerSilenceTimeout, or the balancer has left, it
// rotates among all known balancers.
func (c *tunnelConn) balancerFor(r *route) (netip.AddrPort, bool) {
	last := r.balancer.Load()
	if last != nil && c.a.Now().Sub(instant.Instant(r.lastHeard.Load())) < balancerSilenceTimeout && !c.hasLeft(*last) {
		return *last, true
	}
	contacts := c.a.Contacts()
	if len(contacts) == 0 {
		if last == nil {
			return netip.AddrPort{}, false
		}
		return *last, true
	}
	return contacts[int(c.nextBalancer.Add(1))%len(contacts)], true
}

func (c *tunnelConn) hasLeft(balancer netip.AddrPort) bool {
	left := false
	c.a.WithView(func(v *membership.View, _ *catalogue.Catalogue) {
		m, ok := v.Member(balancer)
		left = ok && !m.IsLive()
	})
	return left
}

// removeExpired deletes the routes of callers that were silent for twice the idle
// timeout of a flow, and recent flows older than recentFlowTTL.
func (c *tunnelConn) removeExpired() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.a.Now()
	for caller, r := range c.routeByCaller {
		if now.Sub(instant.Instant(r.lastHeard.Load())) > 2*idleTimeout {
			delete(c.routeByCaller, caller)
		}
	}
	for id, at := range c.recentFlows {
		if time.Since(at) > recentFlowTTL {
			delete(c.recentFlows, id)
		}
	}
}

func (c *tunnelConn) routeCount() int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return len(c.routeByCaller)
}
