// Package client is an HTTP/3 client for services behind jaytack.
//
// A Client keeps one flow to a service. It sends the deadline with each request,
// fetches a ticket before a submission, retries only where that is safe, and
// reports one of three outcomes. A plain HTTP/3 client works as well; the
// operators' pages describe the headers.
//
// # Usage
//
//	c := client.New(client.Config{Address: address, TLS: tlsConfig})
//	defer c.Close()
//	a, err := c.Submit(ctx, "/counts", body, nil)
//	switch a.Outcome {
//	case client.Answered:
//	case client.NotRun:
//		// Safe to submit again.
//	case client.Unknown:
//		// The submission may have run.
//	}
package client

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/quic-go/quic-go/http3"
)

// Outcome is the result of a request.
type Outcome int

// Outcomes.
const (
	// Unknown means that the request may have run, or may still run.
	Unknown Outcome = iota
	// Answered means that the request ran and the answer is complete.
	Answered
	// NotRun means that the request has not run and will not run.
	NotRun
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	return [...]string{"Unknown", "Answered", "NotRun"}[o]
}

// Defaults and limits of a client. Sizes are in bytes.
const (
	defaultDeadline = 10 * time.Second
	defaultTries    = 3
	defaultPatience = time.Second
	initialBackoff  = 20 * time.Millisecond
	idleTimeout     = 30 * time.Second
	keepAlivePeriod = 10 * time.Second
	maxAnswerBytes  = 64 << 20
)

// reasonDeciderGone means that the agent that issued the ticket is gone, so that
// a retry cannot determine the outcome.
const reasonDeciderGone = "DeciderGone"

const (
	headerOutcome  = "Jaytack-Outcome"
	headerReason   = "Jaytack-Reason"
	headerDeadline = "Jaytack-Deadline"
	headerTicket   = "Jaytack-Ticket"
	headerAttempt  = "Jaytack-Attempt"
	headerRetry    = "Jaytack-Retry-After"
	ticketsPath    = "/.well-known/jaytack/tickets"
)

// ErrFeed reports that the service refused a feed.
var ErrFeed = errors.New("feed was refused")

// Config configures a Client. Zero values of Deadline, Tries and Patience mean 10 s,
// 3 tries and 1 s.
type Config struct {
	// Address is the service's address.
	Address netip.AddrPort
	// TLS sets the server name and the root certificates; it is required.
	TLS *tls.Config
	// Deadline limits a request whose context has no deadline.
	Deadline time.Duration
	// Tries is the maximum number of tries of one request.
	Tries int
	// Patience is how long a try waits for an answer before the next one uses a
	// new flow; it doubles with each try.
	Patience time.Duration
}

// Answer is the outcome of a request, with the response if there is one.
type Answer struct {
	Outcome Outcome
	// Status, Header and Body are the service's response if Outcome is Answered.
	Status int
	Header http.Header
	Body   []byte
	// Reason is jaytack's reason if Outcome is not Answered.
	Reason string
	// RetryAfter is the time to wait before a refused request is retried.
	RetryAfter time.Duration
	// Tries is the number of tries made.
	Tries int
}

// Client sends requests over one flow. It opens a new flow when the current one
// breaks or does not answer in time. It is safe for concurrent use.
type Client struct {
	cfg Config

	mu      sync.Mutex
	current *flow
	tickets []string
	closed  bool
}

// New returns a client. The first request opens the flow.
func New(cfg Config) *Client {
	if cfg.Deadline == 0 {
		cfg.Deadline = defaultDeadline
	}
	if cfg.Tries == 0 {
		cfg.Tries = defaultTries
	}
	if cfg.Patience == 0 {
		cfg.Patience = defaultPatience
	}
	cfg.TLS = cfg.TLS.Clone()
	cfg.TLS.NextProtos = []string{http3.NextProtoH3}
	return &Client{cfg: cfg}
}

// Close closes the current flow. Requests and feeds in progress on it fail.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.current != nil {
		c.current.close()
		c.current = nil
	}
}

// acquire returns the current flow and opens one if necessary. The caller must
// release it.
func (c *Client) acquire(ctx context.Context) (*flow, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, net.ErrClosed
	}
	if c.current == nil || c.current.isBroken() {
		if c.current != nil {
			c.current.close()
		}
		c.current, c.tickets = nil, nil
		f, err := c.openWithRetry(ctx)
		if err != nil {
			return nil, err
		}
		c.current = f
	}
	c.current.users++
	return c.current, nil
}

// openWithRetry opens a flow. A handshake that takes longer than the patience is
// restarted, since a new flow may reach another agent.
func (c *Client) openWithRetry(ctx context.Context) (*flow, error) {
	for {
		tryCtx, cancel := context.WithTimeout(ctx, c.cfg.Patience)
		f, err := openFlow(tryCtx, c.cfg)
		timedOut := tryCtx.Err() != nil
		cancel()
		if err == nil || ctx.Err() != nil || !timedOut {
			return f, err
		}
	}
}

// release ends one use of a flow. A flow that is no longer current is closed
// when its last user releases it.
func (c *Client) release(f *flow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f.users--
	if f != c.current && f.users == 0 {
		f.close()
	}
}

// detach makes the next request open a new flow. Requests in progress keep f.
func (c *Client) detach(f *flow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == f {
		c.current, c.tickets = nil, nil
	}
}

// Get sends an idempotent GET request and retries it.
func (c *Client) Get(ctx context.Context, path string, header http.Header) (Answer, error) {
	return c.retry(ctx, func(ctx context.Context, try int) (Answer, error) {
		return c.tryOnce(ctx, try, http.MethodGet, path, nil, header)
	})
}

// Do sends a request once, without retries, with the caller's own headers, such
// as an Idempotency-Key.
func (c *Client) Do(ctx context.Context, method, path string, body []byte, header http.Header) (Answer, error) {
	ctx, cancel := c.withDeadline(ctx)
	defer cancel()
	a, err := c.tryOnce(ctx, c.cfg.Tries, method, path, body, header)
	a.Tries = 1
	return a, err
}

func (c *Client) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, c.cfg.Deadline)
}

// retry calls tryOnce until it is answered, the outcome can no longer be determined,
// or the tries or the time are used up.
func (c *Client) retry(ctx context.Context, tryOnce func(ctx context.Context, try int) (Answer, error)) (Answer, error) {
	ctx, cancel := c.withDeadline(ctx)
	defer cancel()
	backoff := initialBackoff
	for try := 1; ; try++ {
		a, err := tryOnce(ctx, try)
		a.Tries = try
		final := a.Outcome == Answered || a.Reason == reasonDeciderGone
		if final || try >= c.cfg.Tries || ctx.Err() != nil {
			return a, err
		}
		wait := max(backoff, a.RetryAfter)
		wait += rand.N(wait)
		if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= wait {
			return a, err
		}
		backoff *= 2
		select {
		case <-ctx.Done():
			return a, ctx.Err()
		case <-time.After(wait):
		}
	}
}

// tryOnce makes one try. If there is no answer within the patience, it detaches the
// flow, so that the next try opens another.
func (c *Client) tryOnce(ctx context.Context, try int, method, path string, body []byte, header http.Header) (Answer, error) {
	f, err := c.acquire(ctx)
	if err != nil {
		// Without a flow, nothing of this try was sent.
		return Answer{Outcome: NotRun, Reason: "NoFlow"}, err
	}
	defer c.release(f)
	req, err := c.newRequest(ctx, method, path, body, header)
	if err != nil {
		return Answer{Outcome: NotRun, Reason: "BadRequest"}, err
	}
	tryCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	patienceTimer := time.AfterFunc(c.cfg.Patience<<(try-1), func() {
		c.detach(f)
		if try < c.cfg.Tries {
			cancel()
		}
	})
	defer patienceTimer.Stop()
	res, err := f.http.RoundTrip(req.WithContext(tryCtx))
	if err != nil {
		if ctx.Err() == nil {
			c.detach(f)
		}
		return answerForError(err), err
	}
	patienceTimer.Stop()
	defer func() { _ = res.Body.Close() }()
	a := Answer{Outcome: parseOutcome(res.Header.Get(headerOutcome)), Status: res.StatusCode, Header: res.Header}
	a.Reason = res.Header.Get(headerReason)
	a.RetryAfter, _ = time.ParseDuration(res.Header.Get(headerRetry))
	if a.Body, err = io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes)); err != nil {
		return Answer{Outcome: Unknown, Reason: "AnswerCut"}, err
	}
	return a, nil
}

// answerForError returns the outcome of a try that failed without an answer. A server
// that is shutting down rejects requests that it has not processed.
func answerForError(err error) Answer {
	var h3 *http3.Error
	if errors.As(err, &h3) && h3.ErrorCode == http3.ErrCodeRequestRejected {
		return Answer{Outcome: NotRun, Reason: "FlowLeaves"}
	}
	return Answer{Outcome: Unknown, Reason: "FlowBroke"}
}

func (c *Client) newRequest(ctx context.Context, method, path string, body []byte, header http.Header) (*http.Request, error) {
	var r io.Reader
	if body != nil {
		r = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "https://"+c.cfg.Address.String()+path, r)
	if err != nil {
		return nil, err
	}
	req.Header = cloneHeader(header)
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(headerDeadline, time.Until(deadline).String())
	}
	return req, nil
}

func cloneHeader(h http.Header) http.Header {
	if h == nil {
		return make(http.Header)
	}
	return h.Clone()
}

func parseOutcome(name string) Outcome {
	switch name {
	case "Answered":
		return Answered
	case "NotRun":
		return NotRun
	}
	return Unknown
}

// Feed opens a response of unlimited length, which the caller reads and must close.
// The feed ends when ctx is cancelled.
func (c *Client) Feed(ctx context.Context, path string, header http.Header) (io.ReadCloser, error) {
	f, err := c.acquire(ctx)
	if err != nil {
		return nil, err
	}
	body, err := c.openFeed(ctx, f, path, header)
	if err != nil {
		c.release(f)
		return nil, err
	}
	return &feedBody{ReadCloser: body, release: sync.OnceFunc(func() { c.release(f) })}, nil
}

func (c *Client) openFeed(ctx context.Context, f *flow, path string, header http.Header) (io.ReadCloser, error) {
	req, err := c.newRequest(ctx, http.MethodGet, path, nil, header)
	if err != nil {
		return nil, err
	}
	res, err := f.http.RoundTrip(req)
	if err != nil {
		c.detach(f)
		return nil, err
	}
	if parseOutcome(res.Header.Get(headerOutcome)) != Answered || res.StatusCode != http.StatusOK {
		_ = res.Body.Close()
		c.detach(f)
		return nil, ErrFeed
	}
	return res.Body, nil
}

// feedBody is the response body of a feed; closing it releases the flow.
type feedBody struct {
	io.ReadCloser
	release func()
}

// Close closes the body and releases the flow.
func (f *feedBody) Close() error {
	err := f.ReadCloser.Close()
	f.release()
	return err
}
