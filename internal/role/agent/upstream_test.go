package agent

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/customer/contract"
	"github.com/jaytack/jaytack/internal/process/metrics"
	"github.com/jaytack/jaytack/internal/request/outcome"
)

// cuttingUpstream runs every request, answers the first and cuts the connection
// of all others after it has read them.
func cuttingUpstream(t *testing.T) (address netip.AddrPort, runs *atomic.Int64) {
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
		header: http.Header{HeaderKey: {"k"}}, kind: contract.Kind{Name: "RestockOrder"},
	}
}

// TestCutSubmissionIsSentOnce holds the upstream's connection against the HTTP
// library, which sends a request with an Idempotency-Key again by itself.
func TestCutSubmissionIsSentOnce(t *testing.T) {
	for _, body := range []string{"", "one herd"} {
		address, runs := cuttingUpstream(t)
		u := newUpstream(address, metrics.New())
		r := u.run(context.Background(), submission(body))
		qt.Assert(t, r.outcome, qt.Equals, outcome.Answered)
		r = u.run(context.Background(), submission(body))
		qt.Check(t, r.outcome, qt.Equals, outcome.Unknown)
		qt.Check(t, runs.Load(), qt.Equals, int64(2))
	}
}

// TestPlainClientSendsTwice shows what the test above guards against.
func TestPlainClientSendsTwice(t *testing.T) {
	address, runs := cuttingUpstream(t)
	c := &http.Client{}
	for range 2 {
		req, err := http.NewRequest(http.MethodPost, "http://"+address.String()+"/orders", nil)
		qt.Assert(t, err, qt.IsNil)
		req.Header.Set(HeaderKey, "k")
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
	for range failuresDown {
		qt.Check(t, u.run(context.Background(), submission("x")).outcome, qt.Equals, outcome.NotRun)
	}
	qt.Check(t, u.down(), qt.IsTrue)
}

func TestPassedDeadlineIsNotSent(t *testing.T) {
	address, runs := cuttingUpstream(t)
	u := newUpstream(address, metrics.New())
	c := submission("x")
	c.deadline = time.Now().Add(-time.Millisecond)
	qt.Check(t, u.run(context.Background(), c).outcome, qt.Equals, outcome.NotRun)
	qt.Check(t, runs.Load(), qt.Equals, int64(0))
}

// TestHealthThatLies holds the judgement of an upstream against its health
// endpoint: always ill, always well and draining.
func TestHealthThatLies(t *testing.T) {
	word := atomic.Value{}
	word.Store("ill")
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/healthz" {
			w.WriteHeader(http.StatusInternalServerError)
			_, _ = w.Write([]byte(word.Load().(string)))
		}
	}))
	defer srv.Close()
	u := newUpstream(netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://")), metrics.New())
	for range 2 * failuresDown {
		u.probeOnce(context.Background())
	}
	qt.Check(t, u.down(), qt.IsFalse, qt.Commentf("an upstream that answers is not down, whatever it says"))
	word.Store("draining")
	u.probeOnce(context.Background())
	qt.Check(t, u.leaving.Load(), qt.IsTrue)
	srv.Close()
	for range failuresDown {
		u.probeOnce(context.Background())
	}
	qt.Check(t, u.failures.Load() > 0, qt.IsTrue)
}
