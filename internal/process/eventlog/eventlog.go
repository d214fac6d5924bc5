// Package eventlog writes structured log events, each as one logfmt line of key=value pairs.
//
// Routing and placement decisions are rate-limited per second. A DecisionsLeftOut
// line before the next decision in a later second reports how many were suppressed.
//
// # Usage
//
//	l := eventlog.New(os.Stderr, eventlog.Info, 50)
//	l.Info("ContractApplied", "Customer", name, "Revision", rev)
//	l.Decision("RequestPlaced", "Agent", a, "Reason", why, "Among", n)
package eventlog

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
)

// Level is the severity of an event. A Logger drops events below its own level.
type Level int

// Levels in ascending order of severity.
const (
	Debug Level = iota
	Info
	Warn
	Error
)

var levelNames = map[string]Level{"Debug": Debug, "Info": Info, "Warn": Warn, "Error": Error}

// ParseLevel returns the level with a name; ok is false if the name is unknown.
func ParseLevel(name string) (l Level, ok bool) {
	l, ok = levelNames[name]
	return l, ok
}

// asyncQueueLines is the capacity of the queue of an AsyncWriter.
const asyncQueueLines = 1024

// AsyncWriter is a writer that never blocks: it drops lines while its queue is full.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	// pending is the number of lines that are queued or being written.
	pending atomic.Int64
}

// NewAsyncWriter returns a writer that writes queued lines to w in a goroutine.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, asyncQueueLines)}
	go func() {
		for b := range a.lines {
			// A failure to write the log cannot be reported anywhere.
			_, _ = w.Write(b)
			a.pending.Add(-1)
		}
	}()
	return a
}

// Write queues a line, or drops it if the queue is full. It never fails.
func (a *AsyncWriter) Write(b []byte) (int, error) {
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
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// Flush waits until all queued lines are written or limit has passed.
func (a *AsyncWriter) Flush(limit time.Duration) {
	for end := time.Now().Add(limit); a.pending.Load() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}

// Logger writes events as lines. It is safe for concurrent use.
type Logger struct {
	logger             log.Logger
	level              Level
	decisionsPerSecond int

	mu               sync.Mutex
	windowSecond     int64
	decisionsWritten int
	suppressed       int
}

// New returns a Logger that writes at most limit decision lines per second.
func New(w io.Writer, level Level, limit int) *Logger {
	l := log.NewLogfmtLogger(log.NewSyncWriter(w))
	return &Logger{logger: log.With(l, "Time", log.DefaultTimestampUTC), level: level, decisionsPerSecond: limit}
}

// With returns a Logger that adds the pairs to every line. Its decision lines are
// limited independently.
func (l *Logger) With(pairs ...any) *Logger {
	return &Logger{logger: log.With(l.logger, pairs...), level: l.level, decisionsPerSecond: l.decisionsPerSecond}
}

// Debug writes an event that helps to diagnose the software.
func (l *Logger) Debug(event string, pairs ...any) { l.write(Debug, "Debug", event, pairs) }

// Info writes an ordinary event.
func (l *Logger) Info(event string, pairs ...any) { l.write(Info, "Info", event, pairs) }

// Warn writes an event that may need an operator's attention.
func (l *Logger) Warn(event string, pairs ...any) { l.write(Warn, "Warn", event, pairs) }

// Error writes an event that needs an operator's attention.
func (l *Logger) Error(event string, pairs ...any) { l.write(Error, "Error", event, pairs) }

func (l *Logger) write(level Level, name, event string, pairs []any) {
	if level < l.level {
		return
	}
	line := append([]any{"Level", name, "Event", event}, pairs...)
	_ = l.logger.Log(line...)
}

// Decision writes a routing or placement decision unless this second's limit is
// reached.
func (l *Logger) Decision(event string, pairs ...any) {
	if l.level > Info {
		return
	}
	suppressed, ok := l.allowDecision(time.Now().Unix())
	if suppressed > 0 {
		l.Info("DecisionsLeftOut", "Count", suppressed)
	}
	if ok {
		l.write(Info, "Info", event, pairs)
	}
}

// DecisionAllowed reports whether a decision line would be written now, so that a caller
// on a hot path can skip building it. A line over the limit counts as suppressed.
func (l *Logger) DecisionAllowed() bool {
	if l.level > Info {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.windowSecond == time.Now().Unix() && l.decisionsWritten >= l.decisionsPerSecond {
		l.suppressed++
		return false
	}
	return true
}

func (l *Logger) allowDecision(second int64) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second != l.windowSecond {
		suppressed = l.suppressed
		l.windowSecond, l.decisionsWritten, l.suppressed = second, 0, 0
	}
	if l.decisionsWritten >= l.decisionsPerSecond {
		l.suppressed++
		return suppressed, false
	}
	l.decisionsWritten++
	return suppressed, true
}
