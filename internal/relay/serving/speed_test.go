package serving_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/message"
)

// TestOnlyRegularReportsTellSpeeds guards against service times that are never updated: an agent
// that announces a change of its state to all, or ceases to report here, would make its group
// count as uneven for as long as it lives.
func TestOnlyRegularReportsTellSpeeds(t *testing.T) {
	a, sequence := newBusyAgent(t, 1, false), uint64(0)
	report := func(from flow.IP, intervalMillis, serviceTimeMicros uint32) {
		sequence++
		a.HandleMessage(a.now, from, &message.Envelope{Body: &message.Envelope_Report{Report: &message.Report{IntervalMillis: intervalMillis, Record: &message.Record{
			Instance: uint32(from), Service: "padron", DataCentre: "a", Incarnation: 1, Sequence: sequence, State: message.State_StateReady, Slots: 2, ServiceTimeMicros: serviceTimeMicros,
		}}}})
	}
	report(21, 200, 20000)
	report(22, 200, 20000)
	report(23, 0, 40000)
	qt.Check(t, a.Speed(a.now).Uneven, qt.IsFalse, qt.Commentf("announced only"))
	report(23, 200, 40000)
	qt.Check(t, a.Speed(a.now).Uneven, qt.IsTrue)
	report(23, 0, 40000)
	qt.Check(t, a.Speed(a.now).Uneven, qt.IsFalse, qt.Commentf("no longer reports regularly"))
}
