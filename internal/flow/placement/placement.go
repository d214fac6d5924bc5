// Package placement chooses the upstream of a new flow.
//
// All balancers whose views agree must choose alike, since the first packets of
// a flow may arrive at any of them. The choice therefore depends only on the
// flow's first connection ID and on the candidates with their weights.
//
// # Usage
//
//	set := placement.NewRendezvous(candidates)
//	first, second, ok := set.Choose(placement.HashOf(connectionID))
//
// Rendezvous is what the balancers use. Maglev and Bounded stand beside it for
// comparison.
package placement

import (
	"math"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

type (
	// FlowHash is the hash of a flow's first connection ID.
	FlowHash uint64
	// Weight is a share of new flows in thousandths; FullWeight is the usual one.
	Weight uint16
)

// FullWeight is the weight of an upstream that takes its full share.
const FullWeight Weight = 1000

// Candidate is an upstream that takes new flows.
type Candidate struct {
	Agent  netip.AddrPort
	Weight Weight
}

// HashConnectionID returns the hash of a connection ID.
func HashConnectionID(connectionID []byte) FlowHash {
	return FlowHash(xxhash.Sum64(connectionID))
}

// Rendezvous chooses by weighted highest random weight.
//
// A change of one candidate moves only flows to or from it. It is immutable.
type Rendezvous struct {
	agents  []netip.AddrPort
	seeds   []uint64
	inverse []float64
	// uniform is set where all weights are alike; no logarithm is needed then.
	uniform bool
}

// NewRendezvous returns the set of the candidates with a weight above 0.
func NewRendezvous(candidates []Candidate) *Rendezvous {
	s := &Rendezvous{uniform: true}
	for _, c := range candidates {
		if c.Weight == 0 {
			continue
		}
		s.uniform = s.uniform && c.Weight == candidates[0].Weight
		s.agents = append(s.agents, c.Agent)
		s.seeds = append(s.seeds, seedOf(c.Agent))
		s.inverse = append(s.inverse, float64(FullWeight)/float64(c.Weight))
	}
	return s
}

// Len returns the number of candidates.
func (s *Rendezvous) Len() int {
	return len(s.agents)
}

// Choose returns the upstream of a flow and the one that takes it if the first refuses.
//
// The second is invalid where there is only one candidate, ok is false where
// there is none.
func (s *Rendezvous) Choose(h FlowHash) (first, second netip.AddrPort, ok bool) {
	var best, next int
	if s.uniform {
		best, next = s.greatestDraw(h)
	} else {
		best, next = s.least(h)
	}
	if best < 0 {
		return first, second, false
	}
	if next >= 0 {
		second = s.agents[next]
	}
	return s.agents[best], second, true
}

// greatestDraw returns the candidates with the two greatest draws, which with
// equal weights are those with the two least costs.
func (s *Rendezvous) greatestDraw(h FlowHash) (best, next int) {
	best, next = -1, -1
	var bestDraw, nextDraw uint64
	for i, seed := range s.seeds {
		d := draw(uint64(h), seed)
		switch {
		case best < 0 || d > bestDraw:
			next, nextDraw = best, bestDraw
			best, bestDraw = i, d
		case next < 0 || d > nextDraw:
			next, nextDraw = i, d
		}
	}
	return best, next
}

// least returns the candidates with the two least costs, -1 for none.
func (s *Rendezvous) least(h FlowHash) (best, next int) {
	best, next = -1, -1
	bestCost, nextCost := math.Inf(1), math.Inf(1)
	for i, seed := range s.seeds {
		c := cost(uint64(h), seed) * s.inverse[i]
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

// draw is uniformly distributed over 53 bits.
func draw(h, seed uint64) uint64 { return mix(h^seed) >> 11 }

// cost is exponentially distributed, so that the least of several costs,
// divided by weights, falls on each in proportion to its weight.
func cost(h, seed uint64) float64 {
	u := float64(draw(h, seed)+1) / (1 << 53)
	return -log2(u)
}

// log2 is a table-free approximation with an error below 1e-4 that is monotonic
// enough for placement and the same on every machine.
func log2(u float64) float64 {
	bits := math.Float64bits(u)
	exp := float64(int(bits>>52)-1023) + 1
	m := math.Float64frombits(bits&(1<<52-1) | 1022<<52)
	z := (m - math.Sqrt2/2) / (m + math.Sqrt2/2)
	z2 := z * z
	return exp - 0.5 + z*(2.885390081777927+z2*(0.961796693925976+z2*(0.577078016355585+z2*0.412198583111132)))
}

func mix(x uint64) uint64 {
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
