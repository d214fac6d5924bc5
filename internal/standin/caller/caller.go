// Package caller is a stand-in for the callers of the services.
//
// It runs many flows with requests, submissions and feeds, checks that each
// answer is the whole answer to its own request, and reports what callers were
// told.
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
	feedRetry       = 200 * time.Millisecond
	flowOpenSpread  = 500 * time.Millisecond
	requestDeadline = 10 * time.Second
	defaultEvery    = 100 * time.Millisecond
)

var (
	errFeedEnded   = errors.New("feed ended")
	errFeedRefused = errors.New("feed was refused")
)

// Row is what the callers of one kind saw.
type Row struct {
	Service  string
	Kind     string
	Sent     int
	Answered int
	NotRun   int
	Unknown  int
	// Wrong counts answers that were not the caller's own or not whole.
	Wrong int
	// Broken counts feeds and flows that ended although nobody ended them.
	Broken    int
	P50Millis float64
	P99Millis float64
}

// Report is what all callers saw.
type Report struct {
	Rows []Row
	// Told gives the outcome that was told for each submission.
	Told map[string]client.Outcome
	// Reasons counts the reasons that were given for other outcomes than Answered.
	Reasons map[string]int
}

// Broken returns the number of broken flows.
func (r Report) Broken() int {
	n := 0
	for _, row := range r.Rows {
		n += row.Broken
	}
	return n
}

// Wrong returns the number of wrong answers.
func (r Report) Wrong() int {
	n := 0
	for _, row := range r.Rows {
		n += row.Wrong
	}
	return n
}

// servedShare is the part of the requests that a quiet fleet must answer.
const servedShare = 0.9

// MostlyAnswered reports whether each kind of caller was answered nearly always.
func (r Report) MostlyAnswered() bool {
	for _, row := range r.Rows {
		if row.Sent == 0 || float64(row.Answered) < servedShare*float64(row.Sent) {
			return false
		}
	}
	return true
}

// group is the callers of one load.
type group struct {
	load settings.Load
	mu   sync.Mutex
	row  Row
	wait *hdrhistogram.Histogram
	told map[string]client.Outcome
	why  map[string]int
}

// Caller runs the loads.
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
			l.Every = contract.Duration(defaultEvery)
		}
		c.groups = append(c.groups, &group{
			load: l, row: Row{Service: l.Service, Kind: l.Kind},
			wait: hdrhistogram.New(1, histogramMax, histogramDigits), told: make(map[string]client.Outcome), why: make(map[string]int),
		})
	}
	return c
}

// Run runs the callers until ctx is done and every request under way has ended.
func (c *Caller) Run(ctx context.Context) Report {
	var wg sync.WaitGroup
	for _, g := range c.groups {
		for range g.load.Flows {
			wg.Add(1)
			go func() {
				defer wg.Done()
				c.flow(ctx, g)
			}()
		}
	}
	wg.Wait()
	return c.Report()
}

// Report returns what the callers have seen so far.
func (c *Caller) Report() Report {
	r := Report{Told: make(map[string]client.Outcome), Reasons: make(map[string]int)}
	for _, g := range c.groups {
		g.mu.Lock()
		row := g.row
		row.P50Millis = float64(g.wait.ValueAtQuantile(50)) / 1000
		row.P99Millis = float64(g.wait.ValueAtQuantile(99)) / 1000
		for id, o := range g.told {
			r.Told[id] = o
		}
		for why, n := range g.why {
			r.Reasons[why] += n
		}
		g.mu.Unlock()
		r.Rows = append(r.Rows, row)
	}
	return r
}

func (c *Caller) flow(ctx context.Context, g *group) {
	cl := client.New(client.Config{Address: g.load.Address, TLS: c.tls, Deadline: requestDeadline})
	defer cl.Close()
	if sleep(ctx, rand.N(flowOpenSpread)) {
		return
	}
	if g.load.Feed {
		c.feed(ctx, cl, g)
		return
	}
	every := time.Duration(g.load.Every)
	for {
		c.request(cl, g)
		if sleep(ctx, every/2+rand.N(every)) {
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

func (c *Caller) request(cl *client.Client, g *group) {
	// A request under way is not abandoned when the run ends.
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
	g.note(id, a, time.Since(start))
}

func (g *group) note(id string, a client.Answer, wait time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.row.Sent++
	switch a.Outcome {
	case client.Answered:
		g.row.Answered++
		_ = g.wait.RecordValue(wait.Microseconds())
		if !ownAnswer(id, a) {
			g.row.Wrong++
		}
	case client.NotRun:
		g.row.NotRun++
	default:
		g.row.Unknown++
	}
	if a.Outcome != client.Answered {
		g.why[a.Outcome.String()+a.Reason]++
	}
	if g.load.Post {
		g.told[id] = a.Outcome
	}
}

func ownAnswer(id string, a client.Answer) bool {
	return a.Header.Get(upstream.HeaderEcho) == id && strings.HasPrefix(string(a.Body), fmt.Sprintf("ran %s at ", id)) &&
		strings.HasSuffix(string(a.Body), "\n")
}

// feed reads a feed until ctx is done; it opens it again when it breaks.
func (c *Caller) feed(ctx context.Context, cl *client.Client, g *group) {
	for {
		g.add(func(r *Row) { r.Sent++ })
		err := readFeed(ctx, cl, g)
		if ctx.Err() != nil {
			return
		}
		if !errors.Is(err, errFeedRefused) {
			g.add(func(r *Row) { r.Broken++ })
		}
		if sleep(ctx, feedRetry) {
			return
		}
	}
}

func (g *group) add(f func(r *Row)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(&g.row)
}

func readFeed(ctx context.Context, cl *client.Client, g *group) error {
	body, err := cl.Feed(ctx, g.load.Path, nil)
	if err != nil {
		g.add(func(r *Row) { r.NotRun++ })
		return errFeedRefused
	}
	defer func() { _ = body.Close() }()
	g.add(func(r *Row) { r.Answered++ })
	s := bufio.NewScanner(body)
	for want := 0; s.Scan(); want++ {
		if got, err := strconv.Atoi(s.Text()); err != nil || got != want {
			g.add(func(r *Row) { r.Wrong++ })
			return fmt.Errorf("feed line %q instead of %d", s.Text(), want)
		}
	}
	if s.Err() != nil {
		return s.Err()
	}
	return errFeedEnded
}
