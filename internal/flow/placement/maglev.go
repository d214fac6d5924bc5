package placement

import "net/netip"

// Maglev chooses by a lookup table filled in turns by the candidates.
//
// It is the alternative that the route and churn experiments compare.
type Maglev struct {
	agents []netip.AddrPort
	table  []uint16
}

// MaglevTableSize is the size of the table for each service; it is prime.
const MaglevTableSize = 2039

// NewMaglev returns the table of the candidates with a weight above 0.
func NewMaglev(candidates []Candidate) *Maglev {
	m := &Maglev{table: make([]uint16, MaglevTableSize)}
	var credits []float64
	var offsets, skips []uint64
	for _, c := range candidates {
		if c.Weight == 0 {
			continue
		}
		seed := seedOf(c.Agent)
		m.agents = append(m.agents, c.Agent)
		offsets = append(offsets, mix(seed)%MaglevTableSize)
		skips = append(skips, mix(seed+1)%(MaglevTableSize-1)+1)
		credits = append(credits, float64(c.Weight)/float64(FullWeight))
	}
	m.fill(offsets, skips, credits)
	return m
}

func (m *Maglev) fill(offsets, skips []uint64, rates []float64) {
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
			for credit[i] += rates[i]; credit[i] >= 1; credit[i]-- {
				at := m.freeSlot(offsets[i], skips[i], &next[i], empty)
				m.table[at] = uint16(i)
				filled++
				if filled == len(m.table) {
					return
				}
			}
		}
	}
}

func (m *Maglev) freeSlot(offset, skip uint64, next *uint64, empty uint16) uint64 {
	for {
		at := (offset + *next*skip) % MaglevTableSize
		*next++
		if m.table[at] == empty {
			return at
		}
	}
}

// Choose returns the upstream of a flow; ok is false where there is none.
func (m *Maglev) Choose(h FlowHash) (first netip.AddrPort, ok bool) {
	if len(m.agents) == 0 {
		return first, false
	}
	return m.agents[m.table[uint64(h)%MaglevTableSize]], true
}

// Bounded is rendezvous hashing with bounded loads: a candidate that holds more
// than Bound times the mean is passed over.
//
// It needs the open flows of every candidate, which balancers do not share; it
// is the best case of that method that the churn experiment compares.
type Bounded struct {
	Bound  float64
	agents []netip.AddrPort
	seeds  []uint64
	open   map[netip.AddrPort]int
	total  int
}

// NewBounded returns a set of the candidates without open flows.
func NewBounded(candidates []Candidate, bound float64) *Bounded {
	b := &Bounded{Bound: bound, open: make(map[netip.AddrPort]int)}
	for _, c := range candidates {
		b.agents = append(b.agents, c.Agent)
		b.seeds = append(b.seeds, seedOf(c.Agent))
	}
	return b
}

// Open chooses the upstream of a flow and counts it; ok is false where there is none.
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

// Close counts a flow of agent as ended.
func (b *Bounded) Close(agent netip.AddrPort) {
	b.open[agent]--
	b.total--
}
