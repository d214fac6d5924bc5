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
	// retryShare is the part of the answered requests that may be tried again.
	retryShare = 0.1
	// retryBurst is the number of tries that are allowed before any answer.
	retryBurst = 10
	// hedgeShare is the part of the answered requests that may be hedged while
	// hedges do not pay.
	hedgeShare = 0.002
)

// place runs a call at the own upstream or at a peer's.
//
// A call that is not idempotent is offered elsewhere only after a refusal that
// says that it did not run.
func (a *Agent) place(ctx context.Context, c *call) reply {
	r := a.placeOnce(ctx, c)
	switch {
	case r.outcome == outcome.Answered:
		a.peers.budget.earn()
		a.peers.hedges.earn()
	case r.outcome == outcome.Unknown && c.retriable() && time.Now().Before(c.deadline) && a.peers.budget.spend():
		r.close()
		a.metrics.Add("Retries", 1)
		a.Decision("RequestRetried", "Request", c.id, "Kind", c.kind.Name, "Reason", r.reason)
		r = a.placeOnce(ctx, c)
	}
	return r
}

func (a *Agent) placeOnce(ctx context.Context, c *call) reply {
	it, ok := a.scheduler.enter(c.kind.Name, c.deadline, true)
	if !ok {
		return notRun("UnknownKind", 0)
	}
	p := &attempt{a: a, call: c, item: it}
	if !a.ownUsable() {
		return p.withoutOwn(ctx)
	}
	if r, ok := p.detour(ctx); ok {
		return r
	}
	if a.scheduler.tryStart(it) {
		return p.own(ctx, "FreeSlot")
	}
	return p.wait(ctx)
}

// ownUsable reports whether new work may go to the own upstream.
func (a *Agent) ownUsable() bool {
	return !a.draining.Load() && !a.upstream.down() && !a.upstream.leaving.Load() && !a.upstream.shedding()
}

// attempt is one call on its way to a slot.
type attempt struct {
	a    *Agent
	call *call
	item admission.Item
}

// own runs the call in the slot that it holds. An upstream that did not run it
// leaves it to the peers.
func (p *attempt) own(ctx context.Context, why string) reply {
	p.a.Decision("RequestPlaced", "Request", p.call.id, "Kind", p.call.kind.Name, "Where", "Own", "Reason", why)
	var r reply
	if p.call.retriable() {
		r = p.ownHedged(ctx)
	} else {
		r = p.a.runOwn(ctx, p.call, p.item.ID)
	}
	if r.outcome != outcome.NotRun {
		return r
	}
	if other, ok := p.offer(ctx, time.Until(p.call.deadline)); ok {
		return other
	}
	return r
}

// detour offers the call to a peer that is much faster than the own upstream.
func (p *attempt) detour(ctx context.Context) (reply, bool) {
	d, ok := p.a.peers.choose(handover.MaxPeerCost(p.a.scheduler.size(p.item.Kind)), nil)
	if !ok {
		return reply{}, false
	}
	return p.handTo(ctx, d)
}

// withoutOwn places the call while the own upstream takes nothing.
func (p *attempt) withoutOwn(ctx context.Context) reply {
	if r, ok := p.offer(ctx, time.Until(p.call.deadline)); ok {
		return r
	}
	p.a.metrics.Add("RefusedNoUpstream", 1)
	return notRun("NoUpstream", probeEvery)
}

// wait offers the call to peers and lets it wait in the own queue, by turns.
func (p *attempt) wait(ctx context.Context) reply {
	a, c := p.a, p.call
	waitCtx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	for n := 0; ; n++ {
		if r, ok := p.offer(ctx, a.scheduler.price(p.item.Kind)); ok {
			return r
		}
		patience := time.Until(c.deadline)
		if n < handover.MaxReoffers {
			patience = handover.ReofferDelay(a.scheduler.size(p.item.Kind), n)
		}
		switch a.scheduler.wait(waitCtx, p.item, patience) {
		case slotGiven:
			return p.own(ctx, "Waited")
		case slotRefused:
			a.metrics.Add("RefusedDeadline", 1)
			a.Decision("RequestRefused", "Request", c.id, "Kind", c.kind.Name, "Reason", "CannotFinishInTime")
			return notRun("CannotFinishInTime", a.scheduler.retryAfter())
		}
	}
}

// offer offers the call to peers where it should end within price. ok is false
// where all of them refused.
func (p *attempt) offer(ctx context.Context, price time.Duration) (reply, bool) {
	var tried []netip.AddrPort
	for range handover.MaxTries {
		d, ok := p.a.peers.choose(price, tried)
		if !ok {
			return reply{}, false
		}
		tried = append(tried, d.Peer)
		if r, ok := p.handTo(ctx, d); ok {
			return r, true
		}
	}
	return reply{}, false
}

func (p *attempt) handTo(ctx context.Context, d handover.Decision) (reply, bool) {
	p.a.Decision("RequestPlaced", "Request", p.call.id, "Kind", p.call.kind.Name, "Where", d.Peer, "Reason", "Handover",
		"Price", d.Cost, "Among", d.CandidateCount)
	r := p.a.peers.run(ctx, d.Peer, p.call)
	return r, r.outcome != outcome.NotRun
}

// runOwn runs a call that holds a slot, and gives the slot back after the answer.
func (a *Agent) runOwn(ctx context.Context, c *call, id admission.ID) reply {
	r := a.upstream.run(ctx, c)
	end := admission.Abandoned
	if r.outcome == outcome.Answered || r.reason == reasonLate {
		end = admission.Served
	}
	r.afterwards(func() { a.scheduler.finish(id, end) })
	return r
}
