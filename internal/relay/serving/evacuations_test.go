package serving_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/action"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/message"
	"github.com/jaytack/jaytack/internal/relay/serving"
)

// evacuationFixture is an agent in data centre a, and others of its service. The first byte of a
// packet is the number of its flow.
type evacuationFixture struct {
	*serving.Core
	now instant.Instant
}

func newEvacuationFixture(others ...*message.Record) *evacuationFixture {
	codec := firstPacketCodec(0)
	codec.DecodeFromCaller = func(b []byte) (flow.Packet, bool) {
		return flow.Packet{Flow: flow.ID{Caller: flow.Endpoint{IP: 1, Port: uint16(b[0])}, Address: id.Address}, Flags: flow.Syn, Bytes: b}, true
	}
	f := &evacuationFixture{now: instant.Instant(time.Second)}
	f.Core = serving.New(serving.Config{Self: 7, Service: "padron", DataCentre: "a", Codec: codec})
	f.HandleHeartbeat(f.now, serving.Heartbeat{Upstream: "u", Service: "padron", DataCentre: "a", Born: 1, Sequence: 1, Slots: 1})
	f.ApplyStored(f.now, others)
	f.TakeOutput()
	return f
}

func agentRecord(instance uint32, dataCentre string) *message.Record {
	return &message.Record{Instance: instance, Service: "padron", DataCentre: dataCentre, Incarnation: 1, Sequence: 1, State: message.State_StateReady}
}

// packet hands the agent the first packet of a flow.
func (f *evacuationFixture) packet(number byte, step message.Step, e *message.Evacuations) {
	f.HandleMessage(f.now, 5, &message.Envelope{Body: &message.Envelope_Carried{Carried: &message.Carried{
		Packet: []byte{number}, Step: step, Service: "padron", DataCentre: "a", Balancer: 5, AimMillis: 200, Home: 8, Evacuations: e,
	}}})
}

// take returns what became of first packets since the last call: the numbers of those that were
// delivered and reset, and the packets sent to other agents.
func (f *evacuationFixture) take() (delivered, reset []byte, sent map[flow.IP][]*message.Carried) {
	sent = make(map[flow.IP][]*message.Carried)
	actions, _ := f.TakeOutput()
	for _, a := range actions {
		switch {
		case a.Kind == action.Deliver:
			delivered = append(delivered, a.Bytes[0])
		case a.Kind == action.Reply:
			reset = append(reset, byte(a.Flow.Caller.Port))
		case a.Message.GetCarried() != nil:
			sent[a.To] = append(sent[a.To], a.Message.GetCarried())
		}
	}
	return delivered, reset, sent
}

// TestEvacuatedAgentForwardsNewFlows guards against new flows that reach an evacuated upstream:
// those that wait for it, and those of homes that do not know yet. A copy of a first packet that
// was delivered before is of no new flow.
func TestEvacuatedAgentForwardsNewFlows(t *testing.T) {
	f := newEvacuationFixture(agentRecord(8, "b"))
	for n := byte(1); n <= 6; n++ {
		f.packet(n, message.Step_StepPlace, &message.Evacuations{Era: 1, Revision: 4})
	}
	delivered, reset, sent := f.take()
	qt.Assert(t, len(delivered) > 0 && len(delivered) < 6, qt.IsTrue, qt.Commentf("some wait: %v", delivered))
	qt.Assert(t, len(sent[8])+len(reset), qt.Equals, 0)
	waiting := 6 - len(delivered)
	f.HandleMessage(f.now, 5, &message.Envelope{Body: &message.Envelope_Report{Report: &message.Report{
		Record:      &message.Record{Instance: 5, DataCentre: "b", Incarnation: 1, Sequence: 1, State: message.State_StateReady},
		Evacuations: &message.Evacuations{Era: 1, Revision: 6, DataCentres: []string{"a"}},
	}}})
	_, _, sent = f.take()
	qt.Assert(t, sent[8], qt.HasLen, waiting)
	for _, m := range sent[8] {
		qt.Check(t, m.Step, qt.Equals, message.Step_StepHome)
		qt.Check(t, m.Evacuations.GetRevision(), qt.Equals, int64(6))
		qt.Check(t, m.Excluded, qt.DeepEquals, []uint32{7})
	}
	f.packet(9, message.Step_StepPlace, &message.Evacuations{Era: 1, Revision: 4})
	f.packet(delivered[0], message.Step_StepPlace, nil)
	again, reset, sent := f.take()
	qt.Check(t, again, qt.DeepEquals, delivered[:1])
	qt.Check(t, reset, qt.HasLen, 0)
	qt.Check(t, sent[8], qt.HasLen, 1)
	qt.Check(t, f.Counts.Evacuated, qt.Equals, int64(waiting+1))
	f.packet(10, message.Step_StepPlace, &message.Evacuations{Era: 1, Revision: 7})
	_, reset, sent = f.take()
	qt.Check(t, reset, qt.HasLen, 0)
	qt.Check(t, sent, qt.HasLen, 0, qt.Commentf("taken back: it waits for the full upstream"))
	qt.Check(t, f.Counts.Evacuated, qt.Equals, int64(waiting+1))
}

// TestHomeOfAnEvacuatedDataCentre guards against new flows that are placed in an evacuated data
// centre, or among the few agents whose load the home knows, or wait while all are evacuated.
func TestHomeOfAnEvacuatedDataCentre(t *testing.T) {
	f := newEvacuationFixture(agentRecord(8, "a"), agentRecord(9, "b"), agentRecord(10, "b"), agentRecord(11, "c"))
	f.packet(1, message.Step_StepHome, &message.Evacuations{Era: 1, Revision: 1, DataCentres: []string{"a", "b"}})
	delivered, reset, sent := f.take()
	qt.Assert(t, sent[11], qt.HasLen, 1, qt.Commentf("the only agent that is left"))
	qt.Check(t, len(delivered)+len(reset), qt.Equals, 0)
	f.packet(2, message.Step_StepHome, &message.Evacuations{Era: 1, Revision: 2, DataCentres: []string{"a", "b", "c"}})
	delivered, reset, sent = f.take()
	qt.Check(t, reset, qt.DeepEquals, []byte{2})
	qt.Check(t, delivered, qt.HasLen, 0)
	qt.Check(t, sent, qt.HasLen, 0)

	// Of a large group the home knows the load of few agents.
	var many []*message.Record
	for n := range uint32(60) {
		many = append(many, agentRecord(100+n, string(rune('a'+n%3))))
	}
	f = newEvacuationFixture(many...)
	f.packet(1, message.Step_StepHome, &message.Evacuations{Era: 1, Revision: 1, DataCentres: []string{"a"}})
	_, _, sent = f.take()
	qt.Assert(t, sent, qt.HasLen, 1)
	for to, packets := range sent {
		qt.Check(t, f.Members.Member(to).DataCentre, qt.Not(qt.Equals), "a")
		qt.Check(t, packets[0].Step, qt.Equals, message.Step_StepHome, qt.Commentf("another agent places it"))
	}
	qt.Check(t, f.Counts.PassedOn, qt.Equals, int64(1))
}

// TestDisagreeingHomesPassNoFlowInCircles guards against packets without end between homes that
// each take the other's data centre for the one in force.
func TestDisagreeingHomesPassNoFlowInCircles(t *testing.T) {
	var many []*message.Record
	for n := range uint32(60) {
		many = append(many, agentRecord(100+n, string(rune('a'+n%3))))
	}
	f := newEvacuationFixture(many...)
	set := &message.Evacuations{Era: 1, Revision: 1, DataCentres: []string{"a"}}
	m := &message.Carried{Packet: []byte{1}, Step: message.Step_StepHome, Service: "padron", DataCentre: "a", Balancer: 5, Evacuations: set}
	for range 20 {
		f.HandleMessage(f.now, 5, &message.Envelope{Body: &message.Envelope_Carried{Carried: m}})
	}
	qt.Check(t, f.Counts.PassedOn < 10, qt.IsTrue, qt.Commentf("%d", f.Counts.PassedOn))
	qt.Check(t, f.Counts.Refused, qt.Not(qt.Equals), int64(0))
}

// TestHomeLearnsOfOwnerPlacedByAnother guards against a search for each flow that another agent
// has placed for the home in an evacuated data centre. Homes that placed a flow get no claim.
func TestHomeLearnsOfOwnerPlacedByAnother(t *testing.T) {
	for _, placedBy := range []flow.IP{8, 20} {
		f := newEvacuationFixture(agentRecord(8, "a"), agentRecord(20, "b"))
		f.HandleMessage(f.now, 5, &message.Envelope{Body: &message.Envelope_Carried{Carried: &message.Carried{
			Packet: []byte{1}, Step: message.Step_StepPlace, Service: "padron", DataCentre: "b", Balancer: 5, Home: uint32(placedBy),
			Evacuations: &message.Evacuations{Era: 1, Revision: 1, DataCentres: []string{"b"}},
		}}})
		f.TakeOutput()
		f.Codec.DecodeFromUpstream = func([]byte) (flow.Packet, bool) {
			return flow.Packet{Flow: flow.ID{Caller: flow.Endpoint{IP: 1, Port: 1}, Address: id.Address}, Flags: flow.Syn | flow.Ack}, true
		}
		f.HandleUpstreamPacket(f.now, []byte{1})
		claims := 0
		actions, _ := f.TakeOutput()
		for _, a := range actions {
			if a.Message.GetClaim() != nil {
				qt.Check(t, a.To, qt.Equals, flow.IP(20))
				claims++
			}
		}
		qt.Check(t, claims == 1, qt.Equals, placedBy == 8, qt.Commentf("placed by %v: %d claims", placedBy, claims))
	}
}

// upstreamPacket hands the agent a packet of its upstream.
func (f *evacuationFixture) upstreamPacket(number byte, flags flow.Flags) {
	f.Codec.DecodeFromUpstream = func([]byte) (flow.Packet, bool) {
		return flow.Packet{Flow: flow.ID{Caller: flow.Endpoint{IP: 1, Port: uint16(number)}, Address: id.Address}, Flags: flags}, true
	}
	f.HandleUpstreamPacket(f.now, []byte{number})
}

// TestLateCopyOfAnOpenFlow guards against the reset of a flow that runs in an evacuated data
// centre, or its second opening at another upstream, when a paused balancer sends the first copy
// of the first packet long after the others.
func TestLateCopyOfAnOpenFlow(t *testing.T) {
	f := newEvacuationFixture(agentRecord(8, "b"))
	f.packet(1, message.Step_StepPlace, &message.Evacuations{Era: 1, Revision: 4})
	f.upstreamPacket(1, flow.Syn|flow.Ack)
	f.take()
	f.now = f.now.Add(flow.OpenTimeout + time.Second)
	f.packet(1, message.Step_StepPlace, &message.Evacuations{Era: 1, Revision: 5, DataCentres: []string{"a", "b"}})
	delivered, reset, sent := f.take()
	qt.Check(t, delivered, qt.DeepEquals, []byte{1})
	qt.Check(t, len(reset)+len(sent), qt.Equals, 0)

	// The caller opens a new flow from the same port after the end of the first one.
	f.upstreamPacket(1, flow.Fin|flow.Ack)
	decode := f.Codec.DecodeFromCaller
	f.Codec.DecodeFromCaller = func(b []byte) (flow.Packet, bool) {
		p, ok := decode(b)
		p.Flags = flow.Fin | flow.Ack
		return p, ok
	}
	f.packet(1, message.Step_StepOwner, nil)
	f.Codec.DecodeFromCaller = decode
	f.take()
	f.packet(1, message.Step_StepPlace, nil)
	delivered, _, sent = f.take()
	qt.Check(t, delivered, qt.HasLen, 0)
	qt.Check(t, sent[8], qt.HasLen, 1)
}

// TestRestartedAgentForwardsACopy guards against the reset of a flow that an upstream accepted
// before its agent restarted: the agent forwards a copy of the first packet as one of a flow that
// may be open, so that a home without other agents drops it.
func TestRestartedAgentForwardsACopy(t *testing.T) {
	for _, startedLater := range []bool{false, true} {
		f := newEvacuationFixture(agentRecord(8, "b"))
		f.Core = serving.New(serving.Config{Self: 7, Service: "padron", DataCentre: "a", Codec: f.Codec, Started: f.now, StartedMillis: 1_000_000, FlowLifetime: time.Minute})
		beat := serving.Heartbeat{Upstream: "u", Service: "padron", DataCentre: "a", Born: 1, Sequence: 99, Slots: 1}
		if startedLater {
			beat.Born, beat.Sequence = 1_000_001, 1
		}
		f.HandleHeartbeat(f.now, beat)
		f.ApplyStored(f.now, []*message.Record{agentRecord(8, "b")})
		f.take()
		f.packet(1, message.Step_StepPlace, &message.Evacuations{Era: 1, Revision: 5, DataCentres: []string{"a", "b"}})
		_, reset, sent := f.take()
		qt.Assert(t, sent[8], qt.HasLen, 1)
		qt.Check(t, reset, qt.HasLen, 0)
		m := sent[8][0]
		qt.Check(t, flow.MayBeOpen(0, time.Duration(m.WaitedMillis)*time.Millisecond), qt.Equals, !startedLater)
	}
}
