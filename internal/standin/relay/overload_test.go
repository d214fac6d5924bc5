package relay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/message"
)

// TestFullUpstreamPassesOnToFreeOnes guards against rejected flows while upstreams are
// free: many flows reach one upstream before the others report their load. The agent
// must place those that exceed its queue at the others.
func TestFullUpstreamPassesOnToFreeOnes(t *testing.T) {
	cfg := Registro(22)
	n := countEvents(&cfg)
	w := New(cfg)
	a := w.Agents[0]
	w.At(3*time.Second, func() {
		// Send more first packets to one agent than its admission queue can hold.
		for i := range 400 {
			id := flow.ID{Caller: flow.Endpoint{IP: 0x64410000, Port: uint16(2000 + i)}, Address: Address(0)}
			b := header{Source: id.Caller, Destination: id.Address, Flags: flow.Syn}.packet(0)
			w.dispatch(a, func() { a.Agent.HandleMessage(w.now, w.Balancers[0].IP, place(b, a)) })
		}
	})
	w.Run(4 * time.Second)
	qt.Assert(t, w.Violations, qt.HasLen, 0)
	qt.Assert(t, n["FlowReset"], qt.Equals, 0)
	qt.Assert(t, n["CopyDropped"], qt.Equals, 0)
}

// place returns the message that asks an agent to place the flow of a first packet.
func place(packet []byte, p *Process) *message.Envelope {
	return &message.Envelope{Body: &message.Envelope_Carried{Carried: &message.Carried{
		Packet: packet, Step: message.Step_StepPlace, Service: p.service, DataCentre: p.DataCentre, AimMillis: 200,
	}}}
}
