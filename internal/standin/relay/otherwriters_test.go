package relay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/message"
	"github.com/jaytack/jaytack/internal/relay/polling"
	"github.com/jaytack/jaytack/internal/relay/serving"
)

// otherHeartbeat returns a heartbeat of another incarnation than the one that runs, with all its
// fields, that was sent as its first one.
func (u *Upstream) otherHeartbeat(startedLaterBy time.Duration) serving.Heartbeat {
	return serving.Heartbeat{
		Upstream: "other", Service: u.Name, DataCentre: u.p.DataCentre, Born: u.born + startedLaterBy.Milliseconds(), Sequence: 1, Slots: u.Slots,
	}
}

// TestLateHeartbeatWithALaterStartEndsNoFlow guards against the reset of all flows of an upstream
// by the first heartbeat of one that crashed before it, whose clock was ahead. It may come at any
// time between two heartbeats, and several may come at once.
func TestLateHeartbeatWithALaterStartEndsNoFlow(t *testing.T) {
	for i := range 8 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			w := New(Registro(20))
			u := w.Agents[0].Upstream
			rejected := 0
			w.Trace = countRejected(&rejected)
			w.At(5*time.Second+time.Duration(i)*heartbeatInterval/8, func() {
				late := u.otherHeartbeat(3 * time.Second)
				for range 1 + i%3 {
					late.Sequence++
					u.sendHeartbeat(late)
				}
			})
			w.Run(9 * time.Second)
			qt.Check(t, w.Violations, qt.HasLen, 0)
			qt.Check(t, rejected, qt.Equals, 1+i%3)
		})
	}
}

// countRejected returns a trace that counts the rejected heartbeats.
func countRejected(n *int) func(time.Duration, flow.IP, string, []any) {
	return func(_ time.Duration, _ flow.IP, event string, _ []any) {
		if event == "HeartbeatLate" {
			*n++
		}
	}
}

// TestLateHeartbeatReopensNoDrainingUpstream guards against new flows at an upstream that has said
// that it drains, after a late heartbeat of one that crashed before it.
func TestLateHeartbeatReopensNoDrainingUpstream(t *testing.T) {
	const drains = 6 * time.Second
	w := New(Registro(21))
	u := w.Agents[0].Upstream
	offered := 0
	w.At(drains, func() { u.Drain(5 * time.Second) })
	w.At(drains+100*time.Millisecond, func() { offered = u.SynsReceived })
	w.At(drains+500*time.Millisecond, func() { u.sendHeartbeat(u.otherHeartbeat(3 * time.Second)) })
	w.Run(drains + 4*time.Second)
	qt.Check(t, u.SynsReceived, qt.Equals, offered)
	qt.Check(t, w.Violations, qt.HasLen, 0)
}

// TestLateLeaveEndsNoFlow guards against the reset of all flows of an upstream by the late leave of
// an earlier one that had the same name. It goes on to serve new flows too.
func TestLateLeaveEndsNoFlow(t *testing.T) {
	w := New(Registro(22))
	u := w.Agents[0].Upstream
	offered := 0
	w.At(5*time.Second, func() {
		w.dispatch(u.p, func() { u.p.Agent.HandleLeave(w.now, u.name()) })
		offered = u.SynsReceived
	})
	w.Run(9 * time.Second)
	qt.Check(t, w.Violations, qt.HasLen, 0)
	qt.Check(t, u.SynsReceived > offered, qt.IsTrue)
}

// otherWriters lists the messages and entries that other writers or earlier processes may have
// sent, each valid in itself.
var otherWriters = []randomFault{
	{"OtherHeartbeats", func(w *randomRun, at time.Duration) {
		w.changeUpstreams(func(u *Upstream) {
			startedLaterBy, sequence, draining, sameName := w.between(-5*time.Second, 5*time.Second), 1+w.r.Int64N(100), w.r.IntN(4) == 0, w.r.IntN(3) == 0
			for i := range 1 + w.r.IntN(3) {
				w.At(at+time.Duration(i)*w.between(0, 400*time.Millisecond), func() {
					h := u.otherHeartbeat(startedLaterBy)
					h.Sequence, h.Draining = sequence+int64(i), draining
					if sameName {
						h.Upstream = u.name()
					}
					u.sendHeartbeat(h)
				})
			}
		})
	}},
	{"OtherLeaves", func(w *randomRun, at time.Duration) {
		w.changeUpstreams(func(u *Upstream) {
			w.At(at, func() {
				w.dispatch(u.p, func() {
					if u.p.Agent != nil {
						u.p.Agent.HandleLeave(w.now, u.name())
					}
				})
			})
		})
	}},
	{"OtherEntries", func(w *randomRun, at time.Duration) {
		// The processes put their own entries in place again.
		replaced := w.between(200*time.Millisecond, 9*time.Second)
		w.changeUpstreams(func(u *Upstream) {
			state, ahead := message.State(w.r.IntN(len(message.State_name))), uint64(w.r.IntN(1000))
			w.At(at, func() {
				before := w.entries[u.p.IP]
				if before == nil || !u.p.Running() {
					return
				}
				odd := w.record(u.p)
				odd.State, odd.Incarnation = state, before.record.Incarnation+ahead
				w.entries[u.p.IP] = &entry{odd, w.now.Add(polling.LeaseTTL)}
				w.after(replaced, func() { delete(w.entries, u.p.IP) })
			})
		})
	}},
	{"LateReports", func(w *randomRun, at time.Duration) {
		w.changeUpstreams(func(u *Upstream) {
			w.At(at, func() {
				if u.p.Agent == nil {
					return
				}
				late := w.record(u.p)
				late.Incarnation, late.State = late.Incarnation-1, message.State_StateGone
				for _, to := range slices.Concat(w.Agents, w.Balancers) {
					w.sendMessage(u.p.IP, to.IP, &message.Envelope{Body: &message.Envelope_Report{Report: &message.Report{Record: late}}})
				}
			})
		})
	}},
}

// otherWritersSeeds are the seeds that have failed.
var otherWritersSeeds = map[uint64]string{
	1063: "a checkpoint was applied after a late first heartbeat, although its upstream still ran",
}

// TestFlowsSurviveOtherWriters resets no open flow while others write beside planned work.
func TestFlowsSurviveOtherWriters(t *testing.T) {
	for _, seed := range testSeeds(t, otherWritersSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w, faults := newRandomRunOf(Registro(seed), slices.Concat(plannedFaults(), otherWriters, otherWriters))
			w.Run(randomRunEnd)
			qt.Check(t, w.Violations, qt.HasLen, 0, qt.Commentf("faults %v", faults))
		})
	}
}
