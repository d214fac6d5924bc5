package handover

import "time"

const (
	// minSpeedup is the minimum ratio of the local to the peer service time for a
	// handover while the local upstream has a free slot.
	minSpeedup = 2
	// handoverOverhead is the round-trip overhead of a handover.
	handoverOverhead = 2 * time.Millisecond
	// minReofferDelay and maxReofferDelay bound the delay before the next offer.
	minReofferDelay = 2 * time.Millisecond
	maxReofferDelay = 500 * time.Millisecond
	// reoffersPerDoubling is the number of offers after which this delay doubles.
	reoffersPerDoubling = 12
	// MaxReoffers is the maximum number of times that a queued request is offered again.
	MaxReoffers = 24
)

// MaxPeerCost returns the cost below which a peer is preferred even if the local
// upstream has a free slot.
func MaxPeerCost(localServiceTime time.Duration) time.Duration {
	return max(localServiceTime/minSpeedup-handoverOverhead, 0)
}

// ReofferDelay returns the time that a request waits in the local queue between its
// n-th offer to peers, counted from 0, and the next.
func ReofferDelay(localServiceTime time.Duration, n int) time.Duration {
	return min(max(localServiceTime/4, minReofferDelay)<<min(n/reoffersPerDoubling, 10), maxReofferDelay)
}
