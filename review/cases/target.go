package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Times and sizes of a target.
const (
	targetSlots = 4
	targetQueue = 16
	targetWork  = 25 * time.Millisecond
	// ackTimeout is how long a target waits for the acknowledgement of a heartbeat.
	ackTimeout = time.Second
	// daemonStopDelay is how long after the end of a target the daemon beside it is stopped, as on
	// the bench.
	daemonStopDelay = 2 * time.Second
)

// targetFlow is the target's end of a flow.
type targetFlow struct {
	seq, clientSeq uint32
	open, ended    bool
	// received is the number of the client's bytes that have arrived, sent that of the target's.
	received, sent uint32
	// answer is the last response, answerSeq its position, nil while its request runs.
	answer    []byte
	answerSeq uint32
	requests  int
	lastUsed  time.Time
}

// target is one incarnation of a server beside an agent.
type target struct {
	fleet   *fleet
	machine *machine
	id      string
	// born is the start time as the machine's time of day showed it, started the true one.
	born, started time.Time
	conn          *net.UDPConn
	health        *http.Server
	done          chan struct{}

	mu    sync.Mutex
	alive bool
	// heartbeatsHeld is set while heartbeats stay under way.
	heartbeatsHeld bool
	draining       bool
	drainAckedAt   time.Time
	sequence       int64
	running        int
	queued         []func()
	flows          map[flowID]*targetFlow
}

// startTarget starts the target of a side machine whose time of day is ahead.
func (f *fleet) startTarget(m *machine, id string, ahead time.Duration) (*target, error) {
	t, err := f.newTarget(m, id, ahead)
	if err == nil {
		t.run()
	}
	return t, err
}

// newTarget returns a target that listens and does nothing else until run is called.
func (f *fleet) newTarget(m *machine, id string, ahead time.Duration) (*target, error) {
	conn, err := net.ListenUDP("udp4", m.udp(f.ports.app))
	if err != nil {
		return nil, err
	}
	lis, err := net.Listen("tcp4", m.addr(f.ports.app))
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	t := &target{
		fleet: f, machine: m, id: id, born: time.Now().Add(ahead), started: time.Now(), conn: conn, done: make(chan struct{}),
		alive: true, flows: make(map[flowID]*targetFlow),
	}
	t.health = &http.Server{Handler: http.HandlerFunc(t.serveHealth), ReadHeaderTimeout: time.Second}
	go func() { _ = t.health.Serve(lis) }()
	m.target = t
	f.rec.log("target %s of %s starts at %s", id, m.service, m.ip)
	return t, nil
}

// run starts to serve and to send heartbeats.
func (t *target) run() {
	go t.readPackets()
	go t.sendHeartbeats()
}

// stop ends the target as its process would: all its sockets close.
func (t *target) stop() {
	t.mu.Lock()
	wasAlive := t.alive
	t.alive = false
	t.mu.Unlock()
	if !wasAlive {
		return
	}
	close(t.done)
	_ = t.conn.Close()
	_ = t.health.Close()
}

func (t *target) serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Instance-Id", t.id)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (t *target) sendHeartbeats() {
	tick := time.NewTicker(heartbeatEvery)
	defer tick.Stop()
	for {
		t.sendHeartbeat()
		select {
		case <-t.done:
			return
		case <-tick.C:
		}
	}
}

// newHeartbeat returns the next heartbeat, with all fields.
func (t *target) newHeartbeat() heartbeat {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	h := heartbeat{
		Service: t.machine.service, Address: t.machine.addr(t.fleet.ports.app), Zone: t.machine.zone, State: "ready",
		Capacity: targetSlots, Sequence: t.sequence, Born: t.born.UnixMilli(),
	}
	if t.draining {
		h.State = "draining"
	}
	return h
}

// sendHeartbeat sends a heartbeat and reports whether it was acknowledged.
func (t *target) sendHeartbeat() bool {
	h := t.newHeartbeat()
	t.mu.Lock()
	held, draining := t.heartbeatsHeld, t.draining
	t.mu.Unlock()
	if held {
		return false
	}
	status := t.machine.postHeartbeat(t.id, h)
	t.mu.Lock()
	defer t.mu.Unlock()
	if status/100 != 2 {
		t.fleet.rec.log("target %s heartbeat %v of state %v: status %d", t.id, h.Sequence, h.State, status)
		return false
	}
	if draining && t.drainAckedAt.IsZero() {
		t.drainAckedAt = time.Now()
		t.fleet.rec.log("target %s: draining is acknowledged", t.id)
	}
	return true
}

// drainAndLeave ends the target as the old one of a release. It returns once the agent has
// acknowledged that the target drains; the rest happens in the background.
func (t *target) drainAndLeave() error {
	t.mu.Lock()
	t.draining = true
	t.mu.Unlock()
	t.sendHeartbeat()
	t.mu.Lock()
	acked := !t.drainAckedAt.IsZero()
	t.mu.Unlock()
	if !acked {
		return errors.New("draining was not acknowledged")
	}
	time.AfterFunc(drainBound+500*time.Millisecond, func() {
		t.fleet.rec.log("target %s leaves with %d open flows", t.id, t.openFlows())
		c := http.Client{Timeout: ackTimeout}
		res, err := c.Post("http://"+t.machine.addr(t.fleet.ports.control)+leavePath+t.id, "application/json", strings.NewReader("{}"))
		if err == nil {
			_ = res.Body.Close()
		}
		t.stop()
		time.AfterFunc(daemonStopDelay, func() { t.machine.endDaemon(syscall.SIGTERM) })
	})
	return nil
}

// postHeartbeat sends a heartbeat to the control address of a machine and returns the status, 0
// for no answer.
func (m *machine) postHeartbeat(id string, h heartbeat) int {
	text, err := encodeMessage("heartbeat", h)
	if err != nil {
		return 0
	}
	c := http.Client{Timeout: ackTimeout}
	res, err := c.Post("http://"+m.addr(m.fleet.ports.control)+heartbeatPath+id, "application/json", strings.NewReader(string(text)))
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}

// holds reports whether the target runs and the flow is open at it, and how long it was idle.
func (t *target) holds(id flowID) (idle time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.flows[id]
	if !t.alive || f == nil || !f.open || f.ended {
		return 0, false
	}
	return time.Since(f.lastUsed), true
}

// openFlows returns the number of open flows.
func (t *target) openFlows() (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, f := range t.flows {
		if f.open && !f.ended {
			n++
		}
	}
	return n
}

func (t *target) readPackets() {
	buf := make([]byte, 2048)
	for {
		n, err := t.conn.Read(buf)
		if err != nil {
			return
		}
		h, data, ok := parsePacket(buf[:n])
		if !ok || h.Flags&flagBounced != 0 {
			t.fleet.rec.breakRule("UNASKED: target %s got a packet that no client wrote: %+v", t.id, h)
			continue
		}
		t.handlePacket(h, data)
	}
}

func (t *target) send(b []byte) {
	_, _ = t.conn.WriteTo(b, t.machine.udp(t.fleet.ports.outbound))
}

func (t *target) handlePacket(h header, data []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.alive {
		return
	}
	id := h.fromClient()
	reply := id.targetHeader()
	f := t.flows[id]
	switch {
	case h.Flags&flagSyn != 0:
		t.handleSyn(h, id, f)
		return
	case f == nil || !f.open && h.Ack != f.seq+1:
		h.Flags |= flagBounced
		h.Pad = [3]byte{}
		t.send(h.packet(data))
		return
	}
	f.lastUsed = time.Now()
	if f.ended {
		switch {
		case h.Flags&flagFin != 0:
			reply.Flags, reply.Seq, reply.Ack = flagAck, f.seq+1+f.sent, h.Seq+uint32(len(data))
			t.send(reply.packet(nil))
		case len(data) > 0:
			reply.Flags = flagRst
			t.send(reply.packet(nil))
		}
		return
	}
	f.open = true
	if len(data) > 0 {
		t.handleData(h, data, id, f)
	}
	if h.Flags&flagFin != 0 {
		f.ended = true
		reply.Flags, reply.Seq, reply.Ack = flagFin|flagAck, f.seq+1+f.sent, h.Seq+uint32(len(data))
		t.send(reply.packet(nil))
	}
}

// handleSyn accepts a new flow, or answers a copy of the packet that opened it.
func (t *target) handleSyn(h header, id flowID, f *targetFlow) {
	if f == nil {
		f = &targetFlow{seq: rand.Uint32(), clientSeq: h.Seq, lastUsed: time.Now()}
		t.flows[id] = f
		t.fleet.checkOpening(t, id)
	}
	reply := id.targetHeader()
	reply.Flags, reply.Seq, reply.Ack = flagSyn|flagAck, f.seq, h.Seq+1
	t.send(reply.packet(nil))
}

// handleData runs a request, or repeats the answer to it. A request fits into one packet.
func (t *target) handleData(h header, data []byte, id flowID, f *targetFlow) {
	start := f.clientSeq + 1 + f.received
	if h.Seq != start {
		if h.Seq+uint32(len(data)) == start && f.answer != nil {
			t.sendAnswer(id, f)
		}
		return
	}
	f.received += uint32(len(data))
	f.answer = nil
	request := string(data)
	run := func() { t.work(id, f, request) }
	switch {
	case t.running < targetSlots:
		run()
	case len(t.queued) < targetQueue:
		t.queued = append(t.queued, run)
	default:
		f.answer, f.answerSeq = response("503 Service Unavailable", "Not-Executed: 1\r\n", ""), f.sent
		f.sent += uint32(len(f.answer))
		t.sendAnswer(id, f)
	}
}

// work runs a request. The caller holds the lock.
func (t *target) work(id flowID, f *targetFlow, request string) {
	t.running++
	f.requests++
	number := requestNumber(request)
	t.fleet.rec.log("target %s runs request %s of %v", t.id, number, id)
	time.AfterFunc(targetWork, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.running--
		if !t.alive {
			return
		}
		f.answer = response("200 OK", fmt.Sprintf("Server-Stamp: %s-%s\r\n", t.id, number), number)
		f.answerSeq = f.sent
		f.sent += uint32(len(f.answer))
		t.sendAnswer(id, f)
		if len(t.queued) > 0 {
			next := t.queued[0]
			t.queued = t.queued[1:]
			next()
		}
	})
}

func (t *target) sendAnswer(id flowID, f *targetFlow) {
	reply := id.targetHeader()
	reply.Flags, reply.Seq, reply.Ack = flagAck, f.seq+1+f.answerSeq, f.clientSeq+1+f.received
	t.send(reply.packet(f.answer))
}

func response(status, headers, body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
}

// requestNumber returns the Request-Id of a request.
func requestNumber(request string) string {
	_, rest, _ := strings.Cut(request, "Request-Id: ")
	number, _, _ := strings.Cut(rest, "\r\n")
	return number
}
