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

// isCurrent reports whether a heartbeat was sent by the upstream that runs now. One that
// started later than the known upstream replaces it at once. Any other incarnation replaces it
// if it goes on to send heartbeats while the known one sends none: a late heartbeat is not
// followed by others, and only one upstream runs beside the agent.
func (c *Core) isCurrent(now instant.Instant, h Heartbeat) bool {
	u := &c.upstream
	i := h.incarnation()
	switch {
	case !u.hasHeartbeat:
		return true
	case i == u.incarnation():
		return h.Sequence > u.Sequence
	case h.Born > u.Born && !slices.Contains(u.predecessors, i):
		return true
	case i != u.candidate.incarnation || h.Sequence < u.candidate.sequence:
		u.candidate = candidate{i, h.Sequence, now}
		return false
	}
	return h.Sequence > u.candidate.sequence && now.Sub(u.candidate.since) >= c.confirmAfter()
}

// confirmAfter is how long after the first heartbeat of a candidate another one confirms it:
// more than the time in which a paused process handles the heartbeats that it has missed, and
// less than the interval between heartbeats.
func (c *Core) confirmAfter() time.Duration {
	if c.HeartbeatEvery == 0 {
		return defaultHeartbeatEvery / 2
	}
	return c.HeartbeatEvery / 2
}
