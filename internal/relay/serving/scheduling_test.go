package serving_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/action"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/message"
	"github.com/jaytack/jaytack/internal/relay/serving"
)

// busyAgent is an agent whose upstream has two slots, with open flows.
type busyAgent struct {
	*serving.Core
	now          instant.Instant
	packets      map[string]flow.Packet
	severalKinds bool
	// beats counts the heartbeats; upstreams have run for some time before the first.
	beats int64
}

// newBusyAgent returns an agent with open flows 1 to n.
func newBusyAgent(t *testing.T, n int, severalKinds bool) *busyAgent {
	a := &busyAgent{now: instant.Instant(time.Minute), packets: make(map[string]flow.Packet), severalKinds: severalKinds, beats: 10}
	decode := func(b []byte) (flow.Packet, bool) {
		p, ok := a.packets[string(b)]
		p.Bytes = b
		return p, ok
	}
	a.Core = serving.New(serving.Config{Self: 7, Service: "padron", DataCentre: "a", FlowLifetime: flow.DefaultLifetime, Codec: flow.Codec{
		DecodeFromCaller: decode, DecodeFromUpstream: decode,
		RestoreBounced: func([]byte) {},
		NewReset:       func(flow.ID, uint32) []byte { return []byte("reset") },
	}})
	qt.Assert(t, a.HandleHeartbeat(a.now, a.heartbeat("u", 1, false)), qt.IsTrue)
	for i := range n {
		a.fromCaller("syn", i+1, flow.Packet{Flags: flow.Syn})
		a.fromUpstream("accept", i+1, flow.Packet{Flags: flow.Syn | flow.Ack, Seq: 1000})
		a.fromCaller("ack", i+1, flow.Packet{Flags: flow.Ack, Seq: 1})
	}
	a.now = a.now.Add(time.Second)
	a.Tick(a.now)
	a.TakeOutput()
	return a
}

func (a *busyAgent) heartbeat(name string, born int64, draining bool) serving.Heartbeat {
	a.beats++
	return serving.Heartbeat{Upstream: name, Service: "padron", DataCentre: "a", Born: born, Sequence: a.beats, Slots: 2, Draining: draining}
}

func (a *busyAgent) register(name string, i int, p flow.Packet) []byte {
	b := fmt.Sprintf("%s-%d", name, i)
	p.Flow = flow.ID{Caller: flow.Endpoint{IP: 1, Port: uint16(i)}, Address: id.Address}
	a.packets[b] = p
	return []byte(b)
}

func (a *busyAgent) fromCaller(name string, i int, p flow.Packet) {
	step := message.Step_StepPlace
	if !p.OpensFlow() {
		step, p.AckSeq = message.Step_StepOwner, 1001
	}
	a.HandleMessage(a.now, 5, &message.Envelope{Body: &message.Envelope_Carried{Carried: &message.Carried{
		Packet: a.register(name, i, p), Step: step, Service: "padron", DataCentre: "a", Balancer: 5,
		Priority: uint32(i % 3), AimMillis: 250, TimeoutMillis: 1500, SeveralKinds: a.severalKinds,
	}}})
}

func (a *busyAgent) fromUpstream(name string, i int, p flow.Packet) {
	a.HandleUpstreamPacket(a.now, a.register(name, i, p))
}

// request sends the first packet of a request on each of the flows from first to last.
func (a *busyAgent) request(first, last int) {
	for i := first; i <= last; i++ {
		a.fromCaller("request", i, flow.Packet{Flags: flow.Ack, Seq: 1, Len: 10})
	}
}

func (a *busyAgent) answer(i int) {
	a.fromUpstream("answer", i, flow.Packet{Flags: flow.Ack, Seq: 1001, AckSeq: 11, Len: 10})
}

// delivered takes the pending actions and returns the packets for the upstream.
func (a *busyAgent) delivered() (out []string) {
	actions, _ := a.TakeOutput()
	for _, x := range actions {
		if x.Kind == action.Deliver {
			out = append(out, string(x.Bytes))
		}
	}
	return out
}

// TestRequestsWaitForSlots guards against requests that are held while a slot is free, delivered
// while none is, delivered twice, or held although the service has one kind of requests.
func TestRequestsWaitForSlots(t *testing.T) {
	a := newBusyAgent(t, 4, true)
	a.request(1, 4)
	qt.Check(t, a.delivered(), qt.DeepEquals, []string{"request-1", "request-2"})
	qt.Check(t, a.Record(a.now).Waiting, qt.DeepEquals, []uint32{1, 1, 0, 0})
	qt.Check(t, a.Record(a.now).Busy, qt.Equals, uint32(4))
	a.answer(2)
	qt.Check(t, a.delivered(), qt.DeepEquals, []string{"request-3"}, qt.Commentf("priority 0 goes first"))
	a.answer(1)
	a.answer(3)
	qt.Check(t, a.delivered(), qt.DeepEquals, []string{"request-4"})
	qt.Check(t, a.Record(a.now).Waiting, qt.IsNil)
	a.fromCaller("request", 4, flow.Packet{Flags: flow.Ack, Seq: 1, Len: 10})
	qt.Check(t, a.delivered(), qt.DeepEquals, []string{"request-4"}, qt.Commentf("a copy of a delivered request passes"))

	single := newBusyAgent(t, 4, false)
	single.request(1, 4)
	qt.Check(t, single.delivered(), qt.HasLen, 4)
	qt.Check(t, single.Counts.Held, qt.Equals, int64(0))
}

// TestPacketsOfHeldRequests guards against packets that are held although they carry no new
// request, and against requests that are delivered after their caller has given up.
func TestPacketsOfHeldRequests(t *testing.T) {
	ack := flow.Packet{Flags: flow.Ack, Seq: 1}
	tests := []struct {
		name   string
		packet flow.Packet
		// now and later are the packets delivered at once and after a slot is free.
		now, later []string
	}{
		{"Ack", ack, []string{"x-3"}, []string{"request-3"}},
		{"More", flow.Packet{Flags: flow.Ack, Seq: 11, Len: 5}, nil, []string{"request-3", "x-3"}},
		{"Copy", flow.Packet{Flags: flow.Ack, Seq: 1, Len: 10}, nil, []string{"x-3"}},
		{"Fin", flow.Packet{Flags: flow.Ack | flow.Fin, Seq: 11}, []string{"x-3"}, nil},
		{"Rst", flow.Packet{Flags: flow.Rst, Seq: 11}, []string{"x-3"}, nil},
		{"FinWithData", flow.Packet{Flags: flow.Ack | flow.Fin, Seq: 11, Len: 5}, []string{"request-3", "x-3"}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a := newBusyAgent(t, 3, true)
			a.request(1, 3)
			a.delivered()
			a.fromCaller("x", 3, test.packet)
			qt.Check(t, a.delivered(), qt.DeepEquals, test.now)
			a.answer(1)
			qt.Check(t, a.delivered(), qt.DeepEquals, test.later)
		})
	}
}

// TestResetsAreNotHeld guards against a caller's reset with data that is held like a request: the
// upstream would keep the flow, and the held packet would belong to no flow of the table.
func TestResetsAreNotHeld(t *testing.T) {
	a := newBusyAgent(t, 4, true)
	a.request(1, 2)
	a.fromCaller("last", 3, flow.Packet{Flags: flow.Ack | flow.Fin, Seq: 1, Len: 10})
	qt.Assert(t, a.delivered(), qt.HasLen, 3, qt.Commentf("more requests than slots are delivered"))
	a.fromCaller("reset", 4, flow.Packet{Flags: flow.Ack | flow.Rst, Seq: 1, Len: 10})
	qt.Check(t, a.delivered(), qt.DeepEquals, []string{"reset-4"})
}

// TestFinFreesSlot guards against a slot that stays idle until the timeout of a request whose
// caller has given up: its upstream sends no answer.
func TestFinFreesSlot(t *testing.T) {
	a := newBusyAgent(t, 3, true)
	a.request(1, 3)
	a.delivered()
	a.fromCaller("fin", 1, flow.Packet{Flags: flow.Ack | flow.Fin, Seq: 11})
	qt.Check(t, a.delivered(), qt.DeepEquals, []string{"fin-1", "request-3"})
}

// TestMissedAnswersFreeSlots guards against slots that stay idle after the agent has missed
// answers.
func TestMissedAnswersFreeSlots(t *testing.T) {
	a := newBusyAgent(t, 3, true)
	a.request(1, 3)
	a.delivered()
	for range 8 {
		a.now = a.now.Add(serving.TickInterval)
		a.Tick(a.now)
	}
	qt.Check(t, a.delivered(), qt.DeepEquals, []string{"request-3"})
}

// TestHeldRequestsGoOutAtOnce guards against requests that wait for a slot of an upstream that
// serves no more of them, or in a process whose view of them is old. None is delivered twice,
// none is lost, and no flow is reset by the agent.
func TestHeldRequestsGoOutAtOnce(t *testing.T) {
	tests := []struct {
		name   string
		change func(a *busyAgent)
	}{
		{"Stop", func(a *busyAgent) { a.Stop(a.now) }},
		{"Drain", func(a *busyAgent) { a.HandleHeartbeat(a.now, a.heartbeat("u", 1, true)) }},
		{"Replaced", func(a *busyAgent) { a.HandleHeartbeat(a.now, a.heartbeat("v", 2, false)) }},
		{"Pause", func(a *busyAgent) {
			a.now = a.now.Add(300 * time.Millisecond)
			a.Tick(a.now)
		}},
		{"PacketBeforeTheTickAfterAPause", func(a *busyAgent) {
			a.now = a.now.Add(300 * time.Millisecond)
			a.fromUpstream("ack", 1, flow.Packet{Flags: flow.Ack, Seq: 1001})
		}},
		{"Silent", func(a *busyAgent) {
			// Held requests go to an upstream that has not answered for 0.4 s.
			for range 10 {
				a.now = a.now.Add(serving.TickInterval)
				a.Tick(a.now)
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a := newBusyAgent(t, 6, true)
			a.request(1, 6)
			qt.Assert(t, a.delivered(), qt.HasLen, 2)
			test.change(a)
			count := make(map[string]int)
			actions, _ := a.TakeOutput()
			for _, x := range actions {
				qt.Check(t, string(x.Bytes), qt.Not(qt.Equals), "reset")
				if x.Kind == action.Deliver {
					count[string(x.Bytes)]++
				}
			}
			for i := 3; i <= 6; i++ {
				qt.Check(t, count[fmt.Sprintf("request-%d", i)], qt.Equals, 1, qt.Commentf("request %d", i))
			}
		})
	}
}

// TestHeldRequestsInTimeAreRoutine guards against a wave of demand in which entries about requests
// that wait shortly use up the rate limit of the entries that explain failures.
func TestHeldRequestsInTimeAreRoutine(t *testing.T) {
	a := newBusyAgent(t, 4, true)
	a.request(1, 4)
	a.answer(1)
	a.now = a.now.Add(300 * time.Millisecond)
	a.Tick(a.now)
	_, entries := a.TakeOutput()
	got := make(map[string]action.Class)
	for _, e := range entries {
		if e.Event == "RequestHeld" {
			got[e.Event] = e.Class
		}
		if e.Event == "HeldRequestDelivered" {
			got[fmt.Sprint(e.Pairs[3])] = e.Class
		}
	}
	qt.Check(t, got, qt.DeepEquals, map[string]action.Class{"RequestHeld": action.Routine, "SlotFree": action.Routine, "UpstreamState": action.Notable})
}
