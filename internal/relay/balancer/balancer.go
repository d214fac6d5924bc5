// Package balancer runs a balancer of relayed flows: the sockets, the store and
// the timers round package forwarding.
//
// # Usage
//
//	b, err := balancer.New(process.New(cfg), follow)
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
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/forwarding"
	"github.com/jaytack/jaytack/internal/relay/message"
	"github.com/jaytack/jaytack/internal/relay/process"
	"github.com/jaytack/jaytack/internal/relay/registry"
	"github.com/jaytack/jaytack/internal/relay/routes"
	"github.com/jaytack/jaytack/internal/relay/transport"
)

const (
	// configurationPath is where balancers fetch the configuration from each other.
	configurationPath = "/configuration"
	// maxPacket is the largest packet that is read.
	maxPacket = 2048
	// drainFor is how long a stopping balancer still forwards: the routers ask twice
	// a second and take it out after two refusals.
	drainFor = 2 * time.Second
)

// Balancer is a running balancer.
type Balancer struct {
	*process.Process
	callers  *net.UDPConn
	link     *transport.Link
	registry *registry.Registry
	follower *configsync.Follower
	done     chan struct{}

	mu   sync.Mutex
	core *forwarding.Core
	enc  process.Encoder
}

// New starts a balancer; follow says which configuration it follows.
func New(p *process.Process, follow configsync.Config) (*Balancer, error) {
	s := p.Settings
	callers, err := sockets.Listen(s.Callers)
	if err != nil {
		return nil, err
	}
	p.UseForCallers(callers)
	b := &Balancer{
		Process: p, callers: callers, done: make(chan struct{}),
		core: forwarding.New(forwarding.Config{Self: p.Self(), DataCentre: s.DataCentre, Incarnation: p.Incarnation(), Codec: p.Codec}),
	}
	// Messages may come before all parts are there.
	b.mu.Lock()
	defer b.mu.Unlock()
	b.link, err = transport.Listen(s.Instance, s.PeerPort, func(from flow.IP, e *message.Envelope) {
		b.with(func(c *forwarding.Core) { c.HandleMessage(b.Now(), from, e) })
	})
	if err != nil {
		return nil, err
	}
	follow.Apply = func(c *routes.Configuration, source string) {
		b.with(func(core *forwarding.Core) { core.ApplyConfiguration(b.Now(), c, source) })
	}
	follow.Watches = func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.core.ShouldWatchConfiguration(b.Now())
	}
	follow.Fetch = func(ctx context.Context, from netip.Addr) ([]byte, error) {
		return process.Fetch(ctx, netip.AddrPortFrom(from, s.PeerPort), configurationPath)
	}
	health := func(part string) func(bool) {
		return func(ok bool) {
			b.with(func(c *forwarding.Core) { c.SetStoreHealth(b.Now(), part, ok) })
		}
	}
	follow.Health = health("Follower")
	b.follower = configsync.New(follow, p.Store, p.Logger)
	b.registry = registry.New(registry.Config{
		Self: p.Self(), Record: b.record,
		Loaded: func(recs []*message.Record) {
			b.with(func(c *forwarding.Core) { c.ApplyStored(b.Now(), recs) })
		},
		Own: func(r *message.Record) {
			b.with(func(c *forwarding.Core) { c.RestoreOwnRecord(b.Now(), r) })
		},
		Health: health("Registry"),
	}, p.Store, p.Logger)
	go func() { b.readCallers() }()
	go func() { b.tick() }()
	b.publishMetrics()
	if err := p.Serve(netip.AddrPortFrom(s.Instance, s.PeerPort), b.peerHandler()); err != nil {
		return nil, err
	}
	if err := p.ServeMetrics(); err != nil {
		return nil, err
	}
	err = p.Serve(s.Ready, p.Ready(func() (bool, string) {
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

// peerHandler gives other balancers the configuration in force.
func (b *Balancer) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+configurationPath, func(w http.ResponseWriter, _ *http.Request) {
		v := b.follower.Value()
		if v == nil {
			http.Error(w, "no configuration", http.StatusNotFound)
			return
		}
		// A peer that is gone fetches from another.
		_, _ = w.Write(v)
	})
	return mux
}

func (b *Balancer) record() *message.Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.Record()
}

// with gives the core an input and does what it decides.
func (b *Balancer) with(f func(c *forwarding.Core)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f(b.core)
	actions, decisions := b.core.TakeOutput()
	for _, a := range actions {
		switch a.Kind {
		case action.Send:
			b.enc.Send(b.Process, b.link, a.To, a.Message)
		case action.Reply:
			b.Reply(a.Flow, a.Bytes)
		case action.Refresh:
			b.follower.Refresh(a.To.Addr())
		}
	}
	b.Log(decisions)
}

func (b *Balancer) readCallers() {
	buf := make([]byte, maxPacket)
	for {
		n, _, err := b.callers.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// An ICMP error of an earlier reply; the caller is gone.
			continue
		}
		b.with(func(c *forwarding.Core) { c.HandlePacket(b.Now(), buf[:n]) })
	}
}

func (b *Balancer) tick() {
	t := time.NewTicker(forwarding.TickInterval)
	defer t.Stop()
	for {
		select {
		case <-b.done:
			return
		case <-t.C:
			b.with(func(c *forwarding.Core) { c.Tick(b.Now()) })
		}
	}
}

func (b *Balancer) publishMetrics() {
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

// Drain tells the routers that the balancer stops and forwards until they have noticed.
func (b *Balancer) Drain() {
	b.with(func(c *forwarding.Core) { c.Stop(b.Now()) })
	time.Sleep(drainFor)
}

// Close ends the balancer.
func (b *Balancer) Close() {
	close(b.done)
	b.follower.Close()
	b.registry.Close()
	b.Process.Close()
	b.link.Close()
	_ = b.callers.Close()
	b.Info("Stopped")
}
