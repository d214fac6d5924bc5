// Package fleet runs balancers, agents and stand-ins in one process on loopback.
//
// The demo, the bench and tests use it. Each fleet has its own network 127.N.0.0/16, fixed
// or from package loopback, so several fleets can run at the same time.
//
// # Usage
//
//	f, err := fleet.New(fleet.Config{Network: 20, Balancers: 3, Contracts: contracts, Seed: 1}, logger)
//	defer f.Close()
//	err = f.AwaitReady(10 * time.Second)
package fleet

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jaytack/jaytack/internal/customer/contract"
	"github.com/jaytack/jaytack/internal/process/eventlog"
	"github.com/jaytack/jaytack/internal/process/identity"
	"github.com/jaytack/jaytack/internal/process/settings"
	"github.com/jaytack/jaytack/internal/process/store"
	"github.com/jaytack/jaytack/internal/role/balancer"
	"github.com/jaytack/jaytack/internal/role/operator"
	"github.com/jaytack/jaytack/internal/standin/fabric"
	"github.com/jaytack/jaytack/internal/standin/loopback"
	"github.com/jaytack/jaytack/internal/standin/storage"
)

// Ports on each loopback address.
const (
	tunnelPort   = 7100
	controlPort  = 7200
	fabricPort   = 7000
	upstreamPort = 8080
	storePort    = 2379
)

const (
	storeTimeout      = time.Second
	readyPollInterval = 20 * time.Millisecond
	serverName        = "demo.jaytack.example"
)

// ErrNotReady is returned if the fleet is not ready before the timeout.
var ErrNotReady = eris.New("fleet is not ready")

// Config configures a fleet.
type Config struct {
	Network   loopback.Network
	Balancers int
	Contracts []contract.Contract
	// Targets is the number of upstreams per service.
	Targets map[contract.ServiceName]int
	// ServiceTime is the mean service time of the upstreams.
	ServiceTime time.Duration
	// Linger is how long a draining balancer keeps forwarding.
	Linger time.Duration
	Seed   uint64
	// CallerDelay is the time from callers to balancers, one way.
	CallerDelay time.Duration
}

// Fleet is a set of balancers, targets and stand-ins in one process.
type Fleet struct {
	*eventlog.Logger
	cfg      Config
	Identity *identity.Identity
	Store    *storage.Store
	Fabric   *fabric.Fabric
	Operator *operator.Operator
	// Client is the operator's client of the store.
	Client *store.Client
	TLS    *tls.Config

	mu          sync.Mutex
	Balancers   []*balancer.Balancer
	Targets     []*Target
	cert        tls.Certificate
	storeServer *http.Server
	lastID      int
}

// New starts stand-ins and balancers, creates the contracts, and starts the targets.
func New(cfg Config, j *eventlog.Logger) (*Fleet, error) {
	f := &Fleet{Logger: j, cfg: cfg, Store: storage.New(time.Now)}
	if err := f.start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() error {
	if err := f.makeKeys(); err != nil {
		return err
	}
	var err error
	if f.storeServer, err = serveHTTP(f.storeAddress(), f.Store.Handler()); err != nil {
		return err
	}
	f.Client = store.New([]netip.AddrPort{f.storeAddress()}, storeTimeout)
	f.Operator = operator.New(f.Client, f.Identity)
	f.Fabric, err = fabric.New(settings.StandinFabric{
		Listen: f.fabricAddress(), Addresses: f.serviceAddresses(), Seed: f.cfg.Seed, Delay: contract.Duration(f.cfg.CallerDelay),
	}, f.With("Role", "Fabric"))
	if err != nil {
		return err
	}
	for range f.cfg.Balancers {
		if _, err := f.AddBalancer(); err != nil {
			return err
		}
	}
	for i := range f.cfg.Contracts {
		c := f.relocate(f.cfg.Contracts[i])
		f.cfg.Contracts[i] = c
		if _, err := f.Operator.Create(context.Background(), c); err != nil {
			return err
		}
	}
	return f.startTargets()
}

func (f *Fleet) startTargets() error {
	for _, c := range f.cfg.Contracts {
		for _, s := range c.Services {
			for range f.cfg.Targets[s.Name] {
				if _, err := f.AddTarget(c, s.Name); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func (f *Fleet) makeKeys() error {
	secret := make([]byte, identity.SecretLength)
	_, _ = rand.Read(secret)
	var err error
	if f.Identity, err = identity.New(secret); err != nil {
		return err
	}
	if f.cert, err = identity.IssueCertificate(nil, nil, serverName, time.Now()); err != nil {
		return err
	}
	root, err := x509.ParseCertificate(f.cert.Certificate[0])
	if err != nil {
		return eris.Wrap(err, "certificate")
	}
	pool := x509.NewCertPool()
	pool.AddCert(root)
	f.TLS = &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool, ServerName: serverName}
	return nil
}

func (f *Fleet) addrPort(third, fourth byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(f.cfg.Network.Addr(third, fourth), port)
}

func (f *Fleet) storeAddress() netip.AddrPort  { return f.addrPort(0, 1, storePort) }
func (f *Fleet) fabricAddress() netip.AddrPort { return f.addrPort(0, 2, fabricPort) }

// relocate moves a contract's addresses into the fleet's network.
func (f *Fleet) relocate(c contract.Contract) contract.Contract {
	services := make([]contract.Service, len(c.Services))
	for i, s := range c.Services {
		addresses := make([]netip.AddrPort, len(s.Addresses))
		for k, a := range s.Addresses {
			ip := a.Addr().As4()
			addresses[k] = f.addrPort(ip[2], ip[3], a.Port())
		}
		s.Addresses = addresses
		services[i] = s
	}
	c.Services = services
	return c
}

func (f *Fleet) serviceAddresses() []netip.AddrPort {
	var out []netip.AddrPort
	for _, c := range f.cfg.Contracts {
		for _, s := range f.relocate(c).Services {
			out = append(out, s.Addresses...)
		}
	}
	return out
}

// Address returns the first address of a service.
func (f *Fleet) Address(name contract.ServiceName) netip.AddrPort {
	for _, c := range f.cfg.Contracts {
		if s, ok := c.Service(name); ok {
			return s.Addresses[0]
		}
	}
	return netip.AddrPort{}
}

// Contract returns the contract of a customer with its addresses in the fleet's network.
func (f *Fleet) Contract(name contract.Customer) contract.Contract {
	for _, c := range f.cfg.Contracts {
		if c.Customer == name {
			return c
		}
	}
	return contract.Contract{}
}

// AwaitReady waits until every balancer routes to every target, or returns ErrNotReady.
func (f *Fleet) AwaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for !f.ready() {
		if time.Now().After(deadline) {
			return ErrNotReady
		}
		time.Sleep(readyPollInterval)
	}
	return nil
}

func (f *Fleet) ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.Fabric.Balancers()) < len(f.Balancers) {
		return false
	}
	expected := make(map[contract.ServiceName]int)
	for _, t := range f.Targets {
		expected[t.Service]++
		if !t.Agent.Serving() {
			return false
		}
	}
	for _, b := range f.Balancers {
		for _, c := range f.cfg.Contracts {
			for _, s := range c.Services {
				if b.CandidateCount(c.Customer, s.Name) < expected[s.Name] {
					return false
				}
			}
		}
	}
	return true
}

// Runs returns the number of runs of each submission at all upstreams.
func (f *Fleet) Runs() map[string]int {
	out := make(map[string]int)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.Targets {
		for id, n := range t.Upstream.Runs() {
			out[id] += n
		}
	}
	return out
}

// Close stops all agents, balancers and stand-ins.
func (f *Fleet) Close() {
	f.mu.Lock()
	targets, balancers := f.Targets, f.Balancers
	f.mu.Unlock()
	var wg sync.WaitGroup
	for _, t := range targets {
		wg.Add(1)
		go func() {
			defer wg.Done()
			t.Agent.Close()
			_ = t.server.Close()
		}()
	}
	wg.Wait()
	for _, b := range balancers {
		b.Close()
	}
	if f.Fabric != nil {
		f.Fabric.Close()
	}
	if f.storeServer != nil {
		_ = f.storeServer.Close()
	}
	if f.Client != nil {
		f.Client.Close()
	}
}

func serveHTTP(a netip.AddrPort, h http.Handler) (*http.Server, error) {
	lis, err := net.Listen("tcp", a.String())
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: storeTimeout}
	go func() { _ = srv.Serve(lis) }()
	return srv, nil
}
