package balancer

import (
	"errors"
	"net"
	"sync/atomic"

	"github.com/jaytack/jaytack/internal/flow/routing"
	"github.com/jaytack/jaytack/internal/flow/tunnel"
)

// worker routes the datagrams of one socket.
type worker struct {
	b       *Balancer
	conn    *net.UDPConn
	router  *routing.Router
	reasons [routing.ReasonCount]atomic.Int64
}

func (w *worker) run() {
	buf := make([]byte, tunnel.MaxDatagram)
	for {
		n, _, err := w.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			w.forward(buf[:n])
		}
	}
}

// forward routes one datagram; its header is replaced in place.
func (w *worker) forward(datagram []byte) {
	h, payload, err := tunnel.OpenPlain(datagram)
	if err != nil || h.Kind != tunnel.FromFabric {
		w.reasons[routing.ReasonMalformed].Add(1)
		return
	}
	d := w.router.Route(w.b.table.Load(), w.b.Now(), payload, h.ServiceAddress)
	w.reasons[d.Reason].Add(1)
	if d.Verdict != routing.Established && w.b.DecisionAllowed() {
		w.log(h, d)
	}
	if d.Verdict == routing.Drop {
		return
	}
	h.Kind, h.Service, h.SecondChoice = tunnel.ToAgent, d.Service, d.SecondChoice
	h.Flags = 0
	if d.Verdict == routing.Placed {
		h.Flags |= tunnel.NewFlow
	}
	if d.Unsettled {
		h.Flags |= tunnel.Unsettled
	}
	tunnel.Put(datagram, h, w.b.Identity.Tunnel)
	_, _ = w.b.tunnel.WriteToUDPAddrPort(datagram, d.Agent)
}

func (w *worker) log(h tunnel.Header, d routing.Decision) {
	if d.Verdict == routing.Drop {
		w.b.Decision("DatagramDropped", "Reason", d.Reason, "Service", d.Service, "Caller", h.Caller, "Address", h.ServiceAddress)
		return
	}
	w.b.Decision("FlowPlaced", "Reason", d.Reason, "Service", d.Service, "Caller", h.Caller,
		"Agent", d.Agent, "Second", d.SecondChoice, "Among", d.CandidateCount, "Unsettled", d.Unsettled)
}

// returnAnswers passes agents' answers on to the fabric and control datagrams to the node.
func (b *Balancer) returnAnswers() {
	buf := make([]byte, tunnel.MaxDatagram)
	for {
		n, _, err := b.tunnel.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		switch tunnel.KindOf(buf[:n]) {
		case tunnel.ToBalancer:
			b.returnAnswer(buf[:n])
		case tunnel.Control:
			select {
			case b.control <- append([]byte(nil), buf[:n]...):
			default:
				b.refused.Add(1)
			}
		default:
			b.refused.Add(1)
		}
	}
}

func (b *Balancer) returnAnswer(datagram []byte) {
	h, _, err := tunnel.Open(datagram, b.Identity.Tunnel)
	if err != nil {
		b.refused.Add(1)
		return
	}
	h.Kind = tunnel.ToFabric
	tunnel.PutPlain(datagram, h)
	_, _ = b.fabric[0].WriteToUDPAddrPort(datagram, b.cfg.FabricPeer)
	b.answers.Add(1)
}
