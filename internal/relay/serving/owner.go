package serving

import (
	"bytes"
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/load"
	"github.com/jaytack/jaytack/internal/relay/message"
	"github.com/jaytack/jaytack/internal/relay/ownership"
	"github.com/jaytack/jaytack/internal/relay/roster"
	"github.com/jaytack/jaytack/internal/relay/verdict"
	"github.com/jaytack/jaytack/internal/relay/waiting"
)

// offer delivers the first packet of a flow that was placed here.
func (c *Core) offer(now instant.Instant, p flow.Packet, m *message.Carried) {
	if !p.Opens() {
		c.asOwner(now, p, m)
		return
	}
	if c.closedForNew() {
		c.passOn(now, p, m)
		return
	}
	if f := c.table.Get(p.Flow); f != nil && f.Phase >= ownership.Offered {
		c.offerNow(now, p, m)
		return
	}
	left := flow.OpeningLeft(p.AckSeq) - time.Duration(m.WaitedMillis)*time.Millisecond
	if left < 0 {
		c.Explain("FlowGivenUp", "Flow", p.Flow, "Copy", p.AckSeq, "Waited", m.WaitedMillis)
		return
	}
	e := &waiting.Entry{
		Flow: p.Flow, Carried: m, Asked: now.Add(left - flow.OpensFor), Until: now.Add(left), Came: now,
		Aim: time.Duration(m.AimMillis) * time.Millisecond, Priority: m.Priority,
	}
	s := c.fullness(now)
	switch {
	case c.room.Len() == 0 && waiting.Passes(now, e, s):
		c.offerNow(now, p, m)
	case c.room.Add(now, e, s):
		c.Counts.Waited++
		c.Explain("FlowWaits", "Flow", p.Flow, "InSystem", s.InSystem, "Work", s.Work, "Waiting", c.room.Len(), "Copy", p.AckSeq)
		c.letPass(now)
	case len(m.Excluded) < maxPlacements && len(c.Roster.Group(c.Service)) > 1:
		c.passOn(now, p, m)
	default:
		c.refuse(now, p, m, "UpstreamFull")
	}
}

// fullness returns how full the upstream is.
func (c *Core) fullness(now instant.Instant) waiting.State {
	work := c.table.Work()
	if c.up.coldUntil > now {
		work = time.Duration(load.ColdFactor * float64(work))
	}
	return waiting.State{Slots: c.slots(), InSystem: c.table.InSystem(now), Work: work}
}

func (c *Core) slots() int {
	if c.up.Slots > 0 {
		return c.up.Slots
	}
	return usualSlots
}

// letPass offers flows that wait as far as the upstream has room.
func (c *Core) letPass(now instant.Instant) {
	for {
		e, ok := c.room.Next(now, c.fullness(now))
		if !ok {
			return
		}
		p, ok := c.Codec.FromCaller(e.Carried.Packet)
		if !ok {
			continue
		}
		c.OnWait(now.Sub(e.Came))
		e.Carried.WaitedMillis += uint32(now.Sub(e.Came) / time.Millisecond)
		if c.closedForNew() {
			c.passOn(now, p, e.Carried)
			continue
		}
		c.offerNow(now, p, e.Carried)
	}
}

// offerNow delivers the first packet of a flow.
func (c *Core) offerNow(now instant.Instant, p flow.Packet, m *message.Carried) {
	f := c.table.Offer(now, p)
	c.via(f, m)
	f.Excluded = m.Excluded
	c.await(now, &c.up.openingSince, &c.up.owesOpening)
	c.deliver(now, m, p)
}

// closedForNew reports whether the upstream takes no new flows.
func (c *Core) closedForNew() bool {
	return c.state == message.State_StateDraining || c.state == message.State_StateGone || c.state == message.State_StateRestarting
}

// passOn has another agent chosen for a new flow that the upstream does not take.
func (c *Core) passOn(now instant.Instant, p flow.Packet, m *message.Carried) {
	c.Counts.Redirected++
	m.Excluded = append(m.Excluded, uint32(c.Self))
	home, ok := c.Roster.Home(now, c.Service, m.DataCentre, p.Flow.Hash())
	if !ok {
		home = c.Self
	}
	c.carry(now, home, m, message.Step_StepHome)
}

func (c *Core) via(f *ownership.Flow, m *message.Carried) {
	f.Balancer, f.DataCentre, f.Timeout = flow.IP(m.Balancer), m.DataCentre, time.Duration(m.TimeoutMillis)*time.Millisecond
}

// asOwner delivers a packet of a flow that is taken to be open here.
func (c *Core) asOwner(now instant.Instant, p flow.Packet, m *message.Carried) {
	if p.Opens() {
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
	if f != nil && f.Phase >= ownership.Accepted && (m.ByHome || f.Balancer != flow.IP(m.Balancer)) {
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

// await notes that the upstream owes an answer.
func (c *Core) await(now instant.Instant, since *instant.Instant, owes *bool) {
	if !*owes {
		*since, *owes = now, true
	}
}

// deliver hands a packet to the upstream, and keeps it while the upstream may not
// be listening yet.
func (c *Core) deliver(now instant.Instant, m *message.Carried, p flow.Packet) {
	c.Counts.Delivered++
	c.Do(verdict.Action{Kind: verdict.Deliver, Flow: p.Flow, Bytes: m.Packet})
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
	if f != nil && f.Phase >= ownership.Accepted {
		c.answer(now, f, from)
		c.asOwner(now, p, m)
		return
	}
	c.pass(now, p, m, from)
}

// answer claims a flow at the agent that asked.
func (c *Core) answer(now instant.Instant, f *ownership.Flow, asker flow.IP) {
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
	for _, r := range c.Roster.Group(c.Service) {
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

// Upstream handles a packet that the upstream sent.
func (c *Core) Upstream(now instant.Instant, b []byte) {
	p, ok := c.Codec.FromUpstream(b)
	if !ok {
		c.Counts.Unreadable++
		return
	}
	if p.Flags.Has(flow.Bounced) {
		c.bounced(now, p)
		return
	}
	c.alive(now)
	if f := c.table.Get(p.Flow); p.Flags.Has(flow.Rst) && (f == nil || f.Phase < ownership.Accepted) {
		c.disowned(now, p, f)
		return
	}
	f, found := c.table.FromUpstream(now, p)
	c.Counts.Replied++
	c.Do(verdict.Action{Kind: verdict.Reply, Flow: p.Flow, Bytes: p.Bytes})
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
func (c *Core) disowned(now instant.Instant, p flow.Packet, f *ownership.Flow) {
	c.Explain("UpstreamDisownsFlow", "Flow", p.Flow, "Asked", f != nil && f.Asker != 0)
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
func (c *Core) opened(now instant.Instant, f *ownership.Flow, p flow.Packet) {
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
	c.Codec.Unbounce(p.Bytes)
	p.Flags &^= flow.Bounced
	f := c.table.Get(p.Flow)
	m := &message.Carried{Packet: p.Bytes, Service: c.Service, DataCentre: c.DataCentre}
	if f != nil {
		m.Balancer, m.DataCentre, m.Excluded = uint32(f.Balancer), f.DataCentre, f.Excluded
	}
	switch {
	case p.Opens():
		if f != nil {
			c.table.Drop(f)
		}
		c.Explain("FirstPacketBounced", "Flow", p.Flow, "Heard", now.Sub(c.up.heard), "Beat", now.Sub(c.up.beat))
		c.up.refuses = now.Sub(c.up.heard) > bouncesAfter
		c.announce(now)
		c.passOn(now, p, m)
	case f != nil && f.Phase == ownership.Open:
		c.table.Drop(f)
		c.hint(p.Flow, f.Balancer, 0)
		c.reset(p.Flow, p.AckSeq, "UpstreamLostFlow", "Age", now.Sub(f.Began), "Requests", f.Requests)
	case f != nil && f.Asker != 0:
		asker := f.Asker
		c.table.Drop(f)
		c.deny(now, asker, p.Flow)
	default:
		if f != nil {
			c.table.Drop(f)
		}
		c.giveBack(now, p, m)
	}
}

// Heartbeat takes in what the upstream says about itself and reports whether it
// was news.
func (c *Core) Heartbeat(now instant.Instant, h Heartbeat) bool {
	if h.Service != c.Service {
		c.Believe("HeartbeatForeign", "Upstream", h.Upstream, "Service", h.Service)
		return false
	}
	old := c.up.Heartbeat
	if c.up.known && (h.Born < old.Born || h.Born == old.Born && h.Sequence <= old.Sequence) {
		c.Explain("HeartbeatLate", "Upstream", h.Upstream, "Born", h.Born, "Sequence", h.Sequence, "KnownBorn", old.Born, "KnownSequence", old.Sequence)
		return false
	}
	replaced := c.up.known && h.Born > old.Born
	c.up.Heartbeat, c.up.known = h, true
	c.table.SetSlots(c.slots())
	c.up.beat = now
	c.up.gone, c.up.endAt = false, 0
	c.up.coldUntil = now.Add(h.ColdFor)
	if replaced {
		c.Believe("UpstreamReplaced", "Upstream", h.Upstream, "Born", h.Born, "Before", old.Upstream, "BornBefore", old.Born)
		c.verifyFlows(old.Born)
	}
	c.alive(now)
	c.announce(now)
	return true
}

// verifyFlows delivers the callers' last packets again where a request is in
// progress that an earlier upstream accepted. What bounces is reset; a flow that the
// upstream holds after all gets a copy that it knows.
func (c *Core) verifyFlows(born int64) {
	c.table.All(func(f *ownership.Flow) {
		if f.Born == born && f.Last != nil {
			c.Do(verdict.Action{Kind: verdict.Deliver, Flow: f.ID, Bytes: f.Last})
		}
	})
}

// endFlows resets all flows of an upstream that is no more.
func (c *Core) endFlows(now instant.Instant, reason string) {
	c.table.All(func(f *ownership.Flow) {
		if f.Phase == ownership.Open && f.LastAck != 0 {
			c.hint(f.ID, f.Balancer, 0)
			c.reset(f.ID, f.LastAck, reason)
		}
		c.table.Drop(f)
	})
}

// Leave takes in that the upstream has left.
func (c *Core) Leave(now instant.Instant, id string) {
	if !c.up.known || id != c.up.Upstream {
		c.Explain("LeaveLate", "Upstream", id, "Known", c.up.Upstream)
		return
	}
	c.up.gone, c.up.endAt = true, now.Add(endAfterLeave)
	c.announce(now)
}

// Stop announces that the process ends.
func (c *Core) Stop(now instant.Instant) {
	c.stopping = true
	c.announce(now)
}

// alive notes that the upstream was heard, and delivers again what it may have missed.
func (c *Core) alive(now instant.Instant) {
	c.up.heard, c.up.refuses = now, false
	c.up.owesOpening, c.up.owesData = false, false
	if c.state != message.State_StateUnknown && c.state != message.State_StateSilent {
		return
	}
	c.announce(now)
	queue := c.missed
	c.missed = nil
	for _, m := range queue {
		if now.Sub(m.at) < flow.OpensFor {
			c.Do(verdict.Action{Kind: verdict.Deliver, Bytes: m.packet})
		}
	}
}

// stateNow returns the state to announce.
func (c *Core) stateNow(now instant.Instant) message.State {
	switch {
	case c.up.gone:
		return message.State_StateGone
	case c.stopping:
		return message.State_StateRestarting
	case c.up.Draining:
		return message.State_StateDraining
	case c.up.refuses:
		return message.State_StateSilent
	case c.up.owesOpening && now.Sub(c.up.openingSince) > silentAfterOpening,
		c.up.owesData && now.Sub(c.up.dataSince) > silentAfterData:
		if c.state == message.State_StateUnknown {
			return c.state
		}
		return message.State_StateSilent
	case c.up.heard == 0:
		return message.State_StateUnknown
	}
	return message.State_StateReady
}

// announce changes the own state if need be and has others told at once.
func (c *Core) announce(now instant.Instant) {
	s := c.stateNow(now)
	if s == c.state {
		return
	}
	c.Believe("UpstreamStateChanged", "State", s, "Before", c.state, "Upstream", c.up.Upstream, "Born", c.up.Born,
		"Heard", now.Sub(c.up.heard), "Beat", now.Sub(c.up.beat))
	c.state = s
	c.groupAt, c.balancersAt, c.urgent = now, now, true
	c.rehoming = true
}

// Record returns what the agent announces.
func (c *Core) Record(now instant.Instant) *message.Record {
	_, idle := c.table.Load()
	return &message.Record{
		Instance: uint32(c.Self), Service: c.Service, DataCentre: c.DataCentre, Incarnation: c.Incarnation, Sequence: c.sequence,
		State: c.state, Upstream: c.up.Upstream, UpstreamBorn: c.up.Born, Slots: uint32(c.up.Slots),
		Busy: uint32(c.table.InSystem(now) + c.room.Len()), Idle: uint32(idle), Cold: c.up.coldUntil > now,
	}
}

// Tick does what is due.
func (c *Core) Tick(now instant.Instant) {
	c.announce(now)
	if c.up.endAt != 0 && now >= c.up.endAt {
		c.up.endAt = 0
		c.endFlows(now, "UpstreamLeft")
	}
	c.letPass(now)
	_, idle := c.table.Load()
	c.board.Update(c.Self, load.Signal{Slots: c.up.Slots, Busy: c.table.InSystem(now) + c.room.Len(), Idle: idle, Cold: c.up.coldUntil > now})
	if now >= c.expireAt {
		c.expireAt = now.Add(expireEvery)
		c.expire(now)
	}
	c.rehome(now)
	c.report(now)
}

// report tells peers and balancers about the agent.
func (c *Core) report(now instant.Instant) {
	group, balancers := now >= c.groupAt, now >= c.balancersAt
	if !group && !balancers {
		return
	}
	urgent := c.urgent
	c.urgent = false
	c.sequence++
	e := &message.Envelope{Body: &message.Envelope_Report{Report: &message.Report{Record: c.Record(now)}}}
	if group {
		c.groupAt = now.Add(reportGroupEvery)
		c.reports++
		all := urgent || c.reports%farReports == 0
		c.reportTo(e, c.Roster.Group(c.Service), func(m *roster.Member) bool { return all || m.DataCentre == c.DataCentre })
	}
	if balancers {
		c.balancersAt = now.Add(reportBalancersEvery)
		c.reportTo(e, c.Roster.Balancers(), func(*roster.Member) bool { return true })
	}
}

func (c *Core) reportTo(e *message.Envelope, members []*roster.Member, to func(*roster.Member) bool) {
	for _, m := range members {
		if m.ID() != c.Self && to(m) {
			c.Send(m.ID(), e)
		}
	}
}
