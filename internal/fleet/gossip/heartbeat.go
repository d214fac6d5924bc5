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
	c.chooseWatchers(now)
	for _, a := range c.watcherList() {
		w := c.watchers[a]
		if c.urgent == 0 && now.Sub(w.sent) < w.interval {
			continue
		}
		w.sent = now
		c.send(a, c.heartbeat(w))
	}
	if c.urgent > 0 {
		c.urgent--
	}
}

func (c *Core) watcherList() []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(c.watchers))
	for a := range c.watchers {
		out = append(out, a)
	}
	slices.SortFunc(out, netip.AddrPort.Compare)
	return out
}

// heartbeat carries the whole record only to a balancer that may lack it.
func (c *Core) heartbeat(w *watcher) *wire.Envelope {
	e, _ := c.catalogue.Get(c.cfg.Customer)
	h := &wire.Heartbeat{
		ContractRevision: int64(e.Revision), KeyringRevision: c.keyringRev,
		GroupDigest: c.view.GroupDigest(c.self.Service), Address: wire.FromAddress(c.self.Address),
		Incarnation: uint64(c.self.Incarnation), Sequence: uint64(c.self.Sequence),
		NeedContacts: len(c.contacts) < fewContacts,
	}
	if w.knows != c.self.Sequence {
		h.Self = wire.FromMember(c.self)
	}
	return &wire.Envelope{Body: &wire.Envelope_Heartbeat{Heartbeat: h}}
}

// chooseWatchers keeps those that acknowledge and replaces the others.
func (c *Core) chooseWatchers(now instant.Instant) {
	for _, a := range c.watcherList() {
		if w := c.watchers[a]; now.Sub(w.acked) > w.interval*ackLossIntervals {
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
			c.watchers[a] = &watcher{interval: firstInterval, sent: now.Add(-firstInterval), acked: now}
		}
	}
}

func (c *Core) onHeartbeat(now instant.Instant, h *wire.Heartbeat) {
	if !c.isBalancer() {
		return
	}
	if m, ok := wire.ToMember(h.GetSelf()); ok {
		c.merge(now, m)
	}
	from := wire.ToAddress(h.GetAddress())
	m, known := c.view.Member(from)
	if !known {
		m.Address = from
	}
	if h.GetRelease() {
		c.view.Release(from)
		return
	}
	interval := c.interval()
	if known && uint64(m.Incarnation) == h.GetIncarnation() {
		c.view.RecordHeartbeat(now, from, interval)
	}
	ack := c.acknowledge(m, h.GetNeedContacts())
	ack.IntervalMillis = uint32(interval / time.Millisecond)
	ack.Redirect = c.overloaded()
	c.send(from, &wire.Envelope{Body: &wire.Envelope_HeartbeatAck{HeartbeatAck: ack}})
	if m.Role == membership.Agent && m.Service != 0 && h.GetGroupDigest() != c.view.GroupDigest(m.Service) {
		c.sendRecords(c.view.Group(m.Service), from)
	}
}

// interval keeps the heartbeats that a balancer receives within its budget.
func (c *Core) interval() time.Duration {
	d := time.Duration(c.view.Watched()) * time.Second / heartbeatsPerSec
	return min(max(d, firstInterval), maxInterval)
}

// overloaded reports whether this balancer watches clearly more members than its share.
func (c *Core) overloaded() bool {
	share := c.view.Len() * watcherCount / (len(c.view.Balancers()) + 1)
	return c.view.Watched() > share+share/4+spareWatched
}

// redirect leaves a watcher for one that has less to do.
func (c *Core) redirect(from netip.AddrPort) {
	if len(c.contacts) <= len(c.watchers) {
		return
	}
	c.send(from, &wire.Envelope{Body: &wire.Envelope_Heartbeat{Heartbeat: &wire.Heartbeat{
		Address: wire.FromAddress(c.self.Address), Release: true,
	}}})
	delete(c.watchers, from)
}

func (c *Core) acknowledge(m membership.Member, contacts bool) *wire.HeartbeatAck {
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
	if !contacts && c.Random(contactsEvery) != 0 {
		return ack
	}
	ack.Balancers = append(ack.Balancers, wire.FromMember(c.self))
	list := c.view.Balancers()
	for range min(balancersPerAck, len(list)) {
		if b, ok := c.view.Member(c.pick(list)); ok {
			ack.Balancers = append(ack.Balancers, wire.FromMember(b))
		}
	}
	return ack
}

func (c *Core) onHeartbeatAck(now instant.Instant, a *wire.HeartbeatAck) {
	for _, m := range wire.ToMembers(a.GetBalancers()) {
		if m.Address != c.self.Address {
			c.merge(now, m)
			c.noteContact(now, m.Address)
		}
	}
	from := wire.ToAddress(a.GetAddress())
	c.noteContact(now, from)
	inc, seq := connid.Incarnation(a.GetIncarnation()), membership.Sequence(a.GetSequence())
	if w := c.watchers[from]; w != nil {
		w.acked = now
		w.offset = time.Duration(int64(a.GetClock()) - (c.Wall() - int64(now.Sub(w.sent)/2)))
		w.knows = 0
		if inc == c.self.Incarnation {
			w.knows = seq
		}
		if ms := a.GetIntervalMillis(); ms > 0 {
			w.interval = time.Duration(ms) * time.Millisecond
		}
		if w.knows < c.self.Sequence {
			// The next tick sends the whole record.
			w.sent = now.Add(-w.interval)
		}
	}
	if a.GetRedirect() {
		c.redirect(from)
	}
	if n := a.GetCustomerAgents(); n > 0 {
		c.customerN = int(n)
	}
	c.refute(now, inc, seq, a.GetSuspect())
	if c.stale(a) {
		c.pull(wire.ToAddress(a.GetControl()))
	}
}

func (c *Core) noteContact(now instant.Instant, a netip.AddrPort) {
	if m, ok := c.view.Member(a); ok && m.IsLive() {
		c.contacts[a] = now
		return
	}
	delete(c.contacts, a)
}

// Suspect marks a member as suspect that this process has not heard of for too
// long, and tells the balancers that watch this process.
func (c *Core) Suspect(now instant.Instant, a netip.AddrPort) {
	m, ok := c.view.Member(a)
	if !ok || !m.IsLive() {
		return
	}
	m.Suspect = true
	c.merge(now, m)
	for _, w := range c.watcherList() {
		c.sendRecords([]membership.Member{m}, w)
	}
}

// refute raises the own record above what another process holds of it. A higher
// incarnation means that another process has taken over the address.
func (c *Core) refute(now instant.Instant, inc connid.Incarnation, seq membership.Sequence, suspect bool) {
	switch {
	case inc > c.self.Incarnation && time.Duration(now) > supersededAfter:
		c.event(Event{Kind: Superseded, Member: c.self})
	case inc > c.self.Incarnation:
		c.self.Incarnation = inc + 1
		c.raise(now, c.self.Sequence+1)
	case inc == c.self.Incarnation && (seq > c.self.Sequence || suspect && seq == c.self.Sequence):
		c.raise(now, seq+1)
	}
}

func (c *Core) stale(a *wire.HeartbeatAck) bool {
	if a.GetKeyringRevision() > c.keyringRev {
		return true
	}
	if c.isBalancer() {
		return false
	}
	e, _ := c.catalogue.Get(c.cfg.Customer)
	return a.GetContractRevision() > int64(e.Revision)
}
