// Package handover chooses the peer that runs a request when the own upstream
// has no free slot.
//
// An agent knows the load of the peers of its service from their messages and
// from the answers to requests that it handed over. A load tells how fast a peer
// is and whether it takes work at all; whether a slot is free it cannot tell,
// since it is older than many runs. The agent draws two peers and takes the one
// with the lower price. The peer may refuse, which is a promise that the request
// does not run there; it then rests until one of its slots is expected to be free.
//
// # Usage
//
//	g := handover.New(rand.Uint64, distance)
//	g.Observe(now, peer, load)
//	d, ok := g.Choose(now, ownPrice, tried)
//
// The package does no input or output. A Group must not be shared without a lock.
package handover

import (
	"net/netip"
	"slices"
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/customer/contract"
)

// Load is what a peer said about itself.
type Load struct {
	Slots    int
	Running  int
	Queued   int
	Flows    int
	Refusing bool
	// MeanServiceTime is the mean service time.
	MeanServiceTime time.Duration
}

// Limits of the knowledge about peers.
const (
	// StaleAfter is the age at which a load counts as unknown.
	StaleAfter = 3 * time.Second
	// MaxTries is the number of peers that one request is offered to.
	MaxTries = 3
	// FailureRest is how long a peer that could not be reached gets no request.
	FailureRest = 2 * time.Second
	// minRest and maxRest bound how long a peer that refused gets no request.
	minRest = time.Millisecond
	maxRest = 200 * time.Millisecond
)

type peer struct {
	address netip.AddrPort
	load    Load
	at      instant.Instant
	known   bool
	sent    int
	rest    instant.Instant
	distant bool
}

// Group is the peers of one agent.
type Group struct {
	// Random returns random bits.
	Random func() uint64
	// Distance is the price of another data centre, one way and back.
	Distance time.Duration
	// Choices is the number of peers drawn.
	Choices int
	peers   []*peer
	turn    int
	byAddr  map[netip.AddrPort]*peer
}

// New returns an empty group.
func New(random func() uint64, distance time.Duration) *Group {
	return &Group{Random: random, Distance: distance, Choices: 2, byAddr: make(map[netip.AddrPort]*peer)}
}

// Peer is a member of the group as its announcement gives it.
type Peer struct {
	Address    netip.AddrPort
	DataCentre contract.DataCentre
}

// SetPeers replaces the members of the group; what is known about those that stay is kept.
func (g *Group) SetPeers(own contract.DataCentre, members []Peer) {
	byAddr := make(map[netip.AddrPort]*peer, len(members))
	g.peers = g.peers[:0]
	for _, m := range members {
		p := g.byAddr[m.Address]
		if p == nil {
			p = &peer{address: m.Address}
		}
		p.distant = m.DataCentre != own
		byAddr[m.Address] = p
		g.peers = append(g.peers, p)
	}
	g.byAddr = byAddr
}

// UpdateLoad takes in a peer's load.
func (g *Group) UpdateLoad(now instant.Instant, a netip.AddrPort, l Load) {
	p := g.byAddr[a]
	if p == nil {
		return
	}
	p.load, p.at, p.known, p.sent = l, now, true, 0
}

// BeginRequest notes that a request was handed to a peer.
func (g *Group) BeginRequest(a netip.AddrPort) {
	if p := g.byAddr[a]; p != nil {
		p.sent++
	}
}

// EndRequest notes that a request handed to a peer has ended.
func (g *Group) EndRequest(a netip.AddrPort) {
	if p := g.byAddr[a]; p != nil && p.sent > 0 {
		p.sent--
	}
}

// MarkUnreachable notes that a peer could not be reached.
func (g *Group) MarkUnreachable(now instant.Instant, a netip.AddrPort) {
	if p := g.byAddr[a]; p != nil {
		p.rest = now.Add(FailureRest)
	}
}

// MarkBusy notes that a peer had no free slot, whatever its load says.
func (g *Group) MarkBusy(now instant.Instant, a netip.AddrPort) {
	if p := g.byAddr[a]; p != nil {
		untilFree := p.load.MeanServiceTime / time.Duration(2*max(p.load.Slots, 1))
		p.rest = now.Add(min(max(untilFree, minRest), maxRest))
	}
}

// Decision is the peer that was chosen.
type Decision struct {
	Peer           netip.AddrPort
	Cost           time.Duration
	CandidateCount int
}

// Choose returns a peer where the request is expected to end sooner than after
// ownPrice, the wait and run at the own upstream. A peer that has not been heard of lately may be frozen: it is drawn
// only where nothing fresh is known about any.
func (g *Group) Choose(now instant.Instant, ownPrice time.Duration, tried []netip.AddrPort) (Decision, bool) {
	var open, silent []*peer
	fresh := false
	for _, p := range g.peers {
		fresh = fresh || g.fresh(now, p)
		switch {
		case now < p.rest || slices.Contains(tried, p.address):
		case !g.fresh(now, p):
			silent = append(silent, p)
		case !p.load.Refusing && !p.full():
			open = append(open, p)
		}
	}
	if !fresh {
		open = silent
	}
	best := Decision{Cost: ownPrice, CandidateCount: len(open)}
	found := false
	for range min(g.Choices, len(open)) {
		i := int(g.Random() % uint64(len(open)))
		p := open[i]
		open = append(open[:i], open[i+1:]...)
		if price := g.price(now, p); price < best.Cost {
			best.Peer, best.Cost, found = p.address, price, true
		}
	}
	return best, found
}

func (g *Group) fresh(now instant.Instant, p *peer) bool {
	return p.known && now.Sub(p.at) < StaleAfter
}

// full reports whether this agent alone has taken all slots of a peer.
func (p *peer) full() bool { return p.sent >= p.load.Slots }

// price is the expected time until the request ends at the peer.
func (g *Group) price(now instant.Instant, p *peer) time.Duration {
	price := time.Duration(0)
	if p.distant {
		price += g.Distance
	}
	if !g.fresh(now, p) || p.load.Slots == 0 {
		return price + time.Millisecond
	}
	return price + p.load.MeanServiceTime
}

// MeanFlows returns the mean number of open flows of the peers whose load is fresh.
func (g *Group) MeanFlows(now instant.Instant) (flows float64, ok bool) {
	n := 0
	for _, p := range g.peers {
		if g.fresh(now, p) && !p.load.Refusing {
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

// NextPeers returns up to n peers, by turns, so that each hears of this agent as
// often as any other.
func (g *Group) NextPeers(n int) []netip.AddrPort {
	out := make([]netip.AddrPort, 0, n)
	for range min(n, len(g.peers)) {
		g.turn = (g.turn + 1) % len(g.peers)
		out = append(out, g.peers[g.turn].address)
	}
	return out
}

// StalePeers returns the peers that were heard of once, but not within limit.
func (g *Group) StalePeers(now instant.Instant, limit time.Duration) []netip.AddrPort {
	var out []netip.AddrPort
	for _, p := range g.peers {
		if p.known && now.Sub(p.at) > limit {
			out = append(out, p.address)
		}
	}
	return out
}
