// Package configsync follows the operators' configuration in the platform's store.
//
// A few balancers watch the store, which tells them of changes at once; the others
// fetch newer versions from the balancers that have them, which costs the store
// nothing however quickly versions follow each other. A watch may go silent, and the
// history that it needs may be dropped, so the key itself is read again after each
// failure, where a peer does not answer, and from time to time.
//
// # Usage
//
//	f := follower.New(cfg, store, journal)
//	f.Refresh(peer)
//	f.Close()
package configsync

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jaytack/jaytack/internal/process/eventlog"
	"github.com/jaytack/jaytack/internal/process/store"
	"github.com/jaytack/jaytack/internal/relay/routes"
)

const (
	// checkEvery is how often the key is read although nothing says that it is new.
	checkEvery = 15 * time.Second
	// turnEvery is how often a process looks whether it is to watch.
	turnEvery = 200 * time.Millisecond
	// retryFirst is the pause after a failed call while there is no configuration,
	// retryAfter the one after the first failed call later; they double up to
	// retryFirstMost and retryMost.
	retryFirst     = 30 * time.Millisecond
	retryFirstMost = 120 * time.Millisecond
	retryAfter     = 100 * time.Millisecond
	retryMost      = 800 * time.Millisecond
)

// Config is what a follower calls. All fields are set.
type Config struct {
	Key store.Key
	// Decode decodes the key's value.
	Decode func(value []byte) (c *routes.Configuration, problems []error, err error)
	// Apply takes in a configuration, which may be older than the one in force.
	Apply func(c *routes.Configuration, source string)
	// Watches reports whether this process is among those that watch; the others
	// hear of changes from them.
	Watches func() bool
	// Health is called when the store is lost and when it is back.
	Health func(ok bool)
	// Fetch returns the value that another balancer has in force.
	Fetch func(ctx context.Context, from netip.Addr) ([]byte, error)
}

// Follower follows one key.
type Follower struct {
	Config
	*eventlog.Logger
	store  *store.Client
	cancel context.CancelFunc
	done   chan struct{}
	wake   chan struct{}

	// news is a balancer that has a newer version, value is the newest read.
	news  atomic.Pointer[netip.Addr]
	value atomic.Pointer[[]byte]

	failing  bool
	retry    time.Duration
	revision store.Revision
	seen     store.Revision
	// readAt is when the key is to be read again.
	readAt time.Time
}

// New returns a follower that runs until Close.
func New(cfg Config, st *store.Client, j *eventlog.Logger) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{Config: cfg, Logger: j, store: st, cancel: cancel, done: make(chan struct{}), wake: make(chan struct{}, 1)}
	go func() {
		defer close(f.done)
		f.run(ctx)
	}()
	return f
}

// Value returns the value in force, nil for none.
func (f *Follower) Value() []byte {
	if v := f.value.Load(); v != nil {
		return *v
	}
	return nil
}

// Refresh has a newer version fetched soon from the balancer that has it.
func (f *Follower) Refresh(from netip.Addr) {
	f.news.Store(&from)
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Close ends the follower.
func (f *Follower) Close() {
	f.cancel()
	<-f.done
}

func (f *Follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !f.fetchNews(ctx) {
			f.readAt = time.Time{}
		}
		var err error
		if !time.Now().Before(f.readAt) {
			err = f.read(ctx)
		}
		if err == nil {
			err = f.watch(ctx)
		}
		f.noteHealth(err)
		if err != nil {
			f.readAt = time.Time{}
			f.pause(ctx)
		}
	}
}

// fetchNews takes a newer version from the balancer that has it; ok is false where
// it does not give it.
func (f *Follower) fetchNews(ctx context.Context) (ok bool) {
	from := f.news.Swap(nil)
	if from == nil {
		return true
	}
	value, err := f.Fetch(ctx, *from)
	if err != nil {
		f.Warn("ConfigurationUnfetched", "From", *from, "Reason", err)
		return false
	}
	return f.apply(value, "Peer")
}

func (f *Follower) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-f.wake:
	case <-time.After(f.delay()):
	}
}

// delay returns the pause before the next try.
func (f *Follower) delay() time.Duration {
	if f.seen == 0 {
		d := max(f.retry, retryFirst)
		f.retry = min(2*d, retryFirstMost)
		return d
	}
	d := f.retry
	f.retry = min(2*f.retry, retryMost)
	return d
}

func (f *Follower) noteHealth(err error) {
	switch {
	case err != nil && !f.failing:
		f.Warn("StoreLost", "By", "Follower", "Reason", err)
		f.Health(false)
	case err == nil && f.failing:
		f.Info("StoreRegained", "By", "Follower")
		f.Health(true)
	}
	if err == nil {
		f.retry = retryAfter
	}
	f.failing = err != nil
}

// read reads the key itself.
func (f *Follower) read(ctx context.Context) error {
	kvs, rev, err := f.store.Read(ctx, store.Range{Key: f.Key})
	if err != nil {
		return err
	}
	f.readAt = time.Now().Add(checkEvery)
	f.revision = max(f.revision, rev)
	for _, kv := range kvs {
		f.revision = max(f.revision, kv.Revision)
		f.take(kv, "Read")
	}
	return nil
}

// take decodes a value that is new.
func (f *Follower) take(kv store.KV, source string) {
	if kv.Key != f.Key || kv.Value == nil || kv.Revision <= f.seen {
		return
	}
	if f.apply(kv.Value, source) {
		f.seen = kv.Revision
	}
}

// apply decodes a value and hands it on; it returns false for one that cannot be read.
func (f *Follower) apply(value []byte, source string) bool {
	c, problems, err := f.Decode(value)
	if err != nil {
		f.Error("ConfigurationUnreadable", "Source", source, "Reason", err)
		return false
	}
	for _, p := range problems {
		f.Warn("RouteUnreadable", "Version", c.Version, "Source", source, "Reason", p)
	}
	f.value.Store(&value)
	f.Apply(c, source)
	return true
}

// idle waits until it may be this process's turn to watch.
func (f *Follower) idle(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(turnEvery):
	}
}

// watch follows changes until it is time to read the key again.
func (f *Follower) watch(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-ctx.Done():
		case <-f.wake:
			cancel()
		}
	}()
	for time.Now().Before(f.readAt) && ctx.Err() == nil {
		if !f.Watches() {
			f.idle(ctx)
			continue
		}
		rev, err := f.store.Watch(ctx, f.Key, f.revision, func(kv store.KV) { f.take(kv, "Watch") })
		if ctx.Err() != nil {
			return nil
		}
		if eris.Is(err, store.ErrCompacted) {
			f.readAt = time.Time{}
			return nil
		}
		if err != nil {
			return err
		}
		f.revision = max(f.revision, rev)
	}
	return nil
}
