package forwarding

import (
	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/evacuation"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/message"
)

// lacksEvacuations reports whether the balancer has to know the evacuated data centres before it
// may forward new flows, and does not.
func (c *Core) lacksEvacuations() bool { return c.Evacuations && !c.evacuations.Known() }

// EvacuationSet returns the newest known set of evacuated data centres, known reports whether
// there is one.
func (c *Core) EvacuationSet() (set evacuation.Set, known bool) {
	return c.evacuations.Set(), c.evacuations.Known()
}

// ApplyEvacuations applies the set of evacuated data centres that the store holds. A change is
// announced to all members: few balancers hear from the store, and agents have new flows that
// wait.
func (c *Core) ApplyEvacuations(now instant.Instant, set evacuation.Set, source string) {
	known := c.evacuations.Known()
	if !c.Evacuations || !c.mergeEvacuations(now, set, "Source", source) {
		return
	}
	if known {
		c.announce(now)
	}
	c.sendReports(now)
}

// mergeReportedEvacuations applies the set that another balancer has reported. A change is
// passed on at once to the balancers to which this one reports.
func (c *Core) mergeReportedEvacuations(now instant.Instant, from flow.IP, m *message.Evacuations) {
	set, ok := evacuation.SetOf(m)
	if ok && c.Evacuations && c.mergeEvacuations(now, set, "Source", "Report", "From", from) {
		c.sendReports(now)
	}
}

// mergeEvacuations applies a set, unless it is older than the known one, and reports whether it
// changes the evacuated data centres or makes them known.
func (c *Core) mergeEvacuations(now instant.Instant, set evacuation.Set, pairs ...any) (changed bool) {
	before, known := c.EvacuationSet()
	if !c.evacuations.Merge(set) {
		return false
	}
	c.Counts.EvacuationChanges++
	c.LogStateChange("EvacuationsChanged", append([]any{
		"DataCentres", set.Names(), "Before", before.Names(), "KnownBefore", known,
		"Era", set.Era, "Revision", set.Revision,
	}, pairs...)...)
	c.nextReport = min(c.nextReport, now)
	c.forwardQueued(now)
	return true
}
