// Package registry registers a process in the platform's store under a lease and
// reads the entries of all processes. An entry is a key whose value is the process's
// record.
//
// Processes that start later or were partitioned find the others by these entries.
// Members that know each other need no entries: they exchange reports. An entry is
// written only if it has not changed since it was read, so that a delayed write
// overwrites nothing newer. The next read detects a missing entry, which is then
// written again.
//
// # Usage
//
//	r := registry.New(cfg, store, logger)
//	r.Publish(before, after)
//	r.Close()
package registry

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jaytack/jaytack/internal/process/eventlog"
	"github.com/jaytack/jaytack/internal/process/store"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/message"
	"github.com/jaytack/jaytack/internal/relay/polling"
)

// Prefix is the key prefix of entries; an instance's address follows.
const Prefix store.Key = store.Prefix + "relay/"

const (
	// maxOddEntries limits the entries of other writers that are remembered as logged.
	maxOddEntries = 1000
)

// Config holds the instance's address and the callbacks. All fields are set.
type Config struct {
	Self flow.IP
	// Record returns the record to write to the own entry.
	Record func() *message.Record
	// OnRead is called with the records of all other instances after each read.
	OnRead func([]*message.Record)
	// OnAnswer is called after each successful renewal of the lease.
	OnAnswer func()
	// OnOwnRecord is called with the record of an earlier process of the instance. current is
	// false if the store may have been restored from a copy since the record was written:
	// the record may be outdated, and later records of any instance may be missing.
	OnOwnRecord func(rec *message.Record, current bool)
	// Checkpoint returns the flows to store for the next process, nil if there are none.
	Checkpoint func() *message.Checkpoint
	// OnCheckpoint is called with the checkpoint of an earlier process of the instance.
	OnCheckpoint func(*message.Checkpoint)
	// OnStoreHealth is called when the store becomes unavailable or available again.
	OnStoreHealth func(ok bool)
}

// Registry keeps one process's entry and reads those of the others.
type Registry struct {
	Config
	*eventlog.Logger
	store         *store.Client
	ownKey        store.Key
	cancel        context.CancelFunc
	done          chan struct{}
	writeRequests chan struct{}
	readRequests  chan struct{}
	// readRequestedAt is when ReadSoon last requested a read.
	readRequestedAt time.Time

	lease store.LeaseID
	// reads says when the entries are read, listed holds those of the last read.
	reads polling.Schedule
	// freshRead is set if the next read must not be stale.
	freshRead bool
	listed    map[store.Key]store.Revision
	// leaseEra is the store's era in which the process was granted the lease or found its
	// entry under it.
	leaseEra     store.Era
	revision     store.Revision
	nextRenewal  time.Time
	loaded       bool
	writePending bool
	// members is the number of other processes at the last read.
	members int
	// checkpoints is the state of the checkpoint's key.
	checkpoints  checkpointState
	storeFailing bool
	// oddEntries holds the revisions of the entries of other writers that have been logged.
	oddEntries map[store.Key]store.Revision
	// era is the store's era. restored is set until the own entry has been checked in it.
	era      store.Era
	restored bool
}

// New returns a registry that reads and writes until Close.
func New(cfg Config, st *store.Client, logger *eventlog.Logger) *Registry {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Registry{
		Config: cfg, Logger: logger, store: st, ownKey: Prefix + store.Key(cfg.Self.String()), cancel: cancel,
		done: make(chan struct{}), writeRequests: make(chan struct{}, 1), readRequests: make(chan struct{}, 1), writePending: true, oddEntries: make(map[store.Key]store.Revision),
	}
	go func() {
		defer close(r.done)
		r.run(ctx)
	}()
	return r
}

// Publish requests a write of the own entry if a change of state needs one.
func (r *Registry) Publish(before, after message.State) {
	if !polling.NeedsWrite(before, after) {
		return
	}
	select {
	case r.writeRequests <- struct{}{}:
	default:
	}
}

// ReadSoon requests a read of the entries, at most one every polling.MinReadGap. It is not safe for
// concurrent use.
func (r *Registry) ReadSoon() {
	if time.Since(r.readRequestedAt) < polling.MinReadGap {
		return
	}
	r.readRequestedAt = time.Now()
	select {
	case r.readRequests <- struct{}{}:
	default:
	}
}

// Close stops the registry; the entry stays until its lease expires.
func (r *Registry) Close() {
	r.cancel()
	<-r.done
}

func (r *Registry) run(ctx context.Context) {
	for ctx.Err() == nil {
		r.beginEra()
		err := r.runOnce(ctx)
		r.reportStoreHealth(err)
		if err != nil || r.store.Era() == r.era {
			r.wait(ctx, err)
		}
	}
}

// beginEra notices that the store was restored. The entry may be missing or older then, and
// another process may have been granted the lease, so that both are checked before the
// lease is used again.
func (r *Registry) beginEra() {
	before, era := r.era, r.store.Era()
	r.era = era
	if before == 0 || era == before {
		return
	}
	r.Warn("StoreRestored", "By", "Registry", "Era", era, "Before", before, "Revision", r.revision, "Lease", r.lease)
	r.reads.Request()
	r.restored = true
	if r.writePending {
		// A write without an answer may have used the lease after it was given out again.
		r.lease = 0
	}
	r.checkpoints.written, r.checkpoints.nextWrite = nil, time.Time{}
}

// runOnce makes the store calls that are due.
func (r *Registry) runOnce(ctx context.Context) error {
	if !r.loaded || r.reads.IsDue(time.Now()) {
		if err := r.readEntries(ctx, r.loaded && !r.restored && !r.freshRead); err != nil {
			return err
		}
		r.freshRead = false
	}
	r.readCheckpoint(ctx)
	if r.lease != 0 && !time.Now().Before(r.nextRenewal) {
		if err := r.renewLease(ctx); err != nil {
			return err
		}
		r.writeCheckpoint(ctx)
	}
	if !r.writePending {
		return nil
	}
	isFirst := r.revision == 0
	if err := r.writeEntry(ctx); err != nil || !isFirst {
		return err
	}
	r.reads.RecordCreated(time.Now())
	return nil
}

func (r *Registry) wait(ctx context.Context, err error) {
	until := r.reads.Next()
	if r.lease != 0 && r.nextRenewal.Before(until) {
		until = r.nextRenewal
	}
	t := time.NewTimer(max(r.nextDelay(err, time.Until(until)), time.Millisecond))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-r.writeRequests:
		r.writePending = true
	case <-r.readRequests:
		r.reads.Request()
		r.freshRead = true
	}
}

// nextDelay returns the delay before the next runOnce.
func (r *Registry) nextDelay(err error, untilDue time.Duration) time.Duration {
	if err != nil {
		return r.reads.RecordFailure()
	}
	r.reads.RecordSuccess()
	return untilDue
}

// reportStoreHealth logs and reports changes of the store's availability.
func (r *Registry) reportStoreHealth(err error) {
	switch {
	case err != nil && !r.storeFailing:
		r.Warn("StoreLost", "By", "Registry", "Reason", err)
		r.OnStoreHealth(false)
	case err == nil && r.storeFailing:
		// Entries may have lapsed meanwhile.
		r.reads.Reset()
		r.Info("StoreRegained", "By", "Registry")
		r.OnStoreHealth(true)
	}
	r.storeFailing = err != nil
}

// readEntries reads all entries; stale answers suffice after the first read.
func (r *Registry) readEntries(ctx context.Context, stale bool) error {
	kvs, _, err := r.store.Read(ctx, store.Range{Key: Prefix, Prefix: true, Stale: stale})
	if err != nil {
		return err
	}
	others := make([]*message.Record, 0, len(kvs))
	r.reads.RecordRead(time.Now(), r.recordListed(kvs))
	foundOwn := false
	for _, kv := range kvs {
		rec, err := decodeEntry(kv)
		if err != nil {
			r.recordOddEntry(kv, err)
			continue
		}
		if kv.Key != r.ownKey {
			others = append(others, rec)
			continue
		}
		foundOwn = true
		switch {
		case !r.loaded:
			r.adoptEntry(kv, rec)
		case r.restored:
			r.checkEntry(kv, rec)
		case kv.Revision > r.revision && rec.Incarnation != r.Record().Incarnation:
			r.recordOddEntry(kv, eris.Wrapf(message.ErrRecord, "incarnation %d of no process", rec.Incarnation))
		}
	}
	if r.restored && !foundOwn {
		r.revision, r.lease, r.writePending = 0, 0, true
	}
	r.restored = false
	if !foundOwn && stale && !r.writePending {
		return r.verifyOwnEntry(ctx, others)
	}
	r.loaded, r.members = true, len(others)
	r.OnRead(others)
	return nil
}

func (r *Registry) renewLease(ctx context.Context) error {
	err := r.store.KeepAlive(ctx, r.lease)
	switch {
	case eris.Is(err, store.ErrLeaseExpired):
		r.Warn("LeaseLapsed", "Lease", r.lease)
		r.lease, r.writePending = 0, true
		return nil
	case err != nil:
		return err
	}
	r.nextRenewal = time.Now().Add(polling.RenewInterval)
	r.OnAnswer()
	return nil
}
