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

// tickEvery is how often waiting requests are looked at.
const tickEvery = 20 * time.Millisecond

// scheduler runs the admission queue of the own upstream for many goroutines.
type scheduler struct {
	now func() instant.Instant

	mu      sync.Mutex
	queue   *admission.Queue
	slots   int
	nextID  admission.ID
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

// apply wakes the requests that a result names.
func (s *scheduler) apply(r admission.Result) {
	for _, id := range r.Started {
		s.wake(id, true)
	}
	for _, id := range r.Refused {
		s.wake(id, false)
	}
}

func (s *scheduler) wake(id admission.ID, start bool) {
	if c := s.waiting[id]; c != nil {
		c <- start
		delete(s.waiting, id)
	}
}

// enter counts a request of a caller and returns it as the queue knows it; ok
// is false where the contract no longer names its kind.
func (s *scheduler) enter(kind contract.KindName, deadline time.Time, arrives bool) (it admission.Item, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.queue.Index(kind)
	if !ok {
		return it, false
	}
	s.nextID++
	now := s.now()
	if arrives {
		s.queue.RecordArrival(now, i)
	}
	return admission.Item{ID: s.nextID, Kind: i, Arrived: now, Deadline: now.Add(time.Until(deadline))}, true
}

// tryStart takes a free slot; the slot must be given back with finish.
func (s *scheduler) tryStart(it admission.Item) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.TryStart(s.now(), it)
}

// waited is how a wait for a slot ended.
type waited uint8

const (
	slotGiven waited = iota
	slotRefused
	// patienceOver means that the request is out of the queue and may be offered elsewhere.
	patienceOver
)

// wait waits for a slot, but no longer than patience.
func (s *scheduler) wait(ctx context.Context, it admission.Item, patience time.Duration) waited {
	c := make(chan bool, 1)
	s.mu.Lock()
	s.waiting[it.ID] = c
	s.apply(s.queue.Offer(s.now(), it))
	s.mu.Unlock()
	t := time.NewTimer(patience)
	defer t.Stop()
	select {
	case start := <-c:
		return ended(start)
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
		return patienceOver
	}
	start := <-c
	if start && ctx.Err() != nil {
		// The slot was given just as the caller went away.
		s.apply(s.queue.Finish(s.now(), it.ID, admission.Abandoned))
		return slotRefused
	}
	return ended(start)
}

func ended(start bool) waited {
	if start {
		return slotGiven
	}
	return slotRefused
}

func (s *scheduler) finish(id admission.ID, end admission.Completion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(s.queue.Finish(s.now(), id, end))
}

func (s *scheduler) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(s.queue.Tick(s.now()))
}

// price estimates when a new request of a kind would end at the own upstream.
func (s *scheduler) price(k admission.KindIndex) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Backlog(s.now()) + s.queue.MeanServiceTime()/time.Duration(max(s.slots, 1)) + s.queue.ServiceTime(k)
}

// size returns the mean run of a kind at the own upstream.
func (s *scheduler) size(k admission.KindIndex) time.Duration {
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
	t := time.NewTicker(tickEvery)
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
