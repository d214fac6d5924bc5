package relay

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/relay/flow"
)

// mostTraffic returns the largest figures of any of the processes, per second.
func mostTraffic(w *World, ps []*Process, seconds int) (most Traffic) {
	for _, p := range ps {
		t := w.Traffic[p.IP]
		if t == nil {
			continue
		}
		most.Reports = max(most.Reports, t.Reports/seconds)
		most.Carried = max(most.Carried, t.Carried/seconds)
		most.Others = max(most.Others, t.Others/seconds)
		most.Bytes = max(most.Bytes, t.Bytes/seconds)
		most.RemoteBytes = max(most.RemoteBytes, t.RemoteBytes/seconds)
	}
	return most
}

// TestReportsDoNotGrowWithTheFleet guards against reports from all processes to all others,
// which took nearly all processor time of agents and nearly all bytes between data centres
// in a fleet of 200.
func TestReportsDoNotGrowWithTheFleet(t *testing.T) {
	t.Parallel()
	const (
		settle, seconds = 5 * time.Second, 4
		// An agent's reports are 8 local ones every 50 ms, 8 remote ones every 150 ms
		// and 80 a second to balancers, and as many again for members that change.
		agentBound = 2 * (8*20 + 8*7 + 80)
		// A balancer's are 2.5 a second to those of its data centre, or to all if it
		// watches the store.
		balancerBound = 3 * 200
		// growth is the target of the users: bytes between data centres for each process
		// in a fleet three times as large.
		growth = 1.3
	)
	var small Traffic
	for _, size := range []int{10, 60, 200} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			cfg := WideRegistro(31, size)
			cfg.Callers = nil
			w := New(cfg)
			w.At(settle, func() { w.Traffic = make(map[flow.IP]*Traffic) })
			w.Run(settle + seconds*time.Second)
			agents, balancers := mostTraffic(w, w.Agents, seconds), mostTraffic(w, w.Balancers, seconds)
			t.Logf("agents %+v, balancers %+v", agents, balancers)
			qt.Check(t, w.Violations, qt.HasLen, 0)
			qt.Check(t, agents.Reports <= agentBound, qt.IsTrue, qt.Commentf("%d reports a second", agents.Reports))
			qt.Check(t, balancers.Reports <= balancerBound, qt.IsTrue, qt.Commentf("%d reports a second", balancers.Reports))
			if size == 60 {
				small = agents
			}
			if size == 200 {
				qt.Check(t, float64(agents.RemoteBytes) <= growth*float64(small.RemoteBytes), qt.IsTrue, qt.Commentf("%d bytes, before %d", agents.RemoteBytes, small.RemoteBytes))
			}
		})
	}
}

// TestChangesDoNotMakeAllReport guards against a fleet in which each process that starts, and
// each upstream that is replaced, makes all others report to all.
func TestChangesDoNotMakeAllReport(t *testing.T) {
	t.Parallel()
	const size, restarts = 200, 20
	cfg := WideRegistro(32, size)
	cfg.Callers = nil
	w := New(cfg)
	count := func() (n int) {
		for _, t := range w.Traffic {
			n += t.Reports
		}
		return n
	}
	var before, quiet int
	w.At(6*time.Second, func() { w.Traffic = make(map[flow.IP]*Traffic) })
	w.At(8*time.Second, func() {
		before = count()
		for i := range restarts {
			w.Restart(w.Agents[i], time.Duration(i)*50*time.Millisecond)
		}
	})
	w.Run(10 * time.Second)
	quiet = before
	changes := count() - before - quiet
	t.Logf("%d reports in 2 s without changes, %d more with %d restarts", quiet, changes, restarts)
	qt.Assert(t, w.Violations, qt.HasLen, 0)
	// A restart is announced twice to all and answered by each, and by those that now
	// report to others.
	qt.Assert(t, changes <= restarts*size*8, qt.IsTrue, qt.Commentf("%d reports", changes))
}
