package process_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/relay/process"
)

// TestFetchWaitsForSlowPeer guards against fetches that are given up and repeated without
// end because one of the two processes is short of processor time.
func TestFetchWaitsForSlowPeer(t *testing.T) {
	t.Parallel()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(700 * time.Millisecond)
		_, _ = w.Write([]byte("value"))
	}))
	t.Cleanup(srv.Close)
	b, err := process.Fetch(context.Background(), netip.MustParseAddrPort(srv.Listener.Addr().String()), "/")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(b), qt.Equals, "value")
}
