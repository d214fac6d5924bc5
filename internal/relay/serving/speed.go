package serving

import (
	"math"
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
)

// minSpeedChange is the relative change of the upstream's relative speed that is logged:
// more than the error of an estimate.
const minSpeedChange = 0.25

// Speed describes the upstream's usual service time and its group, as known to this agent.
type Speed struct {
	ServiceTimeMicros int64
	Samples           int
	AgeMillis         int64
	// ReportedMicros is what others are told, 0 if the service time is not known.
	ReportedMicros int64
	// Relative is the ratio to the group's median as it counts for placement.
	Relative     float64
	MedianMicros int64
	// Uneven is set if the speeds of the group count for placement.
	Uneven bool
	// FlowLoad is the fraction of time in which an open flow has a request in progress at an
	// upstream of median speed.
	FlowLoad float64
}

// Speed returns the upstream's usual service time and that of its group.
func (c *Core) Speed(now instant.Instant) Speed {
	own, group := c.flows.Speed(now), c.loads.GroupSpeed()
	return Speed{
		ServiceTimeMicros: own.ServiceTime.Microseconds(), Samples: own.Samples, AgeMillis: own.Age.Milliseconds(),
		ReportedMicros: own.Report(group.Median).Microseconds(), Relative: c.loads.Speed(c.Self),
		MedianMicros: group.Median.Microseconds(), Uneven: group.Uneven, FlowLoad: group.FlowLoad,
	}
}

// reportedServiceTime returns the usual service time of this agent's upstream as others are
// told, 0 if it is not known.
func (c *Core) reportedServiceTime(now instant.Instant) time.Duration {
	return c.flows.Speed(now).Report(c.loads.GroupSpeed().Median)
}

// logSpeed logs a change of the upstream's relative speed.
func (c *Core) logSpeed(now instant.Instant) {
	ratio := c.loads.Speed(c.Self)
	if ratio == c.loggedSpeed || ratio != 1 && c.loggedSpeed != 1 && math.Abs(ratio/c.loggedSpeed-1) < minSpeedChange {
		return
	}
	own := c.flows.Speed(now)
	c.LogStateChange("RelativeSpeedChanged", "Relative", ratio, "Before", c.loggedSpeed, "ServiceTime", own.ServiceTime,
		"Median", c.loads.GroupSpeed().Median, "Samples", own.Samples, "Age", own.Age)
	c.loggedSpeed = ratio
}
