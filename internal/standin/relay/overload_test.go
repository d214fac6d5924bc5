package relay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/message"
)

// TestFullUpstreamPassesOnToFreeOnes replays one upstream that gets many flows in the
// instant before others report: what does not have its turn there goes to the others,
// which are free, and nobody is refused.
func TestFullUpstreamPassesOnToFreeOnes(t *testing.T) {
	cfg := Registro(22)
	n := countEvents(&cfg)
	w := New(cfg)
	a := w.Agents[0]
	w.At(3*time.Second, func() {
		// More first packets than the room has turns, straight to one agent.
		for i := range 400 {
			id := flow.ID{Caller: flow.Endpoint{IP: 0x64410000, Port: uint16(2000 + i)}, Address: Address(0)}
			b := head{Source: id.Caller, Destination: id.Address, Flags: flow.Syn}.packet(0)
			w.run(a, func() { a.Agent.HandleMessage(w.now, w.Balancers[0].IP, place(b, a)) })
		}
	})
	w.Run(4 * time.Second)
	qt.Assert(t, w.Violations, qt.HasLen, 0)
	qt.Assert(t, n["FlowReset"], qt.Equals, 0)
	qt.Assert(t, n["CopyDropped"], qt.Equals, 0)
}

// place returns the message that places a first packet at an agent.
func place(packet []byte, p *Process) *message.Envelope {
	return &message.Envelope{Body: &message.Envelope_Carried{Carried: &message.Carried{
		Packet: packet, Step: message.Step_StepPlace, Service: p.service, DataCentre: p.DataCentre, AimMillis: 200,
	}}}
}
