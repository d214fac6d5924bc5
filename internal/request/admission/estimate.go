package admission

import (
	"math"
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
)

const (
	// firstGuess is the part of the deadline that an unknown kind is taken to need.
	firstGuess = 10
	// memory is the number of runs over which an estimate forgets.
	memory = 128
	// warmUp is the number of runs during which an estimate is a plain mean.
	warmUp = 8
)

// estimate learns the service time of a kind: its mean and mean deviation.
type estimate struct {
	mean      time.Duration
	deviation time.Duration
	runs      int
}

func newEstimate(deadline time.Duration) estimate {
	return estimate{mean: deadline / firstGuess}
}

func (e *estimate) learn(d time.Duration) {
	e.runs++
	n := time.Duration(min(e.runs, memory))
	if e.runs <= warmUp {
		n = time.Duration(e.runs)
	}
	diff := d - e.mean
	e.mean += diff / n
	e.deviation += (diff.Abs() - e.deviation) / n
}

// low is a time in which a run may well finish.
func (e estimate) low() time.Duration { return e.mean / 2 }

// high is a time in which most runs finish.
func (e estimate) high() time.Duration { return e.mean + e.deviation/2 }

// demand is the arrivals of a kind, with older ones fading.
type demand struct {
	value float64
	at    instant.Instant
}

func (d *demand) fade(now instant.Instant) float64 {
	return d.value * math.Exp(-float64(now.Sub(d.at))/float64(demandTime))
}

func (d *demand) add(now instant.Instant) {
	d.value = d.fade(now) + 1
	d.at = now
}

// rate returns the arrivals per second.
func (d *demand) rate(now instant.Instant) float64 {
	return d.fade(now) / demandTime.Seconds()
}
