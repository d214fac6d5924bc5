// Package caller is a stand-in for the callers of the services.
//
// It runs many flows with requests, submissions and feeds, checks that each answer is
// complete and belongs to its request, and reports the outcomes.
//
// # Usage
//
//	c := caller.New(cfg, tlsConfig)
//	report := c.Run(ctx)
package caller

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"github.com/jaytack/jaytack/client"
	"github.com/jaytack/jaytack/internal/customer/contract"
	"github.com/jaytack/jaytack/internal/process/settings"
	"github.com/jaytack/jaytack/internal/standin/upstream"
)

const (
	histogramMax    = int64(time.Minute / time.Microsecond)
	histogramDigits = 3
	feedRetryDelay  = 200 * time.Millisecond
	flowStartJitter = 500 * time.Millisecond
	requestDeadline = 10 * time.Second
	defaultInterval = 100 * time.Millisecond
)

var (
	errFeedEnded   = errors.New("feed ended")
	errFeedRefused = errors.New("feed was refused")
)

// Row is the result of the callers of one load.
type Row struct {
	Service  string
	Kind     string
	Sent     int
	Answered int
	NotRun   int
	Unknown  int
	// Wrong counts answers that were incomplete or belonged to another request.
	Wrong int
	// Broken counts feeds that ended before the run did.
	Broken    int
	P50Millis float64
	P99Millis float64
}

// Report is the result of all callers.
type Report struct {
	Rows []Row
	// Told is the outcome of each submission by its ID.
	Told map[string]client.Outcome
	// Reasons counts the reasons of outcomes other than Answered.
	Reasons map[string]int
}

// Broken returns the number of broken feeds of all loads.
func (r Report) Broken() int {
	n := 0
	for _, row := range r.Rows {
		n += row.Broken
	}
	return n
}

// Wrong returns the number of wrong answers of all loads.
func (r Report) Wrong() int {
	n := 0
	for _, row := range r.Rows {
		n += row.Wrong
	}
	return n
}

// minAnsweredShare is the share of requests that must be answered on an idle machine.
const minAnsweredShare = 0.9

// MostlyAnswered reports whether each load sent requests and got at least 90% of them answered.
func (r Report) MostlyAnswered() bool {
	for _, row := range r.Rows {
		if row.Sent == 0 || float64(row.Answered) < minAnsweredShare*float64(row.Sent) {
			return false
		}
	}
	return true
}

// group is the set of callers of one load with their results.
type group struct {
	load      settings.Load
	mu        sync.Mutex
	row       Row
	latencies *hdrhistogram.Histogram
	outcomes  map[string]client.Outcome
	reasons   map[string]int
}

// Caller runs the callers of all loads.
type Caller struct {
	tls    *tls.Config
	groups []*group
}

// New returns callers for the loads, which start with Run.
func New(loads []settings.Load, cfg *tls.Config) *Caller {
	c := &Caller{tls: cfg}
	for _, l := range loads {
		l.Flows = max(l.Flows, 1)
		if l.Every == 0 {
			l.Every = contract.Duration(defaultInterval)
		}
		c.groups = append(c.groups, &group{
			load: l, row: Row{Service: l.Service, Kind: l.Kind},
			latencies: hdrhistogram.New(1, histogramMax, histogramDigits), outcomes: make(map[string]client.Outcome), reasons: make(map[string]int),
		})
	}
	return c
}

// Run runs the callers until ctx is done and all requests in progress have ended.
func (c *Caller) Run(ctx context.Context) Report {
	var wg sync.WaitGroup
	for _, g := range c.groups {
		for range g.load.Flows {
			wg.Add(1)
			go func() {
				defer wg.Done()
				c.runFlow(ctx, g)
			}()
		}
	}
	wg.Wait()
	return c.Report()
}

// Report returns the results so far.
func (c *Caller) Report() Report {
	r := Report{Told: make(map[string]client.Outcome), Reasons: make(map[string]int)}
	for _, g := range c.groups {
		g.mu.Lock()
		row := g.row
		row.P50Millis = float64(g.latencies.ValueAtQuantile(50)) / 1000
		row.P99Millis = float64(g.latencies.ValueAtQuantile(99)) / 1000
		for id, o := range g.outcomes {
			r.Told[id] = o
		}
		for reason, n := range g.reasons {
			r.Reasons[reason] += n
		}
		g.mu.Unlock()
		r.Rows = append(r.Rows, row)
	}
	return r
}

func (c *Caller) runFlow(ctx context.Context, g *group) {
	cl := client.New(client.Config{Address: g.load.Address, TLS: c.tls, Deadline: requestDeadline})
	defer cl.Close()
	if sleep(ctx, rand.N(flowStartJitter)) {
		return
	}
	if g.load.Feed {
		c.runFeed(ctx, cl, g)
		return
	}
	interval := time.Duration(g.load.Every)
	for {
		c.sendRequest(cl, g)
		if sleep(ctx, interval/2+rand.N(interval)) {
			return
		}
	}
}

// sleep waits and reports whether ctx is done.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return true
	case <-t.C:
		return false
	}
}

func (c *Caller) sendRequest(cl *client.Client, g *group) {
	// The request has its own context, so that it is completed when the run ends.
	ctx, cancel := context.WithTimeout(context.Background(), requestDeadline)
	defer cancel()
	id := uuid.NewString()
	h := http.Header{upstream.HeaderSubmission: {id}}
	start := time.Now()
	var a client.Answer
	if g.load.Post {
		a, _ = cl.Submit(ctx, g.load.Path, make([]byte, g.load.Bytes), h)
	} else {
		a, _ = cl.Get(ctx, g.load.Path, h)
	}
	g.record(id, a, time.Since(start))
}

func (g *group) record(id string, a client.Answer, latency time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.row.Sent++
	switch a.Outcome {
	case client.Answered:
		g.row.Answered++
		_ = g.latencies.RecordValue(latency.Microseconds())
		if !isCorrectAnswer(id, a) {
			g.row.Wrong++
		}
	case client.NotRun:
		g.row.NotRun++
	default:
		g.row.Unknown++
	}
	if a.Outcome != client.Answered {
		g.reasons[a.Outcome.String()+a.Reason]++
	}
	if g.load.Post {
		g.outcomes[id] = a.Outcome
	}
}

func isCorrectAnswer(id string, a client.Answer) bool {
	return a.Header.Get(upstream.HeaderEcho) == id && strings.HasPrefix(string(a.Body), fmt.Sprintf("ran %s at ", id)) &&
		strings.HasSuffix(string(a.Body), "\n")
}

// runFeed reads a feed until ctx is done, and reopens it after it breaks.
func (c *Caller) runFeed(ctx context.Context, cl *client.Client, g *group) {
	for {
		g.updateRow(func(r *Row) { r.Sent++ })
		err := readFeed(ctx, cl, g)
		if ctx.Err() != nil {
			return
		}
		if !errors.Is(err, errFeedRefused) {
			g.updateRow(func(r *Row) { r.Broken++ })
		}
		if sleep(ctx, feedRetryDelay) {
			return
		}
	}
}

func (g *group) updateRow(f func(r *Row)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(&g.row)
}

func readFeed(ctx context.Context, cl *client.Client, g *group) error {
	body, err := cl.Feed(ctx, g.load.Path, nil)
	if err != nil {
		g.updateRow(func(r *Row) { r.NotRun++ })
		return errFeedRefused
	}
	defer func() { _ = body.Close() }()
	g.updateRow(func(r *Row) { r.Answered++ })
	s := bufio.NewScanner(body)
	for want := 0; s.Scan(); want++ {
		if got, err := strconv.Atoi(s.Text()); err != nil || got != want {
			g.updateRow(func(r *Row) { r.Wrong++ })
			return fmt.Errorf("feed line %q instead of %d", s.Text(), want)
		}
	}
	if s.Err() != nil {
		return s.Err()
	}
	return errFeedEnded
}
