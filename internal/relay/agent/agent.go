// Package agent runs the agent beside an upstream: it connects the core of package
// serving to sockets, the store and timers.
//
// # Usage
//
//	a, err := agent.New(process.New(cfg), newControlHandler)
//	a.Wait(ctx)
//	a.Drain()
//	a.Close()
package agent

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
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
	// maxPacketSize is the size of the receive buffer in bytes.
	maxPacketSize = 2048
	// drainDelay is how long a stopping agent keeps serving after new flows go to
	// other agents: several times the duration of a usual request.
	drainDelay = 400 * time.Millisecond
)

// Events holds the callbacks for an upstream's control calls. All fields are set.
type Events struct {
	Heartbeat  func(h serving.Heartbeat) (accepted bool)
	Leave      func(upstream string)
	Unreadable func(upstream string, err error)
}

// Agent is a running agent.
type Agent struct {
	*process.Process
	upstreamConn *net.UDPConn
	peerConn     *transport.Conn
	registry     *registry.Registry
	done         chan struct{}

	mu             sync.Mutex
	core           *serving.Core
	sender         process.Sender
	publishedState message.State
}

// New starts an agent; newControlHandler returns the handler of the upstream's
// control calls.
func New(p *process.Process, newControlHandler func(Events) http.Handler) (*Agent, error) {
	s := p.Settings
	upstreamConn, err := sockets.Listen(s.Outbound)
	if err != nil {
		return nil, err
	}
	p.SetCallerConn(upstreamConn)
	a := &Agent{
		Process: p, upstreamConn: upstreamConn, done: make(chan struct{}),
		core: serving.New(serving.Config{
			Self: p.Self(), Service: s.Service, DataCentre: s.DataCentre, Incarnation: p.Incarnation(), Codec: p.Codec, Upstream: s.Upstream,
			Started: p.Now(), StartedMillis: p.StartedMillis(), HeartbeatEvery: s.HeartbeatEvery, FlowLifetime: s.FlowLifetime,
			WarmUp: s.WarmUp, CrossDataCentreCost: s.CrossDataCentreCost, EjectFailing: s.EjectFailing,
		}),
	}
	// The lock holds back messages that arrive before the agent is complete.
	a.mu.Lock()
	defer a.mu.Unlock()
	a.peerConn, err = transport.Listen(s.Instance, s.PeerPort, func(from flow.IP, e *message.Envelope) {
		a.update(func(c *serving.Core) { c.HandleMessage(a.Now(), from, e) })
	})
	if err != nil {
		return nil, err
	}
	a.registry = registry.New(registry.Config{
		Self: p.Self(), Record: a.record,
		OnRead: func(recs []*message.Record) {
			a.update(func(c *serving.Core) { c.ApplyStored(a.Now(), recs) })
		},
		OnAnswer: func() {
			a.update(func(c *serving.Core) { c.Members.RecordStoreAnswer(a.Now()) })
		},
		OnOwnRecord: func(r *message.Record, current bool) {
			a.update(func(c *serving.Core) { c.RestoreOwnRecord(a.Now(), r, current) })
		},
		Checkpoint: func() *message.Checkpoint {
			a.mu.Lock()
			defer a.mu.Unlock()
			return a.core.Checkpoint()
		},
		OnCheckpoint: func(cp *message.Checkpoint) {
			a.update(func(c *serving.Core) { c.RestoreCheckpoint(cp) })
		},
		// An agent keeps serving without the store; the registry logs the outage.
		OnStoreHealth: func(bool) {},
	}, p.Store, p.Logger)
	go func() { a.readUpstream() }()
	go func() { a.runTicker() }()
	go func() { a.checkListening() }()
	a.registerMetrics()
	if err := p.ServeMetrics(); err != nil {
		return nil, err
	}
	if err := p.Serve(s.Control, newControlHandler(a.events())); err != nil {
		return nil, err
	}
	if err := p.Serve(s.Ready, p.ReadyHandler(func() (bool, string) { return true, "" })); err != nil {
		return nil, err
	}
	a.Info("Started", "Role", "Agent", "Name", s.Name, "Instance", s.Instance, "DataCentre", s.DataCentre, "Service", s.Service,
		"Incarnation", p.Incarnation())
	return a, nil
}

func (a *Agent) events() Events {
	return Events{
		Heartbeat: func(h serving.Heartbeat) (accepted bool) {
			a.update(func(c *serving.Core) { accepted = c.HandleHeartbeat(a.Now(), h) })
			return accepted
		},
		Leave: func(upstream string) {
			a.update(func(c *serving.Core) { c.HandleLeave(a.Now(), upstream) })
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

// update calls f with the locked core, then performs the resulting actions and
// writes the resulting log entries.
func (a *Agent) update(f func(c *serving.Core)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f(a.core)
	actions, entries := a.core.TakeOutput()
	for _, next := range actions {
		switch next.Kind {
		case action.Send:
			a.sender.Send(a.Process, a.peerConn, next.To, next.Message)
		case action.Deliver:
			a.deliver(next.Bytes)
		case action.Reply:
			a.Reply(next.Flow, next.Bytes)
		}
	}
	a.Log(entries)
	if a.core.TakeMembersWanted() {
		a.registry.ReadSoon()
	}
	if state := a.core.State(); state != a.publishedState {
		previous := a.publishedState
		a.publishedState = state
		a.registry.Publish(previous, state)
	}
}

func (a *Agent) deliver(packet []byte) {
	if _, err := a.upstreamConn.WriteToUDPAddrPort(packet, a.Settings.Upstream); err != nil {
		a.Metrics.Counter("DeliveriesUnsent").Add(1)
	}
}

func (a *Agent) readUpstream() {
	buf := make([]byte, maxPacketSize)
	for {
		n, _, err := a.upstreamConn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// An ICMP error for an earlier delivery; the core detects a silent upstream.
			continue
		}
		a.update(func(c *serving.Core) { c.HandleUpstreamPacket(a.Now(), buf[:n]) })
	}
}

func (a *Agent) runTicker() {
	t := time.NewTicker(serving.TickInterval)
	defer t.Stop()
	for {
		select {
		case <-a.done:
			return
		case <-t.C:
			a.update(func(c *serving.Core) { c.Tick(a.Now()) })
		}
	}
}

// checkListening connects to the upstream while the core needs to know whether it listens.
func (a *Agent) checkListening() {
	t := time.NewTicker(serving.ListenCheckInterval)
	defer t.Stop()
	for ; ; <-t.C {
		select {
		case <-a.done:
			return
		default:
		}
		a.checkListeningOnce()
	}
}

// checkListeningOnce connects to the upstream if the core needs to know whether it listens.
func (a *Agent) checkListeningOnce() {
	a.mu.Lock()
	needed := a.core.NeedsListenCheck()
	a.mu.Unlock()
	if !needed {
		return
	}
	conn, err := net.DialTimeout("tcp4", a.Settings.Upstream.String(), serving.ListenCheckInterval)
	if err == nil {
		_ = conn.Close()
	}
	refused := errors.Is(err, syscall.ECONNREFUSED)
	a.update(func(c *serving.Core) { c.HandleListenCheck(a.Now(), refused) })
}

func (a *Agent) registerMetrics() {
	requestTimes, waitTimes := a.Metrics.Histogram("RequestTime"), a.Metrics.Histogram("WaitForUpstream")
	a.core.SetOnAnswer(requestTimes.Record)
	a.core.OnWait, a.core.OnHeld = waitTimes.Record, a.Metrics.Histogram("WaitOnOpenFlow").Record
	a.Metrics.Func("Members", func() any {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.core.Members.Summary(a.Now())
	})
	a.Metrics.Func("Serving", func() any {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.core.Counts
	})
	if a.Settings.EvacuateWithin > 0 {
		a.Metrics.Func("Evacuations", func() any {
			a.mu.Lock()
			defer a.mu.Unlock()
			set, known := a.core.EvacuationSet()
			return map[string]any{"Known": known, "DataCentres": set.Names(), "Era": set.Era, "Revision": set.Revision}
		})
	}
	a.Metrics.Func("Locality", func() any {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.core.Locality(a.Now())
	})
	a.Metrics.Func("Speed", func() any {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.core.Speed(a.Now())
	})
	a.Metrics.Func("Tables", func() any {
		a.mu.Lock()
		defer a.mu.Unlock()
		flows, busy, owners, searches := a.core.Sizes()
		return map[string]any{"State": a.core.State().String(), "Ejection": a.core.EjectionState(a.Now()).String(), "Flows": flows, "Busy": busy, "Owners": owners, "Searches": searches, "FlowsLeft": a.core.FlowsLeft(a.Now())}
	})
}

// Drain announces the stop, so that new flows go to other agents, and serves
// requests in progress for drainDelay unless the upstream is gone.
func (a *Agent) Drain() {
	// An upstream that has just left must not seem to go on running.
	a.checkListeningOnce()
	restarting := false
	a.update(func(c *serving.Core) {
		c.Stop(a.Now())
		restarting = c.State() == message.State_StateRestarting
	})
	if restarting {
		time.Sleep(drainDelay)
	}
}

// Close stops the agent.
func (a *Agent) Close() {
	close(a.done)
	a.registry.Close()
	a.Process.Close()
	a.peerConn.Close()
	_ = a.upstreamConn.Close()
	a.Info("Stopped")
}
