package admission

import (
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
)

// shed refuses waiting requests until each of the rest is expected to finish in
// time. It walks in order and drops the last of the least dense kind so far
// whenever one would be late.
func (q *Queue) shed(now instant.Instant) []ID {
	var refused []ID
	throughput := q.throughput(now)
	work := time.Duration(0)
	kept := make([]Item, 0, len(q.waiting))
	dropped := make([]bool, 0, len(q.waiting))
	byKind := make([][]int, len(q.kinds))
	for _, it := range q.waiting {
		byKind[it.Kind] = append(byKind[it.Kind], len(kept))
		kept, dropped = append(kept, it), append(dropped, false)
		work += q.kinds[it.Kind].size.mean
		for !dropped[len(kept)-1] && q.late(now, throughput, work, it) {
			k := q.leastDense(byKind)
			worst := byKind[k][len(byKind[k])-1]
			byKind[k] = byKind[k][:len(byKind[k])-1]
			dropped[worst] = true
			work -= q.kinds[k].size.mean
			refused = append(refused, kept[worst].ID)
		}
	}
	if len(refused) == 0 {
		return nil
	}
	q.Refusals += len(refused)
	q.waiting = q.waiting[:0]
	for i, it := range kept {
		if !dropped[i] {
			q.waiting = append(q.waiting, it)
		}
	}
	return refused
}

// gated reports whether a kind stays out because kinds that are clearly worth
// more for their time ask for all slots. A kind below its share never does.
func (q *Queue) gated(now instant.Instant, k KindIndex) bool {
	if !q.policy.Deadlines || float64(q.kinds[k].running) < q.kinds[k].Share*float64(q.slots) {
		return false
	}
	busy := 0.0
	for i := range q.kinds {
		if q.density(KindIndex(i)) > worthMargin*q.density(k) {
			busy += q.kinds[i].demand.rate(now) * q.kinds[i].size.mean.Seconds()
		}
	}
	return busy >= overload*float64(q.slots)
}

// late reports whether the last of the requests that make up work would be late.
func (q *Queue) late(now instant.Instant, p throughput, work time.Duration, it Item) bool {
	size := q.kinds[it.Kind].size
	wait := p.next + (work-size.mean)/p.slots
	return now.Add(wait+size.high()) > it.Deadline || now.Sub(it.Arrived)+wait > MaxWait
}

// leastDense returns the kind that is worth least for its time among those that wait.
func (q *Queue) leastDense(byKind [][]int) KindIndex {
	worst := KindIndex(-1)
	for k := range byKind {
		if len(byKind[k]) > 0 && (worst < 0 || q.density(KindIndex(k)) < q.density(worst)) {
			worst = KindIndex(k)
		}
	}
	return worst
}

func (q *Queue) density(k KindIndex) float64 {
	return q.kinds[k].Weight / max(q.kinds[k].size.mean.Seconds(), 1e-6)
}

// stuckRuns is the number of mean runs after which a request counts as a
// straggler, whose slot is not expected to be free soon.
const stuckRuns = 3

// throughput is how fast the upstream works off its queue at one moment.
type throughput struct {
	// next is the expected time until a slot is free.
	next time.Duration
	// slots is the number of slots that no straggler holds, at least 1.
	slots time.Duration
}

func (q *Queue) throughput(now instant.Instant) throughput {
	stuck := 0
	left := time.Duration(0)
	for _, r := range q.running {
		mean, ran := q.kinds[r.kind].size.mean, now.Sub(r.started)
		if ran > stuckRuns*mean {
			stuck++
			continue
		}
		left += max(mean-ran, mean/4)
	}
	p := throughput{slots: time.Duration(max(q.slots-stuck, 1))}
	if q.FreeSlots() > 0 {
		return p
	}
	if moving := time.Duration(len(q.running) - stuck); moving > 0 {
		p.next = left / moving / moving
	} else {
		p.next = q.MeanServiceTime() * stuckRuns
	}
	return p
}
