package flowtable

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/flow"
)

var (
	id     = flow.ID{Caller: flow.Endpoint{IP: 1, Port: 1}, Address: flow.Endpoint{IP: 2, Port: 2}}
	syn    = flow.Packet{Flow: id, Flags: flow.Syn}
	synAck = flow.Packet{Flow: id, Flags: flow.Syn | flow.Ack, Seq: 1000}
	ask    = flow.Packet{Flow: id, Flags: flow.Ack, Seq: 1, AckSeq: 1001, Len: 100}
	answer = flow.Packet{Flow: id, Flags: flow.Ack, Seq: 1001, AckSeq: 101, Len: 200}
)

// opened returns a table with one open flow without a request.
func opened() *Table {
	t := New()
	t.SetSlots(2)
	t.Offer(1, syn)
	t.FromUpstream(2, synAck)
	t.FromCaller(3, flow.Packet{Flow: id, Flags: flow.Ack, Seq: 1, AckSeq: 1001})
	return t
}

func TestInSystemCounts(t *testing.T) {
	ms := func(n int) instant.Instant { return instant.Instant(time.Duration(n) * time.Millisecond) }
	tests := []struct {
		name string
		do   func(x *Table)
		want int
	}{
		{"FirstRequestIsAwaited", func(*Table) {}, 1},
		{"RequestInProgress", func(x *Table) { x.FromCaller(ms(1), ask) }, 1},
		{"Answered", func(x *Table) { x.FromCaller(ms(1), ask); x.FromUpstream(ms(2), answer) }, 0},
		{"LateCopyOfAnAnsweredRequest", func(x *Table) {
			x.FromCaller(ms(1), ask)
			x.FromUpstream(ms(2), answer)
			x.FromCaller(ms(3), ask)
		}, 0},
		{"NextRequest", func(x *Table) {
			x.FromCaller(ms(1), ask)
			x.FromUpstream(ms(2), answer)
			next := ask
			next.Seq = 101
			x.FromCaller(ms(3), next)
		}, 1},
		{"CallerResets", func(x *Table) {
			x.FromCaller(ms(1), ask)
			x.FromCaller(ms(2), flow.Packet{Flow: id, Flags: flow.Rst})
		}, 0},
		{"CallerGaveUpSilently", func(x *Table) {
			x.FromCaller(ms(1), ask)
			x.Get(id).Timeout = time.Second
			x.Expire(ms(1100))
		}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := opened()
			test.do(x)
			qt.Assert(t, x.InSystem(ms(20)), qt.Equals, test.want)
		})
	}
	x := opened()
	qt.Assert(t, x.InSystem(ms(400)), qt.Equals, 0, qt.Commentf("the first request did not come"))
}

func TestWorkIsLearntFromFreeSlots(t *testing.T) {
	x := opened()
	for i := range 200 {
		p, a := ask, answer
		p.Seq += uint32(100 * i)
		now := instant.Instant(time.Duration(i) * time.Second)
		x.FromCaller(now, p)
		x.FromUpstream(now.Add(50*time.Millisecond), a)
	}
	qt.Assert(t, x.Work() > 49*time.Millisecond && x.Work() <= 50*time.Millisecond, qt.IsTrue, qt.Commentf("%v", x.Work()))
}

// TestFlowThatOpenedElsewhereIsForeign has an upstream accept a late copy of a first
// packet: the caller's packets acknowledge what another upstream sent, from a position
// that may be near by chance.
func TestFlowThatOpenedElsewhereIsForeign(t *testing.T) {
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
			x := New()
			x.Offer(1, syn)
			f, _ := x.FromUpstream(2, synAck)
			p := ask
			p.AckSeq = test.ack
			qt.Assert(t, f.Foreign(p), qt.Equals, test.want)
		})
	}
}

func TestFlowIsOpenOnceTheUpstreamHasShownIt(t *testing.T) {
	x := opened()
	x.FromCaller(4, ask)
	qt.Assert(t, x.Get(id).Phase, qt.Equals, Accepted)
	x.FromUpstream(5, answer)
	qt.Assert(t, x.Get(id).Phase, qt.Equals, Open)
}
