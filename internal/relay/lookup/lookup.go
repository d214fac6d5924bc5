// Package lookup keeps what a home knows about flows: who owns each, and the
// searches for owners that it does not know.
//
// A home that does not know a flow's owner asks all agents of the service at once.
// A search ends with a claim, or with proof that no upstream holds the flow: every
// member of the group has denied it. A denial stays valid, since a flow never moves
// to another upstream once it is open. An agent that does not answer leaves the
// search open; it is asked again a few times, since of the many questions and answers
// of a large group some are lost, and by each further packet of the caller.
//
// # Usage
//
//	d := directory.New()
//	d.Own(now, id, owner)
//	s := d.Search(now, id)
//	s.Queue(carried)
//	s.Deny(agent)
//	if s.Proven(members) {
//		reset(id)
//	}
//
// The package does no input or output. A Directory must not be shared without a lock.
package lookup

import (
	"maps"
	"slices"
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/message"
)

// Bounds of the directory.
const (
	// KeepOwner is how long an owner is remembered without use: the longest life
	// of a flow.
	KeepOwner = 60 * time.Second
	// KeepSearch is how long a search is remembered after its last packet: longer
	// than the longest interval at which callers retransmit.
	KeepSearch = 2 * time.Second
	// maxQueue is the number of packets that wait for a search: a caller's window.
	maxQueue = 16
	// MaxOwners bounds the owners that are remembered.
	MaxOwners = 1 << 18
	// MaxSearches bounds the searches in progress.
	MaxSearches = 1 << 13
)

type owner struct {
	agent flow.IP
	used  instant.Instant
}

// Search looks for the owner of one flow.
type Search struct {
	// Started is when the search began, Asked when agents were last asked.
	Started, Asked, used instant.Instant
	denied, missing      map[flow.IP]bool
	// Last is the packet that agents were last asked with.
	Last  *message.Carried
	queue []*message.Carried
	// LastAck is the acknowledgement in the caller's last packet.
	LastAck uint32
	// Repeats counts how often agents were asked again since that packet.
	Repeats int
}

// Queue keeps a packet until the owner is known.
func (s *Search) Queue(c *message.Carried) {
	if len(s.queue) < maxQueue {
		s.queue = append(s.queue, c)
	}
}

// Take returns the packets that waited and forgets them.
func (s *Search) Take() []*message.Carried {
	q := s.queue
	s.queue = nil
	return q
}

// Deny notes that an agent's upstream does not hold the flow.
func (s *Search) Deny(agent flow.IP) { s.denied[agent] = true }

// Miss notes an agent that others know and that has to be asked too.
func (s *Search) Miss(agent flow.IP) {
	if s.missing == nil {
		s.missing = make(map[flow.IP]bool)
	}
	s.missing[agent] = true
}

// Missing reports whether an agent that only others know has not denied the flow.
func (s *Search) Missing() bool {
	for a := range s.missing {
		if !s.denied[a] {
			return true
		}
	}
	return false
}

// Denied reports whether an agent has denied the flow.
func (s *Search) Denied(agent flow.IP) bool { return s.denied[agent] }

// Denials returns the number of agents that have denied the flow.
func (s *Search) Denials() int { return len(s.denied) }

// Directory is the table of one home.
type Directory struct {
	owners   map[flow.ID]*owner
	searches map[flow.ID]*Search
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{owners: make(map[flow.ID]*owner), searches: make(map[flow.ID]*Search)}
}

// Owner returns the owner of a flow.
func (d *Directory) Owner(now instant.Instant, id flow.ID) (flow.IP, bool) {
	o := d.owners[id]
	if o == nil {
		return 0, false
	}
	o.used = now
	return o.agent, true
}

// Own notes a flow's owner and ends the search for it, which it returns if there was one.
func (d *Directory) Own(now instant.Instant, id flow.ID, agent flow.IP) *Search {
	s := d.searches[id]
	delete(d.searches, id)
	if o := d.owners[id]; o != nil {
		o.agent, o.used = agent, now
	} else if len(d.owners) < MaxOwners {
		d.owners[id] = &owner{agent, now}
	}
	return s
}

// Disown forgets the owner of a flow.
func (d *Directory) Disown(id flow.ID) { delete(d.owners, id) }

// Searching returns the search for a flow's owner, nil where there is none.
func (d *Directory) Searching(id flow.ID) *Search { return d.searches[id] }

// Search returns the search for a flow's owner and starts it if need be; nil
// where too many are in progress.
func (d *Directory) Search(now instant.Instant, id flow.ID) *Search {
	s := d.searches[id]
	if s == nil {
		if len(d.searches) >= MaxSearches {
			return nil
		}
		s = &Search{Started: now, denied: make(map[flow.IP]bool)}
		d.searches[id] = s
	}
	s.used = now
	return s
}

// Searches calls f for every search, ordered by flow; f may end it.
func (d *Directory) Searches(f func(id flow.ID, s *Search)) {
	for _, id := range slices.SortedFunc(maps.Keys(d.searches), flow.ID.Compare) {
		if s := d.searches[id]; s != nil {
			f(id, s)
		}
	}
}

// End forgets a search.
func (d *Directory) End(id flow.ID) { delete(d.searches, id) }

// Sizes returns the number of owners and of searches.
func (d *Directory) Sizes() (owners, searches int) { return len(d.owners), len(d.searches) }

// Expire forgets what was not used for long, and returns the flows whose search
// found nobody.
func (d *Directory) Expire(now instant.Instant) (unfound []flow.ID) {
	for id, s := range d.searches {
		if now.Sub(s.used) > KeepSearch {
			unfound = append(unfound, id)
			delete(d.searches, id)
		}
	}
	for id, o := range d.owners {
		if now.Sub(o.used) > KeepOwner {
			delete(d.owners, id)
		}
	}
	return unfound
}
