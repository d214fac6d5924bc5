package configsync

import (
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

// fixture is a store and one follower.
type fixture struct {
	t      *testing.T
	Store  *storage.Store
	client *store.Client
	rev    store.Revision
	// peer is the version that another balancer has in force, which does not answer
	// while it is empty.
	peer string

	mu      sync.Mutex
	book    routes.Table
	applied []routes.Version
}

func newFixture(t *testing.T) *fixture {
	s := storage.New(time.Now)
	srv := httptest.NewServer(s.Handler())
	t.Cleanup(srv.Close)
	at := netip.MustParseAddrPort(srv.Listener.Addr().String())
	return &fixture{t: t, Store: s, client: store.New([]netip.AddrPort{at}, 200*time.Millisecond)}
}

// put writes a version, or any text, as the operator does.
func (f *fixture) put(text string) {
	f.t.Helper()
	rev, ok, err := f.client.Commit(context.Background(), []store.Compare{{Key: key, Revision: f.rev}}, []store.Put{{Key: key, Value: []byte(text)}})
	qt.Assert(f.t, err, qt.IsNil)
	qt.Assert(f.t, ok, qt.IsTrue)
	f.rev = rev
}

func (f *fixture) follow(watches bool) *Follower {
	x := New(Config{
		Key: key,
		Decode: func(value []byte) (*routes.Configuration, []error, error) {
			v, err := strconv.Atoi(string(value))
			return &routes.Configuration{Version: routes.Version(v)}, nil, err
		},
		Apply: func(c *routes.Configuration, _ string) {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.book.Apply(c) {
				f.applied = append(f.applied, c.Version)
			}
		},
		Watches: func() bool { return watches },
		Health:  func(bool) {},
		Fetch: func(context.Context, netip.Addr) ([]byte, error) {
			if f.peer == "" {
				return nil, errors.New("no answer")
			}
			return []byte(f.peer), nil
		},
	}, f.client, eventlog.New(io.Discard, eventlog.Info, 1))
	f.t.Cleanup(x.Close)
	return x
}

func (f *fixture) version() routes.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.book.Version()
}

// reaches waits until a version is in force.
func (f *fixture) reaches(v routes.Version, within time.Duration) {
	f.t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if f.version() == v {
			return
		}
	}
	f.t.Fatalf("version %d is in force, not %d", f.version(), v)
}

func TestWatchBringsChanges(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.put("3")
	f.follow(true)
	f.reaches(3, time.Second)
	f.put("7")
	f.reaches(7, time.Second)
}

func TestStoreIsDownAtTheStart(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.put("3")
	f.Store.SetFaults(storage.Faults{Down: true})
	f.follow(true)
	time.Sleep(200 * time.Millisecond)
	f.Store.SetFaults(storage.Faults{})
	f.reaches(3, time.Second)
}

func TestChangeDuringAnOutageOfWatches(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.put("3")
	f.follow(true)
	f.reaches(3, time.Second)
	f.Store.SetFaults(storage.Faults{CutWatches: true})
	f.put("4")
	f.reaches(4, 2*time.Second)
}

// TestStormOfChangesCostsOtherBalancersNoReads replays versions that follow each other
// quickly: a balancer that does not watch gets each from a peer.
func TestStormOfChangesCostsOtherBalancersNoReads(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.put("3")
	x := f.follow(false)
	f.reaches(3, time.Second)
	reads := f.client.Calls.Reads.Load()
	for v := 4; v < 30; v++ {
		f.peer = strconv.Itoa(v)
		x.Refresh(peer)
		f.reaches(routes.Version(v), time.Second)
	}
	qt.Assert(t, f.client.Calls.Reads.Load(), qt.Equals, reads)
}

func TestNewsOfPeersIsReadAtOnce(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.put("3")
	x := f.follow(false)
	f.reaches(3, time.Second)
	f.put("9")
	time.Sleep(50 * time.Millisecond)
	qt.Assert(t, f.version(), qt.Equals, routes.Version(3), qt.Commentf("nobody has told it yet"))
	x.Refresh(peer)
	f.reaches(9, time.Second)
}

func TestNewsAreFetchedFromPeersWhileTheStoreIsDown(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.put("3")
	x := f.follow(true)
	f.reaches(3, time.Second)
	f.peer = "12"
	f.Store.SetFaults(storage.Faults{Down: true})
	time.Sleep(300 * time.Millisecond)
	x.Refresh(peer)
	f.reaches(12, time.Second)
	qt.Assert(t, string(x.Value()), qt.Equals, "12")
}

func TestUnreadableAndOlderChangeNothing(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.put("5")
	f.follow(true)
	f.reaches(5, time.Second)
	f.put("not a version")
	f.put("4")
	f.put("8")
	f.reaches(8, time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	qt.Assert(t, f.applied, qt.DeepEquals, []routes.Version{5, 8})
}
