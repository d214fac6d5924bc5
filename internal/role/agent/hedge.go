package agent

import (
	"context"
	"time"

	"github.com/jaytack/jaytack/internal/request/outcome"
)

const (
	// hedgeRuns is the number of mean runs after which a second run begins.
	hedgeRuns = 5
	// minHedge is the least time after which a second run begins.
	minHedge = 20 * time.Millisecond
)

// hedgedRun is one of the two runs of a hedged call.
type hedgedRun struct {
	reply  reply
	cancel context.CancelFunc
}

// ownHedged runs an idempotent call in the slot that it holds. If that takes much
// longer than usual, a peer runs it too; the first answer counts and the other
// run is cancelled, which frees its slot. A hedge that pays pays for the next;
// where requests are slow in themselves, hedges soon become rare.
func (p *attempt) ownHedged(ctx context.Context) reply {
	ends := make(chan hedgedRun, 2)
	begin := func(run func(ctx context.Context) reply) context.CancelFunc {
		runCtx, cancel := context.WithCancel(ctx)
		go func() { ends <- hedgedRun{run(runCtx), cancel} }()
		return cancel
	}
	cancelOwn := begin(func(ctx context.Context) reply { return p.a.runOwn(ctx, p.call, p.item.ID) })
	after := time.NewTimer(max(hedgeRuns*p.a.scheduler.size(p.item.Kind), minHedge))
	defer after.Stop()
	select {
	case e := <-ends:
		return e.passOn()
	case <-after.C:
	}
	d, ok := p.a.peers.choose(time.Until(p.call.deadline), nil)
	if !ok || !p.a.peers.hedges.spend() {
		return (<-ends).passOn()
	}
	p.a.metrics.Add("Hedges", 1)
	p.a.Decision("RequestHedged", "Request", p.call.id, "Kind", p.call.kind.Name, "Where", d.Peer, "Among", d.CandidateCount)
	cancelPeer := begin(func(ctx context.Context) reply { return p.a.peers.run(ctx, d.Peer, p.call) })
	first := <-ends
	if first.reply.outcome != outcome.Answered {
		first.drop()
		return (<-ends).passOn()
	}
	if first.reply.fromPeer {
		p.a.peers.hedges.refund()
		cancelOwn()
	} else {
		cancelPeer()
	}
	go func() { (<-ends).drop() }()
	return first.passOn()
}

// passOn returns the reply; its context ends with it.
func (h hedgedRun) passOn() reply {
	r := h.reply
	r.afterwards(h.cancel)
	return r
}

// drop releases a run that does not count.
func (h hedgedRun) drop() {
	h.cancel()
	h.reply.close()
}
