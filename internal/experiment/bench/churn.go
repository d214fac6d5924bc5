package bench

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/customer/catalogue"
	"github.com/jaytack/jaytack/internal/customer/contract"
	"github.com/jaytack/jaytack/internal/fleet/gossip"
	"github.com/jaytack/jaytack/internal/fleet/membership"
	"github.com/jaytack/jaytack/internal/flow/placement"
	"github.com/jaytack/jaytack/internal/standin/network"
)

// Sizes and times of the churn experiment.
const (
	churnBalancers   = 6
	churnAgents      = 7
	churnFlows       = 2000 // per agent
	meanFlowLifetime = 120 * time.Second
	churnWarmup      = 5 * meanFlowLifetime / 2
	churnChangeTime  = 60 * time.Second
	churnSettleTime  = 120 * time.Second
	churnStep        = gossip.TickInterval
	churnService     = contract.ServiceNumber(7)
	packetInterval   = 10 * time.Second // mean time between two packets of a flow
	weightInterval   = 2 * time.Second
	imbalanceTarget  = 1.10
)

// scheme is an algorithm that assigns new flows to agents.
type scheme uint8

const (
	weighted   scheme = iota // rendezvous hashing with announced weights
	unweighted               // rendezvous hashing with equal weights
	maglev
)

type churnFlow struct {
	hash   placement.FlowHash
	owner  netip.AddrPort
	endsAt instant.Instant
}

// churnRun simulates one fleet during planned replacements.
type churnRun struct {
	net         *network.Network
	scheme      scheme
	random      *rand.Rand
	balancers   []*network.Process
	agents      []*network.Process
	started     map[netip.AddrPort]instant.Instant
	draining    map[netip.AddrPort]bool
	flows       []churnFlow
	openFlows   map[netip.AddrPort]int
	dueArrivals float64
	nextIndex   int
	// misroutedByHash holds the flows that routing by hash alone would have broken.
	misroutedByHash   map[placement.FlowHash]bool
	broken            int
	splitWithoutRetry int
	splitWithRetry    int
	placed            int
	maxImbalance      float64
}

func newChurn(seed uint64, s scheme) *churnRun {
	c := &churnRun{
		net: network.New(seed), scheme: s, random: rand.New(rand.NewPCG(seed, 4)),
		started: make(map[netip.AddrPort]instant.Instant), draining: make(map[netip.AddrPort]bool),
		openFlows: make(map[netip.AddrPort]int), misroutedByHash: make(map[placement.FlowHash]bool),
	}
	for range churnBalancers {
		c.addBalancer()
	}
	svc := contract.Service{Name: "padron", Number: churnService}
	c.net.Apply(c.balancers[0], catalogue.Entry{Customer: "Registro", Revision: 1, Stored: contract.Stored{
		Contract: contract.Contract{Customer: "Registro", Services: []contract.Service{svc}},
	}})
	for range churnAgents {
		c.addAgent()
	}
	c.net.Run(10 * time.Second)
	return c
}

func (c *churnRun) index() int {
	c.nextIndex++
	return c.nextIndex
}

func (c *churnRun) seeds() []netip.AddrPort {
	var out []netip.AddrPort
	for _, b := range c.balancers {
		out = append(out, b.Address)
	}
	return append(out, network.Address(membership.Balancer, 1))
}

func (c *churnRun) addBalancer() {
	m := c.net.Member(membership.Balancer, c.index())
	c.balancers = append(c.balancers, c.net.Add(gossip.Config{Self: m, Seeds: c.seeds()}))
}

func (c *churnRun) addAgent() {
	m := c.net.Member(membership.Agent, c.index())
	if c.scheme == weighted {
		m.Weight = placement.InitialWeight
	}
	p := c.net.Add(gossip.Config{Self: m, Seeds: c.seeds(), Customer: "Registro", Service: "padron"})
	c.agents = append(c.agents, p)
	c.started[p.Address] = c.net.Now()
}

// replaceBalancer adds a balancer and removes the oldest one.
func (c *churnRun) replaceBalancer() {
	old := c.balancers[0]
	c.addBalancer()
	c.net.Input(old, func(now instant.Instant) {
		old.Announce(now, func(m *membership.Member) { m.State = membership.Left })
	})
	c.balancers = c.balancers[1:]
}

// replaceAgent drains one agent, which keeps its open flows, and starts another.
func (c *churnRun) replaceAgent(i int) {
	p := c.agents[i]
	c.draining[p.Address] = true
	c.net.Input(p, func(now instant.Instant) {
		p.Announce(now, func(m *membership.Member) { m.State, m.Weight = membership.Draining, 0 })
	})
	c.addAgent()
}

// chooseAgent returns the agent that a balancer selects for the first packet of a new flow.
func (c *churnRun) chooseAgent(b *network.Process, h placement.FlowHash) (netip.AddrPort, bool) {
	cs := b.View().Candidates(churnService)
	if c.scheme == maglev {
		return placement.NewMaglev(cs).Choose(h)
	}
	a, _, ok := placement.NewRendezvous(cs).Choose(h)
	return a, ok
}

func (c *churnRun) randomBalancer() *network.Process {
	return c.balancers[c.random.IntN(len(c.balancers))]
}

// openFlow opens a new flow whose first flight of packets reaches two balancers.
func (c *churnRun) openFlow() {
	h := placement.FlowHash(c.random.Uint64())
	one, two := c.randomBalancer(), c.randomBalancer()
	a, ok := c.chooseAgent(one, h)
	b, okB := c.chooseAgent(two, h)
	if !ok || !okB {
		return
	}
	c.placed++
	if a != b {
		isUnsettled := func(p *network.Process) bool { return p.View().IsConverging(c.localNow(p), churnService) }
		if isUnsettled(one) || isUnsettled(two) {
			// QUIC Retry gives the flow a sealed connection ID before its handshake.
			c.splitWithRetry++
		} else {
			c.splitWithoutRetry++
		}
	}
	life := time.Duration(c.random.ExpFloat64() * float64(meanFlowLifetime))
	c.flows = append(c.flows, churnFlow{h, a, c.net.Now().Add(life)})
	c.openFlows[a]++
}

func (c *churnRun) localNow(p *network.Process) instant.Instant { return c.net.LocalNow(p) }

// step advances the simulation by one tick: it ends flows, routes packets through
// random balancers and opens new flows.
func (c *churnRun) step(rate float64) {
	c.net.Run(churnStep)
	now := c.net.Now()
	kept := c.flows[:0]
	for _, f := range c.flows {
		if now >= f.endsAt {
			c.openFlows[f.owner]--
			continue
		}
		if c.random.Float64() < float64(churnStep)/float64(packetInterval) {
			c.routePacket(f)
		}
		kept = append(kept, f)
	}
	c.flows = kept
	for c.dueArrivals += rate * churnStep.Seconds(); c.dueArrivals >= 1; c.dueArrivals-- {
		c.openFlow()
	}
	if time.Duration(now)%weightInterval < churnStep && c.scheme == weighted {
		c.announceWeights()
	}
}

// routePacket routes a packet of an established flow. Its sealed connection ID leads to
// the owner from any balancer; its hash alone can lead to another agent.
func (c *churnRun) routePacket(f churnFlow) {
	if a, ok := c.chooseAgent(c.randomBalancer(), f.hash); !ok || a != f.owner {
		c.misroutedByHash[f.hash] = true
	}
	for _, p := range c.agents {
		if p.Address == f.owner && !p.Dead {
			return
		}
	}
	c.broken++
}

// announceWeights makes every agent announce the weight that follows from its open flows.
func (c *churnRun) announceWeights() {
	mean := c.meanFlows()
	for _, p := range c.agents {
		if c.draining[p.Address] {
			continue
		}
		w := placement.WeightFor(placement.WeightInput{
			Age: c.net.Now().Sub(c.started[p.Address]), Flows: int64(c.openFlows[p.Address]), MaxFlows: 10 * churnFlows,
			MeanFlows: mean, HasMeanFlows: true,
		})
		if w != p.Self().Weight {
			c.net.Input(p, func(now instant.Instant) {
				p.Announce(now, func(m *membership.Member) { m.Weight = w })
			})
		}
	}
}

func (c *churnRun) meanFlows() float64 {
	sum, n := 0, 0
	for _, p := range c.agents {
		if !c.draining[p.Address] {
			sum += c.openFlows[p.Address]
			n++
		}
	}
	return float64(sum) / float64(n)
}

// imbalance returns the open flows of the busiest agent divided by the mean.
func (c *churnRun) imbalance() float64 {
	busiest := 0
	for _, p := range c.agents {
		if !c.draining[p.Address] {
			busiest = max(busiest, c.openFlows[p.Address])
		}
	}
	return float64(busiest) / c.meanFlows()
}

func (c *churnRun) run() {
	rate := float64(churnAgents*churnFlows) / meanFlowLifetime.Seconds()
	for c.net.Now() < instant.Instant(churnWarmup) {
		c.step(rate)
	}
	begin := c.net.Now()
	balancers, agents := 0, 0
	for c.net.Now().Sub(begin) < churnChangeTime {
		c.step(rate)
		t := c.net.Now().Sub(begin)
		if int(t/(5*time.Second)) > balancers {
			balancers++
			c.replaceBalancer()
		}
		if int(t/(25*time.Second)) > agents {
			c.replaceAgent(agents)
			agents++
		}
	}
	for c.net.Now().Sub(begin) < churnChangeTime+churnSettleTime {
		c.step(rate)
		c.maxImbalance = max(c.maxImbalance, c.imbalance())
	}
}

// churn measures broken flows and imbalance while balancers and upstreams are
// replaced at the same time.
func churn(seed uint64) ([]Figure, error) {
	var out []Figure
	for _, v := range []struct {
		name string
		s    scheme
	}{{"", weighted}, {"EqualWeights", unweighted}, {"Maglev", maglev}} {
		c := newChurn(seed, v.s)
		c.run()
		if v.s == weighted {
			out = append(out,
				atMost("BrokenFlows", float64(c.broken), 0),
				withoutTarget("BaselineHashAloneBrokenFlows", float64(len(c.misroutedByHash))),
				withoutTarget("NewFlows", float64(c.placed)),
				withoutTarget("FirstFlightsSplitWithRetry", float64(c.splitWithRetry)),
				withoutTarget("FirstFlightsSplitWithoutRetry", float64(c.splitWithoutRetry)),
				atMost("Imbalance", c.imbalance(), imbalanceTarget),
				withoutTarget("ImbalanceGreatestAfterChanges", c.maxImbalance),
			)
			continue
		}
		out = append(out, withoutTarget("Imbalance"+v.name, c.imbalance()), withoutTarget("ImbalanceGreatest"+v.name, c.maxImbalance),
			withoutTarget("BrokenFlowsByHash"+v.name, float64(len(c.misroutedByHash))))
	}
	return append(out, boundedLoads(seed)...), nil
}

// boundedLoads places the flows of padron at its current size with exact knowledge of all loads.
func boundedLoads(seed uint64) []Figure {
	random := rand.New(rand.NewPCG(seed, 5))
	var cs []placement.Candidate
	for i := range churnAgents {
		cs = append(cs, placement.Candidate{Agent: network.Address(membership.Agent, i), Weight: placement.FullWeight})
	}
	b := placement.NewBounded(cs, imbalanceTarget)
	rendezvous := placement.NewRendezvous(cs)
	open := make(map[netip.AddrPort]int)
	moved := 0
	for range churnAgents * churnFlows {
		h := placement.FlowHash(random.Uint64())
		a, _ := b.Open(h)
		open[a]++
		if first, _, _ := rendezvous.Choose(h); first != a {
			moved++
		}
	}
	busiest := 0
	for _, n := range open {
		busiest = max(busiest, n)
	}
	return []Figure{
		withoutTarget("ImbalanceBoundedLoads", float64(busiest)/churnFlows),
		withoutTarget("FlowsOffTheirFirstChoiceBoundedLoads", float64(moved)),
	}
}
