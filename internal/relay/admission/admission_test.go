package admission

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/flow"
)

const ms = instant.Instant(time.Millisecond)

// entry returns a flow of the n-th caller that sent its first packet at asked.
func entry(n int, asked instant.Instant, priority uint32) *Entry {
	return &Entry{
		Flow: flow.ID{Caller: flow.Endpoint{IP: flow.IP(n)}}, FirstSentAt: asked, ExpiresAt: asked + 1400*ms,
		TargetLatency: 200 * time.Millisecond, Priority: priority,
	}
}

func upstreamLoad(inSystem int) UpstreamLoad {
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
		{"QueueWithinTarget", 7, 0, true},
		{"QueueTooLong", 8, 0, false},
		{"QueueBeyondTarget", 26, 0, false},
		{"OldButInTime", 5, 100 * ms, true},
		{"OldAndQueued", 15, 100 * ms, false},
		{"OldAndSlotFree", 3, 150 * ms, true},
		{"OldAndSlotsBusy", 4, 150 * ms, false},
		{"LateAndSlotFree", 3, 600 * ms, true},
		{"LateAndSlotsBusy", 4, 600 * ms, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, CanAdmit(1000*ms, entry(1, 1000*ms-test.age, 1), upstreamLoad(test.inSystem)), qt.Equals, test.want)
		})
	}
}

func TestOrder(t *testing.T) {
	q, now := New(), 2000*ms
	for _, e := range []*Entry{
		entry(1, now-600*ms, 2), entry(2, now-20*ms, 2), entry(3, now-10*ms, 2), entry(4, now-50*ms, 1), entry(5, now-700*ms, 2),
	} {
		qt.Assert(t, q.Add(now, e, upstreamLoad(50)), qt.IsNil)
	}
	_, ok := q.Next(now, upstreamLoad(50))
	qt.Assert(t, ok, qt.IsFalse, qt.Commentf("no flow is admitted while the upstream is full"))
	var got []flow.IP
	for e, ok := q.Next(now, upstreamLoad(0)); ok; e, ok = q.Next(now, upstreamLoad(0)) {
		got = append(got, e.Flow.Caller.IP)
	}
	// The highest priority first, then the newest that can meet the target, then late ones.
	qt.Assert(t, got, qt.DeepEquals, []flow.IP{4, 3, 2, 1, 5})
}

func TestAddRefusesFlowsBeyondTheOpenTimeout(t *testing.T) {
	q, now := New(), 2000*ms
	added := 0
	for n := range 300 {
		if q.Add(now, entry(n, now, 1), upstreamLoad(50)) == nil {
			added++
		}
	}
	// Four slots serve this many requests of 30 ms in 1.4 s.
	qt.Assert(t, added > 180 && added < 190, qt.IsTrue, qt.Commentf("%d", added))
	qt.Assert(t, q.Add(now, entry(0, now, 1), upstreamLoad(50)), qt.IsNil, qt.Commentf("a copy of a queued flow updates its entry"))
}

func TestExpireRemovesFlowsOfDepartedCallers(t *testing.T) {
	q := New()
	q.Add(0, entry(1, 0, 1), upstreamLoad(50))
	qt.Assert(t, q.Expire(1400*ms), qt.HasLen, 0)
	qt.Assert(t, q.Expire(1500*ms), qt.HasLen, 1)
	_, ok := q.Next(1500*ms, upstreamLoad(0))
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, q.Len(), qt.Equals, 0)
}

// TestAddRefusesTheLastInOrder guards against refusing new flows because the queue is
// full of old ones, which happens when all upstreams return after an outage.
func TestAddRefusesTheLastInOrder(t *testing.T) {
	tests := []struct {
		name string
		// age and priority of the added flow. All others are 600 ms old and have
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
			q, now := New(), 2000*ms
			n := 0
			for q.Add(now, entry(n, now-600*ms, 1), upstreamLoad(50)) == nil {
				n++
			}
			e := entry(n+1, now-test.age, test.priority)
			refused := q.Add(now, e, upstreamLoad(50))
			qt.Assert(t, refused, qt.IsNotNil)
			qt.Assert(t, refused == e, qt.Equals, test.refused)
			qt.Assert(t, q.Len(), qt.Equals, n)
		})
	}
}

// TestFlowsUnderAWarmUpLimitKeepTheirTurns guards against flows that wait in vain: each was queued
// since its turn comes before its caller gives up, so no later one may go first.
func TestFlowsUnderAWarmUpLimitKeepTheirTurns(t *testing.T) {
	now := instant.Instant(10 * time.Second)
	load := UpstreamLoad{Slots: 2, ServiceTime: 20 * time.Millisecond, InOrder: true}
	q := New()
	for i := range 5 {
		sentAt := now.Add(-time.Duration(i) * 200 * time.Millisecond)
		e := &Entry{
			Flow: flow.ID{Caller: flow.Endpoint{IP: flow.IP(i + 1)}}, FirstSentAt: sentAt, ExpiresAt: sentAt.Add(flow.OpenTimeout),
			TargetLatency: 200 * time.Millisecond, Priority: uint32(i), WaitsForTurn: true,
		}
		qt.Assert(t, q.Add(now, e, load), qt.IsNil)
		qt.Assert(t, q.Contains(e.Flow), qt.IsTrue)
	}
	for want := 5; want > 0; want-- {
		e, ok := q.Next(now, load)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, e.Flow.Caller.IP, qt.Equals, flow.IP(want))
	}
}

// TestHeldRequestsBehindAFlow guards against a flow that is rejected since many requests are held
// that go after it: a burst of late requests would shut out urgent flows that can be in time.
func TestHeldRequestsBehindAFlow(t *testing.T) {
	for _, test := range []struct {
		name     string
		ahead    int
		rejected bool
	}{{"After", 0, false}, {"Before", 300, true}} {
		t.Run(test.name, func(t *testing.T) {
			q, now, e, load := New(), 2000*ms, entry(1, 1990*ms, 0), upstreamLoad(4)
			load.Held, load.Ahead = 300, func(*Entry) int { return test.ahead }
			rejected := q.Add(now, e, load)
			qt.Check(t, rejected == e, qt.Equals, test.rejected)
		})
	}
}
