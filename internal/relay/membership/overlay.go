package membership

import (
	"cmp"
	"slices"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/message"
)

// Limits on the agents to which an agent reports its load. A service with fewer agents
// reports from all to all.
const (
	// maxLocalPeers is the number of agents of the agent's own data centre: enough that
	// the flows of one home do not load the same few upstreams.
	maxLocalPeers = 8
	// maxRemotePeers is the number of agents of all other data centres together.
	maxRemotePeers = 8
)

// Overlay describes which agents of a service report their load to each other: in each
// data centre an agent reports to those that follow its position in a ring. The number of
// reports of an agent is thus bounded, and all processes with the same members compute the
// same overlay.
type Overlay struct {
	// Local and Remote are the agents to which an agent reports, in its own and in other
	// data centres.
	Local, Remote []flow.IP
	// Reporters holds the agents that report to it.
	Reporters map[flow.IP]bool
}

// ring returns the agents of a data centre in the order of the overlay's ring, which is
// unrelated to the order in which operators replace instances.
func ring(agents []*Member, dataCentre string) []flow.IP {
	var out []flow.IP
	for _, m := range agents {
		if m.DataCentre == dataCentre && m.State != message.State_StateGone {
			out = append(out, m.ID())
		}
	}
	slices.SortFunc(out, func(a, b flow.IP) int {
		return cmp.Or(cmp.Compare(flow.RendezvousWeight(0, a), flow.RendezvousWeight(0, b)), cmp.Compare(a, b))
	})
	return out
}

// successors returns up to n agents of a ring from position i on.
func successors(r []flow.IP, i, n int) []flow.IP {
	var out []flow.IP
	for k := range min(n, len(r)) {
		out = append(out, r[(i+k)%len(r)])
	}
	return out
}

// newOverlay returns the overlay of agent self among the agents of its service, which need
// not include self.
func newOverlay(self flow.IP, dataCentre string, agents []*Member) Overlay {
	others := slices.DeleteFunc(slices.Clone(agents), func(m *Member) bool { return m.ID() == self })
	own := &Member{Record: &message.Record{Instance: uint32(self), DataCentre: dataCentre}}
	all := append(others, own)
	var centres []string
	for _, m := range all {
		if !slices.Contains(centres, m.DataCentre) {
			centres = append(centres, m.DataCentre)
		}
	}
	o := Overlay{Reporters: make(map[flow.IP]bool)}
	local := ring(all, dataCentre)
	position := slices.Index(local, self)
	for i, a := range local {
		if a == self {
			o.Local = successors(local, i+1, min(maxLocalPeers, len(local)-1))
		} else if slices.Contains(successors(local, i+1, maxLocalPeers), self) {
			o.Reporters[a] = true
		}
	}
	if len(centres) == 1 {
		return o
	}
	perCentre := max(maxRemotePeers/(len(centres)-1), 1)
	for _, c := range centres {
		if c == dataCentre {
			continue
		}
		remote := ring(all, c)
		if len(remote) == 0 {
			continue
		}
		o.Remote = append(o.Remote, successors(remote, position*len(remote)/len(local), perCentre)...)
		for i, a := range remote {
			if slices.Contains(successors(local, i*len(local)/len(remote), perCentre), self) {
				o.Reporters[a] = true
			}
		}
	}
	return o
}

// Overlay returns the overlay of this process's agent. The caller must not modify it.
func (t *Table) Overlay() *Overlay { return &t.overlay }

// Summary describes a table for metrics.
type Summary struct {
	Agents, Balancers int
	// Suspect counts the members whose reports are overdue, Reporting those that report
	// regularly.
	Suspect, Reporting int
	// OldestReportMillis is the greatest age of a last report of the latter, which is the
	// age of the loads that placements use.
	OldestReportMillis int64
}

// Summary returns the sizes and ages of the table.
func (t *Table) Summary(now instant.Instant) Summary {
	s := Summary{Balancers: len(t.balancers), Agents: len(t.members) - len(t.balancers)}
	for _, m := range t.members {
		switch {
		case m.IsSuspect(now):
			s.Suspect++
		case m.ReportsRegularly(now):
			s.Reporting++
			s.OldestReportMillis = max(s.OldestReportMillis, now.Sub(m.LastReport).Milliseconds())
		}
	}
	return s
}
