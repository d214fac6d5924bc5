package relay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/relay/flow"
)

// TestSearchPassesOverAgentsWithoutUpstreams guards against searches that wait for a
// stopped agent until its entry expires: an upstream leaves, all processes restart after
// a power failure, and the agent of that upstream then stops without notice.
func TestSearchPassesOverAgentsWithoutUpstreams(t *testing.T) {
	tests := []struct {
		name string
		// left is the time from the upstream's leaving to the power failure, entries is
		// whether the store keeps its entries, vanish is the time from the restart to the
		// stop of the agent.
		left    time.Duration
		entries bool
		vanish  time.Duration
	}{
		{"EntrySaysThatItHasLeft", time.Second, true, 500 * time.Millisecond},
		{"EntryIsLost", time.Second, false, 5 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			cfg := Registro(14)
			n := countEvents(&cfg)
			before := 0
			w := New(cfg)
			a := w.Agents[0]
			const lost = 4 * time.Second
			w.At(lost-test.left, func() { a.Upstream.Drain(0) })
			w.At(lost, func() {
				if !test.entries {
					w.LoseEntries()
				}
				w.LosePower(time.Second)
			})
			w.At(lost+time.Second+test.vanish, func() {
				before = n["OwnerNotFound"]
				w.Kill(a)
			})
			// The homes lose their owner tables, so that flows have to be searched for.
			w.At(lost+time.Second+test.vanish+500*time.Millisecond, func() {
				for _, p := range w.Agents[1:7] {
					p.Upstream.Crash()
					p.Upstream.Start()
					w.Restart(p, 100*time.Millisecond)
				}
			})
			w.Run(16 * time.Second)
			qt.Assert(t, w.Violations, qt.HasLen, 0)
			// A search ends without an owner if the caller's last packet or the negative
			// replies are lost; 1 in 1,000 datagrams is.
			qt.Assert(t, (n["OwnerNotFound"]-before)*20 < n["OwnerSearched"], qt.IsTrue, qt.Commentf("%v", n))
		})
	}
}

// TestSearchOutlivesLostDatagrams guards against late resets when searches lose
// datagrams: all upstreams of a large group restart while 1 in 100 datagrams is lost, so
// most searches lose a query or a reply. Callers must still get the reset of an ended
// flow within the aim of their requests.
func TestSearchOutlivesLostDatagrams(t *testing.T) {
	cfg := LargeRegistro(21)
	cfg.LossPerMille = 10
	cfg.Scale(0.5)
	var told, late int
	cfg.Trace = func(_ time.Duration, _ flow.IP, event string, pairs []any) {
		if event != "FlowReset" {
			return
		}
		for i, p := range pairs {
			if p == "Took" {
				told++
				if pairs[i+1].(time.Duration) > cfg.Callers[0].Aim {
					late++
				}
			}
		}
	}
	w := New(cfg)
	w.At(3*time.Second, func() { w.LosePower(300 * time.Millisecond) })
	w.Run(6 * time.Second)
	qt.Assert(t, w.Violations, qt.HasLen, 0)
	qt.Assert(t, told > 500, qt.IsTrue, qt.Commentf("%d", told))
	qt.Assert(t, late*100 < told, qt.IsTrue, qt.Commentf("%d of %d late", late, told))
}

// TestRestartedHomesLearnTheirFlows guards against searches, each of which asks all agents,
// for flows whose home has restarted: their owners have to claim them there again before the
// routers send their packets through other balancers, which have no hints.
func TestRestartedHomesLearnTheirFlows(t *testing.T) {
	cfg := WideRegistro(24, 60)
	cfg.Scale(0.5)
	const restarted = 5500 * time.Millisecond
	restarts := make(map[flow.IP]bool)
	found := 0
	cfg.Trace = func(at time.Duration, _ flow.IP, event string, pairs []any) {
		// The owner's table is lost too if it has restarted.
		if event == "OwnerFound" && at > restarted && !restarts[pairs[3].(flow.IP)] {
			found++
		}
	}
	w := New(cfg)
	w.At(4*time.Second, func() {
		for i, p := range w.Agents {
			if i%3 == 0 {
				restarts[p.IP] = true
				w.Restart(p, 100*time.Millisecond)
			}
		}
	})
	w.At(restarted, func() {
		for i, p := range w.Balancers {
			if i%2 == 0 {
				w.Restart(p, 100*time.Millisecond)
			}
		}
	})
	w.Run(7 * time.Second)
	qt.Assert(t, w.Violations, qt.HasLen, 0)
	// One in 1,000 datagrams is lost, and a flow may have been claimed by one.
	qt.Assert(t, found <= 4, qt.IsTrue, qt.Commentf("%d flows were searched for", found))
}
