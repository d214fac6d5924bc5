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
	targetBalancers          = 1200
	targetMembers            = targetBalancers + targetAgents
	agentsPerBalancer        = 8
	agentsPerService         = 5
	contractsPerBalancer     = 2
	idleTime                 = 20 * time.Second
	joinTime                 = 60 * time.Second
	eventCount               = 8
	eventWindow              = 10 * time.Second
	sealRounds               = 20_000
	maxControlBytesPerSecond = 2048.0
	maxControlCPUShare       = 0.016
	maxControlHeapMegabytes  = 128.0
	bytesPerMegabyte         = 1 << 20
	// membersChangedPerDay is the restarts and failures of an ordinary day. Each
	// causes a leave, a start and the weight steps of a cold agent.
	membersChangedPerDay = 1115
	recordsPerChange     = 5
	changesPerDay        = 1000
	secondsPerDay        = 86_400
)

// controlSizes are the numbers of balancers to measure.
var controlSizes = []int{8, 16, 32, 64, 128}

// controlMeasurement holds the measurements at one fleet size.
type controlMeasurement struct {
	balancers, members             int
	balancerBytes, agentBytes      float64 // per second, sent and received, when idle
	balancerMessages               float64 // per second, sent
	recordBytes, contractBytes     float64 // per balancer and event
	cpuShare                       float64 // CPU seconds per second and process
	heapBytes                      float64 // per balancer
	leaveSeconds, contractsSeconds float64 // until every balancer knows the change
}

// controlFleet is a simulated fleet with many services.
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
	for i := range balancers * contractsPerBalancer {
		f.Apply(f.balancers[i%balancers], serviceContract(i))
	}
	for i := range balancers * agentsPerBalancer {
		customer := (i / agentsPerService) % (balancers * contractsPerBalancer)
		cfg := gossip.Config{
			Self: f.Member(membership.Agent, i), Customer: contract.Customer(fmt.Sprintf("Customer-%d", customer)), Service: "service",
		}
		cfg.Seeds = append(cfg.Seeds, f.balancers[i%balancers].Address)
		f.agents = append(f.agents, f.Add(cfg))
	}
	f.Run(joinTime)
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

func (f *controlFleet) measure() controlMeasurement {
	p := controlMeasurement{balancers: len(f.balancers), members: len(f.balancers) + len(f.agents)}
	b0, a0, d0 := bytesOf(f.balancers), bytesOf(f.agents), datagramsOf(f.balancers)
	cpu := metrics.CPUTime()
	f.Run(idleTime)
	p.cpuShare = (metrics.CPUTime() - cpu).Seconds() / idleTime.Seconds() / float64(p.members)
	b1, d1 := bytesOf(f.balancers), datagramsOf(f.balancers)
	n, s := float64(p.balancers), idleTime.Seconds()
	p.balancerBytes = float64(b1-b0) / n / s
	p.balancerMessages = float64(d1-d0) / n / s
	p.agentBytes = float64(bytesOf(f.agents)-a0) / float64(len(f.agents)) / s
	idleBytes := p.balancerBytes * n * eventWindow.Seconds()
	p.recordBytes, p.leaveSeconds = f.measureEvents(idleBytes, f.drainAgent)
	p.contractBytes, p.contractsSeconds = f.measureEvents(idleBytes, f.changeContract)
	return p
}

// measureEvents triggers several events. It returns the bytes per event and balancer, and
// the seconds until all balancers know the last event.
func (f *controlFleet) measureEvents(idleBytes float64, event func(i int) (known func() bool)) (bytes, seconds float64) {
	before := bytesOf(f.balancers)
	var known func() bool
	for i := range eventCount {
		known = event(i)
	}
	start := f.Now()
	for !known() && f.Now().Sub(start) < eventWindow {
		f.Run(gossip.TickInterval)
		seconds = f.Now().Sub(start).Seconds()
	}
	f.Run(eventWindow - f.Now().Sub(start))
	extra := float64(bytesOf(f.balancers)-before) - idleBytes
	return max(extra, 0) / float64(len(f.balancers)) / eventCount, seconds
}

func (f *controlFleet) drainAgent(i int) func() bool {
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

func (f *controlFleet) changeContract(i int) func() bool {
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

// viewHeapBytes returns the heap bytes of one balancer's membership view of n members and
// its contracts.
func viewHeapBytes(n, contracts int) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	net := network.New(1)
	b := net.Add(gossip.Config{Self: net.Member(membership.Balancer, 0)})
	for i := range n {
		role := membership.Agent
		if i%(agentsPerBalancer+1) == 0 {
			role = membership.Balancer
		}
		m := net.Member(role, i+1)
		m.Service, m.DataCentre = contract.ServiceNumber(i/agentsPerService+1), "ar-sur-a"
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

// sealCost returns the CPU time to encode, seal, open and decode one message.
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
		plaintext, err := id.Open(id.Seal(b))
		if err != nil {
			return 0, err
		}
		var back wire.Envelope
		if err := proto.Unmarshal(plaintext, &back); err != nil {
			return 0, err
		}
	}
	return (metrics.CPUTime() - start) / sealRounds, nil
}

// loadBytesPerSecond returns the bytes per second that an agent sends and receives for
// load messages to the peers of its service: three messages twice a second.
func loadBytesPerSecond() float64 {
	const messagesPerSecond = 2 * 3
	a := wire.FromAddress(network.Address(membership.Agent, 1))
	e := &wire.Envelope{Body: &wire.Envelope_Load{Load: &wire.Load{
		Address: a, Incarnation: 1 << 30, Slots: 4, Running: 4, Queued: 100, Flows: 2000, MeanServiceMicros: 10_000, Home: a, HomeEpoch: 1 << 20,
	}}}
	return 2 * messagesPerSecond * float64(proto.Size(e)+network.Overhead)
}

// line is a straight line fitted by least squares.
type line struct {
	slope, intercept float64
}

func (l line) at(x float64) float64 { return l.intercept + l.slope*x }

func fitLine(points []controlMeasurement, y func(controlMeasurement) float64) line {
	var sx, sy, sxx, sxy float64
	for _, p := range points {
		x, v := float64(p.members), y(p)
		sx, sy, sxx, sxy = sx+x, sy+v, sxx+x*x, sxy+x*v
	}
	n := float64(len(points))
	slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return line{slope, (sy - slope*sx) / n}
}

// control measures the traffic, CPU time and memory of the control plane at several
// fleet sizes and extrapolates them to the target fleet.
func control(seed uint64) ([]Figure, error) {
	var points []controlMeasurement
	var out []Figure
	for _, n := range controlSizes {
		p := newControlFleet(seed, n).measure()
		p.heapBytes = viewHeapBytes(p.members, n*contractsPerBalancer)
		points = append(points, p)
		name := fmt.Sprintf("Members%d", p.members)
		out = append(out,
			withoutTarget(name+"BalancerBytesPerSecond", p.balancerBytes), withoutTarget(name+"BalancerMessagesPerSecond", p.balancerMessages),
			withoutTarget(name+"AgentBytesPerSecond", p.agentBytes), withoutTarget(name+"BytesPerRecordChange", p.recordBytes),
			withoutTarget(name+"BytesPerContractChange", p.contractBytes), withoutTarget(name+"CoreCPUPart", p.cpuShare),
			withoutTarget(name+"HeapBytes", p.heapBytes), withoutTarget(name+"LeaveKnownSeconds", p.leaveSeconds),
			withoutTarget(name+"ContractKnownSeconds", p.contractsSeconds),
		)
	}
	seal, err := sealCost()
	if err != nil {
		return nil, err
	}
	return append(out, extrapolate(points, seal)...), nil
}

func extrapolate(points []controlMeasurement, seal time.Duration) []Figure {
	const m = targetMembers
	idle := fitLine(points, func(p controlMeasurement) float64 { return p.balancerBytes })
	agent := fitLine(points, func(p controlMeasurement) float64 { return p.agentBytes })
	messages := fitLine(points, func(p controlMeasurement) float64 { return p.balancerMessages })
	records := fitLine(points, func(p controlMeasurement) float64 { return p.recordBytes })
	contracts := fitLine(points, func(p controlMeasurement) float64 { return p.contractBytes })
	cpu := fitLine(points, func(p controlMeasurement) float64 { return p.cpuShare })
	heap := fitLine(points, func(p controlMeasurement) float64 { return p.heapBytes })
	last := points[len(points)-1]
	changes := max(records.at(m), last.recordBytes)*membersChangedPerDay*recordsPerChange/secondsPerDay +
		max(contracts.at(m), last.contractBytes)*changesPerDay/secondsPerDay
	core := max(cpu.at(m), last.cpuShare) + 2*messages.at(m)*seal.Seconds()
	return []Figure{
		withoutTarget("SealMicroseconds", float64(seal.Nanoseconds())/1000),
		withoutTarget("SlopeBalancerBytesPerSecondPerMember", idle.slope),
		withoutTarget("SlopeAgentBytesPerSecondPerMember", agent.slope),
		withoutTarget("SlopeBytesPerRecordChangePerMember", records.slope),
		withoutTarget("SlopeBytesPerContractChangePerMember", contracts.slope),
		withoutTarget("SlopeCoreCPUPartPerMember", cpu.slope),
		withoutTarget("SlopeHeapBytesPerMember", heap.slope),
		atMost("TargetBalancerBytesPerSecond", idle.at(m)+changes, maxControlBytesPerSecond),
		withoutTarget("TargetBalancerBytesPerSecondForChanges", changes),
		withoutTarget("AgentLoadBytesPerSecond", loadBytesPerSecond()),
		atMost("TargetAgentBytesPerSecond", agent.at(m)+loadBytesPerSecond(), maxControlBytesPerSecond),
		atMost("TargetCPUPart", core, maxControlCPUShare),
		atMost("TargetHeapMegabytes", heap.at(m)/bytesPerMegabyte, maxControlHeapMegabytes),
		withoutTarget("MeasuredHeapMegabytesAtTarget", viewHeapBytes(m, targetAddresses)/bytesPerMegabyte),
	}
}
