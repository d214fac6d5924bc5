package agent

import (
	"time"

	"github.com/jaytack/jaytack/internal/fleet/membership"
	"github.com/jaytack/jaytack/internal/flow/placement"
)

// weightEvery is the least time between two announced weights.
const weightEvery = 2 * time.Second

// weigher decides the weight that an agent announces.
type weigher struct {
	announced placement.Weight
	at        time.Time
}

func (a *Agent) loadLoop() {
	t := time.NewTicker(loadEvery)
	defer t.Stop()
	swept := time.Now()
	for {
		select {
		case <-a.ctx.Done():
			return
		case <-t.C:
		}
		a.peers.tell()
		if !a.draining.Load() {
			a.updateWeight()
		}
		if time.Since(swept) > sweepEvery {
			swept = time.Now()
			a.conn.sweep()
		}
		a.conn.setRing(a.Ring())
	}
}

func (a *Agent) updateWeight() {
	p := a.policy.Load()
	if p == nil {
		return
	}
	a.peers.mu.Lock()
	mean, ok := a.peers.group.MeanFlows(a.Now())
	n := float64(a.peers.group.Len())
	a.peers.mu.Unlock()
	flows := a.flows.Load()
	w := placement.WeightFor(placement.WeightInput{
		Age: time.Since(a.started), ServedRequests: a.upstream.served.Load(), Flows: flows, MaxFlows: int64(p.service.Flows),
		MeanFlows: (mean*n + float64(flows)) / (n + 1), HasMeanFlows: ok,
		Shedding: a.upstream.shedding(), Down: a.upstream.down() || a.upstream.leaving.Load(),
	})
	a.mu.Lock()
	same := w == a.weigher.announced
	early := time.Since(a.weigher.at) < weightEvery && w != 0
	if same || early {
		a.mu.Unlock()
		return
	}
	a.weigher = weigher{w, time.Now()}
	a.mu.Unlock()
	a.Info("WeightChanged", "Weight", w, "Flows", flows, "Mean", mean, "Down", a.upstream.down(), "Leaving", a.upstream.leaving.Load())
	a.Announce(func(m *membership.Member) { m.Weight = w })
}

// full reports whether the agent takes no new flows.
func (a *Agent) full() bool {
	p := a.policy.Load()
	return p == nil || a.draining.Load() || a.upstream.leaving.Load() || a.flows.Load() >= int64(p.service.Flows)
}
