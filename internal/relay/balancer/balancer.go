// Package balancer runs a balancer: it connects the core of package forwarding to
// sockets, the store and timers.
//
// # Usage
//
//	b, err := balancer.New(process.New(cfg), syncConfig)
//	b.Wait(ctx)
//	b.Drain()
//	b.Close()
package balancer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/jaytack/jaytack/internal/process/sockets"
	"github.com/jaytack/jaytack/internal/relay/action"
	"github.com/jaytack/jaytack/internal/relay/configsync"
	"github.com/jaytack/jaytack/internal/relay/evacuation"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/forwarding"
	"github.com/jaytack/jaytack/internal/relay/message"
	"github.com/jaytack/jaytack/internal/relay/process"
	"github.com/jaytack/jaytack/internal/relay/registry"
	"github.com/jaytack/jaytack/internal/relay/routes"
	"github.com/jaytack/jaytack/internal/relay/transport"
)

const (
	// configurationPath is the HTTP path of the configuration on other balancers.
	// Balancers of earlier versions ask for the operators' text at "/configuration"; they read
	// the store instead.
	configurationPath = "/encoded-configuration"
	// maxPacketSize is the size of the receive buffer in bytes.
	maxPacketSize = 2048
	// drainDelay is how long a stopping balancer keeps forwarding: the routers probe
	// it twice a second and remove it after two negative answers.
	drainDelay = 2 * time.Second
)

// Balancer is a running balancer.
type Balancer struct {
	*process.Process
	callerConn *net.UDPConn
	peerConn   *transport.Conn
	registry   *registry.Registry
	syncer     *configsync.Syncer
	history    *configsync.HistorySyncer
	done       chan struct{}

	mu     sync.Mutex
	core   *forwarding.Core
	sender process.Sender
}

// New starts a balancer. syncConfig holds the keys and decoders of the configuration and of
// evacuations; New sets the other fields.
func New(p *process.Process, syncConfig configsync.Config) (*Balancer, error) {
	s := p.Settings
	callerConn, err := sockets.Listen(s.Callers)
	if err != nil {
		return nil, err
	}
	p.SetCallerConn(callerConn)
	b := &Balancer{
		Process: p, callerConn: callerConn, done: make(chan struct{}),
		core: forwarding.New(forwarding.Config{Self: p.Self(), DataCentre: s.DataCentre, Incarnation: p.Incarnation(), Codec: p.Codec, FlowLifetime: s.FlowLifetime, Evacuations: s.EvacuateWithin > 0}),
	}
	// The lock holds back messages that arrive before the balancer is complete.
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peerConn, err = transport.Listen(s.Instance, s.PeerPort, func(from flow.IP, e *message.Envelope) {
		b.update(func(c *forwarding.Core) { c.HandleMessage(b.Now(), from, e) })
	})
	if err != nil {
		return nil, err
	}
	syncConfig.Apply = func(c *routes.Configuration, source string) {
		b.update(func(core *forwarding.Core) { core.ApplyConfiguration(b.Now(), c, source) })
	}
	b.configureEvacuations(&syncConfig)
	syncConfig.ShouldWatch = func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.core.ShouldWatchConfiguration(b.Now())
	}
	syncConfig.FetchFromPeer = func(ctx context.Context, from netip.Addr) ([]byte, error) {
		return process.Fetch(ctx, netip.AddrPortFrom(from, s.PeerPort), configurationPath)
	}
	syncConfig.Transfer = configsync.Transfer()
	syncConfig.MaySkipRead = func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		_, known := b.core.EvacuationSet()
		return s.EvacuateWithin <= 0 || known
	}
	syncConfig.OnConfirm = func(age time.Duration) {
		b.update(func(c *forwarding.Core) { c.ConfirmVersion(b.Now(), age) })
	}
	onStoreHealth := func(component string) func(bool) {
		return func(ok bool) {
			b.update(func(c *forwarding.Core) { c.SetStoreHealth(b.Now(), component, ok) })
		}
	}
	syncConfig.OnStoreHealth = onStoreHealth("Follower")
	b.syncer = configsync.New(syncConfig, p.Store, p.Logger)
	b.history = configsync.NewHistory(configsync.HistoryConfig{
		OnStored: func(h []routes.History) {
			b.update(func(c *forwarding.Core) { c.ApplyHistory(b.Now(), h) })
		},
		Wanted: func() bool {
			b.mu.Lock()
			defer b.mu.Unlock()
			return b.core.Routes.Version() != 0
		},
		Due: func() ([]routes.History, bool) {
			b.mu.Lock()
			defer b.mu.Unlock()
			return b.core.HistoryToStore(b.Now())
		},
	}, p.Store, p.Logger)
	b.registry = registry.New(registry.Config{
		Self: p.Self(), Record: b.record,
		OnRead: func(recs []*message.Record) {
			b.update(func(c *forwarding.Core) { c.ApplyStored(b.Now(), recs) })
		},
		OnAnswer: func() {
			b.update(func(c *forwarding.Core) { c.Members.RecordStoreAnswer(b.Now()) })
		},
		OnOwnRecord: func(r *message.Record, current bool) {
			b.update(func(c *forwarding.Core) { c.RestoreOwnRecord(b.Now(), r, current) })
		},
		Checkpoint:    func() *message.Checkpoint { return nil },
		OnCheckpoint:  func(*message.Checkpoint) {},
		OnStoreHealth: onStoreHealth("Registry"),
	}, p.Store, p.Logger)
	go func() { b.readCallers() }()
	go func() { b.runTicker() }()
	b.registerMetrics()
	if err := p.Serve(netip.AddrPortFrom(s.Instance, s.PeerPort), b.peerHandler()); err != nil {
		return nil, err
	}
	if err := p.ServeMetrics(); err != nil {
		return nil, err
	}
	err = p.Serve(s.Ready, p.ReadyHandler(func() (bool, string) {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.core.Ready(b.Now())
	}))
	if err != nil {
		return nil, err
	}
	b.Info("Started", "Role", "Balancer", "Name", s.Name, "Instance", s.Instance, "DataCentre", s.DataCentre, "Incarnation", p.Incarnation())
	return b, nil
}

// configureEvacuations removes the evacuations from the configuration of the syncer if the
// deployment has none, and sets their callbacks otherwise.
func (b *Balancer) configureEvacuations(syncConfig *configsync.Config) {
	s := b.Settings
	if s.EvacuateWithin <= 0 || syncConfig.Evacuations == nil {
		syncConfig.Evacuations = nil
		return
	}
	cfg := *syncConfig.Evacuations
	cfg.IsDataCentre = func(name string) bool { return s.DataCentres == "" || s.DataCentres.Contains(name) }
	cfg.Apply = func(set evacuation.Set, source string) {
		b.update(func(c *forwarding.Core) { c.ApplyEvacuations(b.Now(), set, source) })
	}
	syncConfig.Evacuations = &cfg
	b.Metrics.Func("Evacuations", func() any {
		b.mu.Lock()
		defer b.mu.Unlock()
		set, known := b.core.EvacuationSet()
		return map[string]any{"Known": known, "DataCentres": set.Names(), "Era": set.Era, "Revision": set.Revision}
	})
}

// peerHandler serves the latest configuration to other balancers.
func (b *Balancer) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+configurationPath, func(w http.ResponseWriter, _ *http.Request) {
		v := b.syncer.Value()
		if v == nil {
			http.Error(w, "no configuration", http.StatusNotFound)
			return
		}
		// After a failed write the peer fetches from another balancer.
		_, _ = w.Write(v)
	})
	return mux
}

func (b *Balancer) record() *message.Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.Record()
}

// update calls f with the locked core, then performs the resulting actions and
// writes the resulting log entries.
func (b *Balancer) update(f func(c *forwarding.Core)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f(b.core)
	actions, entries := b.core.TakeOutput()
	for _, next := range actions {
		switch next.Kind {
		case action.Send:
			b.sender.Send(b.Process, b.peerConn, next.To, next.Message)
		case action.Reply:
			b.Reply(next.Flow, next.Bytes)
		case action.Refresh:
			b.syncer.Refresh(next.To.Addr(), next.Version)
		}
	}
	b.Log(entries)
}

func (b *Balancer) readCallers() {
	buf := make([]byte, maxPacketSize)
	for {
		n, _, err := b.callerConn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// An ICMP error for an earlier reply; the caller is gone.
			continue
		}
		b.update(func(c *forwarding.Core) { c.HandlePacket(b.Now(), buf[:n]) })
	}
}

func (b *Balancer) runTicker() {
	t := time.NewTicker(forwarding.TickInterval)
	defer t.Stop()
	for {
		select {
		case <-b.done:
			return
		case <-t.C:
			b.update(func(c *forwarding.Core) { c.Tick(b.Now()) })
		}
	}
}

func (b *Balancer) registerMetrics() {
	b.Metrics.Func("Members", func() any {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.core.Members.Summary(b.Now())
	})
	b.Metrics.Func("Forwarding", func() any {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.core.Counts
	})
	b.Metrics.Func("Version", func() any {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.core.Routes.Version()
	})
	b.Metrics.Func("Hints", func() any {
		b.mu.Lock()
		defer b.mu.Unlock()
		n, _ := b.core.Sizes()
		return n
	})
}

// Drain makes the readiness probes fail and forwards until the routers have removed
// the balancer.
func (b *Balancer) Drain() {
	b.update(func(c *forwarding.Core) { c.Stop(b.Now()) })
	time.Sleep(drainDelay)
}

// Close stops the balancer.
func (b *Balancer) Close() {
	close(b.done)
	b.syncer.Close()
	b.history.Close()
	b.registry.Close()
	b.Process.Close()
	b.peerConn.Close()
	_ = b.callerConn.Close()
	b.Info("Stopped")
}
