// Package speed estimates the usual service time of an upstream, and compares it with that
// of its group.
//
// The upstreams of a service may differ in speed by a factor of two or three and do not
// report it. Their agents see it in the time from a request to its answer. Few requests take
// several times as long as the others, so the estimate is a mean of logarithms in which each
// observation has a limited effect. It follows an upstream that changes its speed within a
// few hundred requests.
//
// The relative speed of an upstream is its service time divided by the median of its group.
// A wrong estimate must neither starve an upstream nor flood it:
//
//   - An estimate of fewer than MinSamples requests does not count.
//   - Service times within the dead band around the median count as equal to it.
//   - Service times far below the median are not trusted, since requests that fail look fast.
//   - Service times far above the median are limited, so that some flows reach the upstream
//     and show whether it is still slow.
//   - An estimate without recent requests decays to the median.
//
// # Usage
//
//	e := speed.New()
//	e.Record(now, 26*time.Millisecond)
//	median := speed.Median(reported)
//	own := e.Estimate(now).Report(median)
//	ratio := speed.Relative(own, median)
//
// The package performs no I/O. An Estimator is not safe for concurrent use.
package speed

import (
	"math"
	"slices"
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
)

const (
	// MinSamples is the number of requests from which on an estimate counts. With the usual
	// spread of service times (the standard deviation of their logarithm is 0.5) the standard
	// error is then about 5 %, so that even upstreams stay inside the dead band.
	MinSamples = 100
	// startSamples is the number of first observations whose median the estimate starts from. A
	// start from fewer would be wrong for several hundred requests, since later steps are limited:
	// after a restart in an overload the agent takes the first requests, which the upstream sheds
	// at once, for ones that found a free slot.
	startSamples = MinSamples
	// window is the number of requests over which the weight of an observation falls by a
	// factor of e.
	window = 200
	// maxStep limits the effect of one observation, in units of the logarithm: twice the usual
	// standard deviation.
	maxStep = 1.0
	// deadBand is the relative difference from the median up to which speeds count as equal.
	deadBand = 0.25
	// minTrusted is the ratio below which a service time is not trusted; maxRatio is the limit
	// of the ratios above the median.
	minTrusted = 0.4
	maxRatio   = 2.5
	// freshFor is the time since the last observation for which an estimate counts in full:
	// longer than a wave of demand leaves an upstream without requests. It then decays with
	// the time constant decayTime.
	freshFor  = 10 * time.Second
	decayTime = 5 * time.Second
)

// Estimator estimates the usual service time of one upstream.
type Estimator struct {
	// logMean is the mean of the logarithms of the service times in seconds.
	logMean float64
	samples int
	// start holds the logarithms of the first observations.
	start [startSamples]float64
	last  instant.Instant
}

// Estimate is the state of an Estimator at one time.
type Estimate struct {
	// ServiceTime is the usual service time, 0 without samples. Half of the requests take
	// longer.
	ServiceTime time.Duration
	// Samples is the number of observed requests, Age the time since the last one.
	Samples int
	Age     time.Duration
}

// New returns an estimator without samples.
func New() *Estimator { return &Estimator{} }

// Reset discards all samples: another upstream has taken the place of the observed one.
func (e *Estimator) Reset() { *e = Estimator{} }

// Record adds the service time of a request that neither waited nor was slowed down by the
// start of its upstream.
func (e *Estimator) Record(now instant.Instant, took time.Duration) {
	// Clocks have a resolution; a logarithm of zero would end the estimate.
	x := math.Log(max(took, time.Microsecond).Seconds())
	e.samples++
	e.last = now
	if e.samples <= startSamples {
		e.start[e.samples-1] = x
		e.logMean = medianOf(e.start[:e.samples])
		return
	}
	step := min(max(x-e.logMean, -maxStep), maxStep)
	e.logMean += step / float64(min(e.samples, window))
}

// Estimate returns the estimate at a time.
func (e *Estimator) Estimate(now instant.Instant) Estimate {
	if e.samples == 0 {
		return Estimate{}
	}
	return Estimate{ServiceTime: fromSeconds(math.Exp(e.logMean)), Samples: e.samples, Age: max(now.Sub(e.last), 0)}
}

// Report returns the service time to tell others: 0 if there are too few samples, and a value
// that approaches the group's median if the samples are old. A median of 0 is unknown.
func (e Estimate) Report(median time.Duration) time.Duration {
	switch {
	case e.Samples < MinSamples:
		return 0
	case e.Age <= freshFor:
		return e.ServiceTime
	case median == 0:
		return 0
	}
	weight := math.Exp(-float64(e.Age-freshFor) / float64(decayTime))
	return fromSeconds(median.Seconds() * math.Pow(e.ServiceTime.Seconds()/median.Seconds(), weight))
}

// Median returns the median of the known service times, 0 if none is known.
func Median(serviceTimes []time.Duration) time.Duration {
	known := slices.DeleteFunc(slices.Clone(serviceTimes), func(d time.Duration) bool { return d <= 0 })
	if len(known) == 0 {
		return 0
	}
	return medianOf(known)
}

// medianOf returns the median of at least one value.
func medianOf[T time.Duration | float64](values []T) T {
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}

// Relative returns the ratio of a service time to the median of its group as it counts for
// placement: 1 if either is unknown (0), inside the dead band or not trusted, else at most
// maxRatio.
func Relative(serviceTime, median time.Duration) float64 {
	if serviceTime <= 0 || median <= 0 {
		return 1
	}
	ratio := float64(serviceTime) / float64(median)
	if ratio < minTrusted || IsEven(serviceTime, median) {
		return 1
	}
	return min(ratio, maxRatio)
}

// IsEven reports whether a service time is inside the dead band around the median of its
// group, or either is unknown (0). A service time that is not trusted is not even.
func IsEven(serviceTime, median time.Duration) bool {
	return serviceTime <= 0 || median <= 0 || math.Abs(float64(serviceTime)/float64(median)-1) <= deadBand
}

func fromSeconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
