package placement

import "net/netip"

// Maglev chooses by a lookup table that the candidates fill in turn (Maglev hashing).
//
// The route and churn experiments compare it with Rendezvous.
type Maglev struct {
	agents []netip.AddrPort
	table  []uint16
}

// MaglevTableSize is the number of entries in the table of a service. It must be prime.
const MaglevTableSize = 2039

// NewMaglev returns a Maglev of the candidates with a weight above 0.
func NewMaglev(candidates []Candidate) *Maglev {
	m := &Maglev{table: make([]uint16, MaglevTableSize)}
	var weights []float64
	var offsets, skips []uint64
	for _, c := range candidates {
		if c.Weight == 0 {
			continue
		}
		seed := seedOf(c.Agent)
		m.agents = append(m.agents, c.Agent)
		offsets = append(offsets, fmix64(seed)%MaglevTableSize)
		skips = append(skips, fmix64(seed+1)%(MaglevTableSize-1)+1)
		weights = append(weights, float64(c.Weight)/float64(FullWeight))
	}
	m.fill(offsets, skips, weights)
	return m
}

func (m *Maglev) fill(offsets, skips []uint64, weights []float64) {
	if len(m.agents) == 0 {
		return
	}
	const empty = ^uint16(0)
	for i := range m.table {
		m.table[i] = empty
	}
	next := make([]uint64, len(m.agents))
	credit := make([]float64, len(m.agents))
	filled := 0
	for {
		for i := range m.agents {
			for credit[i] += weights[i]; credit[i] >= 1; credit[i]-- {
				at := m.nextEmptyEntry(offsets[i], skips[i], &next[i], empty)
				m.table[at] = uint16(i)
				filled++
				if filled == len(m.table) {
					return
				}
			}
		}
	}
}

func (m *Maglev) nextEmptyEntry(offset, skip uint64, next *uint64, empty uint16) uint64 {
	for {
		at := (offset + *next*skip) % MaglevTableSize
		*next++
		if m.table[at] == empty {
			return at
		}
	}
}

// Choose returns the upstream of a flow; ok is false if there is none.
func (m *Maglev) Choose(h FlowHash) (first netip.AddrPort, ok bool) {
	if len(m.agents) == 0 {
		return first, false
	}
	return m.agents[m.table[uint64(h)%MaglevTableSize]], true
}

// Bounded implements rendezvous hashing with bounded loads: it skips candidates
// that hold at least Bound times the mean number of flows.
//
// It needs the number of open flows of every candidate, which balancers do not
// share. The churn experiment uses it as the best case of the method.
type Bounded struct {
	Bound  float64
	agents []netip.AddrPort
	seeds  []uint64
	open   map[netip.AddrPort]int
	total  int
}

// NewBounded returns a Bounded of the candidates without open flows.
func NewBounded(candidates []Candidate, bound float64) *Bounded {
	b := &Bounded{Bound: bound, open: make(map[netip.AddrPort]int)}
	for _, c := range candidates {
		b.agents = append(b.agents, c.Agent)
		b.seeds = append(b.seeds, seedOf(c.Agent))
	}
	return b
}

// Open chooses the upstream of a flow and counts the flow; ok is false if there is none.
func (b *Bounded) Open(h FlowHash) (netip.AddrPort, bool) {
	limit := b.Bound * float64(b.total+1) / float64(max(len(b.agents), 1))
	best, bestCost := -1, 0.0
	for i, a := range b.agents {
		if float64(b.open[a]) >= limit {
			continue
		}
		if c := cost(uint64(h), b.seeds[i]); best < 0 || c < bestCost {
			best, bestCost = i, c
		}
	}
	if best < 0 {
		return netip.AddrPort{}, false
	}
	b.open[b.agents[best]]++
	b.total++
	return b.agents[best], true
}

// Close removes a flow of agent from the count.
func (b *Bounded) Close(agent netip.AddrPort) {
	b.open[agent]--
	b.total--
}
