package registry

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/jaytack/jaytack/internal/process/store"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/message"
	"github.com/jaytack/jaytack/internal/relay/polling"
)

// maxAhead is how far an incarnation may be ahead of the time of day: clocks that were ahead and
// restarts add to it. The next process of the instance must still be able to exceed it.
const maxAhead = 366 * 24 * time.Hour

// recordListed remembers the entries of a read and reports whether any has been added or
// is missing since the last one.
func (r *Registry) recordListed(kvs []store.KV) (changed bool) {
	listed := make(map[store.Key]store.Revision, len(kvs))
	for _, kv := range kvs {
		listed[kv.Key] = kv.Revision
		changed = changed || r.listed[kv.Key] == 0
	}
	changed = changed || len(listed) != len(r.listed)
	r.listed = listed
	return changed
}

// decodeEntry returns the record of an entry. Another writer may have left the entry, so that
// it may hold anything; every process writes its own under a lease.
func decodeEntry(kv store.KV) (*message.Record, error) {
	rec := &message.Record{}
	if err := proto.Unmarshal(kv.Value, rec); err != nil {
		return nil, eris.Wrap(message.ErrRecord, err.Error())
	}
	switch {
	case Prefix+store.Key(flow.IP(rec.Instance).String()) != kv.Key:
		return nil, eris.Wrapf(message.ErrRecord, "instance %v", flow.IP(rec.Instance))
	case kv.Lease == 0:
		return nil, eris.Wrap(message.ErrRecord, "no lease")
	case rec.Incarnation > uint64(time.Now().Add(maxAhead).UnixMilli()):
		return nil, eris.Wrapf(message.ErrRecord, "incarnation %d", rec.Incarnation)
	}
	return rec, rec.Check()
}

// recordOddEntry logs an entry of another writer once. One under the own key is replaced.
func (r *Registry) recordOddEntry(kv store.KV, reason error) {
	if kv.Key == r.ownKey && kv.Revision != r.revision {
		r.revision, r.lease, r.writePending = kv.Revision, 0, true
	}
	if r.oddEntries[kv.Key] == kv.Revision {
		return
	}
	if len(r.oddEntries) >= maxOddEntries {
		clear(r.oddEntries)
	}
	r.oddEntries[kv.Key] = kv.Revision
	r.Warn("EntryUnreadable", "Key", kv.Key, "Revision", kv.Revision, "Bytes", len(kv.Value), "Reason", reason)
}

// adoptEntry reuses the entry and the lease of an earlier process of the instance,
// which saves a new lease and a write.
func (r *Registry) adoptEntry(kv store.KV, rec *message.Record) {
	current := store.Era(rec.Era) == r.store.Era()
	r.OnOwnRecord(rec, current)
	r.checkpoints.unread = rec.Service != ""
	r.revision, r.nextRenewal = kv.Revision, time.Now()
	r.lease, r.leaseEra = kv.Lease, r.store.Era()
	r.writePending = kv.Lease == 0 || !current || !r.matches(rec)
}

// checkEntry compares the entry of a restored store with this process. Only an entry under
// the same lease proves that the lease is still the process's own.
func (r *Registry) checkEntry(kv store.KV, rec *message.Record) {
	if kv.Lease != r.lease {
		r.lease = 0
	}
	r.revision, r.nextRenewal, r.leaseEra = kv.Revision, time.Now(), r.era
	r.writePending = r.lease == 0 || !r.matches(rec)
}

// matches reports whether a stored record tells other processes what they have to know of
// this one.
func (r *Registry) matches(rec *message.Record) bool {
	current := r.Record()
	return rec.Service == current.Service && rec.DataCentre == current.DataCentre && polling.IsLeaving(rec.State) == polling.IsLeaving(current.State)
}

// verifyOwnEntry marks the own entry for writing if a fresh read also finds none.
func (r *Registry) verifyOwnEntry(ctx context.Context, others []*message.Record) error {
	kv, err := r.store.Get(ctx, r.ownKey)
	if err != nil {
		return err
	}
	if kv.Revision == 0 {
		r.Warn("OwnEntryVanished", "Key", r.ownKey, "Written", r.revision)
		r.revision, r.lease, r.writePending = 0, 0, true
	}
	r.OnRead(others)
	return nil
}

// writeEntry writes the own entry under the lease. The write stays pending if the store was
// restored meanwhile, since the lease may then be another process's.
func (r *Registry) writeEntry(ctx context.Context) error {
	if r.lease == 0 || r.leaseEra != r.store.Era() {
		era := r.store.Era()
		id, err := r.store.Grant(ctx, polling.LeaseTTL)
		if err != nil {
			return err
		}
		r.lease, r.leaseEra, r.nextRenewal = id, era, time.Now().Add(polling.RenewInterval)
	}
	rec := r.Record()
	rec.Era = int64(r.store.Era())
	value, err := proto.Marshal(rec)
	if err != nil {
		return eris.Wrap(err, "record")
	}
	rev, ok, err := r.store.Commit(ctx, []store.Compare{{Key: r.ownKey, Revision: r.revision}}, []store.Put{{Key: r.ownKey, Value: value, Lease: r.lease}})
	switch {
	case eris.Is(err, store.ErrLeaseExpired):
		r.lease = 0
		return err
	case err != nil:
		return r.refreshRevision(ctx, err)
	case !ok:
		return r.refreshRevision(ctx, nil)
	}
	r.revision = rev
	if r.store.Era() != r.leaseEra {
		r.lease = 0
		return nil
	}
	r.writePending = false
	r.Debug("EntryWritten", "Key", r.ownKey, "Revision", rev, "Lease", r.lease)
	return nil
}

// refreshRevision reads the entry's revision after a write that failed or whose
// response was lost. It always returns an error.
func (r *Registry) refreshRevision(ctx context.Context, cause error) error {
	kv, err := r.store.Get(ctx, r.ownKey)
	if err != nil {
		return err
	}
	r.revision = kv.Revision
	if cause == nil {
		cause = eris.New("entry has changed")
	}
	return cause
}
