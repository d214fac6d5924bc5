// Package handover selects the peer agent to which a request is handed over: when
// the local upstream has no free slot or cannot be used, when a peer is much faster,
// or to hedge a slow request.
//
// Peers report their load in periodic messages and in their answers to requests
// that were handed over. A report shows how fast a peer is and whether it accepts
// work. It does not show whether a slot is free, because many requests may have
// run since it was sent. An agent samples two peers and chooses the one with the
// lower cost. The peer may refuse, which guarantees that the request does not run
// there. A peer that refused gets no request until one of its slots is expected to
// be free.
//
// # Usage
//
//	g := handover.New(rand.Uint64, crossDataCentreRTT)
//	g.UpdateLoad(now, peer, load)
//	d, ok := g.Choose(now, maxCost, tried)
//
// The package does no I/O. A Group is not safe for concurrent use.
package handover

import (
	"net/netip"
	"slices"
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/customer/contract"
)

// Load is the load that a peer reported.
type Load struct {
	Slots    int
	Running  int
	Queued   int
	Flows    int
	Refusing bool
	// MeanServiceTime is the unweighted mean over the kinds of the time that the
	// upstream takes for one request.
	MeanServiceTime time.Duration
}

// Limits for load reports, offers and backoff.
const (
	// StaleAfter is the age from which a load report is ignored.
	StaleAfter = 3 * time.Second
	// MaxTries is the maximum number of peers to which one request is offered.
	MaxTries = 3
	// UnreachableBackoff is the time for which an unreachable peer gets no request.
	UnreachableBackoff = 2 * time.Second
	// minBusyBackoff and maxBusyBackoff bound the time for which a peer that refused
	// gets no request.
	minBusyBackoff = time.Millisecond
	maxBusyBackoff = 200 * time.Millisecond
)

type peer struct {
	address           netip.AddrPort
	load              Load
	loadTime          instant.Instant
	hasLoad           bool
	inFlight          int
	backoffUntil      instant.Instant
	inOtherDataCentre bool
}

// Group tracks the peers of one agent.
type Group struct {
	// Random returns random bits.
	Random func() uint64
	// CrossDataCentreRTT is the round-trip time to a peer in another data centre.
	CrossDataCentreRTT time.Duration
	// Choices is the number of peers sampled for each request.
	Choices   int
	peers     []*peer
	lastIndex int
	byAddr    map[netip.AddrPort]*peer
}

// New returns an empty group.
func New(random func() uint64, crossDataCentreRTT time.Duration) *Group {
	return &Group{Random: random, CrossDataCentreRTT: crossDataCentreRTT, Choices: 2, byAddr: make(map[netip.AddrPort]*peer)}
}

// Peer is a peer as announced by the membership protocol.
type Peer struct {
	Address    netip.AddrPort
	DataCentre contract.DataCentre
}

// SetPeers replaces the peers of the group. Peers that remain keep their load and backoff.
func (g *Group) SetPeers(local contract.DataCentre, members []Peer) {
	byAddr := make(map[netip.AddrPort]*peer, len(members))
	g.peers = g.peers[:0]
	for _, m := range members {
		p := g.byAddr[m.Address]
		if p == nil {
			p = &peer{address: m.Address}
		}
		p.inOtherDataCentre = m.DataCentre != local
		byAddr[m.Address] = p
		g.peers = append(g.peers, p)
	}
	g.byAddr = byAddr
}

// UpdateLoad stores the load that a peer reported.
func (g *Group) UpdateLoad(now instant.Instant, a netip.AddrPort, l Load) {
	p := g.byAddr[a]
	if p == nil {
		return
	}
	p.load, p.loadTime, p.hasLoad, p.inFlight = l, now, true, 0
}

// BeginRequest records that a request was handed over to a peer.
func (g *Group) BeginRequest(a netip.AddrPort) {
	if p := g.byAddr[a]; p != nil {
		p.inFlight++
	}
}

// EndRequest records the end of a request that was handed over to a peer.
func (g *Group) EndRequest(a netip.AddrPort) {
	if p := g.byAddr[a]; p != nil && p.inFlight > 0 {
		p.inFlight--
	}
}

// MarkUnreachable excludes an unreachable peer for UnreachableBackoff.
func (g *Group) MarkUnreachable(now instant.Instant, a netip.AddrPort) {
	if p := g.byAddr[a]; p != nil {
		p.backoffUntil = now.Add(UnreachableBackoff)
	}
}

// MarkBusy excludes a peer that refused a request until one of its slots is expected
// to be free.
func (g *Group) MarkBusy(now instant.Instant, a netip.AddrPort) {
	if p := g.byAddr[a]; p != nil {
		untilFree := p.load.MeanServiceTime / time.Duration(2*max(p.load.Slots, 1))
		p.backoffUntil = now.Add(min(max(untilFree, minBusyBackoff), maxBusyBackoff))
	}
}

// Decision is the result of Choose.
type Decision struct {
	Peer           netip.AddrPort
	Cost           time.Duration
	CandidateCount int
}

// Choose returns a peer at which the request is expected to finish within less than
// maxCost, and which is not in tried. A peer without a fresh load report may be
// frozen: it is sampled only if no peer has a fresh report.
func (g *Group) Choose(now instant.Instant, maxCost time.Duration, tried []netip.AddrPort) (Decision, bool) {
	var available, stale []*peer
	anyFresh := false
	for _, p := range g.peers {
		anyFresh = anyFresh || g.hasFreshLoad(now, p)
		switch {
		case now < p.backoffUntil || slices.Contains(tried, p.address):
		case !g.hasFreshLoad(now, p):
			stale = append(stale, p)
		case !p.load.Refusing && !p.isFull():
			available = append(available, p)
		}
	}
	if !anyFresh {
		available = stale
	}
	best := Decision{Cost: maxCost, CandidateCount: len(available)}
	found := false
	for range min(g.Choices, len(available)) {
		i := int(g.Random() % uint64(len(available)))
		p := available[i]
		available = append(available[:i], available[i+1:]...)
		if cost := g.cost(now, p); cost < best.Cost {
			best.Peer, best.Cost, found = p.address, cost, true
		}
	}
	return best, found
}

func (g *Group) hasFreshLoad(now instant.Instant, p *peer) bool {
	return p.hasLoad && now.Sub(p.loadTime) < StaleAfter
}

// isFull reports whether requests of this agent alone fill all slots of the peer.
func (p *peer) isFull() bool { return p.inFlight >= p.load.Slots }

// cost returns the expected time until the request ends at the peer. The service time
// counts as 1 ms if the peer has no fresh load report or reports no slots.
func (g *Group) cost(now instant.Instant, p *peer) time.Duration {
	cost := time.Duration(0)
	if p.inOtherDataCentre {
		cost += g.CrossDataCentreRTT
	}
	if !g.hasFreshLoad(now, p) || p.load.Slots == 0 {
		return cost + time.Millisecond
	}
	return cost + p.load.MeanServiceTime
}

// MeanFlows returns the mean number of open flows over the peers that accept requests
// and have a fresh load report; ok is false if there are none.
func (g *Group) MeanFlows(now instant.Instant) (flows float64, ok bool) {
	n := 0
	for _, p := range g.peers {
		if g.hasFreshLoad(now, p) && !p.load.Refusing {
			flows += float64(p.load.Flows)
			n++
		}
	}
	if n == 0 {
		return 0, false
	}
	return flows / float64(n), true
}

// Len returns the number of peers.
func (g *Group) Len() int { return len(g.peers) }

// NextPeers returns up to n peers in round-robin order, so that all peers get load
// reports of this agent equally often.
func (g *Group) NextPeers(n int) []netip.AddrPort {
	out := make([]netip.AddrPort, 0, n)
	for range min(n, len(g.peers)) {
		g.lastIndex = (g.lastIndex + 1) % len(g.peers)
		out = append(out, g.peers[g.lastIndex].address)
	}
	return out
}

// SilentPeers returns the peers whose last load report is older than limit. It omits
// peers that never sent one.
func (g *Group) SilentPeers(now instant.Instant, limit time.Duration) []netip.AddrPort {
	var out []netip.AddrPort
	for _, p := range g.peers {
		if p.hasLoad && now.Sub(p.loadTime) > limit {
			out = append(out, p.address)
		}
	}
	return out
}
