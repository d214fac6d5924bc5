package serving_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/message"
	"github.com/jaytack/jaytack/internal/relay/serving"
	"github.com/jaytack/jaytack/internal/relay/warmup"
)

// newWarmUpFixture returns an agent that has run for 10 s and not heard of its upstream yet.
func newWarmUpFixture() *evacuationFixture {
	f := newEvacuationFixture()
	f.Core = serving.New(serving.Config{Self: 7, Service: "padron", DataCentre: "a", Codec: f.Codec, WarmUp: warmup.Bounds{Overage: 1.5, Slack: 5}, HeartbeatEvery: time.Second})
	f.now = instant.Instant(10 * time.Second)
	return f
}

// limitedPacket hands the agent the first packet of a flow of a service with a warm-up rate.
func (f *evacuationFixture) limitedPacket(number byte, rate float64) {
	f.HandleMessage(f.now, 5, &message.Envelope{Body: &message.Envelope_Carried{Carried: &message.Carried{
		Packet: []byte{number}, Step: message.Step_StepPlace, Service: "padron", DataCentre: "a", Balancer: 5, AimMillis: 200, Home: 8, WarmUpRate: rate,
	}}})
}

// TestAnsweredFlowIsNotAdmittedAgain guards against the reset of a flow by the very packet with
// which its upstream, silent so far, accepts it.
func TestAnsweredFlowIsNotAdmittedAgain(t *testing.T) {
	f := newWarmUpFixture()
	f.limitedPacket(1, 0.5)
	delivered, _, _ := f.take()
	qt.Assert(t, delivered, qt.DeepEquals, []byte{1})
	f.upstreamPacket(1, flow.Syn|flow.Ack)
	delivered, replies, sent := f.take()
	qt.Check(t, replies, qt.DeepEquals, []byte{1}, qt.Commentf("the answer alone"))
	qt.Check(t, delivered, qt.HasLen, 0)
	qt.Check(t, sent, qt.HasLen, 0)
	qt.Check(t, f.Counts.Refused, qt.Equals, int64(0))
}

// TestRedeliveryOverTheLimit guards against the refusal of a flow whose first packet the upstream
// may have got: it waits for its turn, or its packet is dropped.
func TestRedeliveryOverTheLimit(t *testing.T) {
	for _, rate := range []float64{0.5, 2} {
		f := newWarmUpFixture()
		flows := byte(max(rate, 1))
		for n := range flows {
			f.limitedPacket(n+1, rate)
		}
		delivered, _, _ := f.take()
		qt.Assert(t, delivered, qt.HasLen, int(flows))
		f.HandleHeartbeat(f.now, serving.Heartbeat{Upstream: "u", Service: "padron", DataCentre: "a", Born: 1, Sequence: 1, Slots: 1, ColdFor: 5 * time.Second})
		for range 24 {
			f.now = f.now.Add(50 * time.Millisecond)
			f.Tick(f.now)
		}
		delivered, replies, sent := f.take()
		qt.Check(t, len(replies)+len(sent), qt.Equals, 0)
		if rate > 1 {
			qt.Check(t, delivered, qt.DeepEquals, []byte{1, 2}, qt.Commentf("their turn came after a second"))
		} else {
			qt.Check(t, delivered, qt.HasLen, 0)
		}
	}
}

// TestPausedAgentTakesFlows guards against the refusal of the flows in the backlog of an agent that
// was paused: the heartbeats of its warm upstream come after them.
func TestPausedAgentTakesFlows(t *testing.T) {
	f := newWarmUpFixture()
	listen := func(d time.Duration) {
		for end := f.now.Add(d); f.now < end; f.Tick(f.now) {
			f.now = f.now.Add(serving.TickInterval)
		}
	}
	f.HandleHeartbeat(f.now, serving.Heartbeat{Upstream: "u", Service: "padron", DataCentre: "a", Born: 1, Sequence: 1, Slots: 4})
	listen(700 * time.Millisecond)
	f.take()
	f.now = f.now.Add(3 * time.Second)
	for n := range byte(3) {
		f.limitedPacket(n+1, 0.5)
	}
	delivered, replies, sent := f.take()
	qt.Check(t, delivered, qt.DeepEquals, []byte{1, 2, 3})
	qt.Check(t, len(replies)+len(sent), qt.Equals, 0)
	qt.Check(t, f.FlowsLeft(f.now), qt.Equals, -1)
	listen(900 * time.Millisecond)
	qt.Check(t, f.FlowsLeft(f.now) >= 0, qt.IsTrue, qt.Commentf("no heartbeat came in the time that the agent listened"))
}
