package agent

import (
	"time"

	"github.com/jaytack/jaytack/internal/fleet/membership"
	"github.com/jaytack/jaytack/internal/flow/placement"
)

// minWeightInterval is the minimum time between two announced weights. Weight 0 is
// announced at once.
const minWeightInterval = 2 * time.Second

// announcedWeight is the last weight that an agent announced, and when.
type announcedWeight struct {
	weight placement.Weight
	at     time.Time
}

func (a *Agent) loadLoop() {
	t := time.NewTicker(loadInterval)
	defer t.Stop()
	lastSweep := time.Now()
	for {
		select {
		case <-a.ctx.Done():
			return
		case <-t.C:
		}
		a.peers.sendLoad()
		if !a.draining.Load() {
			a.updateWeight()
		}
		if time.Since(lastSweep) > routeSweepInterval {
			lastSweep = time.Now()
			a.tunnel.removeExpired()
		}
		a.tunnel.setKeyring(a.Ring())
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
	flows := a.openFlows.Load()
	w := placement.WeightFor(placement.WeightInput{
		Age: time.Since(a.startedAt), ServedRequests: a.upstream.served.Load(), Flows: flows, MaxFlows: int64(p.service.Flows),
		MeanFlows: (mean*n + float64(flows)) / (n + 1), HasMeanFlows: ok,
		Shedding: a.upstream.isShedding(), Down: a.upstream.isDown() || a.upstream.draining.Load(),
	})
	a.mu.Lock()
	same := w == a.announced.weight
	early := time.Since(a.announced.at) < minWeightInterval && w != 0
	if same || early {
		a.mu.Unlock()
		return
	}
	a.announced = announcedWeight{w, time.Now()}
	a.mu.Unlock()
	a.Info("WeightChanged", "Weight", w, "Flows", flows, "Mean", mean, "Down", a.upstream.isDown(), "Leaving", a.upstream.draining.Load())
	a.Announce(func(m *membership.Member) { m.Weight = w })
}

// rejectsFlows reports whether the agent is full, drains or has no contract, so that
// it cannot accept new flows.
func (a *Agent) rejectsFlows() bool {
	p := a.policy.Load()
	return p == nil || a.draining.Load() || a.upstream.draining.Load() || a.openFlows.Load() >= int64(p.service.Flows)
}
