package balancer

import (
	"errors"
	"net"
	"sync/atomic"

	"github.com/jaytack/jaytack/internal/flow/routing"
	"github.com/jaytack/jaytack/internal/flow/tunnel"
)

// worker routes the datagrams received on one fabric socket.
type worker struct {
	balancer     *Balancer
	conn         *net.UDPConn
	router       *routing.Router
	reasonCounts [routing.ReasonCount]atomic.Int64
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

// forward routes one datagram, overwriting its header in place.
func (w *worker) forward(datagram []byte) {
	h, payload, err := tunnel.OpenPlain(datagram)
	if err != nil || h.Kind != tunnel.FromFabric {
		w.reasonCounts[routing.ReasonMalformed].Add(1)
		return
	}
	d := w.router.Route(w.balancer.table.Load(), w.balancer.Now(), payload, h.ServiceAddress)
	w.reasonCounts[d.Reason].Add(1)
	if d.Verdict != routing.Established && w.balancer.DecisionAllowed() {
		w.logDecision(h, d)
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
	tunnel.Put(datagram, h, w.balancer.Identity.Tunnel)
	_, _ = w.balancer.tunnel.WriteToUDPAddrPort(datagram, d.Agent)
}

func (w *worker) logDecision(h tunnel.Header, d routing.Decision) {
	if d.Verdict == routing.Drop {
		w.balancer.Decision("DatagramDropped", "Reason", d.Reason, "Service", d.Service, "Caller", h.Caller, "Address", h.ServiceAddress)
		return
	}
	w.balancer.Decision("FlowPlaced", "Reason", d.Reason, "Service", d.Service, "Caller", h.Caller,
		"Agent", d.Agent, "Second", d.SecondChoice, "Among", d.CandidateCount, "Unsettled", d.Unsettled)
}

// receiveFromTunnel forwards agents' answers to the fabric and queues control
// datagrams for the node. Control datagrams are dropped if the queue is full.
func (b *Balancer) receiveFromTunnel() {
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
			b.forwardAnswer(buf[:n])
		case tunnel.Control:
			select {
			case b.controlQueue <- append([]byte(nil), buf[:n]...):
			default:
				b.datagramsRefused.Add(1)
			}
		default:
			b.datagramsRefused.Add(1)
		}
	}
}

func (b *Balancer) forwardAnswer(datagram []byte) {
	h, _, err := tunnel.Open(datagram, b.Identity.Tunnel)
	if err != nil {
		b.datagramsRefused.Add(1)
		return
	}
	h.Kind = tunnel.ToFabric
	tunnel.PutPlain(datagram, h)
	_, _ = b.fabric[0].WriteToUDPAddrPort(datagram, b.cfg.FabricPeer)
	b.answersForwarded.Add(1)
}
