package warmup_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/warmup"
)

var usual = warmup.Bounds{Overage: 1.5, Slack: 5}

func flowID(n int) flow.ID { return flow.ID{Caller: flow.Endpoint{IP: flow.IP(n + 1), Port: 1024}} }

// maxInWindow returns the largest number of times within any closed window.
func maxInWindow(times []instant.Instant, window time.Duration) int {
	most, first := 0, 0
	for i := range times {
		for times[i].Sub(times[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestNoSlidingSecondExceedsTheRate guards against a limit that holds for some seconds only:
// after a pause a token bucket lets through twice the rate within one second.
func TestNoSlidingSecondExceedsTheRate(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			rate := warmup.Rate(1 + random.IntN(40))
			limit := usual.LimitFor(rate)
			now := instant.Instant(1)
			l := warmup.New(now)
			var times []instant.Instant
			for n := range 4000 {
				pause := time.Duration(random.ExpFloat64() * float64(4*time.Millisecond))
				if random.IntN(200) == 0 {
					pause = time.Duration(random.Int64N(int64(2 * time.Second)))
				}
				now = now.Add(pause)
				if l.Left(now, limit) > 0 {
					l.Record(now, flowID(n))
					times = append(times, now)
				}
			}
			qt.Assert(t, maxInWindow(times, time.Second), qt.Equals, int(rate))
			qt.Assert(t, times[0].Sub(1) > time.Second, qt.IsTrue)
		})
	}
}

// TestTurnsAreWhenFlowsAreTaken guards against flows that wait for a turn that comes later than
// was predicted, after their callers have given up.
func TestTurnsAreWhenFlowsAreTaken(t *testing.T) {
	for _, rate := range []warmup.Rate{0.5, 1, 3, 10} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			limit := usual.LimitFor(rate)
			now := instant.Instant(time.Second)
			l := warmup.New(0)
			for n := range 4 {
				now = now.Add(300 * time.Millisecond)
				if l.Left(now, limit) > 0 {
					l.Record(now, flowID(n))
				}
			}
			predicted := make([]instant.Instant, 25)
			for i := range predicted {
				at, ok := l.TurnOf(now, i+1, limit)
				qt.Assert(t, ok, qt.IsTrue)
				predicted[i] = at
			}
			for i, at := range predicted {
				if i == 0 && at > now || i > 0 && at > predicted[i-1] {
					qt.Assert(t, l.Left(at-1, limit), qt.Equals, 0, qt.Commentf("flow %d at %v", i, time.Duration(at)))
				}
				qt.Assert(t, l.Left(at, limit) > 0, qt.IsTrue, qt.Commentf("flow %d at %v", i, time.Duration(at)))
				l.Record(at, flowID(100+i))
			}
		})
	}
}

// TestCopiesCountOnlyIfTheUpstreamMayNotHaveTheFirst guards against an allowance used up by
// retransmissions, and against uncounted flows after a bounce or a restart.
func TestCopiesCountOnlyIfTheUpstreamMayNotHaveTheFirst(t *testing.T) {
	limit := usual.LimitFor(10)
	now := instant.Instant(5 * time.Second)
	l := warmup.New(0)
	for range 3 {
		l.Record(now, flowID(1))
	}
	qt.Assert(t, l.Left(now, limit), qt.Equals, 9)
	l.Forget(flowID(1))
	qt.Assert(t, l.IsCounted(now, flowID(1)), qt.IsFalse)
	l.Record(now, flowID(1))
	l.Record(now, flowID(2))
	qt.Assert(t, l.Left(now, limit), qt.Equals, 7)
	l.ForgetAll()
	qt.Assert(t, l.Left(now, limit), qt.Equals, 7)
	l.Record(now, flowID(2))
	qt.Assert(t, l.Left(now, limit), qt.Equals, 6)
	// Both ends of the second count.
	qt.Assert(t, l.Left(now.Add(time.Second), limit), qt.Equals, 6)
	qt.Assert(t, l.Left(now.Add(time.Second+1), limit), qt.Equals, 10)
}

// TestLimitKeepsTheReserve guards against limits above what the upstream tolerates, and against
// odd rates and bounds that limit nothing or everything by accident.
func TestLimitKeepsTheReserve(t *testing.T) {
	tests := []struct {
		name   string
		rate   warmup.Rate
		bounds warmup.Bounds
		want   warmup.Limit
	}{
		{"Usual", 20, usual, warmup.Limit{Flows: 20, Window: time.Second}},
		{"Fraction", 2.7, usual, warmup.Limit{Flows: 2, Window: time.Second}},
		{"BelowOne", 0.25, usual, warmup.Limit{Flows: 1, Window: 4 * time.Second}},
		{"LowOverage", 20, warmup.Bounds{Overage: 0.5}, warmup.Limit{Flows: 10, Window: time.Second}},
		{"LowRateAndOverage", 0.5, warmup.Bounds{Overage: 0.5}, warmup.Limit{Flows: 1, Window: 4 * time.Second}},
		{"ToleratesLessThanOne", 2, warmup.Bounds{Overage: 0.1}, warmup.Limit{Flows: 1, Window: 5 * time.Second}},
		{"NegativeSlack", 2, warmup.Bounds{Overage: 1, Slack: -5}, warmup.Limit{Flows: 1, Window: time.Minute}},
		{"NoRate", 0, usual, warmup.Limit{}},
		{"NoOverage", 20, warmup.Bounds{Slack: 5}, warmup.Limit{}},
		{"NegativeRate", -1, usual, warmup.Limit{}},
		{"NotANumber", warmup.Rate(math.NaN()), usual, warmup.Limit{}},
		{"HugeRate", 1e300, usual, warmup.Limit{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, test.bounds.LimitFor(test.rate), qt.Equals, test.want)
		})
	}
}

// TestWindowFollowsTheLimit guards against deliveries that are kept, and copies that do not count,
// for a minute after a rate below one has ended.
func TestWindowFollowsTheLimit(t *testing.T) {
	l, now := warmup.New(0), instant.Instant(time.Hour)
	qt.Assert(t, l.Left(now, usual.LimitFor(0.1)), qt.Equals, 1)
	l.Record(now, flowID(1))
	now = now.Add(2 * time.Second)
	qt.Assert(t, l.Left(now, usual.LimitFor(0.1)), qt.Equals, 0)
	qt.Assert(t, l.IsCounted(now, flowID(1)), qt.IsTrue)
	qt.Assert(t, l.Left(now, usual.LimitFor(20)), qt.Equals, 20)
	qt.Assert(t, l.IsCounted(now, flowID(1)), qt.IsFalse)
}
