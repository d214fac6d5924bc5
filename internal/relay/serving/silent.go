package serving

import (
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/lookup"
)

const (
	// silentAfter is how long an agent has to leave probes without any message before it
	// counts as silent: several round trips between data centres.
	silentAfter = 300 * time.Millisecond
	// silentProbeInterval is the interval between the probes that a silent agent still gets,
	// for whatever flow, to find out when it is back.
	silentProbeInterval = 200 * time.Millisecond
)

// silentAgent is an agent that has not sent anything since it was probed.
type silentAgent struct {
	probedSince, lastProbe instant.Instant
}

// mayProbe reports whether a probe to an agent is due. Searches for many flows would else
// send probes without end to agents that are gone while the store still lists them.
func (c *Core) mayProbe(now instant.Instant, a flow.IP) bool {
	s := c.silentAgents[a]
	if s == nil {
		c.silentAgents[a] = &silentAgent{now, now}
		return true
	}
	if now.Sub(s.probedSince) > silentAfter && now.Sub(s.lastProbe) < silentProbeInterval {
		return false
	}
	s.lastProbe = now
	return true
}

// recordHeard records that an agent has sent a message. If it was silent, the searches that
// it has not answered probe it again with the next tick.
func (c *Core) recordHeard(now instant.Instant, a flow.IP) {
	s := c.silentAgents[a]
	if s == nil {
		return
	}
	delete(c.silentAgents, a)
	if now.Sub(s.probedSince) <= silentAfter {
		return
	}
	c.owners.Searches(func(_ flow.ID, search *lookup.Search) {
		if !search.Denied(a) {
			search.Retries = 0
		}
	})
}
