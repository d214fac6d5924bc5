package configsync

import (
	"time"

	"github.com/jaytack/jaytack/internal/process/store"
	"github.com/jaytack/jaytack/internal/relay/evacuation"
)

// maxLoggedKeys limits the unknown or malformed keys that are remembered as logged.
const maxLoggedKeys = 1000

// EvacuationConfig holds the keys and the callbacks for evacuations. All fields are set. The
// watch of the gateway has to end with each answer of the store, since all changes of one
// revision apply at once.
type EvacuationConfig struct {
	// Prefix is a prefix of Key and of the keys of evacuations.
	Prefix store.Key
	// Decode returns the name of the data centre that a key evacuates; ok is false if the key
	// has another purpose.
	Decode func(key store.Key) (dataCentre string, ok bool)
	// IsDataCentre reports whether there is a data centre of that name. Other keys are logged
	// once and ignored.
	IsDataCentre func(name string) bool
	// Apply is called with the evacuated data centres when the store first shows them, when they
	// change, and when a change confirms them as of a later revision.
	Apply func(set evacuation.Set, source string)
}

// storedEvacuations is what the store is known to hold of evacuations.
type storedEvacuations struct {
	evacuation.Table
	// collected holds the changes of the watch in progress.
	collected  []store.KV
	loggedKeys map[store.Key]bool
}

// readRange returns the range of the store that is read and watched.
func (s *Syncer) readRange(stale bool) store.Range {
	if s.Evacuations == nil {
		return store.Range{Key: s.Key, Stale: stale}
	}
	return store.Range{Key: s.Evacuations.Prefix, Prefix: true, Stale: stale}
}

// handleStaleRead applies the configuration of a stale read. The evacuations in it may be older
// than the known ones and of an earlier era than the answer names, so they are left to the
// reports of other balancers, and the watch starts where it would have without the read.
func (s *Syncer) handleStaleRead(era store.Era, kvs []store.KV) error {
	for _, kv := range kvs {
		s.handleChange(kv, "Read")
	}
	s.nextRead = time.Now().Add(pollInterval)
	if era != s.era {
		// Only a consistent read shows what the new era holds.
		s.nextRead = time.Time{}
	}
	return nil
}

// dataCentreOf returns the data centre that a key evacuates, false if it evacuates none.
func (s *Syncer) dataCentreOf(key store.Key) (evacuation.DataCentre, bool) {
	name, ok := s.Evacuations.Decode(key)
	if !ok {
		return "", false
	}
	if d := evacuation.DataCentre(name); d.IsValid() && s.Evacuations.IsDataCentre(name) {
		return d, true
	}
	if !s.evacuations.loggedKeys[key] && len(s.evacuations.loggedKeys) < maxLoggedKeys {
		if s.evacuations.loggedKeys == nil {
			s.evacuations.loggedKeys = make(map[store.Key]bool)
		}
		s.evacuations.loggedKeys[key] = true
		s.Warn("EvacuationUnknown", "Key", key[:min(len(key), maxServiceNameBytes)], "Reason", "NoSuchDataCentre")
	}
	return "", false
}

// applyReadEvacuations applies the evacuations of a read as of watchRevision. They keep the
// revision of their latest change unless the read shows others.
func (s *Syncer) applyReadEvacuations(kvs []store.KV) {
	read := evacuation.Set{Version: evacuation.Version{Era: evacuation.Era(s.era), Revision: evacuation.Revision(s.watchRevision)}}
	for _, kv := range kvs {
		if d, ok := s.dataCentreOf(kv.Key); ok {
			read.Add(d)
		}
	}
	known := s.evacuations.Set()
	if s.evacuations.Known() && known.Era == read.Era && known.HasSameDataCentres(read) {
		return
	}
	s.evacuations.Merge(read)
	s.Evacuations.Apply(read, "Read")
}

// collectEvacuation keeps a change of the watch in progress if it is one of evacuations.
func (s *Syncer) collectEvacuation(kv store.KV) {
	if s.Evacuations == nil {
		return
	}
	if _, ok := s.Evacuations.Decode(kv.Key); ok {
		s.evacuations.collected = append(s.evacuations.collected, kv)
	}
}

// applyWatchedEvacuations applies the collected changes, unless the store was restored from a
// copy meanwhile: they may be of either era, and the next read shows what holds.
func (s *Syncer) applyWatchedEvacuations() {
	changes := s.evacuations.collected
	s.evacuations.collected = nil
	if s.store.Era() != s.era {
		return
	}
	before := s.evacuations.Set().Version
	for _, kv := range changes {
		if d, ok := s.dataCentreOf(kv.Key); ok {
			v := evacuation.Version{Era: evacuation.Era(s.era), Revision: evacuation.Revision(kv.Revision)}
			s.evacuations.Apply(evacuation.Change{Version: v, DataCentre: d, Evacuated: !kv.Deleted})
		}
	}
	if s.evacuations.Set().IsAfter(before) {
		s.Evacuations.Apply(s.evacuations.Set(), "Watch")
	}
}
