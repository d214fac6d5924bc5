package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record is the file with everything that was sent, answered and run.
type record struct {
	start time.Time

	mu sync.Mutex
	w  *bufio.Writer
	f  *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), w: bufio.NewWriter(f), f: f}, nil
}

// add writes a line with the time since the start, an event and pairs of keys and values.
func (r *record) add(event string, pairs ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "%8.3f %s", time.Since(r.start).Seconds(), event)
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(&b, " %v=%v", pairs[i], pairs[i+1])
	}
	fmt.Fprintln(r.w, b.String())
	if event == "BROKEN" || event == "held" || event == "failed" {
		fmt.Println(b.String())
	}
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.f.Close()
}
