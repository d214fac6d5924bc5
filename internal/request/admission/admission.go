// Package admission decides which requests an upstream runs, and when.
//
// An agent offers each request to the queue of its upstream. The queue starts
// it, lets it wait, or refuses it at once when it could not finish by its
// deadline. Waiting requests run earliest deadline first. Where the upstream
// cannot finish all of them in time, those worth least for the time they take
// are refused, so that the rest is delivered on time. While the demand of kinds
// that are worth more for their time takes all slots, a kind does not start at
// all, but for its guaranteed share.
//
// # Usage
//
//	q := admission.New(slots, kinds, admission.EarliestDeadline)
//	q.Arrive(now, item.Kind)
//	res := q.Offer(now, item)
//	for _, id := range res.Refused { ... }
//	for _, id := range res.Started { ... }
//	res = q.Finish(now, id, admission.Served)
//
// The package does no input or output. A Queue must not be shared without a lock.
package admission

import (
	"sort"
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/customer/contract"
)

type (
	// ID names a request within one queue.
	ID uint64
	// KindIndex is the place of a kind in the list given to New.
	KindIndex int
)

// Kind is what the queue knows about one kind of request.
type Kind struct {
	Name   contract.KindName
	Weight float64
	// Share is the part of the slots that the kind is guaranteed, 0 to 1.
	Share float64
	// Deadline is the usual deadline; it bounds the first estimate of the size.
	Deadline time.Duration
}

// Item is one request.
type Item struct {
	ID       ID
	Kind     KindIndex
	Arrived  instant.Instant
	Deadline instant.Instant
}

// Policy is a way to run a queue.
type Policy struct {
	Name string
	// Before orders waiting requests.
	Before func(q *Queue, a, b Item) bool
	// Deadlines makes the queue refuse what cannot finish in time.
	Deadlines bool
}

// Policies.
var (
	// FirstComeFirstServed neither orders nor refuses.
	FirstComeFirstServed = Policy{Name: "FirstComeFirstServed", Before: byArrival}
	// EarliestDeadline orders by deadline and refuses what is worth least.
	EarliestDeadline = Policy{Name: "EarliestDeadline", Before: byDeadline, Deadlines: true}
	// ShortestFirst orders by the learnt size and refuses what cannot finish.
	ShortestFirst = Policy{Name: "ShortestFirst", Before: bySize, Deadlines: true}
	// Densest orders by worth for the time taken and refuses what cannot finish.
	Densest = Policy{Name: "Densest", Before: byDensity, Deadlines: true}
)

func byArrival(_ *Queue, a, b Item) bool { return a.Arrived < b.Arrived }

func byDeadline(_ *Queue, a, b Item) bool { return a.Deadline < b.Deadline }

func bySize(q *Queue, a, b Item) bool {
	return tied(q.kinds[a.Kind].size.mean, q.kinds[b.Kind].size.mean, a, b)
}

func byDensity(q *Queue, a, b Item) bool {
	return tied(q.density(b.Kind), q.density(a.Kind), a, b)
}

func tied[T float64 | time.Duration](x, y T, a, b Item) bool {
	if x != y {
		return x < y
	}
	return a.Deadline < b.Deadline
}

const (
	// MaxWaiting bounds the queue, as a number of requests.
	MaxWaiting = 4096
	// MaxWait bounds the time that a request may be expected to wait, whatever its
	// deadline: after a crest the queue is back to normal within this time.
	MaxWait = 1800 * time.Millisecond
	// demandTime is the time over which demand is averaged.
	demandTime = 500 * time.Millisecond
	// overload is the demand, as a part of the slots, at which kinds of less worth
	// stay out.
	overload = 1.05
	// worthMargin is how much less a kind must be worth, since sizes are estimates.
	worthMargin = 1.25
)

// Completion tells how a request left its slot.
type Completion uint8

// Ends.
const (
	// Served means that the upstream ran it: its time counts for the estimate.
	Served Completion = iota
	// Abandoned means that it ended without a full run.
	Abandoned
)

// Result lists what an event led to.
type Result struct {
	// Started lists the requests that take a slot now.
	Started []ID
	// Refused lists the requests that will not run.
	Refused []ID
	// RetryAfter is when a refused caller may try again.
	RetryAfter time.Duration
}

type kindState struct {
	Kind
	size    estimate
	running int
	demand  demand
}

type run struct {
	kind    KindIndex
	started instant.Instant
}

// Queue decides for one upstream.
type Queue struct {
	policy  Policy
	slots   int
	kinds   []kindState
	waiting []Item
	running map[ID]run
	// Refusals counts requests refused for their deadline.
	Refusals int
}

// New returns a queue before an upstream with slots.
func New(slots int, kinds []Kind, p Policy) *Queue {
	q := &Queue{policy: p, slots: slots, running: make(map[ID]run)}
	for _, k := range kinds {
		q.kinds = append(q.kinds, kindState{Kind: k, size: newEstimate(k.Deadline)})
	}
	return q
}

// Resize changes the number of slots; running requests keep theirs.
func (q *Queue) Resize(now instant.Instant, slots int) Result {
	q.slots = slots
	return q.Tick(now)
}

// Offer takes a request in.
func (q *Queue) Offer(now instant.Instant, it Item) Result {
	if len(q.waiting) >= MaxWaiting || q.gated(now, it.Kind) {
		q.Refusals++
		return Result{Refused: []ID{it.ID}, RetryAfter: q.Backlog(now)}
	}
	i := sort.Search(len(q.waiting), func(i int) bool { return q.policy.Before(q, it, q.waiting[i]) })
	q.waiting = append(q.waiting, Item{})
	copy(q.waiting[i+1:], q.waiting[i:])
	q.waiting[i] = it
	res := q.startWaiting(now)
	return q.shedInto(now, res)
}

// TryStart starts a request only if a slot is free and nothing waits for it.
func (q *Queue) TryStart(now instant.Instant, it Item) bool {
	if len(q.waiting) > 0 || q.FreeSlots() <= 0 || q.gated(now, it.Kind) {
		return false
	}
	q.start(now, it)
	return true
}

// Finish frees the slot of a request.
func (q *Queue) Finish(now instant.Instant, id ID, end Completion) Result {
	r, ok := q.running[id]
	if !ok {
		return Result{}
	}
	delete(q.running, id)
	k := &q.kinds[r.kind]
	k.running--
	if end == Served {
		k.size.learn(now.Sub(r.started))
	}
	return q.startWaiting(now)
}

// Withdraw takes a waiting request out and reports whether it was waiting.
func (q *Queue) Withdraw(id ID) bool {
	for i, it := range q.waiting {
		if it.ID == id {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Tick refuses what can no longer finish in time.
func (q *Queue) Tick(now instant.Instant) Result {
	return q.shedInto(now, q.startWaiting(now))
}

// startWaiting starts what can start, and refuses what comes to its turn too late.
func (q *Queue) startWaiting(now instant.Instant) Result {
	var res Result
	for q.FreeSlots() > 0 && len(q.waiting) > 0 {
		i := q.next()
		it := q.waiting[i]
		q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
		if q.policy.Deadlines && it.Deadline.Sub(now) < q.kinds[it.Kind].size.low() {
			q.Refusals++
			res.Refused = append(res.Refused, it.ID)
			continue
		}
		q.start(now, it)
		res.Started = append(res.Started, it.ID)
	}
	return q.withRetry(now, res)
}

// shedInto adds to a result what cannot finish in time.
func (q *Queue) shedInto(now instant.Instant, res Result) Result {
	if !q.policy.Deadlines || len(q.waiting) == 0 {
		return res
	}
	res.Refused = append(res.Refused, q.shed(now)...)
	return q.withRetry(now, res)
}

func (q *Queue) withRetry(now instant.Instant, res Result) Result {
	if len(res.Refused) > 0 {
		res.RetryAfter = q.Backlog(now)
	}
	return res
}

func (q *Queue) start(now instant.Instant, it Item) {
	q.running[it.ID] = run{it.Kind, now}
	q.kinds[it.Kind].running++
}

// next returns the place of the request to start: the first of a kind below its
// guaranteed share, or else the first of all.
func (q *Queue) next() int {
	for i, it := range q.waiting {
		k := &q.kinds[it.Kind]
		if k.Share > 0 && float64(k.running) < k.Share*float64(q.slots) {
			return i
		}
	}
	return 0
}

// RecordArrival counts a request of a caller, before it is offered anywhere.
func (q *Queue) RecordArrival(now instant.Instant, k KindIndex) {
	q.kinds[k].demand.add(now)
}

// FreeSlots returns the number of free slots; it is negative after a shrinking Resize.
func (q *Queue) FreeSlots() int { return q.slots - len(q.running) }

// Running returns the number of requests that hold a slot.
func (q *Queue) Running() int { return len(q.running) }

// Waiting returns the number of requests that wait.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Backlog estimates the time until all that waits has run.
func (q *Queue) Backlog(now instant.Instant) time.Duration {
	work := time.Duration(0)
	for _, it := range q.waiting {
		work += q.kinds[it.Kind].size.mean
	}
	p := q.throughput(now)
	return p.next + work/p.slots
}

// ServiceTime returns the learnt mean service time of a kind.
func (q *Queue) ServiceTime(k KindIndex) time.Duration { return q.kinds[k].size.mean }

// MeanServiceTime returns the mean of the learnt service times.
func (q *Queue) MeanServiceTime() time.Duration {
	sum := time.Duration(0)
	for _, k := range q.kinds {
		sum += k.size.mean
	}
	return sum / time.Duration(max(len(q.kinds), 1))
}
