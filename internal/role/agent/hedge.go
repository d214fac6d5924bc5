package agent

import (
	"context"
	"time"

	"github.com/jaytack/jaytack/internal/request/outcome"
)

const (
	// hedgeDelayFactor is the delay before a hedge, in mean service times.
	hedgeDelayFactor = 5
	// minHedgeDelay is the minimum delay before a hedge.
	minHedgeDelay = 20 * time.Millisecond
)

// hedgedRun is the result of one of the two runs of a hedged call.
type hedgedRun struct {
	reply  reply
	cancel context.CancelFunc
}

// runHedged runs an idempotent call in its slot. If the run exceeds the hedge
// delay, a peer runs the call too; the first answer is used and the other run is
// cancelled, which frees its slot. A hedge that answers first refunds the budget,
// so hedges become rare when the requests themselves are slow.
func (p *dispatchAttempt) runHedged(ctx context.Context) reply {
	results := make(chan hedgedRun, 2)
	startRun := func(run func(ctx context.Context) reply) context.CancelFunc {
		runCtx, cancel := context.WithCancel(ctx)
		go func() { results <- hedgedRun{run(runCtx), cancel} }()
		return cancel
	}
	cancelLocal := startRun(func(ctx context.Context) reply { return p.a.runLocal(ctx, p.call, p.item.ID) })
	timer := time.NewTimer(max(hedgeDelayFactor*p.a.scheduler.meanServiceTime(p.item.Kind), minHedgeDelay))
	defer timer.Stop()
	select {
	case e := <-results:
		return e.takeReply()
	case <-timer.C:
	}
	decision, ok := p.a.peers.choose(time.Until(p.call.deadline), nil)
	if !ok || !p.a.peers.hedgeBudget.tryWithdraw() {
		return (<-results).takeReply()
	}
	p.a.metrics.Add("Hedges", 1)
	p.a.Decision("RequestHedged", "Request", p.call.id, "Kind", p.call.kind.Name, "Where", decision.Peer, "Among", decision.CandidateCount)
	cancelPeer := startRun(func(ctx context.Context) reply { return p.a.peers.run(ctx, decision.Peer, p.call) })
	first := <-results
	if first.reply.outcome != outcome.Answered {
		first.discard()
		return (<-results).takeReply()
	}
	if first.reply.fromPeer {
		p.a.peers.hedgeBudget.refund()
		cancelLocal()
	} else {
		cancelPeer()
	}
	go func() { (<-results).discard() }()
	return first.takeReply()
}

// takeReply returns the reply and cancels the run's context once it is complete.
func (h hedgedRun) takeReply() reply {
	r := h.reply
	r.onComplete(h.cancel)
	return r
}

// discard cancels a run and closes its reply.
func (h hedgedRun) discard() {
	h.cancel()
	h.reply.close()
}
