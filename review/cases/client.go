package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Timeouts and retries of clients.
const (
	openTimeout           = 1400 * time.Millisecond
	minRetransmitInterval = 200 * time.Millisecond
	maxRetransmitInterval = 1600 * time.Millisecond
	requestDeadline       = 2500 * time.Millisecond
)

// synTimes is when a client sends the first packet of a flow and its copies.
var synTimes = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// client is one client address with many flows.
type client struct {
	fleet *fleet
	zone  int
	ip    netip.Addr
	conn  *net.UDPConn

	mu    sync.Mutex
	port  uint16
	flows map[flowID]*clientFlow
}

// clientFlow is the client's end of a flow.
type clientFlow struct {
	*client
	id       flowID
	seq      uint32
	openedAt time.Time
	// sent is the number of bytes of completed requests, ack the position after the target's bytes.
	sent, ack uint32
	open      bool
	events    chan clientEvent
}

// clientEvent is what arrives for a flow.
type clientEvent struct {
	opened, reset, closed bool
	answer                []byte
}

func (f *fleet) startClient(zone, n int) (*client, error) {
	ip := f.network.Addr(byte(100+zone), byte(n+1))
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, f.ports.callers)))
	if err != nil {
		return nil, err
	}
	c := &client{fleet: f, zone: zone, ip: ip, conn: conn, port: 1024, flows: make(map[flowID]*clientFlow)}
	f.closers = append(f.closers, func() { _ = conn.Close() })
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
		h, data, ok := parsePacket(buf[:n])
		if !ok && !h.isSystemReset() {
			c.fleet.rec.breakRule("MIXED: client %v got a packet that no target wrote: %+v", c.ip, h)
			continue
		}
		c.handlePacket(h, bytes.Clone(data))
	}
}

func (c *client) handlePacket(h header, data []byte) {
	c.mu.Lock()
	f := c.flows[h.toClient()]
	if f == nil {
		c.mu.Unlock()
		return
	}
	e := clientEvent{}
	wasOpen := f.open
	switch {
	case h.Flags&flagRst != 0:
		e.reset = true
	case h.Flags&flagSyn != 0:
		if !f.open {
			f.open, f.ack, f.openedAt = true, h.Seq+1, time.Now()
		}
		e.opened = true
	case len(data) > 0:
		if h.Seq == f.ack {
			f.ack += uint32(len(data))
			e.answer = data
		}
	case h.Flags&flagFin != 0:
		e.closed = true
	}
	openedAt := f.openedAt
	c.mu.Unlock()
	if e.reset && h.isSystemReset() && wasOpen {
		c.fleet.checkReset(f.id, openedAt)
	}
	select {
	case f.events <- e:
	default:
	}
}

// newFlow returns a flow from a new port.
func (c *client) newFlow(address endpoint) *clientFlow {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.port++
	f := &clientFlow{client: c, id: flowID{endpoint{ipNumber(c.ip), c.port}, address}, seq: rand.Uint32(), events: make(chan clientEvent, 32)}
	c.flows[f.id] = f
	return f
}

// send sends a packet through the router of the client's zone.
func (f *clientFlow) send(flags uint8, data []byte) {
	h := f.id.clientHeader()
	f.mu.Lock()
	h.Flags, h.Seq, h.Ack = flags, f.seq+1+f.sent, f.ack
	f.mu.Unlock()
	f.transmit(h, data)
}

func (f *clientFlow) transmit(h header, data []byte) {
	if m := f.fleet.frontFor(f.zone, f.id); m != nil {
		_, _ = f.conn.WriteTo(h.packet(data), m.udp(f.fleet.ports.callers))
	}
}

// await returns the first event that arrives before a time, ok is false if there is none.
func (f *clientFlow) await(until time.Time) (e clientEvent, ok bool) {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case e = <-f.events:
		return e, true
	case <-t.C:
		return e, false
	}
}

// openFlow opens the flow and reports whether it is open.
func (f *clientFlow) openFlow() bool {
	start := time.Now()
	for i, at := range append(synTimes, openTimeout) {
		for {
			e, ok := f.await(start.Add(at))
			if !ok {
				break
			}
			if e.opened {
				return true
			}
			if e.reset {
				return false
			}
		}
		if i < len(synTimes) {
			h := f.id.clientHeader()
			h.Flags, h.Seq, h.Ack = flagSyn, f.seq, uint32(i)
			f.transmit(h, nil)
		}
	}
	return false
}

// request sends a request on an open flow and returns how it ended: "200", "503", "reset",
// "closed" or "no answer".
func (f *clientFlow) request(method string) (outcome string) {
	number := f.fleet.newRequest()
	data := fmt.Appendf(nil, "%s /x HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", method, number)
	f.fleet.rec.log("client sends request %s (%s) on %v", number, method, f.id)
	defer func() { f.fleet.rec.log("request %s ends: %s", number, outcome) }()
	end := time.Now().Add(requestDeadline)
	for interval := minRetransmitInterval; time.Now().Before(end); interval = min(2*interval, maxRetransmitInterval) {
		f.send(flagAck, data)
		next := time.Now().Add(interval)
		if next.After(end) {
			next = end
		}
		for {
			e, ok := f.await(next)
			if !ok {
				break
			}
			switch {
			case e.reset:
				return "reset"
			case e.closed:
				return "closed"
			case e.answer != nil:
				f.mu.Lock()
				f.sent += uint32(len(data))
				f.mu.Unlock()
				return f.checkAnswer(number, e.answer)
			}
		}
	}
	return "no answer"
}

// checkAnswer returns the status of an answer, which has to belong to the request.
func (f *clientFlow) checkAnswer(number string, answer []byte) string {
	if bytes.HasPrefix(answer, []byte("HTTP/1.1 503")) {
		return "503"
	}
	if !bytes.HasPrefix(answer, []byte("HTTP/1.1 200")) || !bytes.Contains(answer, []byte("-"+number+"\r\n")) || !bytes.HasSuffix(answer, []byte("\r\n\r\n"+number)) {
		f.fleet.rec.breakRule("MIXED: request %s got %q", number, answer)
	}
	return "200"
}

// close ends the flow.
func (f *clientFlow) close() {
	f.send(flagFin|flagAck, nil)
	f.client.mu.Lock()
	defer f.client.mu.Unlock()
	delete(f.flows, f.id)
}
