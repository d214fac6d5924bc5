// Package scheduling implements the queue of requests on open flows that an agent holds back
// while all slots of its upstream are taken.
//
// Requests of different kinds share the slots of an upstream, which queues them first in,
// first out. In a peak a request with a short target latency or a high priority then waits
// behind all others, and most requests are late. The agent therefore holds the packets of a
// new request until a slot is free and delivers the request that is first in order: of those
// that can still meet their target latency, the one with the least time left, where each step
// of priority counts as some time; late ones come last. A lower priority thus waits longer,
// but not for as long as there are requests of a higher one. New flows that wait for admission
// are ordered among the held requests.
//
// Held requests are never rejected, since only the upstream can report that a request has
// not run. One that would otherwise miss its timeout is delivered although no slot is free,
// and so is the last in order if more are held than can get a slot before their timeouts, or
// than fit into the limits.
//
// # Usage
//
//	q := scheduling.New()
//	q.Add(scheduling.NewRequest(entry, packet))
//	held := q.Append(id, packet)
//	for _, r := range q.Due(now, load) {
//		deliver(r)
//	}
//	for r := q.Next(now, load); r != nil; r = q.Next(now, load) {
//		deliver(r)
//		load.InSystem++
//	}
//
// The package performs no I/O. A Queue is not safe for concurrent use.
package scheduling

import (
	"slices"
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/admission"
	"github.com/jaytack/jaytack/internal/relay/flow"
)

const (
	// MaxRequests and MaxBytes limit the requests held for one upstream and their packets.
	MaxRequests = 512
	MaxBytes    = 1 << 20
	// MaxPackets limits the packets of one request: callers have at most 16 unacknowledged
	// packets in flight.
	MaxPackets = 16
	// priorityRounds is how much longer a request waits for each step of priority below another,
	// in service times. Without a bound on the advantage, a burst of urgent requests made half of
	// the others late, and the sum of what both are worth fell. Priorities lower than maxPriority
	// count as maxPriority.
	priorityRounds = 2
	maxPriority    = 7
	// lateFraction is the part of the usual service time by which a request may lack time before
	// it counts as late. Two of five requests take less than two thirds of the usual time, which
	// includes rare long ones. With no allowance more requests of a calm wave were late than
	// without any order, with the whole service time more of a peak.
	lateFraction = 3
	// decisionInterval is the longest time between two calls of Due.
	decisionInterval = 50 * time.Millisecond
)

// Request is a held request. Its FirstSentAt is when the caller sent it, its ExpiresAt when the
// caller gives up.
type Request struct {
	admission.Entry
	packets []flow.Packet
}

// NewRequest returns a request that begins with a packet.
func NewRequest(e admission.Entry, first flow.Packet) *Request {
	return &Request{Entry: e, packets: []flow.Packet{first}}
}

// Packets returns the held packets, ordered by sequence number.
func (r *Request) Packets() []flow.Packet { return r.packets }

// append adds a packet, or replaces the held copy of it. ok is false if the packet does not
// belong to the request or MaxPackets are held.
func (r *Request) append(p flow.Packet) (added int, ok bool) {
	if int32(p.Seq-r.packets[0].Seq) < 0 {
		return 0, false
	}
	i, found := slices.BinarySearchFunc(r.packets, p, func(a, b flow.Packet) int { return int(int32(a.Seq - b.Seq)) })
	switch {
	case found:
		added = len(p.Bytes) - len(r.packets[i].Bytes)
		r.packets[i] = p
	case len(r.packets) == MaxPackets:
		return 0, false
	default:
		r.packets = slices.Insert(r.packets, i, p)
		added = len(p.Bytes)
	}
	return added, true
}

// Queue holds the requests for one upstream.
type Queue struct {
	requests []*Request
	bytes    int
}

// New returns an empty queue.
func New() *Queue { return &Queue{} }

// Len returns the number of held requests.
func (q *Queue) Len() int { return len(q.requests) }

// Bytes returns the size of all held packets.
func (q *Queue) Bytes() int { return q.bytes }

// CountByPriority calls add with the priority of each held request.
func (q *Queue) CountByPriority(add func(priority uint32, n int)) {
	for _, r := range q.requests {
		add(r.Priority, 1)
	}
}

// Add holds a request.
func (q *Queue) Add(r *Request) {
	q.requests = append(q.requests, r)
	for _, p := range r.packets {
		q.bytes += len(p.Bytes)
	}
}

// Append holds a further packet of the request of a flow, or replaces the held copy. It
// reports false if the packet does not belong to the request or the request is full.
func (q *Queue) Append(id flow.ID, p flow.Packet) bool {
	for _, r := range q.requests {
		if r.Flow == id {
			added, ok := r.append(p)
			q.bytes += added
			return ok
		}
	}
	return false
}

// Follows reports whether a packet belongs to the held request of its flow.
func (q *Queue) Follows(p flow.Packet) bool {
	for _, r := range q.requests {
		if r.Flow == p.Flow {
			return int32(p.Seq-r.packets[0].Seq) >= 0
		}
	}
	return false
}

// Remove removes and returns the request of a flow, nil if there is none.
func (q *Queue) Remove(id flow.ID) *Request {
	i := slices.IndexFunc(q.requests, func(r *Request) bool { return r.Flow == id })
	if i < 0 {
		return nil
	}
	return q.removeAt(i)
}

// TakeAll removes and returns all requests in order of arrival.
func (q *Queue) TakeAll() []*Request {
	all := q.requests
	q.requests, q.bytes = nil, 0
	return all
}

// Next removes and returns the first request in order, nil if none is held or no slot is
// free. load.InSystem is the number of delivered requests.
func (q *Queue) Next(now instant.Instant, load admission.UpstreamLoad) *Request {
	if len(q.requests) == 0 || load.InSystem >= load.Slots {
		return nil
	}
	first := 0
	for i, r := range q.requests {
		if Precedes(now, load, &r.Entry, &q.requests[first].Entry) {
			first = i
		}
	}
	return q.removeAt(first)
}

// Due removes and returns the requests to be delivered although no slot is free.
func (q *Queue) Due(now instant.Instant, load admission.UpstreamLoad) (due []*Request) {
	latest := now.Add(load.ExpectedLatency() + decisionInterval)
	for i := 0; i < len(q.requests); {
		if q.requests[i].ExpiresAt < latest {
			due = append(due, q.removeAt(i))
			continue
		}
		i++
	}
	for len(q.requests) > 0 {
		last := 0
		for i, r := range q.requests {
			if !Precedes(now, load, &r.Entry, &q.requests[last].Entry) {
				last = i
			}
		}
		turn := now.Add(time.Duration(float64(load.InSystem+len(q.requests)) / float64(max(load.Slots, 1)) * float64(load.ServiceTime)))
		if len(q.requests) <= MaxRequests && q.bytes <= MaxBytes && turn <= q.requests[last].ExpiresAt {
			break
		}
		due = append(due, q.removeAt(last))
	}
	return due
}

// Ahead returns the number of held requests that go before a new flow.
func (q *Queue) Ahead(now instant.Instant, load admission.UpstreamLoad, e *admission.Entry) (n int) {
	for _, r := range q.requests {
		if Precedes(now, load, &r.Entry, e) {
			n++
		}
	}
	return n
}

// Precedes reports whether a is ordered before b. Requests that can still meet their target
// latency are ordered by the time left, which counts as longer for lower priorities. Late ones
// come after them, ordered alike.
func Precedes(now instant.Instant, load admission.UpstreamLoad, a, b *admission.Entry) bool {
	aLeft, bLeft := a.TimeLeft(now, load), b.TimeLeft(now, load)
	late := -load.ServiceTime / lateFraction
	if (aLeft >= late) != (bLeft >= late) {
		return aLeft >= late
	}
	return aLeft+priorityDelay(load, a) < bLeft+priorityDelay(load, b)
}

// priorityDelay returns how much longer than one of the highest priority a request waits, at
// most half of its target latency: it then still gets its turn in time while requests of
// higher priorities arrive as fast as they are served.
func priorityDelay(load admission.UpstreamLoad, e *admission.Entry) time.Duration {
	return min(time.Duration(priorityRounds*min(e.Priority, maxPriority))*load.ServiceTime, e.Target()/2)
}

func (q *Queue) removeAt(i int) *Request {
	r := q.requests[i]
	q.requests = slices.Delete(q.requests, i, i+1)
	for _, p := range r.packets {
		q.bytes -= len(p.Bytes)
	}
	return r
}
