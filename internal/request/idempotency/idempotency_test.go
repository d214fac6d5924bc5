package idempotency

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/jaytack/jaytack/internal/request/outcome"
)

// TestSubmissionRunsOnce starts and ends attempts in random order. Begin must not
// return Fresh while the submission is running, after it ran or ended as Unknown,
// or for an attempt that was told NotRun.
func TestSubmissionRunsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(rapid.IntRange(0, 3000).Draw(t, "capacity"))
		running := make(map[SubmissionID]Attempt)
		ran := make(map[SubmissionID]bool)
		refused := make(map[SubmissionID]Attempt)
		t.Repeat(map[string]func(*rapid.T){
			"try": func(t *rapid.T) {
				o := SequenceNumber(rapid.IntRange(1, 30).Draw(t, "name"))
				n, a := SubmissionID(fmt.Sprint(o)), Attempt(rapid.IntRange(1, 4).Draw(t, "attempt"))
				if l.Begin(n, o, a) != Fresh {
					return
				}
				if ran[n] || a <= refused[n] {
					t.Fatalf("%s began at attempt %d although it ran (%v) or was refused at %d", n, a, ran[n], refused[n])
				}
				if _, ok := running[n]; ok {
					t.Fatalf("%s began twice", n)
				}
				running[n] = a
			},
			"end": func(t *rapid.T) {
				for n, a := range running {
					o := outcome.Outcome(rapid.IntRange(0, 2).Draw(t, "outcome"))
					l.End(n, o, Answer{Body: make([]byte, rapid.IntRange(0, 500).Draw(t, "bytes"))})
					delete(running, n)
					if o == outcome.NotRun {
						refused[n] = max(refused[n], a)
					} else {
						ran[n] = true
					}
					return
				}
			},
			"": func(t *rapid.T) {
				if l.Doubled != 0 {
					t.Fatalf("Doubled is %d", l.Doubled)
				}
			},
		})
	})
}

func TestOldestIsEvictedFirst(t *testing.T) {
	l := New(2 * entryOverheadBytes)
	for o := SequenceNumber(1); o <= 4; o++ {
		n := SubmissionID(fmt.Sprint(o))
		qt.Assert(t, l.Begin(n, o, 1), qt.Equals, Fresh)
		l.End(n, outcome.Answered, Answer{Status: 200})
	}
	qt.Check(t, l.Begin("1", 1, 1), qt.Equals, Forgotten)
	qt.Check(t, l.Begin("2", 2, 1), qt.Equals, Forgotten)
	qt.Check(t, l.Begin("4", 4, 1), qt.Equals, Ended)
	qt.Check(t, l.Begin("5", 5, 1), qt.Equals, Fresh)
}

// TestRerunSubmissionCountsOneBody guards against a table that evicts early: a submission
// that ended as NotRun with a body runs again, and its first body no longer counts.
func TestRerunSubmissionCountsOneBody(t *testing.T) {
	tab := New(1 << 20)
	id := SubmissionID("s")
	qt.Assert(t, tab.Begin(id, 1, 1), qt.Equals, Fresh)
	tab.End(id, outcome.NotRun, Answer{Body: make([]byte, 1000)})
	qt.Assert(t, tab.Begin(id, 1, 2), qt.Equals, Fresh)
	tab.End(id, outcome.Answered, Answer{Body: make([]byte, 10)})
	qt.Assert(t, tab.Bytes(), qt.Equals, entryOverheadBytes+10)
}
