package relay

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/relay/flow"
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
