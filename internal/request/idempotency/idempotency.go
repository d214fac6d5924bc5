// Package idempotency makes sure that a submission runs at most once.
//
// A caller that may try again names its submission by a ticket or by a key. The
// ledger of one process alone decides on each name: the process named in the
// ticket, or the one that holds the service's home. The first try runs; a later
// one gets the same outcome. What the ledger no longer remembers is Unknown and
// never runs.
//
// # Usage
//
//	l := ledger.New(capacityBytes)
//	switch l.Begin(name, order, attempt) {
//	case ledger.Fresh:
//		run()
//		l.End(name, outcome.Answered, answer)
//	case ledger.Running:
//		wait()
//	case ledger.Ended:
//		e := l.Entry(name)
//	case ledger.Forgotten:
//		tellUnknown()
//	}
//
// The package does no input or output. A Ledger must not be shared without a lock.
package idempotency

import (
	"container/heap"

	"github.com/jaytack/jaytack/internal/request/outcome"
)

type (
	// SubmissionID identifies a submission.
	SubmissionID string
	// SequenceNumber is the place of a name in the order in which names are made: the
	// sequence of a ticket, or the time of a key in milliseconds.
	SequenceNumber uint64
	// Attempt numbers the tries of one submission, from 1.
	Attempt uint32
)

// Standing is what the ledger knows about a name.
type Standing uint8

// Standings.
const (
	// Fresh means that the caller of Begin must run the submission and call End.
	Fresh Standing = iota
	// Running means that an earlier try runs.
	Running
	// Ended means that an earlier try has an outcome.
	Ended
	// Forgotten means that an earlier try may have run.
	Forgotten
)

// Answer is the whole answer to a submission.
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

// Entry is what the ledger keeps of a submission.
type Entry struct {
	Outcome outcome.Outcome
	Answer  Answer
	order   SequenceNumber
	attempt Attempt
	ended   bool
	bytes   int
}

const entryOverhead = 256 // bytes

// Table remembers submissions up to a number of bytes.
type Table struct {
	// Doubled counts submissions that were begun twice: it must stay 0.
	Doubled  int
	capacity int
	used     int
	floor    SequenceNumber
	entries  map[SubmissionID]*Entry
	ended    orderHeap
}

// New returns a ledger that keeps about capacity bytes.
func New(capacity int) *Table {
	return &Table{capacity: capacity, entries: make(map[SubmissionID]*Entry)}
}

// Raise makes every name with a lower order Forgotten that the ledger does not hold.
func (l *Table) Raise(floor SequenceNumber) {
	l.floor = max(l.floor, floor)
}

// Begin looks a name up and takes it in if it is Fresh.
//
// A name that ended as NotRun is Fresh again only for a higher attempt: an
// earlier one that was delayed must not run after its caller was told NotRun.
func (l *Table) Begin(n SubmissionID, o SequenceNumber, a Attempt) Standing {
	if e, ok := l.entries[n]; ok {
		switch {
		case !e.ended:
			return Running
		case e.Outcome == outcome.NotRun && a > e.attempt:
			e.ended, e.attempt = false, a
			return Fresh
		}
		return Ended
	}
	if o < l.floor {
		return Forgotten
	}
	l.entries[n] = &Entry{order: o, attempt: a}
	l.used += entryOverhead
	return Fresh
}

// End records the outcome of a submission that was Fresh.
func (l *Table) End(n SubmissionID, o outcome.Outcome, a Answer) {
	e, ok := l.entries[n]
	if !ok || e.ended {
		l.Doubled++
		return
	}
	e.Outcome, e.Answer, e.ended = o, a, true
	e.bytes = len(a.Body)
	l.used += e.bytes
	heap.Push(&l.ended, orderItem{n, e.order})
	l.evict()
}

// evict forgets ended submissions, oldest first, and raises the floor above them.
func (l *Table) evict() {
	for l.used > l.capacity && l.ended.Len() > 0 {
		it := heap.Pop(&l.ended).(orderItem)
		e := l.entries[it.name]
		if e == nil || !e.ended {
			// The name was begun again after this item was pushed.
			continue
		}
		l.used -= entryOverhead + e.bytes
		delete(l.entries, it.name)
		l.floor = max(l.floor, it.order+1)
	}
}

// Entry returns what is kept of a name.
func (l *Table) Entry(n SubmissionID) (Entry, bool) {
	e, ok := l.entries[n]
	if !ok {
		return Entry{}, false
	}
	return *e, true
}

// Len returns the number of names.
func (l *Table) Len() int { return len(l.entries) }

// Bytes returns the memory that the names take, about.
func (l *Table) Bytes() int { return l.used }

type orderItem struct {
	name  SubmissionID
	order SequenceNumber
}

type orderHeap []orderItem

func (h orderHeap) Len() int           { return len(h) }
func (h orderHeap) Less(i, j int) bool { return h[i].order < h[j].order }
func (h orderHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *orderHeap) Push(x any)        { *h = append(*h, x.(orderItem)) }
func (h *orderHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	*h = old[:len(old)-1]
	return it
}
