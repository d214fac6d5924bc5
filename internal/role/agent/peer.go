package agent

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jaytack/jaytack/internal/fleet/membership"
	"github.com/jaytack/jaytack/internal/fleet/wire"
	"github.com/jaytack/jaytack/internal/flow/connid"
	"github.com/jaytack/jaytack/internal/request/handover"
	"github.com/jaytack/jaytack/internal/request/outcome"
)

// callPurpose tells a peer how to process a call.
type callPurpose uint32

const (
	// purposeRun runs the call if a slot is free.
	purposeRun callPurpose = iota
	// purposeTicket runs the submission of a ticket that the peer issued.
	purposeTicket
	// purposeKey runs the submission of an idempotency key at the leader.
	purposeKey
)

const (
	maxFrameBytes       = 64 << 10
	loadFanout          = 3
	maxSilentRounds     = 3
	minSuspectAfter     = 2500 * time.Millisecond
	peerReplyGrace      = 250 * time.Millisecond
	peerTimeoutFactor   = 8
	minPeerTimeout      = 100 * time.Millisecond
	inboundPollInterval = 10 * time.Millisecond
	initialBodyBytes    = 4 << 10
)

// peerGroup tracks the other agents of a service and sends calls to them.
type peerGroup struct {
	a            *Agent
	retryBudget  *retryBudget
	hedgeBudget  *retryBudget
	inboundCalls atomic.Int64

	mu          sync.Mutex
	group       *handover.Group
	controlAddr map[netip.AddrPort]netip.AddrPort
}

func newPeerGroup(a *Agent) *peerGroup {
	return &peerGroup{
		a: a, retryBudget: newRetryBudget(retryRatio, retryBurst), hedgeBudget: newRetryBudget(hedgeRatio, retryBurst),
		group:       handover.New(rand.Uint64, crossDataCentreRTT),
		controlAddr: make(map[netip.AddrPort]netip.AddrPort),
	}
}

func (p *peerGroup) setMembers(members []membership.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]handover.Peer, 0, len(members))
	clear(p.controlAddr)
	for _, m := range members {
		list = append(list, handover.Peer{Address: m.Address, DataCentre: m.DataCentre})
		p.controlAddr[m.Address] = m.Control
	}
	p.group.SetPeers(p.a.cfg.DataCentre, list)
}

func (p *peerGroup) choose(maxCost time.Duration, tried []netip.AddrPort) (handover.Decision, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.group.Choose(p.a.Now(), maxCost, tried)
}

// sendLoad sends the agent's load to the next loadFanout peers, and reports peers
// without recent load messages as suspect.
func (p *peerGroup) sendLoad() {
	l := p.a.scheduler.load()
	self := p.a.Self()
	leader := p.a.election.announcement()
	e := &wire.Envelope{Body: &wire.Envelope_Load{Load: p.loadMessage(l)}}
	e.GetLoad().Address = wire.FromAddress(self.Address)
	e.GetLoad().Incarnation = uint64(self.Incarnation)
	e.GetLoad().Home = wire.FromAddress(leader.Control)
	e.GetLoad().HomeEpoch = leader.Epoch
	p.mu.Lock()
	targets := p.group.NextPeers(loadFanout)
	// Each agent sends to loadFanout others per interval, in turn.
	round := time.Duration((p.group.Len()+loadFanout-1)/loadFanout) * loadInterval
	silent := p.group.SilentPeers(p.a.Now(), max(maxSilentRounds*round, minSuspectAfter))
	p.mu.Unlock()
	for _, t := range targets {
		p.a.SendEnvelope(e, t)
	}
	for _, s := range silent {
		p.a.MarkSuspect(s)
	}
}

func (p *peerGroup) loadMessage(l handover.Load) *wire.Load {
	return &wire.Load{
		Slots: uint32(l.Slots), Running: uint32(l.Running), Queued: uint32(l.Queued),
		Flows:             uint32(p.a.openFlows.Load()),
		Refusing:          !p.a.isUpstreamUsable(),
		MeanServiceMicros: l.MeanServiceTime.Microseconds(),
	}
}

func (p *peerGroup) handleEnvelope(e *wire.Envelope) {
	l := e.GetLoad()
	if l == nil {
		return
	}
	p.a.election.observe(wire.ToAddress(l.GetHome()), l.GetHomeEpoch())
	p.updateLoad(wire.ToAddress(l.GetAddress()), l)
}

func (p *peerGroup) updateLoad(from netip.AddrPort, l *wire.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.group.UpdateLoad(p.a.Now(), from, handover.Load{
		Slots: int(l.GetSlots()), Running: int(l.GetRunning()), Queued: int(l.GetQueued()), Flows: int(l.GetFlows()),
		Refusing: l.GetRefusing(), MeanServiceTime: time.Duration(l.GetMeanServiceMicros()) * time.Microsecond,
	})
}

// run sends a call to a peer, to run at the peer's upstream.
func (p *peerGroup) run(ctx context.Context, peer netip.AddrPort, c *call) reply {
	p.mu.Lock()
	control := p.controlAddr[peer]
	p.group.BeginRequest(peer)
	p.mu.Unlock()
	r, load := p.callAgent(ctx, control, p.withPeerTimeout(c), purposeRun, "", 0)
	r.fromPeer = true
	if load != nil {
		p.updateLoad(peer, load)
	}
	p.mu.Lock()
	switch {
	case r.reason == reasonUnreachable:
		p.group.MarkUnreachable(p.a.Now(), peer)
	case r.busy:
		p.group.MarkBusy(p.a.Now(), peer)
	}
	p.mu.Unlock()
	r.onComplete(func() {
		p.mu.Lock()
		p.group.EndRequest(peer)
		p.mu.Unlock()
	})
	p.a.metrics.Add("Handovers"+r.outcome.String(), 1)
	return r
}

// withPeerTimeout limits the deadline of a retriable call to peerTimeoutFactor mean
// service times, but at least minPeerTimeout. A peer that takes longer may be frozen.
func (p *peerGroup) withPeerTimeout(c *call) *call {
	if !c.isRetriable() {
		return c
	}
	limit := time.Now().Add(max(peerTimeoutFactor*p.a.scheduler.load().MeanServiceTime, minPeerTimeout))
	if !limit.Before(c.deadline) {
		return c
	}
	limited := *c
	limited.deadline = limit
	return &limited
}

const reasonUnreachable = "PeerUnreachable"

// callAgent sends a call to another agent and returns its reply and load.
//
// A peer runs a call only after the call's end frame has arrived. An error before
// that frame is sent therefore means NotRun, and an error from then on Unknown.
func (p *peerGroup) callAgent(ctx context.Context, control netip.AddrPort, c *call, purpose callPurpose, submissionID string, incarnation connid.Incarnation) (reply, *wire.Load) {
	ctx, cancel := context.WithDeadline(ctx, c.deadline.Add(peerReplyGrace))
	stream, err := wire.NewDRPCPeerClient(p.a.Connect(ctx, control)).Run(ctx)
	if err != nil {
		cancel()
		return notRunReply(reasonUnreachable, 0), nil
	}
	if !p.sendCall(stream, c, purpose, submissionID, incarnation) {
		cancel()
		_ = stream.Close()
		return notRunReply(reasonUnreachable, 0), nil
	}
	if err := stream.Send(&wire.RunFrame{End: true}); err != nil {
		cancel()
		_ = stream.Close()
		return unknownReply("PeerCut"), nil
	}
	f, err := stream.Recv()
	if err != nil || f.GetHead() == nil {
		cancel()
		_ = stream.Close()
		return unknownReply("PeerSilent"), nil
	}
	return p.readReply(stream, f, cancel), f.GetHead().GetLoad()
}

// sendCall sends all frames of a call except the end frame.
func (p *peerGroup) sendCall(stream wire.DRPCPeer_RunClient, c *call, purpose callPurpose, submissionID string, incarnation connid.Incarnation) bool {
	start := &wire.RunStart{
		Request: c.id, Kind: string(c.kind.Name), Method: c.method, Path: c.path, Headers: toWireHeaders(c.header),
		DeadlineMicros: time.Until(c.deadline).Microseconds(), Service: uint32(p.a.Self().Service),
		Purpose: uint32(purpose), Identity: submissionID, TargetIncarnation: uint64(incarnation),
	}
	if stream.Send(&wire.RunFrame{Start: start}) != nil {
		return false
	}
	for body := c.body; len(body) > 0; {
		k := min(len(body), maxFrameBytes)
		if stream.Send(&wire.RunFrame{Data: body[:k]}) != nil {
			return false
		}
		body = body[k:]
	}
	return true
}

func (p *peerGroup) readReply(stream wire.DRPCPeer_RunClient, f *wire.RunFrame, cancel func()) reply {
	h := f.GetHead()
	r := reply{
		outcome: outcome.Outcome(h.GetOutcome()), status: int(h.GetStatus()), header: fromWireHeaders(h.GetHeaders()),
		reason: h.GetReason(), retryAfter: time.Duration(h.GetRetryAfterMicros()) * time.Microsecond, busy: h.GetBusy(),
	}
	body := &frameReader{stream: stream, data: f.GetData(), complete: f.GetEnd()}
	release := &hookedCloser{body, func() { _ = stream.Close(); cancel() }}
	buffered, err := io.ReadAll(io.LimitReader(body, maxBufferedAnswerBytes))
	if err != nil {
		_ = release.Close()
		return unknownReply("PeerCut")
	}
	r.body = buffered
	if len(buffered) < maxBufferedAnswerBytes {
		_ = release.Close()
		return r
	}
	r.rest = release
	return r
}

// frameReader reads the body of a peer's answer.
type frameReader struct {
	stream   wire.DRPCPeer_RunClient
	data     []byte
	complete bool
}

// Read returns io.EOF after the end frame, and io.ErrUnexpectedEOF if the stream
// ends before it.
func (f *frameReader) Read(p []byte) (int, error) {
	for len(f.data) == 0 {
		if f.complete {
			return 0, io.EOF
		}
		m, err := f.stream.Recv()
		if err != nil || m.GetCut() != "" {
			return 0, io.ErrUnexpectedEOF
		}
		f.data, f.complete = m.GetData(), m.GetEnd()
	}
	n := copy(p, f.data)
	f.data = f.data[n:]
	return n, nil
}

// Close does nothing; callAgent and readReply close the stream.
func (f *frameReader) Close() error { return nil }

// awaitInboundCalls waits until no call of a peer runs at this agent, or until the
// timeout.
func (p *peerGroup) awaitInboundCalls(timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	for p.inboundCalls.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(inboundPollInterval)
	}
}

func toWireHeaders(h http.Header) []*wire.Header {
	out := make([]*wire.Header, 0, len(h))
	for k, vs := range h {
		out = append(out, &wire.Header{Name: k, Values: vs})
	}
	return out
}

func fromWireHeaders(hs []*wire.Header) http.Header {
	out := make(http.Header, len(hs))
	for _, h := range hs {
		out[h.GetName()] = h.GetValues()
	}
	return out
}
