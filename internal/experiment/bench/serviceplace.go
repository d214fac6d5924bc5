package bench

import (
	"time"

	"github.com/jaytack/jaytack/internal/request/handover"
)

// offer sends a request to the agent that holds its caller's flow.
func (s *service) offer(r *request) {
	u := s.random.Float64() * s.cumulativeShares[len(s.cumulativeShares)-1]
	r.home = 0
	for s.cumulativeShares[r.home] < u {
		r.home++
	}
	if s.agents[r.home].dead {
		r.home = s.random.IntN(len(s.agents))
	}
	if s.agents[r.home].dead {
		s.refuse(r, retryDelay)
		return
	}
	r.triedPeers = r.triedPeers[:0]
	s.agents[r.home].queue.RecordArrival(s.now, r.Kind)
	s.place(s.agents[r.home], r)
}

// place starts a request at the agent's own upstream if that has a free slot, unless
// a peer is enough faster to finish the request sooner.
func (s *service) place(a *simAgent, r *request) {
	r.runsAt = a.index
	if s.cfg.placement == twoChoices {
		if d, ok := a.group.Choose(s.now, handover.MaxPeerCost(a.queue.ServiceTime(r.Kind)), nil); ok {
			s.handOver(a, s.byAddr[d.Peer], r)
			return
		}
	}
	if a.queue.TryStart(s.now, r.Item) {
		s.startRequest(a, r)
		return
	}
	s.offerToPeer(a, r)
}

// offerToPeer offers a request to a peer, or queues it locally if no peer is available
// or handover.MaxTries is reached.
func (s *service) offerToPeer(a *simAgent, r *request) {
	p, ok := s.choosePeer(a, r)
	if !ok || len(r.triedPeers) >= handover.MaxTries {
		s.enqueue(a, r)
		return
	}
	s.handOver(a, p, r)
}

func (s *service) handOver(a, p *simAgent, r *request) {
	r.triedPeers = append(r.triedPeers, p.address)
	a.group.BeginRequest(p.address)
	s.schedule(s.hopDelay(a, p), func() { s.receiveHandover(a, p, r) })
}

func (s *service) receiveHandover(a, p *simAgent, r *request) {
	if !p.dead && p.queue.TryStart(s.now, r.Item) {
		r.runsAt = p.index
		s.outcome.handedOver++
		s.startRequest(p, r)
		return
	}
	s.schedule(s.hopDelay(a, p), func() {
		a.group.EndRequest(p.address)
		if p.dead {
			a.group.MarkUnreachable(s.now, p.address)
		} else {
			a.group.UpdateLoad(s.now, p.address, s.loadOf(p))
			a.group.MarkBusy(s.now, p.address)
		}
		if a.dead {
			s.refuse(r, retryDelay)
			return
		}
		if a.queue.TryStart(s.now, r.Item) {
			s.startRequest(a, r)
			return
		}
		s.offerToPeer(a, r)
	})
}

func (s *service) hopDelay(a, p *simAgent) time.Duration {
	if s.dataCentre(a.index) == s.dataCentre(p.index) {
		return sameDataCentreDelay
	}
	return crossDataCentreDelay
}

func (s *service) choosePeer(a *simAgent, r *request) (*simAgent, bool) {
	switch s.cfg.placement {
	case localOnly:
		return nil, false
	case leastLoaded:
		best := a
		for _, p := range s.agents {
			if !p.dead && p.queue.FreeSlots() > best.queue.FreeSlots() {
				best = p
			}
		}
		return best, best != a
	}
	price := a.queue.Backlog(s.now) + a.queue.MeanServiceTime()/time.Duration(s.cfg.slots) + a.queue.ServiceTime(r.Kind)
	d, ok := a.group.Choose(s.now, price, r.triedPeers)
	if !ok {
		return nil, false
	}
	return s.byAddr[d.Peer], true
}

func (s *service) enqueue(a *simAgent, r *request) {
	r.runsAt = a.index
	r.waiting = true
	s.apply(a, a.queue.Offer(s.now, r.Item))
	if r.waiting && r.offers < handover.MaxReoffers && s.cfg.placement != localOnly {
		s.schedule(handover.ReofferDelay(a.queue.ServiceTime(r.Kind), r.offers), func() { s.reoffer(a, r) })
	}
}

// reoffer withdraws a request that still waits in the queue and offers it to a peer.
// If all peers refuse it, the request is queued again.
func (s *service) reoffer(a *simAgent, r *request) {
	if !r.waiting || a.dead {
		return
	}
	r.offers++
	r.triedPeers = r.triedPeers[:0]
	p, ok := s.choosePeer(a, r)
	if !ok && r.offers >= handover.MaxReoffers {
		return
	}
	if !ok {
		s.schedule(handover.ReofferDelay(a.queue.ServiceTime(r.Kind), r.offers), func() { s.reoffer(a, r) })
		return
	}
	if !a.queue.Withdraw(r.ID) {
		return
	}
	r.waiting = false
	s.handOver(a, p, r)
}
