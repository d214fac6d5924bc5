package membership

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/message"
)

// TestStoredRecordEndsNoReportingMember guards against the reset of open flows after another
// writer has left an entry with a higher incarnation that says that a member's upstream has left:
// searches pass over the member, which itself reports that its upstream is ready.
func TestStoredRecordEndsNoReportingMember(t *testing.T) {
	now := instant.Instant(time.Minute)
	table := New(1, "a", "padron")
	odd := member(2, "a", 0)
	odd.Incarnation, odd.State = 900, message.State_StateGone
	report := func(sequence uint64) bool {
		return table.ApplyReport(now, member(2, "a", sequence), 200*time.Millisecond)
	}
	table.ApplyStored(now, []*message.Record{member(2, "a", 1)})
	qt.Assert(t, report(2), qt.IsTrue)
	now = now.Add(100 * time.Millisecond)
	table.ApplyStored(now, []*message.Record{odd})
	qt.Check(t, table.Member(2).HasLeft(now), qt.IsFalse)
	qt.Check(t, table.Unconfirmed(now), qt.HasLen, 1)
	now = now.Add(100 * time.Millisecond)
	qt.Check(t, report(3), qt.IsTrue)
	qt.Check(t, table.Member(2).AcceptsFlows(), qt.IsTrue)
	now = now.Add(100 * time.Millisecond)
	table.ApplyStored(now, []*message.Record{odd})
	qt.Check(t, table.Member(2).AcceptsFlows(), qt.IsTrue)
}

// TestStoredLeaveOfASilentMemberIsBelieved checks that a member counts as left if it leaves the
// requests to confirm that unanswered.
func TestStoredLeaveOfASilentMemberIsBelieved(t *testing.T) {
	now := instant.Instant(time.Minute)
	table := New(1, "a", "padron")
	qt.Assert(t, table.ApplyReport(now, member(2, "a", 1), 200*time.Millisecond), qt.IsTrue)
	left := member(2, "a", 2)
	left.State = message.State_StateGone
	table.ApplyStored(now, []*message.Record{left})
	qt.Check(t, table.Member(2).HasLeft(now), qt.IsFalse)
	qt.Check(t, table.Member(2).HasLeft(now.Add(confirmGoneAfter)), qt.IsTrue)
}

// TestLateReportOfAnEarlierProcessEndsNothing guards against the reset of open flows after a late
// report of an earlier process of a member, whose upstream had left: the member, which reports
// only changes to this process, counts as left until its next report.
func TestLateReportOfAnEarlierProcessEndsNothing(t *testing.T) {
	now := instant.Instant(time.Minute)
	table := New(1, "a", "padron")
	current := member(2, "a", 1)
	current.Incarnation = 5
	qt.Assert(t, table.ApplyReport(now, current, 0), qt.IsTrue)
	now = now.Add(2 * incarnationResetAfter)
	late := member(2, "a", 90)
	late.State = message.State_StateGone
	qt.Check(t, table.ApplyReport(now, late, 0), qt.IsFalse)
	qt.Check(t, table.Member(2).HasLeft(now), qt.IsFalse)
	// A process whose clock has been set back is believed, and then that its upstream has left.
	qt.Check(t, table.ApplyReport(now, member(2, "a", 91), 0), qt.IsTrue)
	left := member(2, "a", 92)
	left.State = message.State_StateGone
	qt.Check(t, table.ApplyReport(now, left, 0), qt.IsTrue)
	qt.Check(t, table.Member(2).HasLeft(now), qt.IsTrue)
}
