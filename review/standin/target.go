package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// workTime is how long a target works on a request.
const workTime = 30 * time.Millisecond

// targetFlow is a target's end of a flow.
type targetFlow struct {
	seq uint32
	// clientSeq is the sequence number of the client's next data.
	clientSeq   uint32
	open, ended bool
	// answers holds the encoded answers by the sequence number of the request, nil while
	// the target works on it.
	answers map[uint32][]byte
}

// target is one incarnation of the target beside an agent.
type target struct {
	f    *fleet
	m    *machine
	id   string
	born int64

	udp    *net.UDPConn
	health *http.Server

	mu sync.Mutex
	// control is the address that the next calls go to.
	control  string
	alive    bool
	draining bool
	// drainAcked is when the first draining heartbeat was acknowledged.
	drainAcked time.Time
	lastAcked  time.Time
	sequence   int
	flows      map[flowID]*targetFlow
	// opened holds the arrival times of the first packets of the flows that it accepted.
	opened map[flowID]time.Time
	// arrivals holds the arrival times of all packets but the first ones, also of flows that
	// it does not hold.
	arrivals map[flowID][]time.Time
}

// startTarget starts a target on a machine. clock is how far the time of day of its machine
// is ahead.
func (f *fleet) startTarget(m *machine, id string, clock time.Duration) (*target, error) {
	udp, err := net.ListenUDP("udp4", m.udpAddr(portApp))
	if err != nil {
		return nil, err
	}
	tcp, err := net.Listen("tcp4", m.addr(portApp))
	if err != nil {
		return nil, err
	}
	t := &target{
		f: f, m: m, id: id, born: time.Now().Add(clock).UnixMilli(), udp: udp, alive: true, control: m.addr(portControl),
		flows: make(map[flowID]*targetFlow), opened: make(map[flowID]time.Time),
		arrivals: make(map[flowID][]time.Time),
	}
	t.health = &http.Server{Handler: http.HandlerFunc(t.serveHealth), ReadHeaderTimeout: time.Second}
	go func() { _ = t.health.Serve(tcp) }()
	f.onClose(t.stop)
	f.add("target starts", "id", id, "machine", m.name, "service", m.service, "born", t.born, "clock", clock)
	go t.readPackets()
	go t.sendHeartbeats()
	return t, nil
}

func (t *target) serveHealth(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.URL.Path != "/health" || t.draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// stop ends the target without a word, as a crash does. Its sockets close.
func (t *target) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.alive {
		return
	}
	t.alive = false
	t.flows = make(map[flowID]*targetFlow)
	_ = t.udp.Close()
	_ = t.health.Close()
	t.f.add("target ends", "id", t.id)
}

func (t *target) isAlive() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.alive
}

func (t *target) sendHeartbeats() {
	for t.isAlive() {
		t.sendHeartbeat()
		time.Sleep(heartbeatEvery)
	}
}

// call sends a heartbeat to the agent and returns the status, 0 if there was no answer.
func (t *target) call(body []byte) (status int) {
	t.mu.Lock()
	control := t.control
	t.mu.Unlock()
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Post("http://"+control+heartbeatPath+t.id, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}

// callThrough makes the next calls go to another address.
func (t *target) callThrough(control string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.control = control
}

// sendHeartbeat sends one heartbeat to the agent and reports whether it was acknowledged.
func (t *target) sendHeartbeat() bool {
	t.mu.Lock()
	t.sequence++
	sequence, draining, state := t.sequence, t.draining, "ready"
	if draining {
		state = "draining"
	}
	t.mu.Unlock()
	sent := time.Now()
	body, err := encodeMessage("heartbeat", heartbeatMessage{
		Service: t.m.service, Address: t.m.addr(portApp), Zone: t.m.zone, State: state, Slots: targetSlots, Sequence: sequence, Born: t.born,
	})
	if err != nil {
		t.f.add("heartbeat failed", "reason", err)
		return false
	}
	status := t.call(body)
	t.f.add("heartbeat", "id", t.id, "born", t.born, "sequence", sequence, "state", state, "status", status, "took", time.Since(sent).Round(time.Millisecond))
	acked := status/100 == 2
	t.mu.Lock()
	defer t.mu.Unlock()
	if acked {
		t.lastAcked = time.Now()
	}
	if acked && draining && t.drainAcked.IsZero() {
		t.drainAcked = time.Now()
	}
	return acked
}

// awaitHeartbeat waits until the next heartbeat has been acknowledged.
func (t *target) awaitHeartbeat() {
	start := time.Now()
	for end := start.Add(3 * heartbeatEvery); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		t.mu.Lock()
		acked := t.lastAcked.After(start)
		t.mu.Unlock()
		if acked {
			return
		}
	}
}

// drain makes the target report that it drains and returns when that was acknowledged.
func (t *target) drain() (acked time.Time) {
	t.mu.Lock()
	t.draining = true
	t.mu.Unlock()
	t.sendHeartbeat()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.drainAcked
}

// holds reports whether the target is alive and holds an open flow.
func (t *target) holds(id flowID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.flows[id]
	return t.alive && x != nil && x.open && !x.ended
}

func (t *target) readPackets() {
	buf := make([]byte, 2048)
	for {
		n, err := t.udp.Read(buf)
		if err != nil {
			return
		}
		t.handlePacket(buf[:n])
	}
}

// send sends a packet to the agent. One that is lost is sent again when the client repeats
// its own.
func (t *target) send(packet []byte) {
	_, _ = t.udp.WriteTo(packet, t.m.udpAddr(portOutbound))
}

func (t *target) handlePacket(b []byte) {
	h, data, genuine := parse(b)
	if !genuine || h.Flags&flagBounced != 0 || h.Flags&(flagSyn|flagAck) == flagSyn|flagAck {
		t.f.add("foreign packet", "target", t.id, "header", fmt.Sprintf("%+v", h))
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.alive {
		return
	}
	id := flowOfClientPacket(h)
	x := t.flows[id]
	if h.Flags&flagSyn == 0 {
		t.arrivals[id] = append(t.arrivals[id], time.Now())
	}
	switch {
	case h.Flags&flagSyn != 0:
		if x == nil {
			x = &targetFlow{seq: rand.Uint32(), clientSeq: h.Seq + 1, answers: make(map[uint32][]byte)}
			t.flows[id], t.opened[id] = x, time.Now()
			t.f.add("target accepts", "id", t.id, "flow", id, "draining", t.draining)
		}
		t.send(id.toClient(flagSyn|flagAck, x.seq, x.clientSeq).encode(nil))
	case x == nil || !x.open && h.Ack != x.seq+1:
		h.Flags, h.Pad = h.Flags|flagBounced, [3]byte{}
		t.f.add("target bounces", "id", t.id, "flow", id)
		t.send(h.encode(data))
	case h.Flags&flagRst != 0:
		delete(t.flows, id)
	case x.ended:
		if len(data) > 0 {
			t.send(id.toClient(flagRst, x.seq+1, 0).encode(nil))
		}
	default:
		t.handleOpen(id, x, h, data)
	}
}

// handleOpen handles a packet of a flow that the target holds. The caller holds the lock.
func (t *target) handleOpen(id flowID, x *targetFlow, h header, data []byte) {
	if !x.open {
		x.open = true
		t.f.add("flow opens", "target", t.id, "flow", id)
	}
	if h.Flags&flagFin != 0 {
		x.ended = true
		t.send(id.toClient(flagFin|flagAck, x.seq+1, h.Seq+1).encode(nil))
		return
	}
	if len(data) == 0 {
		return
	}
	if answer, known := x.answers[h.Seq]; known {
		if answer == nil {
			t.send(id.toClient(flagAck, x.seq+1, h.Seq+uint32(len(data))).encode(nil))
		} else {
			t.send(answer)
		}
		return
	}
	if h.Seq != x.clientSeq {
		return
	}
	x.clientSeq += uint32(len(data))
	x.answers[h.Seq] = nil
	request := requestID(data)
	t.f.add("target runs", "id", t.id, "flow", id, "request", request)
	seq, ack := x.seq+1, x.clientSeq
	time.AfterFunc(workTime, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if !t.alive {
			return
		}
		body := "stamp of " + request
		answer := []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nServer-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", request, len(body), body))
		x.seq += uint32(len(answer))
		x.answers[h.Seq] = id.toClient(flagAck, seq, ack).encode(answer)
		t.send(x.answers[h.Seq])
	})
}

// requestID returns the id in a request's header.
func requestID(data []byte) string {
	for _, line := range strings.Split(string(data), "\r\n") {
		if id, ok := strings.CutPrefix(line, "Request-Id: "); ok {
			return id
		}
	}
	return ""
}
