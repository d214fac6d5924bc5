// Package relay simulates a fleet that relays flows, under virtual time.
//
// Balancers and agents run the same cores as the daemons. The package simulates
// their environment: routers that hash flows over the ready balancers, upstreams
// with slots and queues, callers that retry, the membership store, and a network
// with delays, losses and partitions. A run depends on its configuration and seed only.
//
// The simulation checks that no flow is reset while it is open at a running
// upstream, that no upstream gets a packet for another service, and that no cold upstream gets
// more first packets within any second than its warm-up limit allows.
//
// # Usage
//
//	w := relay.New(relay.Config{Seed: 1, DataCentres: 3, Balancers: 6, Services: services, Callers: callers})
//	w.At(2*time.Second, func() { w.Kill(w.Agents[0]) })
//	w.Run(10 * time.Second)
//	check(w.Broken)
package relay

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/forwarding"
	"github.com/jaytack/jaytack/internal/relay/load"
	"github.com/jaytack/jaytack/internal/relay/message"
	"github.com/jaytack/jaytack/internal/relay/routes"
	"github.com/jaytack/jaytack/internal/relay/serving"
	"github.com/jaytack/jaytack/internal/relay/warmup"
)

// Intervals and limits of the simulated environment.
const (
	// probeInterval is the interval of the routers' readiness probes. After
	// maxFailedProbes failed ones in a row a balancer gets no packets.
	probeInterval   = 500 * time.Millisecond
	maxFailedProbes = 2
	// configurationInterval is how often balancers read the configuration and the history of
	// the routes.
	configurationInterval = 1500 * time.Millisecond
	// storeLatency is the duration of a call to the store.
	storeLatency = 4 * time.Millisecond
	// maxStrayTime is how long packets of an open flow may reach other upstreams only, from
	// minStrays on.
	maxStrayTime = 2 * time.Second
	minStrays    = 3
	// maxViolations limits the list of violations.
	maxViolations = 10
	// storeRetryInterval is how often a process retries while the store is down.
	storeRetryInterval = 100 * time.Millisecond
)

// Service describes a service and its upstreams, which are spread over the data
// centres. Slots and Queue apply to each upstream.
type Service struct {
	Name             string
	Upstreams, Slots int
	Queue            int
	// Factors are multiples of the service times, 1 if empty. The n-th upstream of a data
	// centre has the n-th one, modulo their number.
	Factors []float64
}

// Config describes a simulation.
type Config struct {
	Seed        uint64
	DataCentres int
	Balancers   int
	Services    []Service
	Callers     []Kind
	// RoutePerKind gives each kind of request a route of its own, with its priority, aim and
	// deadline.
	RoutePerKind bool
	// SingleKind hides from agents that a service has several kinds of requests, so that they
	// hold none back.
	SingleKind bool
	// SameDataCentreDelay, CrossDataCentreDelay and CallerDelay are one-way delays: within
	// a data centre, between two, and to or from callers. Up to a quarter is added at random.
	SameDataCentreDelay, CrossDataCentreDelay, CallerDelay time.Duration
	// Demand, if set, multiplies the request rates of a data centre.
	Demand func(dataCentre string, at time.Duration) float64
	// LossPerMille is the number of datagrams lost per thousand.
	LossPerMille int
	// Sample selects the candidates considered for a new flow. If nil, agents select
	// them as the daemons do.
	Sample func(hash uint64, candidates []load.Candidate) []load.Candidate
	// CrossDataCentreCost makes new flows leave their data centre only while that pays.
	CrossDataCentreCost bool
	// EjectFailing makes upstreams that fail requests get no new flows.
	EjectFailing bool
	// HideServiceTimes removes the service times from all reports, so that placement does not
	// know that upstreams differ.
	HideServiceTimes bool
	// MaxReadDelay is the longest time by which a balancer that starts reads its members later
	// than its configuration.
	MaxReadDelay time.Duration
	// EvacuateWithin is the time after which an evacuation must be in force. 0 makes a fleet
	// without evacuations.
	EvacuateWithin time.Duration
	// WarmUpRates holds the numbers of new flows a second that cold upstreams take, by service.
	// WarmUp bounds the first packets that such an upstream may get in any second; more are a
	// violation.
	WarmUpRates map[string]warmup.Rate
	WarmUp      warmup.Bounds
	// Trace, if set, is called with each decision of a process.
	Trace func(at time.Duration, process flow.IP, event string, pairs []any)
}

// Process is one balancer or agent.
type Process struct {
	IP         flow.IP
	DataCentre string
	// Balancer or Agent is the core of a running process; both are nil if it is stopped.
	Balancer *forwarding.Core
	Agent    *serving.Core
	Upstream *Upstream
	// Paused suspends the process; its inputs are queued.
	Paused       bool
	service      string
	startCount   uint64
	failedProbes int
	backlog      []func()
	storeCalls
	// evacuationsReadAt is the startCount at which the process read the evacuations.
	evacuationsReadAt uint64
}

// Running reports whether the process runs.
func (p *Process) Running() bool { return p.Balancer != nil || p.Agent != nil }

type entry struct {
	record    *message.Record
	expiresAt instant.Instant
}

// World is the simulated fleet with its environment. It is not safe for concurrent use.
type World struct {
	Config
	Random    *rand.Rand
	Balancers []*Process
	Agents    []*Process
	Routes    []routes.Route
	// Cut reports whether the network drops everything between two instances.
	Cut func(from, to flow.IP) bool
	// ExtraDelay, if set, is added to the delay between two instances.
	ExtraDelay func(from, to flow.IP) time.Duration
	// ReportStrays makes packets of open flows that reach other upstreams only a violation.
	ReportStrays bool
	// StoreDown makes the store unavailable. StoreRefuses reports whether it turns an
	// instance away.
	StoreDown    bool
	StoreRefuses func(flow.IP) bool
	// Violations lists the violated invariants, at most maxViolations.
	Violations []string
	// Results lists the results of all finished requests.
	Results []Result
	// Traffic counts the messages of each process if it is not nil.
	Traffic map[flow.IP]*Traffic

	now            instant.Instant
	queue          eventQueue
	lastEventOrder uint64
	processes      map[flow.IP]*Process
	entries        map[flow.IP]*entry
	// storeEra counts the restores of the store.
	storeEra    int64
	checkpoints map[flow.IP]*message.Checkpoint
	// history is the history of the routes that balancers have stored.
	history     []routes.History
	operators   operators
	callerFlows map[flow.Endpoint]*callerFlow
	// requests holds the numbers of all requests, by which upstreams recognise copies.
	requests             map[uint32]bool
	configurationVersion routes.Version
	allowedServices      map[flow.Endpoint][]string
	codec                flow.Codec
	// strays holds the packets of open flows that reached other upstreams since their own one
	// got any.
	strays map[flow.ID]*stray
}

// stray counts the packets of one flow that have reached other upstreams since a time.
type stray struct {
	since instant.Instant
	count int
	// missed counts those that are no copies of a transmission that the flow's own upstream got.
	missed int
}

type event struct {
	at    instant.Instant
	order uint64
	f     func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// New returns a simulation whose processes have just started; callers start after one second.
func New(cfg Config) *World {
	w := &World{
		Config: cfg, Random: rand.New(rand.NewPCG(cfg.Seed, 1)), codec: Codec(), configurationVersion: 1, now: 1,
		Cut:             func(_, _ flow.IP) bool { return false },
		StoreRefuses:    func(flow.IP) bool { return false },
		allowedServices: make(map[flow.Endpoint][]string),
		processes:       make(map[flow.IP]*Process), entries: make(map[flow.IP]*entry), checkpoints: make(map[flow.IP]*message.Checkpoint), strays: make(map[flow.ID]*stray), callerFlows: make(map[flow.Endpoint]*callerFlow), requests: make(map[uint32]bool),
	}
	w.Routes = cfg.routes()
	for _, s := range cfg.Services {
		for n := range s.Upstreams {
			w.AddAgent(s, n)
		}
	}
	w.recordAllowedServices()
	for n := range cfg.Balancers {
		p := &Process{IP: flow.IP(0x0a010000 + n + 1), DataCentre: dataCentre(n % cfg.DataCentres)}
		w.Balancers = append(w.Balancers, p)
		w.processes[p.IP] = p
		w.Start(p)
	}
	w.every(probeInterval, w.probeReadiness)
	for _, k := range cfg.Callers {
		w.startCallers(k)
	}
	return w
}

// routes returns the routes: one for each service, or with RoutePerKind one for each kind.
func (cfg *Config) routes() (out []routes.Route) {
	if !cfg.RoutePerKind {
		for i, s := range cfg.Services {
			out = append(out, cfg.route(i, s))
		}
		return out
	}
	for i, k := range cfg.Callers {
		out = append(out, routes.Route{
			Address: cfg.addressOf(i), Shares: []routes.Share{{Service: cfg.Services[k.Service].Name, Weight: 1}},
			Priority: k.Priority, TargetLatency: k.Aim, Timeout: k.Deadline,
		})
	}
	return out
}

// addressOf returns the address to which the i-th kind of callers connects.
func (cfg *Config) addressOf(i int) flow.Endpoint {
	if cfg.RoutePerKind {
		return Address(i)
	}
	return Address(cfg.Callers[i].Service)
}

// route returns the route of a service, with the aim and the deadline of its kind of
// request with the shortest aim.
func (cfg *Config) route(i int, s Service) routes.Route {
	r := routes.Route{Address: Address(i), Shares: []routes.Share{{Service: s.Name, Weight: 1}}}
	for _, k := range cfg.Callers {
		if k.Service == i && (r.TargetLatency == 0 || k.Aim < r.TargetLatency) {
			r.TargetLatency, r.Timeout = k.Aim, k.Deadline
		}
	}
	return r
}

func dataCentre(n int) string { return fmt.Sprintf("dc-%d", n) }

// Address returns the address of the i-th service.
func Address(i int) flow.Endpoint { return flow.Endpoint{IP: flow.IP(0xc6120001 + i), Port: 443} }

// AddAgent adds an upstream and its agent to a service, in data centre n modulo their
// number, and starts both.
func (w *World) AddAgent(s Service, n int) *Process {
	p := &Process{IP: flow.IP(0x0a020000 + len(w.Agents) + 1), DataCentre: dataCentre(n % w.DataCentres), service: s.Name}
	p.Upstream = newUpstream(w, p, s)
	if len(s.Factors) > 0 {
		p.Upstream.Factor = s.Factors[n/w.DataCentres%len(s.Factors)]
	}
	w.Agents = append(w.Agents, p)
	w.processes[p.IP] = p
	w.Start(p)
	p.Upstream.Start()
	return p
}

// Configure replaces the route of an address.
func (w *World) Configure(address flow.Endpoint, shares ...routes.Share) {
	w.Routes = slices.Clone(w.Routes)
	for i := range w.Routes {
		if w.Routes[i].Address == address {
			w.Routes[i] = routes.Route{Address: address, Shares: shares}
		}
	}
	w.configurationVersion++
	w.recordAllowedServices()
}

// recordAllowedServices adds the services of the current routes to those that may get
// packets for an address. Services of earlier routes stay, as their flows stay open.
func (w *World) recordAllowedServices() {
	for _, r := range w.Routes {
		w.allowedServices[r.Address] = append(w.allowedServices[r.Address], r.Services()...)
	}
}

// Now returns the virtual time since the start.
func (w *World) Now() time.Duration { return time.Duration(w.now) }

// At schedules f at virtual time t since the start, or at once if t has passed.
func (w *World) At(t time.Duration, f func()) { w.at(instant.Instant(t), f) }

func (w *World) at(t instant.Instant, f func()) {
	w.lastEventOrder++
	heap.Push(&w.queue, event{max(t, w.now), w.lastEventOrder, f})
}

// After schedules f after a delay.
func (w *World) After(d time.Duration, f func()) { w.after(d, f) }

func (w *World) after(d time.Duration, f func()) { w.at(w.now.Add(d), f) }

func (w *World) every(d time.Duration, f func()) {
	w.after(d, func() {
		f()
		w.every(d, f)
	})
}

// Run runs the simulation until a virtual time since the start.
func (w *World) Run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= instant.Instant(until) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.f()
	}
	w.now = instant.Instant(until)
}

func (w *World) addViolation(format string, args ...any) {
	if len(w.Violations) == maxViolations {
		return
	}
	w.Violations = append(w.Violations, fmt.Sprintf("%v: ", w.Now())+fmt.Sprintf(format, args...))
}

// send calls f after the network's delay between two instances, unless the network
// drops the datagram.
func (w *World) send(from, to flow.IP, f func()) {
	if w.Cut(from, to) || w.Random.IntN(1000) < w.LossPerMille {
		return
	}
	w.after(w.delay(from, to), f)
}

func (w *World) delay(from, to flow.IP) time.Duration {
	a, b := w.processes[from], w.processes[to]
	d := w.SameDataCentreDelay
	switch {
	case a == nil || b == nil:
		d = w.CallerDelay
	case a.DataCentre != b.DataCentre:
		d = w.CrossDataCentreDelay
	}
	d += time.Duration(w.Random.Int64N(int64(d)/4 + 1))
	if w.ExtraDelay != nil {
		d += w.ExtraDelay(from, to)
	}
	return d
}
