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
	churnBalancers  = 6
	churnAgents     = 7
	churnFlows      = 2000 // for each agent
	churnLife       = 120 * time.Second
	churnFill       = 5 * churnLife / 2
	churnChanges    = 60 * time.Second
	churnAfter      = 120 * time.Second
	churnStep       = gossip.TickInterval
	churnService    = contract.ServiceNumber(7)
	packetsPerFlow  = 10 * time.Second // time between two packets of a flow
	weighEvery      = 2 * time.Second
	imbalanceTarget = 1.10
)

// scheme is a way to place new flows.
type scheme uint8

const (
	levelled scheme = iota // rendezvous with announced weights
	equal                  // rendezvous with equal weights
	maglev
)

type churnFlow struct {
	hash  placement.FlowHash
	owner netip.AddrPort
	ends  instant.Instant
}

// churnRun is one fleet under planned change.
type churnRun struct {
	net       *network.Network
	scheme    scheme
	random    *rand.Rand
	balancers []*network.Process
	agents    []*network.Process
	started   map[netip.AddrPort]instant.Instant
	draining  map[netip.AddrPort]bool
	flows     []churnFlow
	open      map[netip.AddrPort]int
	due       float64
	nextIndex int
	// byHash counts flows that routing by hash alone would have broken.
	byHash   map[placement.FlowHash]bool
	broken   int
	split    int
	retried  int
	placed   int
	greatest float64
}

func newChurn(seed uint64, s scheme) *churnRun {
	c := &churnRun{
		net: network.New(seed), scheme: s, random: rand.New(rand.NewPCG(seed, 4)),
		started: make(map[netip.AddrPort]instant.Instant), draining: make(map[netip.AddrPort]bool),
		open: make(map[netip.AddrPort]int), byHash: make(map[placement.FlowHash]bool),
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
	if c.scheme == levelled {
		m.Weight = placement.InitialWeight
	}
	p := c.net.Add(gossip.Config{Self: m, Seeds: c.seeds(), Customer: "Registro", Service: "padron"})
	c.agents = append(c.agents, p)
	c.started[p.Address] = c.net.Now()
}

// replaceBalancer lets one balancer leave and another take its place.
func (c *churnRun) replaceBalancer() {
	old := c.balancers[0]
	c.addBalancer()
	c.net.Input(old, func(now instant.Instant) {
		old.Announce(now, func(m *membership.Member) { m.State = membership.Left })
	})
	c.balancers = c.balancers[1:]
}

// replaceAgent drains one agent, whose flows go on, and starts another.
func (c *churnRun) replaceAgent(i int) {
	p := c.agents[i]
	c.draining[p.Address] = true
	c.net.Input(p, func(now instant.Instant) {
		p.Announce(now, func(m *membership.Member) { m.State, m.Weight = membership.Draining, 0 })
	})
	c.addAgent()
}

// choose is what a balancer does with the first packet of a new flow.
func (c *churnRun) choose(b *network.Process, h placement.FlowHash) (netip.AddrPort, bool) {
	cs := b.View().Candidates(churnService)
	if c.scheme == maglev {
		return placement.NewMaglev(cs).Choose(h)
	}
	a, _, ok := placement.NewRendezvous(cs).Choose(h)
	return a, ok
}

func (c *churnRun) balancer() *network.Process { return c.balancers[c.random.IntN(len(c.balancers))] }

// arrive opens a new flow whose first flight reaches two balancers.
func (c *churnRun) arrive() {
	h := placement.FlowHash(c.random.Uint64())
	one, two := c.balancer(), c.balancer()
	a, ok := c.choose(one, h)
	b, okB := c.choose(two, h)
	if !ok || !okB {
		return
	}
	c.placed++
	if a != b {
		now := func(p *network.Process) bool { return p.View().IsConverging(c.localNow(p), churnService) }
		if now(one) || now(two) {
			// QUIC Retry gives the flow a sealed ID before it begins.
			c.retried++
		} else {
			c.split++
		}
	}
	life := time.Duration(c.random.ExpFloat64() * float64(churnLife))
	c.flows = append(c.flows, churnFlow{h, a, c.net.Now().Add(life)})
	c.open[a]++
}

func (c *churnRun) localNow(p *network.Process) instant.Instant { return c.net.LocalNow(p) }

// step lets one tick pass: flows end, packets arrive at any balancer, new flows open.
func (c *churnRun) step(rate float64) {
	c.net.Run(churnStep)
	now := c.net.Now()
	kept := c.flows[:0]
	for _, f := range c.flows {
		if now >= f.ends {
			c.open[f.owner]--
			continue
		}
		if c.random.Float64() < float64(churnStep)/float64(packetsPerFlow) {
			c.packet(f)
		}
		kept = append(kept, f)
	}
	c.flows = kept
	for c.due += rate * churnStep.Seconds(); c.due >= 1; c.due-- {
		c.arrive()
	}
	if time.Duration(now)%weighEvery < churnStep && c.scheme == levelled {
		c.weigh()
	}
}

// packet routes a packet of an established flow: by its sealed ID it goes to its
// owner from any balancer; by its hash alone it may go astray.
func (c *churnRun) packet(f churnFlow) {
	if a, ok := c.choose(c.balancer(), f.hash); !ok || a != f.owner {
		c.byHash[f.hash] = true
	}
	for _, p := range c.agents {
		if p.Address == f.owner && !p.Dead {
			return
		}
	}
	c.broken++
}

// weigh lets every agent announce the weight that its flows call for.
func (c *churnRun) weigh() {
	mean := c.mean()
	for _, p := range c.agents {
		if c.draining[p.Address] {
			continue
		}
		w := placement.WeightFor(placement.WeightInput{
			Age: c.net.Now().Sub(c.started[p.Address]), Flows: int64(c.open[p.Address]), MaxFlows: 10 * churnFlows,
			MeanFlows: mean, HasMeanFlows: true,
		})
		if w != p.Self().Weight {
			c.net.Input(p, func(now instant.Instant) {
				p.Announce(now, func(m *membership.Member) { m.Weight = w })
			})
		}
	}
}

func (c *churnRun) mean() float64 {
	sum, n := 0, 0
	for _, p := range c.agents {
		if !c.draining[p.Address] {
			sum += c.open[p.Address]
			n++
		}
	}
	return float64(sum) / float64(n)
}

// imbalance is the open flows of the busiest target over the mean.
func (c *churnRun) imbalance() float64 {
	busiest := 0
	for _, p := range c.agents {
		if !c.draining[p.Address] {
			busiest = max(busiest, c.open[p.Address])
		}
	}
	return float64(busiest) / c.mean()
}

func (c *churnRun) run() {
	rate := float64(churnAgents*churnFlows) / churnLife.Seconds()
	for c.net.Now() < instant.Instant(churnFill) {
		c.step(rate)
	}
	begin := c.net.Now()
	balancers, agents := 0, 0
	for c.net.Now().Sub(begin) < churnChanges {
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
	for c.net.Now().Sub(begin) < churnChanges+churnAfter {
		c.step(rate)
		c.greatest = max(c.greatest, c.imbalance())
	}
}

// churn measures broken flows and imbalance while balancers and upstreams are
// replaced at the same time.
func churn(seed uint64) ([]Figure, error) {
	var out []Figure
	for _, v := range []struct {
		name string
		s    scheme
	}{{"", levelled}, {"EqualWeights", equal}, {"Maglev", maglev}} {
		c := newChurn(seed, v.s)
		c.run()
		if v.s == levelled {
			out = append(out,
				atMost("BrokenFlows", float64(c.broken), 0),
				plain("BaselineHashAloneBrokenFlows", float64(len(c.byHash))),
				plain("NewFlows", float64(c.placed)),
				plain("FirstFlightsSplitWithRetry", float64(c.retried)),
				plain("FirstFlightsSplitWithoutRetry", float64(c.split)),
				atMost("Imbalance", c.imbalance(), imbalanceTarget),
				plain("ImbalanceGreatestAfterChanges", c.greatest),
			)
			continue
		}
		out = append(out, plain("Imbalance"+v.name, c.imbalance()), plain("ImbalanceGreatest"+v.name, c.greatest),
			plain("BrokenFlowsByHash"+v.name, float64(len(c.byHash))))
	}
	return append(out, boundedLoads(seed)...), nil
}

// boundedLoads places the flows of today's padron with perfect knowledge of all loads.
func boundedLoads(seed uint64) []Figure {
	random := rand.New(rand.NewPCG(seed, 5))
	var cs []placement.Candidate
	for i := range churnAgents {
		cs = append(cs, placement.Candidate{Agent: network.Address(membership.Agent, i), Weight: placement.FullWeight})
	}
	b := placement.NewBounded(cs, imbalanceTarget)
	plainSet := placement.NewRendezvous(cs)
	open := make(map[netip.AddrPort]int)
	moved := 0
	for range churnAgents * churnFlows {
		h := placement.FlowHash(random.Uint64())
		a, _ := b.Open(h)
		open[a]++
		if first, _, _ := plainSet.Choose(h); first != a {
			moved++
		}
	}
	busiest := 0
	for _, n := range open {
		busiest = max(busiest, n)
	}
	return []Figure{
		plain("ImbalanceBoundedLoads", float64(busiest)/churnFlows),
		plain("FlowsOffTheirFirstChoiceBoundedLoads", float64(moved)),
	}
}
