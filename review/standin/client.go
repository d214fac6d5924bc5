package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// Times of clients.
const (
	openTimeout   = 1400 * time.Millisecond
	minRetransmit = 200 * time.Millisecond
	maxRetransmit = 1600 * time.Millisecond
	// resetWindow is how far the sequence number of a reset may be from the client's last
	// acknowledgement.
	resetWindow = 76800
)

// client is a machine of clients with one address.
type client struct {
	f    *fleet
	ip   netip.Addr
	conn *net.UDPConn

	mu    sync.Mutex
	port  uint16
	flows map[flowID]*clientFlow
}

// clientFlow is a client's end of a flow.
type clientFlow struct {
	c        *client
	id       flowID
	seq, ack uint32
	open     bool
	// resetBySystem is when a reset that the system wrote ended the flow.
	resetBySystem time.Time
	events        chan event
}

// event is what arrives for a flow.
type event struct {
	opened, reset bool
	answer        string
}

func (f *fleet) startClient(n byte) (*client, error) {
	ip := f.network.Addr(200, n)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, portDatagram)))
	if err != nil {
		return nil, err
	}
	c := &client{f: f, ip: ip, conn: conn, port: 40000, flows: make(map[flowID]*clientFlow)}
	f.onClose(func() { _ = conn.Close() })
	go c.readPackets()
	return c, nil
}

func (c *client) readPackets() {
	buf := make([]byte, 2048)
	for {
		n, err := c.conn.Read(buf)
		if err != nil {
			return
		}
		h, data, genuine := parse(buf[:n])
		c.handlePacket(h, string(data), genuine)
	}
}

func (c *client) handlePacket(h header, data string, genuine bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.flows[flowOfTargetPacket(h)]
	if x == nil {
		return
	}
	e := event{}
	switch {
	case h.isSystemReset():
		if d := int32(h.Seq - x.ack); x.open && max(d, -d) > resetWindow {
			return
		}
		if x.open {
			x.resetBySystem = time.Now()
		}
		c.f.add("client gets a reset of the system", "flow", x.id, "open", x.open)
		e.reset = true
	case !genuine:
		c.f.add("foreign packet", "flow", x.id)
		return
	case h.Flags&flagRst != 0:
		c.f.add("client gets a reset of the target", "flow", x.id)
		e.reset = true
	case h.Flags&flagSyn != 0:
		if x.open {
			return
		}
		x.open, x.ack, e.opened = true, h.Seq+1, true
	case data != "" && h.Seq == x.ack:
		x.ack += uint32(len(data))
		e.answer = data
		x.send(flagAck, nil)
	default:
		return
	}
	select {
	case x.events <- e:
	default:
	}
}

// send sends a packet through the frontend that the routers choose now.
func (x *clientFlow) send(flags uint8, data []byte) {
	h := x.id.fromClient(flags, x.seq, x.ack)
	m := x.c.f.frontendFor(x.id)
	_, _ = x.c.conn.WriteTo(h.encode(data), m.udpAddr(portDatagram))
}

// await waits for an event until a time.
func (x *clientFlow) await(until time.Time) (e event, ok bool) {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case e = <-x.events:
		return e, true
	case <-t.C:
		return e, false
	}
}

// openFlow opens a flow to a route and completes the handshake. It returns nil if the flow
// does not open.
func (c *client) openFlow(route endpoint) *clientFlow {
	c.mu.Lock()
	c.port++
	x := &clientFlow{c: c, id: flowID{endpoint{ipOf(c.ip), c.port}, route}, seq: rand.Uint32(), events: make(chan event, 16)}
	c.flows[x.id] = x
	c.mu.Unlock()
	start := time.Now()
	first := x.id.fromClient(flagSyn, x.seq, 0)
	for i, next := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, openTimeout} {
		first.Ack = uint32(i)
		m := c.f.frontendFor(x.id)
		c.f.add("client sends SYN", "flow", x.id, "copy", i, "through", m.name)
		_, _ = c.conn.WriteTo(first.encode(nil), m.udpAddr(portDatagram))
		e, ok := x.await(start.Add(next))
		if !ok {
			continue
		}
		if e.reset {
			return nil
		}
		c.mu.Lock()
		x.seq++
		x.send(flagAck, nil)
		c.mu.Unlock()
		return x
	}
	return nil
}

// outcome is how a request ended for its client.
type outcome string

const (
	answered outcome = "answered"
	wasReset outcome = "reset"
	deadline outcome = "deadline"
)

// request sends a request on an open flow and waits for the answer.
func (x *clientFlow) request(id string, timeout time.Duration) outcome {
	data := []byte(fmt.Sprintf("POST /orders HTTP/1.1\r\nHost: service\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", id))
	end := time.Now().Add(timeout)
	x.c.f.add("client sends", "flow", x.id, "request", id, "through", x.c.f.frontendFor(x.id).name)
	result := deadline
	for interval := minRetransmit; result == deadline && time.Now().Before(end); interval = min(2*interval, maxRetransmit) {
		x.c.mu.Lock()
		x.send(flagAck, data)
		x.c.mu.Unlock()
		next := time.Now().Add(interval)
		if next.After(end) {
			next = end
		}
		for {
			e, ok := x.await(next)
			if !ok {
				break
			}
			if e.reset {
				result = wasReset
				break
			}
			if strings.Contains(e.answer, "Server-Stamp: "+id+"\r\n") {
				result = answered
				break
			}
		}
	}
	x.c.mu.Lock()
	x.seq += uint32(len(data))
	x.c.mu.Unlock()
	x.c.f.add("client ends", "flow", x.id, "request", id, "outcome", result)
	return result
}

// wasResetBySystem reports whether a reset of the system ended the open flow.
func (x *clientFlow) wasResetBySystem() bool {
	x.c.mu.Lock()
	defer x.c.mu.Unlock()
	return !x.resetBySystem.IsZero()
}
