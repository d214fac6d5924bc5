package gossip_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/customer/catalogue"
	"github.com/jaytack/jaytack/internal/customer/contract"
	"github.com/jaytack/jaytack/internal/fleet/gossip"
	"github.com/jaytack/jaytack/internal/fleet/membership"
	"github.com/jaytack/jaytack/internal/flow/connid"
	"github.com/jaytack/jaytack/internal/standin/network"
)

const (
	leaveBound    = 3 * time.Second
	contractBound = 4 * time.Second
	customer      = contract.Customer("Registro")
)

// fleet is a virtual fleet with one service.
type fleet struct {
	*network.Network
	balancers []*network.Process
	agents    []*network.Process
	last      contract.Revision
}

func entry(rev contract.Revision, number contract.ServiceNumber) catalogue.Entry {
	svc := contract.Service{Name: "padron", Number: number}
	return catalogue.Entry{Customer: customer, Revision: rev, Stored: contract.Stored{
		Contract: contract.Contract{Customer: customer, Services: []contract.Service{svc}},
		Change:   contract.ChangeID(fmt.Sprint(rev)),
	}}
}

func newFleet(seed uint64, balancers, agents int) *fleet {
	f := &fleet{Network: network.New(seed), last: 1}
	for i := range balancers {
		f.balancers = append(f.balancers, f.addBalancer(i))
	}
	f.Apply(f.balancers[0], entry(1, 7))
	for i := range agents {
		f.agents = append(f.agents, f.addAgent(i))
	}
	f.Run(10 * time.Second)
	return f
}

func (f *fleet) seeds() []netip.AddrPort {
	return []netip.AddrPort{network.Address(membership.Balancer, 0), network.Address(membership.Balancer, 1)}
}

func (f *fleet) addBalancer(i int) *network.Process {
	return f.Add(gossip.Config{Self: f.Member(membership.Balancer, i), Seeds: f.seeds()})
}

func (f *fleet) addAgent(i int) *network.Process {
	return f.Add(gossip.Config{Self: f.Member(membership.Agent, i), Seeds: f.seeds(), Customer: customer, Service: "padron"})
}

// listing returns the balancers that place new flows on the agent.
func (f *fleet) listing(a netip.AddrPort) int {
	n := 0
	for _, b := range f.balancers {
		if b.Dead || b.Paused {
			continue
		}
		for _, c := range b.View().Candidates(7) {
			if c.Agent == a {
				n++
			}
		}
	}
	return n
}

func (f *fleet) behind(rev contract.Revision) int {
	n := 0
	for _, b := range f.balancers {
		if e, ok := b.Catalogue().Get(customer); !b.Dead && !b.Paused && (!ok || e.Revision < rev) {
			n++
		}
	}
	return n
}

func TestFleetForms(t *testing.T) {
	f := newFleet(1, 5, 7)
	for _, b := range f.balancers {
		qt.Check(t, b.View().Candidates(7), qt.HasLen, 7)
	}
	for _, a := range f.agents {
		qt.Check(t, len(a.View().Group(7)), qt.Equals, 7)
		qt.Check(t, a.CustomerAgents(), qt.Equals, 7)
	}
}

// TestLeavingAgentIsDropped is promise P6 on balancers: a leaving agent gets no
// new flows anywhere after 3 s, although messages are lost and balancers start.
func TestLeavingAgentIsDropped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 24).Draw(t, "balancers"), 5)
		f.LossPercent = rapid.IntRange(0, 20).Draw(t, "lossPercent")
		if rapid.Bool().Draw(t, "balancerDies") {
			f.balancers[rapid.IntRange(0, len(f.balancers)-1).Draw(t, "which")].Dead = true
		}
		a := f.agents[rapid.IntRange(0, 4).Draw(t, "agent")]
		f.Input(a, func(now instant.Instant) {
			a.Announce(now, func(m *membership.Member) { m.State = membership.Draining })
		})
		f.Run(leaveBound)
		if n := f.listing(a.Address); n > 0 {
			t.Fatalf("%d balancers place new flows on a leaving agent after %v", n, leaveBound)
		}
	})
}

// TestContractSpreads is promise P8: a contract that one balancer has seen is in
// force everywhere within 4 s and never reverts.
func TestContractSpreads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 24).Draw(t, "balancers"), 2)
		f.LossPercent = rapid.IntRange(0, 20).Draw(t, "lossPercent")
		held := make(map[*network.Process]contract.Revision)
		f.AfterTick = func(p *network.Process) {
			e, _ := p.Catalogue().Get(customer)
			if e.Revision < held[p] {
				t.Fatalf("contract reverted from %d to %d", held[p], e.Revision)
			}
			held[p] = e.Revision
		}
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			f.last++
			newer := f.balancers[f.Random.IntN(len(f.balancers))]
			f.Apply(newer, entry(f.last, 7))
			f.Apply(f.balancers[f.Random.IntN(len(f.balancers))], entry(f.last-1, 7))
			f.Run(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pauseMillis")) * time.Millisecond)
		}
		f.Run(contractBound)
		if n := f.behind(f.last); n > 0 {
			t.Fatalf("%d balancers lack revision %d after %v", n, f.last, contractBound)
		}
	})
}

// TestWithoutGossip shows that the two bounds above rest on what balancers tell
// each other.
func TestWithoutGossip(t *testing.T) {
	f := newFleet(1, 64, 3)
	for _, b := range f.balancers {
		b.Fanout = 0
	}
	a := f.agents[0]
	f.Input(a, func(now instant.Instant) {
		a.Announce(now, func(m *membership.Member) { m.State = membership.Draining })
	})
	f.Apply(f.balancers[0], entry(2, 7))
	f.Run(leaveBound)
	qt.Check(t, f.listing(a.Address) > 0, qt.IsTrue)
	f.Run(contractBound - leaveBound)
	qt.Check(t, f.behind(2) > 0, qt.IsTrue)
}

// TestSuspicionIsRefuted freezes and cuts processes: a crashed agent is dropped,
// one that comes back takes new work again.
func TestSuspicionIsRefuted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 12).Draw(t, "balancers"), 4)
		a := f.agents[0]
		a.Paused = true
		f.Run(time.Duration(rapid.IntRange(8, 60).Draw(t, "frozenSeconds")) * time.Second)
		if n := f.listing(a.Address); n > 0 {
			t.Fatalf("%d balancers place new flows on a frozen agent", n)
		}
		a.Paused = false
		f.Run(8 * time.Second)
		if n := f.listing(a.Address); n != len(f.balancers) {
			t.Fatalf("%d of %d balancers use the agent that woke up", n, len(f.balancers))
		}
	})
}

// TestOneWayCut cuts an agent off from some of its watchers, in one direction.
func TestOneWayCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(4, 12).Draw(t, "balancers"), 3)
		a, b := f.agents[0].Address, f.balancers[rapid.IntRange(0, 3).Draw(t, "which")].Address
		inward := rapid.Bool().Draw(t, "inward")
		f.Cut = func(from, to netip.AddrPort) bool {
			return inward && from == a && to == b || !inward && from == b && to == a
		}
		f.Run(20 * time.Second)
		if n := f.listing(a); n != len(f.balancers) {
			t.Fatalf("%d of %d balancers use an agent that one of them cannot hear", n, len(f.balancers))
		}
	})
}

// TestReplacedAtSameAddress starts a new process where one was killed.
func TestReplacedAtSameAddress(t *testing.T) {
	f := newFleet(3, 4, 3)
	f.agents[0].Dead = true
	f.Run(time.Second)
	a := f.addAgent(0)
	f.Run(5 * time.Second)
	qt.Check(t, f.listing(a.Address), qt.Equals, 4)
	for _, b := range f.balancers {
		m, _ := b.View().Member(a.Address)
		qt.Check(t, m.Incarnation, qt.Equals, a.Self().Incarnation)
	}
}

// TestPartitionHeals lets two halves of the fleet lose each other for minutes.
func TestPartitionHeals(t *testing.T) {
	f := newFleet(5, 8, 8)
	half := func(a netip.AddrPort) bool { return a.Addr().As4()[3]%2 == 0 }
	f.Cut = func(from, to netip.AddrPort) bool { return half(from) != half(to) }
	f.Apply(f.balancers[0], entry(2, 7))
	f.Run(3 * time.Minute)
	f.Cut = func(_, _ netip.AddrPort) bool { return false }
	f.Run(30 * time.Second)
	qt.Check(t, f.behind(2), qt.Equals, 0)
	for _, a := range f.agents {
		qt.Check(t, f.listing(a.Address), qt.Equals, 8)
	}
	digest := f.balancers[0].View().Digest()
	for _, b := range f.balancers {
		qt.Check(t, b.View().Digest(), qt.Equals, digest)
	}
}

// TestKeyringSpreads rotates the keyring twice within a minute; only one balancer
// hears of each rotation from the store. No flow is sealed under a key that some
// balancer cannot open.
func TestKeyringSpreads(t *testing.T) {
	f := newFleet(7, 9, 4)
	f.LossPercent = 10
	ring := connid.Keyring{}
	for rev := int64(100); rev < 103; rev++ {
		ring = ring.Rotate(make([]byte, connid.SecretLength), time.Unix(rev, 0))
		value, err := ring.Encode()
		qt.Assert(t, err, qt.IsNil)
		b := f.balancers[int(rev)%len(f.balancers)]
		f.Input(b, func(now instant.Instant) { qt.Check(t, b.ApplyKeyring(now, rev, value), qt.IsNil) })
		for range 200 {
			f.Run(gossip.TickInterval)
			f.checkSealing(t)
		}
	}
	for _, p := range f.Processes() {
		qt.Check(t, p.KeyringRevision(), qt.Equals, int64(102))
	}
}

// checkSealing opens at every balancer an ID that every agent would seal now.
func (f *fleet) checkSealing(t *testing.T) {
	for _, a := range f.agents {
		sealing, err := a.Ring(f.LocalNow(a))
		qt.Assert(t, err, qt.IsNil)
		if sealing == nil {
			continue
		}
		id := sealing.Seal(connid.Owner{Agent: a.Address, Service: 7}, 1)
		for _, b := range f.balancers {
			opening, err := b.Ring(f.LocalNow(b))
			qt.Assert(t, err, qt.IsNil)
			if opening == nil {
				// Nothing was ever sealed before the first keyring spread.
				continue
			}
			if _, err := connid.NewOpener().Open(opening, id[:]); err != nil {
				t.Fatalf("balancer %v cannot open what agent %v seals: %v", b.Address, a.Address, err)
			}
		}
	}
}

// TestWrongClockIsNoticed lets the clocks of an agent and of one balancer be
// wrong: the agent notices its own error, and no other is misled.
func TestWrongClockIsNoticed(t *testing.T) {
	f := newFleet(8, 5, 4)
	f.agents[0].ClockError = -30 * time.Second
	f.balancers[1].ClockError = time.Hour
	f.Run(60 * time.Second)
	qt.Check(t, f.agents[0].ClockOffset() > 20*time.Second, qt.IsTrue)
	misled := 0
	for _, a := range f.agents[1:] {
		if a.ClockOffset().Abs() > 100*time.Millisecond {
			misled++
		}
	}
	qt.Check(t, misled, qt.Equals, 0)
}
