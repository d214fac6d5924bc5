package forwarding

import (
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/action"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/message"
	"github.com/jaytack/jaytack/internal/relay/routes"
)

// handleNewerVersion fetches a newer version from a balancer of the same data centre.
// It fetches from another data centre only if this balancer is the fetcher of its data
// centre, or after localFetchTimeout, since the fetcher may be cut off.
func (c *Core) handleNewerVersion(now instant.Instant, from flow.IP, dataCentre string, v routes.Version) {
	if c.newerVersionSince == 0 {
		c.newerVersionSince = now
	}
	if dataCentre == c.DataCentre || c.isDataCentreFetcher(now) || now.Sub(c.newerVersionSince) >= localFetchTimeout {
		c.Emit(action.Action{Kind: action.Refresh, To: from, Version: v})
	}
}

// isDataCentreFetcher reports whether this balancer fetches configurations from other
// data centres: it has the lowest instance of the ready, reporting balancers in its data
// centre. The others fetch from it, since traffic between data centres costs more.
func (c *Core) isDataCentreFetcher(now instant.Instant) bool {
	for _, m := range c.Members.Balancers() {
		if m.DataCentre == c.DataCentre && m.ID() < c.Self && m.IsReporting(now) && m.State == message.State_StateReady {
			return false
		}
	}
	return true
}

// ApplyConfiguration applies a configuration unless it is older than the one in force.
func (c *Core) ApplyConfiguration(now instant.Instant, cfg *routes.Configuration, source string) {
	previous := c.Routes.Version()
	if !c.Routes.Apply(now, cfg) {
		if cfg.Version < previous {
			c.LogNotable("ConfigurationOutdated", "Version", cfg.Version, "InForce", previous, "Source", source)
		}
		return
	}
	c.LogStateChange("ConfigurationApplied", "Version", cfg.Version, "Before", previous, "Routes", len(cfg.Routes), "Source", source, "Reported", c.sinceNewerVersion(now))
	c.newerVersionSince = 0
	c.restoreHistory(now)
	c.nextReport = min(c.nextReport, now)
	c.forwardQueued(now)
}

// sinceNewerVersion returns how long ago a member first reported a newer version than the
// one in force, or "Never".
func (c *Core) sinceNewerVersion(now instant.Instant) any {
	if c.newerVersionSince == 0 {
		return "Never"
	}
	return now.Sub(c.newerVersionSince)
}

// SetStoreHealth records whether a component of the process can reach the store. A
// balancer that cannot reports StateSilent, so that another one watches in its place.
func (c *Core) SetStoreHealth(now instant.Instant, component string, ok bool) {
	failedBefore := len(c.failedComponents)
	if ok {
		delete(c.failedComponents, component)
	} else {
		c.failedComponents[component] = true
	}
	if (failedBefore == 0) != (len(c.failedComponents) == 0) {
		c.nextReport = min(c.nextReport, now)
	}
}

// ConfirmVersion records that the store has confirmed the version in force as the newest;
// age is the age of its answer.
func (c *Core) ConfirmVersion(now instant.Instant, age time.Duration) {
	c.versionValidUntil = max(c.versionValidUntil, now.Add(versionValidity-age))
}

// ShouldWatchConfiguration reports whether this balancer must watch the store for new
// configurations: fewer than maxConfigurationWatchers lower instances report, can reach the
// store and have heard from it recently. If too few have, the next ones take over in turn,
// so that not all balancers call the store at once when it fails or the fleet starts.
func (c *Core) ShouldWatchConfiguration(now instant.Instant) bool {
	watchers, candidates := 0, 0
	for _, m := range c.Members.Balancers() {
		switch {
		case m.ID() >= c.Self || m.State != message.State_StateReady || m.IsSuspect(now):
		case m.IsReporting(now) && now < c.validUntil[m.ID()]:
			watchers++
		default:
			candidates++
		}
	}
	if watchers >= maxConfigurationWatchers {
		c.unwatchedSince = 0
		return false
	}
	if c.unwatchedSince == 0 {
		c.unwatchedSince = now
	}
	delay := time.Duration((watchers+candidates)/maxConfigurationWatchers) * watchTakeoverInterval
	if c.Members.Len() == 0 {
		delay = maxWatchTakeoverDelay
	}
	return now.Sub(c.unwatchedSince) >= min(delay, maxWatchTakeoverDelay)
}
