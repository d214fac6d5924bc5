package serving

import (
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/action"
	"github.com/jaytack/jaytack/internal/relay/admission"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/flowtable"
	"github.com/jaytack/jaytack/internal/relay/load"
	"github.com/jaytack/jaytack/internal/relay/message"
	"github.com/jaytack/jaytack/internal/relay/warmup"
)

// turnMargin is how long before a caller gives up the turn of its flow must come: the first
// packet, the answer and the caller's next packet still have to be on their way.
const turnMargin = 100 * time.Millisecond

// unansweredAfter is how long after a first packet its answer is missing: a running upstream
// answers within a few milliseconds, and callers repeat first packets after 200 ms.
const unansweredAfter = 100 * time.Millisecond

// warmUpLimit returns the limit of first packets in force, which is not set if the upstream is
// warm or its service has none.
func (c *Core) warmUpLimit(now instant.Instant) warmup.Limit {
	if c.warmUpRate == 0 || !c.mayBeCold(now) {
		return warmup.Limit{}
	}
	return c.WarmUp.LimitFor(c.warmUpRate)
}

// mayBeCold reports whether the upstream is cold or nothing recent shows that it is not: no
// heartbeat has come since the process started or since the upstream was away, or one is overdue.
func (c *Core) mayBeCold(now instant.Instant) bool {
	u := &c.upstream
	return u.coldUntil > now || !u.hasHeartbeat || u.mayHaveRestarted || c.HeartbeatEvery > 0 && c.isHeartbeatOverdue(now)
}

// recordAway records a sign that the upstream is or was away. Only a packet on a flow that it
// accepted before since shows that it has not restarted.
func (c *Core) recordAway(now, since instant.Instant) {
	if !c.upstream.mayHaveRestarted && c.warmUpRate > 0 {
		c.LogNotable("UpstreamMayHaveRestarted", "Since", now.Sub(since), "Rate", c.warmUpRate, "Heard", now.Sub(c.upstream.lastHeard), "Beat", now.Sub(c.upstream.lastHeartbeat))
	}
	if u := &c.upstream; !u.mayHaveRestarted || since < u.awaySince {
		u.awaySince = since
	}
	c.upstream.mayHaveRestarted, c.upstream.awayNoticedAt = true, now
	c.warmUp.ForgetAll()
}

// detectUnanswered takes a copy of a first packet for a sign that the upstream was away if it has
// not answered the earlier one. After a pause of this process the answer may be unread. While the
// upstream counts as cold anyway, the sign would only make copies of all flows count again.
func (c *Core) detectUnanswered(now instant.Instant, f *flowtable.Flow) {
	if c.warmUpRate == 0 || f == nil || f.Phase != flowtable.Offered || c.mayBeCold(now) || c.resumedLately(now) {
		return
	}
	// A packet delivered before the last sign is of the absence that is known already.
	if now.Sub(f.LastOfferedAt) > unansweredAfter && f.LastOfferedAt > c.upstream.awayNoticedAt {
		c.recordAway(now, f.LastOfferedAt)
	}
}

// listenTime returns how long the process has listened.
func (c *Core) listenTime(now instant.Instant) time.Duration {
	return c.upstream.listenTime + min(now.Sub(c.lastTick), maxTickGap)
}

// warmUpLeft returns how many first packets the limit allows now, -1 if there is no limit.
func (c *Core) warmUpLeft(now instant.Instant) int {
	limit := c.warmUpLimit(now)
	if !limit.IsSet() {
		return -1
	}
	return c.warmUp.Left(now, limit)
}

// warmUpAllows reports whether the first packet of a flow may be delivered now. A copy of a
// delivered one always may.
func (c *Core) warmUpAllows(now instant.Instant, id flow.ID) bool {
	return c.warmUpLeft(now) != 0 || c.warmUp.IsCounted(now, id)
}

// exceedsWarmUpLimit reports whether the limit allows no flow beside those that wait already.
func (c *Core) exceedsWarmUpLimit(now instant.Instant, id flow.ID) bool {
	left := c.warmUpLeft(now)
	return left >= 0 && left <= c.waitQueue.Len() && !c.warmUp.IsCounted(now, id)
}

// flowsLeft returns the number of further new flows, plus 1, that the upstream takes now beside
// those that wait for it; 0 means no limit.
func (c *Core) flowsLeft(now instant.Instant) int {
	left := c.warmUpLeft(now)
	if left < 0 {
		return 0
	}
	return max(left-c.waitQueue.Len(), 0) + 1
}

// FlowsLeft returns the number of further new flows that the cold upstream takes now, -1 if
// there is no limit.
func (c *Core) FlowsLeft(now instant.Instant) int { return c.flowsLeft(now) - 1 }

// nextTurn returns when the turn of a flow comes that is queued now, and until when its caller must
// wait for it to be served. ok is false if its turn never comes.
func (c *Core) nextTurn(now instant.Instant, upstreamLoad admission.UpstreamLoad) (turn, served instant.Instant, ok bool) {
	limit := c.warmUpLimit(now)
	place := c.waitQueue.Len() + 1
	turn, ok = c.warmUp.TurnOf(now, place, limit)
	// Flows whose turns come together still wait for slots.
	slotWait := time.Duration(float64(min(place, limit.Flows)) / float64(max(upstreamLoad.Slots, 1)) * float64(upstreamLoad.ServiceTime))
	return turn, turn.Add(slotWait + turnMargin), ok
}

// waitsForTurn reports whether a flow over the warm-up limit is to wait here. A flow waits if it
// can be in time. Otherwise it is redirected if another agent has flows left. If none has, it
// waits if its turn comes before its caller gives up, else it is refused at once.
func (c *Core) waitsForTurn(now instant.Instant, e *admission.Entry, p flow.Packet, upstreamLoad admission.UpstreamLoad) bool {
	if c.waitQueue.Contains(p.Flow) {
		return true
	}
	limit := c.warmUpLimit(now)
	turn, served, ok := c.nextTurn(now, upstreamLoad)
	decision := "Wait"
	switch {
	case ok && e.MeetsTargetAt(turn, upstreamLoad):
	case len(e.Carried.Excluded)+1 < maxPlacements && c.othersHaveFlowsLeft(now, e.Carried):
		decision = "Redirect"
	case !ok || served > e.ExpiresAt:
		decision = "Refuse"
	}
	c.LogNotable("FlowOverWarmUpLimit", "Flow", p.Flow, "Decision", decision, "Turn", turn.Sub(now), "TimeLeft", e.ExpiresAt.Sub(now), "Rate", c.warmUpRate,
		"Limit", limit.Flows, "Waiting", c.waitQueue.Len(), "ColdFor", c.upstream.coldUntil.Sub(now), "Beat", now.Sub(c.upstream.lastHeartbeat), "Copy", p.AckSeq)
	switch decision {
	case "Wait":
		c.Counts.WarmUpWaited++
		e.WaitsForTurn = true
		return true
	case "Redirect":
		c.Counts.WarmUpRedirected++
		c.redirect(now, p, e.Carried)
	case "Refuse":
		c.Counts.WarmUpRefused++
		c.refuse(now, p, e.Carried, "WarmUpLimit")
	}
	return false
}

// othersHaveFlowsLeft reports whether another agent that reports takes a flow now.
func (c *Core) othersHaveFlowsLeft(now instant.Instant, m *message.Carried) bool {
	for _, x := range c.candidates(now, m) {
		if x.Agent != c.Self && isUsable(x) {
			return true
		}
	}
	return false
}

// isUsable reports whether a candidate has confirmed that it takes new flows and has some left.
func isUsable(x load.Candidate) bool { return !x.Unconfirmed && !x.LikelyDown && !x.NoFlowsLeft }

// redeliver delivers a packet again that the upstream may have missed. While the upstream may be
// cold, a first packet counts again, and one over the limit waits for its turn. If there is none
// in time, it is dropped: the upstream may have accepted the flow, so it is neither redirected
// nor refused.
func (c *Core) redeliver(now instant.Instant, r redeliveryPacket) {
	p, ok := c.Codec.DecodeFromCaller(r.carried.Packet)
	if c.warmUpRate == 0 || !ok || !p.OpensFlow() {
		c.Emit(action.Action{Kind: action.Deliver, Bytes: r.carried.Packet})
		return
	}
	if f := c.flows.Get(p.Flow); f != nil && f.Phase >= flowtable.Accepted {
		return
	}
	if c.warmUpAllows(now, p.Flow) {
		c.warmUp.Record(now, p.Flow)
		c.Emit(action.Action{Kind: action.Deliver, Bytes: r.carried.Packet})
		return
	}
	waited := now.Sub(r.deliveredAt)
	r.carried.WaitedMillis += uint32(waited / time.Millisecond)
	e := c.newEntry(now, p, r.carried)
	e.WasDelivered, e.WaitsForTurn = true, true
	upstreamLoad := c.upstreamLoad(now)
	_, served, ok := c.nextTurn(now, upstreamLoad)
	if !ok || served > e.ExpiresAt {
		c.dropCopy(e, "WarmUpLimit", waited)
		return
	}
	if rejected := c.waitQueue.Add(now, e, upstreamLoad); rejected != nil {
		c.redirectOrRefuse(now, rejected)
	}
}

// dropCopy logs that a copy of a first packet is dropped, since its flow may be open.
func (c *Core) dropCopy(e *admission.Entry, reason string, waited time.Duration) {
	c.LogNotable("CopyDropped", "Flow", e.Flow, "Reason", reason, "Waited", waited)
}

// updateWarmUpLimit logs when the limit begins and ceases to apply.
func (c *Core) updateWarmUpLimit(now instant.Instant) {
	limit := c.warmUpLimit(now)
	if limit.IsSet() == c.warmUpLimited {
		return
	}
	c.warmUpLimited = limit.IsSet()
	c.LogStateChange("WarmUpLimitChanged", "Limited", c.warmUpLimited, "Rate", c.warmUpRate, "Limit", limit.Flows, "ColdFor", c.upstream.coldUntil.Sub(now),
		"HasHeartbeat", c.upstream.hasHeartbeat, "Beat", now.Sub(c.upstream.lastHeartbeat), "MayHaveRestarted", c.upstream.mayHaveRestarted)
}
