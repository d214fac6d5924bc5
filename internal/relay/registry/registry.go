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
)

// Prefix is the key prefix of entries; an instance's address follows.
const Prefix store.Key = store.Prefix + "relay/"

const (
	// leaseTTL is how long an entry outlives its process: longer than all processes
	// need to restart after a power failure.
	leaseTTL = 9 * time.Second
	// renewInterval is how often the lease is renewed, which shows whether the entry has
	// lapsed: it has to be rewritten within 2 s.
	renewInterval = 1800 * time.Millisecond
	// readIntervalMin is how often entries are read after they have changed. Each read
	// without a change doubles the interval, up to readIntervalMax. Members that start
	// tell the others themselves. earlyReadInterval is how often entries are read during
	// earlyReadPeriod after the own entry was created, since other processes may be
	// starting too, of which neither has seen the other.
	earlyReadInterval = 250 * time.Millisecond
	earlyReadPeriod   = time.Second
	readIntervalMin   = 1800 * time.Millisecond
	readIntervalMax   = 9 * time.Second
	// minReadGap is the least time between two reads that are requested.
	minReadGap = 500 * time.Millisecond
	// startupRetryMin is the first retry delay until a read has succeeded, retryMin the
	// first one afterwards. Each further failure doubles the delay, up to
	// startupRetryMax or retryMax.
	startupRetryMin = 30 * time.Millisecond
	startupRetryMax = 120 * time.Millisecond
	retryMin        = 100 * time.Millisecond
	retryMax        = time.Second
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
	// readInterval is the interval until the next read. listed holds the entries of the
	// last one.
	readInterval   time.Duration
	earlyReadUntil time.Time
	// freshRead is set if the next read must not be stale.
	freshRead bool
	listed    map[store.Key]store.Revision
	// leaseEra is the store's era in which the process was granted the lease or found its
	// entry under it.
	leaseEra     store.Era
	revision     store.Revision
	nextRenewal  time.Time
	nextRead     time.Time
	loaded       bool
	writePending bool
	// members is the number of other processes at the last read.
	members int
	// checkpoints is the state of the checkpoint's key.
	checkpoints  checkpointState
	storeFailing bool
	retryDelay   time.Duration
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

// Publish requests a write of the own entry if isUpstreamLeaving differs between the
// states or if the upstream is gone. Other members learn of other changes by reports.
func (r *Registry) Publish(before, after message.State) {
	if isUpstreamLeaving(before) == isUpstreamLeaving(after) && after != message.State_StateGone {
		return
	}
	select {
	case r.writeRequests <- struct{}{}:
	default:
	}
}

// ReadSoon requests a read of the entries, at most one every minReadGap. It is not safe for
// concurrent use.
func (r *Registry) ReadSoon() {
	if time.Since(r.readRequestedAt) < minReadGap {
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
	r.nextRead, r.restored = time.Time{}, true
	if r.writePending {
		// A write without an answer may have used the lease after it was given out again.
		r.lease = 0
	}
	r.checkpoints.written, r.checkpoints.nextWrite = nil, time.Time{}
}

// runOnce makes the store calls that are due. It reads the entries again soon after it
// created its own: of two processes that start together, one then sees the other and
// reports to it.
func (r *Registry) runOnce(ctx context.Context) error {
	if !r.loaded || !time.Now().Before(r.nextRead) {
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
	r.earlyReadUntil = time.Now().Add(earlyReadPeriod)
	r.scheduleRead(earlyReadInterval)
	return nil
}

// scheduleRead sets the interval until the next read.
func (r *Registry) scheduleRead(interval time.Duration) {
	r.readInterval = interval
	r.nextRead = time.Now().Add(interval)
}

func (r *Registry) wait(ctx context.Context, err error) {
	until := r.nextRead
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
		r.nextRead, r.freshRead = time.Time{}, true
	}
}

// nextDelay returns the delay before the next runOnce.
func (r *Registry) nextDelay(err error, untilDue time.Duration) time.Duration {
	switch {
	case err == nil:
		r.retryDelay = retryMin
		return untilDue
	case !r.loaded:
		d := max(r.retryDelay, startupRetryMin)
		r.retryDelay = min(2*d, startupRetryMax)
		return d
	}
	d := r.retryDelay
	r.retryDelay = min(2*r.retryDelay, retryMax)
	return d
}

// reportStoreHealth logs and reports changes of the store's availability.
func (r *Registry) reportStoreHealth(err error) {
	switch {
	case err != nil && !r.storeFailing:
		r.Warn("StoreLost", "By", "Registry", "Reason", err)
		r.OnStoreHealth(false)
	case err == nil && r.storeFailing:
		// Entries may have lapsed meanwhile.
		r.nextRead, r.readInterval = time.Time{}, readIntervalMin
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
	switch changed := r.recordListed(kvs); {
	case time.Now().Before(r.earlyReadUntil):
		r.scheduleRead(earlyReadInterval)
	case changed:
		r.scheduleRead(readIntervalMin)
	default:
		r.scheduleRead(min(2*r.readInterval, readIntervalMax))
	}
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
	r.nextRenewal = time.Now().Add(renewInterval)
	r.OnAnswer()
	return nil
}
