package admission

import (
	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/customer/contract"
)

// Reconfigure puts a changed contract in force. Kinds keep their index and what
// was learnt about them; kinds that are no longer named stay for the requests
// that are under way.
func (q *Queue) Reconfigure(now instant.Instant, slots int, kinds []Kind) Result {
	for _, k := range kinds {
		i, ok := q.Index(k.Name)
		if ok {
			q.kinds[i].Kind = k
			continue
		}
		q.kinds = append(q.kinds, kindState{Kind: k, size: newEstimate(k.Deadline)})
	}
	return q.Resize(now, slots)
}

// Index returns the index of a kind.
func (q *Queue) Index(name contract.KindName) (KindIndex, bool) {
	for i := range q.kinds {
		if q.kinds[i].Name == name {
			return KindIndex(i), true
		}
	}
	return 0, false
}
