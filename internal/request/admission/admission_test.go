package admission

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/jaytack/jaytack/internal/clock/instant"
)

var testKinds = []Kind{
	{Name: "PermitLookup", Weight: 10, Deadline: 200 * time.Millisecond},
	{Name: "CountSubmission", Weight: 4, Deadline: 2 * time.Second, Share: 0.25},
	{Name: "PhotoUpload", Weight: 1, Deadline: 5 * time.Second},
}

// checkedQueue checks the results of a queue against its invariants.
type checkedQueue struct {
	queue   *Queue
	slots   int
	items   map[ID]Item
	waiting map[ID]bool
	running map[ID]bool
	refused map[ID]bool
}

func (c *checkedQueue) check(t *rapid.T, now instant.Instant, r Result) {
	for _, id := range r.Started {
		if !c.waiting[id] || c.refused[id] {
			t.Fatalf("%d started although it was not waiting", id)
		}
		if c.items[id].Deadline < now {
			t.Fatalf("%d started after its deadline", id)
		}
		delete(c.waiting, id)
		c.running[id] = true
	}
	for _, id := range r.Refused {
		if !c.waiting[id] {
			t.Fatalf("%d refused although it was not waiting", id)
		}
		delete(c.waiting, id)
		c.refused[id] = true
	}
	if len(c.running) > c.slots || c.queue.Running() != len(c.running) || c.queue.Waiting() != len(c.waiting) {
		t.Fatalf("%d running in %d slots, queue reports %d; %d waiting, queue reports %d",
			len(c.running), c.slots, c.queue.Running(), len(c.waiting), c.queue.Waiting())
	}
	if c.queue.FreeSlots() > 0 && c.queue.Waiting() > 0 {
		t.Fatal("a slot is free while requests wait")
	}
}

func TestQueueInvariants(t *testing.T) {
	policies := []Policy{FirstComeFirstServed, EarliestDeadline, ShortestFirst, Densest}
	rapid.Check(t, func(t *rapid.T) {
		p := rapid.SampledFrom(policies).Draw(t, "policy")
		c := &checkedQueue{slots: rapid.IntRange(1, 5).Draw(t, "slots"), items: map[ID]Item{}, waiting: map[ID]bool{}, running: map[ID]bool{}, refused: map[ID]bool{}}
		c.queue = New(c.slots, testKinds, p)
		now := instant.Instant(0)
		for id := ID(1); id < 200; id++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "passMillis")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1:
				k := KindIndex(rapid.IntRange(0, 2).Draw(t, "kind"))
				it := Item{id, k, now, now.Add(testKinds[k].Deadline)}
				if !p.RefuseLate {
					it.Deadline = now.Add(time.Hour)
				}
				c.items[id], c.waiting[id] = it, true
				c.check(t, now, c.queue.Offer(now, it))
			case 2:
				for r := range c.running {
					delete(c.running, r)
					c.check(t, now, c.queue.Finish(now, r, Served))
					break
				}
			case 3:
				c.check(t, now, c.queue.Tick(now))
			}
		}
	})
}

func TestLeastDenseKindIsRefused(t *testing.T) {
	q := New(1, testKinds, EarliestDeadline)
	now := instant.Instant(0)
	for i, k := range []time.Duration{20, 20, 100} {
		for range 8 {
			q.kinds[i].serviceTime.observe(k * time.Millisecond)
		}
	}
	q.Offer(now, Item{1, 2, now, now.Add(time.Second)})
	var refused []ID
	for id := ID(2); id < 30; id++ {
		refused = append(refused, q.Offer(now, Item{id, KindIndex(id % 3), now, now.Add(200 * time.Millisecond)}).Refused...)
	}
	lookups := 0
	for _, it := range q.waiting {
		if it.Kind == 0 {
			lookups++
		}
	}
	qt.Check(t, lookups, qt.Equals, q.Waiting(), qt.Commentf("only lookups, the densest kind, wait"))
	qt.Check(t, len(refused), qt.Equals, 28-q.Waiting())
}

func TestGuaranteedShareStartsFirst(t *testing.T) {
	q := New(4, testKinds, EarliestDeadline)
	now := instant.Instant(0)
	for id := ID(1); id <= 4; id++ {
		q.Offer(now, Item{id, 0, now, now.Add(time.Minute)})
	}
	q.Offer(now, Item{5, 0, now, now.Add(time.Minute)})
	q.Offer(now, Item{6, 1, now, now.Add(time.Hour)})
	r := q.Finish(now, 1, Served)
	qt.Check(t, r.Started, qt.DeepEquals, []ID{6})
}

func TestReconfigureKeepsServiceTimes(t *testing.T) {
	q := New(2, testKinds, EarliestDeadline)
	q.Offer(0, Item{1, 1, 0, instant.Instant(time.Minute)})
	q.Finish(instant.Instant(50*time.Millisecond), 1, Served)
	size := q.ServiceTime(1)
	q.Reconfigure(0, 3, []Kind{{Name: "Fresh", Deadline: time.Second}, testKinds[1]})
	i, ok := q.Index("CountSubmission")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Check(t, q.ServiceTime(i), qt.Equals, size)
	qt.Check(t, q.FreeSlots(), qt.Equals, 3)
}
