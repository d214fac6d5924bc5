package agent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jaytack/jaytack/internal/process/metrics"
	"github.com/jaytack/jaytack/internal/request/outcome"
)

// Timeouts, intervals and limits of the upstream client.
const (
	upstreamDialTimeout = time.Second
	probeInterval       = 500 * time.Millisecond
	probeTimeout        = 2 * time.Second
	downAfterFailures   = 3
	initialShedPause    = 20 * time.Millisecond
	maxShedPause        = 2 * time.Second
	drainingText        = "draining"
	maxProbeBodyBytes   = 256
	maxShedDoublings    = 16
)

const reasonDeadlinePassed = "DeadlinePassed"

// upstream is the client of the agent's upstream. It derives the upstream's health
// from the results of calls and probes.
type upstream struct {
	baseURL             string
	client              *http.Client
	metrics             *metrics.Set
	served              atomic.Int64
	failuresSinceAnswer atomic.Int64
	shedsSinceAnswer    atomic.Int64
	shedUntil           atomic.Int64
	draining            atomic.Bool
}

func newUpstream(a netip.AddrPort, m *metrics.Set) *upstream {
	d := net.Dialer{Timeout: upstreamDialTimeout}
	return &upstream{
		baseURL: "http://" + a.String(), metrics: m,
		client: &http.Client{
			Transport: &http.Transport{
				DialContext: d.DialContext, DisableCompression: true,
				// A late second copy of an answer would be read as the answer to the next
				// request on the same connection.
				DisableKeepAlives: true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// unreplayableBody hides the body's type from net/http, so that its transport does
// not retry requests with an Idempotency-Key header.
type unreplayableBody struct {
	io.Reader
}

// Close does nothing.
func (unreplayableBody) Close() error { return nil }

// run sends a call to the upstream once.
//
// The outcome is NotRun only if nothing was sent or the upstream shed the call.
func (u *upstream) run(ctx context.Context, c *call) reply {
	if !time.Now().Before(c.deadline) {
		return notRunReply(reasonDeadlinePassed, 0)
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	res, err := u.send(ctx, c)
	if err != nil {
		cancel()
		return u.failureReply(err)
	}
	if shed, after := u.checkShed(res); shed {
		_ = res.Body.Close()
		cancel()
		return notRunReply("UpstreamShed", after)
	}
	return u.readAnswer(res, cancel)
}

func (u *upstream) send(ctx context.Context, c *call) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, c.method, u.baseURL+c.path, unreplayableBody{bytes.NewReader(c.body)})
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(c.body))
	if len(c.body) == 0 && c.kind.Idempotent {
		req.Body = http.NoBody
	}
	copyHeader(req.Header, c.header)
	req.Header.Set(HeaderRequestID, c.id)
	if !c.deadline.IsZero() {
		req.Header.Set(HeaderDeadline, time.Until(c.deadline).String())
	}
	return u.client.Do(req)
}

func (u *upstream) failureReply(err error) reply {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		u.failuresSinceAnswer.Add(1)
		u.metrics.Add("UpstreamUnreachable", 1)
		return notRunReply("UpstreamUnreachable", probeInterval)
	}
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		u.metrics.Add("UpstreamLate", 1)
		return unknownReply(reasonDeadlinePassed)
	case errors.Is(err, context.Canceled):
		// The caller disconnected or the other run of a hedged call answered first, so
		// this is not a failure of the upstream.
		return unknownReply("Cancelled")
	}
	u.failuresSinceAnswer.Add(1)
	u.metrics.Add("UpstreamCut", 1)
	return unknownReply("UpstreamCut")
}

// checkShed reports whether the upstream shed a call before running it, and the
// delay in its Retry-After header. A shed pauses the use of the upstream. The pause
// doubles with each shed, up to maxShedPause, until a call is served again.
func (u *upstream) checkShed(res *http.Response) (bool, time.Duration) {
	if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get(HeaderShed) == "" {
		return false, 0
	}
	pause := maxShedPause
	if n := u.shedsSinceAnswer.Add(1); n < maxShedDoublings {
		pause = min(initialShedPause<<(n-1), maxShedPause)
	}
	u.shedUntil.Store(time.Now().Add(pause).UnixNano())
	u.metrics.Add("UpstreamSheds", 1)
	after, _ := strconv.Atoi(res.Header.Get("Retry-After"))
	return true, time.Duration(after) * time.Second
}

// readAnswer reads up to maxBufferedAnswerBytes of an answer. rest streams the
// remainder, if any.
func (u *upstream) readAnswer(res *http.Response, cancel func()) reply {
	r := reply{outcome: outcome.Answered, status: res.StatusCode, header: make(http.Header)}
	copyHeader(r.header, res.Header)
	body, err := io.ReadAll(io.LimitReader(res.Body, maxBufferedAnswerBytes))
	r.body = body
	if err != nil {
		_ = res.Body.Close()
		cancel()
		return u.failureReply(err)
	}
	u.failuresSinceAnswer.Store(0)
	u.shedsSinceAnswer.Store(0)
	u.served.Add(1)
	if len(body) < maxBufferedAnswerBytes {
		_ = res.Body.Close()
		cancel()
		return r
	}
	r.rest = &hookedCloser{res.Body, cancel}
	return r
}

// openFeed starts a feed. The caller must close the response body.
func (u *upstream) openFeed(ctx context.Context, c *call) (*http.Response, error) {
	return u.send(ctx, c)
}

// isDown reports whether at least downAfterFailures calls and probes have failed
// since the last answer.
func (u *upstream) isDown() bool { return u.failuresSinceAnswer.Load() >= downAfterFailures }

// isShedding reports whether the pause after a shed call is in effect.
func (u *upstream) isShedding() bool { return time.Now().UnixNano() < u.shedUntil.Load() }

// probeLoop returns a function that polls the health endpoint until ctx ends. The
// response only tells whether the upstream drains. Health is derived from the answers
// to calls and from whether the endpoint can be reached.
func (u *upstream) probeLoop(ctx context.Context) func() {
	return func() {
		t := time.NewTicker(probeInterval)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				u.probeOnce(ctx)
			}
		}
	}
}

// probeOnce polls the health endpoint. If it can be reached, an upstream that is down
// may get calls again, but the next failure marks it down.
func (u *upstream) probeOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.baseURL+"/healthz", nil)
	if err != nil {
		return
	}
	res, err := u.client.Do(req)
	if err != nil {
		u.failuresSinceAnswer.Add(1)
		return
	}
	text, _ := io.ReadAll(io.LimitReader(res.Body, maxProbeBodyBytes))
	_ = res.Body.Close()
	u.draining.Store(strings.Contains(string(text), drainingText))
	if u.isDown() {
		u.failuresSinceAnswer.Store(downAfterFailures - 1)
	}
}

var excludedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, HeaderDeadline: true, HeaderTicket: true, HeaderOutcome: true,
	HeaderReason: true, HeaderRequestID: true, HeaderAttempt: true, HeaderRetryAfter: true, "Content-Length": true,
}

func copyHeader(dst, src http.Header) {
	for k, vs := range src {
		if !excludedHeaders[k] {
			dst[k] = append([]string(nil), vs...)
		}
	}
}
