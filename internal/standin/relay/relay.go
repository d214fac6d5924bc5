// Package relay is a stand-in for everything round the cores of relayed flows:
// a whole fleet under virtual time.
//
// Balancers and agents run the cores of the daemons. Round them are routers that
// hash flows over the balancers that are ready, upstreams with slots and queues,
// callers with their retries, the platform's list of members, and a network that
// delays, loses and cuts. Everything follows from the seed.
//
// The world checks while it runs that no open flow is reset while its upstream
// lives and that no upstream gets a packet for another service.
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
)

// Times of the stand-in.
const (
	// routerEvery is how often routers ask whether a balancer is ready, missesOut the
	// misses after which it gets no packets.
	routerEvery = 500 * time.Millisecond
	missesOut   = 2
	// listEvery is how often processes read the list of members.
	listEvery = 1500 * time.Millisecond
	// listTTL is how long an entry outlives its process.
	listTTL = 9 * time.Second
	// storeDelay is the time of a call of the store.
	storeDelay = 4 * time.Millisecond
	// maxBroken bounds the list of what must never happen.
	maxBroken = 10
	// retryStore is how often a starting process asks a store that is down.
	retryStore = 100 * time.Millisecond
)

// Service is upstreams of one kind, spread over the data centres.
type Service struct {
	Name             string
	Upstreams, Slots int
	Queue            int
}

// Config describes a world.
type Config struct {
	Seed        uint64
	DataCentres int
	Balancers   int
	Services    []Service
	Callers     []Kind
	// Near and Far are the delays within a data centre and between two, Caller the
	// one to callers.
	Near, Far, Caller time.Duration
	// LossPerMille of all datagrams are lost.
	LossPerMille int
	// Sample draws the candidates that a new flow is compared at, as the daemons do
	// where it is nil.
	Sample func(hash uint64, candidates []load.Candidate) []load.Candidate
	// Trace gets the decisions of all processes, if set.
	Trace func(at time.Duration, process flow.IP, event string, pairs []any)
}

// Process is one balancer or agent.
type Process struct {
	IP         flow.IP
	DataCentre string
	// Balancer or Agent is the core of a process that runs.
	Balancer *forwarding.Core
	Agent    *serving.Core
	Upstream *Upstream
	// Paused stops the process; what it is sent waits.
	Paused  bool
	service string
	starts  uint64
	misses  int
	backlog []func()
}

// Running reports whether the process runs.
func (p *Process) Running() bool { return p.Balancer != nil || p.Agent != nil }

type entry struct {
	record *message.Record
	lapses instant.Instant
}

// World is the fleet and what is round it.
type World struct {
	Config
	Random    *rand.Rand
	Balancers []*Process
	Agents    []*Process
	Routes    []routes.Route
	// Cut reports whether nothing gets from one instance to another.
	Cut func(from, to flow.IP) bool
	// StoreDown makes the store silent; StoreLoses makes it lose its entries meanwhile.
	StoreDown, StoreLoses bool
	// Violations lists what must never happen.
	Violations []string
	// Results counts what became of requests.
	Results []Result

	now       instant.Instant
	queue     events
	order     uint64
	processes map[flow.IP]*Process
	entries   map[flow.IP]*entry
	callers   map[flow.Endpoint]*try
	version   routes.Version
	named     map[flow.Endpoint][]string
	codec     flow.Codec
}

type event struct {
	at    instant.Instant
	order uint64
	f     func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// New returns a world whose processes have just started; callers start after a second.
func New(cfg Config) *World {
	w := &World{
		Config: cfg, Random: rand.New(rand.NewPCG(cfg.Seed, 1)), codec: Codec(), version: 1, now: 1,
		Cut:       func(_, _ flow.IP) bool { return false },
		named:     make(map[flow.Endpoint][]string),
		processes: make(map[flow.IP]*Process), entries: make(map[flow.IP]*entry), callers: make(map[flow.Endpoint]*try),
	}
	for i, s := range cfg.Services {
		w.Routes = append(w.Routes, cfg.route(i, s))
		for n := range s.Upstreams {
			w.AddAgent(s, n)
		}
	}
	w.name()
	for n := range cfg.Balancers {
		p := &Process{IP: flow.IP(0x0a010000 + n + 1), DataCentre: dataCentre(n % cfg.DataCentres)}
		w.Balancers = append(w.Balancers, p)
		w.processes[p.IP] = p
		w.Start(p)
	}
	w.every(routerEvery, w.askReady)
	for _, k := range cfg.Callers {
		w.startCallers(k)
	}
	return w
}

// route returns the route of a service, with the aim and the deadline of its most
// pressing kind of request.
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

// AddAgent adds an upstream with its agent to a service and starts both.
func (w *World) AddAgent(s Service, n int) *Process {
	p := &Process{IP: flow.IP(0x0a020000 + len(w.Agents) + 1), DataCentre: dataCentre(n % w.DataCentres), service: s.Name}
	p.Upstream = newUpstream(w, p, s)
	w.Agents = append(w.Agents, p)
	w.processes[p.IP] = p
	w.Start(p)
	p.Upstream.Start()
	return p
}

// Configure puts the shares of an address in force.
func (w *World) Configure(address flow.Endpoint, shares ...routes.Share) {
	w.Routes = slices.Clone(w.Routes)
	for i := range w.Routes {
		if w.Routes[i].Address == address {
			w.Routes[i] = routes.Route{Address: address, Shares: shares}
		}
	}
	w.version++
	w.name()
}

// name notes which services each address was ever given.
func (w *World) name() {
	for _, r := range w.Routes {
		w.named[r.Address] = append(w.named[r.Address], r.Services()...)
	}
}

// Now returns the virtual time.
func (w *World) Now() time.Duration { return time.Duration(w.now) }

// At calls f at a time since the start.
func (w *World) At(t time.Duration, f func()) { w.at(instant.Instant(t), f) }

func (w *World) at(t instant.Instant, f func()) {
	w.order++
	heap.Push(&w.queue, event{max(t, w.now), w.order, f})
}

func (w *World) after(d time.Duration, f func()) { w.at(w.now.Add(d), f) }

func (w *World) every(d time.Duration, f func()) {
	w.after(d, func() {
		f()
		w.every(d, f)
	})
}

// Run plays the world until a time since the start.
func (w *World) Run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= instant.Instant(until) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.f()
	}
	w.now = instant.Instant(until)
}

func (w *World) broken(format string, args ...any) {
	if len(w.Violations) == maxBroken {
		return
	}
	w.Violations = append(w.Violations, fmt.Sprintf("%v: ", w.Now())+fmt.Sprintf(format, args...))
}

// post delivers something from one instance to another after the network's delay.
func (w *World) post(from, to flow.IP, f func()) {
	if w.Cut(from, to) || w.Random.IntN(1000) < w.LossPerMille {
		return
	}
	w.after(w.delay(from, to), f)
}

func (w *World) delay(from, to flow.IP) time.Duration {
	a, b := w.processes[from], w.processes[to]
	d := w.Near
	switch {
	case a == nil || b == nil:
		d = w.Caller
	case a.DataCentre != b.DataCentre:
		d = w.Far
	}
	return d + time.Duration(w.Random.Int64N(int64(d)/4+1))
}
