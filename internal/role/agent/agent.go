// Package agent is the role that stands beside each upstream.
//
// An agent terminates callers' flows, decides which requests run and where, and
// answers for the outcome of each. It announces its upstream to the fleet.
//
// # Usage
//
//	a, err := agent.New(cfg, certificate, identity, store, journal, metrics)
//	defer a.Close()
//	a.Drain()
//
// # Files
//
// conn.go holds the packet connection under QUIC, serve.go the HTTP/3 side,
// place.go the choice between own upstream and peers, upstream.go the run at the
// upstream, peer.go the calls between agents, submit.go submissions that run at
// most once, home.go the lease of a service's keys, load.go what is announced.
package agent

import (
	"context"
	"crypto/tls"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"github.com/jaytack/jaytack/internal/customer/catalogue"
	"github.com/jaytack/jaytack/internal/customer/contract"
	"github.com/jaytack/jaytack/internal/fleet/gossip"
	"github.com/jaytack/jaytack/internal/fleet/membership"
	"github.com/jaytack/jaytack/internal/fleet/node"
	"github.com/jaytack/jaytack/internal/fleet/wire"
	"github.com/jaytack/jaytack/internal/flow/connid"
	"github.com/jaytack/jaytack/internal/flow/placement"
	"github.com/jaytack/jaytack/internal/process/eventlog"
	"github.com/jaytack/jaytack/internal/process/identity"
	"github.com/jaytack/jaytack/internal/process/metrics"
	"github.com/jaytack/jaytack/internal/process/settings"
	"github.com/jaytack/jaytack/internal/process/sockets"
	"github.com/jaytack/jaytack/internal/process/store"
)

// Times and sizes of an agent.
const (
	loadEvery       = 500 * time.Millisecond
	sweepEvery      = 10 * time.Second
	idleTimeout     = 30 * time.Second
	keepAlive       = 10 * time.Second
	handshakeIdle   = 5 * time.Second
	peerDistance    = 8 * time.Millisecond
	ledgerBytes     = 16 << 20
	bodyBudgetBytes = 64 << 20
	limitSlack      = 1.25
	leaveLinger     = 500 * time.Millisecond
)

// ErrStart reports an agent that could not start.
var ErrStart = eris.New("agent cannot start")

// policy is what follows from the contract.
type policy struct {
	service  contract.Service
	limits   contract.Limits
	revision contract.Revision
}

// Agent is one running agent.
type Agent struct {
	*node.Node
	cfg       settings.Agent
	metrics   *metrics.Set
	conn      *flowConn
	upstream  *upstream
	scheduler *scheduler
	peers     *peers
	submits   *submissions
	home      *home
	policy    atomic.Pointer[policy]
	requests  *rate.Limiter
	newFlows  *rate.Limiter
	flows     atomic.Int64
	feeds     atomic.Int64
	bodies    atomic.Int64
	draining  atomic.Bool
	started   time.Time

	mu        sync.Mutex
	cert      tls.Certificate
	transport *quic.Transport
	server    *http3.Server
	weigher   weigher

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New starts an agent. Callers see the certificate.
func New(cfg settings.Agent, cert tls.Certificate, id *identity.Identity, st *store.Client, j *eventlog.Logger, m *metrics.Set) (*Agent, error) {
	ctx, cancel := context.WithCancel(context.Background())
	a := &Agent{
		cfg: cfg, cert: cert, metrics: m, ctx: ctx, cancel: cancel, started: time.Now(),
		requests: rate.NewLimiter(rate.Inf, 1), newFlows: rate.NewLimiter(rate.Inf, 1),
	}
	udp, err := sockets.Listen(cfg.Tunnel)
	if err != nil {
		cancel()
		return nil, err
	}
	a.conn = newFlowConn(a, udp)
	self := membership.Member{
		Address: cfg.Tunnel, Control: cfg.Control, Role: membership.Agent, DataCentre: cfg.DataCentre,
		Incarnation: connid.IncarnationAt(time.Now()), Sequence: 1, State: membership.Ready, Weight: placement.InitialWeight,
	}
	nodeCfg := gossip.Config{Self: self, Seeds: cfg.Seeds, Customer: cfg.Customer, Service: cfg.Service}
	a.Node, err = node.New(nodeCfg, id, st, j, a.conn.post)
	if err != nil {
		cancel()
		_ = udp.Close()
		return nil, err
	}
	a.upstream = newUpstream(cfg.Upstream, m)
	a.scheduler = newScheduler(a.Now)
	a.peers = newPeers(a)
	a.submits = newSubmissions(ledgerBytes)
	a.home = newHome(a)
	if err := wire.DRPCRegisterPeer(a.Mux(), &peerServer{a: a}); err != nil {
		a.Close()
		return nil, eris.Wrap(ErrStart, err.Error())
	}
	a.OnChange = a.onChange
	a.publish()
	a.start()
	return a, nil
}

func (a *Agent) start() {
	a.goes(a.conn.handleControl)
	a.goes(a.conn.readUntilServing)
	a.goes(a.loadLoop)
	a.goes(a.upstream.probe(a.ctx))
	a.goes(a.home.loop)
	a.goes(a.tickScheduler)
	a.Node.Start()
	a.Info("AgentStarted", "Customer", a.cfg.Customer, "ServiceName", a.cfg.Service, "Tunnel", a.cfg.Tunnel,
		"Control", a.cfg.Control, "Upstream", a.cfg.Upstream)
}

func (a *Agent) goes(f func()) {
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
		f()
	}()
}

// onChange takes in a change of the contract, the keyring or the view.
func (a *Agent) onChange() {
	a.takeContract()
	a.takeGroup()
	a.conn.setRing(a.Ring())
	a.serveWhenReady()
}

func (a *Agent) takeContract() {
	var p *policy
	a.WithView(func(_ *membership.View, c *catalogue.Catalogue) {
		e, ok := c.Get(a.cfg.Customer)
		if !ok || e.Stored.Retired {
			return
		}
		if s, ok := e.Stored.Contract.Service(a.cfg.Service); ok {
			p = &policy{s, e.Stored.Contract.Limits, e.Revision}
		}
	})
	old := a.policy.Load()
	if p != nil && old != nil && old.revision == p.revision {
		a.setLimits(p)
		return
	}
	a.policy.Store(p)
	if p == nil {
		return
	}
	a.setLimits(p)
	a.scheduler.reconfigure(p.service)
	a.Info("PolicyApplied", "Customer", a.cfg.Customer, "ServiceName", a.cfg.Service, "Revision", p.revision,
		"Slots", p.service.Slots, "Kinds", len(p.service.Kinds))
}

// setLimits gives this agent its part of the customer's limits.
func (a *Agent) setLimits(p *policy) {
	n := float64(a.CustomerAgents()) / limitSlack
	perAgent := func(r contract.Rate) (rate.Limit, int) {
		v := max(float64(r)/n, 1)
		return rate.Limit(v), int(v) + 1
	}
	limit, burst := perAgent(p.limits.RequestsPerSecond)
	a.requests.SetLimit(limit)
	a.requests.SetBurst(burst)
	limit, burst = perAgent(p.limits.NewFlowsPerSecond)
	a.newFlows.SetLimit(limit)
	a.newFlows.SetBurst(burst)
}

func (a *Agent) takeGroup() {
	self := a.Self()
	var group []membership.Member
	a.WithView(func(v *membership.View, _ *catalogue.Catalogue) {
		for _, m := range v.Group(self.Service) {
			if m.Role == membership.Agent && m.IsLive() && m.Address != self.Address {
				group = append(group, m)
			}
		}
	})
	a.peers.set(group)
}

// serveWhenReady starts the HTTP/3 server once service and keyring are known.
func (a *Agent) serveWhenReady() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.server != nil || a.policy.Load() == nil || a.Self().Service == 0 || !a.conn.hasRing() || a.ctx.Err() != nil {
		return
	}
	a.conn.stopReading()
	if err := a.listen(); err != nil {
		a.Error("ServeFailed", "Reason", err)
	}
}

func (a *Agent) listen() error {
	reset := quic.StatelessResetKey(a.Identity.Reset)
	token := quic.TokenGeneratorKey(a.Identity.Reset)
	a.transport = &quic.Transport{
		Conn: a.conn, ConnectionIDGenerator: a.conn, ConnectionIDLength: connid.Length,
		StatelessResetKey: &reset, TokenGeneratorKey: &token,
		VerifySourceAddress: a.conn.verifySource,
	}
	a.server = &http3.Server{Handler: http.HandlerFunc(a.serveHTTP), IdleTimeout: idleTimeout}
	tlsCfg := http3.ConfigureTLSConfig(&tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{a.cert}})
	cfg := &quic.Config{
		MaxIdleTimeout: idleTimeout, KeepAlivePeriod: keepAlive, HandshakeIdleTimeout: handshakeIdle,
		DisablePathMTUDiscovery: true,
	}
	cfg.GetConfigForClient = func(*quic.ClientInfo) (*quic.Config, error) {
		if err := a.admitFlow(); err != nil {
			return nil, err
		}
		return cfg, nil
	}
	lis, err := a.transport.ListenEarly(tlsCfg, cfg)
	if err != nil {
		return eris.Wrap(ErrStart, err.Error())
	}
	srv := a.server
	a.goes(func() { a.acceptFlows(lis, srv) })
	a.Info("Serving", "Customer", a.cfg.Customer, "ServiceName", a.cfg.Service)
	return nil
}

// errFlowLimit refuses a flow beyond the contract's limits.
var errFlowLimit = eris.New("flow limit reached")

func (a *Agent) admitFlow() error {
	p := a.policy.Load()
	if p == nil || a.draining.Load() || a.flows.Load() >= int64(p.service.Flows) || !a.newFlows.Allow() {
		a.metrics.Add("FlowsRefused", 1)
		return errFlowLimit
	}
	return nil
}

func (a *Agent) acceptFlows(lis *quic.EarlyListener, srv *http3.Server) {
	for {
		c, err := lis.Accept(a.ctx)
		if err != nil {
			return
		}
		a.flows.Add(1)
		a.metrics.Add("FlowsAccepted", 1)
		a.goes(func() {
			_ = srv.ServeQUICConn(c)
			<-c.Context().Done()
			a.flows.Add(-1)
		})
	}
}

// Drain stops taking new work, finishes what is in progress, and returns.
func (a *Agent) Drain() {
	if a.draining.Swap(true) {
		return
	}
	a.Info("AgentDraining", "Flows", a.flows.Load(), "Feeds", a.feeds.Load())
	a.Announce(func(m *membership.Member) { m.State, m.Weight = membership.Draining, 0 })
	a.home.release()
	a.peers.tell()
	a.finishFlows()
	a.peers.awaitServed(time.Duration(a.cfg.Drain))
	a.Announce(func(m *membership.Member) { m.State = membership.Left })
	time.Sleep(leaveLinger)
	a.Info("AgentDrained", "Flows", a.flows.Load())
}

// finishFlows sends GOAWAY on every flow and waits for what runs on it: requests
// up to their deadlines, feeds up to FeedDrain.
func (a *Agent) finishFlows() {
	a.mu.Lock()
	srv := a.server
	a.mu.Unlock()
	if srv == nil {
		return
	}
	limit := time.Duration(a.cfg.FeedDrain) + time.Duration(a.cfg.Drain)
	ctx, cancel := context.WithTimeout(a.ctx, limit)
	defer cancel()
	a.goes(func() { a.logFeeds(ctx, time.Now().Add(limit)) })
	if err := srv.Shutdown(ctx); err != nil {
		a.Warn("DrainCut", "Flows", a.flows.Load(), "Feeds", a.feeds.Load(), "Reason", err)
	}
}

// logFeeds tells the operator for how many feeds a drain still waits.
func (a *Agent) logFeeds(ctx context.Context, until time.Time) {
	logged := int64(0)
	for ctx.Err() == nil {
		if n := a.feeds.Load(); n != logged {
			a.Info("FeedsOpen", "Feeds", n, "Until", until.UTC().Format(time.RFC3339))
			logged = n
		}
		time.Sleep(tickEvery)
	}
}

// Close ends the agent at once.
func (a *Agent) Close() {
	a.cancel()
	a.mu.Lock()
	srv, tr := a.server, a.transport
	a.mu.Unlock()
	if srv != nil {
		_ = srv.Close()
	}
	if tr != nil {
		_ = tr.Close()
	}
	_ = a.conn.Close()
	a.Node.Close()
	a.wg.Wait()
	a.Info("AgentStopped")
}

func (a *Agent) publish() {
	m := a.metrics
	m.Func("Flows", func() any { return a.flows.Load() })
	m.Func("Feeds", func() any { return a.feeds.Load() })
	m.Func("Running", func() any { return a.scheduler.load().Running })
	m.Func("Waiting", func() any { return a.scheduler.load().Queued })
	m.Func("Doubled", func() any { return a.submits.doubled() })
	m.Func("Routes", func() any { return a.conn.routes() })
	a.Publish(m)
}

// Serving reports whether the agent takes flows.
func (a *Agent) Serving() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.server != nil
}
