package bench

import (
	"cmp"
	"slices"
	"time"
)

// maxDeliverable returns an upper bound of the deliverable weight. Kinds take
// capacity in descending order of weight per mean service time. All kinds with
// deadlines up to d together get at most the slot time from the start of the
// measurement to d after its end.
func (s *service) maxDeliverable() float64 {
	slots := 0.0
	for _, a := range s.agents {
		if !a.dead {
			slots += float64(s.cfg.slots)
		}
	}
	used := make([]float64, len(s.cfg.kinds)) // by kind, in slot seconds
	order := make([]int, len(s.cfg.kinds))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(weightPerSecond(s.cfg.kinds[b]), weightPerSecond(s.cfg.kinds[a]))
	})
	worth := 0.0
	for _, i := range order {
		k := s.cfg.kinds[i]
		work := float64(s.arrivals[i]) * k.size().Seconds()
		for _, bound := range s.cfg.kinds {
			if bound.Deadline >= k.Deadline {
				work = min(work, slots*(s.cfg.measureTo-s.cfg.measureFrom+bound.Deadline).Seconds()-s.usedWithin(used, bound.Deadline))
			}
		}
		used[i] = work
		worth += work / k.size().Seconds() * k.Weight
	}
	return worth
}

// usedWithin returns the slot seconds used by kinds with deadlines up to d.
func (s *service) usedWithin(used []float64, d time.Duration) float64 {
	sum := 0.0
	for i, k := range s.cfg.kinds {
		if k.Deadline <= d {
			sum += used[i]
		}
	}
	return sum
}

func weightPerSecond(k kind) float64 { return k.Weight / k.size().Seconds() }
