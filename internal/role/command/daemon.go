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

// settingsFlag is the flag for a role's settings file.
type settingsFlag struct {
	Settings string `required:"" type:"path" help:"The YAML settings file."`
}

// daemon is a running role.
type daemon interface {
	Drain()
	Close()
	Superseded() <-chan struct{}
}

// ErrSuperseded reports that another process has taken over this process's address.
var ErrSuperseded = eris.New("another process has taken over this process's address")

// runDaemon waits for a signal or until the role is superseded, then drains and
// closes it. A second signal ends the drain. It returns ErrSuperseded if the role
// was superseded.
func runDaemon(d daemon) error {
	ctx, cancel := signalContext()
	var err error
	select {
	case <-ctx.Done():
	case <-d.Superseded():
		err = ErrSuperseded
	}
	cancel()
	second, stop := signalContext()
	defer stop()
	drained := make(chan struct{})
	go func() {
		d.Drain()
		close(drained)
	}()
	select {
	case <-drained:
	case <-second.Done():
	}
	d.Close()
	return err
}

// roleDependencies are the parts that balancers and agents share.
type roleDependencies struct {
	identity *identity.Identity
	store    *store.Client
	logger   *eventlog.Logger
	metrics  *metrics.Set
}

// runRole creates a role's dependencies, serves its metrics, starts it, and runs it
// until it has drained.
func runRole(s *streams, f settings.Fleet, start func(deps roleDependencies) (daemon, error)) error {
	id, err := identity.Load(f.SystemKey)
	if err != nil {
		return err
	}
	deps := roleDependencies{id, store.New(f.Store, storeTimeout), newLogger(s, f.Common), metrics.New()}
	stop, err := metrics.Serve(f.Metrics, deps.metrics)
	if err != nil {
		return err
	}
	defer stop()
	d, err := start(deps)
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
	return runRole(s, cfg.Fleet, func(p roleDependencies) (daemon, error) {
		return balancer.New(cfg, p.identity, p.store, p.logger, p.metrics)
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
	return runRole(s, cfg.Fleet, func(p roleDependencies) (daemon, error) {
		return agent.New(cfg, cert, p.identity, p.store, p.logger, p.metrics)
	})
}

type standinCmd struct {
	Store    standinStoreCmd    `cmd:"" help:"Run the store stand-in."`
	Fabric   standinFabricCmd   `cmd:"" help:"Run the fabric stand-in."`
	Upstream standinUpstreamCmd `cmd:"" help:"Run an upstream stand-in."`
	Caller   standinCallerCmd   `cmd:"" help:"Run the caller stand-in."`
}

type standinStoreCmd struct {
	settingsFlag
}

// Run runs the store stand-in until a signal.
func (c *standinStoreCmd) Run(s *streams) error {
	cfg, err := settings.LoadStandinStore(c.Settings)
	if err != nil {
		return err
	}
	newLogger(s, cfg.Common).Info("StandinStoreStarted", "Listen", cfg.Listen)
	return serveUntilSignal(cfg.Listen, storage.New(time.Now).Handler())
}

type standinFabricCmd struct {
	settingsFlag
}

// Run runs the fabric stand-in until a signal.
func (c *standinFabricCmd) Run(s *streams) error {
	cfg, err := settings.LoadStandinFabric(c.Settings)
	if err != nil {
		return err
	}
	f, err := fabric.New(cfg, newLogger(s, cfg.Common))
	if err != nil {
		return err
	}
	defer f.Close()
	ctx, cancel := signalContext()
	defer cancel()
	<-ctx.Done()
	return nil
}

type standinUpstreamCmd struct {
	settingsFlag
}

// Run runs an upstream stand-in until a signal.
func (c *standinUpstreamCmd) Run(s *streams) error {
	cfg, err := settings.LoadStandinUpstream(c.Settings)
	if err != nil {
		return err
	}
	u := upstream.New(upstream.Config{Name: cfg.Name, Slots: cfg.Slots, Service: time.Duration(cfg.Service), Seed: cfg.Seed})
	newLogger(s, cfg.Common).Info("StandinUpstreamStarted", "Listen", cfg.Listen, "Name", cfg.Name)
	return serveUntilSignal(cfg.Listen, u.Handler())
}

type standinCallerCmd struct {
	settingsFlag
}

// Run runs the caller stand-in and prints its report as JSON.
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
		return contract.Problems{{File: c.Settings, Line: 1, Field: "Authority", Reason: "contains no PEM certificate"}}
	}
	ctx, cancel := signalContext()
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
	ctx, cancel := signalContext()
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
