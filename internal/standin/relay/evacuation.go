package relay

import (
	"maps"
	"slices"
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/evacuation"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/routes"
)

const (
	// watchInterval is the duration of a watch of the store without a change.
	watchInterval = time.Second
	// watchCheckInterval is how often a balancer that does not watch decides whether it has to.
	watchCheckInterval = 200 * time.Millisecond
)

// operators is what the operators have written to the store about evacuations, and what the
// upstreams have seen of it.
type operators struct {
	// revision is that of the store, changedAt that of the latest change.
	revision, changedAt evacuation.Revision
	// evacuatedAt holds the evacuated data centres and when the store acknowledged each.
	evacuatedAt map[string]instant.Instant
	// newFlows holds the times at which new flows reached the upstreams of each data centre.
	newFlows map[string][]instant.Instant
}

// Evacuate evacuates a data centre.
func (w *World) Evacuate(dataCentre string) {
	if w.operators.evacuatedAt == nil {
		w.operators.evacuatedAt = make(map[string]instant.Instant)
	}
	w.operators.evacuatedAt[dataCentre] = w.now
	w.changeEvacuations()
}

// TakeBack ends the evacuation of a data centre.
func (w *World) TakeBack(dataCentre string) {
	delete(w.operators.evacuatedAt, dataCentre)
	w.changeEvacuations()
}

// changeEvacuations writes a change. The watches of the balancers that watch at that moment end
// with it.
func (w *World) changeEvacuations() {
	w.operators.revision++
	w.operators.changedAt = w.operators.revision
	set := w.evacuationSet(w.operators.changedAt)
	for _, p := range w.Balancers {
		if w.watches(p) {
			w.after(storeLatency, func() {
				w.dispatch(p, func() { p.Balancer.ApplyEvacuations(w.now, set, "Watch") })
			})
		}
	}
}

func (w *World) evacuationSet(revision evacuation.Revision) evacuation.Set {
	s := evacuation.Set{Version: evacuation.Version{Era: evacuation.Era(w.storeEra), Revision: revision}}
	for dc := range w.operators.evacuatedAt {
		s.Add(evacuation.DataCentre(dc))
	}
	return s
}

// watches reports whether a balancer watches the store and can reach it.
func (w *World) watches(p *Process) bool {
	return p.Balancer != nil && !p.Paused && !w.StoreDown && !w.StoreRefuses(p.IP) && p.evacuationsReadAt == p.startCount && p.Balancer.ShouldWatchConfiguration(w.now)
}

// watchEvacuations watches the store while the balancer has to. A change between two watches
// comes with the next one.
func (w *World) watchEvacuations(p *Process, start uint64) {
	if p.startCount != start {
		return
	}
	next := watchCheckInterval
	if w.watches(p) {
		next = watchInterval
		w.dispatch(p, func() {
			p.Balancer.ConfirmVersion(w.now, 0)
			p.Balancer.ApplyEvacuations(w.now, w.evacuationSet(w.operators.changedAt), "Watch")
		})
	}
	w.after(next, func() { w.watchEvacuations(p, start) })
}

// readEvacuations reads the evacuations once for each process of a balancer. Later ones come
// by watches or from other balancers.
func (w *World) readEvacuations(p *Process) {
	if w.EvacuateWithin == 0 || p.evacuationsReadAt == p.startCount {
		return
	}
	p.evacuationsReadAt = p.startCount
	p.Balancer.ApplyEvacuations(w.now, w.evacuationSet(w.operators.revision), "Read")
}

// copyEvacuations returns a function that puts the evacuations in the store back to what they
// are now.
func (w *World) copyEvacuations() (restore func()) {
	evacuated, revision, changedAt := maps.Clone(w.operators.evacuatedAt), w.operators.revision, w.operators.changedAt
	return func() {
		w.operators.evacuatedAt, w.operators.revision, w.operators.changedAt = maps.Clone(evacuated), revision, changedAt
		for dc := range w.operators.evacuatedAt {
			w.operators.evacuatedAt[dc] = w.now
		}
	}
}

// recordNewFlow records that the first packet of a new flow has reached an upstream. It records a
// violation if the data centre has been evacuated for too long.
func (w *World) recordNewFlow(p *Process, id flow.ID) {
	if w.EvacuateWithin == 0 {
		return
	}
	if w.operators.newFlows == nil {
		w.operators.newFlows = make(map[string][]instant.Instant)
	}
	w.operators.newFlows[p.DataCentre] = append(w.operators.newFlows[p.DataCentre], w.now)
	if at, ok := w.operators.evacuatedAt[p.DataCentre]; ok && w.now.Sub(at) > w.EvacuateWithin {
		w.addViolation("new flow %v reached %v in %s, which has been evacuated for %v", id, p.IP, p.DataCentre, w.now.Sub(at))
	}
}

// NewFlows returns the number of new flows that reached the upstreams of a data centre from one
// time until before another.
func (w *World) NewFlows(dataCentre string, from, to time.Duration) int {
	n := 0
	for _, at := range w.operators.newFlows[dataCentre] {
		if time.Duration(at) >= from && time.Duration(at) < to {
			n++
		}
	}
	return n
}

// fetchConfiguration fetches the configuration from another balancer, so that one that starts
// in an outage of the store can serve. Fleets without evacuations leave it to the reads.
func (w *World) fetchConfiguration(p *Process, from flow.IP) {
	o := w.processes[from]
	if w.EvacuateWithin == 0 || o == nil {
		return
	}
	w.send(p.IP, from, func() {
		if o.Balancer == nil || o.Paused || o.Balancer.Routes.Version() == 0 {
			return
		}
		w.send(from, p.IP, func() {
			w.dispatch(p, func() {
				p.Balancer.ApplyConfiguration(w.now, &routes.Configuration{Version: w.configurationVersion, Routes: slices.Clone(w.Routes)}, "Peer")
			})
		})
	})
}
