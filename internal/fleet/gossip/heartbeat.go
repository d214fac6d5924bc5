package gossip

import (
	"net/netip"
	"slices"
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/fleet/membership"
	"github.com/jaytack/jaytack/internal/fleet/wire"
	"github.com/jaytack/jaytack/internal/flow/connid"
)

// sendHeartbeats sends the heartbeats that are due.
func (c *Core) sendHeartbeats(now instant.Instant) {
	c.updateWatchers(now)
	for _, a := range c.watcherAddresses() {
		w := c.watchers[a]
		if c.urgentRemaining == 0 && now.Sub(w.lastSent) < w.interval {
			continue
		}
		w.lastSent = now
		c.queueDatagram(a, c.newHeartbeat(w))
	}
	if c.urgentRemaining > 0 {
		c.urgentRemaining--
	}
}

func (c *Core) watcherAddresses() []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(c.watchers))
	for a := range c.watchers {
		out = append(out, a)
	}
	slices.SortFunc(out, netip.AddrPort.Compare)
	return out
}

// newHeartbeat includes the process's record unless the watcher is known to have it.
func (c *Core) newHeartbeat(w *watcher) *wire.Envelope {
	e, _ := c.catalogue.Get(c.cfg.Customer)
	h := &wire.Heartbeat{
		ContractRevision: int64(e.Revision), KeyringRevision: c.keyringRev,
		GroupDigest: c.view.GroupDigest(c.self.Service), Address: wire.FromAddress(c.self.Address),
		Incarnation: uint64(c.self.Incarnation), Sequence: uint64(c.self.Sequence),
		NeedContacts: len(c.contacts) < minContacts,
	}
	if w.knownSequence != c.self.Sequence {
		h.Self = wire.FromMember(c.self)
	}
	return &wire.Envelope{Body: &wire.Envelope_Heartbeat{Heartbeat: h}}
}

// updateWatchers replaces the watchers that stopped sending acknowledgements.
func (c *Core) updateWatchers(now instant.Instant) {
	for _, a := range c.watcherAddresses() {
		if w := c.watchers[a]; now.Sub(w.lastAcked) > w.interval*ackTimeoutIntervals {
			delete(c.watchers, a)
			delete(c.contacts, a)
		}
	}
	if len(c.watchers) >= watcherCount {
		return
	}
	candidates := c.Contacts(now)
	if c.isBalancer() && len(c.view.Balancers()) > 0 {
		candidates = slices.Clone(c.view.Balancers())
	}
	for len(candidates) > 0 && len(c.watchers) < watcherCount {
		i := c.Random(len(candidates))
		a := candidates[i]
		candidates = slices.Delete(candidates, i, i+1)
		if a != c.self.Address && c.watchers[a] == nil {
			c.watchers[a] = &watcher{interval: initialHeartbeatInterval, lastSent: now.Add(-initialHeartbeatInterval), lastAcked: now}
		}
	}
}

func (c *Core) handleHeartbeat(now instant.Instant, h *wire.Heartbeat) {
	if !c.isBalancer() {
		return
	}
	if m, ok := wire.ToMember(h.GetSelf()); ok {
		c.mergeMember(now, m)
	}
	from := wire.ToAddress(h.GetAddress())
	m, known := c.view.Member(from)
	if !known {
		m.Address = from
	}
	if h.GetRelease() {
		c.view.StopWatching(from)
		return
	}
	interval := c.heartbeatInterval()
	if known && uint64(m.Incarnation) == h.GetIncarnation() {
		c.view.RecordHeartbeat(now, from, interval)
	}
	ack := c.newHeartbeatAck(m, h.GetNeedContacts())
	ack.IntervalMillis = uint32(interval / time.Millisecond)
	ack.Redirect = c.isOverloaded()
	c.queueDatagram(from, &wire.Envelope{Body: &wire.Envelope_HeartbeatAck{HeartbeatAck: ack}})
	if m.Role == membership.Agent && m.Service != 0 && h.GetGroupDigest() != c.view.GroupDigest(m.Service) {
		c.sendRecords(c.view.Group(m.Service), from)
	}
}

// heartbeatInterval returns the interval at which watched members send heartbeats.
// It grows with their number to limit the rate at which this balancer receives them.
func (c *Core) heartbeatInterval() time.Duration {
	d := time.Duration(c.view.WatchedCount()) * time.Second / targetHeartbeatsPerSecond
	return min(max(d, initialHeartbeatInterval), maxHeartbeatInterval)
}

// isOverloaded reports whether this balancer watches well over its share of members.
func (c *Core) isOverloaded() bool {
	share := c.view.Len() * watcherCount / (len(c.view.Balancers()) + 1)
	return c.view.WatchedCount() > share+share/4+maxExcessWatched
}

// releaseWatcher ends the heartbeats to an overloaded watcher if there is another
// balancer to replace it.
func (c *Core) releaseWatcher(from netip.AddrPort) {
	if len(c.contacts) <= len(c.watchers) {
		return
	}
	c.queueDatagram(from, &wire.Envelope{Body: &wire.Envelope_Heartbeat{Heartbeat: &wire.Heartbeat{
		Address: wire.FromAddress(c.self.Address), Release: true,
	}}})
	delete(c.watchers, from)
}

func (c *Core) newHeartbeatAck(m membership.Member, includeBalancers bool) *wire.HeartbeatAck {
	ack := &wire.HeartbeatAck{
		Incarnation: uint64(m.Incarnation), Sequence: uint64(m.Sequence), Suspect: m.Suspect,
		KeyringRevision: c.keyringRev, Control: wire.FromAddress(c.self.Control), Clock: uint64(c.Wall()),
		ContractRevision: int64(c.catalogue.HighestRevision()), Address: wire.FromAddress(c.self.Address),
	}
	if m.Role == membership.Balancer {
		ack.ContractRevision = 0
	} else if e, _, ok := c.catalogue.ServiceByNumber(m.Service); ok {
		ack.ContractRevision = int64(e.Revision)
		for _, s := range e.Stored.Contract.Services {
			ack.CustomerAgents += uint32(len(c.view.Candidates(s.Number)))
		}
	}
	if !includeBalancers && c.Random(acksPerContactList) != 0 {
		return ack
	}
	ack.Balancers = append(ack.Balancers, wire.FromMember(c.self))
	balancers := c.view.Balancers()
	for range min(balancersPerAck, len(balancers)) {
		if b, ok := c.view.Member(c.randomAddress(balancers)); ok {
			ack.Balancers = append(ack.Balancers, wire.FromMember(b))
		}
	}
	return ack
}

func (c *Core) handleHeartbeatAck(now instant.Instant, a *wire.HeartbeatAck) {
	for _, m := range wire.ToMembers(a.GetBalancers()) {
		if m.Address != c.self.Address {
			c.mergeMember(now, m)
			c.updateContact(now, m.Address)
		}
	}
	from := wire.ToAddress(a.GetAddress())
	c.updateContact(now, from)
	inc, seq := connid.Incarnation(a.GetIncarnation()), membership.Sequence(a.GetSequence())
	if w := c.watchers[from]; w != nil {
		w.lastAcked = now
		w.clockOffset = time.Duration(int64(a.GetClock()) - (c.Wall() - int64(now.Sub(w.lastSent)/2)))
		w.knownSequence = 0
		if inc == c.self.Incarnation {
			w.knownSequence = seq
		}
		if ms := a.GetIntervalMillis(); ms > 0 {
			w.interval = time.Duration(ms) * time.Millisecond
		}
		if w.knownSequence < c.self.Sequence {
			// Makes a heartbeat due at the next tick, with the record in it.
			w.lastSent = now.Add(-w.interval)
		}
	}
	if a.GetRedirect() {
		c.releaseWatcher(from)
	}
	if agents := a.GetCustomerAgents(); agents > 0 {
		c.customerAgents = int(agents)
	}
	c.refute(now, inc, seq, a.GetSuspect())
	if c.isBehind(a) {
		c.requestFullPull(wire.ToAddress(a.GetControl()))
	}
}

func (c *Core) updateContact(now instant.Instant, a netip.AddrPort) {
	if m, ok := c.view.Member(a); ok && m.IsLive() {
		c.contacts[a] = now
		return
	}
	delete(c.contacts, a)
}

// MarkSuspect marks a member whose messages have timed out as suspect and sends
// the record to this process's watchers.
func (c *Core) MarkSuspect(now instant.Instant, a netip.AddrPort) {
	m, ok := c.view.Member(a)
	if !ok || !m.IsLive() {
		return
	}
	m.Suspect = true
	c.mergeMember(now, m)
	for _, w := range c.watcherAddresses() {
		c.sendRecords([]membership.Member{m}, w)
	}
}

// refute supersedes another process's copy of the own record if it is newer or
// suspect. After incarnationConflictGrace, a higher incarnation means that
// another process has taken over the address.
func (c *Core) refute(now instant.Instant, inc connid.Incarnation, seq membership.Sequence, suspect bool) {
	switch {
	case inc > c.self.Incarnation && time.Duration(now) > incarnationConflictGrace:
		c.recordEvent(Event{Kind: Superseded, Member: c.self})
	case inc > c.self.Incarnation:
		c.self.Incarnation = inc + 1
		c.setSequence(now, c.self.Sequence+1)
	case inc == c.self.Incarnation && (seq > c.self.Sequence || suspect && seq == c.self.Sequence):
		c.setSequence(now, seq+1)
	}
}

func (c *Core) isBehind(a *wire.HeartbeatAck) bool {
	if a.GetKeyringRevision() > c.keyringRev {
		return true
	}
	if c.isBalancer() {
		return false
	}
	e, _ := c.catalogue.Get(c.cfg.Customer)
	return a.GetContractRevision() > int64(e.Revision)
}
