package speed_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/speed"
)

const ms = time.Millisecond

// observe records requests with the usual spread: log-normal around a median, and 3 % that take
// 7 times as long.
func observe(e *speed.Estimator, random *rand.Rand, n int, median time.Duration) {
	for range n {
		took := float64(median) * math.Exp(0.5*random.NormFloat64())
		if random.Float64() < 0.03 {
			took *= 7
		}
		e.Record(1, time.Duration(took))
	}
}

func ratio(e *speed.Estimator, median time.Duration) float64 {
	return float64(e.Estimate(1).ServiceTime) / float64(median)
}

// TestEstimateStaysInsideDeadBand guards against even upstreams that count as uneven since a
// few requests take several times as long as the others.
func TestEstimateStaysInsideDeadBand(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		e := speed.New()
		observe(e, random, speed.MinSamples, 23*ms)
		for range 20 {
			qt.Assert(t, math.Abs(ratio(e, 23*ms)-1) < 0.25, qt.IsTrue, qt.Commentf("seed %d: %.2f", seed, ratio(e, 23*ms)))
			observe(e, random, 50, 23*ms)
		}
	}
}

// TestEstimateFollowsChange guards against an estimate that keeps the speed that an upstream
// no longer has.
func TestEstimateFollowsChange(t *testing.T) {
	for _, factor := range []float64{0.375, 2.67} {
		e, random := speed.New(), rand.New(rand.NewPCG(1, 1))
		observe(e, random, 2000, 23*ms)
		changed := time.Duration(23 * float64(ms) * factor)
		observe(e, random, 500, changed)
		qt.Check(t, math.Abs(ratio(e, changed)-1) < 0.25, qt.IsTrue, qt.Commentf("factor %v: %.2f", factor, ratio(e, changed)))
	}
}

func TestReport(t *testing.T) {
	fill := func(n int) *speed.Estimator {
		e := speed.New()
		for range n {
			e.Record(1, 10*ms)
		}
		return e
	}
	tests := []struct {
		name    string
		samples int
		age     time.Duration
		median  time.Duration
		want    time.Duration
	}{
		{"None", 0, 0, 20 * ms, 0},
		{"FewSamples", speed.MinSamples - 1, 0, 20 * ms, 0},
		{"Fresh", speed.MinSamples, 9 * time.Second, 20 * ms, 10 * ms},
		{"FreshWithoutMedian", speed.MinSamples, 0, 0, 10 * ms},
		{"Old", speed.MinSamples, time.Minute, 20 * ms, 20 * ms},
		{"OldWithoutMedian", speed.MinSamples, time.Minute, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := fill(test.samples).Estimate(instant.Instant(1).Add(test.age)).Report(test.median)
			qt.Assert(t, got.Round(ms), qt.Equals, test.want)
		})
	}
	e := fill(speed.MinSamples)
	e.Reset()
	qt.Assert(t, e.Estimate(1), qt.Equals, speed.Estimate{})
}

func TestRelative(t *testing.T) {
	tests := []struct {
		name                string
		serviceTime, median time.Duration
		want                float64
		even                bool
	}{
		{"Unknown", 0, 20 * ms, 1, true},
		{"UnknownMedian", 20 * ms, 0, 1, true},
		{"Equal", 20 * ms, 20 * ms, 1, true},
		{"UpperEndOfDeadBand", 25 * ms, 20 * ms, 1, true},
		{"LowerEndOfDeadBand", 15 * ms, 20 * ms, 1, true},
		{"Slow", 32 * ms, 20 * ms, 1.6, false},
		{"Fast", 12 * ms, 20 * ms, 0.6, false},
		{"FastestTrusted", 8 * ms, 20 * ms, 0.4, false},
		{"FailsFast", time.Millisecond, 20 * ms, 1, false},
		{"VerySlow", time.Second, 20 * ms, 2.5, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Check(t, speed.Relative(test.serviceTime, test.median), qt.Equals, test.want)
			qt.Check(t, speed.IsEven(test.serviceTime, test.median), qt.Equals, test.even)
		})
	}
}

func TestMedian(t *testing.T) {
	qt.Check(t, speed.Median(nil), qt.Equals, time.Duration(0))
	qt.Check(t, speed.Median([]time.Duration{0, 0}), qt.Equals, time.Duration(0))
	qt.Check(t, speed.Median([]time.Duration{30 * ms, 0, 10 * ms, 20 * ms}), qt.Equals, 20*ms)
	qt.Check(t, speed.Median([]time.Duration{10 * ms, 20 * ms}), qt.Equals, 15*ms)
}

// TestShedRequestsAtTheStart guards against an upstream that counts as fast for hundreds of
// requests, since it shed some of the first ones at once.
func TestShedRequestsAtTheStart(t *testing.T) {
	e := speed.New()
	for i := range 20 {
		e.Record(instant.Instant(i), time.Millisecond)
	}
	for i := range 100 {
		e.Record(instant.Instant(i), 30*time.Millisecond)
	}
	got := e.Estimate(0).ServiceTime
	qt.Assert(t, got > 25*time.Millisecond, qt.IsTrue, qt.Commentf("%v", got))
}
