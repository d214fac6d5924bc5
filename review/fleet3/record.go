package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record collects what was sent, answered and run, and the rules that were broken.
type record struct {
	mu         sync.Mutex
	start      time.Time
	lines      []string
	violations []string
	runs       map[string][]string
	answers    map[string]string
	requests   []string
}

func newRecord() *record {
	return &record{start: time.Now(), runs: make(map[string][]string), answers: make(map[string]string)}
}

func (r *record) add(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	r.lines = append(r.lines, line)
	fmt.Println(line)
}

// printf adds a line.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(format, args...)
}

// violate records that a rule was broken.
func (r *record) violate(rule, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, rule)
	r.add("BROKEN "+rule+": "+format, args...)
}

func (r *record) sent(request string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, request)
	r.add("sent %s", request)
}

// ran records that a target began a request.
func (r *record) ran(request, target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[request] = append(r.runs[request], target)
	r.add("run %s at %s", request, target)
	if len(r.runs[request]) > 1 {
		r.violations = append(r.violations, "TWICE")
		r.add("BROKEN: %s has run twice: %v", request, r.runs[request])
	}
}

func (r *record) answered(request, outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers[request] = outcome
	r.add("outcome %s: %s", request, outcome)
}

// isBroken reports whether a rule was broken.
func (r *record) isBroken() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.violations) > 0
}

// write writes the record to a file.
func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}
