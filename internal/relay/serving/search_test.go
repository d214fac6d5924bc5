package serving_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/action"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/message"
	"github.com/jaytack/jaytack/internal/relay/serving"
)

// formerService is a home of service padron that gets the packets of a flow that is open in
// recuento, whose agents it knows from the store alone, and the replies of those agents.
type formerService struct {
	*serving.Core
	now instant.Instant
	// sequence is that of the records of the agents of recuento.
	sequence uint64
	// silent holds the agents of recuento that answer nothing.
	silent map[flow.IP]bool
	// asked counts the packets to each agent of recuento, delivered those to the upstream of the
	// home, all of which it bounces.
	asked     map[flow.IP]int
	delivered int
	// forwardedAt is when a packet first reached the owner, 0 if none has.
	forwardedAt instant.Instant
}

// agents are those of recuento, owner is the one whose upstream holds the flow.
var agents = []flow.IP{owner, 21, 22}

const owner = flow.IP(20)

func newFormerService(started time.Duration) *formerService {
	codec := firstPacketCodec(0)
	codec.DecodeFromCaller = func([]byte) (flow.Packet, bool) {
		return flow.Packet{Flow: id, Flags: flow.Ack, Seq: 1, AckSeq: 1001, Len: 100}, true
	}
	codec.DecodeFromUpstream = func([]byte) (flow.Packet, bool) {
		return flow.Packet{Flow: id, Flags: flow.Ack | flow.Bounced, Seq: 1, AckSeq: 1001, Len: 100}, true
	}
	now := instant.Instant(2 * flow.DefaultLifetime)
	f := &formerService{
		Core: serving.New(serving.Config{
			Self: 7, Service: "padron", DataCentre: "a", Codec: codec, FlowLifetime: flow.DefaultLifetime,
			Started: now.Add(-started), StartedMillis: 1000,
		}),
		now: now, silent: make(map[flow.IP]bool), asked: make(map[flow.IP]int),
	}
	var records []*message.Record
	for _, a := range agents {
		records = append(records, f.record(a))
	}
	f.RestoreOwnRecord(now, &message.Record{Instance: 7, Service: "padron", DataCentre: "a", State: message.State_StateReady}, true)
	f.ApplyStored(now, records)
	f.HandleHeartbeat(now, serving.Heartbeat{Upstream: "u", Service: "padron", DataCentre: "a", Born: 1, Sequence: 90, Slots: 4})
	f.TakeOutput()
	return f
}

// record returns the present record of an agent of recuento.
func (f *formerService) record(a flow.IP) *message.Record {
	return &message.Record{Instance: uint32(a), Service: "recuento", DataCentre: "a", Incarnation: 1, Sequence: f.sequence, State: message.State_StateReady}
}

// packet has the home handle a packet of the caller.
func (f *formerService) packet() {
	f.HandleMessage(f.now, 5, &message.Envelope{Body: &message.Envelope_Carried{Carried: &message.Carried{
		Packet: []byte{1}, Step: message.Step_StepHome, Service: "padron", DataCentre: "a", Balancer: 5, Others: []string{"recuento"},
	}}})
	f.carryOut()
}

// carryOut carries out the actions of the home.
func (f *formerService) carryOut() {
	for actions, _ := f.TakeOutput(); len(actions) > 0; actions, _ = f.TakeOutput() {
		for _, a := range actions {
			switch {
			case a.Kind == action.Deliver:
				f.delivered++
				f.HandleUpstreamPacket(f.now, []byte{1})
			case a.Kind == action.Send:
				f.answer(a.To, a.Message)
			}
		}
	}
}

// answer has an agent of recuento answer a message.
func (f *formerService) answer(a flow.IP, e *message.Envelope) {
	m, known := e.GetCarried(), slices.Contains(agents, a)
	if known && m != nil {
		f.asked[a]++
	}
	if !known || f.silent[a] {
		return
	}
	if e.GetReport().GetReplyWanted() {
		f.sequence++
		r := f.record(a)
		f.HandleMessage(f.now, a, &message.Envelope{Body: &message.Envelope_Report{Report: &message.Report{Record: r}}})
	}
	if m == nil {
		return
	}
	if f.forwardedAt == 0 {
		f.forwardedAt = f.now
	}
	if m.Asker != 0 {
		f.HandleMessage(f.now, a, &message.Envelope{Body: &message.Envelope_Claim{Claim: &message.Claim{Flow: message.FlowOf(id), Owner: uint32(owner)}}})
	}
}

// run ticks for a while.
func (f *formerService) run(d time.Duration) {
	for end := f.now.Add(d); f.now < end; {
		f.now = f.now.Add(serving.TickInterval)
		f.Tick(f.now)
		f.carryOut()
	}
}

// firstHome returns the agent that the home asks first.
func firstHome(t *testing.T) flow.IP {
	f := newFormerService(time.Second)
	for _, a := range agents {
		f.silent[a] = true
	}
	f.packet()
	qt.Assert(t, f.asked, qt.HasLen, 1)
	for a := range f.asked {
		return a
	}
	return 0
}

// TestSearchPassesOverAHomeThatDoesNotAnswer guards against packets of open flows that never reach
// their upstream: a search was handed to an agent of another service that had left, again with
// each packet, while the packets reached all upstreams of this service.
func TestSearchPassesOverAHomeThatDoesNotAnswer(t *testing.T) {
	first := firstHome(t)
	tests := []struct {
		name string
		// age is how long the home has run: one that is older than all flows denies the flow
		// without asking its upstream.
		age time.Duration
	}{
		{"Restarted", time.Second},
		{"KnowsAllFlows", flow.DefaultLifetime},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFormerService(test.age)
			f.silent[first] = true
			sent := f.now
			f.packet()
			f.run(300 * time.Millisecond)
			qt.Assert(t, f.forwardedAt != 0, qt.IsTrue, qt.Commentf("asked %v", f.asked))
			qt.Check(t, f.forwardedAt.Sub(sent) <= 200*time.Millisecond, qt.IsTrue, qt.Commentf("%v", f.forwardedAt.Sub(sent)))
			qt.Check(t, f.delivered, qt.Equals, 0)
			qt.Check(t, f.TakeMembersWanted(), qt.IsTrue)
		})
	}
}

// TestNextSearchAvoidsAHomeThatDoesNotAnswer guards against searches that begin again with an
// agent of another service that has just left an earlier search without an answer.
func TestNextSearchAvoidsAHomeThatDoesNotAnswer(t *testing.T) {
	first := firstHome(t)
	f := newFormerService(flow.DefaultLifetime)
	for _, a := range agents {
		f.silent[a] = true
	}
	f.packet()
	f.run(5 * time.Second)
	clear(f.asked)
	delete(f.silent, owner)
	f.run(time.Second)
	qt.Assert(t, first, qt.Not(qt.Equals), owner)
	f.packet()
	qt.Check(t, f.asked[first], qt.Equals, 0)
	qt.Check(t, f.asked[owner] > 0, qt.IsTrue, qt.Commentf("%v", f.asked))
}
