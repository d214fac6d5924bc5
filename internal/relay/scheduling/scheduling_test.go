package scheduling_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/admission"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/scheduling"
)

const (
	target  = 250 * time.Millisecond
	timeout = 1500 * time.Millisecond
	work    = 30 * time.Millisecond
)

var (
	start = instant.Instant(time.Minute)
	full  = admission.UpstreamLoad{Slots: 2, InSystem: 2, ServiceTime: work}
	free  = admission.UpstreamLoad{Slots: 2, InSystem: 1, ServiceTime: work}
)

func idOf(port int) flow.ID { return flow.ID{Caller: flow.Endpoint{IP: 1, Port: uint16(port)}} }

func newRequest(port int, sentAt instant.Instant, priority uint32) *scheduling.Request {
	p := flow.Packet{Flow: idOf(port), Seq: 100, Len: 10, Bytes: make([]byte, 40)}
	return scheduling.NewRequest(admission.Entry{
		Flow: p.Flow, FirstSentAt: sentAt, ArrivedAt: sentAt, ExpiresAt: sentAt.Add(timeout), TargetLatency: target, Priority: priority,
	}, p)
}

func TestOrder(t *testing.T) {
	const urgent, usual = 1, 2
	now := start.Add(200 * time.Millisecond)
	old, late, recent := start, start.Add(-100*time.Millisecond), now
	tests := []struct {
		name          string
		first, second *scheduling.Request
	}{
		{"LeastTimeLeft", newRequest(1, old, usual), newRequest(2, recent, usual)},
		{"Priority", newRequest(1, recent, urgent), newRequest(2, recent, usual)},
		{"PriorityIsBounded", newRequest(1, old, usual), newRequest(2, recent, urgent)},
		{"LateAfterLowerPriority", newRequest(1, recent, usual), newRequest(2, late, urgent)},
		{"LateByPriority", newRequest(1, late, urgent), newRequest(2, late, usual)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			q := scheduling.New()
			q.Add(test.second)
			q.Add(test.first)
			qt.Check(t, q.Next(now, full), qt.IsNil)
			qt.Check(t, q.Ahead(now, full, &test.second.Entry), qt.Equals, 1)
			qt.Check(t, q.Next(now, free), qt.Equals, test.first)
			qt.Check(t, q.Next(now, free), qt.Equals, test.second)
			qt.Check(t, q.Next(now, free), qt.IsNil)
			qt.Check(t, q.Bytes(), qt.Equals, 0)
		})
	}
}

// TestLowerPriorityIsNotStarved guards against requests of a lower priority that wait until
// their timeout while requests of a higher one arrive as fast as they are served.
func TestLowerPriorityIsNotStarved(t *testing.T) {
	q := scheduling.New()
	low := newRequest(1, start, 3)
	q.Add(low)
	now := start
	for i := range 100 {
		q.Add(newRequest(2+i, now, 0))
		now = now.Add(work / 2)
		if q.Next(now, free) == low {
			qt.Assert(t, now.Sub(start)+work <= target, qt.IsTrue, qt.Commentf("waited %v", now.Sub(start)))
			return
		}
	}
	t.Fatal("request has not been delivered")
}

// TestCopiesReplaceHeldPackets guards against a request that is delivered twice, out of order
// or not as the caller sent it last.
func TestCopiesReplaceHeldPackets(t *testing.T) {
	q := scheduling.New()
	r := newRequest(1, start, 0)
	q.Add(r)
	second, other := flow.Packet{Flow: idOf(1), Seq: 110, Len: 5, Bytes: []byte("second")}, flow.Packet{Flow: idOf(1), Seq: 115, Len: 5, Bytes: []byte("third")}
	resent := flow.Packet{Flow: idOf(1), Seq: 100, Len: 10, Bytes: []byte("first, resent")}
	earlier := flow.Packet{Flow: idOf(1), Seq: 90, Len: 10, Bytes: []byte("earlier")}
	for _, p := range []flow.Packet{other, second, resent, second} {
		qt.Check(t, q.Follows(p), qt.IsTrue)
		qt.Check(t, q.Append(p.Flow, p), qt.IsTrue)
	}
	qt.Check(t, q.Follows(earlier), qt.IsFalse)
	qt.Check(t, q.Append(earlier.Flow, earlier), qt.IsFalse)
	qt.Check(t, q.Bytes(), qt.Equals, len("first, resent")+len("second")+len("third"))
	qt.Check(t, q.Remove(idOf(1)).Packets(), qt.DeepEquals, []flow.Packet{resent, second, other})
	qt.Check(t, q.Remove(idOf(1)), qt.IsNil)
	qt.Check(t, q.Bytes(), qt.Equals, 0)
}

// TestDue guards against requests that are held beyond their timeout, and against a queue that
// grows beyond what can be served in time or fits into memory.
func TestDue(t *testing.T) {
	t.Run("NoTimeLeft", func(t *testing.T) {
		q := scheduling.New()
		r := newRequest(1, start, 0)
		q.Add(r)
		qt.Check(t, q.Due(start.Add(timeout/2), full), qt.HasLen, 0)
		due := q.Due(start.Add(timeout-2*work), full)
		qt.Assert(t, due, qt.HasLen, 1)
		qt.Check(t, due[0], qt.Equals, r)
		qt.Check(t, q.Len(), qt.Equals, 0)
	})
	t.Run("MoreThanCanHaveTheirTurn", func(t *testing.T) {
		q := scheduling.New()
		last := newRequest(1, start, 3)
		q.Add(last)
		var due []*scheduling.Request
		n := 0
		for ; len(due) == 0; n++ {
			q.Add(newRequest(2+n, start, 0))
			due = q.Due(start, full)
		}
		qt.Check(t, due, qt.HasLen, 1)
		qt.Check(t, due[0].Flow, qt.Equals, last.Flow)
		most := int(timeout / work * 2)
		qt.Check(t, n > most*3/4 && n <= most, qt.IsTrue, qt.Commentf("%d", n))
	})
	t.Run("MoreThanFit", func(t *testing.T) {
		fast := admission.UpstreamLoad{Slots: 2, InSystem: 2, ServiceTime: time.Microsecond}
		q := scheduling.New()
		for i := range 2 * scheduling.MaxRequests {
			q.Add(newRequest(i, start, 0))
			for n := range scheduling.MaxPackets + 4 {
				q.Append(idOf(i), flow.Packet{Flow: idOf(i), Seq: uint32(110 + 1200*n), Len: 1200, Bytes: make([]byte, 1234)})
			}
			q.Due(start, fast)
			qt.Assert(t, q.Len() <= scheduling.MaxRequests && q.Bytes() <= scheduling.MaxBytes, qt.IsTrue)
		}
	})
}

// TestTakeAllKeepsOrder checks that requests go out in the order of their arrival if all do.
func TestTakeAllKeepsOrder(t *testing.T) {
	q := scheduling.New()
	a, b := newRequest(1, start, 3), newRequest(2, start, 0)
	q.Add(a)
	q.Add(b)
	all := q.TakeAll()
	qt.Assert(t, all, qt.HasLen, 2)
	qt.Check(t, all[0] == a && all[1] == b, qt.IsTrue)
	qt.Check(t, q.Len()+q.Bytes(), qt.Equals, 0)
}
