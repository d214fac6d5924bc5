package membership

import (
	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/flow"
)

// Home returns the home of a flow whose packets arrive in a data centre, false if the
// service has no agents. It prefers agents that are not suspect, then those that are
// staying, then those of the data centre, and among equals the highest rendezvous
// weight.
func (t *Table) Home(now instant.Instant, service, dataCentre string, hash uint64) (flow.IP, bool) {
	var best flow.IP
	bestRank, bestWeight := -1, uint64(0)
	for _, m := range t.agentsByService[service] {
		rank := t.rank(now, m, dataCentre)
		if weight := flow.RendezvousWeight(hash, m.ID()); rank > bestRank || rank == bestRank && weight > bestWeight {
			best, bestRank, bestWeight = m.ID(), rank, weight
		}
	}
	return best, bestRank >= 0
}

// rank returns an agent's preference as a home; higher is better.
func (t *Table) rank(now instant.Instant, m *Member, dataCentre string) int {
	rank := 0
	if m.ID() == t.self || !m.IsSuspect(now) {
		rank += 4
	}
	if IsStaying(m.State) {
		rank += 2
	}
	if m.DataCentre == dataCentre {
		rank++
	}
	return rank
}
