package configsync

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/process/eventlog"
	"github.com/jaytack/jaytack/internal/process/store"
	"github.com/jaytack/jaytack/internal/relay/routes"
	"github.com/jaytack/jaytack/internal/standin/storage"
)

const key store.Key = "configuration"

var peer = netip.MustParseAddr("127.0.0.1")

// fixture is a store and one syncer.
type fixture struct {
	t        *testing.T
	Store    *storage.Store
	client   *store.Client
	revision store.Revision

	mu sync.Mutex
	// peerValue is the version that the peer returns after peerDelay; it does not answer
	// while this is empty.
	peerValue string
	peerDelay time.Duration
	book      routes.Table
	applied   []routes.Version
}

func newFixture(t *testing.T) *fixture {
	s := storage.New(time.Now)
	srv := httptest.NewServer(s.Handler())
	t.Cleanup(srv.Close)
	address := netip.MustParseAddrPort(srv.Listener.Addr().String())
	return &fixture{t: t, Store: s, client: store.New([]netip.AddrPort{address}, 200*time.Millisecond)}
}

// put writes a version, or any text, to the store.
func (f *fixture) put(text string) {
	f.t.Helper()
	rev, ok, err := f.client.Commit(context.Background(), []store.Compare{{Key: key, Revision: f.revision}}, []store.Put{{Key: key, Value: []byte(text)}})
	qt.Assert(f.t, err, qt.IsNil)
	qt.Assert(f.t, ok, qt.IsTrue)
	f.revision = rev
}

func (f *fixture) start(shouldWatch bool) *Syncer {
	return f.startWith(func() bool { return shouldWatch }, nil)
}

// startWith starts a syncer that watches, and may cancel its first read, as the functions say.
func (f *fixture) startWith(shouldWatch, maySkipRead func() bool) *Syncer {
	s := New(Config{
		Key: key,
		Decode: func(value []byte) (*routes.Configuration, []error, error) {
			v, err := strconv.Atoi(string(value))
			return &routes.Configuration{Version: routes.Version(v)}, nil, err
		},
		Apply: func(c *routes.Configuration, _ string) {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.book.Apply(0, c) {
				f.applied = append(f.applied, c.Version)
			}
		},
		ShouldWatch:   shouldWatch,
		MaySkipRead:   maySkipRead,
		OnConfirm:     func(time.Duration) {},
		OnStoreHealth: func(bool) {},
		FetchFromPeer: func(ctx context.Context, _ netip.Addr) ([]byte, error) {
			value, delay := f.peer()
			select {
			case <-ctx.Done():
			case <-time.After(delay):
			}
			if value == "" {
				return nil, errors.New("no answer")
			}
			return []byte(value), nil
		},
	}, f.client, eventlog.New(io.Discard, eventlog.Info, 1))
	f.t.Cleanup(s.Close)
	return s
}

// setPeer sets the version that the peer returns from now on, and after which delay.
func (f *fixture) setPeer(value string, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peerValue, f.peerDelay = value, delay
}

func (f *fixture) peer() (value string, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.peerValue, f.peerDelay
}

func (f *fixture) version() routes.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.book.Version()
}

// waitForVersion waits until a version is in force.
func (f *fixture) waitForVersion(v routes.Version, within time.Duration) {
	f.t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if f.version() == v {
			return
		}
	}
	f.t.Fatalf("version %d is in force, not %d", f.version(), v)
}

func TestWatchAppliesChanges(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.put("3")
	f.start(true)
	f.waitForVersion(3, time.Second)
	f.put("7")
	f.waitForVersion(7, time.Second)
}

func TestStoreUnavailableAtStart(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.put("3")
	f.Store.SetFaults(storage.Faults{Down: true})
	f.start(true)
	time.Sleep(200 * time.Millisecond)
	f.Store.SetFaults(storage.Faults{})
	f.waitForVersion(3, time.Second)
}

func TestChangeWhileWatchesFail(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.put("3")
	f.start(true)
	f.waitForVersion(3, time.Second)
	f.Store.SetFaults(storage.Faults{CutWatches: true})
	f.put("4")
	f.waitForVersion(4, 2*time.Second)
}

// TestRapidChangesFromPeersCostNoStoreReads guards against store reads by balancers that
// do not watch: during rapid changes they fetch each version from a peer.
func TestRapidChangesFromPeersCostNoStoreReads(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.put("3")
	syncer := f.start(false)
	f.waitForVersion(3, time.Second)
	reads := f.client.Calls.Reads.Load()
	for v := 4; v < 30; v++ {
		f.setPeer(strconv.Itoa(v), 0)
		syncer.Refresh(peer, routes.Version(v))
		f.waitForVersion(routes.Version(v), time.Second)
	}
	qt.Assert(t, f.client.Calls.Reads.Load(), qt.Equals, reads)
}

func TestFailedPeerFetchTriggersRead(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.put("3")
	syncer := f.start(false)
	f.waitForVersion(3, time.Second)
	f.put("9")
	time.Sleep(50 * time.Millisecond)
	qt.Assert(t, f.version(), qt.Equals, routes.Version(3), qt.Commentf("no peer has announced a newer version yet"))
	syncer.Refresh(peer, 9)
	f.waitForVersion(9, time.Second)
}

// TestSlowPeerDoesNotHoldBackTheStore guards against a version that is late because a
// peer takes long, while the store would answer at once.
func TestSlowPeerDoesNotHoldBackTheStore(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.put("3")
	f.setPeer("9", 5*time.Second)
	syncer := f.start(false)
	f.waitForVersion(3, time.Second)
	f.put("9")
	syncer.Refresh(peer, 9)
	f.waitForVersion(9, 2*time.Second)
}

// TestSlowStoreDoesNotHoldBackPeers guards against a version that is late because calls to
// the store take long, while a peer would give it at once.
func TestSlowStoreDoesNotHoldBackPeers(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.put("3")
	syncer := f.start(false)
	f.waitForVersion(3, time.Second)
	f.Store.SetFaults(storage.Faults{DelayMillis: 2000})
	syncer.Refresh(peer, 9)
	time.Sleep(100 * time.Millisecond)
	f.setPeer("9", 0)
	syncer.Refresh(peer, 9)
	f.waitForVersion(9, 300*time.Millisecond)
}

// TestSlowAnswersDeliverConfigurations guards against a balancer that never gets a version
// because each read takes longer than the timeout of a call.
func TestSlowAnswersDeliverConfigurations(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.put("3")
	syncer := f.start(false)
	f.waitForVersion(3, time.Second)
	f.put("9")
	f.Store.SetFaults(storage.Faults{DelayMillis: 500})
	syncer.Refresh(peer, 9)
	f.waitForVersion(9, 3*time.Second)
}

// TestFetchThatBringsNothingNewerTriggersRead guards against a balancer that goes on
// fetching from a peer that hands out less than it reports.
func TestFetchThatBringsNothingNewerTriggersRead(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.put("3")
	syncer := f.start(false)
	f.waitForVersion(3, time.Second)
	f.put("9")
	f.setPeer("3", 0)
	syncer.Refresh(peer, 9)
	f.waitForVersion(9, time.Second)
}

// TestPeersAreNotGivenOlderValues guards against handing out an older value than the one in
// force after a late fetch.
func TestPeersAreNotGivenOlderValues(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.put("9")
	syncer := f.start(false)
	f.waitForVersion(9, time.Second)
	f.setPeer("7", 0)
	syncer.Refresh(peer, 10)
	time.Sleep(100 * time.Millisecond)
	qt.Assert(t, string(syncer.Value()), qt.Equals, "9")
}

func TestFetchFromPeerWhileStoreUnavailable(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.put("3")
	syncer := f.start(true)
	f.waitForVersion(3, time.Second)
	f.setPeer("12", 0)
	f.Store.SetFaults(storage.Faults{Down: true})
	time.Sleep(300 * time.Millisecond)
	syncer.Refresh(peer, 12)
	f.waitForVersion(12, time.Second)
	qt.Assert(t, string(syncer.Value()), qt.Equals, "12")
}

func TestMalformedAndOlderValuesAreNotApplied(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.put("5")
	f.start(true)
	f.waitForVersion(5, time.Second)
	f.put("not a version")
	f.put("4")
	f.put("8")
	f.waitForVersion(8, time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	qt.Assert(t, f.applied, qt.DeepEquals, []routes.Version{5, 8})
}

// TestFirstFailureOfTheStoreBacksOff guards against a balancer that calls a store which refuses its
// calls without a pause, since it has not yet come to the end of a watch without an error.
func TestFirstFailureOfTheStoreBacksOff(t *testing.T) {
	t.Parallel()
	for _, watches := range []bool{false, true} {
		f := newFixture(t)
		f.put("3")
		syncer := f.start(watches)
		f.waitForVersion(3, time.Second)
		before := f.client.Calls.Failed.Load()
		f.Store.SetFaults(storage.Faults{Down: true})
		f.setPeer("", 0)
		syncer.Refresh(peer, 4)
		time.Sleep(time.Second)
		// After 0, 100, 300 and 700 ms, and a watch.
		calls := f.client.Calls.Failed.Load() - before
		qt.Check(t, calls > 0 && calls <= 6, qt.IsTrue, qt.Commentf("%d calls in a second, watching %v", calls, watches))
	}
}

// TestUnreadablePartIsLogged guards against a log that calls the problem of a service one of a
// route.
func TestUnreadablePartIsLogged(t *testing.T) {
	f := newFixture(t)
	f.put("1")
	var log bytes.Buffer
	applied := make(chan struct{}, 1)
	s := New(Config{
		Key: key,
		Decode: func([]byte) (*routes.Configuration, []error, error) {
			return &routes.Configuration{Version: 1}, []error{errors.New("service stock: warmup_s is negative")}, nil
		},
		Apply:         func(*routes.Configuration, string) { applied <- struct{}{} },
		ShouldWatch:   func() bool { return true },
		OnConfirm:     func(time.Duration) {},
		OnStoreHealth: func(bool) {},
	}, f.client, eventlog.New(&log, eventlog.Info, 1))
	<-applied
	s.Close()
	qt.Assert(t, log.String(), qt.Contains, "ConfigurationPartUnreadable")
	qt.Assert(t, log.String(), qt.Contains, "service stock")
}
