// Package agent implements the agent role: an HTTP/3 reverse proxy in front of
// one upstream.
//
// An agent is the QUIC endpoint of callers' flows, admits and dispatches requests, and
// reports the outcome of each request. It announces the load of its upstream to the
// fleet.
//
// # Usage
//
//	a, err := agent.New(cfg, certificate, identity, store, logger, metrics)
//	defer a.Close()
//	a.Drain()
//
// # Files
//
// conn.go has the packet connection under QUIC, serve.go the HTTP/3 handlers,
// call.go calls and their replies, dispatch.go the choice between the local upstream
// and peers, scheduler.go the queue of the local upstream, hedge.go hedged calls,
// retrybudget.go the budgets for retries and hedges, upstream.go the upstream client,
// peer.go and peerserver.go the client and server of calls between agents, submit.go
// at-most-once submissions, leader.go the leader election for a service's idempotency
// keys, load.go the announced load and weight.
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

// Intervals, timeouts and limits of an agent.
const (
	loadInterval            = 500 * time.Millisecond
	routeSweepInterval      = 10 * time.Second
	idleTimeout             = 30 * time.Second
	keepAlivePeriod         = 10 * time.Second
	handshakeIdleTimeout    = 5 * time.Second
	crossDataCentreRTT      = 8 * time.Millisecond
	submissionCapacityBytes = 16 << 20
	maxBufferedBodyBytes    = 64 << 20
	limitHeadroom           = 1.25
	leaveGracePeriod        = 500 * time.Millisecond
)

// ErrStart is returned when an agent cannot start.
var ErrStart = eris.New("agent cannot start")

// policy is the part of the customer's contract that applies to the agent's service.
type policy struct {
	service  contract.Service
	limits   contract.Limits
	revision contract.Revision
}

// Agent is a running agent.
type Agent struct {
	*node.Node
	cfg               settings.Agent
	metrics           *metrics.Set
	tunnel            *tunnelConn
	upstream          *upstream
	scheduler         *scheduler
	peers             *peerGroup
	submissions       *submissions
	election          *leaderElection
	policy            atomic.Pointer[policy]
	requestLimiter    *rate.Limiter
	newFlowLimiter    *rate.Limiter
	openFlows         atomic.Int64
	openFeeds         atomic.Int64
	bufferedBodyBytes atomic.Int64
	draining          atomic.Bool
	startedAt         time.Time

	mu        sync.Mutex
	cert      tls.Certificate
	transport *quic.Transport
	server    *http3.Server
	announced announcedWeight

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New starts an agent that presents cert to callers.
func New(cfg settings.Agent, cert tls.Certificate, id *identity.Identity, st *store.Client, j *eventlog.Logger, m *metrics.Set) (*Agent, error) {
	ctx, cancel := context.WithCancel(context.Background())
	a := &Agent{
		cfg: cfg, cert: cert, metrics: m, ctx: ctx, cancel: cancel, startedAt: time.Now(),
		requestLimiter: rate.NewLimiter(rate.Inf, 1), newFlowLimiter: rate.NewLimiter(rate.Inf, 1),
	}
	udp, err := sockets.Listen(cfg.Tunnel)
	if err != nil {
		cancel()
		return nil, err
	}
	a.tunnel = newTunnelConn(a, udp)
	self := membership.Member{
		Address: cfg.Tunnel, Control: cfg.Control, Role: membership.Agent, DataCentre: cfg.DataCentre,
		Incarnation: connid.IncarnationAt(time.Now()), Sequence: 1, State: membership.Ready, Weight: placement.InitialWeight,
	}
	nodeCfg := gossip.Config{Self: self, Seeds: cfg.Seeds, Customer: cfg.Customer, Service: cfg.Service}
	a.Node, err = node.New(nodeCfg, id, st, j, a.tunnel.send)
	if err != nil {
		cancel()
		_ = udp.Close()
		return nil, err
	}
	a.upstream = newUpstream(cfg.Upstream, m)
	a.scheduler = newScheduler(a.Now)
	a.peers = newPeerGroup(a)
	a.submissions = newSubmissions(submissionCapacityBytes)
	a.election = newLeaderElection(a)
	if err := wire.DRPCRegisterPeer(a.Mux(), &peerServer{a: a}); err != nil {
		a.Close()
		return nil, eris.Wrap(ErrStart, err.Error())
	}
	a.OnChange = a.onChange
	a.publishMetrics()
	a.start()
	return a, nil
}

func (a *Agent) start() {
	a.spawn(a.tunnel.handleControl)
	a.spawn(a.tunnel.runEarlyReader)
	a.spawn(a.loadLoop)
	a.spawn(a.upstream.probeLoop(a.ctx))
	a.spawn(a.election.run)
	a.spawn(a.tickScheduler)
	a.Node.Start()
	a.Info("AgentStarted", "Customer", a.cfg.Customer, "ServiceName", a.cfg.Service, "Tunnel", a.cfg.Tunnel,
		"Control", a.cfg.Control, "Upstream", a.cfg.Upstream)
}

func (a *Agent) spawn(f func()) {
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
		f()
	}()
}

// onChange applies a change of the contract, the keyring or the membership view.
func (a *Agent) onChange() {
	a.updatePolicy()
	a.updatePeers()
	a.tunnel.setKeyring(a.Ring())
	a.serveWhenReady()
}

func (a *Agent) updatePolicy() {
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
		a.setRateLimits(p)
		return
	}
	a.policy.Store(p)
	if p == nil {
		return
	}
	a.setRateLimits(p)
	a.scheduler.reconfigure(p.service)
	a.Info("PolicyApplied", "Customer", a.cfg.Customer, "ServiceName", a.cfg.Service, "Revision", p.revision,
		"Slots", p.service.Slots, "Kinds", len(p.service.Kinds))
}

// setRateLimits sets this agent's share of the customer's rate limits: the limit
// divided by the number of the customer's agents, times limitHeadroom, but at least
// 1 per second.
func (a *Agent) setRateLimits(p *policy) {
	n := float64(a.CustomerAgents()) / limitHeadroom
	perAgent := func(r contract.Rate) (rate.Limit, int) {
		v := max(float64(r)/n, 1)
		return rate.Limit(v), int(v) + 1
	}
	limit, burst := perAgent(p.limits.RequestsPerSecond)
	a.requestLimiter.SetLimit(limit)
	a.requestLimiter.SetBurst(burst)
	limit, burst = perAgent(p.limits.NewFlowsPerSecond)
	a.newFlowLimiter.SetLimit(limit)
	a.newFlowLimiter.SetBurst(burst)
}

func (a *Agent) updatePeers() {
	self := a.Self()
	var group []membership.Member
	a.WithView(func(v *membership.View, _ *catalogue.Catalogue) {
		for _, m := range v.Group(self.Service) {
			if m.Role == membership.Agent && m.IsLive() && m.Address != self.Address {
				group = append(group, m)
			}
		}
	})
	a.peers.setMembers(group)
}

// serveWhenReady starts the HTTP/3 server once the agent has its contract, service
// number and keyring.
func (a *Agent) serveWhenReady() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.server != nil || a.policy.Load() == nil || a.Self().Service == 0 || !a.tunnel.hasKeyring() || a.ctx.Err() != nil {
		return
	}
	a.tunnel.stopEarlyReader()
	if err := a.listen(); err != nil {
		a.Error("ServeFailed", "Reason", err)
	}
}

func (a *Agent) listen() error {
	reset := quic.StatelessResetKey(a.Identity.Reset)
	token := quic.TokenGeneratorKey(a.Identity.Reset)
	a.transport = &quic.Transport{
		Conn: a.tunnel, ConnectionIDGenerator: a.tunnel, ConnectionIDLength: connid.Length,
		StatelessResetKey: &reset, TokenGeneratorKey: &token,
		VerifySourceAddress: a.tunnel.verifySource,
	}
	a.server = &http3.Server{Handler: http.HandlerFunc(a.serveHTTP), IdleTimeout: idleTimeout}
	tlsCfg := http3.ConfigureTLSConfig(&tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{a.cert}})
	cfg := &quic.Config{
		MaxIdleTimeout: idleTimeout, KeepAlivePeriod: keepAlivePeriod, HandshakeIdleTimeout: handshakeIdleTimeout,
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
	a.spawn(func() { a.acceptFlows(lis, srv) })
	a.Info("Serving", "Customer", a.cfg.Customer, "ServiceName", a.cfg.Service)
	return nil
}

// errFlowLimit rejects a new flow when the contract's limits are reached or the
// agent drains.
var errFlowLimit = eris.New("flow limit reached")

func (a *Agent) admitFlow() error {
	p := a.policy.Load()
	if p == nil || a.draining.Load() || a.openFlows.Load() >= int64(p.service.Flows) || !a.newFlowLimiter.Allow() {
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
		a.openFlows.Add(1)
		a.metrics.Add("FlowsAccepted", 1)
		a.spawn(func() {
			_ = srv.ServeQUICConn(c)
			<-c.Context().Done()
			a.openFlows.Add(-1)
		})
	}
}

// Drain stops accepting flows, waits for running requests and feeds within the drain
// timeouts, and announces that the agent has left. Calls after the first return at
// once.
func (a *Agent) Drain() {
	if a.draining.Swap(true) {
		return
	}
	a.Info("AgentDraining", "Flows", a.openFlows.Load(), "Feeds", a.openFeeds.Load())
	a.Announce(func(m *membership.Member) { m.State, m.Weight = membership.Draining, 0 })
	a.election.release()
	a.peers.sendLoad()
	a.drainFlows()
	a.peers.awaitInboundCalls(time.Duration(a.cfg.Drain))
	a.Announce(func(m *membership.Member) { m.State = membership.Left })
	time.Sleep(leaveGracePeriod)
	a.Info("AgentDrained", "Flows", a.openFlows.Load())
}

// drainFlows sends GOAWAY on every flow and waits until their requests and feeds have
// ended, for at most FeedDrain plus Drain.
func (a *Agent) drainFlows() {
	a.mu.Lock()
	srv := a.server
	a.mu.Unlock()
	if srv == nil {
		return
	}
	timeout := time.Duration(a.cfg.FeedDrain) + time.Duration(a.cfg.Drain)
	ctx, cancel := context.WithTimeout(a.ctx, timeout)
	defer cancel()
	a.spawn(func() { a.logOpenFeeds(ctx, time.Now().Add(timeout)) })
	if err := srv.Shutdown(ctx); err != nil {
		a.Warn("DrainCut", "Flows", a.openFlows.Load(), "Feeds", a.openFeeds.Load(), "Reason", err)
	}
}

// logOpenFeeds logs the number of feeds that a drain waits for, when it changes.
func (a *Agent) logOpenFeeds(ctx context.Context, until time.Time) {
	logged := int64(0)
	for ctx.Err() == nil {
		if n := a.openFeeds.Load(); n != logged {
			a.Info("FeedsOpen", "Feeds", n, "Until", until.UTC().Format(time.RFC3339))
			logged = n
		}
		time.Sleep(tickInterval)
	}
}

// Close stops the agent without draining.
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
	_ = a.tunnel.Close()
	a.Node.Close()
	a.wg.Wait()
	a.Info("AgentStopped")
}

func (a *Agent) publishMetrics() {
	m := a.metrics
	m.Func("Flows", func() any { return a.openFlows.Load() })
	m.Func("Feeds", func() any { return a.openFeeds.Load() })
	m.Func("Running", func() any { return a.scheduler.load().Running })
	m.Func("Waiting", func() any { return a.scheduler.load().Queued })
	m.Func("Doubled", func() any { return a.submissions.duplicateRuns() })
	m.Func("Routes", func() any { return a.tunnel.routeCount() })
	a.Publish(m)
}

// Serving reports whether the HTTP/3 server has started.
func (a *Agent) Serving() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.server != nil
}
