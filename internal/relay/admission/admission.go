// Package admission implements admission control for new flows: it queues them while
// their upstream is full.
//
// After an outage or in a burst, more new flows arrive than the slots can serve
// within their target latency, and upstreams are slow after their start. If all
// flows were delivered at once, they would fill the upstream's queue, every request
// would be late, and the upstream would reject flows that could have waited. A new
// flow is therefore admitted only if its request can still meet its target latency.
//
// Queued flows that can still meet their target go first, ordered by priority and
// then newest first. Late flows only fill slots that would otherwise be idle, in the
// same order, since callers of older flows may have given up. If more flows are
// queued than can be served before callers give up, the last in this order is
// rejected at once. That is rarely the newest flow: callers that are rejected
// repeatedly use up their attempts before the backlog has cleared.
//
// # Usage
//
//	q := admission.New()
//	if rejected := q.Add(now, e, load); rejected != nil {
//		redirectOrRefuse(rejected)
//	}
//	for _, e := range q.Expire(now) {
//		log(e)
//	}
//	for e, ok := q.Next(now, load); ok; e, ok = q.Next(now, load) {
//		deliver(e)
//		load.InSystem++
//	}
//
// The package performs no I/O. A Queue is not safe for concurrent use.
package admission

import (
	"slices"
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/message"
)

const (
	// MaxFlows limits the flows queued for one upstream.
	MaxFlows = 512
	// defaultTargetLatency is used if a route has no target latency.
	defaultTargetLatency = 500 * time.Millisecond
	// networkOverhead is the round-trip time between caller and upstream, which is part of
	// the target latency.
	networkOverhead = 20 * time.Millisecond
	// maxRequestsPerSlot limits the requests in the system per slot for admitting a flow:
	// one runs, one waits. Requests on open flows cannot be held back and add to them.
	maxRequestsPerSlot = 2
	// maxRequestsPerSlotIfLate is the limit for admitting a late flow, which only gets a
	// free slot: in a queue it would make later requests late, too.
	maxRequestsPerSlotIfLate = 1
)

// UpstreamLoad is the load of an upstream.
type UpstreamLoad struct {
	// Slots is the number of requests that run at a time. InSystem is the number of
	// requests that are running, queued or expected to arrive.
	Slots, InSystem int
	// ServiceTime is the usual duration of a request, without queueing.
	ServiceTime time.Duration
	// InOrder is set while a warm-up limit holds back flows: each then waits for a turn that
	// comes before its caller gives up, so no later one may go first.
	InOrder bool
	// Held is the number of requests on open flows that wait for a slot, in addition to
	// InSystem. Ahead returns how many of them go before a flow; it is nil for none.
	Held  int
	Ahead func(*Entry) int
}

// ExpectedLatency returns the expected time until a request that arrives now is answered.
func (load UpstreamLoad) ExpectedLatency() time.Duration {
	rounds := float64(load.InSystem+1) / float64(max(load.Slots, 1))
	return time.Duration(max(rounds, 1) * float64(load.ServiceTime))
}

// Entry is a queued new flow.
type Entry struct {
	Flow    flow.ID
	Carried *message.Carried
	// FirstSentAt is when the caller sent its first packet, ExpiresAt is when it gives up,
	// ArrivedAt is when the packet arrived here.
	FirstSentAt, ExpiresAt, ArrivedAt instant.Instant
	// TargetLatency is the route's target latency, 0 for the default.
	TargetLatency time.Duration
	// Priority is the route's priority; 0 is the highest.
	Priority uint32
	// WaitsForTurn is set if the flow has had to wait for a turn under a warm-up limit.
	WaitsForTurn bool
	// WasDelivered is set if a copy of the first packet has been delivered to an upstream that
	// may have missed it, so that the flow may be open there.
	WasDelivered bool
}

// IsLate reports whether the target latency has passed.
func (e *Entry) IsLate(now instant.Instant) bool { return now.Sub(e.FirstSentAt) > e.Target() }

// Target returns the target latency or its default.
func (e *Entry) Target() time.Duration {
	if e.TargetLatency == 0 {
		return defaultTargetLatency
	}
	return e.TargetLatency
}

// meetsTargetNow reports whether the request is expected to meet its target latency if the
// flow is admitted now.
func (e *Entry) meetsTargetNow(now instant.Instant, load UpstreamLoad) bool {
	return load.InSystem < maxRequestsPerSlot*load.Slots && now.Sub(e.FirstSentAt)+networkOverhead+load.ExpectedLatency() <= e.Target()
}

// TimeLeft returns how long the request may wait and still meet its target latency at an idle
// upstream.
func (e *Entry) TimeLeft(now instant.Instant, load UpstreamLoad) time.Duration {
	return e.Target() - now.Sub(e.FirstSentAt) - networkOverhead - load.ServiceTime
}

// MeetsTargetAt reports whether the request can meet its target latency if the flow is
// delivered at a later time.
func (e *Entry) MeetsTargetAt(at instant.Instant, load UpstreamLoad) bool {
	return e.canMeetTarget(at, load)
}

// canMeetTarget reports whether the request would meet its target latency at an idle
// upstream.
func (e *Entry) canMeetTarget(now instant.Instant, load UpstreamLoad) bool {
	return e.TimeLeft(now, load) >= 0
}

// Queue is the queue of new flows for one upstream.
type Queue struct {
	entries []*Entry
}

// New returns an empty queue.
func New() *Queue { return &Queue{} }

// Len returns the number of queued flows.
func (q *Queue) Len() int { return len(q.entries) }

// Contains reports whether a flow is queued.
func (q *Queue) Contains(id flow.ID) bool {
	return slices.ContainsFunc(q.entries, func(x *Entry) bool { return x.Flow == id })
}

// CanAdmit reports whether a flow may be delivered to the upstream now.
func CanAdmit(now instant.Instant, e *Entry, load UpstreamLoad) bool {
	limit := maxRequestsPerSlotIfLate
	if e.WaitsForTurn {
		// The warm-up limit bounds the number of such flows. Requests whose callers have given up
		// count as running until they time out, and would keep back the rest.
		limit = maxRequestsPerSlot
	}
	if load.Ahead != nil {
		load.InSystem += load.Ahead(e)
	}
	return load.InSystem < limit*load.Slots || e.meetsTargetNow(now, load)
}

// Add queues a flow, or updates the entry of a flow that is already queued. If more than
// MaxFlows are queued, or more than can be served within flow.OpenTimeout, it removes and
// returns the last flow in order, which may be e. Otherwise it returns nil.
func (q *Queue) Add(now instant.Instant, e *Entry, load UpstreamLoad) (rejected *Entry) {
	for _, x := range q.entries {
		if x.Flow == e.Flow {
			x.Carried, x.ExpiresAt, x.ArrivedAt = e.Carried, e.ExpiresAt, e.ArrivedAt
			return nil
		}
	}
	q.entries = append(q.entries, e)
	fits := func(ahead int) bool {
		wait := time.Duration(float64(ahead) / float64(max(load.Slots, 1)) * float64(load.ServiceTime))
		return len(q.entries) <= MaxFlows && wait <= flow.OpenTimeout
	}
	if fits(len(q.entries) + load.Held) {
		return nil
	}
	last := 0
	for i, x := range q.entries {
		if !precedes(now, load, x, q.entries[last]) {
			last = i
		}
	}
	if load.Ahead != nil && fits(len(q.entries)+load.Ahead(q.entries[last])) {
		return nil
	}
	rejected = q.entries[last]
	q.entries = slices.Delete(q.entries, last, last+1)
	return rejected
}

// Expire removes and returns the flows whose callers have given up.
func (q *Queue) Expire(now instant.Instant) (expired []*Entry) {
	q.entries = slices.DeleteFunc(q.entries, func(x *Entry) bool {
		if x.ExpiresAt < now {
			expired = append(expired, x)
		}
		return x.ExpiresAt < now
	})
	return expired
}

// Next removes and returns the first flow in order. ok is false if the queue is empty
// or that flow may not be admitted yet.
func (q *Queue) Next(now instant.Instant, load UpstreamLoad) (e *Entry, ok bool) {
	best := -1
	for i, x := range q.entries {
		if best < 0 || precedes(now, load, x, q.entries[best]) {
			best = i
		}
	}
	if best < 0 || !CanAdmit(now, q.entries[best], load) {
		return nil, false
	}
	e = q.entries[best]
	q.entries = slices.Delete(q.entries, best, best+1)
	return e, true
}

// CountByPriority calls add with the priority of each queued flow.
func (q *Queue) CountByPriority(add func(priority uint32, n int)) {
	for _, x := range q.entries {
		add(x.Priority, 1)
	}
}

// precedes reports whether a is ordered before b.
func precedes(now instant.Instant, load UpstreamLoad, a, b *Entry) bool {
	if load.InOrder {
		return a.ExpiresAt < b.ExpiresAt
	}
	aCanMeet, bCanMeet := a.canMeetTarget(now, load), b.canMeetTarget(now, load)
	switch {
	case aCanMeet != bCanMeet:
		return aCanMeet
	case a.Priority != b.Priority:
		return a.Priority < b.Priority
	}
	return a.FirstSentAt > b.FirstSentAt
}
