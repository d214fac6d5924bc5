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
	"github.com/jaytack/jaytack/internal/relay/polling"
	"github.com/jaytack/jaytack/internal/standin/storage"
)

const timeout = 200 * time.Millisecond

// fixture is a store and the registries that use it.
type fixture struct {
	t       *testing.T
	Store   *storage.Store
	address netip.AddrPort
	mu      sync.Mutex
	// read lists the other instances in each process's last read.
	read map[flow.IP][]flow.IP
	// ownIncarnations holds the incarnations that OnOwnRecord reported.
	ownIncarnations map[flow.IP]uint64
	// checkpoint is what processes store; restored lists what later ones received.
	checkpoint *message.Checkpoint
	restored   []*message.Checkpoint
}

func newFixture(t *testing.T) *fixture {
	s := storage.New(time.Now)
	srv := httptest.NewServer(s.Handler())
	t.Cleanup(srv.Close)
	return &fixture{
		t: t, Store: s, address: netip.MustParseAddrPort(srv.Listener.Addr().String()),
		read: make(map[flow.IP][]flow.IP), ownIncarnations: make(map[flow.IP]uint64),
	}
}

func (f *fixture) client() *store.Client { return store.New([]netip.AddrPort{f.address}, timeout) }

// start starts a registry of a process.
func (f *fixture) start(self flow.IP, incarnation uint64) *Registry {
	r := New(Config{
		Self: self,
		Record: func() *message.Record {
			return &message.Record{Instance: uint32(self), Service: "padron", DataCentre: "a", Incarnation: incarnation, Sequence: 1}
		},
		OnRead: func(recs []*message.Record) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.read[self] = nil
			for _, rec := range recs {
				f.read[self] = append(f.read[self], flow.IP(rec.Instance))
			}
		},
		Checkpoint: func() *message.Checkpoint {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.checkpoint
		},
		OnCheckpoint: func(cp *message.Checkpoint) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.restored = append(f.restored, cp)
		},
		OnStoreHealth: func(bool) {},
		OnAnswer:      func() {},
		OnOwnRecord: func(rec *message.Record, _ bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.ownIncarnations[self] = rec.Incarnation
		},
	}, f.client(), eventlog.New(io.Discard, eventlog.Info, 1))
	f.t.Cleanup(r.Close)
	return r
}

// waitForOther waits until other's entry is the only one in self's last read.
func (f *fixture) waitForOther(self, other flow.IP, within time.Duration) {
	f.t.Helper()
	f.waitUntil(within, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.read[self]) == 1 && f.read[self][0] == other
	})
}

func (f *fixture) waitUntil(within time.Duration, done func() bool) {
	f.t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if done() {
			return
		}
	}
	f.t.Fatalf("condition not met within %v", within)
}

// entry returns the stored record of a process, nil if there is none.
func (f *fixture) entry(self flow.IP) *message.Record {
	kv, err := f.client().Get(context.Background(), Prefix+store.Key(self.String()))
	if err != nil || kv.Revision == 0 {
		return nil
	}
	rec := &message.Record{}
	qt.Assert(f.t, proto.Unmarshal(kv.Value, rec), qt.IsNil)
	return rec
}

func TestConcurrentlyStartedProcessesFindEachOther(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.start(1, 1)
	f.start(2, 1)
	f.waitForOther(1, 2, time.Second)
	f.waitForOther(2, 1, time.Second)
}

func TestStoreUnavailableAtStart(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.Store.SetFaults(storage.Faults{Down: true})
	f.start(1, 1)
	f.start(2, 1)
	time.Sleep(300 * time.Millisecond)
	f.Store.SetFaults(storage.Faults{})
	f.waitForOther(1, 2, time.Second)
	f.waitForOther(2, 1, time.Second)
}

// TestSlowStarterIsFound guards against two processes of which neither sees the other for
// seconds: both have read the list before either wrote its entry, and one of them needed
// longer for that than the other waits until it reads again.
func TestSlowStarterIsFound(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.start(1, 1)
	f.waitUntil(time.Second, func() bool { return f.entry(1) != nil })
	time.Sleep(polling.EarlyReadInterval + 150*time.Millisecond)
	value, err := proto.Marshal(&message.Record{Instance: 2, Service: "padron", DataCentre: "a", Incarnation: 1, Sequence: 1})
	qt.Assert(t, err, qt.IsNil)
	lease, err := f.client().Grant(context.Background(), polling.LeaseTTL)
	qt.Assert(t, err, qt.IsNil)
	_, _, err = f.client().Commit(context.Background(), nil, []store.Put{{Key: Prefix + store.Key(flow.IP(2).String()), Value: value, Lease: lease}})
	qt.Assert(t, err, qt.IsNil)
	f.waitForOther(1, 2, time.Second)
}

func TestMissingEntryIsRewritten(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.start(1, 1)
	f.waitUntil(time.Second, func() bool { return f.entry(1) != nil })
	time.Sleep(2 * time.Second)
	f.Store.ExpireAllLeases()
	qt.Assert(t, f.entry(1), qt.IsNil)
	f.waitUntil(2*time.Second, func() bool { return f.entry(1) != nil })
}

func TestLostAnswersLeaveOneEntry(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.Store.SetFaults(storage.Faults{LoseAnswers: 3})
	f.start(1, 1)
	f.waitUntil(3*time.Second, func() bool { return f.entry(1) != nil })
	f.start(2, 1)
	f.waitForOther(2, 1, time.Second)
}

func TestRestartedProcessReadsItsOldEntry(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	r := f.start(1, 7)
	f.waitUntil(time.Second, func() bool { return f.entry(1) != nil })
	r.Close()
	f.start(1, 3)
	f.waitUntil(time.Second, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.ownIncarnations[1] == 7
	})
}

// TestCheckpointReachesTheNextProcess checks that the next process of an instance receives
// the checkpoint of the earlier one.
func TestCheckpointReachesTheNextProcess(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.checkpoint = &message.Checkpoint{UpstreamBorn: 7, Flows: []*message.CheckpointFlow{checkpointFlow(9)}}
	first := f.start(1, 1)
	f.waitUntil(polling.RenewInterval+time.Second, func() bool { return f.checkpointValue(1) != nil })
	first.Close()
	f.start(1, 2)
	f.waitUntil(time.Second, func() bool { return len(f.restoredCheckpoints()) == 1 })
	qt.Assert(t, proto.Equal(f.restoredCheckpoints()[0], f.checkpoint), qt.IsTrue)
}

// TestUnreadableCheckpointIsIgnored guards against a process that does not start because
// another version has written a checkpoint that it cannot read.
func TestUnreadableCheckpointIsIgnored(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	first := f.start(1, 1)
	f.waitUntil(time.Second, func() bool { return f.entry(1) != nil })
	first.Close()
	_, _, err := f.client().Commit(context.Background(), nil, []store.Put{{Key: CheckpointPrefix + "0.0.0.1", Value: []byte{0xff}}})
	qt.Assert(t, err, qt.IsNil)
	f.start(1, 2)
	f.start(2, 1)
	f.waitForOther(1, 2, 3*time.Second)
	qt.Assert(t, f.restoredCheckpoints(), qt.HasLen, 0)
}

func (f *fixture) checkpointValue(self flow.IP) []byte {
	kv, err := f.client().Get(context.Background(), CheckpointPrefix+store.Key(self.String()))
	if err != nil {
		return nil
	}
	return kv.Value
}

func (f *fixture) restoredCheckpoints() []*message.Checkpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.restored
}
