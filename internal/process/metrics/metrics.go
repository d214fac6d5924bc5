// Package metrics serves a process's expvar variables.
//
// Several roles may run in one process, so each has a map of its own that is
// not published under a global name.
//
// # Usage
//
//	m := metrics.New()
//	m.Func("Flows", func() any { return n })
//	stop, err := metrics.Serve(address, m)
package metrics

import (
	"context"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"
)

// ErrListen reports an address that cannot be used.
var ErrListen = eris.New("cannot listen on the metrics address")

// Set is the variables of one role.
type Set struct {
	expvar.Map
}

// New returns a set with the variables that every role has.
func New() *Set {
	s := &Set{}
	s.Init()
	s.Func("HeapBytes", func() any {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	})
	s.Func("Goroutines", func() any { return runtime.NumGoroutine() })
	s.Func("CPUSeconds", func() any { return CPUTime().Seconds() })
	return s
}

// Func adds a variable that is computed when it is read.
func (s *Set) Func(name string, f func() any) {
	s.Set(name, expvar.Func(f))
}

// Counter returns a counter, which is created on first use.
func (s *Set) Counter(name string) *expvar.Int {
	if v, ok := s.Get(name).(*expvar.Int); ok {
		return v
	}
	s.Add(name, 0)
	v, _ := s.Get(name).(*expvar.Int)
	return v
}

// Bounds of a histogram's values, and the digits that it keeps.
const (
	leastRecorded = time.Microsecond
	mostRecorded  = time.Minute
	digitsKept    = 2
)

// Histogram is a distribution of durations since the start of the process.
type Histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// Histogram adds a histogram to the set; it shows as counts and milliseconds.
func (s *Set) Histogram(name string) *Histogram {
	h := &Histogram{h: hdrhistogram.New(int64(leastRecorded), int64(mostRecorded), digitsKept)}
	s.Func(name, h.summary)
	return h
}

// Record adds a duration; what is out of bounds is cut to them.
func (h *Histogram) Record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// Within the bounds this cannot fail.
	_ = h.h.RecordValue(int64(min(max(d, leastRecorded), mostRecorded)))
}

func (h *Histogram) summary() any {
	h.mu.Lock()
	defer h.mu.Unlock()
	ms := func(ns int64) float64 { return float64(ns) / float64(time.Millisecond) }
	return map[string]any{
		"Count": h.h.TotalCount(), "P50Millis": ms(h.h.ValueAtQuantile(50)), "P90Millis": ms(h.h.ValueAtQuantile(90)),
		"P99Millis": ms(h.h.ValueAtQuantile(99)), "MaxMillis": ms(h.h.Max()),
	}
}

// CPUTime returns the processor time that the process has used.
func CPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

const shutdownTimeout = time.Second

// Serve serves the set at /debug/vars until stop is called. An invalid address
// serves nothing.
func Serve(a netip.AddrPort, s *Set) (stop func(), err error) {
	if !a.IsValid() {
		return func() {}, nil
	}
	lis, err := net.Listen("tcp", a.String())
	if err != nil {
		return nil, eris.Wrap(ErrListen, err.Error())
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintln(w, s.String())
	})
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: shutdownTimeout}
	go func() { _ = srv.Serve(lis) }()
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = srv.Shutdown(ctx)
	}, nil
}
