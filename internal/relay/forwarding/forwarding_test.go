package forwarding_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/forwarding"
	"github.com/jaytack/jaytack/internal/relay/message"
	"github.com/jaytack/jaytack/internal/relay/routes"
	"github.com/jaytack/jaytack/internal/relay/verdict"
)

// report tells a core of a balancer with a version in force.
func report(c *forwarding.Core, now instant.Instant, from flow.IP, dataCentre string, sequence uint64, version int64) {
	c.Message(now, from, &message.Envelope{Body: &message.Envelope_Report{Report: &message.Report{Record: &message.Record{
		Instance: uint32(from), DataCentre: dataCentre, Incarnation: 1, Sequence: sequence, State: message.State_StateReady, Version: version,
	}}}})
}

// refreshes returns the balancers that a core wants to fetch the configuration from.
func refreshes(c *forwarding.Core) []flow.IP {
	out := []flow.IP{}
	actions, _ := c.Take()
	for _, a := range actions {
		if a.Kind == verdict.Refresh {
			out = append(out, a.To)
		}
	}
	return out
}

// TestConfigurationCrossesToADataCentreOnce replays a storm of versions that balancers
// elsewhere have first: one balancer of the data centre fetches them, the next one
// when that falls silent, and the others from it.
func TestConfigurationCrossesToADataCentreOnce(t *testing.T) {
	now := instant.Instant(time.Second)
	c := forwarding.New(forwarding.Config{Self: 20, DataCentre: "a"})
	c.Configure(now, &routes.Configuration{Version: 1}, "Read")
	report(c, now, 10, "a", 1, 1)
	report(c, now, 5, "b", 1, 2)
	qt.Assert(t, refreshes(c), qt.DeepEquals, []flow.IP{}, qt.Commentf("10 fetches it"))
	report(c, now, 10, "a", 2, 2)
	qt.Assert(t, refreshes(c), qt.DeepEquals, []flow.IP{10})
	now = now.Add(time.Second)
	report(c, now, 5, "b", 2, 2)
	qt.Assert(t, refreshes(c), qt.DeepEquals, []flow.IP{5}, qt.Commentf("10 is silent"))
}
