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
	arrivals   map[flowID][]arrival
}

// arrival is a packet, not one that opens a flow, that has reached a target.
type arrival struct {
	at     time.Time
	target string
}

// arrived records that a packet of a flow has reached a target.
func (r *record) arrived(id flowID, target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals[id] = append(r.arrivals[id], arrival{time.Now(), target})
}

// astray returns how many packets of a flow have reached targets other than its own between two
// times, and how many its own.
func (r *record) astray(id flowID, own string, from, to time.Time) (atOthers, atOwn int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.arrivals[id] {
		switch {
		case a.at.Before(from) || a.at.After(to):
		case a.target == own:
			atOwn++
		default:
			atOthers++
		}
	}
	return atOthers, atOwn
}

func newRecord() *record {
	return &record{start: time.Now(), runs: make(map[string][]string), answers: make(map[string]string), arrivals: make(map[flowID][]arrival)}
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
