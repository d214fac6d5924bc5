// Package balancer implements the balancer role, which forwards datagrams
// between the fabric and the agents.
//
// A balancer routes each datagram independently and keeps no per-flow state:
// any balancer that holds the keyring can route any packet of an established
// flow.
//
// # Usage
//
//	b, err := balancer.New(cfg, identity, store, logger, metrics)
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
	announceInterval   = 200 * time.Millisecond
	rebuildInterval    = 500 * time.Millisecond
	controlQueueLength = 1024 // datagrams
)

// Balancer is a running balancer.
type Balancer struct {
	*node.Node
	cfg              settings.Balancer
	tunnel           *net.UDPConn
	fabric           []*net.UDPConn
	table            atomic.Pointer[routing.Table]
	services         map[contract.ServiceNumber]cachedService
	rebuildMu        sync.Mutex
	workers          []*worker
	answersForwarded atomic.Int64
	datagramsRefused atomic.Int64
	controlQueue     chan []byte
	draining         atomic.Bool
	done             chan struct{}
	wg               sync.WaitGroup
}

// cachedService is a service of the routing table, kept for reuse while its
// group digest is unchanged.
type cachedService struct {
	service *routing.Service
	digest  uint64
	limiter *rate.Limiter
}

const (
	// datagramsPerNewFlow is the number of datagrams that a new flow may send
	// before it is established.
	datagramsPerNewFlow = 4
	// limitSlackFactor multiplies a balancer's share of a customer's limit, because
	// the fabric does not spread flows evenly. Agents enforce the exact limit.
	limitSlackFactor = 2
)

// setNewFlowLimit sets the limiter to this balancer's share of the customer's
// limit of new flows, in datagrams per second.
func (s cachedService) setNewFlowLimit(now instant.Instant, limit contract.Rate, balancers int) {
	datagramsPerSecond := max(float64(limit)*datagramsPerNewFlow*limitSlackFactor/float64(balancers), datagramsPerNewFlow)
	if s.limiter.Limit() == rate.Limit(datagramsPerSecond) {
		return
	}
	at := time.Unix(0, int64(now))
	s.limiter.SetLimitAt(at, rate.Limit(datagramsPerSecond))
	s.limiter.SetBurstAt(at, int(datagramsPerSecond))
}

// New starts a balancer.
func New(cfg settings.Balancer, id *identity.Identity, st *store.Client, j *eventlog.Logger, m *metrics.Set) (*Balancer, error) {
	b := &Balancer{
		cfg: cfg, services: make(map[contract.ServiceNumber]cachedService),
		controlQueue: make(chan []byte, controlQueueLength), done: make(chan struct{}),
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
	b.Node, err = node.New(gossip.Config{Self: self, Seeds: cfg.Seeds}, id, st, j, b.sendControl)
	if err != nil {
		b.closeSockets()
		return nil, err
	}
	b.table.Store(&routing.Table{})
	b.OnChange = b.rebuild
	for _, c := range b.fabric {
		b.workers = append(b.workers, &worker{balancer: b, conn: c, router: routing.New()})
	}
	b.registerMetrics(m)
	b.start()
	return b, nil
}

func (b *Balancer) start() {
	for _, w := range b.workers {
		b.spawn(w.run)
	}
	b.spawn(b.receiveFromTunnel)
	b.spawn(b.handleControl)
	b.spawn(b.announce)
	b.Node.Start()
	b.Info("BalancerStarted", "Tunnel", b.cfg.Tunnel, "Control", b.cfg.Control, "Fabric", b.cfg.Fabric)
}

func (b *Balancer) spawn(f func()) {
	b.wg.Add(1)
	go func() {
		defer b.wg.Done()
		f()
	}()
}

func (b *Balancer) sendControl(datagram []byte, to netip.AddrPort) {
	_, _ = b.tunnel.WriteToUDPAddrPort(datagram, to)
}

// Drain announces to the fabric and the fleet that the balancer is leaving, and
// blocks for the configured linger time while forwarding continues.
func (b *Balancer) Drain() {
	b.draining.Store(true)
	b.Info("BalancerDraining", "Linger", time.Duration(b.cfg.Linger))
	b.Announce(func(m *membership.Member) { m.State = membership.Left })
	time.Sleep(time.Duration(b.cfg.Linger))
}

// Close stops the balancer without draining and waits for its goroutines.
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

// announce periodically tells the fabric whether this balancer accepts
// datagrams, and rebuilds the routing table.
func (b *Balancer) announce() {
	t := time.NewTicker(announceInterval)
	defer t.Stop()
	lastRebuild := time.Now()
	for {
		datagram := tunnel.Announcement(!b.draining.Load() && b.canRoute())
		_, _ = b.fabric[0].WriteToUDPAddrPort(datagram[:], b.cfg.FabricPeer)
		if time.Since(lastRebuild) > rebuildInterval {
			lastRebuild = time.Now()
			b.rebuild()
		}
		select {
		case <-b.done:
			return
		case <-t.C:
		}
	}
}

// canRoute reports whether the balancer has a keyring and a service address.
func (b *Balancer) canRoute() bool {
	t := b.table.Load()
	return t.Ring != nil && len(t.Addresses) > 0
}

func (b *Balancer) handleControl() {
	for {
		select {
		case <-b.done:
			return
		case d := <-b.controlQueue:
			b.HandleDatagram(d)
		}
	}
}

// rebuild builds a new routing table from the membership view and the
// catalogue. Unchanged services are reused.
func (b *Balancer) rebuild() {
	b.rebuildMu.Lock()
	defer b.rebuildMu.Unlock()
	t := &routing.Table{Ring: b.Ring(), Addresses: make(map[netip.AddrPort]*routing.Service)}
	now := b.Now()
	b.WithView(func(v *membership.View, c *catalogue.Catalogue) {
		for _, e := range c.All() {
			if e.Stored.Retired {
				continue
			}
			for _, s := range e.Stored.Contract.Services {
				svc := b.buildService(v, s.Number, v.IsConverging(now, s.Number))
				b.services[s.Number].setNewFlowLimit(now, e.Stored.Contract.Limits.NewFlowsPerSecond, len(v.Balancers())+1)
				for _, a := range s.Addresses {
					t.Addresses[a] = svc
				}
			}
		}
	})
	b.table.Store(t)
}

func (b *Balancer) buildService(v *membership.View, n contract.ServiceNumber, unsettled bool) *routing.Service {
	digest := v.GroupDigest(n)
	old, ok := b.services[n]
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
	b.services[n] = cachedService{svc, digest, limiter}
	return svc
}

func (b *Balancer) registerMetrics(m *metrics.Set) {
	for r := routing.ReasonNone + 1; r < routing.ReasonCount; r++ {
		m.Func("Datagrams"+r.String(), func() any { return b.DatagramCount(r) })
	}
	m.Func("Answers", func() any { return b.answersForwarded.Load() })
	m.Func("AnswersRefused", func() any { return b.datagramsRefused.Load() })
	b.Publish(m)
}

// DatagramCount returns the number of callers' datagrams whose routing decision
// had reason r.
func (b *Balancer) DatagramCount(r routing.Reason) int64 {
	sum := int64(0)
	for _, w := range b.workers {
		sum += w.reasonCounts[r].Load()
	}
	return sum
}

// CandidateCount returns the number of agents that can be given new flows of a
// service, 0 if the service is unknown.
func (b *Balancer) CandidateCount(customer contract.Customer, name contract.ServiceName) int {
	n := 0
	b.WithView(func(v *membership.View, c *catalogue.Catalogue) {
		if s, ok := c.FindService(customer, name); ok {
			n = len(v.Candidates(s.Number))
		}
	})
	return n
}
