package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// heartbeatEvery is the interval of heartbeats, as in the settings.
const heartbeatEvery = 1200 * time.Millisecond

// targetFlow is the target's end of a flow.
type targetFlow struct {
	seq         uint32
	open, ended bool
	answered    map[string][]byte
}

// target is one incarnation of a target beside an agent. It answers each request in one packet.
type target struct {
	rec  *record
	node *node
	id   string
	// born is the start by the clock of its machine.
	born int64
	conn *net.UDPConn
	tcp  net.Listener
	work time.Duration
	// firstBeatAfter is how long after its start the target sends its first heartbeat.
	firstBeatAfter time.Duration

	mu                sync.Mutex
	sequence          int64
	draining, crashed bool
	flows             map[flowID]*targetFlow
	acked             int
	lastAck           time.Time
	done              chan struct{}
}

// startTarget starts a target whose machine's clock is off by clockError.
func startTarget(rec *record, n *node, id string, clockError time.Duration) (*target, error) {
	return startTargetLater(rec, n, id, clockError, 0)
}

// startTargetLater starts a target that sends its first heartbeat some time after its start.
func startTargetLater(rec *record, n *node, id string, clockError, firstBeatAfter time.Duration) (*target, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(n.addr(portApp)))
	if err != nil {
		return nil, err
	}
	tcp, err := net.Listen("tcp4", n.addr(portApp).String())
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	t := &target{
		rec: rec, node: n, id: id, born: time.Now().Add(clockError).UnixMilli(), conn: conn, tcp: tcp, work: 20 * time.Millisecond, firstBeatAfter: firstBeatAfter,
		flows: make(map[flowID]*targetFlow), done: make(chan struct{}),
	}
	rec.printf("target %s starts beside %s, born=%d (clock off by %v)", id, n.name, t.born, clockError)
	go t.serveHealth()
	go t.read()
	go t.beat()
	return t, nil
}

// serveHealth accepts connections and answers health checks.
func (t *target) serveHealth() {
	_ = http.Serve(t.tcp, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
}

// beat sends heartbeats until the target ends.
func (t *target) beat() {
	time.Sleep(t.firstBeatAfter)
	for {
		t.sendHeartbeat()
		select {
		case <-t.done:
			return
		case <-time.After(heartbeatEvery):
		}
	}
}

// heartbeat returns the next heartbeat.
func (t *target) heartbeat() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	state := "ready"
	if t.draining {
		state = "draining"
	}
	b, _ := json.Marshal(map[string]any{
		"service": t.node.service, "address": t.node.addr(portApp).String(), "zone": t.node.zone, "version": "v1", "capacity": 4,
		"state": state, names.WarmUpLeft: 0, "sequence": t.sequence, "born": t.born,
	})
	return b
}

func (t *target) sendHeartbeat() {
	ok := post(t.node.addr(portControl), names.HeartbeatPath+t.id, t.heartbeat())
	t.mu.Lock()
	defer t.mu.Unlock()
	if ok {
		t.acked++
		t.lastAck = time.Now()
	}
	t.rec.printf("heartbeat of %s, sequence %d, acknowledged: %v", t.id, t.sequence, ok)
}

// acknowledged returns the number of acknowledged heartbeats.
func (t *target) acknowledged() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.acked
}

// lastAcknowledged returns when a heartbeat was last acknowledged.
func (t *target) lastAcknowledged() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastAck
}

// post makes a control call and reports whether it was acknowledged.
func post(to netip.AddrPort, path string, body []byte) bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Post("http://"+to.String()+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode/100 == 2
}

// crash ends the target without a word. Its ports refuse connections then.
func (t *target) crash() {
	t.mu.Lock()
	t.crashed, t.flows = true, nil
	t.mu.Unlock()
	close(t.done)
	_ = t.conn.Close()
	_ = t.tcp.Close()
	t.rec.printf("target %s crashes", t.id)
}

// drain reports that the target is draining, serves for some time after the acknowledgement,
// says that it leaves and ends. It reports whether the agent acknowledged.
func (t *target) drain(serveFor time.Duration) bool {
	t.mu.Lock()
	t.draining = true
	acked := t.acked
	t.mu.Unlock()
	t.sendHeartbeat()
	if t.acknowledged() == acked {
		return false
	}
	t.rec.printf("target %s is draining, acknowledged", t.id)
	time.Sleep(serveFor)
	post(t.node.addr(portControl), names.LeavePath+t.id, []byte("{}"))
	t.mu.Lock()
	t.crashed, t.flows = true, nil
	t.mu.Unlock()
	close(t.done)
	_ = t.conn.Close()
	_ = t.tcp.Close()
	t.rec.printf("target %s has left", t.id)
	return true
}

// holds reports whether the target holds an open flow.
func (t *target) holds(id flowID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.flows[id]
	return !t.crashed && f != nil && f.open && !f.ended
}

func (t *target) read() {
	buf := make([]byte, 2048)
	for {
		n, _, err := t.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		p, valid := parse(buf[:n])
		if !valid || p.flags&flagBounced != 0 || p.flags&(flagSyn|flagAck) == flagSyn|flagAck {
			t.rec.violate("UNASKED", "target %s got a packet that its sender did not write so: %v", t.id, p)
			continue
		}
		t.handle(p, append([]byte(nil), buf[:n]...))
	}
}

func (t *target) send(b []byte) {
	_, _ = t.conn.WriteToUDPAddrPort(b, t.node.addr(portOutbound))
}

func (t *target) handle(p packet, raw []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := flowID{p.src, p.dst}
	if p.flags&flagSyn == 0 {
		t.rec.arrived(id, t.id)
	}
	reply := packet{src: id.address, dst: id.client, flags: flagAck, ack: p.seq + uint32(len(p.data))}
	f := t.flows[id]
	switch {
	case t.crashed:
		return
	case p.flags&flagSyn != 0:
		if f == nil {
			f = &targetFlow{seq: rand.Uint32(), answered: make(map[string][]byte)}
			t.flows[id] = f
		}
		reply.flags, reply.seq, reply.ack = flagSyn|flagAck, f.seq, p.seq+1
		t.send(reply.encode())
		return
	case f == nil || !f.open && p.ack != f.seq+1:
		raw[26] |= flagBounced
		t.send(raw)
		return
	case p.flags&flagRst != 0:
		f.ended = true
		return
	case f.ended && len(p.data) > 0:
		reply.flags = flagRst
		t.send(reply.encode())
		return
	}
	if !f.open {
		f.open = true
		t.rec.printf("flow %v opens at %s", id, t.id)
	}
	reply.seq = p.ack
	if p.flags&flagFin != 0 {
		f.ended = true
		reply.flags |= flagFin
		reply.ack++
		t.send(reply.encode())
		return
	}
	if len(p.data) > 0 {
		t.run(id, f, reply, string(p.data))
	}
}

// run answers a request after its work, or again if it has run. The caller holds the lock.
func (t *target) run(id flowID, f *targetFlow, reply packet, request string) {
	if answer, known := f.answered[request]; known {
		if answer != nil {
			reply.data = answer
			t.send(reply.encode())
		}
		return
	}
	f.answered[request] = nil
	t.rec.ran(request, t.id)
	time.AfterFunc(t.work, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.crashed {
			return
		}
		reply.data = []byte(fmt.Sprintf("answer to %s from %s", request, t.id))
		f.answered[request] = reply.data
		t.send(reply.encode())
	})
}
