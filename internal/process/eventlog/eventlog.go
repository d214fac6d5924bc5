// Package eventlog writes the log: one line of key=value pairs for each event.
//
// Decisions about routing and placement are logged too, up to a limit per
// second; the first line of the next second says how many were left out.
//
// # Usage
//
//	j := journal.New(os.Stderr, journal.Info, 50)
//	j.Info("ContractApplied", "Customer", name, "Revision", rev)
//	j.Decision("RequestPlaced", "Agent", a, "Reason", why, "Among", n)
package eventlog

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
)

// Level is the least severity that is written.
type Level int

// Levels.
const (
	Debug Level = iota
	Info
	Warn
	Error
)

var levelNames = map[string]Level{"Debug": Debug, "Info": Info, "Warn": Warn, "Error": Error}

// ParseLevel returns the level of a name; ok is false where there is none.
func ParseLevel(name string) (l Level, ok bool) {
	l, ok = levelNames[name]
	return l, ok
}

// asyncLines bounds the lines that wait for a slow reader of the log.
const asyncLines = 1024

// Async is a writer that never blocks: it drops what its reader is too slow for.
type Async struct {
	lines   chan []byte
	dropped atomic.Int64
	// pending counts lines that are queued or being written.
	pending atomic.Int64
}

// NewAsyncWriter returns a writer that passes lines on to w.
func NewAsyncWriter(w io.Writer) *Async {
	a := &Async{lines: make(chan []byte, asyncLines)}
	go func() {
		for b := range a.lines {
			// There is nowhere to report that the log cannot be written.
			_, _ = w.Write(b)
			a.pending.Add(-1)
		}
	}()
	return a
}

// Write queues a line.
func (a *Async) Write(b []byte) (int, error) {
	a.pending.Add(1)
	select {
	case a.lines <- bytes.Clone(b):
	default:
		a.pending.Add(-1)
		a.dropped.Add(1)
	}
	return len(b), nil
}

// Dropped returns the number of lines that were dropped.
func (a *Async) Dropped() int64 { return a.dropped.Load() }

// Flush waits until queued lines are written, at most for a time.
func (a *Async) Flush(limit time.Duration) {
	for end := time.Now().Add(limit); a.pending.Load() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}

// Logger writes events as lines. It may be shared.
type Logger struct {
	logger log.Logger
	level  Level
	limit  int

	mu      sync.Mutex
	second  int64
	written int
	left    int
}

// New returns a journal with at most limit decision lines a second.
func New(w io.Writer, level Level, limit int) *Logger {
	l := log.NewLogfmtLogger(log.NewSyncWriter(w))
	return &Logger{logger: log.With(l, "Time", log.DefaultTimestampUTC), level: level, limit: limit}
}

// With returns a journal whose lines all carry the pairs. It has a limit of its own.
func (j *Logger) With(pairs ...any) *Logger {
	return &Logger{logger: log.With(j.logger, pairs...), level: j.level, limit: j.limit}
}

// Debug writes an event for developers.
func (j *Logger) Debug(event string, pairs ...any) { j.write(Debug, "Debug", event, pairs) }

// Info writes an ordinary event.
func (j *Logger) Info(event string, pairs ...any) { j.write(Info, "Info", event, pairs) }

// Warn writes an event that an operator may have to look at.
func (j *Logger) Warn(event string, pairs ...any) { j.write(Warn, "Warn", event, pairs) }

// Error writes an event that an operator has to look at.
func (j *Logger) Error(event string, pairs ...any) { j.write(Error, "Error", event, pairs) }

func (j *Logger) write(l Level, name, event string, pairs []any) {
	if l < j.level {
		return
	}
	line := append([]any{"Level", name, "Event", event}, pairs...)
	_ = j.logger.Log(line...)
}

// Decision writes a routing or placement decision unless the limit is reached.
func (j *Logger) Decision(event string, pairs ...any) {
	if j.level > Info {
		return
	}
	leftOut, ok := j.admit(time.Now().Unix())
	if leftOut > 0 {
		j.Info("DecisionsLeftOut", "Count", leftOut)
	}
	if ok {
		j.write(Info, "Info", event, pairs)
	}
}

// DecisionAllowed reports whether a decision line would be written now, so that a busy
// caller need not prepare it. It counts the line as left out otherwise.
func (j *Logger) DecisionAllowed() bool {
	if j.level > Info {
		return false
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.second == time.Now().Unix() && j.written >= j.limit {
		j.left++
		return false
	}
	return true
}

func (j *Logger) admit(second int64) (leftOut int, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if second != j.second {
		leftOut = j.left
		j.second, j.written, j.left = second, 0, 0
	}
	if j.written >= j.limit {
		j.left++
		return leftOut, false
	}
	j.written++
	return leftOut, true
}
