package store_test

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/process/store"
	"github.com/jaytack/jaytack/internal/standin/storage"
)

// timeout is the client's timeout in tests.
const timeout = 100 * time.Millisecond

func newClient(t *testing.T) (*storage.Store, *store.Client) {
	s := storage.New(time.Now)
	srv := httptest.NewServer(s.Handler())
	t.Cleanup(srv.Close)
	return s, store.New([]netip.AddrPort{netip.MustParseAddrPort(srv.Listener.Addr().String())}, timeout)
}

// TestSlowAnswersAreNotLost guards against idempotent calls that are given up and
// repeated without end because each answer takes longer than the timeout.
func TestSlowAnswersAreNotLost(t *testing.T) {
	t.Parallel()
	ctx := context.Background()
	s, c := newClient(t)
	lease, err := c.Grant(ctx, 5*time.Second)
	qt.Assert(t, err, qt.IsNil)
	_, ok, err := c.Commit(ctx, nil, []store.Put{{Key: "k", Value: []byte("v")}})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, ok, qt.IsTrue)
	s.SetFaults(storage.Faults{DelayMillis: int(2 * timeout / time.Millisecond)})
	kv, err := c.Get(ctx, "k")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(kv.Value), qt.Equals, "v")
	qt.Assert(t, c.KeepAlive(ctx, lease), qt.IsNil)
}

// TestRefusalsFailAtOnce guards against waiting for further attempts after an answer.
func TestRefusalsFailAtOnce(t *testing.T) {
	t.Parallel()
	s, c := newClient(t)
	s.SetFaults(storage.Faults{Down: true})
	start := time.Now()
	_, err := c.Get(context.Background(), "k")
	qt.Assert(t, err, qt.ErrorIs, store.ErrUnavailable)
	qt.Assert(t, time.Since(start) < timeout, qt.IsTrue)
}
