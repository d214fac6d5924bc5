package bench

import (
	"time"

	"github.com/jaytack/jaytack/internal/request/handover"
)

// offer brings a request to the agent that holds its caller's flow.
func (s *service) offer(r *request) {
	u := s.random.Float64() * s.shares[len(s.shares)-1]
	r.home = 0
	for s.shares[r.home] < u {
		r.home++
	}
	if s.agents[r.home].dead {
		r.home = s.random.IntN(len(s.agents))
	}
	if s.agents[r.home].dead {
		s.refuse(r, retryPause)
		return
	}
	r.tried = r.tried[:0]
	s.agents[r.home].queue.RecordArrival(s.now, r.Kind)
	s.placeAt(s.agents[r.home], r)
}

// placeAt takes the own upstream if it has a free slot, unless a peer is so much
// faster that the request would end sooner there.
func (s *service) placeAt(a *simAgent, r *request) {
	r.at = a.index
	if s.cfg.placing == twoChoice {
		if d, ok := a.group.Choose(s.now, handover.MaxPeerCost(a.queue.ServiceTime(r.Kind)), nil); ok {
			s.handTo(a, s.byAddr[d.Peer], r)
			return
		}
	}
	if a.queue.TryStart(s.now, r.Item) {
		s.begin(a, r)
		return
	}
	s.elsewhere(a, r)
}

// elsewhere offers a request to a peer, and then to the own queue.
func (s *service) elsewhere(a *simAgent, r *request) {
	p, ok := s.choose(a, r)
	if !ok || len(r.tried) >= handover.MaxTries {
		s.enqueue(a, r)
		return
	}
	s.handTo(a, p, r)
}

func (s *service) handTo(a, p *simAgent, r *request) {
	r.tried = append(r.tried, p.address)
	a.group.BeginRequest(p.address)
	s.at(s.hop(a, p), func() { s.arriveAt(a, p, r) })
}

func (s *service) arriveAt(a, p *simAgent, r *request) {
	if !p.dead && p.queue.TryStart(s.now, r.Item) {
		r.at = p.index
		s.out.handed++
		s.begin(p, r)
		return
	}
	s.at(s.hop(a, p), func() {
		a.group.EndRequest(p.address)
		if p.dead {
			a.group.MarkUnreachable(s.now, p.address)
		} else {
			a.group.UpdateLoad(s.now, p.address, s.loadOf(p))
			a.group.MarkBusy(s.now, p.address)
		}
		if a.dead {
			s.refuse(r, retryPause)
			return
		}
		if a.queue.TryStart(s.now, r.Item) {
			s.begin(a, r)
			return
		}
		s.elsewhere(a, r)
	})
}

func (s *service) hop(a, p *simAgent) time.Duration {
	if s.centre(a.index) == s.centre(p.index) {
		return hopTime
	}
	return distantTime
}

func (s *service) choose(a *simAgent, r *request) (*simAgent, bool) {
	switch s.cfg.placing {
	case ownOnly:
		return nil, false
	case idealOne:
		best := a
		for _, p := range s.agents {
			if !p.dead && p.queue.FreeSlots() > best.queue.FreeSlots() {
				best = p
			}
		}
		return best, best != a
	}
	price := a.queue.Backlog(s.now) + a.queue.MeanServiceTime()/time.Duration(s.cfg.slots) + a.queue.ServiceTime(r.Kind)
	d, ok := a.group.Choose(s.now, price, r.tried)
	if !ok {
		return nil, false
	}
	return s.byAddr[d.Peer], true
}

func (s *service) enqueue(a *simAgent, r *request) {
	r.at = a.index
	r.waiting = true
	s.apply(a, a.queue.Offer(s.now, r.Item))
	if r.waiting && r.offers < handover.MaxReoffers && s.cfg.placing != ownOnly {
		s.at(handover.ReofferDelay(a.queue.ServiceTime(r.Kind), r.offers), func() { s.reoffer(a, r) })
	}
}

// reoffer takes a request that still waits out of the queue and offers it to a
// peer; refused, it takes its place again.
func (s *service) reoffer(a *simAgent, r *request) {
	if !r.waiting || a.dead {
		return
	}
	r.offers++
	r.tried = r.tried[:0]
	p, ok := s.choose(a, r)
	if !ok && r.offers >= handover.MaxReoffers {
		return
	}
	if !ok {
		s.at(handover.ReofferDelay(a.queue.ServiceTime(r.Kind), r.offers), func() { s.reoffer(a, r) })
		return
	}
	if !a.queue.Withdraw(r.ID) {
		return
	}
	r.waiting = false
	s.handTo(a, p, r)
}
