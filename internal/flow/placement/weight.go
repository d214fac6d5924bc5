package placement

import "time"

// Weights that upstreams announce.
const (
	// InitialWeight is the weight of an upstream that has just started.
	InitialWeight Weight = 250
	// weightStep is the step size to which weights are rounded.
	weightStep Weight = 125
	maxWeight         = 2 * FullWeight
)

const (
	// warmUpRequests is the number of served requests that completes the warm-up.
	warmUpRequests = 50
	// warmUpTime is the age that completes the warm-up without requests.
	warmUpTime = 10 * time.Second
	// correctionMinFlows is the mean number of flows below which the weight is not
	// corrected for imbalance.
	correctionMinFlows = 20
	minCorrection      = 0.25
	maxCorrection      = 2.0
	// correctionGain is the change of the weight per relative deviation from the mean
	// number of flows.
	correctionGain = 2.0
)

// WeightInput is the state of an upstream that determines its weight.
type WeightInput struct {
	// Age is the time since the agent started and ServedRequests the number of
	// requests since then.
	Age            time.Duration
	ServedRequests int64
	// Flows is the number of open flows and MaxFlows the maximum.
	Flows, MaxFlows int64
	// MeanFlows is the mean number of open flows per upstream of the service. It is
	// valid only if HasMeanFlows is set.
	MeanFlows    float64
	HasMeanFlows bool
	// Shedding is set while the upstream refuses requests. Down is set while it
	// leaves or is unreachable.
	Shedding, Down bool
}

// WeightFor returns the weight of an upstream for new flows.
//
// The weight rises from InitialWeight to FullWeight during warm-up. An upstream
// with more flows than the mean gets fewer new ones, so that the numbers of open
// flows converge.
func WeightFor(s WeightInput) Weight {
	if s.Down || s.Flows >= s.MaxFlows {
		return 0
	}
	warmUpFraction := min(max(float64(s.ServedRequests)/warmUpRequests, s.Age.Seconds()/warmUpTime.Seconds()), 1)
	w := float64(InitialWeight) + warmUpFraction*float64(FullWeight-InitialWeight)
	if s.HasMeanFlows && s.MeanFlows >= correctionMinFlows {
		w *= min(max(1+correctionGain*(1-float64(s.Flows)/s.MeanFlows), minCorrection), maxCorrection)
	}
	if s.Shedding {
		w /= 2
	}
	step := (Weight(w) + weightStep/2) / weightStep * weightStep
	return min(max(step, weightStep), maxWeight)
}
