// Package admission holds new flows back in front of an upstream that is full.
//
// It answers the load after an outage and at a burst: more new flows than the
// slots can serve within their aim, on upstreams that are slow after their start.
// Handed over at once they fill the upstream's queue, every request comes late,
// and what does not fit is turned away although it could have waited. A new flow
// therefore passes only while its request can still be answered within its aim.
// Of those that wait, the ones that can be in time go first, the most urgent route
// before others and the latest comer before earlier ones; those that are late
// anyway fill slots that would stay empty, the latest first too, since the callers
// of older ones may have given up. Where more wait than can have their turn before
// callers give up, the one whose turn comes last is refused at once, which is seldom
// the latest comer: callers that are refused again and again have used up their tries
// before the backlog is gone.
//
// # Usage
//
//	r := waiting.New()
//	if refused := r.Add(now, e, s); refused != nil {
//		refuse(refused)
//	}
//	for _, e := range r.Expire(now) {
//		log(e)
//	}
//	for e, ok := r.Next(now, s); ok; e, ok = r.Next(now, s) {
//		deliver(e)
//		s.InSystem++
//	}
//
// The package does no input or output. A Room must not be shared without a lock.
package admission

import (
	"slices"
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/message"
)

const (
	// MaxFlows bounds the flows that wait at one upstream.
	MaxFlows = 512
	// usualAim stands in where a route gives no aim.
	usualAim = 500 * time.Millisecond
	// overhead is what the way to the upstream and back takes of the aim.
	overhead = 20 * time.Millisecond
	// maxRounds bounds the requests in the system by the slots: upstreams queue a few
	// requests for each slot and turn away what is more.
	maxRounds = 3
	// lateRounds bounds the requests in the system, by the slots, when a late one
	// passes: a new flow's request comes one way to the caller and back later, and
	// no slot is to fall idle meanwhile.
	lateRounds = 2
)

// UpstreamLoad is how full the upstream is.
type UpstreamLoad struct {
	// Slots is the number of requests that run at a time, InSystem those that run,
	// queue or are about to come.
	Slots, InSystem int
	// ServiceTime is the usual time of a request without a queue.
	ServiceTime time.Duration
}

// wait returns the expected time until a request that comes now is answered.
func (s UpstreamLoad) wait() time.Duration {
	rounds := float64(s.InSystem+1) / float64(max(s.Slots, 1))
	return time.Duration(max(rounds, 1) * float64(s.ServiceTime))
}

// Entry is a new flow that waits.
type Entry struct {
	Flow    flow.ID
	Carried *message.Carried
	// FirstSentAt is when the caller first asked, Until is when it gives up, Came is when
	// the packet came here.
	FirstSentAt, ExpiresAt, ArrivedAt instant.Instant
	TargetLatency                     time.Duration
	Priority                          uint32
}

func (e *Entry) aim() time.Duration {
	if e.TargetLatency == 0 {
		return usualAim
	}
	return e.TargetLatency
}

// inTime reports whether a request that starts to wait for a slot now is answered
// within its aim.
func (e *Entry) inTime(now instant.Instant, s UpstreamLoad) bool {
	return s.InSystem < maxRounds*s.Slots && now.Sub(e.FirstSentAt)+overhead+s.wait() <= e.aim()
}

// hopeful reports whether the request could be in time at an empty upstream.
func (e *Entry) hopeful(now instant.Instant, s UpstreamLoad) bool {
	return now.Sub(e.FirstSentAt)+overhead+s.ServiceTime <= e.aim()
}

// Queue is the flows that wait at one upstream.
type Queue struct {
	entries []*Entry
}

// New returns an empty room.
func New() *Queue { return &Queue{} }

// Len returns the number of flows that wait.
func (r *Queue) Len() int { return len(r.entries) }

// CanAdmit reports whether a flow may go to the upstream at once.
func CanAdmit(now instant.Instant, e *Entry, s UpstreamLoad) bool {
	return s.InSystem < lateRounds*s.Slots || e.inTime(now, s)
}

// Add has a flow wait, or takes in a copy of one that waits. It returns the flow that
// is refused for it, which may be the flow itself, nil where all have their turn.
func (r *Queue) Add(now instant.Instant, e *Entry, s UpstreamLoad) (refused *Entry) {
	for _, x := range r.entries {
		if x.Flow == e.Flow {
			x.Carried, x.ExpiresAt, x.ArrivedAt = e.Carried, e.ExpiresAt, e.ArrivedAt
			return nil
		}
	}
	r.entries = append(r.entries, e)
	turn := time.Duration(float64(len(r.entries)) / float64(max(s.Slots, 1)) * float64(s.ServiceTime))
	if len(r.entries) <= MaxFlows && turn <= flow.OpenTimeout {
		return nil
	}
	last := 0
	for i, x := range r.entries {
		if !r.before(now, s, x, r.entries[last]) {
			last = i
		}
	}
	refused = r.entries[last]
	r.entries = slices.Delete(r.entries, last, last+1)
	return refused
}

// Expire takes out the flows whose callers have given up.
func (r *Queue) Expire(now instant.Instant) (gone []*Entry) {
	r.entries = slices.DeleteFunc(r.entries, func(x *Entry) bool {
		if x.ExpiresAt < now {
			gone = append(gone, x)
		}
		return x.ExpiresAt < now
	})
	return gone
}

// Next takes the flow out whose turn it is; ok is false where none may pass.
func (r *Queue) Next(now instant.Instant, s UpstreamLoad) (e *Entry, ok bool) {
	best := -1
	for i, x := range r.entries {
		if best < 0 || r.before(now, s, x, r.entries[best]) {
			best = i
		}
	}
	if best < 0 || !CanAdmit(now, r.entries[best], s) {
		return nil, false
	}
	e = r.entries[best]
	r.entries = slices.Delete(r.entries, best, best+1)
	return e, true
}

// before reports whether a goes before b.
func (r *Queue) before(now instant.Instant, s UpstreamLoad, a, b *Entry) bool {
	x, y := a.hopeful(now, s), b.hopeful(now, s)
	switch {
	case x != y:
		return x
	case a.Priority != b.Priority:
		return a.Priority < b.Priority
	}
	return a.FirstSentAt > b.FirstSentAt
}
