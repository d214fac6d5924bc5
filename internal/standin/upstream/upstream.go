// Package upstream is a stand-in for a customer's service.
//
// It runs requests with random service times on a limited number of slots,
// serves endless feeds, and records each run by the submission's ID. It can shed
// requests, answer late, cut connections, slow down, drain, and report a false health.
//
// # Usage
//
//	u := upstream.New(upstream.Config{Name: "padron-1", Slots: 4, Service: 5 * time.Millisecond, Seed: 1})
//	srv := http.Server{Handler: u.Handler()}
//	u.SetFaults(upstream.Faults{ShedPerMille: 10})
//	runs := u.Runs()
//
// POST /standin/faults also sets the faults; GET /standin/runs returns the runs.
package upstream

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// HeaderSubmission is the request header with the ID under which a run is recorded.
const HeaderSubmission = "Submission-Id"

// HeaderEcho is the response header that repeats the ID, so that a caller can recognise
// the answer to its own request.
const HeaderEcho = "Submission-Echo"

const headerShed = "Jaytack-Shed"

// Config configures a stand-in.
type Config struct {
	Name  string
	Slots int
	// Service is the mean service time.
	Service time.Duration
	// FeedEvery is the interval between lines of a feed, 100 ms if 0.
	FeedEvery time.Duration
	Seed      uint64
}

// Faults are the injected faults.
type Faults struct {
	ShedPerMille     int // Rejects requests, marked as not run.
	CutPerMille      int // Runs requests and closes the connection without an answer.
	CutBodyPerMille  int // Runs requests and closes the connection before the end of the answer.
	FewBytesPerMille int // Runs requests and sends fewer bytes than Content-Length.
	LatePerMille     int // Runs requests and answers LateMillis later, also if cancelled.
	LateMillis       int
	SlowFactor       int // Multiplies service times.
	// Health is the text of the health endpoint; empty for the actual health.
	Health   string
	Draining bool
}

// Run is one run of a submission.
type Run struct {
	ID         string
	Begin, End time.Time
}

// Upstream is the stand-in.
type Upstream struct {
	cfg   Config
	slots chan struct{}

	mu        sync.Mutex
	random    *rand.Rand
	faults    Faults
	runs      map[string]int
	log       []Run
	openFeeds int
	totalRuns int
}

// New returns a stand-in.
func New(cfg Config) *Upstream {
	if cfg.FeedEvery == 0 {
		cfg.FeedEvery = 100 * time.Millisecond
	}
	return &Upstream{
		cfg: cfg, slots: make(chan struct{}, max(cfg.Slots, 1)), runs: make(map[string]int),
		random: rand.New(rand.NewPCG(cfg.Seed, 2)),
	}
}

// SetFaults replaces the faults.
func (u *Upstream) SetFaults(f Faults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = f
}

// Runs returns the number of runs of each submission.
func (u *Upstream) Runs() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return maps.Clone(u.runs)
}

// Log returns all runs of requests with a submission ID, in order.
func (u *Upstream) Log() []Run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.log)
}

// TotalRuns returns the number of runs of all requests, with or without a submission ID.
func (u *Upstream) TotalRuns() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.totalRuns
}

// Handler returns the HTTP handler of the service and the stand-in's own endpoints.
func (u *Upstream) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", u.health)
	mux.HandleFunc("GET /feed/", u.feed)
	mux.HandleFunc("GET /standin/runs", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(u.Runs()) })
	mux.HandleFunc("POST /standin/faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		u.SetFaults(f)
	})
	mux.HandleFunc("/", u.serve)
	return mux
}

func (u *Upstream) health(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	text, draining := u.faults.Health, u.faults.Draining
	u.mu.Unlock()
	if text == "" {
		text = "ok"
		if draining {
			text = "draining"
		}
	}
	_, _ = io.WriteString(w, text)
}

// requestPlan is the service time of one request and the faults that apply to it.
type requestPlan struct {
	faults      Faults
	serviceTime time.Duration
	shed        bool
	cut         bool
	cutBody     bool
	fewBytes    bool
	late        bool
}

func (u *Upstream) drawPlan() requestPlan {
	u.mu.Lock()
	defer u.mu.Unlock()
	f := u.faults
	happens := func(perMille int) bool { return perMille > 0 && u.random.IntN(1000) < perMille }
	return requestPlan{
		faults: f, serviceTime: time.Duration(u.random.ExpFloat64() * float64(u.cfg.Service) * float64(max(f.SlowFactor, 1))),
		shed: happens(f.ShedPerMille), cut: happens(f.CutPerMille), cutBody: happens(f.CutBodyPerMille),
		fewBytes: happens(f.FewBytesPerMille), late: happens(f.LatePerMille),
	}
}

func (u *Upstream) record(id string, begin time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.totalRuns++
	if id != "" {
		u.runs[id]++
		u.log = append(u.log, Run{ID: id, Begin: begin, End: time.Now()})
	}
}

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	begin := time.Now()
	p := u.drawPlan()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if p.shed {
		w.Header().Set(headerShed, "not-run")
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case u.slots <- struct{}{}:
		defer func() { <-u.slots }()
	case <-r.Context().Done():
		return
	}
	id := r.Header.Get(HeaderSubmission)
	u.record(id, begin)
	time.Sleep(p.serviceTime)
	if p.late {
		time.Sleep(time.Duration(p.faults.LateMillis) * time.Millisecond)
	}
	if p.cut {
		panic(http.ErrAbortHandler)
	}
	u.answer(w, id, p)
}

func (u *Upstream) answer(w http.ResponseWriter, id string, p requestPlan) {
	body := fmt.Sprintf("ran %s at %s\n", id, u.cfg.Name)
	w.Header().Set(HeaderEcho, id)
	if p.fewBytes || p.cutBody {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)+10))
		_, _ = io.WriteString(w, body)
		if p.cutBody {
			panic(http.ErrAbortHandler)
		}
		return
	}
	_, _ = io.WriteString(w, body)
}

// feed sends numbered lines until the caller disconnects.
func (u *Upstream) feed(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	u.openFeeds++
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		u.openFeeds--
		u.mu.Unlock()
	}()
	rc := http.NewResponseController(w)
	t := time.NewTicker(u.cfg.FeedEvery)
	defer t.Stop()
	for i := 0; ; i++ {
		if _, err := fmt.Fprintf(w, "%d\n", i); err != nil || rc.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-t.C:
		}
	}
}
