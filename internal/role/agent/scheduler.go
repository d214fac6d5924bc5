package agent

import (
	"context"
	"sync"
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/customer/contract"
	"github.com/jaytack/jaytack/internal/request/admission"
	"github.com/jaytack/jaytack/internal/request/handover"
)

// tickInterval is the time between two checks for waiting requests that would miss
// their deadline, and between polls elsewhere in the agent.
const tickInterval = 20 * time.Millisecond

// scheduler wraps the admission queue of the local upstream. It is safe for
// concurrent use.
type scheduler struct {
	now func() instant.Instant

	mu      sync.Mutex
	queue   *admission.Queue
	slots   int
	lastID  admission.ID
	waiting map[admission.ID]chan bool
}

func newScheduler(now func() instant.Instant) *scheduler {
	return &scheduler{
		now: now, queue: admission.New(0, nil, admission.EarliestDeadline),
		waiting: make(map[admission.ID]chan bool),
	}
}

func (s *scheduler) reconfigure(svc contract.Service) {
	kinds := make([]admission.Kind, 0, len(svc.Kinds))
	for _, k := range svc.Kinds {
		kinds = append(kinds, admission.Kind{Name: k.Name, Weight: k.Weight, Share: k.Share, Deadline: time.Duration(k.Deadline)})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slots = svc.Slots
	s.apply(s.queue.Reconfigure(s.now(), svc.Slots, kinds))
}

// apply notifies the waiting requests that a result starts or refuses. The caller
// holds s.mu.
func (s *scheduler) apply(r admission.Result) {
	for _, id := range r.Started {
		s.notify(id, true)
	}
	for _, id := range r.Refused {
		s.notify(id, false)
	}
}

func (s *scheduler) notify(id admission.ID, granted bool) {
	if c := s.waiting[id]; c != nil {
		c <- granted
		delete(s.waiting, id)
	}
}

// newItem returns a queue item for a request, and counts its arrival if countArrival
// is set. ok is false if the contract no longer has the kind.
func (s *scheduler) newItem(kind contract.KindName, deadline time.Time, countArrival bool) (it admission.Item, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.queue.Index(kind)
	if !ok {
		return it, false
	}
	s.lastID++
	now := s.now()
	if countArrival {
		s.queue.RecordArrival(now, i)
	}
	return admission.Item{ID: s.lastID, Kind: i, Arrived: now, Deadline: now.Add(time.Until(deadline))}, true
}

// tryStart acquires a slot if one is free. The caller must free it with finish.
func (s *scheduler) tryStart(it admission.Item) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.TryStart(s.now(), it)
}

// waitResult is the result of waiting for a slot.
type waitResult uint8

const (
	slotGranted waitResult = iota
	slotRefused
	// waitTimedOut means that the request left the queue and may be offered to peers.
	waitTimedOut
)

// wait waits for a slot until the timeout or the end of ctx.
func (s *scheduler) wait(ctx context.Context, it admission.Item, timeout time.Duration) waitResult {
	c := make(chan bool, 1)
	s.mu.Lock()
	s.waiting[it.ID] = c
	s.apply(s.queue.Offer(s.now(), it))
	s.mu.Unlock()
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case granted := <-c:
		return slotResult(granted)
	case <-ctx.Done():
	case <-t.C:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queue.Withdraw(it.ID) {
		delete(s.waiting, it.ID)
		if ctx.Err() != nil {
			return slotRefused
		}
		return waitTimedOut
	}
	granted := <-c
	if granted && ctx.Err() != nil {
		// The slot was granted just as the caller cancelled or the deadline passed.
		s.apply(s.queue.Finish(s.now(), it.ID, admission.Abandoned))
		return slotRefused
	}
	return slotResult(granted)
}

func slotResult(granted bool) waitResult {
	if granted {
		return slotGranted
	}
	return slotRefused
}

func (s *scheduler) finish(id admission.ID, completion admission.Completion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(s.queue.Finish(s.now(), id, completion))
}

func (s *scheduler) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(s.queue.Tick(s.now()))
}

// estimateDuration estimates the time until a new request of a kind would finish at
// the local upstream.
func (s *scheduler) estimateDuration(k admission.KindIndex) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Backlog(s.now()) + s.queue.MeanServiceTime()/time.Duration(max(s.slots, 1)) + s.queue.ServiceTime(k)
}

// meanServiceTime returns the mean service time of a kind at the local upstream.
func (s *scheduler) meanServiceTime(k admission.KindIndex) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.ServiceTime(k)
}

func (s *scheduler) retryAfter() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.queue.Backlog(s.now()), s.queue.MeanServiceTime())
}

func (s *scheduler) load() handover.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return handover.Load{
		Slots: s.slots, Running: s.queue.Running(), Queued: s.queue.Waiting(), MeanServiceTime: s.queue.MeanServiceTime(),
	}
}

func (a *Agent) tickScheduler() {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-a.ctx.Done():
			return
		case <-t.C:
			a.scheduler.tick()
		}
	}
}
