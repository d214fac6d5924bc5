package agent

import (
	"context"
	"net/netip"
	"time"

	"github.com/jaytack/jaytack/internal/request/admission"
	"github.com/jaytack/jaytack/internal/request/handover"
	"github.com/jaytack/jaytack/internal/request/outcome"
)

const (
	// retryRatio is the number of retries allowed per answered request.
	retryRatio = 0.1
	// retryBurst is the initial and maximum number of tokens of a retry budget.
	retryBurst = 10
	// hedgeRatio is the number of hedges allowed per answered request, without
	// refunds.
	hedgeRatio = 0.002
)

// dispatch runs a call at the local upstream or at a peer's.
//
// A call that is not idempotent is sent to another upstream only after a NotRun
// outcome.
func (a *Agent) dispatch(ctx context.Context, c *call) reply {
	r := a.dispatchOnce(ctx, c)
	switch {
	case r.outcome == outcome.Answered:
		a.peers.retryBudget.deposit()
		a.peers.hedgeBudget.deposit()
	case r.outcome == outcome.Unknown && c.isRetriable() && time.Now().Before(c.deadline) && a.peers.retryBudget.tryWithdraw():
		r.close()
		a.metrics.Add("Retries", 1)
		a.Decision("RequestRetried", "Request", c.id, "Kind", c.kind.Name, "Reason", r.reason)
		r = a.dispatchOnce(ctx, c)
	}
	return r
}

func (a *Agent) dispatchOnce(ctx context.Context, c *call) reply {
	it, ok := a.scheduler.newItem(c.kind.Name, c.deadline, true)
	if !ok {
		return notRunReply("UnknownKind", 0)
	}
	p := &dispatchAttempt{a: a, call: c, item: it}
	if !a.isUpstreamUsable() {
		return p.runOnPeer(ctx)
	}
	if r, ok := p.offerToFasterPeer(ctx); ok {
		return r
	}
	if a.scheduler.tryStart(it) {
		return p.runInSlot(ctx, "FreeSlot")
	}
	return p.waitForSlot(ctx)
}

// isUpstreamUsable reports whether the local upstream may get new requests.
func (a *Agent) isUpstreamUsable() bool {
	return !a.draining.Load() && !a.upstream.isDown() && !a.upstream.draining.Load() && !a.upstream.isShedding()
}

// dispatchAttempt is one attempt of this agent to run a call.
type dispatchAttempt struct {
	a    *Agent
	call *call
	item admission.Item
}

// runInSlot runs the call in its slot at the local upstream. If the upstream did not
// run it, the call is offered to peers.
func (p *dispatchAttempt) runInSlot(ctx context.Context, reason string) reply {
	p.a.Decision("RequestPlaced", "Request", p.call.id, "Kind", p.call.kind.Name, "Where", "Own", "Reason", reason)
	var r reply
	if p.call.isRetriable() {
		r = p.runHedged(ctx)
	} else {
		r = p.a.runLocal(ctx, p.call, p.item.ID)
	}
	if r.outcome != outcome.NotRun {
		return r
	}
	if peerReply, ok := p.offerToPeers(ctx, time.Until(p.call.deadline)); ok {
		return peerReply
	}
	return r
}

// offerToFasterPeer offers the call to a peer that is much faster than the local
// upstream.
func (p *dispatchAttempt) offerToFasterPeer(ctx context.Context) (reply, bool) {
	d, ok := p.a.peers.choose(handover.MaxPeerCost(p.a.scheduler.meanServiceTime(p.item.Kind)), nil)
	if !ok {
		return reply{}, false
	}
	return p.handOver(ctx, d)
}

// runOnPeer runs the call at a peer while the local upstream is not usable.
func (p *dispatchAttempt) runOnPeer(ctx context.Context) reply {
	if r, ok := p.offerToPeers(ctx, time.Until(p.call.deadline)); ok {
		return r
	}
	p.a.metrics.Add("RefusedNoUpstream", 1)
	return notRunReply("NoUpstream", probeInterval)
}

// waitForSlot alternates between offering the call to peers and waiting in the
// local queue.
func (p *dispatchAttempt) waitForSlot(ctx context.Context) reply {
	a, c := p.a, p.call
	waitCtx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	for n := 0; ; n++ {
		if r, ok := p.offerToPeers(ctx, a.scheduler.estimateDuration(p.item.Kind)); ok {
			return r
		}
		timeout := time.Until(c.deadline)
		if n < handover.MaxReoffers {
			timeout = handover.ReofferDelay(a.scheduler.meanServiceTime(p.item.Kind), n)
		}
		switch a.scheduler.wait(waitCtx, p.item, timeout) {
		case slotGranted:
			return p.runInSlot(ctx, "Waited")
		case slotRefused:
			a.metrics.Add("RefusedDeadline", 1)
			a.Decision("RequestRefused", "Request", c.id, "Kind", c.kind.Name, "Reason", "CannotFinishInTime")
			return notRunReply("CannotFinishInTime", a.scheduler.retryAfter())
		}
	}
}

// offerToPeers offers the call to up to handover.MaxTries peers that are expected to
// finish it within maxDuration. The result is false if no peer can have run it.
func (p *dispatchAttempt) offerToPeers(ctx context.Context, maxDuration time.Duration) (reply, bool) {
	var tried []netip.AddrPort
	for range handover.MaxTries {
		d, ok := p.a.peers.choose(maxDuration, tried)
		if !ok {
			return reply{}, false
		}
		tried = append(tried, d.Peer)
		if r, ok := p.handOver(ctx, d); ok {
			return r, true
		}
	}
	return reply{}, false
}

func (p *dispatchAttempt) handOver(ctx context.Context, d handover.Decision) (reply, bool) {
	p.a.Decision("RequestPlaced", "Request", p.call.id, "Kind", p.call.kind.Name, "Where", d.Peer, "Reason", "Handover",
		"Price", d.Cost, "Among", d.CandidateCount)
	r := p.a.peers.run(ctx, d.Peer, p.call)
	return r, r.outcome != outcome.NotRun
}

// runLocal runs a call that holds a slot at the local upstream, and frees the slot
// after the answer.
func (a *Agent) runLocal(ctx context.Context, c *call, id admission.ID) reply {
	r := a.upstream.run(ctx, c)
	r.onComplete(func() { a.scheduler.finish(id, r.completion()) })
	return r
}

// completion tells whether the upstream ran the call to its end or deadline. A call whose
// deadline passed before it was sent says nothing about the service time.
func (r reply) completion() admission.Completion {
	if r.outcome == outcome.Answered || r.outcome == outcome.Unknown && r.reason == reasonDeadlinePassed {
		return admission.Served
	}
	return admission.Abandoned
}
