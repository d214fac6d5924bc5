package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/message"
)

// TestMembersAreKeptUntilTheyCanRestoreTheirRecord guards against live members that are
// forgotten because the store lost their record and was away before they could write it
// again.
func TestMembersAreKeptUntilTheyCanRestoreTheirRecord(t *testing.T) {
	second := func(s float64) instant.Instant { return instant.Instant(s * float64(time.Second)) }
	listed := []*message.Record{{Instance: 2, Service: "padron", Incarnation: 1}}
	tests := []struct {
		name  string
		reads []float64
		want  int
	}{
		{"StoreLosesTheRecord", []float64{1.8, 3.6}, 0},
		{"StoreIsAwayFromTheLossOn", []float64{6}, 1},
		{"StoreIsAwayAfterTheLoss", []float64{1.8, 6}, 1},
		{"StoreIsBackLongEnough", []float64{1.8, 6, 7.8, 9.6}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := New(1, "a", "")
			table.ApplyStored(second(-100), nil)
			for s := -98.2; s <= 0; s += 1.8 {
				table.ApplyStored(second(s), listed)
			}
			table.ApplyStored(0, listed)
			now := second(0)
			for _, s := range test.reads {
				now = second(s)
				table.ApplyStored(now, nil)
			}
			table.Expire(now)
			qt.Assert(t, table.Len(), qt.Equals, test.want)
		})
	}
}

// member returns the record of an agent of the service padron.
func member(ip uint32, dataCentre string, sequence uint64) *message.Record {
	return &message.Record{Instance: ip, Service: "padron", DataCentre: dataCentre, Incarnation: 1, Sequence: sequence, State: message.State_StateReady}
}

// TestOverlayIsSymmetric checks that each agent expects reports from exactly the agents that
// send them, that their number is bounded, and that small services report from all to all.
func TestOverlayIsSymmetric(t *testing.T) {
	for _, size := range []int{1, 2, 7, 42, 109, 1000} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			const dataCentres = 5
			var recs []*message.Record
			for i := range size {
				recs = append(recs, member(uint32(i+10), fmt.Sprint(i%dataCentres), 1))
			}
			overlays := make(map[flow.IP]*Overlay)
			for _, self := range recs {
				table := New(flow.IP(self.Instance), self.DataCentre, "padron")
				var others []*message.Record
				for _, r := range recs {
					if r != self {
						others = append(others, r)
					}
				}
				table.ApplyStored(1, others)
				overlays[flow.IP(self.Instance)] = table.Overlay()
			}
			for ip, o := range overlays {
				qt.Assert(t, len(o.Local) <= maxLocalPeers && len(o.Remote) <= maxRemotePeers, qt.IsTrue)
				if size <= dataCentres*2 {
					qt.Assert(t, len(o.Local)+len(o.Remote), qt.Equals, size-1)
				}
				for _, to := range append(slices.Clone(o.Local), o.Remote...) {
					qt.Assert(t, overlays[to].Reporters[ip], qt.IsTrue, qt.Commentf("%v reports to %v", ip, to))
				}
				for from := range o.Reporters {
					sends := append(slices.Clone(overlays[from].Local), overlays[from].Remote...)
					qt.Assert(t, slices.Contains(sends, ip), qt.IsTrue, qt.Commentf("%v expects %v", ip, from))
				}
			}
		})
	}
}

// TestOnlyMembersThatOweReportsAreSuspect guards against homes that differ between processes,
// since one takes members for dead that never report to it.
func TestOnlyMembersThatOweReportsAreSuspect(t *testing.T) {
	table := New(1, "a", "")
	table.ApplyStored(0, []*message.Record{member(10, "a", 1), member(11, "a", 1), member(12, "a", 1), member(20, "b", 1)})
	table.ApplyReport(0, member(10, "a", 2), 200*time.Millisecond)
	at := instant.Instant(0).Add(400 * time.Millisecond)
	for _, ip := range []flow.IP{10, 11, 20} {
		qt.Check(t, table.Member(ip).IsSuspect(at), qt.IsFalse, qt.Commentf("%v at first", ip))
	}
	at = instant.Instant(0).Add(600 * time.Millisecond)
	for ip, want := range map[flow.IP]bool{10: true, 11: true, 20: false} {
		qt.Check(t, table.Member(ip).IsSuspect(at), qt.Equals, want, qt.Commentf("%v later", ip))
	}
	table.ApplyReport(at, member(20, "b", 2), 400*time.Millisecond)
	qt.Check(t, table.Member(20).IsSuspect(at.Add(700*time.Millisecond)), qt.IsFalse)
	qt.Check(t, table.Member(20).IsSuspect(at.Add(900*time.Millisecond)), qt.IsTrue)
	table.ApplyReport(at, member(20, "b", 3), 0)
	qt.Check(t, table.Member(20).IsSuspect(at.Add(900*time.Millisecond)), qt.IsFalse, qt.Commentf("it has ended its reports"))
}
