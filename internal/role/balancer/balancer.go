// Package balancer is the role that stands between the fabric and the agents.
//
// A balancer routes each datagram by itself and keeps no state that a flow
// depends on: any balancer can route any packet of an established flow with
// nothing but the keyring.
//
// # Usage
//
//	b, err := balancer.New(cfg, identity, store, journal, metrics)
//	defer b.Close()
//	b.Drain()
package balancer

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/customer/catalogue"
	"github.com/jaytack/jaytack/internal/customer/contract"
	"github.com/jaytack/jaytack/internal/fleet/gossip"
	"github.com/jaytack/jaytack/internal/fleet/membership"
	"github.com/jaytack/jaytack/internal/fleet/node"
	"github.com/jaytack/jaytack/internal/flow/connid"
	"github.com/jaytack/jaytack/internal/flow/placement"
	"github.com/jaytack/jaytack/internal/flow/routing"
	"github.com/jaytack/jaytack/internal/flow/tunnel"
	"github.com/jaytack/jaytack/internal/process/eventlog"
	"github.com/jaytack/jaytack/internal/process/identity"
	"github.com/jaytack/jaytack/internal/process/metrics"
	"github.com/jaytack/jaytack/internal/process/settings"
	"github.com/jaytack/jaytack/internal/process/sockets"
	"github.com/jaytack/jaytack/internal/process/store"
)

const (
	announceEvery  = 200 * time.Millisecond
	rebuildEvery   = 500 * time.Millisecond
	withdrawals    = 3
	controlBacklog = 1024 // datagrams
)

// Balancer is one running balancer.
type Balancer struct {
	*node.Node
	cfg      settings.Balancer
	tunnel   *net.UDPConn
	fabric   []*net.UDPConn
	table    atomic.Pointer[routing.Table]
	built    map[contract.ServiceNumber]builtService
	buildMu  sync.Mutex
	workers  []*worker
	answers  atomic.Int64
	refused  atomic.Int64
	control  chan []byte
	draining atomic.Bool
	done     chan struct{}
	wg       sync.WaitGroup
}

// builtService is a service of the table with what it was built from.
type builtService struct {
	service *routing.Service
	digest  uint64
	limiter *rate.Limiter
}

const (
	// firstFlight is the number of datagrams that a new flow may need.
	firstFlight = 4
	// limitSlack is how much more than its part of a customer's limit a balancer
	// lets pass, since the fabric does not spread evenly; agents hold the limit itself.
	limitSlack = 2
)

// setLimit gives a service the balancer's part of the customer's limit of new flows.
func (s builtService) setLimit(now instant.Instant, limit contract.Rate, balancers int) {
	v := max(float64(limit)*firstFlight*limitSlack/float64(balancers), firstFlight)
	if s.limiter.Limit() == rate.Limit(v) {
		return
	}
	at := time.Unix(0, int64(now))
	s.limiter.SetLimitAt(at, rate.Limit(v))
	s.limiter.SetBurstAt(at, int(v))
}

// New starts a balancer.
func New(cfg settings.Balancer, id *identity.Identity, st *store.Client, j *eventlog.Logger, m *metrics.Set) (*Balancer, error) {
	b := &Balancer{
		cfg: cfg, built: make(map[contract.ServiceNumber]builtService),
		control: make(chan []byte, controlBacklog), done: make(chan struct{}),
	}
	var err error
	if b.tunnel, err = sockets.Listen(cfg.Tunnel); err != nil {
		return nil, err
	}
	if b.fabric, err = sockets.ListenMany(cfg.Fabric, max(cfg.Workers, 1)); err != nil {
		_ = b.tunnel.Close()
		return nil, err
	}
	self := membership.Member{
		Address: cfg.Tunnel, Control: cfg.Control, Role: membership.Balancer, DataCentre: cfg.DataCentre,
		Incarnation: connid.IncarnationAt(time.Now()), Sequence: 1, State: membership.Ready, Weight: placement.FullWeight,
	}
	b.Node, err = node.New(gossip.Config{Self: self, Seeds: cfg.Seeds}, id, st, j, b.post)
	if err != nil {
		b.closeSockets()
		return nil, err
	}
	b.table.Store(&routing.Table{})
	b.OnChange = b.rebuild
	for _, c := range b.fabric {
		b.workers = append(b.workers, &worker{b: b, conn: c, router: routing.New()})
	}
	b.publish(m)
	b.start()
	return b, nil
}

func (b *Balancer) start() {
	for _, w := range b.workers {
		b.goes(w.run)
	}
	b.goes(b.returnAnswers)
	b.goes(b.handleControl)
	b.goes(b.announce)
	b.Node.Start()
	b.Info("BalancerStarted", "Tunnel", b.cfg.Tunnel, "Control", b.cfg.Control, "Fabric", b.cfg.Fabric)
}

func (b *Balancer) goes(f func()) {
	b.wg.Add(1)
	go func() {
		defer b.wg.Done()
		f()
	}()
}

func (b *Balancer) post(datagram []byte, to netip.AddrPort) {
	_, _ = b.tunnel.WriteToUDPAddrPort(datagram, to)
}

// Drain tells fabric and fleet that the balancer leaves, and goes on forwarding
// for the time that the settings give.
func (b *Balancer) Drain() {
	b.draining.Store(true)
	b.Info("BalancerDraining", "Linger", time.Duration(b.cfg.Linger))
	b.Announce(func(m *membership.Member) { m.State = membership.Left })
	time.Sleep(time.Duration(b.cfg.Linger))
}

// Close ends the balancer at once.
func (b *Balancer) Close() {
	close(b.done)
	b.closeSockets()
	b.Node.Close()
	b.wg.Wait()
	b.Info("BalancerStopped")
}

func (b *Balancer) closeSockets() {
	_ = b.tunnel.Close()
	for _, c := range b.fabric {
		_ = c.Close()
	}
}

// announce tells the fabric that this balancer takes datagrams, or no longer.
func (b *Balancer) announce() {
	t := time.NewTicker(announceEvery)
	defer t.Stop()
	rebuild := time.Now()
	for {
		datagram := tunnel.Announcement(!b.draining.Load() && b.ready())
		_, _ = b.fabric[0].WriteToUDPAddrPort(datagram[:], b.cfg.FabricPeer)
		if time.Since(rebuild) > rebuildEvery {
			rebuild = time.Now()
			b.rebuild()
		}
		select {
		case <-b.done:
			return
		case <-t.C:
		}
	}
}

// ready reports whether the balancer can route established flows.
func (b *Balancer) ready() bool {
	t := b.table.Load()
	return t.Ring != nil && len(t.Addresses) > 0
}

func (b *Balancer) handleControl() {
	for {
		select {
		case <-b.done:
			return
		case d := <-b.control:
			b.HandleDatagram(d)
		}
	}
}

// rebuild makes a new table from the view; services that did not change are kept.
func (b *Balancer) rebuild() {
	b.buildMu.Lock()
	defer b.buildMu.Unlock()
	t := &routing.Table{Ring: b.Ring(), Addresses: make(map[netip.AddrPort]*routing.Service)}
	now := b.Now()
	b.WithView(func(v *membership.View, c *catalogue.Catalogue) {
		for _, e := range c.All() {
			if e.Stored.Retired {
				continue
			}
			for _, s := range e.Stored.Contract.Services {
				svc := b.build(v, s.Number, v.IsConverging(now, s.Number))
				b.built[s.Number].setLimit(now, e.Stored.Contract.Limits.NewFlowsPerSecond, len(v.Balancers())+1)
				for _, a := range s.Addresses {
					t.Addresses[a] = svc
				}
			}
		}
	})
	b.table.Store(t)
}

func (b *Balancer) build(v *membership.View, n contract.ServiceNumber, unsettled bool) *routing.Service {
	digest := v.GroupDigest(n)
	old, ok := b.built[n]
	if ok && old.digest == digest && old.service.Unsettled == unsettled {
		return old.service
	}
	limiter := old.limiter
	if limiter == nil {
		limiter = rate.NewLimiter(0, 0)
	}
	svc := &routing.Service{Number: n, Unsettled: unsettled, NewFlows: limiter}
	if ok && old.digest == digest {
		svc.Candidates = old.service.Candidates
	} else {
		svc.Candidates = placement.NewRendezvous(v.Candidates(n))
		b.Info("CandidatesChanged", "Service", n, "Candidates", svc.Candidates.Len())
	}
	b.built[n] = builtService{svc, digest, limiter}
	return svc
}

func (b *Balancer) publish(m *metrics.Set) {
	for r := routing.ReasonNone + 1; r < routing.ReasonCount; r++ {
		m.Func("Datagrams"+r.String(), func() any { return b.Datagrams(r) })
	}
	m.Func("Answers", func() any { return b.answers.Load() })
	m.Func("AnswersRefused", func() any { return b.refused.Load() })
	b.Publish(m)
}

// Datagrams returns the number of callers' datagrams that were decided for a reason.
func (b *Balancer) Datagrams(r routing.Reason) int64 {
	sum := int64(0)
	for _, w := range b.workers {
		sum += w.reasons[r].Load()
	}
	return sum
}

// CandidateCount returns the number of agents that the balancer places new flows on.
func (b *Balancer) CandidateCount(customer contract.Customer, name contract.ServiceName) int {
	n := 0
	b.WithView(func(v *membership.View, c *catalogue.Catalogue) {
		if s, ok := c.FindService(customer, name); ok {
			n = len(v.Candidates(s.Number))
		}
	})
	return n
}
