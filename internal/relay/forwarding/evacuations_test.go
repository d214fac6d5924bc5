package forwarding_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/action"
	"github.com/jaytack/jaytack/internal/relay/evacuation"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/forwarding"
	"github.com/jaytack/jaytack/internal/relay/message"
	"github.com/jaytack/jaytack/internal/relay/routes"
)

// evacuationFixture is a balancer with one agent and one route that gets packets of one flow.
type evacuationFixture struct {
	*forwarding.Core
	now   instant.Instant
	flags flow.Flags
}

func newEvacuationFixture(evacuations bool) *evacuationFixture {
	id := flow.ID{Caller: flow.Endpoint{IP: 1, Port: 1025}, Address: flow.Endpoint{IP: 9, Port: 443}}
	f := &evacuationFixture{now: instant.Instant(time.Second), flags: flow.Syn}
	codec := flow.Codec{
		DecodeFromCaller: func(b []byte) (flow.Packet, bool) { return flow.Packet{Flow: id, Flags: f.flags, Bytes: b}, true },
	}
	f.Core = forwarding.New(forwarding.Config{Self: 20, DataCentre: "a", Codec: codec, FlowLifetime: flow.DefaultLifetime, Evacuations: evacuations})
	f.ApplyStored(f.now, []*message.Record{
		{Instance: 10, Service: "padron", DataCentre: "a", Incarnation: 1, Sequence: 1},
		{Instance: 11, DataCentre: "b", Incarnation: 1, Sequence: 1},
		{Instance: 12, DataCentre: "a", Incarnation: 1, Sequence: 1},
	})
	f.ApplyConfiguration(f.now, &routes.Configuration{Version: 5, Routes: []routes.Route{{Address: id.Address, Shares: []routes.Share{{Service: "padron", Weight: 1}}}}}, "Read")
	f.take()
	return f
}

// take returns the packets and the receivers of reports with a set since the last call.
func (f *evacuationFixture) take() (packets []*message.Carried, told map[flow.IP]*message.Evacuations) {
	told = make(map[flow.IP]*message.Evacuations)
	actions, _ := f.TakeOutput()
	for _, a := range actions {
		if a.Kind != action.Send {
			continue
		}
		if m := a.Message.GetCarried(); m != nil {
			packets = append(packets, m)
		}
		if r := a.Message.GetReport(); r.GetEvacuations() != nil {
			told[a.To] = r.Evacuations
		}
	}
	return packets, told
}

func (f *evacuationFixture) report(from flow.IP, m *message.Evacuations) {
	f.HandleMessage(f.now, from, &message.Envelope{Body: &message.Envelope_Report{Report: &message.Report{
		Record: &message.Record{Instance: uint32(from), DataCentre: "b", Incarnation: 1, Sequence: uint64(f.now), State: message.State_StateReady}, Evacuations: m,
	}}})
}

// TestNewFlowsWaitForEvacuations guards against new flows that a balancer which has just started
// lets reach an evacuated data centre.
func TestNewFlowsWaitForEvacuations(t *testing.T) {
	f := newEvacuationFixture(true)
	_, reason := f.Ready(f.now)
	qt.Check(t, reason, qt.Equals, "NoEvacuations")
	f.HandlePacket(f.now, []byte("syn"))
	packets, _ := f.take()
	qt.Check(t, packets, qt.HasLen, 0)
	f.flags = flow.Ack
	f.HandlePacket(f.now, []byte("ack"))
	packets, _ = f.take()
	qt.Check(t, packets, qt.HasLen, 1, qt.Commentf("an open flow goes on"))
	qt.Check(t, packets[0].Evacuations, qt.IsNil)
	f.flags = flow.Syn
	f.report(11, &message.Evacuations{Era: 1, Revision: 7, DataCentres: []string{"b"}})
	packets, told := f.take()
	qt.Assert(t, packets, qt.HasLen, 1)
	qt.Check(t, packets[0].Evacuations.GetDataCentres(), qt.DeepEquals, []string{"b"})
	qt.Check(t, told[12].GetRevision(), qt.Equals, int64(7), qt.Commentf("it is passed on in the own data centre"))
}

// TestChangesAreReportedAtOnce guards against agents, and balancers of other data centres, that hear
// of a change with a later regular report or not at all.
func TestChangesAreReportedAtOnce(t *testing.T) {
	f := newEvacuationFixture(true)
	set := evacuation.Set{Version: evacuation.Version{Era: 1, Revision: 3}}
	f.ApplyEvacuations(f.now, set, "Read")
	f.Tick(f.now.Add(2 * time.Second))
	f.take()
	f.now = f.now.Add(3 * time.Second)
	set.Revision = 8
	set.Add("b")
	f.ApplyEvacuations(f.now, set, "Watch")
	_, told := f.take()
	for _, id := range []flow.IP{10, 11, 12} {
		qt.Check(t, told[id].GetDataCentres(), qt.DeepEquals, []string{"b"}, qt.Commentf("%d", id))
	}
	f.report(11, &message.Evacuations{Era: 1, Revision: 7})
	got, _ := f.EvacuationSet()
	qt.Check(t, got, qt.DeepEquals, set, qt.Commentf("an older set of a restarted peer"))
}

// TestNoEvacuations guards against fields and waits in a deployment without evacuations.
func TestNoEvacuations(t *testing.T) {
	f := newEvacuationFixture(false)
	f.report(11, &message.Evacuations{Era: 1, Revision: 7, DataCentres: []string{"a"}})
	f.HandlePacket(f.now, []byte("syn"))
	f.Tick(f.now.Add(time.Second))
	packets, told := f.take()
	qt.Assert(t, packets, qt.HasLen, 1)
	qt.Check(t, packets[0].Evacuations, qt.IsNil)
	qt.Check(t, told, qt.HasLen, 0)
}
