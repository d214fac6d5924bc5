// Package warmup limits the first packets that an upstream gets while it is cold.
//
// An upstream that has just started takes few new flows a second; more than that within any
// one second, from all senders together, overload it. All first packets pass through the
// agent beside the upstream, which records each of them. A token bucket would not do: a full
// bucket and its refill together exceed the rate within one second. The limiter keeps the
// time of each delivery of the last second instead, and the rate itself is the limit. The
// overage and slack that the upstream tolerates are left as a reserve for what the agent
// cannot see: the time from the agent to the upstream varies, and an upstream may have
// restarted just before the agent learns of it.
//
// A limiter that has just been created does not know the deliveries of the last second, so
// it allows none for one second.
//
// # Usage
//
//	l := warmup.New(now)
//	limit := bounds.LimitFor(20)
//	if l.IsCounted(now, id) || l.Left(now, limit) > 0 {
//		deliver(id)
//		l.Record(now, id)
//	}
//
// The package performs no I/O. A Limiter is not safe for concurrent use.
package warmup

import (
	"math"
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/flow"
)

// Rate is a number of new flows a second; 0 means no limit.
type Rate float64

// MaxRate is the highest rate that limits anything: no upstream gets more new flows a second,
// and it bounds the memory of a limiter.
const MaxRate Rate = 1 << 16

// Bounds are what an upstream tolerates beyond its rate: in any sliding second it may get up to
// Overage times the rate plus Slack first packets. With an Overage of 0 there is no limit.
type Bounds struct {
	Overage, Slack float64
}

// Limit is the number of first packets that an upstream may get within any Window, both ends
// included. The zero Limit stands for no limit.
type Limit struct {
	Flows  int
	Window time.Duration
}

// IsSet reports whether there is a limit.
func (l Limit) IsSet() bool { return l.Window > 0 }

// LimitFor returns the limit for an upstream of a rate: the rate itself within a second, or what
// the upstream tolerates if that is less. For less than one flow a second it is one flow in the
// corresponding longer time, so that no rate stops all flows.
func (b Bounds) LimitFor(r Rate) Limit {
	if !(r > 0) || r > MaxRate || !(b.Overage > 0) {
		return Limit{}
	}
	perSecond := max(min(float64(r), b.Overage*float64(r)+b.Slack), 0)
	if perSecond < 1 {
		// The longest window is a minute: a limiter keeps its deliveries for that long.
		window := min(float64(time.Second)/perSecond, float64(time.Minute))
		return Limit{Flows: 1, Window: time.Duration(window)}
	}
	return Limit{Flows: int(math.Floor(perSecond)), Window: time.Second}
}

// delivery is a first packet that was delivered. Its flow is the zero ID once a copy of the
// packet counts again.
type delivery struct {
	flow flow.ID
	at   instant.Instant
}

// Limiter records the first packets delivered to one upstream.
type Limiter struct {
	// startedAt is when the limiter began to record.
	startedAt instant.Instant
	// deliveries holds those of window, which is that of the limit in force and at least a second,
	// the earliest first.
	deliveries []delivery
	window     time.Duration
}

// New returns a limiter that does not know the deliveries before now.
func New(now instant.Instant) *Limiter { return &Limiter{startedAt: now, window: time.Second} }

// expire removes the deliveries that no window contains any more.
func (l *Limiter) expire(now instant.Instant) {
	n := 0
	for n < len(l.deliveries) && now.Sub(l.deliveries[n].at) > l.window {
		n++
	}
	if n == 0 {
		return
	}
	l.deliveries = l.deliveries[:copy(l.deliveries, l.deliveries[n:])]
}

// Record records that the first packet of a flow is delivered now. A copy of a packet that
// already counts is not recorded.
func (l *Limiter) Record(now instant.Instant, id flow.ID) {
	if !l.IsCounted(now, id) {
		l.deliveries = append(l.deliveries, delivery{id, now})
	}
}

// IsCounted reports whether the first packet of a flow has been delivered within the window, so
// that a copy of it does not count again.
func (l *Limiter) IsCounted(now instant.Instant, id flow.ID) bool {
	l.expire(now)
	for _, d := range l.deliveries {
		if d.flow == id {
			return true
		}
	}
	return false
}

// Forget makes a copy of a flow's first packet count again, since the upstream has bounced the
// packet. The delivery itself still counts.
func (l *Limiter) Forget(id flow.ID) {
	for i := range l.deliveries {
		if l.deliveries[i].flow == id {
			l.deliveries[i].flow = flow.ID{}
		}
	}
}

// ForgetAll makes copies of all first packets count again, since the upstream may have
// restarted. The deliveries still count: it may have got them after its restart.
func (l *Limiter) ForgetAll() {
	for i := range l.deliveries {
		l.deliveries[i].flow = flow.ID{}
	}
}

// Left returns how many first packets may be delivered now.
func (l *Limiter) Left(now instant.Instant, limit Limit) int {
	l.window = max(time.Second, limit.Window)
	l.expire(now)
	if now.Sub(l.startedAt) <= limit.Window {
		return 0
	}
	n := limit.Flows
	for i := len(l.deliveries) - 1; i >= 0 && now.Sub(l.deliveries[i].at) <= limit.Window; i-- {
		n--
	}
	return max(n, 0)
}

// TurnOf returns when the n-th further first packet may be delivered, counted from 1, if all
// before it are delivered as early as possible. ok is false if the limit allows none at all.
func (l *Limiter) TurnOf(now instant.Instant, n int, limit Limit) (at instant.Instant, ok bool) {
	if limit.Flows <= 0 || n <= 0 {
		return 0, false
	}
	l.window = max(time.Second, limit.Window)
	l.expire(now)
	// A window after the delivery that is limit.Flows before this one, it is this one's turn.
	// That delivery may itself be a further one.
	windows := (n - 1) / limit.Flows
	remainder := (n - 1) % limit.Flows
	at = max(now, l.startedAt.Add(limit.Window+1))
	if i := len(l.deliveries) - limit.Flows + remainder; i >= 0 {
		at = max(at, l.deliveries[i].at.Add(limit.Window+1))
	}
	return at.Add(time.Duration(windows) * (limit.Window + 1)), true
}
