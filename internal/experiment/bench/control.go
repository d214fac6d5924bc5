package bench

import (
	"fmt"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/customer/catalogue"
	"github.com/jaytack/jaytack/internal/customer/contract"
	"github.com/jaytack/jaytack/internal/fleet/gossip"
	"github.com/jaytack/jaytack/internal/fleet/membership"
	"github.com/jaytack/jaytack/internal/fleet/wire"
	"github.com/jaytack/jaytack/internal/process/identity"
	"github.com/jaytack/jaytack/internal/process/metrics"
	"github.com/jaytack/jaytack/internal/standin/network"
)

// Sizes and bounds of the control experiment.
const (
	targetBalancers  = 1200
	targetMembers    = targetBalancers + targetTargets
	agentsPerOne     = 8 // agents for each balancer
	groupSize        = 5 // agents of one service
	contractsPerOne  = 2 // contracts for each balancer
	quietTime        = 20 * time.Second
	formTime         = 60 * time.Second
	eventCount       = 8
	eventTime        = 10 * time.Second
	sealRounds       = 20_000
	controlBytes     = 2048.0
	controlCore      = 0.016
	controlMegabytes = 128.0
	mega             = 1 << 20
	// membersChangedPerDay is the restarts and failures of an ordinary day, each
	// of which is a leave, a start and the steps of a cold weight.
	membersChangedPerDay = 1115
	recordsPerChange     = 5
	changesPerDay        = 1000
	secondsPerDay        = 86_400
)

// controlSizes are the numbers of balancers that are measured.
var controlSizes = []int{8, 16, 32, 64, 128}

// controlPoint is what was measured at one size.
type controlPoint struct {
	balancers, members             int
	balancerBytes, agentBytes      float64 // per second, sent and received, quiet
	balancerMessages               float64 // per second, sent
	recordBytes, contractBytes     float64 // for each balancer and event
	cpu                            float64 // seconds per second and process
	heap                           float64 // bytes for each balancer
	leaveSeconds, contractsSeconds float64 // until every balancer knows
}

// controlFleet is a virtual fleet with many services.
type controlFleet struct {
	*network.Network
	balancers, agents []*network.Process
}

func serviceContract(i int) catalogue.Entry {
	name := contract.Customer(fmt.Sprintf("Customer-%d", i))
	svc := contract.Service{Name: "service", Number: contract.ServiceNumber(i + 1), Slots: 4, Flows: 4000}
	for k := range 5 {
		svc.Kinds = append(svc.Kinds, contract.Kind{Name: contract.KindName(fmt.Sprintf("Kind-%d", k)), Path: fmt.Sprintf("/kind/%d", k), Weight: 1})
	}
	return catalogue.Entry{Customer: name, Revision: contract.Revision(i + 1), Stored: contract.Stored{
		Contract: contract.Contract{Customer: name, Region: "ar-sur", Services: []contract.Service{svc}}, Change: contract.ChangeID(name),
	}}
}

func newControlFleet(seed uint64, balancers int) *controlFleet {
	f := &controlFleet{Network: network.New(seed)}
	for i := range balancers {
		cfg := gossip.Config{Self: f.Member(membership.Balancer, i)}
		if i > 0 {
			cfg.Seeds = append(cfg.Seeds, f.balancers[0].Address, f.balancers[i/2].Address)
		}
		f.balancers = append(f.balancers, f.Add(cfg))
	}
	for i := range balancers * contractsPerOne {
		f.Apply(f.balancers[i%balancers], serviceContract(i))
	}
	for i := range balancers * agentsPerOne {
		customer := (i / groupSize) % (balancers * contractsPerOne)
		cfg := gossip.Config{
			Self: f.Member(membership.Agent, i), Customer: contract.Customer(fmt.Sprintf("Customer-%d", customer)), Service: "service",
		}
		cfg.Seeds = append(cfg.Seeds, f.balancers[i%balancers].Address)
		f.agents = append(f.agents, f.Add(cfg))
	}
	f.Run(formTime)
	return f
}

func bytesOf(ps []*network.Process) (n int64) {
	for _, p := range ps {
		n += p.SentBytes + p.ReceivedBytes
	}
	return n
}

func datagramsOf(ps []*network.Process) (n int64) {
	for _, p := range ps {
		n += p.Datagrams
	}
	return n
}

func (f *controlFleet) measure() controlPoint {
	p := controlPoint{balancers: len(f.balancers), members: len(f.balancers) + len(f.agents)}
	b0, a0, d0 := bytesOf(f.balancers), bytesOf(f.agents), datagramsOf(f.balancers)
	cpu := metrics.CPUTime()
	f.Run(quietTime)
	p.cpu = (metrics.CPUTime() - cpu).Seconds() / quietTime.Seconds() / float64(p.members)
	b1, d1 := bytesOf(f.balancers), datagramsOf(f.balancers)
	n, s := float64(p.balancers), quietTime.Seconds()
	p.balancerBytes = float64(b1-b0) / n / s
	p.balancerMessages = float64(d1-d0) / n / s
	p.agentBytes = float64(bytesOf(f.agents)-a0) / float64(len(f.agents)) / s
	quiet := p.balancerBytes * n * eventTime.Seconds()
	p.recordBytes, p.leaveSeconds = f.events(quiet, f.leave)
	p.contractBytes, p.contractsSeconds = f.events(quiet, f.change)
	return p
}

// events lets several events happen and returns the bytes that each costs every
// balancer, and the time until all balancers know the last one.
func (f *controlFleet) events(quiet float64, event func(i int) (known func() bool)) (bytes, seconds float64) {
	before := bytesOf(f.balancers)
	var known func() bool
	for i := range eventCount {
		known = event(i)
	}
	start := f.Now()
	for !known() && f.Now().Sub(start) < eventTime {
		f.Run(gossip.TickInterval)
		seconds = f.Now().Sub(start).Seconds()
	}
	f.Run(eventTime - f.Now().Sub(start))
	extra := float64(bytesOf(f.balancers)-before) - quiet
	return max(extra, 0) / float64(len(f.balancers)) / eventCount, seconds
}

func (f *controlFleet) leave(i int) func() bool {
	p := f.agents[i]
	f.Input(p, func(now instant.Instant) {
		p.Announce(now, func(m *membership.Member) { m.State = membership.Draining })
	})
	return func() bool {
		for _, b := range f.balancers {
			if m, ok := b.View().Member(p.Address); ok && m.State == membership.Ready {
				return false
			}
		}
		return true
	}
}

func (f *controlFleet) change(i int) func() bool {
	e := serviceContract(i)
	e.Revision = contract.Revision(10_000 + i)
	f.Apply(f.balancers[i%len(f.balancers)], e)
	return func() bool {
		for _, b := range f.balancers {
			if held, _ := b.Catalogue().Get(e.Customer); held.Revision < e.Revision {
				return false
			}
		}
		return true
	}
}

// heapOfView returns the memory of one balancer's view and contracts with n members.
func heapOfView(n, contracts int) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	net := network.New(1)
	b := net.Add(gossip.Config{Self: net.Member(membership.Balancer, 0)})
	for i := range n {
		role := membership.Agent
		if i%(agentsPerOne+1) == 0 {
			role = membership.Balancer
		}
		m := net.Member(role, i+1)
		m.Service, m.DataCentre = contract.ServiceNumber(i/groupSize+1), "ar-sur-a"
		b.View().Merge(0, m)
		b.View().RecordHeartbeat(0, m.Address, time.Second)
	}
	for i := range contracts {
		b.Catalogue().Apply(serviceContract(i))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(b)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// sealCost returns the processor time to seal, send and open one message.
func sealCost() (time.Duration, error) {
	id, err := identity.New(make([]byte, identity.SecretLength))
	if err != nil {
		return 0, err
	}
	net := network.New(1)
	e := &wire.Envelope{Body: &wire.Envelope_Heartbeat{Heartbeat: &wire.Heartbeat{Self: wire.FromMember(net.Member(membership.Agent, 1))}}}
	start := metrics.CPUTime()
	for range sealRounds {
		b, err := proto.Marshal(e)
		if err != nil {
			return 0, err
		}
		plain, err := id.Open(id.Seal(b))
		if err != nil {
			return 0, err
		}
		var back wire.Envelope
		if err := proto.Unmarshal(plain, &back); err != nil {
			return 0, err
		}
	}
	return (metrics.CPUTime() - start) / sealRounds, nil
}

// loadBytes returns what an agent sends and receives a second to tell its load
// to the peers of its service: three messages twice a second.
func loadBytes() float64 {
	const messagesPerSecond = 2 * 3
	a := wire.FromAddress(network.Address(membership.Agent, 1))
	e := &wire.Envelope{Body: &wire.Envelope_Load{Load: &wire.Load{
		Address: a, Incarnation: 1 << 30, Slots: 4, Running: 4, Queued: 100, Flows: 2000, MeanServiceMicros: 10_000, Home: a, HomeEpoch: 1 << 20,
	}}}
	return 2 * messagesPerSecond * float64(proto.Size(e)+network.Overhead)
}

// line is a straight line through points, by least squares.
type line struct {
	slope, start float64
}

func (l line) at(x float64) float64 { return l.start + l.slope*x }

func fit(points []controlPoint, y func(controlPoint) float64) line {
	var sx, sy, sxx, sxy float64
	for _, p := range points {
		x, v := float64(p.members), y(p)
		sx, sy, sxx, sxy = sx+x, sy+v, sxx+x*x, sxy+x*v
	}
	n := float64(len(points))
	slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return line{slope, (sy - slope*sx) / n}
}

// control measures bytes, processor time and memory of control at several sizes,
// and what follows for the size of the target.
func control(seed uint64) ([]Figure, error) {
	var points []controlPoint
	var out []Figure
	for _, n := range controlSizes {
		p := newControlFleet(seed, n).measure()
		p.heap = heapOfView(p.members, n*contractsPerOne)
		points = append(points, p)
		name := fmt.Sprintf("Members%d", p.members)
		out = append(out,
			plain(name+"BalancerBytesPerSecond", p.balancerBytes), plain(name+"BalancerMessagesPerSecond", p.balancerMessages),
			plain(name+"AgentBytesPerSecond", p.agentBytes), plain(name+"BytesPerRecordChange", p.recordBytes),
			plain(name+"BytesPerContractChange", p.contractBytes), plain(name+"CoreCPUPart", p.cpu),
			plain(name+"HeapBytes", p.heap), plain(name+"LeaveKnownSeconds", p.leaveSeconds),
			plain(name+"ContractKnownSeconds", p.contractsSeconds),
		)
	}
	seal, err := sealCost()
	if err != nil {
		return nil, err
	}
	return append(out, atTarget(points, seal)...), nil
}

func atTarget(points []controlPoint, seal time.Duration) []Figure {
	const m = targetMembers
	quiet := fit(points, func(p controlPoint) float64 { return p.balancerBytes })
	agent := fit(points, func(p controlPoint) float64 { return p.agentBytes })
	messages := fit(points, func(p controlPoint) float64 { return p.balancerMessages })
	records := fit(points, func(p controlPoint) float64 { return p.recordBytes })
	contracts := fit(points, func(p controlPoint) float64 { return p.contractBytes })
	cpu := fit(points, func(p controlPoint) float64 { return p.cpu })
	heap := fit(points, func(p controlPoint) float64 { return p.heap })
	last := points[len(points)-1]
	changes := max(records.at(m), last.recordBytes)*membersChangedPerDay*recordsPerChange/secondsPerDay +
		max(contracts.at(m), last.contractBytes)*changesPerDay/secondsPerDay
	core := max(cpu.at(m), last.cpu) + 2*messages.at(m)*seal.Seconds()
	return []Figure{
		plain("SealMicroseconds", float64(seal.Nanoseconds())/1000),
		plain("SlopeBalancerBytesPerSecondPerMember", quiet.slope),
		plain("SlopeAgentBytesPerSecondPerMember", agent.slope),
		plain("SlopeBytesPerRecordChangePerMember", records.slope),
		plain("SlopeBytesPerContractChangePerMember", contracts.slope),
		plain("SlopeCoreCPUPartPerMember", cpu.slope),
		plain("SlopeHeapBytesPerMember", heap.slope),
		atMost("TargetBalancerBytesPerSecond", quiet.at(m)+changes, controlBytes),
		plain("TargetBalancerBytesPerSecondForChanges", changes),
		plain("AgentLoadBytesPerSecond", loadBytes()),
		atMost("TargetAgentBytesPerSecond", agent.at(m)+loadBytes(), controlBytes),
		atMost("TargetCPUPart", core, controlCore),
		atMost("TargetHeapMegabytes", heap.at(m)/mega, controlMegabytes),
		plain("MeasuredHeapMegabytesAtTarget", heapOfView(m, targetAddresses)/mega),
	}
}
