package forwarding

import (
	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/action"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/message"
	"github.com/jaytack/jaytack/internal/relay/routes"
)

// heardOfNewer has a newer version fetched from a balancer of the own data centre, or
// from elsewhere where this balancer does so for its data centre or where the one that
// does has not got it, since it may be cut off.
func (c *Core) heardOfNewer(now instant.Instant, from flow.IP, dataCentre string) {
	if c.newerSince == 0 {
		c.newerSince = now
	}
	if dataCentre == c.DataCentre || c.firstNear(now) || now.Sub(c.newerSince) >= waitNear {
		c.Emit(action.Action{Kind: action.Refresh, To: from})
	}
}

// firstNear reports whether the balancer is the one of its data centre that fetches
// configurations from elsewhere: the lowest instance there that reports. The others
// get them from it, since bytes between data centres cost more.
func (c *Core) firstNear(now instant.Instant) bool {
	for _, m := range c.Roster.Balancers() {
		if m.DataCentre == c.DataCentre && m.ID() < c.Self && !m.IsSuspect(now) && m.State == message.State_StateReady {
			return false
		}
	}
	return true
}

// ApplyConfiguration puts a configuration in force unless it is older than the present one.
func (c *Core) ApplyConfiguration(now instant.Instant, cfg *routes.Configuration, source string) {
	before := c.Routes.Version()
	if !c.Routes.Apply(cfg) {
		if cfg.Version < before {
			c.LogNotable("ConfigurationOutdated", "Version", cfg.Version, "InForce", before, "Source", source)
		}
		return
	}
	c.newerSince = 0
	c.LogStateChange("ConfigurationApplied", "Version", cfg.Version, "Before", before, "Routes", len(cfg.Routes), "Source", source)
	c.reportAt = min(c.reportAt, now)
	c.retry(now)
}

// SetStoreHealth notes whether a part of the process reaches the store. A balancer that
// does not says so, so that another one watches in its place.
func (c *Core) SetStoreHealth(now instant.Instant, part string, ok bool) {
	before := len(c.lost)
	if ok {
		delete(c.lost, part)
	} else {
		c.lost[part] = true
	}
	if (before == 0) != (len(c.lost) == 0) {
		c.reportAt = min(c.reportAt, now)
	}
}

// ShouldWatchConfiguration reports whether the balancer is among the few that watch the store for
// new configurations: those with the lowest instances that report and reach the store.
func (c *Core) ShouldWatchConfiguration(now instant.Instant) bool {
	before := 0
	for _, m := range c.Roster.Balancers() {
		if m.ID() < c.Self && !m.IsSuspect(now) && m.State == message.State_StateReady {
			before++
		}
	}
	return before < watchers
}
