package relay

import (
	"math"
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/flow"
)

// Timeouts and retransmission delays of callers.
const (
	openTimeout      = 1400 * time.Millisecond
	retransmitMin    = 200 * time.Millisecond
	retransmitMax    = 1600 * time.Millisecond
	retryDelay       = 50 * time.Millisecond
	callerStartDelay = time.Second
)

// requestLen is the length of a request in bytes.
const requestLen = 100

var synRetransmitDelays = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond}

// Kind describes one kind of request and its callers.
type Kind struct {
	Name    string
	Service int
	// Callers is the number of callers in each data centre, Rate the requests per
	// second of each caller.
	Callers int
	Rate    func(at time.Duration) float64
	// MaxRate, if set, is the highest value of Rate; changes of Rate then take effect at once
	// instead of after the next request.
	MaxRate float64
	// Pause is the time between the opening of a flow and the first request on it.
	Pause time.Duration
	// Persistent callers send many requests over one flow.
	Persistent bool
	// FlowLifetime, if set, is the mean time after which persistent callers end a flow.
	FlowLifetime time.Duration
	// FlowRequests is the mean number of requests after which a persistent caller closes its
	// flow; 0 is no limit.
	FlowRequests     int
	Idempotent       bool
	ServiceTime      time.Duration
	Aim, Deadline    time.Duration
	Value, LateValue float64
	Retries          int
	// Priority is the priority of the kind's route if Config.RoutePerKind is set.
	Priority uint32
}

// Result is the result of one request.
type Result struct {
	Kind *Kind
	At   time.Duration
	// Latency is the time until the whole answer arrived, 0 without an answer.
	Latency time.Duration
	// Outcome is the outcome of the last attempt.
	Outcome string
	// DataCentre is that of the caller.
	DataCentre string
}

// Credit returns the earned share of the request's value, from 0 to 1.
func (r Result) Credit() float64 {
	switch {
	case r.Latency == 0 || r.Latency > r.Kind.Deadline:
		return 0
	case r.Latency <= r.Kind.Aim:
		return 1
	}
	return r.Kind.LateValue / r.Kind.Value
}

// caller sends requests, one at a time.
type caller struct {
	w    *World
	kind *Kind
	dc   string
	ip   flow.IP
	port uint16
	flow *callerFlow
	busy bool
}

// callerFlow is one flow of a caller.
type callerFlow struct {
	caller         *caller
	id             flow.ID
	opened, closed bool
	// seq is the sequence number of the next request.
	seq, ack, request      uint32
	createdAt, requestedAt instant.Instant
	// endsAt is when the flow ends after an answer, 0 for never.
	endsAt         instant.Instant
	retriesLeft    int
	firstAttemptAt instant.Instant
	awaitingAnswer bool
}

// Service times are log-normal around that of the kind; stragglers take longer by a factor.
const (
	serviceTimeSigma = 0.5
	stragglerShare   = 0.03
	stragglerFactor  = 7
	// maxServiceTimeFactor limits service times to a multiple of the kind's.
	maxServiceTimeFactor = 10
)

// ShareOverAim returns the share of requests whose service time alone exceeds the aim.
func ShareOverAim(aim, serviceTime time.Duration) float64 {
	shareAbove := func(d time.Duration) float64 {
		x := (math.Log(float64(d)/float64(serviceTime)) + serviceTimeSigma*serviceTimeSigma/2) / serviceTimeSigma
		return 0.5 * math.Erfc(x/math.Sqrt2)
	}
	if aim > maxServiceTimeFactor*serviceTime {
		return 0
	}
	return (1-stragglerShare)*shareAbove(aim) + stragglerShare*shareAbove(aim/stragglerFactor)
}

// sampleServiceTime draws the service time of a request. The request number modulo
// the number of kinds is the index of its kind.
func (w *World) sampleServiceTime(request uint32) time.Duration {
	k := &w.Callers[request%uint32(len(w.Callers))]
	d := float64(k.ServiceTime) * math.Exp(serviceTimeSigma*w.Random.NormFloat64()-serviceTimeSigma*serviceTimeSigma/2)
	if w.Random.Float64() < stragglerShare {
		d *= stragglerFactor
	}
	return time.Duration(min(d, maxServiceTimeFactor*float64(k.ServiceTime)))
}

func (w *World) startCallers(kind Kind) {
	k := &kind
	index := 0
	for i := range w.Callers {
		if w.Callers[i].Name == k.Name {
			index = i
		}
	}
	for dc := range w.DataCentres {
		for n := range k.Callers {
			u := &caller{w: w, kind: k, dc: dataCentre(dc), ip: flow.IP(0x64400000 + dc<<16 + index<<12 + n + 1), port: 1024}
			w.at(instant.Instant(callerStartDelay), u.scheduleRequests)
		}
	}
}

func (u *caller) kindIndex() uint32 {
	for i := range u.w.Callers {
		if u.w.Callers[i].Name == u.kind.Name {
			return uint32(i)
		}
	}
	return 0
}

// scheduleRequests sends requests at random intervals. It skips those that fall due
// while another request is in progress.
func (u *caller) scheduleRequests() {
	rate := u.kind.Rate(u.w.Now())
	if u.w.Demand != nil {
		rate *= u.w.Demand(u.dc, u.w.Now())
	}
	if u.kind.MaxRate > 0 {
		rate = u.kind.MaxRate
	}
	pause := time.Duration(u.w.Random.ExpFloat64() / rate * float64(time.Second))
	u.w.after(pause, func() {
		due := u.kind.MaxRate == 0 || u.w.Random.Float64()*u.kind.MaxRate < u.kind.Rate(u.w.Now())
		if due && !u.busy {
			u.startRequest(u.w.now, u.kind.Retries)
		}
		u.scheduleRequests()
	})
}

// startRequest sends a request on the open flow, or opens a new one for it.
func (u *caller) startRequest(firstAttemptAt instant.Instant, retries int) {
	u.busy = true
	if t := u.flow; t != nil && !t.closed {
		t.firstAttemptAt, t.retriesLeft = firstAttemptAt, retries
		t.sendRequest()
		return
	}
	u.port++
	t := &callerFlow{
		caller: u, id: flow.ID{Caller: flow.Endpoint{IP: u.ip, Port: u.port}, Address: u.w.addressOf(int(u.kindIndex()))},
		seq: u.w.Random.Uint32(), createdAt: u.w.now, firstAttemptAt: firstAttemptAt, retriesLeft: retries,
	}
	if l := u.kind.FlowLifetime; l > 0 {
		t.endsAt = u.w.now.Add(time.Duration(u.w.Random.ExpFloat64() * float64(l)))
	}
	u.flow = t
	u.w.callerFlows[t.id.Caller] = t
	t.sendSyn(0)
	for i, d := range synRetransmitDelays {
		u.w.after(d, func() {
			if !t.opened && !t.closed {
				t.sendSyn(uint32(i + 1))
			}
		})
	}
	u.w.after(openTimeout, func() {
		if !t.opened && !t.closed {
			t.fail("NotOpened", true)
		}
	})
}

func (t *callerFlow) sendSyn(attempt uint32) {
	t.sendPacket(header{Flags: flow.Syn, Seq: t.seq, Ack: attempt}, 0)
}

func (t *callerFlow) sendPacket(h header, dataLen int) {
	h.Source, h.Destination = t.id.Caller, t.id.Address
	t.caller.w.routeFromCaller(t.caller.dc, t.id, h.packet(dataLen))
}

// sendFirstRequest sends the first request on a flow after the pause of its kind.
func (t *callerFlow) sendFirstRequest() {
	if t.caller.kind.Pause == 0 {
		t.sendRequest()
		return
	}
	t.caller.w.after(t.caller.kind.Pause, func() {
		if !t.closed {
			t.firstAttemptAt = t.caller.w.now
			t.sendRequest()
		}
	})
}

// newRequest draws the number of a request, or takes the next one that no other has.
func (u *caller) newRequest() uint32 {
	kinds := uint32(len(u.w.Callers))
	n := u.w.Random.Uint32()/kinds*kinds + u.kindIndex()
	for u.w.requests[n] {
		n += kinds
	}
	u.w.requests[n] = true
	return n
}

// sendRequest sends a request and retransmits it until an answer or the deadline.
func (t *callerFlow) sendRequest() {
	t.request = t.caller.newRequest()
	t.awaitingAnswer, t.requestedAt = true, t.caller.w.now
	t.transmit(t.request, retransmitMin)
	request := t.request
	timeLeft := t.caller.kind.Deadline - t.caller.w.now.Sub(t.firstAttemptAt)
	t.caller.w.after(timeLeft, func() {
		if t.awaitingAnswer && t.request == request {
			t.fail("Deadline", false)
		}
	})
}

func (t *callerFlow) transmit(request uint32, interval time.Duration) {
	if t.closed || !t.awaitingAnswer || t.request != request {
		return
	}
	t.sendPacket(header{Flags: flow.Ack, Seq: t.seq + 1, Ack: t.ack, Request: request}, requestLen)
	t.caller.w.after(interval, func() { t.transmit(request, min(2*interval, retransmitMax)) })
}

// receive handles a packet sent to the caller.
func (t *callerFlow) receive(b []byte) {
	h, _ := parseHeader(b)
	if t.closed {
		return
	}
	switch {
	case h.Flags.Has(flow.Rst):
		t.fail("Reset", !t.opened)
	case h.Flags.Has(flow.Syn) && !t.opened:
		t.opened, t.ack = true, h.Seq+1
		t.sendPacket(header{Flags: flow.Ack, Seq: t.seq + 1, Ack: t.ack}, 0)
		t.sendFirstRequest()
	case len(b) == headerLen+answerLen && h.Request == t.request && t.awaitingAnswer:
		t.finishRequest("Answered", t.caller.w.now.Sub(t.firstAttemptAt))
	case len(b) == headerLen+shedAnswerLen && h.Request == t.request && t.awaitingAnswer:
		t.fail("Shed", true)
	}
}

// finishRequest records a result. It keeps the flow only after an answer to a persistent caller.
func (t *callerFlow) finishRequest(outcome string, latency time.Duration) {
	t.awaitingAnswer = false
	t.seq += requestLen
	u := t.caller
	u.busy = false
	u.w.Results = append(u.w.Results, Result{u.kind, time.Duration(t.firstAttemptAt), latency, outcome, u.dc})
	endsFlow := t.endsAt != 0 && u.w.now >= t.endsAt || u.kind.FlowRequests > 0 && u.w.Random.IntN(u.kind.FlowRequests) == 0
	if !u.kind.Persistent || outcome != "Answered" || endsFlow {
		t.closeFlow()
	}
}

func (t *callerFlow) closeFlow() {
	if t.opened && !t.closed {
		t.sendPacket(header{Flags: flow.Fin | flow.Ack, Seq: t.seq + 1, Ack: t.ack}, 0)
	}
	t.closed = true
	t.caller.flow = nil
	t.caller.w.after(time.Second, func() { delete(t.caller.w.callerFlows, t.id.Caller) })
}

// fail closes the flow and retries the request if it is idempotent or certainly has
// not run, as far as its retries and deadline allow.
func (t *callerFlow) fail(outcome string, notRun bool) {
	u := t.caller
	if !u.busy {
		t.closeFlow()
		return
	}
	t.awaitingAnswer = false
	retry := (u.kind.Idempotent || notRun) && t.retriesLeft > 0 && u.w.now.Sub(t.firstAttemptAt)+retryDelay < u.kind.Deadline
	if !retry {
		t.finishRequest(outcome, 0)
		return
	}
	t.closeFlow()
	firstAttemptAt, retries := t.firstAttemptAt, t.retriesLeft-1
	u.w.after(retryDelay, func() { u.startRequest(firstAttemptAt, retries) })
}
