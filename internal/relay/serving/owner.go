package serving

import (
	"bytes"
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/action"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/flowtable"
	"github.com/jaytack/jaytack/internal/relay/message"
)

func (c *Core) via(f *flowtable.Flow, m *message.Carried) {
	f.Others = m.Others
	f.Balancer, f.DataCentre, f.Timeout = flow.IP(m.Balancer), m.DataCentre, time.Duration(m.TimeoutMillis)*time.Millisecond
}

// asOwner delivers a packet of a flow that is taken to be open here.
func (c *Core) asOwner(now instant.Instant, p flow.Packet, m *message.Carried) {
	if p.OpensFlow() {
		c.offer(now, p, m)
		return
	}
	f := c.table.Get(p.Flow)
	if f != nil && f.Foreign(p) {
		c.table.Drop(f)
		c.giveBack(now, p, m)
		return
	}
	if c.state == message.State_StateGone {
		c.giveBack(now, p, m)
		return
	}
	if f != nil && f.Phase >= flowtable.Accepted && (m.ByHome || f.Balancer != flow.IP(m.Balancer)) {
		c.hint(p.Flow, flow.IP(m.Balancer), c.Self)
	}
	c.pass(now, p, m, 0)
}

// pass delivers a packet that does not open a flow.
func (c *Core) pass(now instant.Instant, p flow.Packet, m *message.Carried, asker flow.IP) {
	f := c.table.FromCaller(now, p)
	c.via(f, m)
	if asker != 0 {
		f.Asker = asker
	}
	if f.Busy() && p.Len > 0 {
		f.Last = p.Bytes
	}
	if p.Len > 0 {
		c.await(now, &c.up.dataSince, &c.up.owesData)
	}
	c.deliver(now, m, p)
}

// deliver hands a packet to the upstream, and keeps it while the upstream may not
// be listening yet.
func (c *Core) deliver(now instant.Instant, m *message.Carried, p flow.Packet) {
	c.Counts.Delivered++
	c.Emit(action.Action{Kind: action.Deliver, Flow: p.Flow, Bytes: m.Packet})
	if c.state != message.State_StateUnknown && c.state != message.State_StateSilent {
		return
	}
	if len(c.missed) >= maxMissed {
		c.Counts.Overflowed++
		return
	}
	c.missed = append(c.missed, missed{now, m.Packet})
}

// probed finds out whether the upstream holds a flow.
func (c *Core) probed(now instant.Instant, from flow.IP, p flow.Packet, m *message.Carried) {
	f := c.table.Get(p.Flow)
	if c.state == message.State_StateGone || f != nil && f.Foreign(p) {
		c.deny(now, from, p.Flow)
		return
	}
	if f != nil && f.Phase >= flowtable.Accepted {
		c.answer(now, f, from)
		c.asOwner(now, p, m)
		return
	}
	c.pass(now, p, m, from)
}

// answer claims a flow at the agent that asked.
func (c *Core) answer(now instant.Instant, f *flowtable.Flow, asker flow.IP) {
	if asker == c.Self {
		c.claimed(now, c.Self, f.ID)
		f.Home = c.Self
		return
	}
	c.claim(f, asker)
}

func (c *Core) deny(now instant.Instant, asker flow.IP, id flow.ID) {
	if asker == c.Self {
		c.denied(now, c.Self, id, nil)
		return
	}
	d := &message.Denial{Flow: message.FlowOf(id)}
	for _, r := range c.Roster.Agents(c.Service) {
		if r.State != message.State_StateGone && len(d.Members) < maxListed {
			d.Members = append(d.Members, r.Instance)
		}
	}
	c.Send(asker, &message.Envelope{Body: &message.Envelope_Denial{Denial: d}})
}

// giveBack returns a packet to the flow's home: the upstream does not hold the flow.
func (c *Core) giveBack(now instant.Instant, p flow.Packet, m *message.Carried) {
	c.hint(p.Flow, flow.IP(m.Balancer), 0)
	home, ok := c.Roster.Home(now, c.Service, m.DataCentre, p.Flow.Hash())
	if !ok {
		home = c.Self
	}
	c.carry(now, home, m, message.Step_StepReturn)
}

// HandleUpstreamPacket handles a packet that the upstream sent.
func (c *Core) HandleUpstreamPacket(now instant.Instant, b []byte) {
	p, ok := c.Codec.DecodeFromUpstream(b)
	if !ok {
		c.Counts.Unreadable++
		return
	}
	if p.Flags.Has(flow.Bounced) {
		c.bounced(now, p)
		return
	}
	c.alive(now)
	if f := c.table.Get(p.Flow); p.Flags.Has(flow.Rst) && (f == nil || f.Phase < flowtable.Accepted) {
		c.disowned(now, p, f)
		return
	}
	f, found := c.table.FromUpstream(now, p)
	c.Counts.Replied++
	c.Emit(action.Action{Kind: action.Reply, Flow: p.Flow, Bytes: p.Bytes})
	if found {
		if c.up.known {
			f.Born = c.up.Born
		}
		c.opened(now, f, p)
	}
	c.letPass(now)
}

// disowned handles a reset of a flow that the upstream has not shown to hold: it
// may be open elsewhere, so the caller must not get it.
func (c *Core) disowned(now instant.Instant, p flow.Packet, f *flowtable.Flow) {
	c.LogNotable("UpstreamDisownsFlow", "Flow", p.Flow, "Asked", f != nil && f.Asker != 0)
	if f == nil {
		return
	}
	asker := f.Asker
	c.table.Drop(f)
	if asker != 0 {
		c.deny(now, asker, p.Flow)
	}
}

// opened tells who needs to know that the upstream holds a flow.
func (c *Core) opened(now instant.Instant, f *flowtable.Flow, p flow.Packet) {
	if f.DataCentre == "" {
		f.DataCentre = c.DataCentre
	}
	if f.Asker != 0 {
		c.answer(now, f, f.Asker)
		f.Asker = 0
	}
	c.hint(f.ID, f.Balancer, c.Self)
	home, ok := c.Roster.Home(now, c.Service, f.DataCentre, f.ID.Hash())
	if ok && !p.Flags.Has(flow.Syn) && home != f.Home {
		c.claim(f, home)
	}
	f.Home = home
}

// bounced handles a caller's packet that the upstream did not take.
func (c *Core) bounced(now instant.Instant, p flow.Packet) {
	c.Counts.Bounced++
	// The packet outlives the buffer that it was read into.
	p.Bytes = bytes.Clone(p.Bytes)
	c.Codec.RestoreBounced(p.Bytes)
	p.Flags &^= flow.Bounced
	f := c.table.Get(p.Flow)
	m := &message.Carried{Packet: p.Bytes, Service: c.Service, DataCentre: c.DataCentre}
	if f != nil {
		m.Balancer, m.DataCentre, m.Excluded, m.Others = uint32(f.Balancer), f.DataCentre, f.Excluded, f.Others
	}
	switch {
	case p.OpensFlow():
		if f != nil {
			c.table.Drop(f)
		}
		c.LogNotable("FirstPacketBounced", "Flow", p.Flow, "Heard", now.Sub(c.up.heard), "Beat", now.Sub(c.up.beat))
		c.up.refuses = now.Sub(c.up.heard) > bouncesAfter
		c.announce(now)
		c.passOn(now, p, m)
	case f != nil && f.Phase == flowtable.Open:
		c.table.Drop(f)
		c.hint(p.Flow, f.Balancer, 0)
		c.reset(p.Flow, p.AckSeq, "UpstreamLostFlow", "Age", now.Sub(f.Began), "Requests", f.Requests)
	case f != nil && f.Asker != 0:
		asker := f.Asker
		c.table.Drop(f)
		c.deny(now, asker, p.Flow)
	case f == nil:
		// A second packet of a flow that was dealt with: without knowing which other
		// services may hold it, a search could end in a false reset.
		c.LogNotable("BounceIgnored", "Flow", p.Flow, "Reason", "UnknownFlow")
	default:
		c.table.Drop(f)
		c.giveBack(now, p, m)
	}
}
