package membership

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/clock/instant"
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
