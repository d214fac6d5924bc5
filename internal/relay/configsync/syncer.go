// Package configsync keeps a balancer's configuration in sync with the platform's store.
//
// A few balancers watch the key in the store and see changes at once. The others
// fetch newer versions from balancers that have them, so that frequent changes add no
// load to the store; they rely on a watching balancer only while the store confirms its
// version to it. A watch may stall, and the store may compact the history that it
// needs, so the key is read again after each failure of the store or of a peer, and
// periodically. The store may also be restored from an older copy: values are ordered by
// the versions in them, never by the store's revisions.
//
// If the deployment has evacuations, the reads and watches cover the common prefix of the key
// and of the evacuations instead of the key, so that they cost no further calls. See
// evacuations.go.
//
// # Usage
//
//	s := configsync.New(cfg, store, logger)
//	s.Refresh(peer, version)
//	s.Close()
package configsync

import (
	"bytes"
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jaytack/jaytack/internal/process/eventlog"
	"github.com/jaytack/jaytack/internal/process/store"
	"github.com/jaytack/jaytack/internal/relay/routes"
)

const (
	// pollInterval is how often the key is read without a sign of a change.
	pollInterval = 15 * time.Second
	// watchCheckInterval is how often a process that does not watch calls ShouldWatch.
	watchCheckInterval = 200 * time.Millisecond
	// startupRetryMin is the first retry delay until the store has returned a value,
	// retryMin the first one afterwards. Each further failure doubles the delay, up to
	// startupRetryMax or retryMax.
	startupRetryMin = 30 * time.Millisecond
	startupRetryMax = 120 * time.Millisecond
	retryMin        = 100 * time.Millisecond
	retryMax        = 800 * time.Millisecond
	// fetchHedgeDelay is how long a fetch from a peer may take before the store is read too.
	fetchHedgeDelay = 400 * time.Millisecond
)

// Config holds the key and the callbacks of a syncer. All fields are set.
type Config struct {
	Key store.Key
	// Decode decodes the key's value.
	Decode func(value []byte) (c *routes.Configuration, problems []error, err error)
	// Apply is called with each decoded configuration, which may be older than the one
	// in force.
	Apply func(c *routes.Configuration, source string)
	// ShouldWatch reports whether this process has to watch the store; the others learn
	// of changes from those that watch.
	ShouldWatch func() bool
	// OnConfirm is called when the store has confirmed that there is no newer value; age is
	// the age of its answer.
	OnConfirm func(age time.Duration)
	// OnStoreHealth is called when the store becomes unavailable or available again.
	OnStoreHealth func(ok bool)
	// FetchFromPeer returns what Value returns at another balancer.
	FetchFromPeer func(ctx context.Context, from netip.Addr) ([]byte, error)
	// MaySkipRead reports whether the first read of the store may be cancelled once a peer has
	// brought a configuration, since nothing else has to be read; nil if it may not.
	MaySkipRead func() bool
	// Transfer encodes the configurations that balancers fetch from each other; nil if they
	// exchange the stored values.
	Transfer *TransferConfig
	// Evacuations is nil if the deployment has no evacuations.
	Evacuations *EvacuationConfig
}

// peerSource is the source of configurations that other balancers give.
const peerSource = "Peer"

// reportedVersion is a version that a balancer has.
type reportedVersion struct {
	routes.Version
	from netip.Addr
}

// decodedValue is a value with its version, 0 if there is none.
type decodedValue struct {
	version routes.Version
	value   []byte
}

// Syncer keeps the value of one key that has the highest version.
type Syncer struct {
	Config
	*eventlog.Logger
	store  *store.Client
	cancel context.CancelFunc
	done   sync.WaitGroup
	// refreshRequests wakes the fetches from peers, readRequests makes the key due for a read.
	refreshRequests, readRequests chan struct{}

	// newerVersion is a version that a balancer has reported, nil if there is none.
	newerVersion atomic.Pointer[reportedVersion]

	// mu guards latest, and serializes the decoding of values from the store and from
	// peers.
	mu     sync.Mutex
	latest decodedValue
	// cancelFirstRead cancels the first read of the store, cancelFetch a fetch from a peer that
	// has reported fetchedVersion; both are nil if there is none in progress.
	cancelFirstRead, cancelFetch context.CancelFunc
	fetchedVersion               routes.Version

	watching     bool
	storeFailing bool
	retryDelay   time.Duration
	// watchRevision is the revision at which the next watch begins; it belongs to era.
	watchRevision store.Revision
	era           store.Era
	// stored is the last value from the store, nil until there is one.
	stored []byte
	// nextRead is when the key is due for the next read. skippedRead is set while the first read
	// has been cancelled and none has been made since.
	nextRead    time.Time
	skippedRead bool
	evacuations storedEvacuations
}

// New returns a syncer that runs until Close.
func New(cfg Config, st *store.Client, logger *eventlog.Logger) *Syncer {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Syncer{Config: cfg, Logger: logger, store: st, cancel: cancel, refreshRequests: make(chan struct{}, 1), readRequests: make(chan struct{}, 1)}
	s.done.Go(func() { s.run(ctx) })
	s.done.Go(func() { s.fetchFromPeers(ctx) })
	return s
}

// Value returns the configuration with the highest version for other balancers, nil if there is
// none.
func (s *Syncer) Value() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Transfer != nil {
		value, err := compressed(s.latest.value)
		if err != nil {
			s.Error("ConfigurationUncompressed", "Version", s.latest.version, "Reason", err)
			return s.latest.value
		}
		s.latest.value = value
	}
	return s.latest.value
}

// version returns the highest version of a value, 0 if there is none.
func (s *Syncer) version() routes.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latest.version
}

// notify sends a signal unless one is pending.
func notify(signals chan struct{}) {
	select {
	case signals <- struct{}{}:
	default:
	}
}

// Close stops the syncer.
func (s *Syncer) Close() {
	s.cancel()
	s.done.Wait()
}

// run keeps the value in sync with the store.
func (s *Syncer) run(ctx context.Context) {
	for ctx.Err() == nil {
		var err error
		if !time.Now().Before(s.nextRead) {
			// A balancer that relies on others reads only in case they all fail to notice a
			// version; all other reads are made at once and set nextRead to zero.
			err = s.readKey(ctx, !s.nextRead.IsZero() && s.stored != nil && !s.watching)
		}
		if err == nil {
			err = s.watch(ctx)
		}
		s.reportStoreHealth(err)
		if err != nil {
			s.nextRead = time.Time{}
			wait(ctx, s.nextDelay())
		}
	}
}

// nextDelay returns the delay before the next retry.
func (s *Syncer) nextDelay() time.Duration {
	if s.stored == nil {
		d := max(s.retryDelay, startupRetryMin)
		s.retryDelay = min(2*d, startupRetryMax)
		return d
	}
	d := max(s.retryDelay, retryMin)
	s.retryDelay = min(2*d, retryMax)
	return d
}

func (s *Syncer) reportStoreHealth(err error) {
	switch {
	case err != nil && !s.storeFailing:
		s.Warn("StoreLost", "By", "Follower", "Reason", err)
		s.OnStoreHealth(false)
	case err == nil && s.storeFailing:
		s.Info("StoreRegained", "By", "Follower")
		s.OnStoreHealth(true)
	}
	if err == nil {
		s.retryDelay = retryMin
	}
	s.storeFailing = err != nil
}

// readKey reads the key from the store; a stale answer confirms no version. The key stays
// due if the store was restored meanwhile, since the answer may be from before.
func (s *Syncer) readKey(ctx context.Context, stale bool) error {
	start, before := time.Now(), s.store.Era()
	readCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	if s.era == 0 && !s.storeFailing {
		s.setFirstRead(cancel)
	}
	kvs, rev, err := s.store.Read(readCtx, s.readRange(stale))
	s.setFirstRead(nil)
	if err != nil && readCtx.Err() != nil && ctx.Err() == nil {
		s.Info("ConfigurationReadSkipped", "Version", s.version(), "Took", time.Since(start))
		s.nextRead, s.skippedRead = time.Now().Add(pollInterval), true
		return nil
	}
	if err != nil {
		return err
	}
	s.skippedRead = false
	era := s.store.Era()
	if before != 0 && era != before {
		return nil
	}
	if s.Evacuations != nil && stale {
		return s.handleStaleRead(era, kvs)
	}
	if s.era != 0 && era != s.era {
		s.Warn("StoreRestored", "By", "Follower", "Era", era, "Before", s.era, "Version", s.version(), "WatchRevision", s.watchRevision, "Revision", rev)
	}
	if s.era != era || rev > s.watchRevision {
		s.era, s.watchRevision = era, rev
	}
	s.nextRead = time.Now().Add(pollInterval)
	for _, kv := range kvs {
		s.handleChange(kv, "Read")
	}
	if s.Evacuations != nil && rev == s.watchRevision {
		s.applyReadEvacuations(kvs)
	}
	if !stale {
		s.OnConfirm(time.Since(start))
	}
	return nil
}

// handleChange applies a value from the store unless it is the same as the last one.
func (s *Syncer) handleChange(kv store.KV, source string) {
	if kv.Key != s.Key || kv.Value == nil || bytes.Equal(kv.Value, s.stored) {
		return
	}
	s.stored = kv.Value
	s.apply(kv.Value, source)
}

// apply decodes a value and passes it to Apply; ok is false if decoding fails.
func (s *Syncer) apply(value []byte, source string) (c *routes.Configuration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, problems, err := s.decode(value, source)
	if err != nil {
		s.Error("ConfigurationUnreadable", "Source", source, "Reason", err)
		return nil, false
	}
	for _, p := range problems {
		s.Warn("ConfigurationPartUnreadable", "Version", c.Version, "Source", source, "Reason", p)
	}
	if c.Version > s.latest.version {
		s.latest = decodedValue{c.Version, s.encode(c, value, source)}
	}
	s.Apply(c, source)
	s.cancelNeedless(source)
	return c, true
}

// decode decodes a value from the store or from a peer.
func (s *Syncer) decode(value []byte, source string) (c *routes.Configuration, problems []error, err error) {
	if source == peerSource && s.Transfer != nil {
		c, err = s.Transfer.Decode(value)
		return c, nil, err
	}
	return s.Decode(value)
}

// encode returns what other balancers get of a configuration, nil if they have to read the store.
func (s *Syncer) encode(c *routes.Configuration, value []byte, source string) []byte {
	if source == peerSource || s.Transfer == nil {
		return value
	}
	b, err := s.Transfer.Encode(c)
	if err != nil {
		s.Error("ConfigurationUnencoded", "Version", c.Version, "Reason", err)
		return nil
	}
	return b
}

// shouldWatch calls ShouldWatch and logs changes of its result.
func (s *Syncer) shouldWatch() bool {
	watching := s.ShouldWatch()
	if watching != s.watching {
		s.watching = watching
		s.Info("ConfigurationWatch", "Watching", watching, "Version", s.version())
	}
	return watching
}

// watch applies changes until the key is due for a read.
func (s *Syncer) watch(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var requests sync.WaitGroup
	defer requests.Wait()
	defer cancel()
	var readRequested atomic.Bool
	requests.Go(func() {
		select {
		case <-ctx.Done():
		case <-s.readRequests:
			readRequested.Store(true)
			cancel()
		}
	})
	for time.Now().Before(s.nextRead) && ctx.Err() == nil {
		if !s.skippedRead && s.store.Era() != s.era {
			// watchRevision is of an earlier era.
			s.nextRead = time.Time{}
			break
		}
		if !s.shouldWatch() {
			wait(ctx, watchCheckInterval)
			continue
		}
		if s.skippedRead {
			// There is no revision to watch from.
			s.nextRead = time.Time{}
			break
		}
		rev, err := s.store.Watch(ctx, s.readRange(false).Key, s.watchRevision, func(kv store.KV) {
			s.handleChange(kv, "Watch")
			s.collectEvacuation(kv)
		})
		s.applyWatchedEvacuations()
		switch {
		case ctx.Err() != nil || s.store.Era() != s.era:
		case eris.Is(err, store.ErrCompacted):
			s.nextRead = time.Time{}
			wait(ctx, retryMin)
		case err != nil:
			return err
		default:
			s.watchRevision = rev
			// The store answers when a change comes or the wait ends, not earlier.
			s.OnConfirm(0)
		}
	}
	if readRequested.Load() {
		s.nextRead = time.Time{}
	}
	return nil
}
