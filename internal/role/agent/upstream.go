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

// Times of the upstream's connection.
const (
	upstreamDial  = time.Second
	probeEvery    = 500 * time.Millisecond
	probeTimeout  = 2 * time.Second
	failuresDown  = 3
	shedFirst     = 20 * time.Millisecond
	shedMax       = 2 * time.Second
	drainingWord  = "draining"
	probeBody     = 256 // bytes
	maxIdleToHost = 64
	maxDoublings  = 16
)

// reasonLate means that the deadline passed.
const reasonLate = "DeadlinePassed"

// upstream runs calls at the upstream beside the agent, and judges it by what it
// sees of them.
type upstream struct {
	base      string
	client    *http.Client
	metrics   *metrics.Set
	served    atomic.Int64
	failures  atomic.Int64
	sheds     atomic.Int64
	shedUntil atomic.Int64
	leaving   atomic.Bool
}

func newUpstream(a netip.AddrPort, m *metrics.Set) *upstream {
	d := net.Dialer{Timeout: upstreamDial}
	return &upstream{
		base: "http://" + a.String(), metrics: m,
		client: &http.Client{
			Transport: &http.Transport{
				DialContext: d.DialContext, DisableCompression: true, MaxIdleConnsPerHost: maxIdleToHost,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// onceBody hides the type of the body from the HTTP transport, which would
// otherwise send a request with an Idempotency-Key again by itself.
type onceBody struct {
	io.Reader
}

// Close does nothing.
func (onceBody) Close() error { return nil }

// run sends a call to the upstream, once.
//
// The outcome is NotRun only where nothing was sent, or where the upstream says
// that it shed the call.
func (u *upstream) run(ctx context.Context, c *call) reply {
	if !time.Now().Before(c.deadline) {
		return notRun(reasonLate, 0)
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	res, err := u.send(ctx, c)
	if err != nil {
		cancel()
		return u.failed(err)
	}
	if shed, after := u.isShed(res); shed {
		_ = res.Body.Close()
		cancel()
		return notRun("UpstreamShed", after)
	}
	return u.take(res, cancel)
}

func (u *upstream) send(ctx context.Context, c *call) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, c.method, u.base+c.path, onceBody{bytes.NewReader(c.body)})
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

func (u *upstream) failed(err error) reply {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		u.failures.Add(1)
		u.metrics.Add("UpstreamUnreachable", 1)
		return notRun("UpstreamUnreachable", probeEvery)
	}
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		u.metrics.Add("UpstreamLate", 1)
		return unknown(reasonLate)
	case errors.Is(err, context.Canceled):
		// The caller went away, or another run was faster: no fault of the upstream.
		return unknown("Cancelled")
	}
	u.failures.Add(1)
	u.metrics.Add("UpstreamCut", 1)
	return unknown("UpstreamCut")
}

// isShed reports whether the upstream refused a call before it ran. The pause
// that follows doubles with each shed until a call is served again.
func (u *upstream) isShed(res *http.Response) (bool, time.Duration) {
	if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get(HeaderShed) == "" {
		return false, 0
	}
	pause := shedMax
	if n := u.sheds.Add(1); n < maxDoublings {
		pause = min(shedFirst<<(n-1), shedMax)
	}
	u.shedUntil.Store(time.Now().Add(pause).UnixNano())
	u.metrics.Add("UpstreamSheds", 1)
	after, _ := strconv.Atoi(res.Header.Get("Retry-After"))
	return true, time.Duration(after) * time.Second
}

// take reads an answer up to wholeLimit.
func (u *upstream) take(res *http.Response, cancel func()) reply {
	r := reply{outcome: outcome.Answered, status: res.StatusCode, header: make(http.Header)}
	copyHeader(r.header, res.Header)
	body, err := io.ReadAll(io.LimitReader(res.Body, wholeLimit))
	r.body = body
	if err != nil {
		_ = res.Body.Close()
		cancel()
		return u.failed(err)
	}
	u.failures.Store(0)
	u.sheds.Store(0)
	u.served.Add(1)
	if len(body) < wholeLimit {
		_ = res.Body.Close()
		cancel()
		return r
	}
	r.rest = &closer{res.Body, cancel}
	return r
}

// open starts a feed; its answer has no end that the agent waits for.
func (u *upstream) open(ctx context.Context, c *call) (*http.Response, error) {
	return u.send(ctx, c)
}

// down reports whether the upstream seems unable to run anything.
func (u *upstream) down() bool { return u.failures.Load() >= failuresDown }

// shedding reports whether the upstream shed a call lately.
func (u *upstream) shedding() bool { return time.Now().UnixNano() < u.shedUntil.Load() }

// probe asks the health endpoint from time to time. Its word counts only where
// it says that the upstream drains; whether the upstream works is judged by its
// answers, and after failures by whether it can be reached at all.
func (u *upstream) probe(ctx context.Context) func() {
	return func() {
		t := time.NewTicker(probeEvery)
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

func (u *upstream) probeOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.base+"/healthz", nil)
	if err != nil {
		return
	}
	res, err := u.client.Do(req)
	if err != nil {
		u.failures.Add(1)
		return
	}
	text, _ := io.ReadAll(io.LimitReader(res.Body, probeBody))
	_ = res.Body.Close()
	u.leaving.Store(strings.Contains(string(text), drainingWord))
	if u.down() {
		u.failures.Store(failuresDown - 1)
	}
}

var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, HeaderDeadline: true, HeaderTicket: true, HeaderOutcome: true,
	HeaderReason: true, HeaderRequestID: true, HeaderAttempt: true, HeaderRetry: true, "Content-Length": true,
}

func copyHeader(dst, src http.Header) {
	for k, vs := range src {
		if !hopHeaders[k] {
			dst[k] = append([]string(nil), vs...)
		}
	}
}
