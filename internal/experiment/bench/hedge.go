package bench

import (
	"time"

	"github.com/jaytack/jaytack/internal/request/admission"
)

// hedgeShare is the maximum share of requests to hedge.
const hedgeShare = 0.1

// hedge starts a second run of a request at a peer. The first answer counts and
// cancels the other run.
func (s *service) hedge(a *simAgent, r *request) {
	if r.done || a.dead || float64(s.outcome.hedges) >= hedgeShare*float64(s.outcome.count) {
		return
	}
	d, ok := a.group.Choose(s.now, time.Hour, nil)
	if !ok {
		return
	}
	p := s.byAddr[d.Peer]
	s.schedule(s.hopDelay(a, p), func() {
		if r.done || p.dead {
			return
		}
		s.nextID++
		duplicate := &request{kind: r.kind, home: r.home, created: r.created, counted: r.counted, duplicate: r}
		duplicate.Item = admission.Item{ID: s.nextID, Kind: r.Kind, Arrived: s.now, Deadline: r.Deadline}
		duplicate.service = s.drawServiceTime(r.kind)
		if s.cfg.repeatStraggler {
			duplicate.service = r.service
		}
		if !p.queue.TryStart(s.now, duplicate.Item) {
			return
		}
		s.outcome.hedges++
		r.duplicate = duplicate
		s.run(p, duplicate)
	})
}

// cancelDuplicate cancels the other run of a hedged request.
func (s *service) cancelDuplicate(r *request) {
	t := r.duplicate
	if t == nil || t.done || t.agent == nil {
		return
	}
	t.done = true
	delete(s.pending, t.ID)
	s.apply(t.agent, t.agent.queue.Finish(s.now, t.ID, admission.Abandoned))
}

// drawServiceTime draws the service time of one run. The second run of a request is a
// straggler independently of the first.
func (s *service) drawServiceTime(k int) time.Duration {
	kd := s.cfg.kinds[k]
	if s.random.Float64() < kd.Stragglers {
		return time.Duration(float64(kd.Mean) * kd.StragglerFactor)
	}
	return time.Duration(s.random.ExpFloat64() * float64(kd.Mean))
}
