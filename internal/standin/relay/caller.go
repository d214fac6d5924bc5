package relay

import (
	"math"
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/flow"
)

// Habits of callers.
const (
	attemptFor    = 1400 * time.Millisecond
	retransmitMin = 200 * time.Millisecond
	retransmitMax = 1600 * time.Millisecond
	retryPause    = 50 * time.Millisecond
	callersStart  = time.Second
)

// requestLen is the length of a request.
const requestLen = 100

var copiesAt = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond}

// Kind is one kind of request and those that make them.
type Kind struct {
	Name    string
	Service int
	// Callers is the number of callers in each data centre, Rate the requests a
	// second of each.
	Callers int
	Rate    func(at time.Duration) float64
	// Long callers keep one flow for many requests.
	Long             bool
	Safe             bool
	ServiceTime      time.Duration
	Aim, Deadline    time.Duration
	Value, LateValue float64
	Retries          int
}

// Result is what became of a request.
type Result struct {
	Kind *Kind
	At   time.Duration
	// Latency is the time to the whole answer, 0 where there was none.
	Latency time.Duration
	// Outcome tells how the last try ended.
	Outcome string
}

// Credit returns what the request earns, as a share of its worth.
func (r Result) Credit() float64 {
	switch {
	case r.Latency == 0 || r.Latency > r.Kind.Deadline:
		return 0
	case r.Latency <= r.Kind.Aim:
		return 1
	}
	return r.Kind.LateValue / r.Kind.Value
}

// user makes requests, one after the other.
type user struct {
	w    *World
	kind *Kind
	dc   string
	ip   flow.IP
	port uint16
	open *try
	busy bool
}

// try is one flow of a user.
type try struct {
	u            *user
	id           flow.ID
	opened, dead bool
	// seq is the position of the next request.
	seq, ack, request   uint32
	started, askedSince instant.Instant
	retriesLeft         int
	first               instant.Instant
	waiting             bool
}

// Work of requests: log-normal round the kind's, of which some take many times as long.
const (
	workSpread = 0.5
	longShare  = 0.03
	longTimes  = 7
	// mostTimes bounds the work of one request.
	mostTimes = 10
)

// ShareOverAim returns the share of requests whose own work is longer than an aim.
func ShareOverAim(aim, work time.Duration) float64 {
	beyond := func(d time.Duration) float64 {
		x := (math.Log(float64(d)/float64(work)) + workSpread*workSpread/2) / workSpread
		return 0.5 * math.Erfc(x/math.Sqrt2)
	}
	if aim > mostTimes*work {
		return 0
	}
	return (1-longShare)*beyond(aim) + longShare*beyond(aim/longTimes)
}

// request names carry their kind in the low bits, so that work follows from the name.
func (w *World) workOf(request uint32) time.Duration {
	k := &w.Callers[request%uint32(len(w.Callers))]
	d := float64(k.ServiceTime) * math.Exp(workSpread*w.Random.NormFloat64()-workSpread*workSpread/2)
	if w.Random.Float64() < longShare {
		d *= longTimes
	}
	return time.Duration(min(d, mostTimes*float64(k.ServiceTime)))
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
			u := &user{w: w, kind: k, dc: dataCentre(dc), ip: flow.IP(0x64400000 + dc<<16 + index<<12 + n + 1), port: 1024}
			w.at(instant.Instant(callersStart), u.next)
		}
	}
}

func (u *user) index() uint32 {
	for i := range u.w.Callers {
		if u.w.Callers[i].Name == u.kind.Name {
			return uint32(i)
		}
	}
	return 0
}

// next makes the next request after a pause.
func (u *user) next() {
	rate := u.kind.Rate(u.w.Now())
	pause := time.Duration(u.w.Random.ExpFloat64() / rate * float64(time.Second))
	u.w.after(pause, func() {
		if !u.busy {
			u.ask(u.w.now, u.kind.Retries)
		}
		u.next()
	})
}

// ask sends a request on the open flow or on a new one.
func (u *user) ask(first instant.Instant, retries int) {
	u.busy = true
	if t := u.open; t != nil && !t.dead {
		t.first, t.retriesLeft = first, retries
		t.send()
		return
	}
	u.port++
	t := &try{
		u: u, id: flow.ID{Caller: flow.Endpoint{IP: u.ip, Port: u.port}, Address: Address(u.kind.Service)},
		seq: u.w.Random.Uint32(), started: u.w.now, first: first, retriesLeft: retries,
	}
	u.open = t
	u.w.callers[t.id.Caller] = t
	t.syn(0)
	for i, d := range copiesAt {
		u.w.after(d, func() {
			if !t.opened && !t.dead {
				t.syn(uint32(i + 1))
			}
		})
	}
	u.w.after(attemptFor, func() {
		if !t.opened && !t.dead {
			t.fail("NotOpened", true)
		}
	})
}

func (t *try) syn(copy uint32) {
	t.post(head{Flags: flow.Syn, Seq: t.seq, Ack: copy}, 0)
}

func (t *try) post(h head, n int) {
	h.Source, h.Destination = t.id.Caller, t.id.Address
	t.u.w.fromCaller(t.u.dc, t.id, h.packet(n))
}

// send sends the request and again until there is an answer.
func (t *try) send() {
	kinds := uint32(len(t.u.w.Callers))
	t.request = t.u.w.Random.Uint32()/kinds*kinds + t.u.index()
	t.waiting, t.askedSince = true, t.u.w.now
	t.transmit(t.request, retransmitMin)
	request := t.request
	left := t.u.kind.Deadline - t.u.w.now.Sub(t.first)
	t.u.w.after(left, func() {
		if t.waiting && t.request == request {
			t.fail("Deadline", false)
		}
	})
}

func (t *try) transmit(request uint32, again time.Duration) {
	if t.dead || !t.waiting || t.request != request {
		return
	}
	t.post(head{Flags: flow.Ack, Seq: t.seq + 1, Ack: t.ack, Request: request}, requestLen)
	t.u.w.after(again, func() { t.transmit(request, min(2*again, retransmitMax)) })
}

// receive takes a packet that was sent to the caller.
func (t *try) receive(b []byte) {
	h, _ := readHead(b)
	if t.dead {
		return
	}
	switch {
	case h.Flags.Has(flow.Rst):
		t.fail("Reset", !t.opened)
	case h.Flags.Has(flow.Syn) && !t.opened:
		t.opened, t.ack = true, h.Seq+1
		t.post(head{Flags: flow.Ack, Seq: t.seq + 1, Ack: t.ack}, 0)
		t.send()
	case len(b) == headLen+answerDone && h.Request == t.request && t.waiting:
		t.done("Answered", t.u.w.now.Sub(t.first))
	case len(b) == headLen+answerShed && h.Request == t.request && t.waiting:
		t.fail("Shed", true)
	}
}

// done notes a result and ends the flow unless it is kept.
func (t *try) done(outcome string, took time.Duration) {
	t.waiting = false
	t.seq += requestLen
	u := t.u
	u.busy = false
	u.w.Results = append(u.w.Results, Result{u.kind, time.Duration(t.first), took, outcome})
	if !u.kind.Long || outcome != "Answered" {
		t.end()
	}
}

func (t *try) end() {
	if t.opened && !t.dead {
		t.post(head{Flags: flow.Fin | flow.Ack, Seq: t.seq + 1, Ack: t.ack}, 0)
	}
	t.dead = true
	t.u.open = nil
	t.u.w.after(time.Second, func() { delete(t.u.w.callers, t.id.Caller) })
}

// fail ends the flow and tries again where that is allowed: after any failure of
// safe requests, else only where the request has surely not run.
func (t *try) fail(outcome string, notRun bool) {
	u := t.u
	if !u.busy {
		t.end()
		return
	}
	t.waiting = false
	again := (u.kind.Safe || notRun) && t.retriesLeft > 0 && u.w.now.Sub(t.first)+retryPause < u.kind.Deadline
	if !again {
		t.done(outcome, 0)
		return
	}
	t.end()
	first, retries := t.first, t.retriesLeft-1
	u.w.after(retryPause, func() { u.ask(first, retries) })
}
