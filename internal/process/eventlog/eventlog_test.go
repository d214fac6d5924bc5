package eventlog

import (
	"bytes"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// blockingWriter blocks every write until release is closed.
type blockingWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (w *blockingWriter) Write(b []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(b)
}

func (w *blockingWriter) lines() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return bytes.Count(w.written.Bytes(), []byte("\n"))
}

func TestAsyncWriterDropsLinesForSlowReader(t *testing.T) {
	w := &blockingWriter{release: make(chan struct{})}
	a := NewAsyncWriter(w)
	l := New(a, Info, 1)
	start := time.Now()
	for n := range 3 * asyncQueueLines {
		l.Info("Line", "N", n)
	}
	qt.Assert(t, time.Since(start) < 5*time.Second, qt.IsTrue)
	qt.Assert(t, a.Dropped() >= 2*asyncQueueLines-1, qt.IsTrue)
	close(w.release)
	a.Flush(5 * time.Second)
	qt.Assert(t, w.lines(), qt.Equals, 3*asyncQueueLines-int(a.Dropped()))
}

func TestFlushWaitsForTheLineBeingWritten(t *testing.T) {
	w := &blockingWriter{release: make(chan struct{})}
	a := NewAsyncWriter(w)
	l := New(a, Info, 1)
	l.Info("Stopped")
	go func() {
		time.Sleep(50 * time.Millisecond)
		close(w.release)
	}()
	a.Flush(5 * time.Second)
	qt.Assert(t, w.lines(), qt.Equals, 1)
}
