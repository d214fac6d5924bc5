package agent

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/customer/contract"
	"github.com/jaytack/jaytack/internal/process/metrics"
	"github.com/jaytack/jaytack/internal/request/admission"
	"github.com/jaytack/jaytack/internal/request/outcome"
)

// abortingUpstream counts every request, answers the first, and aborts the
// connection of the others after it has received them.
func abortingUpstream(t *testing.T) (address netip.AddrPort, runs *atomic.Int64) {
	runs = &atomic.Int64{}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if runs.Add(1) == 1 {
			return
		}
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(srv.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://")), runs
}

func submission(body string) *call {
	return &call{
		id: "1", method: http.MethodPost, path: "/orders", body: []byte(body), deadline: time.Now().Add(2 * time.Second),
		header: http.Header{HeaderIdempotencyKey: {"k"}}, kind: contract.Kind{Name: "RestockOrder"},
	}
}

// TestAbortedSubmissionIsSentOnce checks that net/http does not retry a submission
// after an aborted connection, as it does for requests with an Idempotency-Key header.
func TestAbortedSubmissionIsSentOnce(t *testing.T) {
	for _, body := range []string{"", "one herd"} {
		address, runs := abortingUpstream(t)
		u := newUpstream(address, metrics.New())
		r := u.run(context.Background(), submission(body))
		qt.Assert(t, r.outcome, qt.Equals, outcome.Answered)
		r = u.run(context.Background(), submission(body))
		qt.Check(t, r.outcome, qt.Equals, outcome.Unknown)
		qt.Check(t, runs.Load(), qt.Equals, int64(2))
	}
}

// TestPlainClientRetries checks that a plain http.Client does retry such a request,
// which is the failure that the test above guards against.
func TestPlainClientRetries(t *testing.T) {
	address, runs := abortingUpstream(t)
	c := &http.Client{}
	for range 2 {
		req, err := http.NewRequest(http.MethodPost, "http://"+address.String()+"/orders", nil)
		qt.Assert(t, err, qt.IsNil)
		req.Header.Set(HeaderIdempotencyKey, "k")
		if res, err := c.Do(req); err == nil {
			_ = res.Body.Close()
		}
	}
	qt.Check(t, runs.Load() > 2, qt.IsTrue, qt.Commentf("%d runs of two requests", runs.Load()))
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	address := lis.Addr().(*net.TCPAddr).AddrPort()
	qt.Assert(t, lis.Close(), qt.IsNil)
	u := newUpstream(address, metrics.New())
	for range downAfterFailures {
		qt.Check(t, u.run(context.Background(), submission("x")).outcome, qt.Equals, outcome.NotRun)
	}
	qt.Check(t, u.isDown(), qt.IsTrue)
}

func TestExpiredDeadlineIsNotSent(t *testing.T) {
	address, runs := abortingUpstream(t)
	u := newUpstream(address, metrics.New())
	c := submission("x")
	c.deadline = time.Now().Add(-time.Millisecond)
	r := u.run(context.Background(), c)
	qt.Check(t, r.outcome, qt.Equals, outcome.NotRun)
	qt.Check(t, r.completion(), qt.Equals, admission.Abandoned, qt.Commentf("no service time of 0 is learnt"))
	qt.Check(t, runs.Load(), qt.Equals, int64(0))
}

// TestLateSecondAnswerReachesNoOtherCaller guards against an answer that reaches the next
// caller: an upstream sends a second copy of each answer, late, on the same connection,
// after the agent has sent the next call.
func TestLateSecondAnswerReachesNoOtherCaller(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			go answerTwice(conn)
		}
	}()
	u := newUpstream(lis.Addr().(*net.TCPAddr).AddrPort(), metrics.New())
	for i := range 5 {
		c := submission("one herd")
		c.id = strconv.Itoa(i)
		r := u.run(context.Background(), c)
		qt.Assert(t, r.outcome, qt.Equals, outcome.Answered)
		qt.Assert(t, string(r.body), qt.Equals, c.id)
	}
}

// answerTwice answers each request on a connection with its id. When the next request
// arrives, it first sends the answer to the one before again.
func answerTwice(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	previous := ""
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get(HeaderRequestID)
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
		_, _ = conn.Write([]byte(previous + answer))
		previous = answer
	}
}

// TestHealthEndpointIsNotTrusted checks that an upstream which answers with errors on
// its health endpoint does not count as down, that a draining notice is recognised,
// and that an unreachable upstream counts as failing.
func TestHealthEndpointIsNotTrusted(t *testing.T) {
	healthText := atomic.Value{}
	healthText.Store("ill")
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/healthz" {
			w.WriteHeader(http.StatusInternalServerError)
			_, _ = w.Write([]byte(healthText.Load().(string)))
		}
	}))
	defer srv.Close()
	u := newUpstream(netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://")), metrics.New())
	for range 2 * downAfterFailures {
		u.probeOnce(context.Background())
	}
	qt.Check(t, u.isDown(), qt.IsFalse, qt.Commentf("an upstream that answers probes must not count as down"))
	healthText.Store("draining")
	u.probeOnce(context.Background())
	qt.Check(t, u.draining.Load(), qt.IsTrue)
	srv.Close()
	for range downAfterFailures {
		u.probeOnce(context.Background())
	}
	qt.Check(t, u.failuresSinceAnswer.Load() > 0, qt.IsTrue)
}
