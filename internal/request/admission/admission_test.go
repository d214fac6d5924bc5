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

// follower holds a queue against the invariants of its results.
type follower struct {
	q       *Queue
	slots   int
	items   map[ID]Item
	waiting map[ID]bool
	running map[ID]bool
	refused map[ID]bool
}

func (f *follower) take(t *rapid.T, now instant.Instant, r Result) {
	for _, id := range r.Started {
		if !f.waiting[id] || f.refused[id] {
			t.Fatalf("%d started although it was not waiting", id)
		}
		if f.items[id].Deadline < now {
			t.Fatalf("%d started after its deadline", id)
		}
		delete(f.waiting, id)
		f.running[id] = true
	}
	for _, id := range r.Refused {
		if !f.waiting[id] {
			t.Fatalf("%d refused although it was not waiting", id)
		}
		delete(f.waiting, id)
		f.refused[id] = true
	}
	if len(f.running) > f.slots || f.q.Running() != len(f.running) || f.q.Waiting() != len(f.waiting) {
		t.Fatalf("%d run in %d slots, the queue says %d and %d wait, it says %d",
			len(f.running), f.slots, f.q.Running(), len(f.waiting), f.q.Waiting())
	}
	if f.q.FreeSlots() > 0 && f.q.Waiting() > 0 {
		t.Fatal("a slot is free while requests wait")
	}
}

func TestQueueInvariants(t *testing.T) {
	policies := []Policy{FirstComeFirstServed, EarliestDeadline, ShortestFirst, Densest}
	rapid.Check(t, func(t *rapid.T) {
		p := rapid.SampledFrom(policies).Draw(t, "policy")
		f := &follower{slots: rapid.IntRange(1, 5).Draw(t, "slots"), items: map[ID]Item{}, waiting: map[ID]bool{}, running: map[ID]bool{}, refused: map[ID]bool{}}
		f.q = New(f.slots, testKinds, p)
		now := instant.Instant(0)
		for id := ID(1); id < 200; id++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "passMillis")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1:
				k := KindIndex(rapid.IntRange(0, 2).Draw(t, "kind"))
				it := Item{id, k, now, now.Add(testKinds[k].Deadline)}
				if !p.Deadlines {
					it.Deadline = now.Add(time.Hour)
				}
				f.items[id], f.waiting[id] = it, true
				f.take(t, now, f.q.Offer(now, it))
			case 2:
				for r := range f.running {
					delete(f.running, r)
					f.take(t, now, f.q.Finish(now, r, Served))
					break
				}
			case 3:
				f.take(t, now, f.q.Tick(now))
			}
		}
	})
}

func TestRefusesWhatIsWorthLeast(t *testing.T) {
	q := New(1, testKinds, EarliestDeadline)
	now := instant.Instant(0)
	for i, k := range []time.Duration{20, 20, 100} {
		for range warmUp {
			q.kinds[i].size.learn(k * time.Millisecond)
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
	qt.Check(t, lookups, qt.Equals, q.Waiting(), qt.Commentf("only lookups, worth most for their time, wait"))
	qt.Check(t, len(refused), qt.Equals, 28-q.Waiting())
}

func TestShareIsKept(t *testing.T) {
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

func TestReconfigureKeepsWhatWasLearnt(t *testing.T) {
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
