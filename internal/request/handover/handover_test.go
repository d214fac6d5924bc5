package handover

import (
	"flag"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/jaytack/jaytack/internal/clock/instant"
)

// The seed is fixed so that every test run generates the same cases.
func init() {
	_ = flag.Set("rapid.seed", "1")
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7100)
}

func newGroup(n int) *Group {
	g := New(rand.New(rand.NewPCG(1, 2)).Uint64, 5*time.Millisecond)
	var peers []Peer
	for i := range n {
		peers = append(peers, Peer{address(i), "ar-sur-a"})
	}
	g.SetPeers("ar-sur-a", peers)
	return g
}

// TestChooseInvariants checks that Choose never returns a peer that refuses
// requests, is in backoff, was tried before, has all slots filled by this agent,
// or costs at least as much as the local upstream.
func TestChooseInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup(6)
		now := instant.Instant(time.Minute)
		var tried []netip.AddrPort
		for i := range 6 {
			a := address(i)
			g.UpdateLoad(now, a, Load{
				Slots: rapid.IntRange(1, 4).Draw(t, "slots"), Refusing: rapid.Bool().Draw(t, "refusing"),
				MeanServiceTime: time.Duration(rapid.IntRange(1, 50).Draw(t, "size")) * time.Millisecond,
			})
			for range rapid.IntRange(0, 5).Draw(t, "sent") {
				g.BeginRequest(a)
			}
			switch rapid.IntRange(0, 3).Draw(t, "state") {
			case 0:
				g.MarkBusy(now, a)
			case 1:
				g.MarkUnreachable(now, a)
			case 2:
				tried = append(tried, a)
			}
		}
		localCost := time.Duration(rapid.IntRange(0, 60).Draw(t, "price")) * time.Millisecond
		d, ok := g.Choose(now, localCost, tried)
		if !ok {
			return
		}
		p := g.byAddr[d.Peer]
		if p.load.Refusing || now < p.backoffUntil || slices.Contains(tried, d.Peer) || p.inFlight >= p.load.Slots || d.Cost >= localCost {
			t.Fatalf("chose %+v of %+v for %v", d, p, localCost)
		}
	})
}

func TestStalePeersAreAvoided(t *testing.T) {
	g := newGroup(2)
	now := instant.Instant(time.Minute)
	g.UpdateLoad(now, address(0), Load{Slots: 4, MeanServiceTime: 10 * time.Millisecond})
	later := now.Add(StaleAfter + time.Second)
	g.UpdateLoad(later, address(1), Load{Slots: 4, MeanServiceTime: 20 * time.Millisecond})
	for range 20 {
		d, ok := g.Choose(later, time.Second, nil)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, d.Peer, qt.Equals, address(1))
	}
	qt.Check(t, slices.Equal(g.SilentPeers(later, StaleAfter), []netip.AddrPort{address(0)}), qt.IsTrue)
}

func TestNextPeersIsRoundRobin(t *testing.T) {
	g := newGroup(5)
	seen := make(map[netip.AddrPort]int)
	for range 5 {
		for _, a := range g.NextPeers(2) {
			seen[a]++
		}
	}
	for i := range 5 {
		qt.Check(t, seen[address(i)], qt.Equals, 2)
	}
}
