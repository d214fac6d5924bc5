package forwarding_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/action"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/forwarding"
	"github.com/jaytack/jaytack/internal/relay/message"
	"github.com/jaytack/jaytack/internal/relay/routes"
)

// report tells a core of a balancer with a version in force.
func report(c *forwarding.Core, now instant.Instant, from flow.IP, dataCentre string, sequence uint64, version int64) {
	reportState(c, now, from, dataCentre, sequence, version, message.State_StateReady)
}

func reportState(c *forwarding.Core, now instant.Instant, from flow.IP, dataCentre string, sequence uint64, version int64, s message.State) {
	c.HandleMessage(now, from, &message.Envelope{Body: &message.Envelope_Report{Report: &message.Report{Record: &message.Record{
		Instance: uint32(from), DataCentre: dataCentre, Incarnation: 1, Sequence: sequence, State: s, Version: version,
	}}}})
}

// refreshes returns the balancers that a core wants to fetch the configuration from.
func refreshes(c *forwarding.Core) []flow.IP {
	out := []flow.IP{}
	actions, _ := c.TakeOutput()
	for _, a := range actions {
		if a.Kind == action.Refresh {
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
	c.ApplyConfiguration(now, &routes.Configuration{Version: 1}, "Read")
	report(c, now, 10, "a", 1, 1)
	report(c, now, 5, "b", 1, 2)
	qt.Assert(t, refreshes(c), qt.DeepEquals, []flow.IP{}, qt.Commentf("10 fetches it"))
	report(c, now, 10, "a", 2, 2)
	qt.Assert(t, refreshes(c), qt.DeepEquals, []flow.IP{10})
	now = now.Add(time.Second)
	report(c, now, 5, "b", 2, 2)
	qt.Assert(t, refreshes(c), qt.DeepEquals, []flow.IP{5}, qt.Commentf("10 is silent"))
}

// TestCutPeerDoesNotKeepConfigurationsAway replays a cut between data centres that
// spares this balancer: the one that should fetch for the data centre lives and reports,
// but cannot reach those that have the newer version.
func TestCutPeerDoesNotKeepConfigurationsAway(t *testing.T) {
	now := instant.Instant(time.Second)
	c := forwarding.New(forwarding.Config{Self: 20, DataCentre: "a"})
	c.ApplyConfiguration(now, &routes.Configuration{Version: 1}, "Read")
	// Reports come every 0.4 s, configurations are to be in force after 3 s.
	for i := range uint64(5) {
		report(c, now, 10, "a", i+1, 1)
		report(c, now, 5, "b", i+1, 2)
		now = now.Add(400 * time.Millisecond)
	}
	qt.Assert(t, len(refreshes(c)) > 0, qt.IsTrue)
}

// TestBalancersThatLostTheStoreAreReplacedAsWatchers replays a store that turns the
// watching balancers away and serves the others.
func TestBalancersThatLostTheStoreAreReplacedAsWatchers(t *testing.T) {
	now := instant.Instant(time.Second)
	c := forwarding.New(forwarding.Config{Self: 20, DataCentre: "a"})
	for id := flow.IP(1); id <= 3; id++ {
		report(c, now, id, "b", 1, 1)
	}
	qt.Assert(t, c.ShouldWatchConfiguration(now), qt.IsFalse)
	for id := flow.IP(1); id <= 3; id++ {
		reportState(c, now, id, "b", 2, 1, message.State_StateSilent)
	}
	qt.Assert(t, c.ShouldWatchConfiguration(now), qt.IsTrue)
	c.SetStoreHealth(now, "Registry", false)
	qt.Assert(t, c.Record().State, qt.Equals, message.State_StateSilent)
	c.SetStoreHealth(now, "Follower", false)
	c.SetStoreHealth(now, "Registry", true)
	qt.Assert(t, c.Record().State, qt.Equals, message.State_StateSilent)
	c.SetStoreHealth(now, "Follower", true)
	qt.Assert(t, c.Record().State, qt.Equals, message.State_StateReady)
}
