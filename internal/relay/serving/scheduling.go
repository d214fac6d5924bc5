package serving

import (
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/admission"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/flowtable"
	"github.com/jaytack/jaytack/internal/relay/load"
	"github.com/jaytack/jaytack/internal/relay/message"
	"github.com/jaytack/jaytack/internal/relay/scheduling"
)

// defaultRequestTimeout is used if a route has no timeout.
const defaultRequestTimeout = time.Second

// schedule decides whether a packet of a flow that the upstream has accepted is held, and
// reports whether it is. The packet has been recorded in the flow table; begins is set if it
// begins a request.
func (c *Core) schedule(now instant.Instant, f *flowtable.Flow, p flow.Packet, m *message.Carried, begins bool) (held bool) {
	c.severalKinds = m.SeveralKinds
	switch {
	case p.Flags.Has(flow.Fin) && p.Len == 0 && m.SeveralKinds:
		// The caller awaits no answer. The upstream may send none, so the request must not
		// count as in progress until its timeout.
		c.flows.EndRequest(f)
		return false
	case f.IsWaiting() && (p.Len == 0 || !c.requests.Follows(p)):
		return false
	case f.IsWaiting() && !p.Flags.Has(flow.Fin) && c.requests.Append(p.Flow, p):
		return true
	case f.IsWaiting():
		c.deliverRequest(now, c.requests.Remove(p.Flow), "Overflow")
		return false
	case !begins || !m.SeveralKinds || p.Flags.Has(flow.Fin) || p.Flags.Has(flow.Rst) || !c.mayHold(now) || c.flows.SlotsTaken(now) <= c.slots():
		return false
	}
	c.flows.Hold(f)
	r := scheduling.NewRequest(c.newRequestEntry(now, f, m), p)
	c.requests.Add(r)
	c.Counts.Held++
	c.LogRoutine("RequestHeld", "Flow", f.ID, "Priority", r.Priority, "Age", now.Sub(r.FirstSentAt), "SlotsTaken", c.flows.SlotsTaken(now),
		"Work", c.upstreamLoad(now).ServiceTime, "Held", c.requests.Len(), "Waiting", c.waitQueue.Len())
	return true
}

// newRequestEntry returns the entry of a request that begins now. The target latency of the
// first request on a flow counts from the first packet.
func (c *Core) newRequestEntry(now instant.Instant, f *flowtable.Flow, m *message.Carried) admission.Entry {
	sentAt := now.Add(-time.Duration(m.WaitedMillis) * time.Millisecond)
	if f.Requests == 1 && f.FirstSentAt != 0 && now.Sub(f.StartedAt) <= flowtable.MaxOpeningWait {
		sentAt = f.FirstSentAt
	}
	timeout := f.Timeout
	if timeout == 0 {
		timeout = defaultRequestTimeout
	}
	return admission.Entry{
		Flow: f.ID, FirstSentAt: sentAt, ExpiresAt: sentAt.Add(timeout), ArrivedAt: now,
		TargetLatency: time.Duration(m.AimMillis) * time.Millisecond, Priority: m.Priority,
	}
}

// mayHold reports whether requests may be held: the upstream is ready and has reported its
// slots, and the process is neither stopping nor has just resumed from a pause, in which the
// age of packets is unknown.
func (c *Core) mayHold(now instant.Instant) bool {
	return c.state == message.State_StateReady && !c.stopping && !c.upstream.Draining && c.upstream.Slots > 0 &&
		!c.paused(now) && (c.resumedAt == 0 || now.Sub(c.resumedAt) >= backlogPeriod)
}

// deliverHeld delivers the held requests whose turn has come, or all if none may be held.
func (c *Core) deliverHeld(now instant.Instant) {
	if c.requests.Len() == 0 {
		return
	}
	if !c.mayHold(now) {
		c.deliverAllHeld(now, "UpstreamState")
		return
	}
	slots := c.upstreamLoad(now)
	slots.InSystem = c.flows.SlotsTaken(now)
	for r := c.requests.Next(now, slots); r != nil; r = c.requests.Next(now, slots) {
		c.deliverRequest(now, r, "SlotFree")
		slots.InSystem++
	}
	for _, r := range c.requests.Due(now, slots) {
		c.deliverRequest(now, r, "NoTimeLeft")
	}
}

// deliverAllHeld delivers all held requests.
func (c *Core) deliverAllHeld(now instant.Instant, reason string) {
	for _, r := range c.requests.TakeAll() {
		c.deliverRequest(now, r, reason)
	}
}

// deliverRequest delivers a request that was held and is no longer in the queue.
func (c *Core) deliverRequest(now instant.Instant, r *scheduling.Request, reason string) {
	waited, late := now.Sub(r.ArrivedAt), r.IsLate(now)
	c.Counts.HeldByPriority[min(int(r.Priority), len(c.Counts.HeldByPriority)-1)]++
	if late {
		c.Counts.DeliveredLate++
	}
	if reason != "SlotFree" {
		c.Counts.DeliveredToQueue++
	}
	c.OnHeld(waited)
	log := c.LogNotable
	if reason == "SlotFree" && !late {
		// In a wave these are as frequent as requests and would displace the entries that
		// explain failures.
		log = c.LogRoutine
	}
	log("HeldRequestDelivered", "Flow", r.Flow, "Reason", reason, "Priority", r.Priority, "Waited", waited, "Late", late, "Held", c.requests.Len())
	f := c.flows.Get(r.Flow)
	if f != nil {
		c.flows.SetSlowdown(c.slowdown(now))
		c.flows.Release(now, f)
	}
	c.expectResponse(now, &c.upstream.dataPendingSince, &c.upstream.dataPending)
	for _, p := range r.Packets() {
		if f != nil {
			f.LastPacket = p.Bytes
		}
		c.deliver(now, &message.Carried{Packet: p.Bytes}, p, 0)
	}
}

// dropHeld drops the held request of a flow whose caller has given it up, or that has ended.
func (c *Core) dropHeld(id flow.ID) {
	if r := c.requests.Remove(id); r != nil {
		c.Counts.HeldDropped++
		c.LogNotable("HeldRequestDropped", "Flow", id, "Priority", r.Priority, "Held", c.requests.Len())
	}
}

// waiting returns the number of requests and new flows that wait for a slot, by priority. It is
// zero if the service has a single kind of requests, which all wait for each other.
func (c *Core) waiting() (w load.Waiting) {
	if !c.severalKinds {
		return w
	}
	c.requests.CountByPriority(w.Add)
	c.waitQueue.CountByPriority(w.Add)
	return w
}

// waitingOf returns the numbers of waiting requests in a record.
func waitingOf(r *message.Record) (w load.Waiting) {
	for i, n := range r.Waiting {
		w.Add(uint32(i), int(n))
	}
	return w
}

// recordedWaiting returns the numbers of waiting requests for a record, nil if there are none.
func (c *Core) recordedWaiting() []uint32 {
	w := c.waiting()
	if w == (load.Waiting{}) {
		return nil
	}
	out := make([]uint32, len(w))
	for i, n := range w {
		out[i] = uint32(n)
	}
	return out
}
