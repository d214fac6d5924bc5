// Package admission implements admission control and scheduling for the requests
// of one upstream.
//
// An agent offers each request to the queue of its upstream. The queue starts
// the request, lets it wait, or refuses it at once if it could not finish by its
// deadline. Waiting requests run earliest deadline first. If the upstream cannot
// finish all of them in time, the queue refuses the kinds with the lowest density
// (weight per second of service time), so that the others finish on time. While
// the demand of denser kinds fills all slots, a kind is gated: its requests are
// refused unless it runs fewer than its guaranteed share.
//
// # Usage
//
//	q := admission.New(slots, kinds, admission.EarliestDeadline)
//	q.RecordArrival(now, item.Kind)
//	res := q.Offer(now, item)
//	for _, id := range res.Refused { ... }
//	for _, id := range res.Started { ... }
//	res = q.Finish(now, id, admission.Served)
//
// The package does no I/O. A Queue is not safe for concurrent use.
package admission

import (
	"sort"
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/customer/contract"
)

type (
	// ID identifies a request within one queue.
	ID uint64
	// KindIndex is the index of a kind in the list passed to New.
	KindIndex int
)

// Kind configures one kind of request.
type Kind struct {
	Name   contract.KindName
	Weight float64
	// Share is the guaranteed fraction of the slots, 0 to 1.
	Share float64
	// Deadline is the default deadline. The initial estimate of the service time
	// is derived from it.
	Deadline time.Duration
}

// Item is one request.
type Item struct {
	ID       ID
	Kind     KindIndex
	Arrived  instant.Instant
	Deadline instant.Instant
}

// Policy determines the order of a queue and whether it refuses late requests.
type Policy struct {
	Name string
	// Before reports whether waiting request a runs before b.
	Before func(q *Queue, a, b Item) bool
	// RefuseLate makes the queue refuse requests that cannot finish in time, and gate
	// kinds.
	RefuseLate bool
}

// Policies.
var (
	// FirstComeFirstServed orders by arrival and refuses no late request.
	FirstComeFirstServed = Policy{Name: "FirstComeFirstServed", Before: byArrival}
	// EarliestDeadline orders by deadline and refuses late requests.
	EarliestDeadline = Policy{Name: "EarliestDeadline", Before: byDeadline, RefuseLate: true}
	// ShortestFirst orders by mean service time and refuses late requests.
	ShortestFirst = Policy{Name: "ShortestFirst", Before: byServiceTime, RefuseLate: true}
	// Densest orders by density, highest first, and refuses late requests.
	Densest = Policy{Name: "Densest", Before: byDensity, RefuseLate: true}
)

func byArrival(_ *Queue, a, b Item) bool { return a.Arrived < b.Arrived }

func byDeadline(_ *Queue, a, b Item) bool { return a.Deadline < b.Deadline }

func byServiceTime(q *Queue, a, b Item) bool {
	return lessBreakTiesByDeadline(q.kinds[a.Kind].serviceTime.mean, q.kinds[b.Kind].serviceTime.mean, a, b)
}

func byDensity(q *Queue, a, b Item) bool {
	return lessBreakTiesByDeadline(q.density(b.Kind), q.density(a.Kind), a, b)
}

func lessBreakTiesByDeadline[T float64 | time.Duration](x, y T, a, b Item) bool {
	if x != y {
		return x < y
	}
	return a.Deadline < b.Deadline
}

const (
	// MaxQueueLength is the maximum number of waiting requests.
	MaxQueueLength = 4096
	// MaxQueueTime bounds the time a request has waited plus its expected further
	// wait, regardless of its deadline, so that the queue recovers from a load peak
	// within this time.
	MaxQueueTime = 1800 * time.Millisecond
	// demandWindow is the time constant over which demand is averaged.
	demandWindow = 500 * time.Millisecond
	// overloadRatio is the demand of denser kinds, as a multiple of the slots, from
	// which a kind is gated.
	overloadRatio = 1.05
	// densityMargin is the ratio that the density of another kind to that of the gated
	// kind must exceed. It is above 1 because service times are estimates.
	densityMargin = 1.25
)

// Completion tells how a request released its slot.
type Completion uint8

// Completions.
const (
	// Served means that the upstream ran the request to its end or deadline, so its
	// duration updates the estimated service time.
	Served Completion = iota
	// Abandoned means that the request ended before the upstream completed it, so its
	// duration is ignored.
	Abandoned
)

// Result lists the requests that the queue started or refused.
type Result struct {
	// Started lists the requests that now occupy a slot.
	Started []ID
	// Refused lists the requests that will not run.
	Refused []ID
	// RetryAfter is the time after which a refused caller may retry.
	RetryAfter time.Duration
}

type kindState struct {
	Kind
	serviceTime serviceTimeEstimate
	running     int
	demand      decayingCounter
}

type runningRequest struct {
	kind    KindIndex
	started instant.Instant
}

// Queue admits and schedules the requests of one upstream.
type Queue struct {
	policy  Policy
	slots   int
	kinds   []kindState
	waiting []Item
	running map[ID]runningRequest
	// Refusals counts all refused requests.
	Refusals int
}

// New returns an empty queue for an upstream that runs slots requests at a time.
func New(slots int, kinds []Kind, p Policy) *Queue {
	q := &Queue{policy: p, slots: slots, running: make(map[ID]runningRequest)}
	for _, k := range kinds {
		q.kinds = append(q.kinds, kindState{Kind: k, serviceTime: newServiceTimeEstimate(k.Deadline)})
	}
	return q
}

// Resize changes the number of slots; running requests keep theirs.
func (q *Queue) Resize(now instant.Instant, slots int) Result {
	q.slots = slots
	return q.Tick(now)
}

// Offer starts, enqueues or refuses a request. It may also refuse waiting requests.
func (q *Queue) Offer(now instant.Instant, it Item) Result {
	if len(q.waiting) >= MaxQueueLength || q.isGated(now, it.Kind) {
		q.Refusals++
		return Result{Refused: []ID{it.ID}, RetryAfter: q.Backlog(now)}
	}
	i := sort.Search(len(q.waiting), func(i int) bool { return q.policy.Before(q, it, q.waiting[i]) })
	q.waiting = append(q.waiting, Item{})
	copy(q.waiting[i+1:], q.waiting[i:])
	q.waiting[i] = it
	res := q.startWaiting(now)
	return q.addLateRefusals(now, res)
}

// TryStart starts a request if a slot is free, no request waits and its kind is not
// gated. It reports whether the request started.
func (q *Queue) TryStart(now instant.Instant, it Item) bool {
	if len(q.waiting) > 0 || q.FreeSlots() <= 0 || q.isGated(now, it.Kind) {
		return false
	}
	q.start(now, it)
	return true
}

// Finish releases the slot of a request and starts waiting requests.
func (q *Queue) Finish(now instant.Instant, id ID, completion Completion) Result {
	r, ok := q.running[id]
	if !ok {
		return Result{}
	}
	delete(q.running, id)
	k := &q.kinds[r.kind]
	k.running--
	if completion == Served {
		k.serviceTime.observe(now.Sub(r.started))
	}
	return q.startWaiting(now)
}

// Withdraw removes a request from the queue and reports whether it was waiting.
func (q *Queue) Withdraw(id ID) bool {
	for i, it := range q.waiting {
		if it.ID == id {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Tick starts waiting requests and refuses those that can no longer finish in time.
func (q *Queue) Tick(now instant.Instant) Result {
	return q.addLateRefusals(now, q.startWaiting(now))
}

// startWaiting starts waiting requests while slots are free. It refuses a request
// whose deadline is too near even for an optimistic service time.
func (q *Queue) startWaiting(now instant.Instant) Result {
	var res Result
	for q.FreeSlots() > 0 && len(q.waiting) > 0 {
		i := q.nextIndex()
		it := q.waiting[i]
		q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
		if q.policy.RefuseLate && it.Deadline.Sub(now) < q.kinds[it.Kind].serviceTime.optimistic() {
			q.Refusals++
			res.Refused = append(res.Refused, it.ID)
			continue
		}
		q.start(now, it)
		res.Started = append(res.Started, it.ID)
	}
	return q.setRetryAfter(now, res)
}

// addLateRefusals refuses waiting requests that cannot finish in time and adds them
// to res.
func (q *Queue) addLateRefusals(now instant.Instant, res Result) Result {
	if !q.policy.RefuseLate || len(q.waiting) == 0 {
		return res
	}
	res.Refused = append(res.Refused, q.refuseLate(now)...)
	return q.setRetryAfter(now, res)
}

func (q *Queue) setRetryAfter(now instant.Instant, res Result) Result {
	if len(res.Refused) > 0 {
		res.RetryAfter = q.Backlog(now)
	}
	return res
}

func (q *Queue) start(now instant.Instant, it Item) {
	q.running[it.ID] = runningRequest{it.Kind, now}
	q.kinds[it.Kind].running++
}

// nextIndex returns the index of the request to start: the first whose kind runs
// fewer requests than its guaranteed share, or else the first in the queue.
func (q *Queue) nextIndex() int {
	for i, it := range q.waiting {
		k := &q.kinds[it.Kind]
		if k.Share > 0 && float64(k.running) < k.Share*float64(q.slots) {
			return i
		}
	}
	return 0
}

// RecordArrival counts a request towards the demand of its kind. Call it once for each
// request of a caller, before the request is offered to any queue.
func (q *Queue) RecordArrival(now instant.Instant, k KindIndex) {
	q.kinds[k].demand.increment(now)
}

// FreeSlots returns the number of free slots; it is negative if Resize reduced the
// slots below the number of running requests.
func (q *Queue) FreeSlots() int { return q.slots - len(q.running) }

// Running returns the number of requests that occupy a slot.
func (q *Queue) Running() int { return len(q.running) }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Backlog estimates the time until all waiting requests have run.
func (q *Queue) Backlog(now instant.Instant) time.Duration {
	work := time.Duration(0)
	for _, it := range q.waiting {
		work += q.kinds[it.Kind].serviceTime.mean
	}
	est := q.estimateSlots(now)
	return est.untilFree + work/est.usable
}

// ServiceTime returns the estimated mean service time of a kind.
func (q *Queue) ServiceTime(k KindIndex) time.Duration { return q.kinds[k].serviceTime.mean }

// MeanServiceTime returns the unweighted mean of the service times of all kinds.
func (q *Queue) MeanServiceTime() time.Duration {
	sum := time.Duration(0)
	for _, k := range q.kinds {
		sum += k.serviceTime.mean
	}
	return sum / time.Duration(max(len(q.kinds), 1))
}
