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

// peerServer serves calls that other agents hand over.
type peerServer struct {
	wire.DRPCPeerUnimplementedServer
	a *Agent
}

var errNoStart = eris.New("a handed-over request must begin with its head")

// Run takes a call in whole, decides, and streams the reply.
func (s *peerServer) Run(stream wire.DRPCPeer_RunStream) error {
	s.a.peers.served.Add(1)
	defer s.a.peers.served.Add(-1)
	start, c, err := receiveCall(stream)
	if err != nil {
		return err
	}
	r := s.decide(stream.Context(), start, c)
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
		return nil, nil, errNoStart
	}
	c := &call{
		id: start.GetRequest(), method: start.GetMethod(), path: start.GetPath(), header: toHeader(start.GetHeaders()),
		deadline: time.Now().Add(time.Duration(start.GetDeadlineMicros()) * time.Microsecond),
		body:     make([]byte, 0, bodyCapacity),
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
	// policyWait is how long a call waits for the contract of an agent that has just
	// started: contracts come from peers within a second.
	policyWait = time.Second
	// policyPoll is how often it looks.
	policyPoll = 5 * time.Millisecond
)

// awaitPolicy returns what follows from the contract. An agent that has just
// started and does not have it yet must not answer for submissions that its peers
// ask about: they would end as Unknown.
func (a *Agent) awaitPolicy(ctx context.Context) *policy {
	for end := time.Now().Add(policyWait); time.Now().Before(end) && ctx.Err() == nil; {
		if p := a.policy.Load(); p != nil {
			return p
		}
		time.Sleep(policyPoll)
	}
	return a.policy.Load()
}

func (s *peerServer) decide(ctx context.Context, start *wire.RunStart, c *call) reply {
	why := purpose(start.GetPurpose())
	refuse := func(reason string) reply {
		r := notRun(reason, 0)
		if why != purposeRun {
			return r.withoutAuthority()
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
	switch why {
	case purposeTicket:
		return s.a.decideTicket(ctx, c, start.GetIdentity())
	case purposeKey:
		return s.a.decideKey(ctx, c, start.GetIdentity())
	}
	return s.run(ctx, c)
}

// run runs a call only if a slot is free at once.
func (s *peerServer) run(ctx context.Context, c *call) reply {
	a := s.a
	if !a.ownUsable() {
		return reply{outcome: outcome.NotRun, status: http.StatusServiceUnavailable, reason: "Refusing", busy: true}
	}
	it, ok := a.scheduler.enter(c.kind.Name, c.deadline, false)
	if !ok || !a.scheduler.tryStart(it) {
		return reply{outcome: outcome.NotRun, status: http.StatusServiceUnavailable, reason: "Busy", busy: true}
	}
	a.Decision("RequestPlaced", "Request", c.id, "Kind", c.kind.Name, "Where", "Own", "Reason", "TakenOver")
	return a.runOwn(ctx, c, it.ID)
}

func (s *peerServer) sendReply(stream wire.DRPCPeer_RunStream, r reply) error {
	head := &wire.RunHead{
		Outcome: uint32(r.outcome), Status: uint32(r.status), Headers: fromHeader(r.header), Reason: r.reason,
		RetryAfterMicros: r.retryAfter.Microseconds(), Busy: r.busy, Load: s.a.peers.wireLoad(s.a.scheduler.load()),
	}
	first := r.body[:min(len(r.body), frameBytes)]
	body := r.body[len(first):]
	whole := len(body) == 0 && r.rest == nil
	if err := stream.Send(&wire.RunFrame{Head: head, Data: first, End: whole}); err != nil || whole {
		return err
	}
	for len(body) > 0 {
		k := min(len(body), frameBytes)
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
	buf := make([]byte, frameBytes)
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
