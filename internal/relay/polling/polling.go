// Package polling decides when a process reads the members' entries in the platform's store and
// writes its own.
//
// A process reads often while the entries change and just after it has created its own, and
// backs off otherwise: members that know each other exchange reports. Up to ReadIntervalMax may
// thus pass until a process learns what only an entry says.
//
// # Usage
//
//	var s polling.Schedule
//	if s.IsDue(now) {
//		s.RecordRead(now, read())
//	}
//	wait(s.Next())
//
// The package performs no I/O. A Schedule is not safe for concurrent use.
package polling

import (
	"time"

	"github.com/jaytack/jaytack/internal/relay/message"
)

const (
	// LeaseTTL is how long an entry outlives its process: longer than all processes
	// need to restart after a power failure.
	LeaseTTL = 9 * time.Second
	// RenewInterval is how often the lease is renewed, which shows whether the entry has
	// lapsed: it has to be rewritten within 2 s.
	RenewInterval = 1800 * time.Millisecond
	// ReadIntervalMin is how often entries are read after they have changed. Each read
	// without a change doubles the interval, up to ReadIntervalMax. Members that start
	// tell the others themselves. EarlyReadInterval is how often entries are read during
	// earlyReadPeriod after the own entry was created, since other processes may be
	// starting too, of which neither has seen the other.
	EarlyReadInterval = 250 * time.Millisecond
	earlyReadPeriod   = time.Second
	ReadIntervalMin   = 1800 * time.Millisecond
	ReadIntervalMax   = 9 * time.Second
	// MinReadGap is the least time between two reads that are requested.
	MinReadGap = 500 * time.Millisecond
	// startupRetryMin is the first retry delay until a read has succeeded, retryMin the
	// first one afterwards. Each further failure doubles the delay, up to
	// startupRetryMax or retryMax.
	startupRetryMin = 30 * time.Millisecond
	startupRetryMax = 120 * time.Millisecond
	retryMin        = 100 * time.Millisecond
	retryMax        = time.Second
	// maxCheckpointRate is the number of checkpoints that all processes together write per
	// second: a small part of the store's writes.
	maxCheckpointRate = 20
	// minCheckpointInterval is the least time between two checkpoints of a process.
	minCheckpointInterval = 3 * time.Second
)

// Schedule says when a process reads the entries. The zero value is due at once.
type Schedule struct {
	interval   time.Duration
	earlyUntil time.Time
	next       time.Time
	// isRead is set once the entries have been read. retryDelay is the delay after the next
	// failure.
	isRead     bool
	retryDelay time.Duration
}

// IsDue reports whether the entries have to be read.
func (s *Schedule) IsDue(now time.Time) bool { return !now.Before(s.next) }

// Next returns when the next read is due.
func (s *Schedule) Next() time.Time { return s.next }

// Request makes a read due.
func (s *Schedule) Request() { s.next = time.Time{} }

// Reset makes a read due whose successors follow soon, since entries may have changed unseen.
func (s *Schedule) Reset() { s.next, s.interval = time.Time{}, ReadIntervalMin }

// RecordRead schedules the read after one that has shown whether entries have been added or are
// missing since the one before.
func (s *Schedule) RecordRead(now time.Time, changed bool) {
	s.isRead = true
	switch {
	case now.Before(s.earlyUntil):
		s.interval = EarlyReadInterval
	case changed:
		s.interval = ReadIntervalMin
	default:
		s.interval = min(2*s.interval, ReadIntervalMax)
	}
	s.next = now.Add(s.interval)
}

// RecordCreated schedules reads soon after the own entry was created: of two processes that start
// together, one then sees the other and reports to it.
func (s *Schedule) RecordCreated(now time.Time) {
	s.earlyUntil = now.Add(earlyReadPeriod)
	s.interval = EarlyReadInterval
	s.next = now.Add(s.interval)
}

// RecordSuccess ends a series of failed calls.
func (s *Schedule) RecordSuccess() { s.retryDelay = retryMin }

// RecordFailure returns the delay before the next call after a failed one.
func (s *Schedule) RecordFailure() time.Duration {
	least, most := retryMin, retryMax
	if !s.isRead {
		least, most = startupRetryMin, startupRetryMax
	}
	d := max(s.retryDelay, least)
	s.retryDelay = min(2*d, most)
	return d
}

// CheckpointInterval returns the time between two checkpoints of a process among others.
func CheckpointInterval(others int) time.Duration {
	return max(minCheckpointInterval, time.Duration(others)*time.Second/maxCheckpointRate)
}

// NeedsWrite reports whether a change of state has to be written to the own entry: the upstream
// begins or ceases to leave, or is gone. Other members learn of other changes by reports.
func NeedsWrite(before, after message.State) bool {
	return IsLeaving(before) != IsLeaving(after) || after == message.State_StateGone
}

// IsLeaving reports whether an upstream is draining or gone, which other members have to learn
// from the entry.
func IsLeaving(s message.State) bool {
	return s == message.State_StateDraining || s == message.State_StateGone
}
