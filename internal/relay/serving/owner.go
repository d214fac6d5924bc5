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

func (c *Core) recordRoute(f *flowtable.Flow, m *message.Carried) {
	f.OtherServices, f.UnnamedServices, f.OthersIncomplete = m.Others, m.Unnamed, m.OthersIncomplete
	f.Balancer, f.DataCentre, f.Timeout = flow.IP(m.Balancer), m.DataCentre, time.Duration(m.TimeoutMillis)*time.Millisecond
}

// handleAsOwner delivers a packet sent to this agent as the flow's owner, or returns it
// to the home if the upstream cannot hold the flow.
func (c *Core) handleAsOwner(now instant.Instant, p flow.Packet, m *message.Carried) {
	if p.OpensFlow() {
		c.admit(now, p, m)
		return
	}
	f := c.flows.Get(p.Flow)
	if f != nil && f.OpenedElsewhere(p) {
		c.flows.Delete(f)
		c.returnToHome(now, p, m)
		return
	}
	if c.state == message.State_StateGone || f == nil && m.KnownOnly && c.knowsAllFlows(now) {
		c.returnToHome(now, p, m)
		return
	}
	if f != nil && f.Phase >= flowtable.Accepted && (m.ByHome || f.Balancer != flow.IP(m.Balancer)) {
		c.sendHint(p.Flow, flow.IP(m.Balancer), c.Self)
	}
	c.deliverFlowPacket(now, p, m, 0)
}

// deliverFlowPacket delivers a packet that does not open a flow. A non-zero prober is
// sent a claim or denial once the upstream responds.
func (c *Core) deliverFlowPacket(now instant.Instant, p flow.Packet, m *message.Carried, prober flow.IP) {
	c.flows.SetSlowdown(c.slowdown(now))
	requests := 0
	if f := c.flows.Get(p.Flow); f != nil {
		requests = f.Requests
	}
	f := c.flows.RecordCallerPacket(now, p)
	c.recordRoute(f, m)
	if prober != 0 {
		f.Prober, f.ProberDigest = prober, m.MembersDigest
	}
	if prober == 0 {
		if c.schedule(now, f, p, m, f.Requests > requests) {
			c.deliverHeld(now)
			return
		}
		// A packet that ends a request or its flow may have freed a slot.
		defer c.deliverHeld(now)
	}
	f.LastPacket = p.Bytes
	if p.Len > 0 {
		c.expectResponse(now, &c.upstream.dataPendingSince, &c.upstream.dataPending)
	}
	c.deliver(now, m, p, prober)
}

// deliver sends a packet to the upstream. While the upstream may not be listening yet,
// the packet is also kept for redelivery, unless it is a probe: the prober sends it again, and
// an upstream that is not listening holds no flow.
func (c *Core) deliver(now instant.Instant, m *message.Carried, p flow.Packet, prober flow.IP) {
	c.Counts.Delivered++
	c.Emit(action.Action{Kind: action.Deliver, Flow: p.Flow, Bytes: m.Packet})
	if prober != 0 || c.state != message.State_StateUnknown && c.state != message.State_StateSilent {
		return
	}
	if len(c.redeliveryQueue) >= maxRedeliveryPackets {
		c.Counts.Overflowed++
		return
	}
	c.redeliveryQueue = append(c.redeliveryQueue, redeliveryPacket{now, m})
}

// handleProbe sends a claim or a denial to the prober of a flow. If it is unknown whether the
// upstream holds the flow, it says so, or it delivers the packet if the prober wants the
// upstream's response to decide.
func (c *Core) handleProbe(now instant.Instant, from flow.IP, p flow.Packet, m *message.Carried) {
	f := c.flows.Get(p.Flow)
	if c.state == message.State_StateGone || f != nil && f.OpenedElsewhere(p) {
		c.sendDenial(now, from, p.Flow, m.MembersDigest)
		return
	}
	switch {
	case f != nil && f.Phase >= flowtable.Accepted:
		c.answerProbe(now, f, from)
		c.handleAsOwner(now, p, m)
	case f == nil && (c.knowsAllFlows(now) || c.isDisowned(p.Flow)):
		c.sendDenial(now, from, p.Flow, m.MembersDigest)
	case m.KnownOnly:
		c.sendUnsure(now, from, p.Flow)
	default:
		c.deliverFlowPacket(now, p, m, from)
	}
}

// sendUnsure tells a prober that only the upstream can say whether it holds the flow.
func (c *Core) sendUnsure(now instant.Instant, prober flow.IP, id flow.ID) {
	if prober == c.Self {
		c.handleUnsure(now, c.Self, id)
		return
	}
	c.Send(prober, &message.Envelope{Body: &message.Envelope_Unsure{Unsure: &message.Unsure{Flow: message.FlowOf(id)}}})
}

// knowsAllFlows reports whether the table contains all flows of the upstream: the upstream
// started after this process, or this process is older than any flow.
func (c *Core) knowsAllFlows(now instant.Instant) bool {
	return (c.upstream.startedLater || now.Sub(c.Started) >= c.FlowLifetime) && !c.flows.IsFull()
}

// disown records that the upstream does not hold a flow.
func (c *Core) disown(now instant.Instant, id flow.ID) {
	if len(c.disowned) < maxDisowned {
		c.disowned[id] = now
	}
}

// isDisowned reports whether the upstream is known not to hold a flow.
func (c *Core) isDisowned(id flow.ID) bool {
	_, ok := c.disowned[id]
	return ok
}

// answerProbe sends the claim of a flow to the agent that probed for it.
func (c *Core) answerProbe(now instant.Instant, f *flowtable.Flow, prober flow.IP) {
	if prober == c.Self {
		c.handleClaim(now, c.Self, f.ID)
		c.setHome(f, c.Self)
		return
	}
	c.sendClaim(f, prober)
}

// sendDenial tells a prober that the upstream does not hold a flow, with the agents that
// this one knows unless the prober's digest shows that it probes the same ones.
func (c *Core) sendDenial(now instant.Instant, prober flow.IP, id flow.ID, digest uint64) {
	d := &message.Denial{Flow: message.FlowOf(id)}
	if prober == c.Self {
		c.handleDenial(now, c.Self, d)
		return
	}
	if digest != c.Members.Digest(c.Service) {
		c.Counts.ListedDenials++
		for _, r := range c.Members.Agents(c.Service) {
			switch {
			case r.HasLeft(now):
			case len(d.Members) == maxDenialMembers:
				d.MembersIncomplete = true
			default:
				d.Members = append(d.Members, r.Instance)
			}
		}
	}
	c.Send(prober, &message.Envelope{Body: &message.Envelope_Denial{Denial: d}})
}

// returnToHome returns a packet to the flow's home since the upstream does not hold the flow.
func (c *Core) returnToHome(now instant.Instant, p flow.Packet, m *message.Carried) {
	c.sendHint(p.Flow, flow.IP(m.Balancer), 0)
	c.sendPacket(now, c.homeOf(now, p.Flow, m.DataCentre), m, message.Step_StepReturn)
}

// homeOf returns the home of a flow whose packets arrive in a data centre, this agent if
// no other is known.
func (c *Core) homeOf(now instant.Instant, id flow.ID, dataCentre string) flow.IP {
	if home, ok := c.Members.Home(now, c.Service, dataCentre, id.Hash()); ok {
		return home
	}
	return c.Self
}

// HandleUpstreamPacket handles a packet from the upstream.
func (c *Core) HandleUpstreamPacket(now instant.Instant, b []byte) {
	p, ok := c.Codec.DecodeFromUpstream(b)
	if !ok {
		c.Counts.Unreadable++
		return
	}
	if p.Flags.Has(flow.Bounced) {
		c.handleBounce(now, p)
		return
	}
	if f := c.flows.Get(p.Flow); p.Flags.Has(flow.Rst) && (f == nil || f.Phase < flowtable.Accepted) {
		c.recordUpstreamAlive(now)
		c.handleUpstreamReset(now, p, f)
		return
	}
	// The packets that are redelivered depend on what this one shows.
	f, newlyHeld := c.flows.RecordUpstreamPacket(now, p)
	c.recordUpstreamAlive(now)
	if !newlyHeld && !p.Flags.Has(flow.Syn) && f.AcceptedAt < c.upstream.awaySince {
		c.upstream.mayHaveRestarted = false
	}
	c.Counts.Replied++
	c.Emit(action.Action{Kind: action.Reply, Flow: p.Flow, Bytes: p.Bytes})
	if newlyHeld {
		if c.upstream.hasHeartbeat {
			f.UpstreamBorn = c.upstream.Born
		}
		c.announceOwner(now, f, p)
	}
	c.admitQueued(now)
}

// handleUpstreamReset handles a reset that the upstream sent for a flow that it has not
// accepted.
// The flow may be open elsewhere, so the reset is not forwarded to the caller.
func (c *Core) handleUpstreamReset(now instant.Instant, p flow.Packet, f *flowtable.Flow) {
	c.LogNotable("UpstreamDisownsFlow", "Flow", p.Flow, "Asked", f != nil && f.Prober != 0)
	if f == nil {
		return
	}
	c.flows.Delete(f)
	if f.Prober != 0 {
		c.disown(now, p.Flow)
		c.sendDenial(now, f.Prober, p.Flow, f.ProberDigest)
	}
	c.deliverHeld(now)
}

// announceOwner informs the prober, the balancer and the home that the upstream holds a
// flow.
func (c *Core) announceOwner(now instant.Instant, f *flowtable.Flow, p flow.Packet) {
	if f.DataCentre == "" {
		f.DataCentre = c.DataCentre
	}
	if f.Prober != 0 {
		c.answerProbe(now, f, f.Prober)
		f.Prober = 0
	}
	c.sendHint(f.ID, f.Balancer, c.Self)
	home, ok := c.Members.Home(now, c.Service, f.DataCentre, f.ID.Hash())
	if ok && (!p.Flags.Has(flow.Syn) || c.wasPlacedByDelegate(f, home)) && home != f.Home {
		c.sendClaim(f, home)
	}
	c.setHome(f, home)
}

// handleBounce handles a caller's packet that the upstream bounced.
func (c *Core) handleBounce(now instant.Instant, p flow.Packet) {
	c.Counts.Bounced++
	defer c.deliverHeld(now)
	// The packet is still used after the read buffer has been overwritten.
	p.Bytes = bytes.Clone(p.Bytes)
	c.Codec.RestoreBounced(p.Bytes)
	p.Flags &^= flow.Bounced
	f := c.flows.Get(p.Flow)
	m := &message.Carried{Packet: p.Bytes, Service: c.Service, DataCentre: c.DataCentre, WarmUpRate: float64(c.warmUpRate)}
	if f != nil {
		m.Balancer, m.DataCentre, m.Excluded, m.Home = uint32(f.Balancer), f.DataCentre, f.Excluded, uint32(f.PlacedBy)
		m.Others, m.Unnamed, m.OthersIncomplete = f.OtherServices, f.UnnamedServices, f.OthersIncomplete
	}
	switch {
	case p.OpensFlow():
		if f != nil {
			c.flows.Delete(f)
		}
		c.warmUp.Forget(p.Flow)
		c.LogNotable("FirstPacketBounced", "Flow", p.Flow, "Heard", now.Sub(c.upstream.lastHeard), "Beat", now.Sub(c.upstream.lastHeartbeat))
		c.upstream.bouncesOpening = now.Sub(c.upstream.lastHeard) > bounceDownAfter
		c.updateState(now)
		c.redirect(now, p, m)
	case f != nil && f.Phase == flowtable.Open:
		if f.UpstreamBorn == 0 || f.UpstreamBorn == c.upstream.Born {
			c.upstream.lostFlowAt = now
			c.recordAway(now, f.HeardAt)
		}
		c.flows.Delete(f)
		c.sendHint(p.Flow, f.Balancer, 0)
		c.resetFlow(p.Flow, p.AckSeq, "UpstreamLostFlow", "Age", now.Sub(f.StartedAt), "Requests", f.Requests)
	case f != nil && f.Prober != 0:
		c.flows.Delete(f)
		c.disown(now, p.Flow)
		c.sendDenial(now, f.Prober, p.Flow, f.ProberDigest)
	case f == nil:
		// An earlier bounce has already ended this flow. The other services that may hold
		// it are unknown, so a search could reset an open flow.
		c.LogNotable("BounceIgnored", "Flow", p.Flow, "Reason", "UnknownFlow")
	default:
		if f.IsHeld() && now.Sub(f.HeardAt) > unansweredAfter {
			// The upstream accepted the flow and has lost it. Bounces soon after the acceptance are
			// also seen of upstreams that run.
			c.recordAway(now, f.HeardAt)
		}
		c.flows.Delete(f)
		c.returnToHome(now, p, m)
	}
}
