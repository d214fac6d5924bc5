package admission

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/flow"
)

const ms = instant.Instant(time.Millisecond)

// entry returns a flow of the n-th caller that first asked at a time.
func entry(n int, asked instant.Instant, priority uint32) *Entry {
	return &Entry{
		Flow: flow.ID{Caller: flow.Endpoint{IP: flow.IP(n)}}, FirstSentAt: asked, ExpiresAt: asked + 1400*ms,
		TargetLatency: 200 * time.Millisecond, Priority: priority,
	}
}

func state(inSystem int) UpstreamLoad {
	return UpstreamLoad{Slots: 4, InSystem: inSystem, ServiceTime: 30 * time.Millisecond}
}

func TestPasses(t *testing.T) {
	tests := []struct {
		name     string
		inSystem int
		age      instant.Instant
		want     bool
	}{
		{"EmptyUpstream", 0, 0, true},
		{"QueueWithinTheAim", 11, 0, true},
		{"QueueOfTheUpstreamFull", 12, 0, false},
		{"QueueBeyondTheAim", 26, 0, false},
		{"OldButInTime", 8, 100 * ms, true},
		{"OldAndQueued", 15, 100 * ms, false},
		{"OldAndShortQueue", 7, 150 * ms, true},
		{"LateAndSlotFree", 3, 600 * ms, true},
		{"LateAndSlotsBusy", 8, 600 * ms, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, CanAdmit(1000*ms, entry(1, 1000*ms-test.age, 1), state(test.inSystem)), qt.Equals, test.want)
		})
	}
}

func TestOrder(t *testing.T) {
	r, now := New(), 2000*ms
	for _, e := range []*Entry{
		entry(1, now-600*ms, 2), entry(2, now-20*ms, 2), entry(3, now-10*ms, 2), entry(4, now-50*ms, 1), entry(5, now-700*ms, 2),
	} {
		qt.Assert(t, r.Add(now, e, state(50)), qt.IsNil)
	}
	_, ok := r.Next(now, state(50))
	qt.Assert(t, ok, qt.IsFalse, qt.Commentf("none passes while the upstream is full"))
	var got []flow.IP
	for e, ok := r.Next(now, state(0)); ok; e, ok = r.Next(now, state(0)) {
		got = append(got, e.Flow.Caller.IP)
	}
	// Urgent first, then the latest of those that can be in time, then the late.
	qt.Assert(t, got, qt.DeepEquals, []flow.IP{4, 3, 2, 1, 5})
}

func TestHopelessIsRefusedAtOnce(t *testing.T) {
	r, now := New(), 2000*ms
	added := 0
	for n := range 300 {
		if r.Add(now, entry(n, now, 1), state(50)) == nil {
			added++
		}
	}
	// 1.4 s at four slots of 30 ms.
	qt.Assert(t, added > 180 && added < 190, qt.IsTrue, qt.Commentf("%d", added))
	qt.Assert(t, r.Add(now, entry(0, now, 1), state(50)), qt.IsNil, qt.Commentf("a copy of one that waits is taken in"))
}

func TestWaitingEndsWithTheCaller(t *testing.T) {
	r := New()
	r.Add(0, entry(1, 0, 1), state(50))
	qt.Assert(t, r.Expire(1400*ms), qt.HasLen, 0)
	qt.Assert(t, r.Expire(1500*ms), qt.HasLen, 1)
	_, ok := r.Next(1500*ms, state(0))
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, r.Len(), qt.Equals, 0)
}

// TestTheLastInOrderIsRefused replays the return of all upstreams: a room full of
// callers that have waited for long must not turn away those that have just come.
func TestTheLastInOrderIsRefused(t *testing.T) {
	tests := []struct {
		name string
		// age and priority of the newcomer, where all others are 600 ms old and of
		// priority 1.
		age      instant.Instant
		priority uint32
		refused  bool
	}{
		{"Fresh", 0, 1, false},
		{"FreshButLessUrgent", 0, 2, false},
		{"LateAndUrgent", 700 * ms, 0, false},
		{"LateAndLessUrgent", 500 * ms, 2, true},
		{"Oldest", 700 * ms, 1, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r, now := New(), 2000*ms
			n := 0
			for r.Add(now, entry(n, now-600*ms, 1), state(50)) == nil {
				n++
			}
			e := entry(n+1, now-test.age, test.priority)
			refused := r.Add(now, e, state(50))
			qt.Assert(t, refused, qt.IsNotNil)
			qt.Assert(t, refused == e, qt.Equals, test.refused)
			qt.Assert(t, r.Len(), qt.Equals, n)
		})
	}
}
