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
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/process/journal"
	"github.com/jaytack/jaytack/internal/process/metrics"
	"github.com/jaytack/jaytack/internal/process/store"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/link"
	"github.com/jaytack/jaytack/internal/relay/message"
	"github.com/jaytack/jaytack/internal/relay/settings"
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
	Journal *journal.Journal
	Metrics *metrics.Set
	// Reload reads the settings anew.
	Reload func() (settings.Settings, error)
	// Ready handles the question whether the process can route.
	Ready func(ready func() (ok bool, reason string)) http.Handler
}

// Process is the sockets, the store and the clock of one process.
type Process struct {
	Config
	*journal.Journal
	Store *store.Client

	start   time.Time
	servers []*http.Server
	callers *net.UDPConn
	port    uint16
}

// New returns a process without sockets.
func New(cfg Config) *Process {
	return &Process{
		Config: cfg, Journal: cfg.Journal, start: time.Now(), port: cfg.Settings.Callers.Port(),
		Store: store.NewWith(cfg.Gateway, []netip.AddrPort{cfg.Settings.Store}, StoreTimeout),
	}
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
		p.Metrics.Count("RepliesUnsent").Add(1)
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

// Close ends the servers.
func (p *Process) Close() {
	for _, s := range p.servers {
		_ = s.Close()
	}
	p.Store.Close()
}

// Wait returns at SIGTERM or SIGINT. At SIGHUP it reads the settings anew; a
// changed address takes effect with the next process.
func (p *Process) Wait(ctx context.Context) {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-stop:
			p.Info("Stopping", "Signal", s)
			return
		case <-reload:
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

// Encoder encodes messages once for several receivers.
type Encoder struct {
	last  *message.Envelope
	bytes []byte
}

// Send sends a message through a link.
func (e *Encoder) Send(p *Process, l *link.Link, to flow.IP, m *message.Envelope) {
	if e.last != m {
		b, err := link.Encode(m)
		if err != nil {
			p.Error("MessageUnsent", "To", to, "Reason", err)
			return
		}
		e.last, e.bytes = m, b
	}
	l.Send(to, e.bytes)
}
