// Package evacuation holds the data centres that operators have evacuated: until they take an
// evacuation back, no new flow may reach an upstream of such a data centre.
//
// The set of these data centres is in the platform's store. A process has it as of a revision of
// the store, from the store itself or from another process, and keeps the newest one. A set
// replaces another as a whole, so messages may be lost, repeated or reordered. Sets are ordered by
// the era of the store and then by the revision, since a store that is restored from a copy gives
// revisions out again.
//
// The load pattern behind it is a data centre that loses all new flows within a second and gets
// them back later with cold upstreams, several of them at once if need be.
//
// # Usage
//
//	var t evacuation.Table
//	t.Merge(set)            // from a read of the store or from another process
//	t.Apply(change)         // from a watch
//	if t.Known() && t.Contains(dataCentre) {
//		redirect()
//	}
//
// The package performs no I/O. A Table is not safe for concurrent use.
package evacuation

import (
	"slices"
	"strings"

	"github.com/jaytack/jaytack/internal/relay/message"
)

// Bounds of a set. Other writers may leave any key in the store, and a set is part of datagrams.
const (
	maxDataCentres = 32
	maxNameBytes   = 64
)

// Era counts how often the store was restored from an older copy.
type Era int64

// Revision is the store's write counter within one era.
type Revision int64

// DataCentre is the name of a data centre.
type DataCentre string

// IsValid reports whether a name can be that of a data centre.
func (d DataCentre) IsValid() bool {
	return d != "" && len(d) <= maxNameBytes && !strings.ContainsFunc(string(d), func(r rune) bool { return r <= ' ' || r == '/' || r == 0x7f || r == 0xfffd })
}

// Version orders sets. The later era wins, then the higher revision.
type Version struct {
	Era      Era
	Revision Revision
}

// IsAfter reports whether a version is later than another one.
func (v Version) IsAfter(other Version) bool {
	return v.Era > other.Era || v.Era == other.Era && v.Revision > other.Revision
}

// Set is the evacuated data centres as of a version: that of its latest change, or of the read
// of the store that first showed it.
type Set struct {
	Version
	// DataCentres is sorted.
	DataCentres []DataCentre
}

// Message returns the set as processes exchange it.
func (s Set) Message() *message.Evacuations {
	m := &message.Evacuations{Era: int64(s.Era), Revision: int64(s.Revision)}
	for _, d := range s.DataCentres {
		m.DataCentres = append(m.DataCentres, string(d))
	}
	return m
}

// Add adds a data centre unless its name is invalid or the set is full.
func (s *Set) Add(d DataCentre) {
	i, contained := slices.BinarySearch(s.DataCentres, d)
	if d.IsValid() && !contained && len(s.DataCentres) < maxDataCentres {
		s.DataCentres = slices.Insert(s.DataCentres, i, d)
	}
}

// HasSameDataCentres reports whether two sets contain the same data centres.
func (s Set) HasSameDataCentres(other Set) bool {
	return slices.Equal(s.DataCentres, other.DataCentres)
}

// Names returns the data centres for logs, separated by commas, or "none".
func (s Set) Names() string {
	if len(s.DataCentres) == 0 {
		return "none"
	}
	names := make([]string, 0, len(s.DataCentres))
	for _, d := range s.DataCentres {
		names = append(names, string(d))
	}
	return strings.Join(names, ",")
}

// SetOf returns the set of a message. ok is false if there is none. Names that are invalid or
// exceed the bound are left out.
func SetOf(m *message.Evacuations) (s Set, ok bool) {
	if m == nil {
		return Set{}, false
	}
	s.Era, s.Revision = Era(m.Era), Revision(m.Revision)
	for _, name := range m.DataCentres {
		s.Add(DataCentre(name))
	}
	return s, true
}

// Change is a single change of the store.
type Change struct {
	Version
	DataCentre DataCentre
	// Evacuated is false if the evacuation was taken back.
	Evacuated bool
}

// Table holds the newest known set. The zero Table knows none.
type Table struct {
	known bool
	set   Set
	// base is the version of the last whole set, and changes the revision of the last change
	// to each data centre since.
	base    Version
	changes map[DataCentre]Revision
	// encoded is the set as a message, nil if it has to be encoded anew.
	encoded *message.Evacuations
}

// Known reports whether a set is known. It may be empty.
func (t *Table) Known() bool { return t.known }

// Contains reports whether a data centre is known to be evacuated.
func (t *Table) Contains(dataCentre string) bool {
	return slices.Contains(t.set.DataCentres, DataCentre(dataCentre))
}

// Set returns the newest known set. The caller must not modify its elements.
func (t *Table) Set() Set { return t.set }

// Message returns the newest known set as a message, nil if none is known. The caller must not
// modify it.
func (t *Table) Message() *message.Evacuations {
	if t.known && t.encoded == nil {
		t.encoded = t.set.Message()
	}
	return t.encoded
}

// Merge applies a whole set, of a read of the store or of another process, unless it is older
// than the known one. It reports whether the data centres have changed or become known.
func (t *Table) Merge(s Set) (changed bool) {
	if t.known && !s.IsAfter(t.set.Version) {
		return false
	}
	changed = !t.known || !s.HasSameDataCentres(t.set)
	t.known, t.set, t.base, t.encoded = true, s, s.Version, nil
	clear(t.changes)
	return changed
}

// Apply applies a single change. It ignores one that is as old as the last whole set, that an
// earlier applied change to the same data centre supersedes, or that belongs to another era:
// only a whole set shows what else holds there. It reports whether the data centres have changed.
func (t *Table) Apply(c Change) (changed bool) {
	if !t.known || c.Era != t.base.Era || c.Revision <= max(t.base.Revision, t.changes[c.DataCentre]) {
		return false
	}
	if t.changes == nil {
		t.changes = make(map[DataCentre]Revision)
	}
	t.changes[c.DataCentre] = c.Revision
	i, contained := slices.BinarySearch(t.set.DataCentres, c.DataCentre)
	if contained == c.Evacuated {
		// The store confirms the set as of this revision, so that an older set of another process
		// does not replace it.
		t.set.Revision, t.encoded = max(t.set.Revision, c.Revision), nil
		return false
	}
	if c.Evacuated && len(t.set.DataCentres) >= maxDataCentres {
		return false
	}
	// Earlier sets share the elements.
	names := slices.Clone(t.set.DataCentres)
	if c.Evacuated {
		names = slices.Insert(names, i, c.DataCentre)
	} else {
		names = slices.Delete(names, i, i+1)
	}
	t.set.DataCentres, t.set.Revision, t.encoded = names, max(t.set.Revision, c.Revision), nil
	return true
}
