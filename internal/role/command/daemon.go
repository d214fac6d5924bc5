package command

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jaytack/jaytack/internal/customer/contract"
	"github.com/jaytack/jaytack/internal/process/eventlog"
	"github.com/jaytack/jaytack/internal/process/identity"
	"github.com/jaytack/jaytack/internal/process/metrics"
	"github.com/jaytack/jaytack/internal/process/settings"
	"github.com/jaytack/jaytack/internal/process/store"
	"github.com/jaytack/jaytack/internal/role/agent"
	"github.com/jaytack/jaytack/internal/role/balancer"
	"github.com/jaytack/jaytack/internal/standin/caller"
	"github.com/jaytack/jaytack/internal/standin/fabric"
	"github.com/jaytack/jaytack/internal/standin/storage"
	"github.com/jaytack/jaytack/internal/standin/upstream"
)

const storeTimeout = time.Second

// settingsFlag names the settings file of a role.
type settingsFlag struct {
	Settings string `required:"" type:"path" help:"The YAML settings file."`
}

// daemon is a running role.
type daemon interface {
	Drain()
	Close()
	Superseded() <-chan struct{}
}

// ErrSuperseded reports a process whose address another process has taken.
var ErrSuperseded = eris.New("another process has taken this one's address")

// runDaemon runs a role until a signal or until it is superseded, then drains
// it; a second signal ends it.
func runDaemon(d daemon) error {
	ctx, cancel := interrupted()
	var err error
	select {
	case <-ctx.Done():
	case <-d.Superseded():
		err = ErrSuperseded
	}
	cancel()
	again, stop := interrupted()
	defer stop()
	drained := make(chan struct{})
	go func() {
		d.Drain()
		close(drained)
	}()
	select {
	case <-drained:
	case <-again.Done():
	}
	d.Close()
	return err
}

// fleetParts is what every balancer and agent is made of.
type fleetParts struct {
	identity *identity.Identity
	store    *store.Client
	journal  *eventlog.Logger
	metrics  *metrics.Set
}

// runRole opens what a role needs, starts it, and runs it until it has drained.
func runRole(s *streams, f settings.Fleet, start func(p fleetParts) (daemon, error)) error {
	id, err := identity.Load(f.SystemKey)
	if err != nil {
		return err
	}
	p := fleetParts{id, store.New(f.Store, storeTimeout), newJournal(s, f.Common), metrics.New()}
	stop, err := metrics.Serve(f.Metrics, p.metrics)
	if err != nil {
		return err
	}
	defer stop()
	d, err := start(p)
	if err != nil {
		return err
	}
	return runDaemon(d)
}

type balancerCmd struct {
	settingsFlag
}

// Run runs a balancer.
func (c *balancerCmd) Run(s *streams) error {
	cfg, err := settings.LoadBalancer(c.Settings)
	if err != nil {
		return err
	}
	return runRole(s, cfg.Fleet, func(p fleetParts) (daemon, error) {
		return balancer.New(cfg, p.identity, p.store, p.journal, p.metrics)
	})
}

type agentCmd struct {
	settingsFlag
}

// Run runs an agent.
func (c *agentCmd) Run(s *streams) error {
	cfg, err := settings.LoadAgent(c.Settings)
	if err != nil {
		return err
	}
	cert, err := tls.LoadX509KeyPair(cfg.Certificate, cfg.PrivateKey)
	if err != nil {
		return eris.Wrap(err, "certificate")
	}
	return runRole(s, cfg.Fleet, func(p fleetParts) (daemon, error) {
		return agent.New(cfg, cert, p.identity, p.store, p.journal, p.metrics)
	})
}

type standinCmd struct {
	Store    standinStoreCmd    `cmd:"" help:"Run the store's stand-in."`
	Fabric   standinFabricCmd   `cmd:"" help:"Run the fabric's stand-in."`
	Upstream standinUpstreamCmd `cmd:"" help:"Run an upstream's stand-in."`
	Caller   standinCallerCmd   `cmd:"" help:"Run the callers' stand-in."`
}

type standinStoreCmd struct {
	settingsFlag
}

// Run runs the store's stand-in until a signal.
func (c *standinStoreCmd) Run(s *streams) error {
	cfg, err := settings.LoadStandinStore(c.Settings)
	if err != nil {
		return err
	}
	newJournal(s, cfg.Common).Info("StandinStoreStarted", "Listen", cfg.Listen)
	return serveUntilSignal(cfg.Listen, storage.New(time.Now).Handler())
}

type standinFabricCmd struct {
	settingsFlag
}

// Run runs the fabric's stand-in until a signal.
func (c *standinFabricCmd) Run(s *streams) error {
	cfg, err := settings.LoadStandinFabric(c.Settings)
	if err != nil {
		return err
	}
	f, err := fabric.New(cfg, newJournal(s, cfg.Common))
	if err != nil {
		return err
	}
	defer f.Close()
	ctx, cancel := interrupted()
	defer cancel()
	<-ctx.Done()
	return nil
}

type standinUpstreamCmd struct {
	settingsFlag
}

// Run runs an upstream's stand-in until a signal.
func (c *standinUpstreamCmd) Run(s *streams) error {
	cfg, err := settings.LoadStandinUpstream(c.Settings)
	if err != nil {
		return err
	}
	u := upstream.New(upstream.Config{Name: cfg.Name, Slots: cfg.Slots, Service: time.Duration(cfg.Service), Seed: cfg.Seed})
	newJournal(s, cfg.Common).Info("StandinUpstreamStarted", "Listen", cfg.Listen, "Name", cfg.Name)
	return serveUntilSignal(cfg.Listen, u.Handler())
}

type standinCallerCmd struct {
	settingsFlag
}

// Run runs the callers' stand-in and prints its report as JSON.
func (c *standinCallerCmd) Run(s *streams) error {
	cfg, err := settings.LoadStandinCaller(c.Settings)
	if err != nil {
		return err
	}
	pem, err := os.ReadFile(cfg.Authority)
	if err != nil {
		return eris.Wrap(err, "authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return contract.Problems{{File: c.Settings, Line: 1, Field: "Authority", Reason: "holds no certificate"}}
	}
	ctx, cancel := interrupted()
	defer cancel()
	ctx, stop := context.WithTimeout(ctx, time.Duration(cfg.For))
	defer stop()
	tlsCfg := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool, ServerName: cfg.ServerName}
	return json.NewEncoder(s.out).Encode(caller.New(cfg.Loads, tlsCfg).Run(ctx))
}

func serveUntilSignal(a netip.AddrPort, h http.Handler) error {
	lis, err := net.Listen("tcp", a.String())
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: storeTimeout}
	ctx, cancel := interrupted()
	defer cancel()
	go func() {
		<-ctx.Done()
		_ = srv.Close()
	}()
	if err := srv.Serve(lis); err != nil && ctx.Err() == nil {
		return eris.Wrap(err, "serve")
	}
	return nil
}
