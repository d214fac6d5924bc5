package flowtable

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/flow"
)

var (
	id       = flow.ID{Caller: flow.Endpoint{IP: 1, Port: 1}, Address: flow.Endpoint{IP: 2, Port: 2}}
	syn      = flow.Packet{Flow: id, Flags: flow.Syn}
	synAck   = flow.Packet{Flow: id, Flags: flow.Syn | flow.Ack, Seq: 1000}
	request  = flow.Packet{Flow: id, Flags: flow.Ack, Seq: 1, AckSeq: 1001, Len: 100}
	response = flow.Packet{Flow: id, Flags: flow.Ack, Seq: 1001, AckSeq: 101, Len: 200}
)

// newAcceptedTable returns a table with one accepted flow that has no request yet.
func newAcceptedTable() *Table {
	t := New()
	t.SetSlots(2)
	t.RecordFirstPacket(1, syn)
	t.RecordUpstreamPacket(2, synAck)
	t.RecordCallerPacket(3, flow.Packet{Flow: id, Flags: flow.Ack, Seq: 1, AckSeq: 1001})
	return t
}

// TestOpenFlowsStayInTheTable guards against the denial of a flow that its upstream holds: it
// is open as soon as the caller has acknowledged the upstream's answer to the first packet, and
// may carry no packet for long after that.
func TestOpenFlowsStayInTheTable(t *testing.T) {
	tests := []struct {
		name string
		ack  uint32
		held bool
	}{
		{"Acknowledged", synAck.Seq + 1, true},
		{"OpenedAtAnotherUpstream", synAck.Seq + 1<<30, false},
		// The acknowledgement may have been lost, so that the next packet opens the flow.
		{"NotAcknowledged", 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := New()
			table.RecordFirstPacket(1, syn)
			table.RecordUpstreamPacket(2, synAck)
			if test.ack != 0 {
				table.RecordCallerPacket(3, flow.Packet{Flow: id, Flags: flow.Ack, Seq: 1, AckSeq: test.ack})
			}
			table.Expire(instant.Instant(OpenIdleTimeout))
			f := table.Get(id)
			qt.Assert(t, f, qt.IsNotNil)
			qt.Assert(t, f.IsHeld(), qt.Equals, test.held)
			table.Expire(instant.Instant(OpenIdleTimeout).Add(time.Second))
			qt.Assert(t, table.Get(id), qt.IsNil)
		})
	}
}

func TestInSystemCounts(t *testing.T) {
	ms := func(n int) instant.Instant { return instant.Instant(time.Duration(n) * time.Millisecond) }
	tests := []struct {
		name string
		do   func(table *Table)
		want int
	}{
		{"FirstRequestIsAwaited", func(*Table) {}, 1},
		{"RequestInProgress", func(table *Table) { table.RecordCallerPacket(ms(1), request) }, 1},
		{"Answered", func(table *Table) {
			table.RecordCallerPacket(ms(1), request)
			table.RecordUpstreamPacket(ms(2), response)
		}, 0},
		{"LateCopyOfAnAnsweredRequest", func(table *Table) {
			table.RecordCallerPacket(ms(1), request)
			table.RecordUpstreamPacket(ms(2), response)
			table.RecordCallerPacket(ms(3), request)
		}, 0},
		{"NextRequest", func(table *Table) {
			table.RecordCallerPacket(ms(1), request)
			table.RecordUpstreamPacket(ms(2), response)
			next := request
			next.Seq = 101
			table.RecordCallerPacket(ms(3), next)
		}, 1},
		{"CallerResets", func(table *Table) {
			table.RecordCallerPacket(ms(1), request)
			table.RecordCallerPacket(ms(2), flow.Packet{Flow: id, Flags: flow.Rst})
		}, 0},
		{"CallerGaveUpSilently", func(table *Table) {
			table.RecordCallerPacket(ms(1), request)
			table.Get(id).Timeout = time.Second
			table.Expire(ms(1100))
		}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := newAcceptedTable()
			test.do(table)
			qt.Assert(t, table.InSystem(ms(20)), qt.Equals, test.want)
		})
	}
	table := newAcceptedTable()
	qt.Assert(t, table.InSystem(ms(400)), qt.Equals, 0, qt.Commentf("the first request did not come"))
}

func TestServiceTimeUsesRequestsWithFreeSlots(t *testing.T) {
	table := newAcceptedTable()
	for i := range 200 {
		p, a := request, response
		p.Seq += uint32(100 * i)
		now := instant.Instant(time.Duration(i) * time.Second)
		table.RecordCallerPacket(now, p)
		table.RecordUpstreamPacket(now.Add(50*time.Millisecond), a)
	}
	qt.Assert(t, table.ServiceTime() > 49*time.Millisecond && table.ServiceTime() <= 50*time.Millisecond, qt.IsTrue, qt.Commentf("%v", table.ServiceTime()))
}

// TestOpenedElsewhere covers an upstream that accepts a delayed copy of a first packet
// after the flow opened at another upstream: the caller acknowledges the other one's
// sequence numbers, which may be close to this one's by chance.
func TestOpenedElsewhere(t *testing.T) {
	tests := []struct {
		name string
		ack  uint32
		want bool
	}{
		{"Handshake", 1001, false},
		{"AnswerReceived", 1001 + 12_000, false},
		{"Before", 999, true},
		{"NearByChance", 1000 + 1<<20, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := New()
			table.RecordFirstPacket(1, syn)
			f, _ := table.RecordUpstreamPacket(2, synAck)
			p := request
			p.AckSeq = test.ack
			qt.Assert(t, f.OpenedElsewhere(p), qt.Equals, test.want)
		})
	}
}

func TestFlowOpensOnUpstreamPacket(t *testing.T) {
	table := newAcceptedTable()
	table.RecordCallerPacket(4, request)
	qt.Assert(t, table.Get(id).Phase, qt.Equals, Accepted)
	table.RecordUpstreamPacket(5, response)
	qt.Assert(t, table.Get(id).Phase, qt.Equals, Open)
}

// TestSpeedLeavesOutColdAndQueuedRequests guards against an upstream that counts as slow since
// it has just started or since requests waited in its queue.
func TestSpeedLeavesOutColdAndQueuedRequests(t *testing.T) {
	table := newAcceptedTable()
	at := instant.Instant(0)
	run := func(n int, took time.Duration) {
		for range n {
			p := request
			p.Seq += uint32(100 * int(at/instant.Instant(time.Second)))
			table.RecordCallerPacket(at, p)
			table.RecordUpstreamPacket(at.Add(took), response)
			at = at.Add(time.Second)
		}
	}
	run(20, 30*time.Millisecond)
	table.SetSlowdown(1.6)
	run(20, 300*time.Millisecond)
	table.SetSlowdown(1)
	got := table.Speed(at)
	qt.Check(t, got.Samples, qt.Equals, 20)
	qt.Check(t, got.ServiceTime.Round(time.Millisecond), qt.Equals, 30*time.Millisecond)

	// Another flow takes the only slot.
	table.SetSlots(1)
	other, accept := request, response
	other.Flow.Caller.Port++
	accept.Flow = other.Flow
	accept.Flags |= flow.Syn
	table.RecordFirstPacket(at, flow.Packet{Flow: other.Flow, Flags: flow.Syn})
	table.RecordUpstreamPacket(at, accept)
	table.RecordCallerPacket(at, other)
	run(20, 300*time.Millisecond)
	qt.Check(t, table.Speed(at).Samples, qt.Equals, 20)

	table.ResetSpeed()
	qt.Check(t, table.Speed(at).Samples, qt.Equals, 0)
}

// TestWaitingRequests guards against service times that include the wait at the agent, against
// slots that count as taken by requests that wait, and against requests that end unnoticed.
func TestWaitingRequests(t *testing.T) {
	const wait, work = 100 * time.Millisecond, 20 * time.Millisecond
	table := newAcceptedTable()
	var took time.Duration
	dropped := 0
	table.OnAnswer = func(d time.Duration) { took = d }
	table.OnDrop = func(flow.ID) { dropped++ }
	now := instant.Instant(time.Second)
	f := table.RecordCallerPacket(now, request)
	qt.Check(t, table.SlotsTaken(now), qt.Equals, 1)
	table.Hold(f)
	qt.Check(t, table.SlotsTaken(now), qt.Equals, 0)
	qt.Check(t, table.Waiting(), qt.Equals, 1)
	qt.Check(t, table.InSystem(now), qt.Equals, 1)
	// A late packet of the last response does not answer the request.
	table.RecordUpstreamPacket(now, response)
	qt.Check(t, f.Busy(), qt.IsTrue)
	now = now.Add(wait)
	table.Release(now, f)
	qt.Check(t, table.SlotsTaken(now), qt.Equals, 1)
	qt.Check(t, table.SlotsTaken(now.Add(time.Second)), qt.Equals, 0, qt.Commentf("its answer has been missed"))
	table.RecordUpstreamPacket(now.Add(work), response)
	qt.Check(t, took, qt.Equals, work)
	qt.Check(t, table.SlotsTaken(now)+table.Waiting()+dropped, qt.Equals, 0)
	next := request
	next.Seq += 100
	table.Hold(table.RecordCallerPacket(now, next))
	table.Delete(f)
	qt.Check(t, dropped, qt.Equals, 1)
	qt.Check(t, table.Waiting(), qt.Equals, 0)
}
