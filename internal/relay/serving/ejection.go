package serving

import (
	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/ejection"
	"github.com/jaytack/jaytack/internal/relay/load"
)

// maxEjectedShare is the share of candidates above which ejections are ignored: the others could
// not serve all flows, and failures of so many have a common cause that new places do not mend.
const maxEjectedShare = 0.5

// recordOutcome records the outcome of a request at the upstream.
func (c *Core) recordOutcome(now instant.Instant, answered bool) {
	if !answered {
		c.Counts.RequestsFailed++
	}
	if !c.EjectFailing {
		return
	}
	if answered {
		c.ejection.RecordAnswer(now)
	} else {
		c.ejection.RecordFailure(now)
	}
	c.updateEjection(now)
}

// updateEjection logs and reports a change of the upstream's ejection.
func (c *Core) updateEjection(now instant.Instant) {
	before := c.ejectionState
	c.ejectionState = c.ejection.State(now)
	if c.ejectionState == before {
		return
	}
	failed, all := c.ejection.Failures(now)
	c.LogStateChange("UpstreamEjection", "State", c.ejectionState, "Before", before, "Upstream", c.upstream.Upstream, "Failed", failed, "Requests", all)
	if c.ejectionState == ejection.Ejected {
		c.Counts.Ejections++
	}
	c.reportSoon(now)
}

// isFailing reports whether the upstream is ejected.
func (c *Core) isFailing(now instant.Instant) bool {
	return c.EjectFailing && c.ejection.State(now) == ejection.Ejected
}

// reportedBusy returns the requests that homes are told. An upstream on trial counts as having a
// request more for each slot, so that it gets few flows although it is idle.
func (c *Core) reportedBusy(now instant.Instant) int {
	n := c.flows.InSystem(now) + c.waitQueue.Len()
	if c.EjectFailing && c.ejection.State(now) == ejection.OnTrial {
		n += c.slots()
	}
	return n
}

// EjectionState returns the state of the upstream's ejection for metrics.
func (c *Core) EjectionState(now instant.Instant) ejection.State { return c.ejection.State(now) }

// avoidFailing marks the candidates with ejected upstreams so that they get flows only if no
// other one does, unless they are most of the candidates.
func avoidFailing(candidates []load.Candidate) []load.Candidate {
	failing, usable := 0, 0
	for _, x := range candidates {
		if x.LikelyDown {
			continue
		}
		usable++
		if x.Failing {
			failing++
		}
	}
	if float64(failing) > maxEjectedShare*float64(usable) {
		return candidates
	}
	for i := range candidates {
		candidates[i].LikelyDown = candidates[i].LikelyDown || candidates[i].Failing
	}
	return candidates
}
