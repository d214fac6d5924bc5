package admission

import (
	"math"
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
)

const (
	// initialDeadlineDivisor divides the deadline of a kind to give the initial
	// estimate of its mean service time.
	initialDeadlineDivisor = 10
	// maxAveragedRuns is the number of runs over which the estimate is the plain mean.
	// Each later run has the weight 1/maxAveragedRuns.
	maxAveragedRuns = 128
)

// serviceTimeEstimate estimates the mean and the mean deviation of the service time
// of a kind.
type serviceTimeEstimate struct {
	mean      time.Duration
	deviation time.Duration
	runs      int
}

func newServiceTimeEstimate(deadline time.Duration) serviceTimeEstimate {
	return serviceTimeEstimate{mean: deadline / initialDeadlineDivisor}
}

func (e *serviceTimeEstimate) observe(d time.Duration) {
	e.runs++
	n := time.Duration(min(e.runs, maxAveragedRuns))
	diff := d - e.mean
	e.mean += diff / n
	e.deviation += (diff.Abs() - e.deviation) / n
}

// optimistic returns a time within which a run may finish.
func (e serviceTimeEstimate) optimistic() time.Duration { return e.mean / 2 }

// conservative returns a time within which most runs finish.
func (e serviceTimeEstimate) conservative() time.Duration { return e.mean + e.deviation/2 }

// decayingCounter counts the arrivals of a kind. The count decays exponentially with
// the time constant demandWindow.
type decayingCounter struct {
	count     float64
	updatedAt instant.Instant
}

func (d *decayingCounter) decayed(now instant.Instant) float64 {
	return d.count * math.Exp(-float64(now.Sub(d.updatedAt))/float64(demandWindow))
}

func (d *decayingCounter) increment(now instant.Instant) {
	d.count = d.decayed(now) + 1
	d.updatedAt = now
}

// perSecond returns the average arrival rate per second.
func (d *decayingCounter) perSecond(now instant.Instant) float64 {
	return d.decayed(now) / demandWindow.Seconds()
}
