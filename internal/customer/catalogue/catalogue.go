// Package catalogue holds the contracts that are in force in a process.
//
// A contract is applied only over an older revision, so that a change which has
// been accepted never reverts. A retired contract stays as a tombstone.
//
// # Usage
//
//	c := catalogue.New()
//	if c.Apply(entry) {
//		rebuild(c)
//	}
//
// The package does no input or output. A Catalogue must not be shared without a lock.
package catalogue

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/jaytack/jaytack/internal/customer/contract"
)

// Entry is one committed contract.
type Entry struct {
	Customer contract.Customer
	Revision contract.Revision
	Stored   contract.Stored
}

// Version is the revision that a process holds of a contract.
type Version struct {
	Customer contract.Customer
	Revision contract.Revision
}

// Catalogue is the set of contracts in force.
type Catalogue struct {
	entries map[contract.Customer]Entry
	pending map[contract.Customer]int
	digest  uint64
	highest contract.Revision
	// Reversions counts attempts to apply an older revision, all refused.
	Reversions int
}

// New returns an empty catalogue.
func New() *Catalogue {
	return &Catalogue{entries: make(map[contract.Customer]Entry), pending: make(map[contract.Customer]int)}
}

// Apply puts a contract in force and reports whether it was newer.
func (c *Catalogue) Apply(e Entry) bool {
	old, ok := c.entries[e.Customer]
	if ok && e.Revision <= old.Revision {
		if e.Revision < old.Revision {
			c.Reversions++
		}
		return false
	}
	if ok {
		c.digest ^= hash(old)
	}
	c.entries[e.Customer] = e
	c.digest ^= hash(e)
	c.highest = max(c.highest, e.Revision)
	return true
}

func hash(e Entry) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(e.Customer))
	var b [8]byte
	for i := range b {
		b[i] = byte(e.Revision >> (8 * i))
	}
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// ScheduleGossip schedules the version of a contract to be passed on sends times.
func (c *Catalogue) ScheduleGossip(name contract.Customer, sends int) {
	c.pending[name] = sends
}

// NextGossip returns up to limit versions to pass on to each of fanout peers.
func (c *Catalogue) NextGossip(limit, fanout int) []Version {
	var out []Version
	for _, name := range c.pendingNames() {
		if len(out) == limit {
			break
		}
		out = append(out, Version{name, c.entries[name].Revision})
		c.pending[name] -= fanout
		if c.pending[name] <= 0 {
			delete(c.pending, name)
		}
	}
	return out
}

func (c *Catalogue) pendingNames() []contract.Customer {
	names := make([]contract.Customer, 0, len(c.pending))
	for n := range c.pending {
		names = append(names, n)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

// IsNewer reports whether a version is newer than what is in force.
func (c *Catalogue) IsNewer(v Version) bool {
	return v.Revision > c.entries[v.Customer].Revision
}

// Get returns the contract of a customer.
func (c *Catalogue) Get(name contract.Customer) (Entry, bool) {
	e, ok := c.entries[name]
	return e, ok
}

// ServiceByNumber returns the contract that holds the service with the number n.
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

// FindService returns the service of a customer by its names.
func (c *Catalogue) FindService(customer contract.Customer, name contract.ServiceName) (contract.Service, bool) {
	e, ok := c.entries[customer]
	if !ok || e.Stored.Retired {
		return contract.Service{}, false
	}
	return e.Stored.Contract.Service(name)
}

// All returns the entries in order of customer.
func (c *Catalogue) All() []Entry {
	out := make([]Entry, 0, len(c.entries))
	for _, e := range c.entries {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Customer < out[j].Customer })
	return out
}

// Versions returns the versions in force, in order of customer.
func (c *Catalogue) Versions() []Version {
	all := c.All()
	out := make([]Version, len(all))
	for i, e := range all {
		out[i] = Version{e.Customer, e.Revision}
	}
	return out
}

// Digest returns a hash of all versions.
func (c *Catalogue) Digest() uint64 { return c.digest }

// HighestRevision returns the highest revision in force.
func (c *Catalogue) HighestRevision() contract.Revision { return c.highest }
