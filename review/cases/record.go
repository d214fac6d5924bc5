package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file, and collects the breaks of rules.
type record struct {
	mu     sync.Mutex
	file   *os.File
	start  time.Time
	breaks []string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now()}, nil
}

// log writes one line.
func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

// breakRule records that a rule was broken.
func (r *record) breakRule(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaks = append(r.breaks, fmt.Sprintf(format, args...))
	r.write("BROKEN "+format, args...)
}

func (r *record) write(format string, args ...any) {
	_, _ = fmt.Fprintf(r.file, "%9.4f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// broken returns the breaks so far.
func (r *record) broken() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.breaks...)
}
