// Package placement chooses the upstream of a new flow.
//
// Balancers with the same membership view must make the same choice, because the
// first packets of a flow may arrive at any of them. The choice therefore depends
// only on the flow's first connection ID and on the candidates and their weights.
//
// # Usage
//
//	set := placement.NewRendezvous(candidates)
//	first, second, ok := set.Choose(placement.HashConnectionID(connectionID))
//
// The balancers use Rendezvous. Maglev and Bounded are alternatives that the
// experiments compare with it.
package placement

import (
	"math"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

type (
	// FlowHash is the hash of a flow's first connection ID.
	FlowHash uint64
	// Weight is the relative share of new flows in thousandths of a full share.
	Weight uint16
)

// FullWeight is the weight of an upstream that gets a full share.
const FullWeight Weight = 1000

// Candidate is an upstream that accepts new flows.
type Candidate struct {
	Agent  netip.AddrPort
	Weight Weight
}

// HashConnectionID returns the hash of a flow's first connection ID.
func HashConnectionID(connectionID []byte) FlowHash {
	return FlowHash(xxhash.Sum64(connectionID))
}

// Rendezvous implements weighted rendezvous hashing (highest random weight).
//
// A change of one candidate moves only flows to or from it. A Rendezvous is
// immutable.
type Rendezvous struct {
	agents         []netip.AddrPort
	seeds          []uint64
	inverseWeights []float64
	// uniform is set if all weights are equal, in which case the hash scores can be
	// compared without a logarithm.
	uniform bool
}

// NewRendezvous returns a Rendezvous of the candidates with a weight above 0.
func NewRendezvous(candidates []Candidate) *Rendezvous {
	s := &Rendezvous{uniform: true}
	for _, c := range candidates {
		if c.Weight == 0 {
			continue
		}
		s.uniform = s.uniform && c.Weight == candidates[0].Weight
		s.agents = append(s.agents, c.Agent)
		s.seeds = append(s.seeds, seedOf(c.Agent))
		s.inverseWeights = append(s.inverseWeights, float64(FullWeight)/float64(c.Weight))
	}
	return s
}

// Len returns the number of candidates.
func (s *Rendezvous) Len() int {
	return len(s.agents)
}

// Choose returns the upstream of a flow and the one that gets it if the first refuses.
//
// second is invalid if there is only one candidate; ok is false if there is none.
func (s *Rendezvous) Choose(h FlowHash) (first, second netip.AddrPort, ok bool) {
	var best, next int
	if s.uniform {
		best, next = s.chooseUniform(h)
	} else {
		best, next = s.chooseWeighted(h)
	}
	if best < 0 {
		return first, second, false
	}
	if next >= 0 {
		second = s.agents[next]
	}
	return s.agents[best], second, true
}

// chooseUniform returns the indices of the candidates with the two highest scores,
// -1 for none. With equal weights they have the two lowest costs.
func (s *Rendezvous) chooseUniform(h FlowHash) (best, next int) {
	best, next = -1, -1
	var bestScore, nextScore uint64
	for i, seed := range s.seeds {
		score := uniformScore(uint64(h), seed)
		switch {
		case best < 0 || score > bestScore:
			next, nextScore = best, bestScore
			best, bestScore = i, score
		case next < 0 || score > nextScore:
			next, nextScore = i, score
		}
	}
	return best, next
}

// chooseWeighted returns the indices of the candidates with the two lowest costs,
// -1 for none.
func (s *Rendezvous) chooseWeighted(h FlowHash) (best, next int) {
	best, next = -1, -1
	bestCost, nextCost := math.Inf(1), math.Inf(1)
	for i, seed := range s.seeds {
		c := cost(uint64(h), seed) * s.inverseWeights[i]
		switch {
		case c < bestCost:
			next, nextCost = best, bestCost
			best, bestCost = i, c
		case c < nextCost:
			next, nextCost = i, c
		}
	}
	return best, next
}

// uniformScore returns a hash that is uniformly distributed over 53 bits.
func uniformScore(h, seed uint64) uint64 { return fmix64(h^seed) >> 11 }

// cost returns an exponentially distributed value, so that each candidate has the
// lowest cost divided by weight with a probability proportional to its weight.
func cost(h, seed uint64) float64 {
	u := float64(uniformScore(h, seed)+1) / (1 << 53)
	return -log2(u)
}

// log2 approximates the binary logarithm without tables. Its error is below 1e-4,
// it is monotonic enough for placement, and it gives the same result on every
// machine.
func log2(u float64) float64 {
	bits := math.Float64bits(u)
	exp := float64(int(bits>>52)-1023) + 1
	m := math.Float64frombits(bits&(1<<52-1) | 1022<<52)
	z := (m - math.Sqrt2/2) / (m + math.Sqrt2/2)
	z2 := z * z
	return exp - 0.5 + z*(2.885390081777927+z2*(0.961796693925976+z2*(0.577078016355585+z2*0.412198583111132)))
}

func fmix64(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

func seedOf(a netip.AddrPort) uint64 {
	b, _ := a.MarshalBinary()
	return xxhash.Sum64(b)
}
