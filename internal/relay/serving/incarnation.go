package serving

import (
	"slices"
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
)

const (
	// maxPredecessors limits the predecessors of the upstream that are remembered.
	maxPredecessors = 8
	// defaultHeartbeatEvery is used if the settings do not say how often heartbeats are sent.
	defaultHeartbeatEvery = time.Second
)

// incarnation identifies one start of an upstream. Start times do not order incarnations for
// certain, since the time of day may jump between two of them.
type incarnation struct {
	upstream string
	born     int64
}

func (h Heartbeat) incarnation() incarnation { return incarnation{h.Upstream, h.Born} }

// candidate is an incarnation whose heartbeats may be late ones of an earlier upstream, or the
// first ones of an upstream that started after the time of day had jumped back.
type candidate struct {
	incarnation
	// sequence is that of its first heartbeat, which arrived at since.
	sequence int64
	since    instant.Instant
}

// recordPredecessor records that an incarnation has been replaced.
func (u *upstreamState) recordPredecessor(i incarnation) {
	u.predecessors = append(u.predecessors, i)
	if n := len(u.predecessors); n > maxPredecessors {
		u.predecessors = u.predecessors[n-maxPredecessors:]
	}
}

// isCurrent reports whether a heartbeat was sent by the upstream that runs now. A single
// heartbeat of another incarnation shows neither that it still runs nor that the known one has
// ended: it may have been under way while its sender crashed and the known one started. Neither
// does a high sequence show that later lower ones are late. So an incarnation that two
// heartbeats have confirmed is replaced only once there is a sign that it has ended. One that
// did not start later also has to go on sending heartbeats while the known one sends none: a
// late heartbeat is not followed by others, and only one upstream runs beside the agent.
func (c *Core) isCurrent(now instant.Instant, h Heartbeat) bool {
	u := &c.upstream
	i := h.incarnation()
	mayReplace := !u.isConfirmed || c.mayHaveEnded(now)
	switch {
	case !u.hasHeartbeat:
		return true
	case i == u.incarnation() && h.Sequence > u.Sequence:
		return true
	case i != u.incarnation() && h.Born > u.Born && !slices.Contains(u.predecessors, i) && mayReplace:
		return true
	case i != u.candidate.incarnation || h.Sequence < u.candidate.sequence:
		u.candidate = candidate{i, h.Sequence, now}
		return false
	}
	return mayReplace && h.Sequence > u.candidate.sequence && now.Sub(u.candidate.since) >= c.confirmAfter()
}

// mayHaveEnded reports whether there is a sign that the known upstream has ended: its heartbeat
// is overdue, or since the last one it has refused connections, lost a flow or said that it leaves.
func (c *Core) mayHaveEnded(now instant.Instant) bool {
	u := &c.upstream
	return c.isHeartbeatOverdue(now) || u.hasLeft || u.leaveNoticedAt != 0 || u.refusedSince > u.lastHeartbeat || u.lostFlowAt > u.lastHeartbeat
}

// confirmAfter is how long after the first heartbeat of a candidate another one confirms it:
// more than the time in which a paused process handles the heartbeats that it has missed, and
// less than the interval between heartbeats.
func (c *Core) confirmAfter() time.Duration {
	return c.heartbeatEvery() / 2
}

// heartbeatEvery returns the interval between the upstream's heartbeats.
func (c *Core) heartbeatEvery() time.Duration {
	if c.HeartbeatEvery == 0 {
		return defaultHeartbeatEvery
	}
	return c.HeartbeatEvery
}

// isHeartbeatOverdue reports whether the upstream's next heartbeat is late by half an interval in
// the time in which this process has listened: after a pause it handles unread packets first, and
// the heartbeats among them may come last.
func (c *Core) isHeartbeatOverdue(now instant.Instant) bool {
	return c.listenTime(now)-c.upstream.heartbeatListenTime > c.heartbeatEvery()+c.confirmAfter()
}
