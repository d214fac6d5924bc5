package relay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/relay/flow"
)

// TestSearchPassesOverAgentsWithoutUpstreams replays an upstream that leaves, a loss
// of all power, and the end of that upstream's agent, which was started anew and
// vanishes: searches must not wait until its entry lapses.
func TestSearchPassesOverAgentsWithoutUpstreams(t *testing.T) {
	tests := []struct {
		name string
		// left is when the upstream leaves before the loss of power, entries says
		// whether the store still has them, vanish is when the agent ends after the return.
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
			// The homes forget the owners, so that flows have to be searched.
			w.At(lost+time.Second+test.vanish+500*time.Millisecond, func() {
				for _, p := range w.Agents[1:7] {
					p.Upstream.Crash()
					p.Upstream.Start()
					w.Restart(p, 100*time.Millisecond)
				}
			})
			w.Run(16 * time.Second)
			qt.Assert(t, w.Violations, qt.HasLen, 0)
			// A search ends without an answer if the caller's last packet or its denials
			// are lost, 1 of 1,000 each.
			qt.Assert(t, (n["OwnerNotFound"]-before)*20 < n["OwnerSearched"], qt.IsTrue, qt.Commentf("%v", n))
		})
	}
}

// TestSearchOutlivesLostDatagrams replays the restart of all upstreams of a large group
// on links that lose one datagram of a hundred: callers of flows that have ended are
// told within the aim of their requests, although most searches lose a question or an
// answer.
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
