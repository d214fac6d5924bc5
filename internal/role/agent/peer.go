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

// purpose tells a peer what to do with a call.
type purpose uint32

const (
	purposeRun purpose = iota
	purposeTicket
	purposeKey
)

const (
	frameBytes   = 64 << 10
	loadFanout   = 3
	silentRounds = 3
	minSilence   = 2500 * time.Millisecond
	peerGrace    = 250 * time.Millisecond
	patienceRuns = 8
	minPatience  = 100 * time.Millisecond
	servedPoll   = 10 * time.Millisecond
	bodyCapacity = 4 << 10
)

// peers is what an agent knows about the other agents of its service.
type peers struct {
	a      *Agent
	budget *budget
	hedges *budget
	served atomic.Int64

	mu      sync.Mutex
	group   *handover.Group
	control map[netip.AddrPort]netip.AddrPort
}

func newPeers(a *Agent) *peers {
	return &peers{
		a: a, budget: newBudget(retryShare, retryBurst), hedges: newBudget(hedgeShare, retryBurst),
		group:   handover.New(rand.Uint64, peerDistance),
		control: make(map[netip.AddrPort]netip.AddrPort),
	}
}

func (p *peers) set(members []membership.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]handover.Peer, 0, len(members))
	clear(p.control)
	for _, m := range members {
		list = append(list, handover.Peer{Address: m.Address, DataCentre: m.DataCentre})
		p.control[m.Address] = m.Control
	}
	p.group.SetPeers(p.a.cfg.DataCentre, list)
}

func (p *peers) choose(wait time.Duration, tried []netip.AddrPort) (handover.Decision, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.group.Choose(p.a.Now(), wait, tried)
}

// tell sends the agent's load to a few peers.
func (p *peers) tell() {
	l := p.a.scheduler.load()
	self := p.a.Self()
	holder := p.a.home.holder()
	e := &wire.Envelope{Body: &wire.Envelope_Load{Load: p.wireLoad(l)}}
	e.GetLoad().Address = wire.FromAddress(self.Address)
	e.GetLoad().Incarnation = uint64(self.Incarnation)
	e.GetLoad().Home = wire.FromAddress(holder.Control)
	e.GetLoad().HomeEpoch = holder.Epoch
	p.mu.Lock()
	targets := p.group.NextPeers(loadFanout)
	// Every peer sends to loadFanout others in turn.
	round := time.Duration((p.group.Len()+loadFanout-1)/loadFanout) * loadEvery
	silent := p.group.StalePeers(p.a.Now(), max(silentRounds*round, minSilence))
	p.mu.Unlock()
	for _, t := range targets {
		p.a.SendEnvelope(e, t)
	}
	for _, s := range silent {
		p.a.MarkSuspect(s)
	}
}

func (p *peers) wireLoad(l handover.Load) *wire.Load {
	return &wire.Load{
		Slots: uint32(l.Slots), Running: uint32(l.Running), Queued: uint32(l.Queued),
		Flows:             uint32(p.a.flows.Load()),
		Refusing:          !p.a.ownUsable(),
		MeanServiceMicros: l.MeanServiceTime.Microseconds(),
	}
}

func (p *peers) onEnvelope(e *wire.Envelope) {
	l := e.GetLoad()
	if l == nil {
		return
	}
	p.a.home.heard(wire.ToAddress(l.GetHome()), l.GetHomeEpoch())
	p.observe(wire.ToAddress(l.GetAddress()), l)
}

func (p *peers) observe(from netip.AddrPort, l *wire.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.group.UpdateLoad(p.a.Now(), from, handover.Load{
		Slots: int(l.GetSlots()), Running: int(l.GetRunning()), Queued: int(l.GetQueued()), Flows: int(l.GetFlows()),
		Refusing: l.GetRefusing(), MeanServiceTime: time.Duration(l.GetMeanServiceMicros()) * time.Microsecond,
	})
}

// run hands a call to a peer for its upstream.
func (p *peers) run(ctx context.Context, peer netip.AddrPort, c *call) reply {
	p.mu.Lock()
	control := p.control[peer]
	p.group.BeginRequest(peer)
	p.mu.Unlock()
	r, load := p.ask(ctx, control, p.withPatience(c), purposeRun, "", 0)
	r.fromPeer = true
	if load != nil {
		p.observe(peer, load)
	}
	p.mu.Lock()
	switch {
	case r.reason == reasonUnreachable:
		p.group.MarkUnreachable(p.a.Now(), peer)
	case r.busy:
		p.group.MarkBusy(p.a.Now(), peer)
	}
	p.mu.Unlock()
	r.afterwards(func() {
		p.mu.Lock()
		p.group.EndRequest(peer)
		p.mu.Unlock()
	})
	p.a.metrics.Add("Handovers"+r.outcome.String(), 1)
	return r
}

// withPatience returns the call with a shorter deadline where it may be tried again:
// a peer that is silent for much longer than a run takes may be frozen.
func (p *peers) withPatience(c *call) *call {
	if !c.retriable() {
		return c
	}
	limit := time.Now().Add(max(patienceRuns*p.a.scheduler.load().MeanServiceTime, minPatience))
	if !limit.Before(c.deadline) {
		return c
	}
	h := *c
	h.deadline = limit
	return &h
}

const reasonUnreachable = "PeerUnreachable"

// ask sends a call to another agent and returns what it answers.
//
// A peer runs a call only after it has the whole of it. An error before the last
// frame was sent therefore means NotRun, any later one Unknown.
func (p *peers) ask(ctx context.Context, control netip.AddrPort, c *call, why purpose, identity string, inc connid.Incarnation) (reply, *wire.Load) {
	ctx, cancel := context.WithDeadline(ctx, c.deadline.Add(peerGrace))
	stream, err := wire.NewDRPCPeerClient(p.a.Connect(ctx, control)).Run(ctx)
	if err != nil {
		cancel()
		return notRun(reasonUnreachable, 0), nil
	}
	if !p.sendCall(stream, c, why, identity, inc) {
		cancel()
		_ = stream.Close()
		return notRun(reasonUnreachable, 0), nil
	}
	if err := stream.Send(&wire.RunFrame{End: true}); err != nil {
		cancel()
		_ = stream.Close()
		return unknown("PeerCut"), nil
	}
	f, err := stream.Recv()
	if err != nil || f.GetHead() == nil {
		cancel()
		_ = stream.Close()
		return unknown("PeerSilent"), nil
	}
	return p.takeReply(stream, f, cancel), f.GetHead().GetLoad()
}

// sendCall sends all of a call but the frame that ends it.
func (p *peers) sendCall(stream wire.DRPCPeer_RunClient, c *call, why purpose, identity string, inc connid.Incarnation) bool {
	start := &wire.RunStart{
		Request: c.id, Kind: string(c.kind.Name), Method: c.method, Path: c.path, Headers: fromHeader(c.header),
		DeadlineMicros: time.Until(c.deadline).Microseconds(), Service: uint32(p.a.Self().Service),
		Purpose: uint32(why), Identity: identity, TargetIncarnation: uint64(inc),
	}
	if stream.Send(&wire.RunFrame{Start: start}) != nil {
		return false
	}
	for body := c.body; len(body) > 0; {
		k := min(len(body), frameBytes)
		if stream.Send(&wire.RunFrame{Data: body[:k]}) != nil {
			return false
		}
		body = body[k:]
	}
	return true
}

func (p *peers) takeReply(stream wire.DRPCPeer_RunClient, f *wire.RunFrame, cancel func()) reply {
	h := f.GetHead()
	r := reply{
		outcome: outcome.Outcome(h.GetOutcome()), status: int(h.GetStatus()), header: toHeader(h.GetHeaders()),
		reason: h.GetReason(), retryAfter: time.Duration(h.GetRetryAfterMicros()) * time.Microsecond, busy: h.GetBusy(),
	}
	body := &frameReader{stream: stream, data: f.GetData(), whole: f.GetEnd()}
	release := &closer{body, func() { _ = stream.Close(); cancel() }}
	whole, err := io.ReadAll(io.LimitReader(body, wholeLimit))
	if err != nil {
		_ = release.Close()
		return unknown("PeerCut")
	}
	r.body = whole
	if len(whole) < wholeLimit {
		_ = release.Close()
		return r
	}
	r.rest = release
	return r
}

// frameReader reads the body of a handed-over answer.
type frameReader struct {
	stream wire.DRPCPeer_RunClient
	data   []byte
	whole  bool
}

// Read returns io.EOF only after the frame that ends a whole answer.
func (f *frameReader) Read(p []byte) (int, error) {
	for len(f.data) == 0 {
		if f.whole {
			return 0, io.EOF
		}
		m, err := f.stream.Recv()
		if err != nil || m.GetCut() != "" {
			return 0, io.ErrUnexpectedEOF
		}
		f.data, f.whole = m.GetData(), m.GetEnd()
	}
	n := copy(p, f.data)
	f.data = f.data[n:]
	return n, nil
}

// Close does nothing; the stream is closed by who opened it.
func (f *frameReader) Close() error { return nil }

// awaitServed waits until no call of a peer runs here.
func (p *peers) awaitServed(limit time.Duration) {
	deadline := time.Now().Add(limit)
	for p.served.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(servedPoll)
	}
}

func fromHeader(h http.Header) []*wire.Header {
	out := make([]*wire.Header, 0, len(h))
	for k, vs := range h {
		out = append(out, &wire.Header{Name: k, Values: vs})
	}
	return out
}

func toHeader(hs []*wire.Header) http.Header {
	out := make(http.Header, len(hs))
	for _, h := range hs {
		out[h.GetName()] = h.GetValues()
	}
	return out
}
