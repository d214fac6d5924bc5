package registry

import (
	"bytes"
	"context"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/jaytack/jaytack/internal/process/store"
	"github.com/jaytack/jaytack/internal/relay/message"
	"github.com/jaytack/jaytack/internal/relay/polling"
)

// CheckpointPrefix is the key prefix of checkpoints; an instance's address follows.
const CheckpointPrefix store.Key = store.Prefix + "flows/"

// checkpointState is the state of a process's checkpoint in the store.
type checkpointState struct {
	// unread is set until the checkpoint of an earlier process has been read.
	unread bool
	// written is the last value written, nextWrite when the next one is due.
	written   []byte
	nextWrite time.Time
}

func (r *Registry) checkpointKey() store.Key { return CheckpointPrefix + r.ownKey[len(Prefix):] }

// readCheckpoint reads the checkpoint of an earlier process. A checkpoint that cannot be
// read is ignored: flows that have ended are then reset at their next packet.
func (r *Registry) readCheckpoint(ctx context.Context) {
	if !r.checkpoints.unread {
		return
	}
	r.checkpoints.unread = false
	kv, err := r.store.Get(ctx, r.checkpointKey())
	if err != nil {
		r.Warn("CheckpointUnreadable", "Key", r.checkpointKey(), "Reason", err)
		return
	}
	if kv.Revision == 0 {
		return
	}
	cp, err := decodeCheckpoint(kv)
	if err != nil {
		r.Warn("CheckpointUnreadable", "Key", r.checkpointKey(), "Reason", err)
		return
	}
	r.OnCheckpoint(cp)
}

// decodeCheckpoint returns the checkpoint of an entry, which another writer may have left. Every
// process writes its own under a lease.
func decodeCheckpoint(kv store.KV) (*message.Checkpoint, error) {
	cp := &message.Checkpoint{}
	if err := proto.Unmarshal(kv.Value, cp); err != nil {
		return nil, eris.Wrap(message.ErrCheckpoint, err.Error())
	}
	if kv.Lease == 0 {
		return nil, eris.Wrap(message.ErrCheckpoint, "no lease")
	}
	return cp, cp.Check()
}

// writeCheckpoint writes the checkpoint if it has changed. It runs only after the lease has
// been renewed and is not retried before the next renewal, so that a store that is out of
// writes serves leases first. A late write does no harm: a checkpoint stays true.
func (r *Registry) writeCheckpoint(ctx context.Context) {
	now := time.Now()
	if r.lease == 0 || now.Before(r.checkpoints.nextWrite) {
		return
	}
	cp := r.Checkpoint()
	if cp == nil {
		return
	}
	r.checkpoints.nextWrite = now.Add(polling.CheckpointInterval(r.members))
	value, err := proto.Marshal(cp)
	if err != nil || bytes.Equal(value, r.checkpoints.written) {
		return
	}
	if _, _, err := r.store.Commit(ctx, nil, []store.Put{{Key: r.checkpointKey(), Value: value, Lease: r.lease}}); err != nil {
		r.Debug("CheckpointSkipped", "Key", r.checkpointKey(), "Reason", err)
		return
	}
	r.checkpoints.written = value
}
