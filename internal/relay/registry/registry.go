// Package registry keeps a process's own entry in the platform's store, under a
// lease, and reads everybody's.
//
// An entry tells those that start later, or that were cut off, who is there.
// Members that know each other do without: they report to each other. The entry
// is written under the condition that it has not changed since it was read, so
// that a write that takes effect late undoes nothing. An entry that has vanished
// is noticed by the next read and written again.
//
// # Usage
//
//	r := registry.New(cfg, store, journal)
//	r.Publish()
//	r.Close()
package registry

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/jaytack/jaytack/internal/process/eventlog"
	"github.com/jaytack/jaytack/internal/process/store"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/message"
)

// Prefix is where entries are.
const Prefix store.Key = store.Prefix + "relay/"

const (
	// leaseTTL is how long an entry outlives its process: longer than all processes
	// need to start again after a loss of power.
	leaseTTL = 9 * time.Second
	// renewEvery is how often the lease is renewed, three times within its time.
	renewEvery = leaseTTL / 3
	// pollEvery is how often entries are read: a vanished entry is to be back
	// within 2 s.
	pollEvery = 1800 * time.Millisecond
	// earlyPollEvery is how often entries are read for earlyFor after the start and
	// after each write of the own entry, when others write theirs.
	earlyPollEvery = 250 * time.Millisecond
	earlyFor       = 2 * time.Second
	// retryFirst is the pause after a failed call while the process knows nobody,
	// retryAfter the one after the first failed call later; they double up to
	// retryFirstMost and retryMost.
	retryFirst     = 30 * time.Millisecond
	retryFirstMost = 120 * time.Millisecond
	retryAfter     = 100 * time.Millisecond
	retryMost      = time.Second
)

// Config is what a registry calls. All fields are set.
type Config struct {
	Self flow.IP
	// Record returns what to write.
	Record func() *message.Record
	// Loaded takes in all entries.
	Loaded func([]*message.Record)
	// Own is called with the entry that an earlier process of the instance left.
	Own func(*message.Record)
	// Health is called when the store is lost and when it is back.
	Health func(ok bool)
}

// Registry is one process's part in the list of members.
type Registry struct {
	Config
	*eventlog.Logger
	store  *store.Client
	key    store.Key
	cancel context.CancelFunc
	done   chan struct{}
	wake   chan struct{}

	lease    store.LeaseID
	revision store.Revision
	renewAt  time.Time
	readAt   time.Time
	early    time.Time
	loaded   bool
	dirty    bool
	failing  bool
	retry    time.Duration
}

// New returns a registry that reads and writes until Close.
func New(cfg Config, st *store.Client, j *eventlog.Logger) *Registry {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Registry{
		Config: cfg, Logger: j, store: st, key: Prefix + store.Key(cfg.Self.String()), cancel: cancel,
		done: make(chan struct{}), wake: make(chan struct{}, 1), dirty: true,
	}
	go func() {
		defer close(r.done)
		r.run(ctx)
	}()
	return r
}

// Publish has the own entry written soon if a change of state is one that others
// have to learn from it; of other changes they hear by reports.
func (r *Registry) Publish(before, now message.State) {
	if leaving(before) == leaving(now) && now != message.State_StateGone {
		return
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Close ends the registry; the entry stays until its lease lapses.
func (r *Registry) Close() {
	r.cancel()
	<-r.done
}

func (r *Registry) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := r.step(ctx)
		r.noteHealth(err)
		r.pause(ctx, err)
	}
}

// step does what is due. The entries are read again once a first entry is written:
// of two processes that write at once, the later one sees the other.
func (r *Registry) step(ctx context.Context) error {
	if !r.loaded || !time.Now().Before(r.readAt) {
		if err := r.read(ctx, r.loaded); err != nil {
			return err
		}
	}
	if r.lease != 0 && !time.Now().Before(r.renewAt) {
		if err := r.renew(ctx); err != nil {
			return err
		}
	}
	if !r.dirty {
		return nil
	}
	fresh := r.revision == 0
	if err := r.write(ctx); err != nil || !fresh {
		return err
	}
	r.early = time.Now().Add(earlyFor)
	return r.read(ctx, false)
}

func (r *Registry) pause(ctx context.Context, err error) {
	until := r.readAt
	if r.lease != 0 && r.renewAt.Before(until) {
		until = r.renewAt
	}
	t := time.NewTimer(max(r.delay(err, time.Until(until)), time.Millisecond))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-r.wake:
		r.dirty = true
	}
}

// delay returns the time to the next step.
func (r *Registry) delay(err error, due time.Duration) time.Duration {
	switch {
	case err == nil:
		r.retry = retryAfter
		return due
	case !r.loaded:
		d := max(r.retry, retryFirst)
		r.retry = min(2*d, retryFirstMost)
		return d
	}
	d := r.retry
	r.retry = min(2*r.retry, retryMost)
	return d
}

// noteHealth logs when the store is lost and when it is back.
func (r *Registry) noteHealth(err error) {
	switch {
	case err != nil && !r.failing:
		r.Warn("StoreLost", "By", "Registry", "Reason", err)
		r.Health(false)
	case err == nil && r.failing:
		r.Info("StoreRegained", "By", "Registry")
		r.Health(true)
	}
	r.failing = err != nil
}

// read reads all entries; a stale answer is good enough once the first was read.
func (r *Registry) read(ctx context.Context, stale bool) error {
	kvs, _, err := r.store.Read(ctx, store.Range{Key: Prefix, Prefix: true, Stale: stale})
	if err != nil {
		return err
	}
	recs := make([]*message.Record, 0, len(kvs))
	r.readAt = time.Now().Add(pollEvery)
	if time.Now().Before(r.early) {
		r.readAt = time.Now().Add(earlyPollEvery)
	}
	own := false
	for _, kv := range kvs {
		rec := &message.Record{}
		if err := proto.Unmarshal(kv.Value, rec); err != nil || Prefix+store.Key(flow.IP(rec.Instance).String()) != kv.Key {
			r.Warn("EntryUnreadable", "Key", kv.Key, "Revision", kv.Revision)
			continue
		}
		if kv.Key != r.key {
			recs = append(recs, rec)
			continue
		}
		own = true
		if !r.loaded {
			r.takeOver(kv, rec)
		}
	}
	if !own && stale && !r.dirty {
		return r.restore(ctx, recs)
	}
	r.loaded = true
	r.Loaded(recs)
	return nil
}

// takeOver goes on with the entry and the lease of an earlier process of the
// instance, which saves granting and writing anew.
func (r *Registry) takeOver(kv store.KV, rec *message.Record) {
	r.Own(rec)
	now := r.Record()
	r.revision, r.lease, r.renewAt = kv.Revision, kv.Lease, time.Now()
	r.dirty = kv.Lease == 0 || rec.Service != now.Service || rec.DataCentre != now.DataCentre || leaving(rec.State) != leaving(now.State)
}

// leaving reports whether a state is one that others have to learn from the entry.
func leaving(s message.State) bool {
	return s == message.State_StateDraining || s == message.State_StateGone
}

// restore has the own entry written again if it has really vanished.
func (r *Registry) restore(ctx context.Context, recs []*message.Record) error {
	kv, err := r.store.Get(ctx, r.key)
	if err != nil {
		return err
	}
	if kv.Revision == 0 {
		r.Warn("OwnEntryVanished", "Key", r.key, "Written", r.revision)
		r.revision, r.lease, r.dirty = 0, 0, true
	}
	r.Loaded(recs)
	return nil
}

func (r *Registry) renew(ctx context.Context) error {
	err := r.store.KeepAlive(ctx, r.lease)
	switch {
	case eris.Is(err, store.ErrLeaseExpired):
		r.Warn("LeaseLapsed", "Lease", r.lease)
		r.lease, r.dirty = 0, true
		return nil
	case err != nil:
		return err
	}
	r.renewAt = time.Now().Add(renewEvery)
	return nil
}

// write writes the own entry under the lease.
func (r *Registry) write(ctx context.Context) error {
	if r.lease == 0 {
		id, err := r.store.Grant(ctx, leaseTTL)
		if err != nil {
			return err
		}
		r.lease, r.renewAt = id, time.Now().Add(renewEvery)
	}
	value, err := proto.Marshal(r.Record())
	if err != nil {
		return eris.Wrap(err, "record")
	}
	rev, ok, err := r.store.Commit(ctx, []store.Compare{{Key: r.key, Revision: r.revision}}, []store.Put{{Key: r.key, Value: value, Lease: r.lease}})
	switch {
	case eris.Is(err, store.ErrLeaseExpired):
		r.lease = 0
		return err
	case err != nil:
		return r.reread(ctx, err)
	case !ok:
		return r.reread(ctx, nil)
	}
	r.revision, r.dirty = rev, false
	r.Debug("EntryWritten", "Key", r.key, "Revision", rev, "Lease", r.lease)
	return nil
}

// reread learns the entry's revision after a write that failed or whose answer
// was lost.
func (r *Registry) reread(ctx context.Context, cause error) error {
	kv, err := r.store.Get(ctx, r.key)
	if err != nil {
		return err
	}
	r.revision = kv.Revision
	if cause == nil {
		cause = eris.New("entry has changed")
	}
	return cause
}
