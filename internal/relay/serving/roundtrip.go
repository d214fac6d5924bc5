package serving

import (
	"slices"
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/message"
)

const (
	// roundTripInterval is the interval between two measurements of one data centre,
	// firstRoundTripInterval the one until enough of them are known.
	roundTripInterval      = time.Second
	firstRoundTripInterval = 200 * time.Millisecond
	// roundTripSamples is the number of latest measurements whose median counts: two of them
	// may be wrong, since a process paused or a report crossed the request.
	roundTripSamples = 5
	// maxRoundTrip is the longest time in which an answer counts; later ones follow from a pause.
	maxRoundTrip = 500 * time.Millisecond
	// maxRoundTripAge is the age from which on a measurement is not used.
	maxRoundTripAge = 5 * time.Second
	// assumedRoundTrip is used for a data centre without measurements, for example one whose
	// balancers are down while its agents report: longer than usual between data centres of a
	// region, and shorter than the target latencies of 200 ms and more.
	assumedRoundTrip = 50 * time.Millisecond
)

// roundTrip holds the measurements of one data centre.
type roundTrip struct {
	// asked is the process asked last and askedAt when; pending is set until it answers.
	asked   flow.IP
	askedAt instant.Instant
	pending bool
	// doubtful is set if the answer may be one to an earlier request.
	doubtful bool
	// samples holds the latest measurements, the oldest first, median their median.
	samples  []time.Duration
	median   time.Duration
	sampleAt instant.Instant
	requests int
}

// roundTrips holds the measurements by data centre.
type roundTrips map[string]*roundTrip

// get returns the round trip to a data centre and the age of its last measurement, 0 if it is
// not known.
func (t roundTrips) get(now instant.Instant, name string) (d, age time.Duration) {
	r := t[name]
	if r == nil || len(r.samples) == 0 || now.Sub(r.sampleAt) > maxRoundTripAge {
		return 0, 0
	}
	return r.median, now.Sub(r.sampleAt)
}

// orAssumed returns the round trip to a data centre, or if it is not known an assumed one that is
// not shorter than any known one.
func (t roundTrips) orAssumed(now instant.Instant, name string) (d, age time.Duration) {
	if d, age = t.get(now, name); d > 0 {
		return d, age
	}
	d = assumedRoundTrip
	for other := range t {
		known, _ := t.get(now, other)
		d = max(d, known)
	}
	return d, 0
}

// sendRoundTripRequests asks one balancer of each other data centre for a report. Balancers
// send agents no other reports but those of their own starts and stops, so that a report is
// the answer; reports of agents may cross the request.
func (c *Core) sendRoundTripRequests(now instant.Instant) {
	for _, name := range c.remoteDataCentres() {
		r := c.roundTrips[name]
		if r == nil {
			r = &roundTrip{}
			c.roundTrips[name] = r
		}
		interval := roundTripInterval
		if d, _ := c.roundTrips.get(now, name); d == 0 {
			interval = firstRoundTripInterval
		}
		if r.requests > 0 && now.Sub(r.askedAt) < interval {
			continue
		}
		var balancers []flow.IP
		for _, m := range c.Members.Balancers() {
			if m.DataCentre == name && m.State != message.State_StateRestarting {
				balancers = append(balancers, m.ID())
			}
		}
		if len(balancers) == 0 {
			continue
		}
		// Homes start at different balancers and change to the next one each time, so that
		// one that is paused or cut off affects few measurements.
		to := balancers[(uint64(c.Self)+uint64(r.requests))%uint64(len(balancers))]
		r.doubtful = r.pending && r.asked == to
		r.asked, r.askedAt, r.pending = to, now, true
		r.requests++
		c.updateAudience(now)
		c.sequence++
		c.Send(to, &message.Envelope{Body: &message.Envelope_Report{Report: &message.Report{
			Record: c.Record(now), IntervalMillis: uint32(c.audience.intervals[to] / time.Millisecond), ReplyWanted: true,
		}}})
	}
}

// recordRoundTrip records the answer to a request. It ignores one that came late, may answer
// an earlier request, or may have been unread in a pause of this process.
func (c *Core) recordRoundTrip(now instant.Instant, from flow.IP, name string) {
	r := c.roundTrips[name]
	if r == nil || !r.pending || r.asked != from {
		return
	}
	r.pending = false
	d := now.Sub(r.askedAt)
	if r.doubtful || d <= 0 || d > maxRoundTrip || c.paused(now) || c.resumedAt > r.askedAt {
		return
	}
	r.samples = append(r.samples, d)
	if len(r.samples) > roundTripSamples {
		r.samples = slices.Delete(r.samples, 0, 1)
	}
	r.median, r.sampleAt = slices.Sorted(slices.Values(r.samples))[len(r.samples)/2], now
}
