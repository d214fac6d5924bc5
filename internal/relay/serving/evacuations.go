package serving

import (
	"slices"
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/admission"
	"github.com/jaytack/jaytack/internal/relay/evacuation"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/flowtable"
	"github.com/jaytack/jaytack/internal/relay/load"
	"github.com/jaytack/jaytack/internal/relay/membership"
	"github.com/jaytack/jaytack/internal/relay/message"
)

// EvacuationSet returns the newest set of evacuated data centres that this agent has seen, known
// reports whether it has seen one.
func (c *Core) EvacuationSet() (set evacuation.Set, known bool) {
	return c.evacuations.Set(), c.evacuations.Known()
}

// isEvacuated reports whether this agent's data centre is evacuated.
func (c *Core) isEvacuated() bool { return c.evacuations.Contains(c.DataCentre) }

// exchangeEvacuations applies the set in a packet, and replaces that of a first packet by the
// newest one that this agent knows.
func (c *Core) exchangeEvacuations(now instant.Instant, from flow.IP, p flow.Packet, m *message.Carried) {
	if m.Evacuations != c.evacuations.Message() {
		c.mergeEvacuations(now, from, m.Evacuations)
	}
	if p.OpensFlow() {
		m.Evacuations = c.evacuations.Message()
	}
}

// mergeEvacuations applies a set of evacuated data centres unless it is older than the known one.
func (c *Core) mergeEvacuations(now instant.Instant, from flow.IP, m *message.Evacuations) {
	set, ok := evacuation.SetOf(m)
	before, known := c.EvacuationSet()
	if !ok || !c.evacuations.Merge(set) {
		return
	}
	c.Counts.EvacuationChanges++
	c.LogStateChange("EvacuationsChanged", "DataCentres", set.Names(), "Before", before.Names(), "KnownBefore", known,
		"Era", set.Era, "Revision", set.Revision, "From", from, "Own", c.isEvacuated(), "Waiting", c.waitQueue.Len())
	if c.isEvacuated() {
		c.redirectWaiting(now)
	}
}

// redirectWaiting forwards all new flows that wait for the upstream. One whose first packet was
// delivered before may be open, so that its queued copy is dropped; the caller repeats it.
func (c *Core) redirectWaiting(now instant.Instant) {
	// Flows leave the queue in order while there is room.
	room := admission.UpstreamLoad{Slots: admission.MaxFlows}
	for {
		e, ok := c.waitQueue.Next(now, room)
		if !ok {
			return
		}
		if p, ok := c.Codec.DecodeFromCaller(e.Carried.Packet); ok && !e.WasDelivered && !c.wasOffered(now, p.Flow) {
			c.redirectEvacuated(now, p, e.Carried, now.Sub(e.ArrivedAt))
		}
	}
}

// redirectEvacuated returns a new flow to its home since this data centre is evacuated. waited
// is how long the flow has waited here.
func (c *Core) redirectEvacuated(now instant.Instant, p flow.Packet, m *message.Carried, waited time.Duration) {
	c.Counts.Evacuated++
	m.WaitedMillis += uint32(waited / time.Millisecond)
	if !c.knowsAllFlows(now) {
		// The flow may be open here, so the home must not reset it if it finds no other agent.
		m.WaitedMillis = max(m.WaitedMillis, uint32(flow.MayBeOpenAfter/time.Millisecond))
	}
	set := c.evacuations.Set()
	c.LogNotable("FlowRedirected", "Flow", p.Flow, "Reason", "Evacuated", "Era", set.Era, "Revision", set.Revision, "Waited", waited, "Copy", p.AckSeq)
	c.redirect(now, p, m)
}

// wasOffered reports whether a first packet is of no new flow: the upstream has accepted the flow
// and it has not ended, or an earlier copy has been delivered while the caller still repeats it.
// A copy of an accepted flow may arrive much later, from the backlog of a paused process.
func (c *Core) wasOffered(now instant.Instant, id flow.ID) bool {
	f := c.flows.Get(id)
	if f == nil || f.HasEnded() {
		return false
	}
	return f.Phase >= flowtable.Accepted || f.Phase == flowtable.Offered && now.Sub(f.StartedAt) <= flow.OpenTimeout
}

// localDataCentre returns the data centre whose agents are near for a new flow: that of the
// balancer, or if it is evacuated, that of this agent.
func (c *Core) localDataCentre(m *message.Carried) string {
	if c.evacuations.Contains(m.DataCentre) {
		return c.DataCentre
	}
	return m.DataCentre
}

// delegatePlacement lets an agent of another data centre place a new flow, if this data centre is
// evacuated and some agents of the others are not among the candidates. An agent knows the load
// of many agents of its own data centre, but only of a few of each other one.
func (c *Core) delegatePlacement(now instant.Instant, p flow.Packet, m *message.Carried, candidates []load.Candidate) bool {
	if !c.isEvacuated() || len(m.Excluded) >= maxPlacements {
		return false
	}
	delegate, others := c.delegate(now, p.Flow.Hash(), m)
	if delegate == 0 || others <= len(candidates) {
		return false
	}
	c.Counts.PassedOn++
	// Excluded bounds how often the flow is passed on.
	m.Excluded = append(m.Excluded, uint32(c.Self))
	c.LogRoutine("FlowPassedOn", "Flow", p.Flow, "Reason", "Evacuated", "Agent", delegate, "Candidates", len(candidates), "Others", others, "Copy", p.AckSeq)
	c.sendPacket(now, delegate, m, message.Step_StepHome)
	return true
}

// delegate returns the agent that places a flow in place of this one, 0 if there is none, and the
// number of agents in data centres that are not evacuated and may accept it. It prefers agents
// that report to this one, since they are known to be alive, and among equals the highest
// rendezvous weight.
func (c *Core) delegate(now instant.Instant, hash uint64, m *message.Carried) (best flow.IP, others int) {
	bestReports, bestWeight := false, uint64(0)
	for _, r := range c.Members.Agents(c.Service) {
		if c.evacuations.Contains(r.DataCentre) || !membership.IsStaying(r.State) || slices.Contains(m.Excluded, r.Instance) {
			continue
		}
		others++
		if r.IsSuspect(now) {
			continue
		}
		reports, weight := r.ReportsRegularly(now), flow.RendezvousWeight(hash, r.ID())
		if best == 0 || reports && !bestReports || reports == bestReports && weight > bestWeight {
			best, bestReports, bestWeight = r.ID(), reports, weight
		}
	}
	return best, others
}

// wasPlacedByDelegate reports whether another agent has placed a flow for its home, which then
// does not know the owner.
func (c *Core) wasPlacedByDelegate(f *flowtable.Flow, home flow.IP) bool {
	return f.PlacedBy != 0 && f.PlacedBy != home && c.evacuations.Contains(f.DataCentre)
}

// refusalReason returns the reason for the refusal of a new flow: another one than usual if all
// agents of the service are in evacuated data centres.
func (c *Core) refusalReason(usual string) string {
	if !c.isEvacuated() {
		return usual
	}
	for _, r := range c.Members.Agents(c.Service) {
		if !c.evacuations.Contains(r.DataCentre) {
			return usual
		}
	}
	return "AllEvacuated"
}
