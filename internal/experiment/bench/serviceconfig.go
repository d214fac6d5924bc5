package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/request/admission"
)

// kind is one kind of request of a simulated service.
type kind struct {
	admission.Kind
	// Mean is the mean service time, which is exponential.
	Mean time.Duration
	// Part is the part of the arrivals, 0 to 1.
	Part float64
	// Stragglers is the part of the requests that take StragglerFactor times longer.
	Stragglers      float64
	StragglerFactor float64
}

// size returns the mean service time, stragglers included.
func (k kind) size() time.Duration {
	return time.Duration(float64(k.Mean) * (1 + k.Stragglers*(k.StragglerFactor-1)))
}

// placing is a way to choose where a request runs.
type placing uint8

// serviceConfig is one simulated service under one load.
type serviceConfig struct {
	agents, slots int
	centres       int
	kinds         []kind
	policy        admission.Policy
	placing       placing
	// signalAge is the time between two messages of load.
	signalAge time.Duration
	// rate is the arrivals per second at a time.
	rate func(t time.Duration) float64
	// from and to bound the time that is measured; the simulation ends after to.
	from, to time.Duration
	// skew is how unevenly flows, and so arrivals, lie on the agents: 0 for evenly.
	skew float64
	// tries is the number of tries that a refused caller makes.
	tries int
	// hedgeAfter is the time after which a run is started a second time at a peer.
	hedgeAfter time.Duration
	// stickySlow makes a straggler slow in its second run too.
	stickySlow bool
	// nearOnly keeps handovers within a data centre, noPrice makes distance free.
	nearOnly, noPrice bool
	// slow makes the upstream of agent 0 slower by this factor, lies lets it say it is idle.
	slow float64
	lies bool
	// failAt ends agents of data centre 0 at this time.
	failAt time.Duration
}

// outcomeOf is what came of the requests that arrived in the measured time.
type outcomeOf struct {
	offered   float64 // weight
	delivered float64 // weight of what was delivered once and on time
	possible  float64 // an upper bound of delivered
	count     int
	onTime    int
	late      int
	refused   int
	handed    int
	// waits are the times until requests began, ends until they were answered, by kind.
	waits, ends []*hdrhistogram.Histogram
	hedges      int
	perSecond   map[int]float64 // delivered weight by second of arrival
}

type simEvent struct {
	at  instant.Instant
	seq int
	do  func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }

func (e simEvents) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}

func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *simEvents) Push(x any) { *e = append(*e, x.(simEvent)) }

func (e *simEvents) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// distancePrice is what a handover to another data centre is taken to cost.
func (c serviceConfig) distancePrice() time.Duration {
	switch {
	case c.nearOnly:
		return time.Hour
	case c.noPrice:
		return 0
	}
	return 2 * (distantTime - hopTime)
}
