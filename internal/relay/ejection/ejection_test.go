package ejection_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/ejection"
)

const ms = instant.Instant(time.Millisecond)

// play records outcomes 20 ms apart, "." for an answer and "x" for a failure, and returns when
// the last one was.
func play(d *ejection.Detector, from instant.Instant, outcomes string) instant.Instant {
	for _, o := range outcomes {
		from += 20 * ms
		if o == 'x' {
			d.RecordFailure(from)
		} else {
			d.RecordAnswer(from)
		}
	}
	return from
}

// TestEjection guards against upstreams that fail and go on getting flows, and against ones that
// get none after a few failures among many answers.
func TestEjection(t *testing.T) {
	for _, test := range []struct {
		outcomes string
		want     ejection.State
	}{
		{"", ejection.Trusted},
		{"xx", ejection.Trusted},
		{"xxx", ejection.Ejected},
		{"x.x.x", ejection.Ejected},
		{"x..x..x", ejection.Ejected},
		{"x....x....x....x....", ejection.Trusted},
		{"....................xxx", ejection.Trusted},
		{"....................xxxxxxxx", ejection.Ejected},
		{"xx..x.x", ejection.Ejected},
	} {
		d := ejection.New()
		now := play(d, 100*ms, test.outcomes)
		qt.Check(t, d.State(now), qt.Equals, test.want, qt.Commentf("%q", test.outcomes))
	}
}

// TestTrial guards against upstreams that stay ejected for good, and against ones that are
// trusted at once and fail the next burst.
func TestTrial(t *testing.T) {
	d := ejection.New()
	now := play(d, 0, "xxx")
	qt.Check(t, d.State(now+990*ms), qt.Equals, ejection.Ejected)
	now += 1000 * ms
	qt.Check(t, d.State(now), qt.Equals, ejection.OnTrial)
	now = play(d, now, ".x")
	qt.Check(t, d.State(now+1990*ms), qt.Equals, ejection.Ejected, qt.Commentf("the second ejection is longer"))
	now += 2000 * ms
	now = play(d, now, "...")
	qt.Check(t, d.State(now), qt.Equals, ejection.Trusted)
	now = play(d, now, "xx")
	qt.Check(t, d.State(now), qt.Equals, ejection.Trusted, qt.Commentf("earlier failures do not count again"))
	now = play(d, now, "x")
	qt.Check(t, d.State(now+3990*ms), qt.Equals, ejection.Ejected)
	qt.Check(t, d.State(now+4000*ms), qt.Equals, ejection.OnTrial)
	now = play(d, now+4000*ms, "...") + 11000*ms
	now = play(d, now, "xxx")
	qt.Check(t, d.State(now+1000*ms), qt.Equals, ejection.OnTrial, qt.Commentf("an ejection long after the last one is short"))
	d.Reset()
	qt.Check(t, d.State(now), qt.Equals, ejection.Trusted)
}
