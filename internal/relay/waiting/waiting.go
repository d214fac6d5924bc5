// Package waiting implements admission control for new flows: it queues them while
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
// refused at once. That is rarely the newest flow: callers that are refused
// repeatedly use up their attempts before the backlog has cleared.
//
// # Usage
//
//	q := admission.New()
//	if refused := q.Add(now, e, load); refused != nil {
//		refuse(refused)
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
package waiting

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
	// networkOverhead is the round-trip time to the upstream, part of the target latency.
	networkOverhead = 20 * time.Millisecond
	// maxRequestsPerSlot limits the requests in the system per slot: upstreams queue a
	// few requests for each slot and reject more.
	maxRequestsPerSlot = 3
	// maxRequestsPerSlotIfLate is the limit for admitting a late flow. It exceeds one
	// because a new flow's request arrives one round trip to the caller later, and no
	// slot must be idle meanwhile.
	maxRequestsPerSlotIfLate = 2
)

// State is the load of an upstream.
type State struct {
	// Slots is the number of requests that run at a time. InSystem is the number of
	// requests that are running, queued or expected to arrive.
	Slots, InSystem int
	// Work is the usual duration of a request, without queueing.
	Work time.Duration
}

// expectedLatency returns the expected time until a request that arrives now is answered.
func (load State) expectedLatency() time.Duration {
	rounds := float64(load.InSystem+1) / float64(max(load.Slots, 1))
	return time.Duration(max(rounds, 1) * float64(load.Work))
}

// Entry is a queued new flow.
type Entry struct {
	Flow    flow.ID
	Carried *message.Carried
	// Asked is when the caller sent its first packet, Until is when it gives up, Came
	// is when the packet arrived here.
	Asked, Until, Came instant.Instant
	// Aim is the route's target latency, 0 for the default.
	Aim time.Duration
	// Priority is the route's priority; 0 is the highest.
	Priority uint32
}

func (e *Entry) targetLatency() time.Duration {
	if e.Aim == 0 {
		return defaultTargetLatency
	}
	return e.Aim
}

// meetsTarget reports whether the request is expected to meet its target latency if the
// flow is admitted now.
func (e *Entry) meetsTarget(now instant.Instant, load State) bool {
	return load.InSystem < maxRequestsPerSlot*load.Slots && now.Sub(e.Asked)+networkOverhead+load.expectedLatency() <= e.targetLatency()
}

// canMeetTarget reports whether the request would meet its target latency at an idle
// upstream.
func (e *Entry) canMeetTarget(now instant.Instant, load State) bool {
	return now.Sub(e.Asked)+networkOverhead+load.Work <= e.targetLatency()
}

// Room is the queue of new flows for one upstream.
type Room struct {
	entries []*Entry
}

// New returns an empty queue.
func New() *Room { return &Room{} }

// Len returns the number of queued flows.
func (q *Room) Len() int { return len(q.entries) }

// Passes reports whether a flow may be delivered to the upstream now.
func Passes(now instant.Instant, e *Entry, load State) bool {
	return load.InSystem < maxRequestsPerSlotIfLate*load.Slots || e.meetsTarget(now, load)
}

// Add queues a flow, or updates the entry of a flow that is already queued. If more than
// MaxFlows are queued, or more than can be served within flow.OpenTimeout, it removes and
// returns the last flow in order, which may be e. Otherwise it returns nil.
func (q *Room) Add(now instant.Instant, e *Entry, load State) (refused *Entry) {
	for _, x := range q.entries {
		if x.Flow == e.Flow {
			x.Carried, x.Until, x.Came = e.Carried, e.Until, e.Came
			return nil
		}
	}
	q.entries = append(q.entries, e)
	expectedWait := time.Duration(float64(len(q.entries)) / float64(max(load.Slots, 1)) * float64(load.Work))
	if len(q.entries) <= MaxFlows && expectedWait <= flow.OpensFor {
		return nil
	}
	last := 0
	for i, x := range q.entries {
		if !q.precedes(now, load, x, q.entries[last]) {
			last = i
		}
	}
	refused = q.entries[last]
	q.entries = slices.Delete(q.entries, last, last+1)
	return refused
}

// Expire removes and returns the flows whose callers have given up.
func (q *Room) Expire(now instant.Instant) (expired []*Entry) {
	q.entries = slices.DeleteFunc(q.entries, func(x *Entry) bool {
		if x.Until < now {
			expired = append(expired, x)
		}
		return x.Until < now
	})
	return expired
}

// Next removes and returns the first flow in order. ok is false if the queue is empty
// or that flow may not be admitted yet.
func (q *Room) Next(now instant.Instant, load State) (e *Entry, ok bool) {
	best := -1
	for i, x := range q.entries {
		if best < 0 || q.precedes(now, load, x, q.entries[best]) {
			best = i
		}
	}
	if best < 0 || !Passes(now, q.entries[best], load) {
		return nil, false
	}
	e = q.entries[best]
	q.entries = slices.Delete(q.entries, best, best+1)
	return e, true
}

// precedes reports whether a is ordered before b.
func (q *Room) precedes(now instant.Instant, load State, a, b *Entry) bool {
	aCanMeet, bCanMeet := a.canMeetTarget(now, load), b.canMeetTarget(now, load)
	switch {
	case aCanMeet != bCanMeet:
		return aCanMeet
	case a.Priority != b.Priority:
		return a.Priority < b.Priority
	}
	return a.Asked > b.Asked
}
