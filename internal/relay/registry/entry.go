package registry

import (
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/jaytack/jaytack/internal/process/store"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/message"
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
