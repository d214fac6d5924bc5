package relay

import (
	"maps"
	"slices"
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/message"
	"github.com/jaytack/jaytack/internal/relay/polling"
)

// storeCalls says when a process calls the store.
type storeCalls struct {
	reads polling.Schedule
	// nextRenewal is when the own entry is renewed, readRequestedAt when a read was last
	// requested.
	nextRenewal     time.Time
	readRequestedAt instant.Instant
	nextCheckpoint  instant.Instant
	// listed holds the instances with an entry at the last read, members is the number of the
	// others.
	listed  map[flow.IP]bool
	members int
	// storeAway is set while the store does not answer the process.
	storeAway bool
	// publishedState is the state for which the entry was last checked.
	publishedState message.State
}

// wallClock returns the time for schedules that the daemons share.
func (w *World) wallClock() time.Time { return time.Unix(0, int64(w.now)) }

// register reads the entries of all processes and writes the process's own, at the start and
// whenever either is due.
func (w *World) register(p *Process, start uint64) {
	if p.startCount != start {
		return
	}
	switch {
	case p.Paused:
		w.after(storeRetryInterval, func() { w.register(p, start) })
		return
	case !w.reachesStore(p):
		p.storeAway = true
		w.after(p.reads.RecordFailure(), func() { w.register(p, start) })
		return
	case p.storeAway:
		// Entries may have lapsed meanwhile.
		p.storeAway = false
		p.reads.Reset()
	}
	p.reads.RecordSuccess()
	now := w.wallClock()
	w.dispatch(p, func() {
		if p.reads.IsDue(now) {
			w.readEntries(p, start)
		}
		if !now.Before(p.nextRenewal) {
			w.renewEntry(p)
		}
	})
	next := p.reads.Next()
	if p.nextRenewal.Before(next) {
		next = p.nextRenewal
	}
	w.after(max(next.Sub(now), storeLatency), func() { w.register(p, start) })
}

// readEntries has a process read the entries of the others. At the first read it adopts its own
// one, or creates it.
func (w *World) readEntries(p *Process, start uint64) {
	listed := make(map[flow.IP]bool)
	var recs []*message.Record
	for ip, e := range w.entries {
		if e.expiresAt <= w.now {
			continue
		}
		listed[ip] = true
		if ip != p.IP {
			recs = append(recs, e.record)
		}
	}
	if e := w.entries[p.IP]; listed[p.IP] && e.record.Incarnation < start {
		w.handleOwnEntry(p, e.record)
	}
	p.reads.RecordRead(w.wallClock(), !maps.Equal(listed, p.listed))
	if p.listed == nil && !listed[p.IP] {
		w.writeEntry(p)
		p.reads.RecordCreated(w.wallClock())
	}
	p.listed = listed
	slices.SortFunc(recs, func(a, b *message.Record) int { return int(a.Instance) - int(b.Instance) })
	if p.Agent != nil {
		p.Agent.ApplyStored(w.now, recs)
	} else {
		p.Balancer.ApplyStored(w.now, recs)
	}
	p.members = len(recs)
}

// publish has an agent write its entry if its state has changed in a way that others learn from
// the entry, and read the others' if it wants them.
func (w *World) publish(p *Process) {
	if p.Agent.TakeMembersWanted() && (p.readRequestedAt == 0 || w.now.Sub(p.readRequestedAt) >= polling.MinReadGap) {
		p.readRequestedAt = w.now
		p.reads.Request()
		w.callStore(p)
	}
	before, after := p.publishedState, p.Agent.State()
	if before == after {
		return
	}
	p.publishedState = after
	if polling.NeedsWrite(before, after) {
		p.nextRenewal = time.Time{}
		w.callStore(p)
	}
}

// callStore has a process make the calls to the store that have become due.
func (w *World) callStore(p *Process) {
	start := p.startCount
	w.after(storeLatency, func() {
		if p.startCount != start || !w.reachesStore(p) {
			return
		}
		w.dispatch(p, func() {
			if p.listed != nil && p.reads.IsDue(w.wallClock()) {
				w.readEntries(p, start)
			}
			if p.nextRenewal.IsZero() {
				w.renewEntry(p)
			}
		})
	})
}

// renewEntry writes a process's entry, which shows the process that the store answers.
func (w *World) renewEntry(p *Process) {
	w.writeEntry(p)
	p.nextRenewal = w.wallClock().Add(polling.RenewInterval)
	if p.Agent != nil {
		p.Agent.Members.RecordStoreAnswer(w.now)
	} else {
		p.Balancer.Members.RecordStoreAnswer(w.now)
	}
}

// writeEntry writes a process's entry and its checkpoint. As the daemons do, it only renews one of
// the present era that tells others the same, except that an upstream that is gone is always
// written.
func (w *World) writeEntry(p *Process) {
	if p.Agent != nil && w.now >= p.nextCheckpoint {
		if cp := p.Agent.Checkpoint(); cp != nil {
			w.checkpoints[p.IP] = cp
			p.nextCheckpoint = w.now.Add(polling.CheckpointInterval(p.members))
		}
	}
	own := w.record(p)
	own.Era = w.storeEra
	e := w.entries[p.IP]
	if e != nil && e.expiresAt > w.now && e.record.Era == own.Era && polling.IsLeaving(e.record.State) == polling.IsLeaving(own.State) && own.State != message.State_StateGone {
		e.expiresAt = w.now.Add(polling.LeaseTTL)
		return
	}
	w.entries[p.IP] = &entry{own, w.now.Add(polling.LeaseTTL)}
}

func (w *World) handleOwnEntry(p *Process, r *message.Record) {
	if p.Agent != nil {
		p.Agent.RestoreOwnRecord(w.now, r, r.Era == w.storeEra)
		if cp := w.checkpoints[p.IP]; cp != nil {
			p.Agent.RestoreCheckpoint(cp)
		}
	} else {
		p.Balancer.RestoreOwnRecord(w.now, r, r.Era == w.storeEra)
	}
}

func (w *World) record(p *Process) *message.Record {
	if p.Agent != nil {
		return p.Agent.Record(w.now)
	}
	return p.Balancer.Record()
}

// LoseEntries deletes all entries from the store.
func (w *World) LoseEntries() {
	clear(w.entries)
	clear(w.checkpoints)
}

// CopyEntries returns a function that puts the store's entries back to what they are now, each
// with its full lifetime, and removes all later ones.
func (w *World) CopyEntries() (restore func()) {
	entries, checkpoints, history := maps.Clone(w.entries), maps.Clone(w.checkpoints), w.history
	restoreEvacuations := w.copyEvacuations()
	return func() {
		w.storeEra++
		restoreEvacuations()
		w.LoseEntries()
		w.history = history
		for ip, e := range entries {
			w.entries[ip] = &entry{e.record, w.now.Add(polling.LeaseTTL)}
		}
		maps.Copy(w.checkpoints, checkpoints)
	}
}
