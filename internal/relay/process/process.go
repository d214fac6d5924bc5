// Package process is what balancers and agents of relayed flows have in common.
//
// # Usage
//
//	p, err := process.New(cfg, settings.PeerPort, record)
//	defer p.Close()
//	err = p.Serve(settings.Ready, handler)
package process

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/process/eventlog"
	"github.com/jaytack/jaytack/internal/process/metrics"
	"github.com/jaytack/jaytack/internal/process/store"
	"github.com/jaytack/jaytack/internal/relay/action"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/message"
	"github.com/jaytack/jaytack/internal/relay/settings"
	"github.com/jaytack/jaytack/internal/relay/transport"
)

// StoreTimeout bounds a call of the store, which answers in milliseconds; a call
// that takes longer is tried again on another connection.
const StoreTimeout = 400 * time.Millisecond

// ErrListen reports an address that cannot be used.
var ErrListen = eris.New("cannot listen")

// headerTimeout bounds how long a client may take for its request's header.
const headerTimeout = 2 * time.Second

// Config is what a process is made of.
type Config struct {
	Settings settings.Settings
	Codec    flow.Codec
	// Gateway is how the platform's store is spoken to.
	Gateway store.Gateway
	Journal *eventlog.Logger
	Metrics *metrics.Set
	// MetricsPort is where metrics are served, nowhere if 0.
	MetricsPort uint16
	// Reload reads the settings anew.
	Reload func() (settings.Settings, error)
	// Ready handles the question whether the process can route.
	Ready func(ready func() (ok bool, reason string)) http.Handler
}

// Process is the sockets, the store and the clock of one process.
type Process struct {
	Config
	*eventlog.Logger
	Store *store.Client

	notable *eventlog.Logger
	start   time.Time
	servers []*http.Server
	callers *net.UDPConn
	port    uint16

	stopMetrics  func()
	stop, hangUp chan os.Signal
}

// New returns a process without sockets.
func New(cfg Config) *Process {
	p := &Process{
		stop: make(chan os.Signal, 1), hangUp: make(chan os.Signal, 1),
		Config: cfg, Logger: cfg.Journal, notable: cfg.Journal.With(), start: time.Now(), stopMetrics: func() {}, port: cfg.Settings.Callers.Port(),
		Store: store.NewWithGateway(cfg.Gateway, []netip.AddrPort{cfg.Settings.Store}, StoreTimeout),
	}
	// Signals are taken from the start on: SIGHUP would end the process otherwise.
	signal.Notify(p.stop, syscall.SIGTERM, os.Interrupt)
	signal.Notify(p.hangUp, syscall.SIGHUP)
	return p
}

// Self returns the instance.
func (p *Process) Self() flow.IP { return flow.IPOf(p.Settings.Instance) }

// Incarnation returns a number that is higher for a later process of the instance,
// as far as the clock allows.
func (p *Process) Incarnation() uint64 { return uint64(p.start.UnixMilli()) }

// Now returns the steady time since the start, which is never 0.
func (p *Process) Now() instant.Instant { return instant.Instant(time.Since(p.start) + 1) }

// UseForCallers sends packets to callers through a socket.
func (p *Process) UseForCallers(c *net.UDPConn) { p.callers = c }

// Reply sends a packet to the caller of a flow.
func (p *Process) Reply(id flow.ID, packet []byte) {
	to := netip.AddrPortFrom(id.Caller.IP.Addr(), p.port)
	if _, err := p.callers.WriteToUDPAddrPort(packet, to); err != nil {
		p.Metrics.Counter("RepliesUnsent").Add(1)
	}
}

// Serve serves HTTP at an address until Close.
func (p *Process) Serve(a netip.AddrPort, h http.Handler) error {
	lis, err := net.Listen("tcp4", a.String())
	if err != nil {
		return eris.Wrap(ErrListen, err.Error())
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	p.servers = append(p.servers, srv)
	go func() { _ = srv.Serve(lis) }()
	return nil
}

// ErrFetch reports a peer that did not give what it was asked for.
var ErrFetch = eris.New("peer did not answer")

// maxFetched bounds what is fetched from a peer: the most that the store holds.
const maxFetched = 1 << 20

// Fetch gets a path from a peer over HTTP, within StoreTimeout.
func Fetch(ctx context.Context, peer netip.AddrPort, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, StoreTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer.String()+path, nil)
	if err != nil {
		return nil, eris.Wrap(ErrFetch, err.Error())
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, eris.Wrap(ErrFetch, err.Error())
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(res.Body, maxFetched))
	if err != nil || res.StatusCode != http.StatusOK {
		return nil, eris.Wrapf(ErrFetch, "status %d, %v", res.StatusCode, err)
	}
	return b, nil
}

// ServeMetrics serves the metrics and notes what all processes count.
func (p *Process) ServeMetrics() error {
	p.Metrics.Func("Store", func() any {
		c := &p.Store.Calls
		return map[string]int64{
			"Reads": c.Reads.Load(), "Writes": c.Writes.Load(), "Renewals": c.Renewals.Load(),
			"Watches": c.Watches.Load(), "Failed": c.Failed.Load(),
		}
	})
	if p.MetricsPort == 0 {
		return nil
	}
	stop, err := metrics.Serve(netip.AddrPortFrom(p.Settings.Instance, p.MetricsPort), p.Metrics)
	if err != nil {
		return err
	}
	p.stopMetrics = stop
	return nil
}

// Close ends the servers.
func (p *Process) Close() {
	p.stopMetrics()
	for _, s := range p.servers {
		_ = s.Close()
	}
	p.Store.Close()
}

// Wait returns at SIGTERM or SIGINT. At SIGHUP it reads the settings anew; a
// changed address takes effect with the next process.
func (p *Process) Wait(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-p.stop:
			p.Info("Stopping", "Signal", s)
			return
		case <-p.hangUp:
			p.reload()
		}
	}
}

func (p *Process) reload() {
	s, err := p.Reload()
	if err != nil {
		p.Error("SettingsKept", "Reason", err)
		return
	}
	p.Info("SettingsReloaded", "Changed", s != p.Settings)
}

// Log writes what a core decided. Notable decisions have a limit of their own, so
// that routine ones cannot displace them.
func (p *Process) Log(decisions []action.LogEntry) {
	for _, d := range decisions {
		switch d.Class {
		case action.StateChange:
			p.Info(d.Event, d.Pairs...)
		case action.Notable:
			p.notable.Decision(d.Event, d.Pairs...)
		default:
			p.Decision(d.Event, d.Pairs...)
		}
	}
}

// Encoder encodes messages once for several receivers.
type Encoder struct {
	last  *message.Envelope
	bytes []byte
}

// Send sends a message through a link.
func (e *Encoder) Send(p *Process, l *transport.Link, to flow.IP, m *message.Envelope) {
	if e.last != m {
		b, err := transport.Encode(m)
		if err != nil {
			p.Error("MessageUnsent", "To", to, "Reason", err)
			return
		}
		e.last, e.bytes = m, b
	}
	l.Send(to, e.bytes)
}
