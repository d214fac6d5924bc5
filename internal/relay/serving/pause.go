package serving

import (
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/message"
)

const (
	// pauseTickGap is the time between two ticks from which on the process counts as paused:
	// callers then have sent their first packets again.
	pauseTickGap = 200 * time.Millisecond
	// backlogPeriod is how long after a pause messages may be handled that arrived in it.
	backlogPeriod = 300 * time.Millisecond
)

// recordTick records the time of a tick and the pause of the process before it, if any.
func (c *Core) recordTick(now instant.Instant) {
	if c.paused(now) {
		c.resumedAt = now
	}
	c.lastTick = now
}

// paused reports whether the process was paused between the last tick and now.
func (c *Core) paused(now instant.Instant) bool {
	return c.lastTick != 0 && now.Sub(c.lastTick) >= pauseTickGap
}

// resumedLately reports whether messages handled now may have arrived in a pause of the process.
func (c *Core) resumedLately(now instant.Instant) bool {
	return c.paused(now) || c.resumedAt != 0 && now.Sub(c.resumedAt) < backlogPeriod
}

// countUnreadTime counts a packet as waiting if it may have been unread in a pause of the
// process: its flow may then be open at another upstream that got a later copy.
func (c *Core) countUnreadTime(now instant.Instant, m *message.Carried) {
	if c.resumedLately(now) {
		m.WaitedMillis = max(m.WaitedMillis, uint32(flow.MayBeOpenAfter/time.Millisecond))
	}
}
