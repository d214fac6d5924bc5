// Package flowtable keeps what an agent knows about the flows at its own upstream.
//
// The upstream alone decides which flows it holds: a packet that it does not take
// comes back bounced. The table is what the agent has seen of it, from the
// packets of both ends: which flows were offered and which are open, which have a
// request in progress, and what a reset to the caller needs. A new process begins
// with an empty table and fills it from packets.
//
// # Usage
//
//	t := ownership.New()
//	f := t.Offer(now, packet)
//	f = t.FromCaller(now, packet)
//	f = t.FromUpstream(now, packet)
//	busy, idle := t.Load()
//
// The package does no input or output. A Table must not be shared without a lock.
package flowtable

import (
	"maps"
	"slices"
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/flow"
)

// Phase is how far a flow has come.
type Phase uint8

// Phases.
const (
	// Unsure: a packet was delivered, the upstream has not shown that it holds the flow.
	Unsure Phase = iota
	// Offered: the first packet was delivered.
	Offered
	// Accepted: the upstream accepted the flow, which may still open elsewhere.
	Accepted
	// Open: the upstream has sent a packet on the open flow, so that it holds it.
	Open
)

// Bounds of the table.
const (
	// KeepOpen is how long an open flow without packets is remembered, which is
	// longer than upstreams keep one; a flow that is forgotten too early is found
	// again by its next packet.
	KeepOpen = 30 * time.Second
	// KeepOpening is how long a flow is remembered that has not opened: longer
	// than callers try to open one.
	KeepOpening = 3 * time.Second
	// keepEnded is how long a flow is remembered that both ends have finished.
	keepEnded = time.Second
	// MaxFlows bounds the table.
	MaxFlows = 1 << 16
	// openingTimes is for how many times the usual way to the caller and back the
	// first request of a new flow is awaited; a caller that has given up sends none.
	// Between openingLeast and openingMost.
	openingTimes = 3
	openingLeast = 15 * time.Millisecond
	openingMost  = 150 * time.Millisecond
	// usualOpening is taken for that way until some were seen.
	usualOpening = 20 * time.Millisecond
	// usualWork is taken for the time of a request until some were seen.
	usualWork = 30 * time.Millisecond
	// usualTimeout stands in for the deadline of a route that gives none.
	usualTimeout = 5 * time.Second
	// workShare is the share of a new observation in the usual time of a request.
	workShare = 0.05
	// sequenceWindow is how far the acknowledged position of a flow that the upstream
	// has just opened may be from the one that it began with: the bytes that it may
	// send unacknowledged, 16 packets of 1,200.
	sequenceWindow = 16 * 1200
)

// Flow is one flow.
type Flow struct {
	ID    flow.ID
	Phase Phase
	// Began is when the first packet was seen, Used when the last was.
	Began, Used instant.Instant
	// Balancer is where the caller's last packet came from, Home the agent that was
	// told of the owner, DataCentre the balancer's.
	Balancer, Home flow.IP
	DataCentre     string
	// LastAck is the acknowledgement in the caller's last packet.
	LastAck uint32
	// Born is the start of the upstream that accepted the flow, 0 if unknown.
	Born int64
	// Others lists other services that may hold the flow if this one does not.
	Others []string
	// Last is the caller's last packet of the request in progress.
	Last []byte
	// Excluded lists the agents that did not take the new flow before.
	Excluded []uint32
	// Asker is the agent that wants to know whether the upstream holds the flow, 0 for none.
	Asker flow.IP

	accepted      uint32
	isAccepted    bool
	busy, opening bool
	// asked is when the request in progress began, unqueued is set if a slot was free.
	asked            instant.Instant
	unqueued         bool
	callerEnd, ended bool
	// Requests counts the requests seen.
	Requests int
	// Timeout is the deadline of the route's requests, 0 if unknown.
	Timeout time.Duration

	// high is the end of the caller's data so far, once hasHigh is set.
	high    uint32
	hasHigh bool
}

// isNew reports whether a caller's packet carries data that was not seen before.
func (f *Flow) isNew(p flow.Packet) bool {
	end := p.Seq + uint32(p.Len)
	if p.Len == 0 || f.hasHigh && int32(end-f.high) <= 0 {
		return false
	}
	f.high, f.hasHigh = end, true
	return true
}

// Busy reports whether a request is in progress.
func (f *Flow) Busy() bool { return f.busy }

// Table is the flows of one upstream.
type Table struct {
	// Answered is called with the time of each request that was answered.
	Answered func(time.Duration)

	flows map[flow.ID]*Flow
	busy  int
	open  int
	// opening counts flows whose first request is still to come; order lists them by
	// the time when they were offered.
	opening int
	order   []*Flow
	slots   int
	work    time.Duration
	// way is the usual time from a first packet to the first request.
	way time.Duration
}

// New returns an empty table.
func New() *Table {
	return &Table{Answered: func(time.Duration) {}, flows: make(map[flow.ID]*Flow), slots: 1, work: usualWork, way: usualOpening}
}

// SetSlots says how many requests the upstream runs at a time.
func (t *Table) SetSlots(n int) { t.slots = max(n, 1) }

// Work returns the usual time of a request that finds a free slot.
func (t *Table) Work() time.Duration { return t.work }

// InSystem returns the number of requests that run, queue or are about to come.
func (t *Table) InSystem(now instant.Instant) int {
	limit := min(max(openingTimes*t.way, openingLeast), openingMost)
	for len(t.order) > 0 && (!t.order[0].opening || now.Sub(t.order[0].Began) > limit) {
		t.setOpening(t.order[0], false)
		t.order = t.order[1:]
	}
	return t.busy + t.opening
}

// endOverdue takes requests for ended whose callers have given up.
func (t *Table) endOverdue(now instant.Instant, f *Flow) {
	timeout := f.Timeout
	if timeout == 0 {
		timeout = usualTimeout
	}
	if f.busy && now.Sub(f.asked) > timeout {
		t.setBusy(f, false)
	}
}

func (t *Table) setOpening(f *Flow, opening bool) {
	if f.opening == opening {
		return
	}
	f.opening = opening
	if opening {
		t.opening++
		t.order = append(t.order, f)
	} else {
		t.opening--
	}
}

// Get returns a flow, nil where it is not known.
func (t *Table) Get(id flow.ID) *Flow { return t.flows[id] }

// Len returns the number of flows.
func (t *Table) Len() int { return len(t.flows) }

// Load returns the number of open flows with a request in progress and without.
func (t *Table) Load() (busy, idle int) { return t.busy, max(t.open-t.busy, 0) }

// All calls f for every flow, ordered by name; f may drop it.
func (t *Table) All(f func(*Flow)) {
	for _, id := range slices.SortedFunc(maps.Keys(t.flows), flow.ID.Compare) {
		f(t.flows[id])
	}
}

func (t *Table) get(now instant.Instant, id flow.ID, p Phase) *Flow {
	f := t.flows[id]
	if f == nil {
		f = &Flow{ID: id, Began: now}
		if len(t.flows) < MaxFlows {
			t.flows[id] = f
		}
	}
	f.Used = now
	t.advance(f, p)
	return f
}

func (t *Table) advance(f *Flow, p Phase) {
	if f.Phase >= p {
		return
	}
	if p == Open && t.flows[f.ID] == f {
		t.open++
	}
	f.Phase = p
}

// Drop forgets a flow.
func (t *Table) Drop(f *Flow) {
	if t.flows[f.ID] != f {
		return
	}
	delete(t.flows, f.ID)
	t.setBusy(f, false)
	t.setOpening(f, false)
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
		return
	}
	t.busy--
	f.Last = nil
}

// Offer notes that the first packet of a flow is delivered.
func (t *Table) Offer(now instant.Instant, p flow.Packet) *Flow {
	f := t.get(now, p.Flow, Offered)
	if f.Phase == Offered && f.Began == now && t.flows[f.ID] == f {
		t.setOpening(f, true)
	}
	return f
}

// Foreign reports whether the packet belongs to a flow that opened at another
// upstream, though it was offered to this one too.
func (f *Flow) Foreign(p flow.Packet) bool {
	return f.Phase < Open && f.isAccepted && p.Flags.Has(flow.Ack) && p.AckSeq-f.accepted > sequenceWindow
}

// FromCaller notes that a packet of the caller is delivered, which is not the first.
func (t *Table) FromCaller(now instant.Instant, p flow.Packet) *Flow {
	f := t.get(now, p.Flow, Unsure)
	f.LastAck = p.AckSeq
	if f.isNew(p) && !f.busy && t.flows[f.ID] == f && f.Phase >= Accepted {
		f.Requests++
		f.asked, f.unqueued = now, t.busy < t.slots
		if f.opening {
			t.way += time.Duration(workShare * float64(now.Sub(f.Began)-t.way))
		}
		t.setOpening(f, false)
		t.setBusy(f, true)
	}
	switch {
	case p.Flags.Has(flow.Rst):
		t.Drop(f)
	case p.Flags.Has(flow.Fin):
		f.callerEnd = true
	}
	return f
}

// FromUpstream notes a packet of the upstream, which shows that it holds the flow,
// and reports whether the flow was not known to be held before.
func (t *Table) FromUpstream(now instant.Instant, p flow.Packet) (f *Flow, found bool) {
	f = t.flows[p.Flow]
	found = f == nil || f.Phase < Accepted
	if p.Flags.Has(flow.Syn) {
		f = t.get(now, p.Flow, Accepted)
		f.accepted, f.isAccepted = p.Seq, true
		return f, found
	}
	f = t.get(now, p.Flow, Open)
	if p.Len > 0 && f.busy {
		t.Answered(now.Sub(f.asked))
		if f.unqueued {
			t.work += time.Duration(workShare * float64(now.Sub(f.asked)-t.work))
		}
		t.setBusy(f, false)
	}
	switch {
	case p.Flags.Has(flow.Rst):
		t.Drop(f)
	case p.Flags.Has(flow.Fin):
		f.ended = true
	}
	return f, found
}

// Expire forgets flows that were not used for long.
func (t *Table) Expire(now instant.Instant) {
	for _, f := range t.flows {
		t.endOverdue(now, f)
		keep := KeepOpen
		switch {
		case f.ended && f.callerEnd:
			keep = keepEnded
		case f.Phase < Open:
			keep = KeepOpening
		}
		if now.Sub(f.Used) > keep {
			t.Drop(f)
		}
	}
}
