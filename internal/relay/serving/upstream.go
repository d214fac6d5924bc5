package serving

import (
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/action"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/flowtable"
	"github.com/jaytack/jaytack/internal/relay/membership"
	"github.com/jaytack/jaytack/internal/relay/message"
)

// upstreamState tracks the agent's own upstream.
type upstreamState struct {
	Heartbeat
	hasHeartbeat bool
	// isConfirmed is set once two heartbeats of the known incarnation have come.
	isConfirmed bool
	// predecessors holds the incarnations that were replaced, the latest last. candidate is
	// one that may replace the known one, empty if there is none.
	predecessors []incarnation
	candidate    candidate
	// lostFlowAt is when the known incarnation was last found not to hold a flow that had been
	// open at it. flowsCheckedAt is when it was last checked which flows the upstream holds.
	lostFlowAt, flowsCheckedAt instant.Instant
	// lastHeard is when the upstream last sent a packet or a heartbeat; lastHeartbeat
	// is when it last sent a heartbeat.
	lastHeard, lastHeartbeat instant.Instant
	// openingPendingSince and dataPendingSince are when the earliest first packet and the
	// earliest data after lastHeard were delivered, valid if openingPending and
	// dataPending are set.
	openingPendingSince, dataPendingSince instant.Instant
	openingPending, dataPending           bool
	coldUntil                             instant.Instant
	// mayHaveRestarted is set from a sign that the upstream was away, after awaySince, until its
	// next heartbeat, which tells whether it is cold, or a packet on a flow that it accepted
	// before awaySince. awayNoticedAt is when the last sign was seen.
	mayHaveRestarted         bool
	awaySince, awayNoticedAt instant.Instant
	// startedLater is set if the upstream certainly started after this process.
	startedLater bool
	// leaveNoticedAt is when the upstream said that it is leaving, 0 if it has not since its last
	// heartbeat. hasLeft is set once it has refused connections since.
	leaveNoticedAt instant.Instant
	hasLeft        bool
	// leftBefore is set if the store says that it left during the previous process. Another
	// one may have started since.
	leftBefore bool
	// absent is set if the upstream has sent nothing since the process started, and
	// either it refuses connections or heartbeats are overdue; it then holds no flows.
	// listenTime is how long the process had listened at the last tick, heartbeatListenTime at
	// the last heartbeat.
	absent                          bool
	listenTime, heartbeatListenTime time.Duration
	// refusedSince is when the upstream was first seen to refuse connections, 0 if it does
	// not.
	refusedSince instant.Instant
	// bouncesOpening is set while first packets bounce: the upstream is down or full.
	bouncesOpening bool
	// resetFlowsAt is when the flows of an upstream that has left are reset, 0 for never.
	resetFlowsAt instant.Instant
}

// expectResponse records that a response of the upstream is pending from now on, unless
// one already was.
func (c *Core) expectResponse(now instant.Instant, since *instant.Instant, pending *bool) {
	if !*pending {
		*since, *pending = now, true
	}
}

// HandleHeartbeat processes a heartbeat of the upstream and reports whether it was accepted: its
// sender is the upstream that runs beside this agent. Only an accepted heartbeat may be
// acknowledged.
func (c *Core) HandleHeartbeat(now instant.Instant, h Heartbeat) bool {
	if h.Service != c.Service || h.Address != c.Upstream || h.DataCentre != c.DataCentre {
		c.LogNotable("HeartbeatForeign", "Upstream", h.Upstream, "Service", h.Service, "Address", h.Address, "DataCentre", h.DataCentre)
		return false
	}
	old := c.upstream.Heartbeat
	if !c.isCurrent(now, h) {
		c.LogNotable("HeartbeatLate", "Upstream", h.Upstream, "Born", h.Born, "Sequence", h.Sequence, "Known", old.Upstream, "KnownBorn", old.Born, "KnownSequence", old.Sequence, "Beat", now.Sub(c.upstream.lastHeartbeat))
		if h.Born > old.Born && now.Sub(c.upstream.flowsCheckedAt) > c.confirmAfter() {
			c.expectSuccessor(now, h)
		}
		return false
	}
	replaced := c.upstream.hasHeartbeat && h.incarnation() != old.incarnation()
	succeeds := replaced && h.Born > old.Born
	if replaced || !c.upstream.hasHeartbeat {
		c.upstream.startedLater = c.upstream.startedLater && succeeds || c.startedAfterAgent(now, h)
	}
	if replaced {
		c.upstream.recordPredecessor(old.incarnation())
	}
	c.upstream.isConfirmed = c.upstream.hasHeartbeat && !replaced || c.upstream.candidate.incarnation == h.incarnation()
	if replaced || !c.upstream.hasHeartbeat {
		c.flows.ResetSpeed()
	}
	if replaced {
		c.ejection.Reset()
	}
	c.upstream.Heartbeat, c.upstream.hasHeartbeat = h, true
	c.flows.SetSlots(c.slots())
	c.upstream.lastHeartbeat, c.upstream.candidate = now, candidate{}
	c.upstream.heartbeatListenTime = c.listenTime(now)
	c.upstream.hasLeft, c.upstream.resetFlowsAt, c.upstream.leaveNoticedAt = false, 0, 0
	c.upstream.coldUntil, c.upstream.mayHaveRestarted = now.Add(h.ColdFor), false
	if replaced {
		c.warmUp.ForgetAll()
		c.LogStateChange("UpstreamReplaced", "Upstream", h.Upstream, "Born", h.Born, "Sequence", h.Sequence, "Before", old.Upstream, "BornBefore", old.Born)
		c.checkFlows(now, h.Born)
		// These were not delivered to the earlier upstream.
		c.deliverAllHeld(now, "UpstreamReplaced")
	}
	c.recordUpstreamAlive(now)
	c.updateState(now)
	c.applyCheckpoint()
	c.deliverHeld(now)
	return true
}

// expectSuccessor handles a heartbeat that may be the first one of the upstream's successor. Until
// the next heartbeat decides that, the upstream counts as cold, and callers learn of the flows
// that have ended if it is one.
func (c *Core) expectSuccessor(now instant.Instant, h Heartbeat) {
	// Answers on flows that were open before the last heartbeat show that it is the known one.
	c.recordAway(now, c.upstream.lastHeartbeat)
	c.upstream.coldUntil = max(c.upstream.coldUntil, now.Add(h.ColdFor))
	c.checkFlows(now, h.Born)
}

// startedAfterAgent reports whether the first heartbeat heard of an upstream shows that it
// started after this process, by its start time and by its low sequence. Since clocks may jump,
// it must also have been possible for the process to hear all heartbeats before.
func (c *Core) startedAfterAgent(now instant.Instant, h Heartbeat) bool {
	heardFirst := now.Sub(c.Started) >= time.Duration(h.Sequence-1)*c.heartbeatEvery()
	return h.Sequence <= maxStartSequence && h.Born >= c.StartedMillis-startTolerance.Milliseconds() && heardFirst
}

// checkFlows redelivers the caller's last packet of each open flow that the upstream with the
// given start time did not accept. It bounces those of the flows that it does not hold, which
// are then reset; of any other it gets a duplicate.
func (c *Core) checkFlows(now instant.Instant, born int64) {
	c.upstream.flowsCheckedAt = now
	c.flows.All(func(f *flowtable.Flow) {
		if f.IsHeld() && !f.IsClosing() && !f.IsWaiting() && f.UpstreamBorn != born && f.LastPacket != nil {
			c.Emit(action.Action{Kind: action.Deliver, Flow: f.ID, Bytes: f.LastPacket})
		}
	})
}

// resetAllFlows resets the open flows of an upstream that has left and deletes all flows.
func (c *Core) resetAllFlows(now instant.Instant, reason string) {
	c.flows.All(func(f *flowtable.Flow) {
		if f.IsHeld() && f.LastAck != 0 {
			c.sendHint(f.ID, f.Balancer, 0)
			c.resetFlow(f.ID, f.LastAck, reason)
		}
		c.flows.Delete(f)
	})
}

// HandleLeave processes the notice that the upstream of this name is leaving. It may be a late
// one of an earlier upstream with the same name, so that the flows end only once the upstream
// refuses connections.
func (c *Core) HandleLeave(now instant.Instant, name string) {
	if !c.upstream.hasHeartbeat || name != c.upstream.Upstream {
		c.LogNotable("LeaveLate", "Upstream", name, "Known", c.upstream.Upstream)
		return
	}
	c.LogNotable("LeaveNoticed", "Upstream", name, "Beat", now.Sub(c.upstream.lastHeartbeat))
	c.upstream.leaveNoticedAt = now
}

// recordLeft records that the upstream has left: it has said so, and refuses connections.
func (c *Core) recordLeft(now instant.Instant) {
	u := &c.upstream
	u.hasLeft, u.resetFlowsAt, u.leaveNoticedAt = true, u.leaveNoticedAt.Add(leaveGracePeriod), 0
	c.updateState(now)
}

// Stop announces that the process is stopping.
func (c *Core) Stop(now instant.Instant) {
	c.stopping = true
	c.updateState(now)
}

// recordUpstreamAlive records that the upstream was heard and redelivers the packets that
// it may have missed.
func (c *Core) recordUpstreamAlive(now instant.Instant) {
	wasAbsent := c.upstream.absent
	c.upstream.lastHeard, c.upstream.bouncesOpening, c.upstream.absent = now, false, false
	c.upstream.openingPending, c.upstream.dataPending = false, false
	if c.state != message.State_StateUnknown && c.state != message.State_StateSilent && !wasAbsent {
		return
	}
	c.updateState(now)
	c.warmUp.ForgetAll()
	queue := c.redeliveryQueue
	c.redeliveryQueue = nil
	for _, m := range queue {
		if now.Sub(m.deliveredAt) < flow.OpenTimeout {
			c.redeliver(now, m)
		}
	}
}

// detectAbsence marks the upstream as absent if nothing was heard from it since the
// process started and heartbeats are overdue. Searches then do not wait for this agent,
// whose upstream cannot hold flows.
func (c *Core) detectAbsence(now instant.Instant) {
	c.upstream.listenTime = c.listenTime(now)
	if c.upstream.lastHeard != 0 || c.upstream.absent || c.HeartbeatEvery == 0 || c.upstream.listenTime < absentHeartbeats*c.HeartbeatEvery {
		return
	}
	c.upstream.absent = true
	c.LogStateChange("UpstreamAbsent", "Watched", c.upstream.listenTime, "HeartbeatEvery", c.HeartbeatEvery)
	c.updateState(now)
}

// computeState returns the upstream state to report.
func (c *Core) computeState(now instant.Instant) message.State {
	switch {
	case c.upstream.hasLeft, c.upstream.absent:
		return message.State_StateGone
	case c.stopping:
		return message.State_StateRestarting
	case c.upstream.Draining, c.upstream.leftBefore && c.upstream.lastHeard == 0:
		return message.State_StateDraining
	case c.upstream.bouncesOpening:
		return message.State_StateSilent
	case c.upstream.openingPending && now.Sub(c.upstream.openingPendingSince) > openingResponseTimeout,
		c.upstream.dataPending && now.Sub(c.upstream.dataPendingSince) > dataResponseTimeout:
		if c.state == message.State_StateUnknown {
			return c.state
		}
		return message.State_StateSilent
	case c.upstream.lastHeard == 0:
		return message.State_StateUnknown
	}
	return message.State_StateReady
}

// updateState recomputes the upstream state. A change that affects the homes or owners of
// flows is announced to all; others matter only to the processes that get regular reports.
func (c *Core) updateState(now instant.Instant) {
	s := c.computeState(now)
	if s == c.state {
		return
	}
	c.LogStateChange("UpstreamStateChanged", "State", s, "Before", c.state, "Upstream", c.upstream.Upstream, "Born", c.upstream.Born,
		"Heard", now.Sub(c.upstream.lastHeard), "Beat", now.Sub(c.upstream.lastHeartbeat))
	if before := c.state; membership.IsStaying(before) != membership.IsStaying(s) || before == message.State_StateGone || s == message.State_StateGone {
		c.announce(now)
	} else {
		c.reportSoon(now)
	}
	c.state = s
	if s == message.State_StateSilent || s == message.State_StateGone {
		c.recordAway(now, now)
	}
	c.homesChanged = true
	c.deliverHeld(now)
	if s == message.State_StateGone {
		c.finishDeniedSearches(now)
	}
}
