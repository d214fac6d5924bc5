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

// Timing of clients.
const (
	openTimeout     = 1400 * time.Millisecond
	requestDeadline = 2500 * time.Millisecond
)

// client opens flows from one address.
type client struct {
	rec    *record
	ip     netip.Addr
	conn   *net.UDPConn
	router func(id flowID) (netip.AddrPort, bool)

	mu    sync.Mutex
	port  uint16
	flows map[flowID]*clientFlow
}

// clientFlow is the client's end of a flow.
type clientFlow struct {
	c        *client
	id       flowID
	seq, ack uint32
	open     bool
	// resets counts the resets of the system on the open flow.
	resets  int
	packets chan packet
	number  int
}

func startClient(rec *record, ip netip.Addr, router func(id flowID) (netip.AddrPort, bool)) (*client, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, portDatagrams)))
	if err != nil {
		return nil, err
	}
	c := &client{rec: rec, ip: ip, conn: conn, router: router, port: 20000, flows: make(map[flowID]*clientFlow)}
	go c.read()
	return c, nil
}

func (c *client) read() {
	buf := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		p, valid := parse(buf[:n])
		id := flowID{p.dst, p.src}
		c.mu.Lock()
		f := c.flows[id]
		switch {
		case f == nil:
		case p.isSystemReset():
			if f.open {
				f.resets++
				c.rec.printf("client: reset of the system on open flow %v: %v, last ack %d", id, p, f.ack)
			} else {
				c.rec.printf("client: reset of the system on flow %v, which is not open", id)
			}
			f.deliver(p)
		case !valid:
			c.rec.violate("MIXED", "client got a packet that its sender did not write so: %v", p)
		default:
			f.deliver(p)
		}
		c.mu.Unlock()
	}
}

func (f *clientFlow) deliver(p packet) {
	select {
	case f.packets <- p:
	default:
	}
}

func (f *clientFlow) send(p packet) {
	p.src, p.dst = f.id.client, f.id.address
	if to, ok := f.c.router(f.id); ok {
		_, _ = f.c.conn.WriteToUDPAddrPort(p.encode(), to)
	}
}

// openFlow opens a flow to a service address; it returns nil if that fails.
func (c *client) openFlow(address endpoint) *clientFlow {
	c.mu.Lock()
	c.port++
	f := &clientFlow{c: c, id: flowID{endpointOf(netip.AddrPortFrom(c.ip, c.port)), address}, seq: rand.Uint32(), packets: make(chan packet, 64)}
	c.flows[f.id] = f
	c.mu.Unlock()
	start := time.Now()
	for i, at := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		time.Sleep(time.Until(start.Add(at)))
		f.send(packet{flags: flagSyn, seq: f.seq, ack: uint32(i)})
		until := start.Add(openTimeout)
		if i < 2 {
			until = start.Add([]time.Duration{200 * time.Millisecond, 600 * time.Millisecond}[i])
		}
		for time.Now().Before(until) {
			p, ok := f.next(until)
			if !ok {
				break
			}
			if p.isSystemReset() {
				return nil
			}
			if p.flags&flagSyn == 0 {
				continue
			}
			c.mu.Lock()
			f.seq, f.ack, f.open = f.seq+1, p.seq+1, true
			c.mu.Unlock()
			f.send(packet{flags: flagAck, seq: f.seq, ack: f.ack})
			return f
		}
	}
	return nil
}

func (f *clientFlow) next(until time.Time) (packet, bool) {
	select {
	case p := <-f.packets:
		return p, true
	case <-time.After(time.Until(until)):
		return packet{}, false
	}
}

// request sends a request and waits for its answer: "ok", "reset" or "none".
func (f *clientFlow) request() string {
	f.number++
	text := fmt.Sprintf("request %v/%d", f.id, f.number)
	f.c.rec.sent(text)
	p := packet{flags: flagAck, seq: f.seq, ack: f.ack, data: []byte(text)}
	end := time.Now().Add(requestDeadline)
	for wait := 200 * time.Millisecond; time.Now().Before(end); wait = min(2*wait, 1600*time.Millisecond) {
		f.send(p)
		until := time.Now().Add(wait)
		if until.After(end) {
			until = end
		}
		for {
			q, ok := f.next(until)
			if !ok {
				break
			}
			if q.flags&flagRst != 0 {
				f.c.rec.answered(text, "reset")
				return "reset"
			}
			if len(q.data) == 0 {
				continue
			}
			if !strings.HasPrefix(string(q.data), "answer to "+text+" from ") {
				if q.seq == f.ack {
					f.c.rec.violate("MIXED", "%s got %q", text, q.data)
				}
				continue
			}
			f.c.mu.Lock()
			f.seq += uint32(len(p.data))
			f.ack = q.seq + uint32(len(q.data))
			f.c.mu.Unlock()
			f.send(packet{flags: flagAck, seq: f.seq, ack: f.ack})
			f.c.rec.answered(text, "ok")
			return "ok"
		}
	}
	f.c.rec.answered(text, "none")
	return "none"
}

// resetCount returns the number of resets of the system on the open flow.
func (f *clientFlow) resetCount() int {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	return f.resets
}
