// Package agent runs an agent of relayed flows: the sockets, the store and the
// timers round package serving.
//
// # Usage
//
//	a, err := agent.New(process.New(cfg), control)
//	a.Wait(ctx)
//	a.Drain()
//	a.Close()
package agent

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jaytack/jaytack/internal/process/sockets"
	"github.com/jaytack/jaytack/internal/relay/action"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/message"
	"github.com/jaytack/jaytack/internal/relay/process"
	"github.com/jaytack/jaytack/internal/relay/registry"
	"github.com/jaytack/jaytack/internal/relay/serving"
	"github.com/jaytack/jaytack/internal/relay/transport"
)

const (
	// maxPacket is the largest packet that is read.
	maxPacket = 2048
	// drainFor is how long a stopping agent still serves while new flows go
	// elsewhere: some times as long as a usual request takes.
	drainFor = 400 * time.Millisecond
)

// Events is what an upstream's calls lead to. All fields are set.
type Events struct {
	Heartbeat  func(h serving.Heartbeat)
	Leave      func(upstream string)
	Unreadable func(upstream string, err error)
}

// Agent is a running agent.
type Agent struct {
	*process.Process
	outbound *net.UDPConn
	link     *transport.Link
	registry *registry.Registry
	done     chan struct{}

	mu    sync.Mutex
	core  *serving.Core
	enc   process.Encoder
	state message.State
}

// New starts an agent; control handles the upstream's calls.
func New(p *process.Process, control func(Events) http.Handler) (*Agent, error) {
	s := p.Settings
	outbound, err := sockets.Listen(s.Outbound)
	if err != nil {
		return nil, err
	}
	p.UseForCallers(outbound)
	a := &Agent{
		Process: p, outbound: outbound, done: make(chan struct{}),
		core: serving.New(serving.Config{
			Self: p.Self(), Service: s.Service, DataCentre: s.DataCentre, Incarnation: p.Incarnation(), Codec: p.Codec,
			Started: p.Now(), HeartbeatEvery: s.HeartbeatEvery,
		}),
	}
	// Messages may come before all parts are there.
	a.mu.Lock()
	defer a.mu.Unlock()
	a.link, err = transport.Listen(s.Instance, s.PeerPort, func(from flow.IP, e *message.Envelope) {
		a.with(func(c *serving.Core) { c.HandleMessage(a.Now(), from, e) })
	})
	if err != nil {
		return nil, err
	}
	a.registry = registry.New(registry.Config{
		Self: p.Self(), Record: a.record,
		Loaded: func(recs []*message.Record) {
			a.with(func(c *serving.Core) { c.ApplyStored(a.Now(), recs) })
		},
		Own: func(r *message.Record) {
			a.with(func(c *serving.Core) { c.RestoreOwnRecord(a.Now(), r) })
		},
		// An agent serves without the store; its log tells.
		Health: func(bool) {},
	}, p.Store, p.Logger)
	go func() { a.readUpstream() }()
	go func() { a.tick() }()
	a.publishMetrics()
	if err := p.ServeMetrics(); err != nil {
		return nil, err
	}
	if err := p.Serve(s.Control, control(a.events())); err != nil {
		return nil, err
	}
	if err := p.Serve(s.Ready, p.Ready(func() (bool, string) { return true, "" })); err != nil {
		return nil, err
	}
	a.Info("Started", "Role", "Agent", "Name", s.Name, "Instance", s.Instance, "DataCentre", s.DataCentre, "Service", s.Service,
		"Incarnation", p.Incarnation())
	return a, nil
}

func (a *Agent) events() Events {
	return Events{
		Heartbeat: func(h serving.Heartbeat) {
			a.with(func(c *serving.Core) { c.HandleHeartbeat(a.Now(), h) })
		},
		Leave: func(upstream string) {
			a.with(func(c *serving.Core) { c.HandleLeave(a.Now(), upstream) })
		},
		Unreadable: func(upstream string, err error) {
			a.Decision("HeartbeatUnreadable", "Upstream", upstream, "Reason", err)
		},
	}
}

func (a *Agent) record() *message.Record {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.core.Record(a.Now())
}

// with gives the core an input and does what it decides.
func (a *Agent) with(f func(c *serving.Core)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f(a.core)
	actions, decisions := a.core.TakeOutput()
	for _, x := range actions {
		switch x.Kind {
		case action.Send:
			a.enc.Send(a.Process, a.link, x.To, x.Message)
		case action.Deliver:
			a.deliver(x.Bytes)
		case action.Reply:
			a.Reply(x.Flow, x.Bytes)
		}
	}
	a.Log(decisions)
	if s := a.core.State(); s != a.state {
		before := a.state
		a.state = s
		a.registry.Publish(before, s)
	}
}

func (a *Agent) deliver(packet []byte) {
	if _, err := a.outbound.WriteToUDPAddrPort(packet, a.Settings.Upstream); err != nil {
		a.Metrics.Counter("DeliveriesUnsent").Add(1)
	}
}

func (a *Agent) readUpstream() {
	buf := make([]byte, maxPacket)
	for {
		n, _, err := a.outbound.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// An ICMP error of an earlier delivery; the upstream is found silent by the core.
			continue
		}
		a.with(func(c *serving.Core) { c.HandleUpstreamPacket(a.Now(), buf[:n]) })
	}
}

func (a *Agent) tick() {
	t := time.NewTicker(serving.TickInterval)
	defer t.Stop()
	for {
		select {
		case <-a.done:
			return
		case <-t.C:
			a.with(func(c *serving.Core) { c.Tick(a.Now()) })
		}
	}
}

func (a *Agent) publishMetrics() {
	answers, waits := a.Metrics.Histogram("RequestTime"), a.Metrics.Histogram("WaitForUpstream")
	a.core.SetOnAnswer(answers.Record)
	a.core.OnWait = waits.Record
	a.Metrics.Func("Serving", func() any {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.core.Counts
	})
	a.Metrics.Func("Tables", func() any {
		a.mu.Lock()
		defer a.mu.Unlock()
		flows, busy, owners, searches := a.core.Sizes()
		return map[string]any{"State": a.core.State().String(), "Flows": flows, "Busy": busy, "Owners": owners, "Searches": searches}
	})
}

// Drain has new flows go elsewhere and serves until requests in progress are done.
func (a *Agent) Drain() {
	serves := false
	a.with(func(c *serving.Core) {
		c.Stop(a.Now())
		serves = c.State() == message.State_StateRestarting
	})
	if serves {
		time.Sleep(drainFor)
	}
}

// Close ends the agent.
func (a *Agent) Close() {
	close(a.done)
	a.registry.Close()
	a.Process.Close()
	a.link.Close()
	_ = a.outbound.Close()
	a.Info("Stopped")
}
