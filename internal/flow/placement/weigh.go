package placement

import "time"

// Weights that upstreams announce.
const (
	// InitialWeight is the weight of an upstream that has not proved itself.
	InitialWeight Weight = 250
	// weightStep is the grain in which weights change.
	weightStep Weight = 125
	maxWeight         = 2 * FullWeight
)

const (
	// coldServed is the number of requests after which an upstream has proved itself.
	coldServed = 50
	// coldTime is the time after which it has without requests.
	coldTime = 10 * time.Second
	// levelMinFlows is the number of flows below which the level is not corrected.
	levelMinFlows = 20
	minLevel      = 0.25
	maxLevel      = 2.0
	// levelGain is how strongly a surplus of flows lowers the weight.
	levelGain = 2.0
)

// WeightInput is what an upstream's weight follows from.
type WeightInput struct {
	// Age is the time since the agent started, Served the requests since then.
	Age            time.Duration
	ServedRequests int64
	// Flows is the number of open flows, Limit the number that it may hold.
	Flows, MaxFlows int64
	// MeanFlows is the mean number of open flows in the service, if HasMean.
	MeanFlows    float64
	HasMeanFlows bool
	// Shedding is set while the upstream refuses requests, Down when it leaves or
	// cannot be reached.
	Shedding, Down bool
}

// WeightFor returns the share of new flows that an upstream should get.
//
// A cold upstream begins with FirstWeight. One that holds more flows than the
// mean gets fewer new ones, so that new flows level out what old ones left uneven.
func WeightFor(s WeightInput) Weight {
	if s.Down || s.Flows >= s.MaxFlows {
		return 0
	}
	proved := min(max(float64(s.ServedRequests)/coldServed, s.Age.Seconds()/coldTime.Seconds()), 1)
	w := float64(InitialWeight) + proved*float64(FullWeight-InitialWeight)
	if s.HasMeanFlows && s.MeanFlows >= levelMinFlows {
		w *= min(max(1+levelGain*(1-float64(s.Flows)/s.MeanFlows), minLevel), maxLevel)
	}
	if s.Shedding {
		w /= 2
	}
	step := (Weight(w) + weightStep/2) / weightStep * weightStep
	return min(max(step, weightStep), maxWeight)
}
