package serving

import (
	"math"
	"slices"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/load"
	"github.com/jaytack/jaytack/internal/relay/message"
)

// placeAtOtherService passes a new flow on to another service of its route if the
// upstreams of this one have no free slot, so that it does not wait while upstreams that
// may serve it are idle. The other service returns it unless the flow would wait less
// there. best is the agent with the lowest cost of this service, valid if ok is set.
// It reports whether the flow has been sent on.
func (c *Core) placeAtOtherService(now instant.Instant, p flow.Packet, m *message.Carried, best flow.IP, ok bool) bool {
	cost := math.Inf(1)
	if ok {
		cost = c.loads.Cost(load.Candidate{Agent: best})
	}
	if m.PassedOnBy != "" {
		if 100*(cost+minPassOnGain) <= float64(m.WaitThere) {
			return false
		}
		return c.returnToService(now, p, m)
	}
	if len(m.Alternatives) == 0 || cost < fullCost {
		return false
	}
	return c.passOn(now, p, m, cost)
}

// passOn sends a new flow to the next alternative service that has agents and records
// its home, so that further packets of the flow follow.
func (c *Core) passOn(now instant.Instant, p flow.Packet, m *message.Carried, cost float64) bool {
	for i, service := range m.Alternatives {
		home, ok := c.Members.Home(now, service, m.DataCentre, p.Flow.Hash())
		if !ok {
			continue
		}
		m.Alternatives = m.Alternatives[i+1:]
		m.Service, m.PassedOnBy, m.WaitThere = service, c.Service, uint32(min(100*cost, math.MaxUint32))
		c.owners.SetOwner(now, p.Flow, home)
		c.Counts.PassedOn++
		c.LogRoutine("FlowPassedOn", "Flow", p.Flow, "Service", service, "Home", home, "Cost", cost, "Copy", p.AckSeq)
		c.sendPacket(now, home, m, message.Step_StepHome)
		return true
	}
	return false
}

// returnToService returns a new flow to the service that passed it on, where it is placed
// or, if alternatives are left, passed on to the next one.
func (c *Core) returnToService(now instant.Instant, p flow.Packet, m *message.Carried) bool {
	service := m.PassedOnBy
	m.PassedOnBy, m.WaitThere = "", 0
	home, ok := c.Members.Home(now, service, m.DataCentre, p.Flow.Hash())
	if !ok {
		return false
	}
	m.Service = service
	c.sendPacket(now, home, m, message.Step_StepHome)
	return true
}

// passedOnTo returns the home and the service that a flow was passed on to, if it is one
// of the given services.
func (c *Core) passedOnTo(now instant.Instant, id flow.ID, services []string) (home flow.IP, service string, ok bool) {
	owner, ok := c.owners.Owner(now, id)
	if !ok {
		return 0, "", false
	}
	r := c.Members.Member(owner)
	if r == nil || r.Service == c.Service || !slices.Contains(services, r.Service) {
		return 0, "", false
	}
	return owner, r.Service, true
}
