// Package lookup maps flows to their owners and tracks the searches for unknown
// owners, on behalf of the agent that is the home of the flows.
//
// A home that does not know a flow's owner probes all agents of the service at once. It
// first asks what they know of the flow. Only if none knows it does it have the packet
// delivered to the upstreams whose agents are unsure, a few at a time. A search ends with a claim,
// or once every agent of the service has denied the flow, which proves that no upstream of it
// does. It then goes on in the next service of the route. A denial stays valid, since an open flow
// never moves to another upstream. An agent that does not respond keeps the search
// open. It is probed again a few times, since some of the many probes and responses
// are lost in a service with many agents, and again at each further packet of the
// caller.
//
// # Usage
//
//	t := lookup.New()
//	t.SetOwner(now, id, owner)
//	s := t.StartSearch(now, id)
//	s.Enqueue(packet)
//	s.AddDenial(agent)
//	if s.Denied(agent) {
//		t.DeleteSearch(id)
//	}
//
// The package performs no I/O. A Table is not safe for concurrent use.
package lookup

import (
	"maps"
	"slices"
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/message"
)

// Limits of the table.
const (
	// OwnerIdleTimeout is how long an unused owner is kept.
	OwnerIdleTimeout = flow.DefaultLifetime
	// SearchIdleTimeout is how long a search is kept after its last packet: longer than
	// the callers' maximum retransmission interval.
	SearchIdleTimeout = 2 * time.Second
	// maxQueuedPackets limits the packets queued per search: a caller's window.
	maxQueuedPackets = 16
	// MaxOwners limits the owners in the table.
	MaxOwners = 1 << 18
	// MaxSearches limits the searches in progress.
	MaxSearches = 1 << 13
)

type ownerEntry struct {
	agent    flow.IP
	lastUsed instant.Instant
}

// Search is a search for the owner of one flow.
type Search struct {
	// StartedAt is when the search began; ProbedAt is when agents were last probed.
	StartedAt, ProbedAt, lastUsed instant.Instant
	// denied, unsure, delivered and unlisted hold agents.
	denied, unsure, delivered, unlisted map[flow.IP]bool
	// elsewhere holds the searches for the flow in other services.
	elsewhere map[string]*OtherSearch
	// HandedTo is the home of another service to which the search was handed over, until that
	// home has confirmed it or the caller has sent another packet; otherwise 0.
	HandedTo flow.IP
	// HandOverFailed is set if HandedTo did not answer and no other agent of its service may.
	HandOverFailed bool
	// Asking is set while agents are asked what they know of the flow and no packet is
	// delivered to upstreams that may not hold it.
	Asking bool
	// LastPacket is the packet sent with the last probes.
	LastPacket *message.Carried
	queue      []*message.Carried
	// LastAck is the acknowledgement number in the caller's last packet.
	LastAck uint32
	// Retries counts the probe retries since that packet.
	Retries int
}

// OtherSearch is the part of a search that takes place in another service.
type OtherSearch struct {
	// Home is the agent of the service that was last asked.
	Home flow.IP
	// Answered is set once a home of the service has answered that it does not know the owner.
	Answered bool
	// HomeFailed is set if Home did not answer and no other agent of the service may.
	HomeFailed bool
}

// Enqueue queues a packet until the owner is known, or drops it if the queue is full.
func (s *Search) Enqueue(packet *message.Carried) {
	if len(s.queue) < maxQueuedPackets {
		s.queue = append(s.queue, packet)
	}
}

// TakePackets returns the queued packets and clears the queue.
func (s *Search) TakePackets() []*message.Carried {
	q := s.queue
	s.queue = nil
	return q
}

// AddDenial records that an agent's upstream does not hold the flow.
func (s *Search) AddDenial(agent flow.IP) { s.denied[agent] = true }

// AddUnsure records that an agent does not know whether its upstream holds the flow.
func (s *Search) AddUnsure(agent flow.IP) { s.unsure[agent] = true }

// Answered reports whether an agent has denied the flow or does not know it.
func (s *Search) Answered(agent flow.IP) bool { return s.denied[agent] || s.unsure[agent] }

// AddDelivery records that an agent is to deliver packets of the flow although it does not know
// it, so that its upstream decides.
func (s *Search) AddDelivery(agent flow.IP) { s.delivered[agent] = true }

// Delivered reports whether AddDelivery was called for an agent.
func (s *Search) Delivered(agent flow.IP) bool { return s.delivered[agent] }

// NeedsDelivery reports whether only the upstream of an agent can say whether it holds the flow,
// and has not been asked.
func (s *Search) NeedsDelivery(agent flow.IP) bool {
	return s.unsure[agent] && !s.denied[agent] && !s.delivered[agent]
}

// DeliveryPending reports whether an upstream to which packets were delivered has not answered.
func (s *Search) DeliveryPending() bool {
	for a := range s.delivered {
		if !s.denied[a] {
			return true
		}
	}
	return false
}

// AskElsewhere records that a home of another service is asked for the owner.
func (s *Search) AskElsewhere(service string, home flow.IP) {
	if s.elsewhere == nil {
		s.elsewhere = make(map[string]*OtherSearch)
	}
	if o := s.elsewhere[service]; o != nil {
		o.Home, o.HomeFailed = home, false
		return
	}
	s.elsewhere[service] = &OtherSearch{Home: home}
}

// AnswerElsewhere records that no agent of another service knows the flow.
func (s *Search) AnswerElsewhere(service string) {
	if o := s.elsewhere[service]; o != nil {
		o.Answered = true
	}
}

// AnsweredElsewhere reports whether all other services have answered.
func (s *Search) AnsweredElsewhere() bool {
	for _, o := range s.elsewhere {
		if !o.Answered {
			return false
		}
	}
	return true
}

// AwaitsElsewhere reports whether another service has not answered and may still do so.
func (s *Search) AwaitsElsewhere() bool {
	for _, o := range s.elsewhere {
		if !o.Answered && !o.HomeFailed {
			return true
		}
	}
	return false
}

// UnansweredElsewhere calls f for each other service that has not answered, ordered by name.
func (s *Search) UnansweredElsewhere(f func(service string, o *OtherSearch)) {
	for _, service := range slices.Sorted(maps.Keys(s.elsewhere)) {
		if o := s.elsewhere[service]; !o.Answered {
			f(service, o)
		}
	}
}

// AddUnlisted adds an agent that is listed in a denial but missing from the local
// membership table. Its denial is then required too.
func (s *Search) AddUnlisted(agent flow.IP) {
	if s.unlisted == nil {
		s.unlisted = make(map[flow.IP]bool)
	}
	s.unlisted[agent] = true
}

// UnlistedPending returns the agents added by AddUnlisted that have not denied the flow, in
// order.
func (s *Search) UnlistedPending() []flow.IP {
	var out []flow.IP
	for a := range s.unlisted {
		if !s.denied[a] {
			out = append(out, a)
		}
	}
	slices.Sort(out)
	return out
}

// Denied reports whether an agent has denied the flow.
func (s *Search) Denied(agent flow.IP) bool { return s.denied[agent] }

// Denials returns the number of agents that have denied the flow.
func (s *Search) Denials() int { return len(s.denied) }

// Table holds the owners and searches known to one home.
type Table struct {
	owners   map[flow.ID]*ownerEntry
	searches map[flow.ID]*Search
}

// New returns an empty table.
func New() *Table {
	return &Table{owners: make(map[flow.ID]*ownerEntry), searches: make(map[flow.ID]*Search)}
}

// Owner returns the owner of a flow and refreshes its idle timeout.
func (t *Table) Owner(now instant.Instant, id flow.ID) (flow.IP, bool) {
	o := t.owners[id]
	if o == nil {
		return 0, false
	}
	o.lastUsed = now
	return o.agent, true
}

// SetOwner records a flow's owner and deletes the search for it. It returns that search,
// or nil if there was none.
func (t *Table) SetOwner(now instant.Instant, id flow.ID, agent flow.IP) *Search {
	s := t.searches[id]
	delete(t.searches, id)
	if o := t.owners[id]; o != nil {
		o.agent, o.lastUsed = agent, now
	} else if len(t.owners) < MaxOwners {
		t.owners[id] = &ownerEntry{agent, now}
	}
	return s
}

// DeleteOwner deletes the owner of a flow.
func (t *Table) DeleteOwner(id flow.ID) { delete(t.owners, id) }

// ActiveSearch returns the search for a flow's owner, or nil if there is none.
func (t *Table) ActiveSearch(id flow.ID) *Search { return t.searches[id] }

// StartSearch returns the search for a flow's owner and starts one if there is none. It
// returns nil if MaxSearches are in progress.
func (t *Table) StartSearch(now instant.Instant, id flow.ID) *Search {
	s := t.searches[id]
	if s == nil {
		if len(t.searches) >= MaxSearches {
			return nil
		}
		s = &Search{StartedAt: now, Asking: true, denied: make(map[flow.IP]bool), unsure: make(map[flow.IP]bool), delivered: make(map[flow.IP]bool)}
		t.searches[id] = s
	}
	s.lastUsed = now
	return s
}

// Searches calls f for every search, ordered by flow. f may delete searches.
func (t *Table) Searches(f func(id flow.ID, s *Search)) {
	for _, id := range slices.SortedFunc(maps.Keys(t.searches), flow.ID.Compare) {
		if s := t.searches[id]; s != nil {
			f(id, s)
		}
	}
}

// DeleteSearch deletes the search for a flow's owner.
func (t *Table) DeleteSearch(id flow.ID) { delete(t.searches, id) }

// Sizes returns the numbers of owners and of searches.
func (t *Table) Sizes() (owners, searches int) { return len(t.owners), len(t.searches) }

// Expire deletes idle owners and searches, and returns the flows of the deleted
// searches, without those that were handed over.
func (t *Table) Expire(now instant.Instant) (unresolved []flow.ID) {
	for id, s := range t.searches {
		if now.Sub(s.lastUsed) > SearchIdleTimeout {
			if s.HandedTo == 0 {
				unresolved = append(unresolved, id)
			}
			delete(t.searches, id)
		}
	}
	for id, o := range t.owners {
		if now.Sub(o.lastUsed) > OwnerIdleTimeout {
			delete(t.owners, id)
		}
	}
	return unresolved
}
