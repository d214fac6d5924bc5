// Package idempotency ensures that a submission runs at most once when its caller
// retries it.
//
// A caller that may retry identifies its submission by a ticket or by a key. One
// process alone decides on each ID: the process named in the ticket or, for a key,
// the leader, an agent that the agents of the service elect. The first attempt runs
// and later attempts get the same outcome; after NotRun, a later attempt may run. A
// submission whose entry was evicted gets the outcome Unknown and never runs again.
//
// # Usage
//
//	t := idempotency.New(capacityBytes)
//	switch t.Begin(id, sequence, attempt) {
//	case idempotency.Fresh:
//		run()
//		t.End(id, outcome.Answered, answer)
//	case idempotency.Running:
//		wait()
//	case idempotency.Ended:
//		e, ok := t.Entry(id)
//	case idempotency.Forgotten:
//		replyUnknown()
//	}
//
// The package does no I/O. A Table is not safe for concurrent use.
package idempotency

import (
	"container/heap"

	"github.com/jaytack/jaytack/internal/request/outcome"
)

type (
	// SubmissionID identifies a submission.
	SubmissionID string
	// SequenceNumber is the position of a submission in order of creation: the sequence
	// number of its ticket or the timestamp of its key in milliseconds.
	SequenceNumber uint64
	// Attempt is the number of an attempt of one submission, from 1.
	Attempt uint32
)

// BeginResult is the result of Begin.
type BeginResult uint8

// Results of Begin.
const (
	// Fresh means that the caller of Begin must run the submission and call End.
	Fresh BeginResult = iota
	// Running means that an earlier attempt is running.
	Running
	// Ended means that an earlier attempt has an outcome.
	Ended
	// Forgotten means that there is no entry, but an earlier attempt may have run.
	Forgotten
)

// Answer is the complete answer to a submission.
type Answer struct {
	Status int
	Header []Field
	Body   []byte
}

// Field is one header field of an answer.
type Field struct {
	Name   string
	Values []string
}

// Entry is the record of one submission.
type Entry struct {
	Outcome   outcome.Outcome
	Answer    Answer
	sequence  SequenceNumber
	attempt   Attempt
	ended     bool
	bodyBytes int
}

const entryOverheadBytes = 256

// Table records submissions within a memory limit.
type Table struct {
	// Doubled is the number of calls of End for a submission that was not running,
	// which indicates that it ran twice. It must stay 0.
	Doubled         int
	capacityBytes   int
	usedBytes       int
	minSequence     SequenceNumber
	entries         map[SubmissionID]*Entry
	endedBySequence sequenceHeap
}

// New returns an empty table that keeps about capacityBytes of entries.
func New(capacityBytes int) *Table {
	return &Table{capacityBytes: capacityBytes, entries: make(map[SubmissionID]*Entry)}
}

// Begin looks up a submission and adds an entry if the result is Fresh.
//
// A submission that ended as NotRun is Fresh again only for a higher attempt: a
// delayed earlier attempt must not run after its caller was told NotRun.
func (t *Table) Begin(id SubmissionID, sequence SequenceNumber, attempt Attempt) BeginResult {
	if e, ok := t.entries[id]; ok {
		switch {
		case !e.ended:
			return Running
		case e.Outcome == outcome.NotRun && attempt > e.attempt:
			t.usedBytes -= e.bodyBytes
			e.ended, e.attempt, e.bodyBytes, e.Answer = false, attempt, 0, Answer{}
			return Fresh
		}
		return Ended
	}
	if sequence < t.minSequence {
		return Forgotten
	}
	t.entries[id] = &Entry{sequence: sequence, attempt: attempt}
	t.usedBytes += entryOverheadBytes
	return Fresh
}

// End records the outcome of a submission for which Begin returned Fresh.
func (t *Table) End(id SubmissionID, o outcome.Outcome, answer Answer) {
	e, ok := t.entries[id]
	if !ok || e.ended {
		t.Doubled++
		return
	}
	e.Outcome, e.Answer, e.ended = o, answer, true
	e.bodyBytes = len(answer.Body)
	t.usedBytes += e.bodyBytes
	heap.Push(&t.endedBySequence, heapItem{id, e.sequence})
	t.evict()
}

// evict removes ended submissions in order of sequence and raises minSequence
// above them.
func (t *Table) evict() {
	for t.usedBytes > t.capacityBytes && t.endedBySequence.Len() > 0 {
		it := heap.Pop(&t.endedBySequence).(heapItem)
		e := t.entries[it.id]
		if e == nil || !e.ended {
			// Begin restarted the submission after this item was pushed.
			continue
		}
		t.usedBytes -= entryOverheadBytes + e.bodyBytes
		delete(t.entries, it.id)
		t.minSequence = max(t.minSequence, it.sequence+1)
	}
}

// Entry returns a copy of the entry of a submission.
func (t *Table) Entry(id SubmissionID) (Entry, bool) {
	e, ok := t.entries[id]
	if !ok {
		return Entry{}, false
	}
	return *e, true
}

// Len returns the number of entries.
func (t *Table) Len() int { return len(t.entries) }

// Bytes returns the approximate memory that the entries use.
func (t *Table) Bytes() int { return t.usedBytes }

type heapItem struct {
	id       SubmissionID
	sequence SequenceNumber
}

type sequenceHeap []heapItem

func (h sequenceHeap) Len() int           { return len(h) }
func (h sequenceHeap) Less(i, j int) bool { return h[i].sequence < h[j].sequence }
func (h sequenceHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *sequenceHeap) Push(x any)        { *h = append(*h, x.(heapItem)) }
func (h *sequenceHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	*h = old[:len(old)-1]
	return it
}
