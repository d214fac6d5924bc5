package serving

import (
	"maps"
	"slices"
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/load"
	"github.com/jaytack/jaytack/internal/relay/locality"
	"github.com/jaytack/jaytack/internal/relay/message"
)

// DataCentreSummary describes another data centre for metrics.
type DataCentreSummary struct {
	// Share is the share of new flows that may leave for it.
	Share float64
	// RoundTripMillis is the measured round trip, 0 if it is not known.
	RoundTripMillis float64
}

// Locality returns what the agent, as a home, knows and has decided about each other data
// centre with agents of its service. It is empty unless CrossDataCentreCost is set.
func (c *Core) Locality(now instant.Instant) map[string]DataCentreSummary {
	out := make(map[string]DataCentreSummary)
	if !c.CrossDataCentreCost {
		return out
	}
	for _, name := range c.remoteDataCentres() {
		roundTrip, _ := c.roundTrips.get(now, name)
		out[name] = DataCentreSummary{float64(c.locality.Share(name)), float64(roundTrip) / float64(time.Millisecond)}
	}
	return out
}

// remoteDataCentres returns the other data centres with agents of the service, sorted.
func (c *Core) remoteDataCentres() []string {
	names := make(map[string]bool)
	for _, m := range c.Members.Agents(c.Service) {
		if m.DataCentre != c.DataCentre {
			names[m.DataCentre] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// updateLocality recomputes the shares of new flows that may leave the data centre. It waits
// after a pause of the process until the reports that arrived in it have been read. An agent
// without an upstream is no home while others run, and hears few of its peers: it has no shares.
func (c *Core) updateLocality(now instant.Instant) {
	if !c.CrossDataCentreCost || c.resumedAt != 0 && now.Sub(c.resumedAt) < backlogPeriod {
		return
	}
	c.sendRoundTripRequests(now)
	if c.state == message.State_StateGone {
		c.locality = locality.New()
		return
	}
	groups := make(map[string]*locality.Group)
	for _, name := range append(c.remoteDataCentres(), c.DataCentre) {
		groups[name] = &locality.Group{}
	}
	for _, candidate := range c.candidates(now, &message.Carried{DataCentre: c.DataCentre}) {
		c.addToGroup(now, groups, candidate)
	}
	in := locality.Inputs{Local: *groups[c.DataCentre], ServiceTime: c.flows.ServiceTime()}
	for _, name := range c.remoteDataCentres() {
		roundTrip, age := c.roundTrips.orAssumed(now, name)
		in.Remotes = append(in.Remotes, locality.Remote{DataCentre: name, Group: *groups[name], RoundTrip: roundTrip, RoundTripAge: age})
	}
	for _, x := range c.locality.Update(now, in) {
		c.LogStateChange("LeavingShareChanged", "DataCentre", x.DataCentre, "Share", x.After, "Before", x.Before, "Reason", x.Reason,
			"Saved", x.Saved, "ServiceTime", in.ServiceTime, "RoundTrip", x.Remote.RoundTrip, "RoundTripAge", x.Remote.RoundTripAge,
			"LocalLoad", x.LocalLoad, "LocalUpstreams", x.Local.Upstreams, "LocalAge", x.Local.Age,
			"RemoteLoad", x.RemoteLoad, "RemoteUpstreams", x.Remote.Upstreams, "RemoteAge", x.Remote.Age)
	}
}

// addToGroup adds an agent that takes new flows to the group of its data centre. Agents count
// only once they have confirmed that their upstream is ready: after the loss of all processes
// the others have an unknown load, and their upstreams may not be running.
func (c *Core) addToGroup(now instant.Instant, groups map[string]*locality.Group, candidate load.Candidate) {
	if candidate.LikelyDown || candidate.Unconfirmed {
		return
	}
	g, age := groups[c.DataCentre], time.Duration(0)
	if m := c.Members.Member(candidate.Agent); m != nil && candidate.Agent != c.Self {
		g = groups[m.DataCentre]
		age = now.Sub(m.LastReport)
	}
	slots, requests := c.loads.Demand(candidate.Agent)
	g.Upstreams++
	g.Slots += slots
	g.Requests += requests
	g.Age = max(g.Age, age)
}

// filterRemote removes the remote candidates for which a new flow may not leave, and sets the
// cost of the others. A flow that a local agent has turned down may leave at once, since it
// would be refused otherwise, and so do all flows if no local upstream is known to take them,
// for example while none has been heard after the loss of all processes. Flows of other data
// centres, which have too few homes of their own, are placed by load.
func (c *Core) filterRemote(now instant.Instant, hash uint64, m *message.Carried, candidates []load.Candidate) []load.Candidate {
	if !c.CrossDataCentreCost || m.DataCentre != c.DataCentre {
		return candidates
	}
	mayLeave := len(m.Excluded) > 0 || !slices.ContainsFunc(candidates, func(x load.Candidate) bool { return !x.Remote && isUsable(x) })
	var out []load.Candidate
	for _, x := range candidates {
		if x.Remote {
			name := c.Members.Member(x.Agent).DataCentre
			if !mayLeave && !locality.MayLeave(hash, c.locality.Share(name)) {
				continue
			}
			roundTrip, _ := c.roundTrips.orAssumed(now, name)
			x.Distance = float64(roundTrip) / float64(c.flows.ServiceTime())
		}
		out = append(out, x)
	}
	return out
}

// countPlacement counts a placement by where the upstream is.
func (c *Core) countPlacement(remote bool) {
	if remote {
		c.Counts.PlacedRemotely++
	} else {
		c.Counts.PlacedLocally++
	}
}
