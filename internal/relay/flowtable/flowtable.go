// Package flowtable implements an agent's table of the flows at its upstream.
//
// Only the upstream decides which flows it holds; it bounces packets of other flows.
// The table is derived from the packets of both ends: which flows were offered, which
// are open, which have a request in progress, and the data needed to send the caller
// a reset. A new process starts with an empty table and fills it from packets.
//
// # Usage
//
//	t := flowtable.New()
//	f := t.RecordFirstPacket(now, packet)
//	f = t.RecordCallerPacket(now, packet)
//	f, newlyHeld := t.RecordUpstreamPacket(now, packet)
//	busy, idle := t.Load()
//
// The package performs no I/O. A Table is not safe for concurrent use.
package flowtable

import (
	"maps"
	"slices"
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/speed"
)

// Timeouts, defaults and limits of the table.
const (
	// OpenIdleTimeout is how long an accepted or open flow without packets is kept: as long as
	// a flow may stay open, so that a flow that is not in the table is not open. An accepted
	// flow may be open already, and callers may send their first request much later.
	OpenIdleTimeout = flow.DefaultLifetime
	// OpeningIdleTimeout is how long a flow that the upstream has not accepted is kept: longer
	// than callers try to open one.
	OpeningIdleTimeout = 3 * time.Second
	// endedIdleTimeout is how long a flow that both ends have finished is kept.
	endedIdleTimeout = time.Second
	// MaxFlows limits the flows in the table.
	MaxFlows = 1 << 16
	// openingRTTs is how long the first request of a new flow is awaited, in round trips
	// to the caller; a caller that has given up sends none. The time is limited to the
	// range from minOpeningWait to MaxOpeningWait.
	openingRTTs    = 3
	minOpeningWait = 15 * time.Millisecond
	MaxOpeningWait = 150 * time.Millisecond
	// defaultOpeningRTT is the initial estimate of that round trip.
	defaultOpeningRTT = 20 * time.Millisecond
	// defaultServiceTime is the initial estimate of a request's duration.
	defaultServiceTime = 30 * time.Millisecond
	// defaultTimeout is used if the time limit of the route's requests is unknown.
	defaultTimeout = 5 * time.Second
	// smoothingFactor is the weight of a new observation in the moving averages of
	// service time and opening round trip.
	smoothingFactor = 0.05
	// stuckFactor is the duration, in usual service times, after which an unanswered request
	// may have been answered unseen. Few requests take as long.
	stuckFactor = 10
	// sequenceWindow is the maximum distance of a caller's acknowledgement number from
	// the upstream's initial sequence number on a flow that is not open yet: the bytes
	// that the upstream may send unacknowledged, 16 packets of 1,200.
	sequenceWindow = 16 * 1200
)

// Table holds the flows of one upstream.
type Table struct {
	// OnAnswer is called with the duration of each answered request.
	OnAnswer func(time.Duration)
	// OnOutcome is called for each request that the upstream has answered, or has failed: it has
	// reset the flow, or has not answered within the time limit although a slot was free.
	OnOutcome func(now instant.Instant, answered bool)
	// OnDrop is called if a held request ends without having been released.
	OnDrop func(flow.ID)

	flows map[flow.ID]*Flow
	busy  int
	// waiting counts the busy flows whose request has not been delivered; running lists the
	// others.
	waiting int
	running []*Flow
	open    int
	// awaitingCount counts the flows whose first request has not arrived yet;
	// awaitingQueue lists them, and some that no longer await it, in the order in which
	// they were offered.
	awaitingCount int
	awaitingQueue []*Flow
	slots         int
	// slowdown is the factor set by SetSlowdown, at least 1.
	slowdown    float64
	serviceTime time.Duration
	// speed estimates the usual service time from requests that found a free slot at an
	// upstream that had not just started.
	speed *speed.Estimator
	// openingRTT is the moving average of the time from a first packet to the first
	// request.
	openingRTT time.Duration
}

// New returns an empty table.
func New() *Table {
	return &Table{
		OnAnswer: func(time.Duration) {}, OnDrop: func(flow.ID) {}, OnOutcome: func(instant.Instant, bool) {}, flows: make(map[flow.ID]*Flow), slots: 1, slowdown: 1,
		serviceTime: defaultServiceTime, speed: speed.New(), openingRTT: defaultOpeningRTT,
	}
}

// SetSlots sets the number of requests that the upstream runs concurrently, at least 1.
func (t *Table) SetSlots(n int) { t.slots = max(n, 1) }

// SetSlowdown sets how many times longer than usual requests take from now on.
func (t *Table) SetSlowdown(factor float64) { t.slowdown = factor }

// ServiceTime returns the average duration of a request that finds a free slot, without
// slowdown.
func (t *Table) ServiceTime() time.Duration { return t.serviceTime }

// Speed returns the estimate of the upstream's usual service time.
func (t *Table) Speed(now instant.Instant) speed.Estimate { return t.speed.Estimate(now) }

// ResetSpeed discards the estimate of the usual service time: another upstream has started,
// or it was unknown so far whether the upstream had just started.
func (t *Table) ResetSpeed() { t.speed.Reset() }

// InSystem returns the number of requests that run, are queued or are expected as the
// first request of a new flow.
func (t *Table) InSystem(now instant.Instant) int {
	limit := min(max(openingRTTs*t.openingRTT, minOpeningWait), MaxOpeningWait)
	for len(t.awaitingQueue) > 0 && (!t.awaitingQueue[0].awaitsFirstRequest || now.Sub(t.awaitingQueue[0].StartedAt) > limit) {
		t.setAwaitsFirstRequest(t.awaitingQueue[0], false)
		t.awaitingQueue = t.awaitingQueue[1:]
	}
	return t.busy + t.awaitingCount
}

// expireRequest ends a flow's request if its time limit has passed: the caller has given
// up.
func (t *Table) expireRequest(now instant.Instant, f *Flow) {
	timeout := f.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	if f.busy && !f.waiting && now.Sub(f.requestedAt) > timeout {
		if f.hadFreeSlot {
			// Others may have timed out in the queue of an upstream that works.
			t.OnOutcome(now, false)
		}
		t.setBusy(f, false)
	}
}

func (t *Table) setAwaitsFirstRequest(f *Flow, awaits bool) {
	if f.awaitsFirstRequest == awaits {
		return
	}
	f.awaitsFirstRequest = awaits
	if awaits {
		t.awaitingCount++
		t.awaitingQueue = append(t.awaitingQueue, f)
	} else {
		t.awaitingCount--
	}
}

// Get returns a flow, or nil if it is not in the table.
func (t *Table) Get(id flow.ID) *Flow { return t.flows[id] }

// Len returns the number of flows.
func (t *Table) Len() int { return len(t.flows) }

// IsFull reports whether the table has no room for further flows.
func (t *Table) IsFull() bool { return len(t.flows) >= MaxFlows }

// Load returns the numbers of open flows with (busy) and without (idle) a request in
// progress.
func (t *Table) Load() (busy, idle int) { return t.busy, max(t.open-t.busy, 0) }

// All calls f for every flow, ordered by ID. f may delete the flow.
func (t *Table) All(f func(*Flow)) {
	for _, id := range slices.SortedFunc(maps.Keys(t.flows), flow.ID.Compare) {
		f(t.flows[id])
	}
}

func (t *Table) getOrCreate(now instant.Instant, id flow.ID, phase Phase) *Flow {
	f := t.flows[id]
	if f == nil {
		f = &Flow{ID: id, StartedAt: now}
		if !t.IsFull() {
			t.flows[id] = f
		}
	}
	f.LastUsed = now
	t.advancePhase(f, phase)
	return f
}

func (t *Table) advancePhase(f *Flow, phase Phase) {
	if f.Phase >= phase {
		return
	}
	if phase == Open && t.flows[f.ID] == f {
		t.open++
	}
	f.Phase = phase
}

// Delete removes a flow from the table.
func (t *Table) Delete(f *Flow) {
	if t.flows[f.ID] != f {
		return
	}
	delete(t.flows, f.ID)
	t.setBusy(f, false)
	t.setAwaitsFirstRequest(f, false)
	if f.Phase == Open {
		t.open--
	}
}

func (t *Table) setBusy(f *Flow, busy bool) {
	if f.busy == busy {
		return
	}
	f.busy = busy
	if busy {
		t.busy++
		t.running = append(t.running, f)
		return
	}
	t.busy--
	if f.waiting {
		f.waiting = false
		t.waiting--
		t.OnDrop(f.ID)
		return
	}
	t.removeRunning(f)
}

func (t *Table) removeRunning(f *Flow) {
	if i := slices.Index(t.running, f); i >= 0 {
		t.running = slices.Delete(t.running, i, i+1)
	}
}

// Hold records that the request in progress, which has just begun, is not delivered yet.
func (t *Table) Hold(f *Flow) {
	if f.busy && !f.waiting {
		f.waiting = true
		t.waiting++
		t.removeRunning(f)
	}
}

// Release records the delivery of a held request.
func (t *Table) Release(now instant.Instant, f *Flow) {
	if !f.waiting {
		return
	}
	f.waiting = false
	t.waiting--
	f.requestedAt, f.hadFreeSlot, f.slowdown = now, len(t.running) < t.slots, t.slowdown
	t.running = append(t.running, f)
}

// EndRequest ends the request in progress: its caller has given it up. A held one is dropped.
func (t *Table) EndRequest(f *Flow) { t.setBusy(f, false) }

// Waiting returns the number of requests in progress that have not been delivered.
func (t *Table) Waiting() int { return t.waiting }

// SlotsTaken returns the number of delivered requests that have not been answered. One that
// takes longer than stuckFactor usual service times does not count: its answer may have been
// missed, and its slot may be free.
func (t *Table) SlotsTaken(now instant.Instant) (n int) {
	limit := time.Duration(stuckFactor * t.slowdown * float64(t.serviceTime))
	for _, f := range t.running {
		if now.Sub(f.requestedAt) <= limit {
			n++
		}
	}
	return n
}

// RecordFirstPacket records the delivery of a flow's first packet.
func (t *Table) RecordFirstPacket(now instant.Instant, p flow.Packet) *Flow {
	f := t.getOrCreate(now, p.Flow, Offered)
	f.LastOfferedAt = now
	if f.Phase == Offered && f.StartedAt == now && t.flows[f.ID] == f {
		t.setAwaitsFirstRequest(f, true)
	}
	return f
}

// RecordCallerPacket records the delivery of a caller's packet other than the first.
func (t *Table) RecordCallerPacket(now instant.Instant, p flow.Packet) *Flow {
	f := t.getOrCreate(now, p.Flow, Unconfirmed)
	if f.Phase == Accepted && f.hasUpstreamSeq && p.Flags.Has(flow.Ack) {
		f.acknowledged = !f.OpenedElsewhere(p)
	}
	f.LastAck = p.AckSeq
	if f.recordNewData(p) && !f.busy && t.flows[f.ID] == f && f.Phase >= Accepted {
		f.Requests++
		f.requestedAt, f.hadFreeSlot, f.slowdown = now, len(t.running) < t.slots, t.slowdown
		if f.awaitsFirstRequest {
			t.openingRTT += time.Duration(smoothingFactor * float64(now.Sub(f.StartedAt)-t.openingRTT))
		}
		t.setAwaitsFirstRequest(f, false)
		t.setBusy(f, true)
	}
	switch {
	case p.Flags.Has(flow.Rst):
		t.Delete(f)
	case p.Flags.Has(flow.Fin):
		f.callerFinished = true
	}
	return f
}

// RecordUpstreamPacket records a packet from the upstream, which shows that it holds the
// flow. newlyHeld reports whether this was unknown before.
func (t *Table) RecordUpstreamPacket(now instant.Instant, p flow.Packet) (f *Flow, newlyHeld bool) {
	f = t.flows[p.Flow]
	newlyHeld = f == nil || f.Phase < Accepted
	if p.Flags.Has(flow.Syn) {
		f = t.getOrCreate(now, p.Flow, Accepted)
		f.recordHeard(now)
		f.upstreamSeq, f.hasUpstreamSeq = p.Seq, true
		return f, newlyHeld
	}
	f = t.getOrCreate(now, p.Flow, Open)
	f.recordHeard(now)
	if f.OpenSince == 0 {
		f.OpenSince = now
	}
	if p.Len > 0 && f.busy && !f.waiting {
		t.OnAnswer(now.Sub(f.requestedAt))
		t.OnOutcome(now, true)
		if f.hadFreeSlot {
			took := time.Duration(float64(now.Sub(f.requestedAt)) / f.slowdown)
			t.serviceTime += time.Duration(smoothingFactor * float64(took-t.serviceTime))
			if f.slowdown == 1 {
				t.speed.Record(now, took)
			}
		}
		t.setBusy(f, false)
	}
	switch {
	case p.Flags.Has(flow.Rst):
		if f.busy && !f.waiting {
			t.OnOutcome(now, false)
		}
		t.Delete(f)
	case p.Flags.Has(flow.Fin):
		f.upstreamFinished = true
	}
	return f, newlyHeld
}

// Expire removes idle flows and ends overdue requests.
func (t *Table) Expire(now instant.Instant) {
	for _, f := range t.flows {
		t.expireRequest(now, f)
		idleTimeout := OpenIdleTimeout
		switch {
		case f.HasEnded():
			idleTimeout = endedIdleTimeout
		case f.Phase < Accepted:
			idleTimeout = OpeningIdleTimeout
		}
		if now.Sub(f.LastUsed) > idleTimeout {
			t.Delete(f)
		}
	}
}
