package admission

import (
	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/customer/contract"
)

// Reconfigure applies the slots and kinds of a changed contract. Kinds keep their
// index and their estimates. Kinds that the contract no longer has are kept, because
// some of their requests may still be waiting or running.
func (q *Queue) Reconfigure(now instant.Instant, slots int, kinds []Kind) Result {
	for _, k := range kinds {
		i, ok := q.Index(k.Name)
		if ok {
			q.kinds[i].Kind = k
			continue
		}
		q.kinds = append(q.kinds, kindState{Kind: k, serviceTime: newServiceTimeEstimate(k.Deadline)})
	}
	return q.Resize(now, slots)
}

// Index returns the index of the kind with the given name.
func (q *Queue) Index(name contract.KindName) (KindIndex, bool) {
	for i := range q.kinds {
		if q.kinds[i].Name == name {
			return KindIndex(i), true
		}
	}
	return 0, false
}
