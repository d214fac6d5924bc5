package agent

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jaytack/jaytack/internal/customer/contract"
	"github.com/jaytack/jaytack/internal/fleet/wire"
	"github.com/jaytack/jaytack/internal/request/outcome"
)

// peerServer serves calls of other agents.
type peerServer struct {
	wire.DRPCPeerUnimplementedServer
	a *Agent
}

var errMissingStart = eris.New("a handed-over request must begin with its head")

// Run receives a complete call, processes it, and streams the reply.
func (s *peerServer) Run(stream wire.DRPCPeer_RunStream) error {
	s.a.peers.inboundCalls.Add(1)
	defer s.a.peers.inboundCalls.Add(-1)
	start, c, err := receiveCall(stream)
	if err != nil {
		return err
	}
	r := s.handle(stream.Context(), start, c)
	defer r.close()
	return s.sendReply(stream, r)
}

func receiveCall(stream wire.DRPCPeer_RunStream) (*wire.RunStart, *call, error) {
	f, err := stream.Recv()
	if err != nil {
		return nil, nil, err
	}
	start := f.GetStart()
	if start == nil {
		return nil, nil, errMissingStart
	}
	c := &call{
		id: start.GetRequest(), method: start.GetMethod(), path: start.GetPath(), header: fromWireHeaders(start.GetHeaders()),
		deadline: time.Now().Add(time.Duration(start.GetDeadlineMicros()) * time.Microsecond),
		body:     make([]byte, 0, initialBodyBytes),
	}
	for !f.GetEnd() {
		if f, err = stream.Recv(); err != nil {
			return nil, nil, err
		}
		c.body = append(c.body, f.GetData()...)
	}
	return start, c, nil
}

const (
	// policyTimeout is how long a call waits for the contract after the agent started.
	// Contracts arrive from peers within a second.
	policyTimeout = time.Second
	// policyPollInterval is the time between two checks for the contract.
	policyPollInterval = 5 * time.Millisecond
)

// awaitPolicy returns the policy. After a start it waits up to policyTimeout for the
// contract, since submissions sent by peers would otherwise end as Unknown. It returns
// nil if the contract does not arrive.
func (a *Agent) awaitPolicy(ctx context.Context) *policy {
	for end := time.Now().Add(policyTimeout); time.Now().Before(end) && ctx.Err() == nil; {
		if p := a.policy.Load(); p != nil {
			return p
		}
		time.Sleep(policyPollInterval)
	}
	return a.policy.Load()
}

func (s *peerServer) handle(ctx context.Context, start *wire.RunStart, c *call) reply {
	purpose := callPurpose(start.GetPurpose())
	refuse := func(reason string) reply {
		r := notRunReply(reason, 0)
		if purpose != purposeRun {
			return r.notRunAsUnknown()
		}
		return r
	}
	p := s.a.awaitPolicy(ctx)
	if p == nil || contract.ServiceNumber(start.GetService()) != p.service.Number {
		s.a.metrics.Add("HandoversCrossed", 1)
		return refuse("WrongService")
	}
	kind, ok := p.service.Kind(contract.KindName(start.GetKind()))
	if !ok {
		return refuse("UnknownKind")
	}
	c.kind = kind
	switch purpose {
	case purposeTicket:
		return s.a.runTicket(ctx, c, start.GetIdentity())
	case purposeKey:
		return s.a.runKey(ctx, c, start.GetIdentity())
	}
	return s.run(ctx, c)
}

// run runs a call if a slot is free, and refuses it otherwise.
func (s *peerServer) run(ctx context.Context, c *call) reply {
	a := s.a
	if !a.isUpstreamUsable() {
		return reply{outcome: outcome.NotRun, status: http.StatusServiceUnavailable, reason: "Refusing", busy: true}
	}
	it, ok := a.scheduler.newItem(c.kind.Name, c.deadline, false)
	if !ok || !a.scheduler.tryStart(it) {
		return reply{outcome: outcome.NotRun, status: http.StatusServiceUnavailable, reason: "Busy", busy: true}
	}
	a.Decision("RequestPlaced", "Request", c.id, "Kind", c.kind.Name, "Where", "Own", "Reason", "TakenOver")
	return a.runLocal(ctx, c, it.ID)
}

func (s *peerServer) sendReply(stream wire.DRPCPeer_RunStream, r reply) error {
	head := &wire.RunHead{
		Outcome: uint32(r.outcome), Status: uint32(r.status), Headers: toWireHeaders(r.header), Reason: r.reason,
		RetryAfterMicros: r.retryAfter.Microseconds(), Busy: r.busy, Load: s.a.peers.loadMessage(s.a.scheduler.load()),
	}
	first := r.body[:min(len(r.body), maxFrameBytes)]
	body := r.body[len(first):]
	complete := len(body) == 0 && r.rest == nil
	if err := stream.Send(&wire.RunFrame{Head: head, Data: first, End: complete}); err != nil || complete {
		return err
	}
	for len(body) > 0 {
		k := min(len(body), maxFrameBytes)
		if err := stream.Send(&wire.RunFrame{Data: body[:k]}); err != nil {
			return err
		}
		body = body[k:]
	}
	if r.rest != nil {
		if err := sendRest(stream, r.rest); err != nil {
			return stream.Send(&wire.RunFrame{Cut: err.Error()})
		}
	}
	return stream.Send(&wire.RunFrame{End: true})
}

func sendRest(stream wire.DRPCPeer_RunStream, rest io.Reader) error {
	buf := make([]byte, maxFrameBytes)
	for {
		n, err := rest.Read(buf)
		if n > 0 {
			if serr := stream.Send(&wire.RunFrame{Data: buf[:n]}); serr != nil {
				return serr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
