package eventlog

import (
	"bytes"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// slowWriter blocks until it is released.
type slowWriter struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (w *slowWriter) Write(b []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.got.Write(b)
}

func (w *slowWriter) lines() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return bytes.Count(w.got.Bytes(), []byte("\n"))
}

func TestSlowReaderLosesLinesAndBlocksNobody(t *testing.T) {
	w := &slowWriter{release: make(chan struct{})}
	a := NewAsyncWriter(w)
	j := New(a, Info, 1)
	start := time.Now()
	for n := range 3 * asyncLines {
		j.Info("Line", "N", n)
	}
	qt.Assert(t, time.Since(start) < 5*time.Second, qt.IsTrue)
	qt.Assert(t, a.Dropped() >= 2*asyncLines-1, qt.IsTrue)
	close(w.release)
	a.Flush(5 * time.Second)
	qt.Assert(t, w.lines(), qt.Equals, 3*asyncLines-int(a.Dropped()))
}

func TestFlushWaitsForTheLineBeingWritten(t *testing.T) {
	w := &slowWriter{release: make(chan struct{})}
	a := NewAsyncWriter(w)
	j := New(a, Info, 1)
	j.Info("Stopped")
	go func() {
		time.Sleep(50 * time.Millisecond)
		close(w.release)
	}()
	a.Flush(5 * time.Second)
	qt.Assert(t, w.lines(), qt.Equals, 1)
}
