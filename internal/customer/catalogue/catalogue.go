// Package catalogue holds the contracts that a process enforces.
//
// A contract is replaced only by a newer revision, so that an accepted change is
// never reverted. A retired contract stays as a tombstone.
//
// # Usage
//
//	c := catalogue.New()
//	if c.Apply(entry) {
//		rebuild(c)
//	}
//
// The package does no I/O. A Catalogue is not safe for concurrent use.
package catalogue

import (
	"encoding/json"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/jaytack/jaytack/internal/customer/contract"
)

// Entry is a committed contract with its revision.
type Entry struct {
	Customer contract.Customer
	Revision contract.Revision
	Stored   contract.Stored
}

// DecodeEntry decodes a contract as it is stored. modRevision is the store's revision of its
// key.
func DecodeEntry(name contract.Customer, value []byte, modRevision int64) (Entry, error) {
	e := Entry{Customer: name}
	if err := json.Unmarshal(value, &e.Stored); err != nil {
		return e, eris.Wrap(err, "contract in the store cannot be read")
	}
	if e.Revision = e.Stored.Revision; e.Revision == 0 {
		e.Revision = contract.Revision(modRevision)
	}
	return e, nil
}

// Version is the revision of a contract that a process has.
type Version struct {
	Customer contract.Customer
	Revision contract.Revision
}

// Catalogue holds the latest known revision of each contract.
type Catalogue struct {
	entries      map[contract.Customer]Entry
	pendingSends map[contract.Customer]int
	digest       uint64
	highest      contract.Revision
	// Reversions counts rejected attempts to apply an older revision.
	Reversions int
}

// New returns an empty catalogue.
func New() *Catalogue {
	return &Catalogue{entries: make(map[contract.Customer]Entry), pendingSends: make(map[contract.Customer]int)}
}

// Apply stores a contract if it is newer and reports whether it was.
func (c *Catalogue) Apply(e Entry) bool {
	old, ok := c.entries[e.Customer]
	if ok && e.Revision <= old.Revision {
		if e.Revision < old.Revision {
			c.Reversions++
		}
		return false
	}
	if ok {
		c.digest ^= hashVersion(old)
	}
	c.entries[e.Customer] = e
	c.digest ^= hashVersion(e)
	c.highest = max(c.highest, e.Revision)
	return true
}

func hashVersion(e Entry) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(e.Customer))
	var b [8]byte
	for i := range b {
		b[i] = byte(e.Revision >> (8 * i))
	}
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// ScheduleGossip schedules the version of a contract to be gossiped sends times.
func (c *Catalogue) ScheduleGossip(name contract.Customer, sends int) {
	c.pendingSends[name] = sends
}

// NextGossip returns up to limit versions to send to each of fanout peers and deducts
// fanout from the sends that remain for each.
func (c *Catalogue) NextGossip(limit, fanout int) []Version {
	var out []Version
	for _, name := range c.pendingNames() {
		if len(out) == limit {
			break
		}
		out = append(out, Version{name, c.entries[name].Revision})
		c.pendingSends[name] -= fanout
		if c.pendingSends[name] <= 0 {
			delete(c.pendingSends, name)
		}
	}
	return out
}

func (c *Catalogue) pendingNames() []contract.Customer {
	names := make([]contract.Customer, 0, len(c.pendingSends))
	for n := range c.pendingSends {
		names = append(names, n)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

// IsNewer reports whether a version is newer than the one in the catalogue.
func (c *Catalogue) IsNewer(v Version) bool {
	return v.Revision > c.entries[v.Customer].Revision
}

// Get returns the entry of a customer.
func (c *Catalogue) Get(name contract.Customer) (Entry, bool) {
	e, ok := c.entries[name]
	return e, ok
}

// ServiceByNumber returns the service with the number n and the entry of its contract.
func (c *Catalogue) ServiceByNumber(n contract.ServiceNumber) (Entry, contract.Service, bool) {
	for _, e := range c.entries {
		if e.Stored.Retired {
			continue
		}
		if s, ok := e.Stored.Contract.ServiceByNumber(n); ok {
			return e, s, true
		}
	}
	return Entry{}, contract.Service{}, false
}

// FindService returns the service with the given customer and service names.
func (c *Catalogue) FindService(customer contract.Customer, name contract.ServiceName) (contract.Service, bool) {
	e, ok := c.entries[customer]
	if !ok || e.Stored.Retired {
		return contract.Service{}, false
	}
	return e.Stored.Contract.Service(name)
}

// All returns all entries, including tombstones, sorted by customer.
func (c *Catalogue) All() []Entry {
	out := make([]Entry, 0, len(c.entries))
	for _, e := range c.entries {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Customer < out[j].Customer })
	return out
}

// Versions returns the versions of all entries, sorted by customer.
func (c *Catalogue) Versions() []Version {
	all := c.All()
	out := make([]Version, len(all))
	for i, e := range all {
		out[i] = Version{e.Customer, e.Revision}
	}
	return out
}

// Digest returns a hash of all versions that does not depend on their order.
func (c *Catalogue) Digest() uint64 { return c.digest }

// HighestRevision returns the highest revision of all entries.
func (c *Catalogue) HighestRevision() contract.Revision { return c.highest }
