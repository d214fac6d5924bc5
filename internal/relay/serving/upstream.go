package serving

import (
	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/action"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/flowtable"
	"github.com/jaytack/jaytack/internal/relay/message"
)

// await notes that the upstream owes an answer.
func (c *Core) await(now instant.Instant, since *instant.Instant, owes *bool) {
	if !*owes {
		*since, *owes = now, true
	}
}

// HandleHeartbeat takes in what the upstream says about itself and reports whether it
// was news.
func (c *Core) HandleHeartbeat(now instant.Instant, h Heartbeat) bool {
	if h.Service != c.Service {
		c.LogStateChange("HeartbeatForeign", "Upstream", h.Upstream, "Service", h.Service)
		return false
	}
	old := c.up.Heartbeat
	if c.up.known && (h.Born < old.Born || h.Born == old.Born && h.Sequence <= old.Sequence) {
		c.LogNotable("HeartbeatLate", "Upstream", h.Upstream, "Born", h.Born, "Sequence", h.Sequence, "KnownBorn", old.Born, "KnownSequence", old.Sequence)
		return false
	}
	replaced := c.up.known && h.Born > old.Born
	c.up.Heartbeat, c.up.known = h, true
	c.table.SetSlots(c.slots())
	c.up.beat = now
	c.up.gone, c.up.endAt = false, 0
	c.up.coldUntil = now.Add(h.ColdFor)
	if replaced {
		c.LogStateChange("UpstreamReplaced", "Upstream", h.Upstream, "Born", h.Born, "Before", old.Upstream, "BornBefore", old.Born)
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
	c.table.All(func(f *flowtable.Flow) {
		if f.Born == born && f.Last != nil {
			c.Emit(action.Action{Kind: action.Deliver, Flow: f.ID, Bytes: f.Last})
		}
	})
}

// endFlows resets all flows of an upstream that is no more.
func (c *Core) endFlows(now instant.Instant, reason string) {
	c.table.All(func(f *flowtable.Flow) {
		if f.Phase == flowtable.Open && f.LastAck != 0 {
			c.hint(f.ID, f.Balancer, 0)
			c.reset(f.ID, f.LastAck, reason)
		}
		c.table.Drop(f)
	})
}

// HandleLeave takes in that the upstream has left.
func (c *Core) HandleLeave(now instant.Instant, id string) {
	if !c.up.known || id != c.up.Upstream {
		c.LogNotable("LeaveLate", "Upstream", id, "Known", c.up.Upstream)
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
	wasAbsent := c.up.absent
	c.up.heard, c.up.refuses, c.up.absent = now, false, false
	c.up.owesOpening, c.up.owesData = false, false
	if c.state != message.State_StateUnknown && c.state != message.State_StateSilent && !wasAbsent {
		return
	}
	c.announce(now)
	queue := c.missed
	c.missed = nil
	for _, m := range queue {
		if now.Sub(m.at) < flow.OpenTimeout {
			c.Emit(action.Action{Kind: action.Deliver, Bytes: m.packet})
		}
	}
}

// watch takes the upstream for absent if it has given no sign since the process
// started for so long that heartbeats are overdue. Searches need not wait for an
// agent beside which nothing holds flows.
func (c *Core) watch(now instant.Instant) {
	c.up.watched += min(now.Sub(c.tickedAt), maxWatched)
	c.tickedAt = now
	if c.up.heard != 0 || c.up.absent || c.HeartbeatEvery == 0 || c.up.watched < absentAfter*c.HeartbeatEvery {
		return
	}
	c.up.absent = true
	c.LogStateChange("UpstreamAbsent", "Watched", c.up.watched, "HeartbeatEvery", c.HeartbeatEvery)
	c.announce(now)
}

// stateNow returns the state to announce.
func (c *Core) stateNow(now instant.Instant) message.State {
	switch {
	case c.up.gone, c.up.absent:
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
	c.LogStateChange("UpstreamStateChanged", "State", s, "Before", c.state, "Upstream", c.up.Upstream, "Born", c.up.Born,
		"Heard", now.Sub(c.up.heard), "Beat", now.Sub(c.up.beat))
	c.state = s
	c.groupAt, c.balancersAt, c.urgent = now, now, true
	c.rehoming = true
	if s == message.State_StateGone {
		c.concludeAll(now)
	}
}
