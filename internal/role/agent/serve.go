package agent

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/jaytack/jaytack/internal/request/outcome"
)

// The ticket endpoint, which the agent serves itself.
const (
	ticketsPath          = "/.well-known/jaytack/tickets"
	maxTicketsPerRequest = 64
)

const (
	feedBufferBytes = 2 << 10 // per open feed
	// retryJitter is the largest random increase of a Retry-After delay, as a fraction.
	retryJitter = 0.5
)

// serveHTTP handles a request of a caller.
func (a *Agent) serveHTTP(w http.ResponseWriter, r *http.Request) {
	p := a.policy.Load()
	if p == nil {
		a.writeRefusal(w, r, "", notRunReply("NoContract", time.Second))
		return
	}
	if r.URL.Path == ticketsPath {
		a.serveTickets(w, r)
		return
	}
	kind, ok := p.service.KindFor(r.URL.Path)
	if !ok {
		a.writeRefusal(w, r, "", reply{outcome: outcome.NotRun, status: http.StatusNotFound, reason: "UnknownKind"})
		return
	}
	c := &call{id: uuid.NewString(), kind: kind, method: r.Method, path: r.URL.RequestURI(), header: r.Header}
	if kind.Feed {
		a.serveFeed(w, r, c)
		return
	}
	timeout, err := requestTimeout(r, time.Duration(kind.Deadline))
	if err != nil {
		a.writeRefusal(w, r, c.id, reply{outcome: outcome.NotRun, status: http.StatusBadRequest, reason: "BadDeadline"})
		return
	}
	c.deadline = time.Now().Add(timeout)
	a.serveCall(w, r, c, p)
}

func (a *Agent) serveCall(w http.ResponseWriter, r *http.Request, c *call, p *policy) {
	ticket, key := r.Header.Get(HeaderTicket), r.Header.Get(HeaderIdempotencyKey)
	atMostOnce := !c.kind.Idempotent && (ticket != "" || key != "")
	if !atMostOnce && !a.requestLimiter.Allow() {
		a.metrics.Add("RefusedRate", 1)
		a.writeReply(w, c.id, reply{outcome: outcome.NotRun, status: http.StatusTooManyRequests, reason: "RateLimit", retryAfter: time.Second})
		return
	}
	release, refusal := a.readBody(r, c, p.limits.BodyBytes)
	defer release()
	if refusal != nil {
		a.writeRefusal(w, r, c.id, *refusal)
		return
	}
	var rep reply
	switch {
	case atMostOnce && ticket != "":
		rep = a.routeTicket(r.Context(), c, ticket)
	case atMostOnce:
		rep = a.routeKey(r.Context(), c, key)
	default:
		rep = a.dispatch(r.Context(), c)
	}
	defer rep.close()
	a.metrics.Add("Requests"+rep.outcome.String(), 1)
	a.writeReply(w, c.id, rep)
}

// writeRefusal writes a refusal. For a request with a ticket or key, NotRun becomes
// Unknown, since the agent did not ask the process that decides on the submission.
func (a *Agent) writeRefusal(w http.ResponseWriter, r *http.Request, id string, rep reply) {
	if r.Header.Get(HeaderTicket) != "" || r.Header.Get(HeaderIdempotencyKey) != "" {
		rep = rep.notRunAsUnknown()
	}
	a.writeReply(w, id, rep)
}

func requestTimeout(r *http.Request, maxTimeout time.Duration) (time.Duration, error) {
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		return maxTimeout, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return 0, errors.New("the deadline must be a positive duration")
	}
	return min(d, maxTimeout), nil
}

// readBody reads the whole body into c before the call is dispatched, and reserves
// memory for it until release is called. refusal is nil on success.
func (a *Agent) readBody(r *http.Request, c *call, limit int64) (release func(), refusal *reply) {
	reserved := min(max(r.ContentLength, 0), limit)
	if r.ContentLength < 0 {
		reserved = limit
	}
	release = func() { a.bufferedBodyBytes.Add(-reserved) }
	if a.bufferedBodyBytes.Add(reserved) > maxBufferedBodyBytes && reserved > 0 {
		v := notRunReply("BodyMemory", time.Second)
		return release, &v
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		v := reply{outcome: outcome.NotRun, status: http.StatusBadRequest, reason: "BodyCut"}
		return release, &v
	}
	if int64(len(body)) > limit {
		v := reply{outcome: outcome.NotRun, status: http.StatusRequestEntityTooLarge, reason: "BodyTooLarge"}
		return release, &v
	}
	c.body = body
	return release, nil
}

// writeReply writes a reply. If the answer is cut short it aborts the stream, so that
// the caller does not mistake it for complete.
func (a *Agent) writeReply(w http.ResponseWriter, id string, r reply) {
	h := w.Header()
	for k, vs := range r.header {
		h[k] = vs
	}
	h.Set(HeaderOutcome, r.outcome.String())
	if id != "" {
		h.Set(HeaderRequestID, id)
	}
	if r.reason != "" {
		h.Set(HeaderReason, r.reason)
	}
	if r.retryAfter > 0 {
		d := time.Duration(float64(r.retryAfter) * (1 + retryJitter*rand.Float64()))
		h.Set(HeaderRetryAfter, d.Round(time.Millisecond).String())
		h.Set("Retry-After", strconv.Itoa(int(d/time.Second)+1))
	}
	if r.rest == nil {
		h.Set("Content-Length", strconv.Itoa(len(r.body)))
	}
	w.WriteHeader(r.status)
	if _, err := w.Write(r.body); err != nil || r.rest == nil {
		return
	}
	if _, err := io.Copy(w, r.rest); err != nil {
		a.metrics.Add("AnswersCut", 1)
		panic(http.ErrAbortHandler)
	}
}

// serveFeed streams an answer of unbounded length. A feed uses a flow but no slot.
func (a *Agent) serveFeed(w http.ResponseWriter, r *http.Request, c *call) {
	if a.upstream.isDown() || a.draining.Load() {
		a.writeReply(w, c.id, notRunReply("NoUpstream", probeInterval))
		return
	}
	a.openFeeds.Add(1)
	defer a.openFeeds.Add(-1)
	res, err := a.upstream.openFeed(r.Context(), c)
	if err != nil {
		rep := a.upstream.failureReply(err)
		a.writeReply(w, c.id, rep)
		return
	}
	defer func() { _ = res.Body.Close() }()
	copyHeader(w.Header(), res.Header)
	w.Header().Set(HeaderOutcome, outcome.Answered.String())
	w.Header().Set(HeaderRequestID, c.id)
	w.WriteHeader(res.StatusCode)
	if err := copyFeed(w, res.Body); err != nil {
		a.metrics.Add("FeedsCut", 1)
		a.Info("FeedCut", "Request", c.id, "Kind", c.kind.Name, "Reason", err)
		panic(http.ErrAbortHandler)
	}
}

func copyFeed(w http.ResponseWriter, body io.Reader) error {
	rc := http.NewResponseController(w)
	buf := make([]byte, feedBufferBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return werr
			}
			if ferr := rc.Flush(); ferr != nil {
				return ferr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// serveTickets issues tickets for submissions.
func (a *Agent) serveTickets(w http.ResponseWriter, r *http.Request) {
	n, err := strconv.Atoi(r.URL.Query().Get("n"))
	if err != nil || n < 1 {
		n = 1
	}
	out := make([]string, min(n, maxTicketsPerRequest))
	for i := range out {
		out[i] = a.issueTicket()
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(out); err != nil {
		a.Debug("TicketsUnsent", "Reason", err)
	}
}

// detachFromCaller returns a context that ends at deadline but not when the caller
// disconnects, so that a submission's outcome is recorded in any case.
func detachFromCaller(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	return context.WithDeadline(context.WithoutCancel(ctx), deadline)
}
