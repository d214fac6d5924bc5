package handover

import "time"

const (
	// detourGain is how much sooner a request must be expected to end at a peer,
	// when the own upstream has a free slot.
	detourGain = 2
	// detourCost is what a handover costs by itself, there and back.
	detourCost = 2 * time.Millisecond
	minReoffer = 2 * time.Millisecond
	maxReoffer = 500 * time.Millisecond
	// quickReoffers is the number of offers before the time between them doubles.
	quickReoffers = 12
	// MaxReoffers is the number of times that a waiting request is offered again.
	MaxReoffers = 24
)

// MaxPeerCost returns the price below which a peer is worth a handover although the
// own upstream has a free slot; size is the mean run at the own upstream.
func MaxPeerCost(size time.Duration) time.Duration {
	return max(size/detourGain-detourCost, 0)
}

// ReofferDelay returns how long a request waits in the own queue before it is
// offered to a peer for the n-th time, counted from 0; size is its mean run.
func ReofferDelay(size time.Duration, n int) time.Duration {
	return min(max(size/4, minReoffer)<<min(n/quickReoffers, 10), maxReoffer)
}
