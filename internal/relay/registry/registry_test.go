package registry

import (
	"context"
	"io"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/jaytack/jaytack/internal/process/eventlog"
	"github.com/jaytack/jaytack/internal/process/store"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/message"
	"github.com/jaytack/jaytack/internal/standin/storage"
)

const timeout = 200 * time.Millisecond

// fixture is a store and the registries that use it.
type fixture struct {
	t     *testing.T
	Store *storage.Store
	at    netip.AddrPort
	mu    sync.Mutex
	seen  map[flow.IP][]flow.IP
	owns  map[flow.IP]uint64
}

func newFixture(t *testing.T) *fixture {
	s := storage.New(time.Now)
	srv := httptest.NewServer(s.Handler())
	t.Cleanup(srv.Close)
	return &fixture{
		t: t, Store: s, at: netip.MustParseAddrPort(srv.Listener.Addr().String()),
		seen: make(map[flow.IP][]flow.IP), owns: make(map[flow.IP]uint64),
	}
}

func (f *fixture) client() *store.Client { return store.New([]netip.AddrPort{f.at}, timeout) }

// start starts a registry of a process.
func (f *fixture) start(self flow.IP, incarnation uint64) *Registry {
	r := New(Config{
		Self: self,
		Record: func() *message.Record {
			return &message.Record{Instance: uint32(self), Service: "padron", Incarnation: incarnation, Sequence: 1}
		},
		Loaded: func(recs []*message.Record) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.seen[self] = nil
			for _, rec := range recs {
				f.seen[self] = append(f.seen[self], flow.IP(rec.Instance))
			}
		},
		Health: func(bool) {},
		Own: func(rec *message.Record) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.owns[self] = rec.Incarnation
		},
	}, f.client(), eventlog.New(io.Discard, eventlog.Info, 1))
	f.t.Cleanup(r.Close)
	return r
}

// sees waits until a process has read exactly one entry of another.
func (f *fixture) sees(self, other flow.IP, within time.Duration) {
	f.t.Helper()
	f.until(within, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.seen[self]) == 1 && f.seen[self][0] == other
	})
}

func (f *fixture) until(within time.Duration, done func() bool) {
	f.t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if done() {
			return
		}
	}
	f.t.Fatalf("not within %v", within)
}

// entry returns the stored record of a process, nil where there is none.
func (f *fixture) entry(self flow.IP) *message.Record {
	kv, err := f.client().Get(context.Background(), Prefix+store.Key(self.String()))
	if err != nil || kv.Revision == 0 {
		return nil
	}
	rec := &message.Record{}
	qt.Assert(f.t, proto.Unmarshal(kv.Value, rec), qt.IsNil)
	return rec
}

func TestProcessesThatStartAtOnceFindEachOther(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.start(1, 1)
	f.start(2, 1)
	f.sees(1, 2, time.Second)
	f.sees(2, 1, time.Second)
}

func TestStoreIsDownAtTheStart(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.Store.SetFaults(storage.Faults{Down: true})
	f.start(1, 1)
	f.start(2, 1)
	time.Sleep(300 * time.Millisecond)
	f.Store.SetFaults(storage.Faults{})
	f.sees(1, 2, time.Second)
	f.sees(2, 1, time.Second)
}

func TestVanishedEntryIsWrittenAgain(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.start(1, 1)
	f.until(time.Second, func() bool { return f.entry(1) != nil })
	time.Sleep(earlyFor)
	f.Store.ExpireAllLeases()
	qt.Assert(t, f.entry(1), qt.IsNil)
	f.until(2*time.Second, func() bool { return f.entry(1) != nil })
}

func TestLostAnswersLeaveOneEntry(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.Store.SetFaults(storage.Faults{LoseAnswers: 3})
	f.start(1, 1)
	f.until(3*time.Second, func() bool { return f.entry(1) != nil })
	f.start(2, 1)
	f.sees(2, 1, time.Second)
}

func TestNextProcessLearnsOfItsEntry(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	r := f.start(1, 7)
	f.until(time.Second, func() bool { return f.entry(1) != nil })
	r.Close()
	f.start(1, 3)
	f.until(time.Second, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.owns[1] == 7
	})
}
