package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/request/admission"
)

// kind describes one kind of request of a simulated service.
type kind struct {
	admission.Kind
	// Mean is the mean of the exponential service time, without stragglers.
	Mean time.Duration
	// Part is the share of the arrivals, 0 to 1.
	Part float64
	// Stragglers is the share of the requests that take StragglerFactor times Mean.
	Stragglers      float64
	StragglerFactor float64
}

// size returns the mean service time, stragglers included.
func (k kind) size() time.Duration {
	return time.Duration(float64(k.Mean) * (1 + k.Stragglers*(k.StragglerFactor-1)))
}

// placementPolicy selects the upstream that runs a request.
type placementPolicy uint8

// serviceConfig configures one simulated service and its load.
type serviceConfig struct {
	agents, slots int
	dataCentres   int
	kinds         []kind
	policy        admission.Policy
	placement     placementPolicy
	// loadInterval is the time between two load messages of an agent.
	loadInterval time.Duration
	// rate returns the arrivals per second at time t.
	rate func(t time.Duration) float64
	// measureFrom and measureTo bound the measurement period; the simulation ends
	// 3 seconds after measureTo.
	measureFrom, measureTo time.Duration
	// skew is the unevenness of flows, and so of arrivals, over the agents; 0 is even.
	skew float64
	// attempts is the maximum number of attempts for a request.
	attempts int
	// hedgeAfter is the delay before a second run starts at a peer; 0 disables hedging.
	hedgeAfter time.Duration
	// repeatStraggler gives the second run the service time of the first.
	repeatStraggler bool
	// sameDataCentreOnly keeps handovers within a data centre; freeDistance sets
	// the cost of distance to 0.
	sameDataCentreOnly, freeDistance bool
	// slowFactor multiplies the service times at agent 0; reportsIdle makes agent 0
	// report no load.
	slowFactor  float64
	reportsIdle bool
	// failAt is the time at which all agents of data centre a fail; 0 disables it.
	failAt time.Duration
}

// outcome holds the results of the requests that arrived in the measurement period.
type outcome struct {
	offered    float64 // weight
	delivered  float64 // weight of the requests answered by their deadlines, each counted once
	upperBound float64 // of delivered
	count      int
	onTime     int
	late       int
	refused    int
	handedOver int
	// waitTimes are the times from creation to start and latencies those from
	// creation to answer, in microseconds by kind.
	waitTimes, latencies []*hdrhistogram.Histogram
	hedges               int
	perSecond            map[int]float64 // delivered weight by second of arrival
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

// distanceCost returns the assumed cost of a handover to another data centre.
func (c serviceConfig) distanceCost() time.Duration {
	switch {
	case c.sameDataCentreOnly:
		return time.Hour
	case c.freeDistance:
		return 0
	}
	return 2 * (crossDataCentreDelay - sameDataCentreDelay)
}
