// Package metrics serves expvar variables over HTTP.
//
// Several roles may run in one process, so each has its own set, which is not
// published in expvar's global map.
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

// ErrListen reports a failure to listen on the metrics address.
var ErrListen = eris.New("cannot listen on the metrics address")

// Set holds the variables of one role.
type Set struct {
	expvar.Map
}

// New returns a set with the variables common to all roles.
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

// Func adds a variable whose value is f's result at the time of the read.
func (s *Set) Func(name string, f func() any) {
	s.Set(name, expvar.Func(f))
}

// Counter returns the counter with a name and creates it on first use.
func (s *Set) Counter(name string) *expvar.Int {
	if v, ok := s.Get(name).(*expvar.Int); ok {
		return v
	}
	s.Add(name, 0)
	v, _ := s.Get(name).(*expvar.Int)
	return v
}

// Range and precision of the values in a histogram.
const (
	minDuration       = time.Microsecond
	maxDuration       = time.Minute
	significantDigits = 2
)

// Histogram is a distribution of durations since the start of the process.
type Histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// Histogram adds a histogram, which is served as a count and as quantiles in
// milliseconds.
func (s *Set) Histogram(name string) *Histogram {
	h := &Histogram{h: hdrhistogram.New(int64(minDuration), int64(maxDuration), significantDigits)}
	s.Func(name, h.summary)
	return h
}

// Record adds a duration, clamped to the histogram's range.
func (h *Histogram) Record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// RecordValue cannot fail for a value in range.
	_ = h.h.RecordValue(int64(min(max(d, minDuration), maxDuration)))
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

// CPUTime returns the user and system CPU time of the process, or 0 if it cannot be
// read.
func CPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

const httpTimeout = time.Second

// Serve serves the set at /debug/vars until stop is called. If the
// address is unset, it does nothing.
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
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: httpTimeout}
	go func() { _ = srv.Serve(lis) }()
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), httpTimeout)
		defer cancel()
		_ = srv.Shutdown(ctx)
	}, nil
}
