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

	"github.com/jaytack/jaytack/internal/process/journal"
	"github.com/jaytack/jaytack/internal/process/store"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/message"
)

// Prefix is where entries are.
const Prefix store.Key = store.Prefix + "relay/"

const (
	// leaseTTL is how long an entry outlives its process: longer than all processes
	// need to start again after a loss of power.
	leaseTTL = 6 * time.Second
	// renewEvery is how often the lease is renewed, three times within its time.
	renewEvery = leaseTTL / 3
	// pollEvery is how often entries are read: a vanished entry is to be back
	// within 2 s.
	pollEvery = 1500 * time.Millisecond
	// retryAfter is the pause after a failed call.
	retryAfter = 100 * time.Millisecond
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
}

// Registry is one process's part in the list of members.
type Registry struct {
	Config
	*journal.Journal
	store  *store.Client
	key    store.Key
	cancel context.CancelFunc
	done   chan struct{}
	wake   chan struct{}

	lease    store.LeaseID
	revision store.Revision
	renewAt  time.Time
	dirty    bool
	failing  bool
}

// New returns a registry that reads and writes until Close.
func New(cfg Config, st *store.Client, j *journal.Journal) *Registry {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Registry{
		Config: cfg, Journal: j, store: st, key: Prefix + store.Key(cfg.Self.String()), cancel: cancel,
		done: make(chan struct{}), wake: make(chan struct{}, 1), dirty: true,
	}
	go func() {
		defer close(r.done)
		r.run(ctx)
	}()
	return r
}

// Publish has the own entry written soon.
func (r *Registry) Publish() {
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
	first := true
	readAt := time.Now()
	for ctx.Err() == nil {
		err := r.step(ctx, first, &readAt)
		if err == nil {
			first = false
		}
		r.noteHealth(err)
		r.pause(ctx, err, readAt)
	}
}

// step does what is due.
func (r *Registry) step(ctx context.Context, first bool, readAt *time.Time) error {
	if first || !time.Now().Before(*readAt) {
		if err := r.read(ctx, !first); err != nil {
			return err
		}
		*readAt = time.Now().Add(pollEvery)
	}
	if r.lease != 0 && !time.Now().Before(r.renewAt) {
		if err := r.renew(ctx); err != nil {
			return err
		}
	}
	if r.dirty {
		return r.write(ctx)
	}
	return nil
}

func (r *Registry) pause(ctx context.Context, err error, readAt time.Time) {
	until := readAt
	if r.lease != 0 && r.renewAt.Before(until) {
		until = r.renewAt
	}
	d := time.Until(until)
	if err != nil {
		d = retryAfter
	}
	t := time.NewTimer(max(d, time.Millisecond))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-r.wake:
		r.dirty = true
	}
}

// noteHealth logs when the store is lost and when it is back.
func (r *Registry) noteHealth(err error) {
	switch {
	case err != nil && !r.failing:
		r.Warn("StoreLost", "By", "Registry", "Reason", err)
	case err == nil && r.failing:
		r.Info("StoreRegained", "By", "Registry")
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
		if !stale {
			r.revision = kv.Revision
			r.Own(rec)
		}
	}
	if !own && stale && !r.dirty {
		return r.restore(ctx, recs)
	}
	r.Loaded(recs)
	return nil
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
	case eris.Is(err, store.ErrLease):
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
	case eris.Is(err, store.ErrLease):
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
