package membership

import (
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/message"
)

// Member is the latest record of one process and when the process was last confirmed.
type Member struct {
	*message.Record
	// LastReport is when the process last sent a report itself.
	LastReport instant.Instant
	// LastSeen is when its record was last read from the store or received from
	// another process.
	LastSeen instant.Instant
	// inStore is set if the last read of the store returned a record of the process.
	// Otherwise missingSince is the first of the reads since then that did not.
	inStore      bool
	missingSince instant.Instant
	// interval is the interval at which the member reports to this process, 0 if it
	// reports only changes.
	interval time.Duration
	// isStored is set if the record was read from the store, storedAt is when.
	isStored bool
	storedAt instant.Instant
	// distrusted is the incarnation of a record of the store that the member's own reports have
	// contradicted, 0 if there is none.
	distrusted uint64
	// expected is set if the member has to report to this process regularly. expectedSince
	// is when that was last known to begin.
	expected      bool
	expectedSince instant.Instant
	// askedSince is when the member was first asked for a report that it has not sent, since
	// this process depends on it without regular reports; 0 if there is no such request.
	askedSince instant.Instant
}

// ID returns the member's instance.
func (m *Member) ID() flow.IP { return flow.IP(m.Instance) }

// IsAgent reports whether the member is an agent; otherwise it is a balancer.
func (m *Member) IsAgent() bool { return m.Service != "" }

// IsReporting reports whether the member has reported recently.
func (m *Member) IsReporting(now instant.Instant) bool {
	return now.Sub(m.LastReport) <= max(SuspectAfter, suspectIntervals*m.interval)
}

// ReportsRegularly reports whether the member reports regularly and has done so recently.
func (m *Member) ReportsRegularly(now instant.Instant) bool {
	return m.interval > 0 && m.IsReporting(now)
}

// IsSuspect reports whether the member reports or has to report to this process regularly
// and its reports are overdue, or has left a request for a report unanswered. Other members count
// as alive.
func (m *Member) IsSuspect(now instant.Instant) bool {
	if m.IsReporting(now) {
		return false
	}
	return m.interval > 0 || m.expected && now.Sub(m.expectedSince) > SuspectAfter || m.askedSince != 0 && now.Sub(m.askedSince) > AnswerTimeout
}

// HasLeft reports whether the member's upstream has left, so that it holds no flows. The store
// may say so although another one has started, which the member then reports.
func (m *Member) HasLeft(now instant.Instant) bool {
	return m.State == message.State_StateGone && (!m.isStored || now.Sub(m.storedAt) >= confirmGoneAfter)
}

// acceptsEarlier reports whether a report with a lower incarnation is accepted: the clock of a
// restarted process may have been set back, and another writer may have left the known record in
// the store. A late report of an earlier process looks the same, so that none says in this way
// that the flows of the upstream have ended.
func (m *Member) acceptsEarlier(now instant.Instant, rec *message.Record) bool {
	return rec.Incarnation < m.Incarnation && rec.State != message.State_StateGone && (m.isStored || now.Sub(m.LastReport) >= incarnationResetAfter)
}

// isUnconfirmed reports whether nothing recent shows that the member still exists.
func (m *Member) isUnconfirmed(now instant.Instant) bool {
	storedGone := m.State == message.State_StateGone && m.isStored && now.Sub(m.storedAt) < 2*confirmGoneAfter
	return m.IsSuspect(now) || storedGone || !m.inStore && now.Sub(m.LastReport) > unconfirmedAfter
}

// AcceptsFlows reports whether the member reported that its upstream accepts new flows.
func (m *Member) AcceptsFlows() bool { return m.State == message.State_StateReady }

// IsStaying reports whether a process in a state is neither restarting, draining nor gone,
// so that it is preferred as a home.
func IsStaying(s message.State) bool {
	return s != message.State_StateGone && s != message.State_StateRestarting && s != message.State_StateDraining
}
