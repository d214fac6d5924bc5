package admission

import (
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
)

// refuseLate refuses waiting requests until all others are expected to finish in
// time. It goes through the queue in order. While a request would be late, it refuses
// the last request of the least dense kind among those up to this request.
func (q *Queue) refuseLate(now instant.Instant) []ID {
	var refused []ID
	est := q.estimateSlots(now)
	work := time.Duration(0)
	kept := make([]Item, 0, len(q.waiting))
	isRefused := make([]bool, 0, len(q.waiting))
	byKind := make([][]int, len(q.kinds))
	for _, it := range q.waiting {
		byKind[it.Kind] = append(byKind[it.Kind], len(kept))
		kept, isRefused = append(kept, it), append(isRefused, false)
		work += q.kinds[it.Kind].serviceTime.mean
		for !isRefused[len(kept)-1] && q.isLate(now, est, work, it) {
			k := q.leastDenseKind(byKind)
			last := byKind[k][len(byKind[k])-1]
			byKind[k] = byKind[k][:len(byKind[k])-1]
			isRefused[last] = true
			work -= q.kinds[k].serviceTime.mean
			refused = append(refused, kept[last].ID)
		}
	}
	if len(refused) == 0 {
		return nil
	}
	q.Refusals += len(refused)
	q.waiting = q.waiting[:0]
	for i, it := range kept {
		if !isRefused[i] {
			q.waiting = append(q.waiting, it)
		}
	}
	return refused
}

// isGated reports whether requests of a kind are refused because the demand of kinds
// denser by densityMargin reaches overloadRatio times the slots. A kind that runs
// fewer requests than its share is never gated.
func (q *Queue) isGated(now instant.Instant, k KindIndex) bool {
	if !q.policy.RefuseLate || float64(q.kinds[k].running) < q.kinds[k].Share*float64(q.slots) {
		return false
	}
	demand := 0.0
	for i := range q.kinds {
		if q.density(KindIndex(i)) > densityMargin*q.density(k) {
			demand += q.kinds[i].demand.perSecond(now) * q.kinds[i].serviceTime.mean.Seconds()
		}
	}
	return demand >= overloadRatio*float64(q.slots)
}

// isLate reports whether item would miss its deadline or exceed MaxQueueTime. work is
// the total service time of the queue up to and including item.
func (q *Queue) isLate(now instant.Instant, est slotEstimate, work time.Duration, item Item) bool {
	serviceTime := q.kinds[item.Kind].serviceTime
	wait := est.untilFree + (work-serviceTime.mean)/est.usable
	return now.Add(wait+serviceTime.conservative()) > item.Deadline || now.Sub(item.Arrived)+wait > MaxQueueTime
}

// leastDenseKind returns the kind with the lowest density among the kinds listed in
// byKind.
func (q *Queue) leastDenseKind(byKind [][]int) KindIndex {
	leastDense := KindIndex(-1)
	for k := range byKind {
		if len(byKind[k]) > 0 && (leastDense < 0 || q.density(KindIndex(k)) < q.density(leastDense)) {
			leastDense = KindIndex(k)
		}
	}
	return leastDense
}

func (q *Queue) density(k KindIndex) float64 {
	return q.kinds[k].Weight / max(q.kinds[k].serviceTime.mean.Seconds(), 1e-6)
}

// stragglerFactor is the multiple of the mean service time after which a request
// is a straggler, whose slot is not expected to be released soon.
const stragglerFactor = 3

// slotEstimate tells when the next slot is free and how many slots the queue can use.
type slotEstimate struct {
	// untilFree is the expected time until a slot is released, 0 if one is free.
	untilFree time.Duration
	// usable is the number of slots not occupied by stragglers, at least 1. It is a
	// Duration so that it can divide one.
	usable time.Duration
}

// estimateSlots estimates the slots from the requests that run. If all of them are
// stragglers, a slot is expected after stragglerFactor mean service times.
func (q *Queue) estimateSlots(now instant.Instant) slotEstimate {
	stragglers := 0
	remaining := time.Duration(0)
	for _, r := range q.running {
		mean, ran := q.kinds[r.kind].serviceTime.mean, now.Sub(r.started)
		if ran > stragglerFactor*mean {
			stragglers++
			continue
		}
		remaining += max(mean-ran, mean/4)
	}
	est := slotEstimate{usable: time.Duration(max(q.slots-stragglers, 1))}
	if q.FreeSlots() > 0 {
		return est
	}
	if active := time.Duration(len(q.running) - stragglers); active > 0 {
		est.untilFree = remaining / active / active
	} else {
		est.untilFree = q.MeanServiceTime() * stragglerFactor
	}
	return est
}
