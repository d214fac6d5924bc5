// Package process holds what balancer and agent processes share: the store client,
// the HTTP servers, signal handling, logging and metrics.
//
// # Usage
//
//	p := process.New(cfg)
//	defer p.Close()
//	err := p.Serve(settings.Ready, handler)
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

const (
	// StoreTimeout bounds a call to the store, which usually answers in milliseconds; a
	// call that takes longer is retried on another connection.
	StoreTimeout = 400 * time.Millisecond
	// fetchTimeout bounds a fetch from a peer, which takes long if one of the two
	// processes is short of processor time.
	fetchTimeout = 1200 * time.Millisecond
)

// ErrListen reports an address that the process cannot listen on.
var ErrListen = eris.New("cannot listen")

// readHeaderTimeout bounds how long a client may take to send its request header.
const readHeaderTimeout = 2 * time.Second

// Config holds the settings and dependencies of a process.
type Config struct {
	Settings settings.Settings
	Codec    flow.Codec
	// Gateway implements the protocol of the platform's store.
	Gateway store.Gateway
	Logger  *eventlog.Logger
	Metrics *metrics.Set
	// MetricsPort is the port that serves the metrics; 0 disables it.
	MetricsPort uint16
	// Reload reads the settings again.
	Reload func() (settings.Settings, error)
	// ReadyHandler returns the handler of readiness probes; ready reports whether the
	// process can route, and why not.
	ReadyHandler func(ready func() (ok bool, reason string)) http.Handler
}

// Process holds the servers, the store client, the signals and the clock of one
// process.
type Process struct {
	Config
	*eventlog.Logger
	Store *store.Client

	notableLogger *eventlog.Logger
	startTime     time.Time
	servers       []*http.Server
	callerConn    *net.UDPConn
	callerPort    uint16

	stopMetrics                func()
	stopSignals, hangupSignals chan os.Signal
}

// New returns a process that has no open sockets and handles signals.
func New(cfg Config) *Process {
	p := &Process{
		stopSignals: make(chan os.Signal, 1), hangupSignals: make(chan os.Signal, 1),
		Config: cfg, Logger: cfg.Logger, notableLogger: cfg.Logger.With(), startTime: time.Now(), stopMetrics: func() {}, callerPort: cfg.Settings.Callers.Port(),
		Store: store.NewWithGateway(cfg.Gateway, []netip.AddrPort{cfg.Settings.Store}, StoreTimeout),
	}
	// Signals are handled from the start: an unhandled SIGHUP would end the process.
	signal.Notify(p.stopSignals, syscall.SIGTERM, os.Interrupt)
	signal.Notify(p.hangupSignals, syscall.SIGHUP)
	return p
}

// Self returns the instance's address.
func (p *Process) Self() flow.IP { return flow.IPOf(p.Settings.Instance) }

// StartedMillis returns the start time in Unix milliseconds.
func (p *Process) StartedMillis() int64 { return p.startTime.UnixMilli() }

// Incarnation returns the start time in Unix milliseconds, which is higher for each
// later process of the instance unless the clock is set back.
func (p *Process) Incarnation() uint64 { return uint64(p.startTime.UnixMilli()) }

// Now returns the monotonic time since the start, which is never 0.
func (p *Process) Now() instant.Instant { return instant.Instant(time.Since(p.startTime) + 1) }

// SetCallerConn sets the socket for packets to callers.
func (p *Process) SetCallerConn(conn *net.UDPConn) { p.callerConn = conn }

// Reply sends a packet to the caller of a flow.
func (p *Process) Reply(id flow.ID, packet []byte) {
	to := netip.AddrPortFrom(id.Caller.IP.Addr(), p.callerPort)
	if _, err := p.callerConn.WriteToUDPAddrPort(packet, to); err != nil {
		p.Metrics.Counter("RepliesUnsent").Add(1)
	}
}

// Serve serves HTTP at an address until Close. It fails with ErrListen.
func (p *Process) Serve(address netip.AddrPort, handler http.Handler) error {
	lis, err := net.Listen("tcp4", address.String())
	if err != nil {
		return eris.Wrap(ErrListen, err.Error())
	}
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	p.servers = append(p.servers, srv)
	go func() { _ = srv.Serve(lis) }()
	return nil
}

// ErrFetch reports an HTTP request to a peer that failed.
var ErrFetch = eris.New("peer did not answer")

// maxFetchBytes bounds a response of a peer: the store holds no larger value.
const maxFetchBytes = 1 << 20

// Fetch gets a path from a peer over HTTP within fetchTimeout. It fails with ErrFetch.
func Fetch(ctx context.Context, peer netip.AddrPort, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
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
	b, err := io.ReadAll(io.LimitReader(res.Body, maxFetchBytes))
	if err != nil || res.StatusCode != http.StatusOK {
		return nil, eris.Wrapf(ErrFetch, "status %d, %v", res.StatusCode, err)
	}
	return b, nil
}

// ServeMetrics registers the metrics of the store client and serves all metrics.
func (p *Process) ServeMetrics() error {
	p.Metrics.Func("Store", func() any {
		calls := &p.Store.Calls
		return map[string]int64{
			"Reads": calls.Reads.Load(), "Writes": calls.Writes.Load(), "Renewals": calls.Renewals.Load(),
			"Watches": calls.Watches.Load(), "Failed": calls.Failed.Load(),
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

// Close stops the servers and closes the store client.
func (p *Process) Close() {
	p.stopMetrics()
	for _, s := range p.servers {
		_ = s.Close()
	}
	p.Store.Close()
}

// Wait returns at SIGTERM or SIGINT or when ctx is done. At SIGHUP it reads the
// settings and logs whether they changed; changes take effect after a restart.
func (p *Process) Wait(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-p.stopSignals:
			p.Info("Stopping", "Signal", s)
			return
		case <-p.hangupSignals:
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

// Log writes a core's log entries. Notable entries have their own rate limit, so that
// routine ones cannot displace them.
func (p *Process) Log(entries []action.LogEntry) {
	for _, e := range entries {
		switch e.Class {
		case action.StateChange:
			p.Info(e.Event, e.Pairs...)
		case action.Notable:
			p.notableLogger.Decision(e.Event, e.Pairs...)
		default:
			p.Decision(e.Event, e.Pairs...)
		}
	}
}

// Sender sends messages. A message sent to several receivers in succession is encoded
// only once.
type Sender struct {
	lastMessage *message.Envelope
	datagram    []byte
}

// Send sends a message through conn.
func (s *Sender) Send(p *Process, conn *transport.Conn, to flow.IP, m *message.Envelope) {
	if s.lastMessage != m {
		b, err := transport.Encode(m)
		if err != nil {
			p.Error("MessageUnsent", "To", to, "Reason", err)
			return
		}
		s.lastMessage, s.datagram = m, b
	}
	conn.Send(to, s.datagram)
}
