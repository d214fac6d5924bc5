package forwarding_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/action"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/forwarding"
	"github.com/jaytack/jaytack/internal/relay/membership"
	"github.com/jaytack/jaytack/internal/relay/message"
	"github.com/jaytack/jaytack/internal/relay/routes"
	"github.com/jaytack/jaytack/internal/relay/warmup"
)

// sendReport passes a core the report of a balancer that has a version in force.
func sendReport(c *forwarding.Core, now instant.Instant, from flow.IP, dataCentre string, sequence uint64, version int64) {
	sendReportWithState(c, now, from, dataCentre, sequence, version, message.State_StateReady)
}

func sendReportWithState(c *forwarding.Core, now instant.Instant, from flow.IP, dataCentre string, sequence uint64, version int64, s message.State) {
	sendReportOf(c, now, &message.Report{VersionValidMillis: 2000, Record: &message.Record{
		Instance: uint32(from), DataCentre: dataCentre, Incarnation: 1, Sequence: sequence, State: s, Version: version,
	}})
}

func sendReportOf(c *forwarding.Core, now instant.Instant, r *message.Report) {
	c.HandleMessage(now, flow.IP(r.Record.Instance), &message.Envelope{Body: &message.Envelope_Report{Report: r}})
}

// refreshes returns the balancers from which a core requests the configuration.
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

// TestOneBalancerPerDataCentreFetchesRemotely guards against every balancer fetching a
// new version from another data centre. Only the fetcher does; the others fetch from
// it, and the next one takes over when it stops reporting.
func TestOneBalancerPerDataCentreFetchesRemotely(t *testing.T) {
	now := instant.Instant(time.Second)
	c := forwarding.New(forwarding.Config{Self: 20, DataCentre: "a"})
	c.ApplyConfiguration(now, &routes.Configuration{Version: 1}, "Read")
	sendReport(c, now, 10, "a", 1, 1)
	sendReport(c, now, 5, "b", 1, 2)
	qt.Assert(t, refreshes(c), qt.DeepEquals, []flow.IP{}, qt.Commentf("10 is the fetcher"))
	sendReport(c, now, 10, "a", 2, 2)
	qt.Assert(t, refreshes(c), qt.DeepEquals, []flow.IP{10})
	now = now.Add(time.Second)
	sendReport(c, now, 5, "b", 2, 2)
	qt.Assert(t, refreshes(c), qt.DeepEquals, []flow.IP{5}, qt.Commentf("10 stopped reporting"))
}

// TestIsolatedFetcherDoesNotBlockConfigurations guards against a missed configuration
// after a partial network partition: the fetcher of the data centre still reports but
// cannot reach the balancers that have the newer version, while this balancer can.
func TestIsolatedFetcherDoesNotBlockConfigurations(t *testing.T) {
	now := instant.Instant(time.Second)
	c := forwarding.New(forwarding.Config{Self: 20, DataCentre: "a"})
	c.ApplyConfiguration(now, &routes.Configuration{Version: 1}, "Read")
	// Reports arrive every 0.4 s; configurations must be in force after 3 s.
	for i := range uint64(5) {
		sendReport(c, now, 10, "a", i+1, 1)
		sendReport(c, now, 5, "b", i+1, 2)
		now = now.Add(400 * time.Millisecond)
	}
	qt.Assert(t, len(refreshes(c)) > 0, qt.IsTrue)
}

// TestWatchersWithoutTheStoreAreReplaced guards against losing all watchers when the
// store rejects the watching balancers but serves the others.
func TestWatchersWithoutTheStoreAreReplaced(t *testing.T) {
	now := instant.Instant(time.Second)
	c := forwarding.New(forwarding.Config{Self: 20, DataCentre: "a"})
	for id := flow.IP(1); id <= 3; id++ {
		sendReport(c, now, id, "b", 1, 1)
	}
	qt.Assert(t, c.ShouldWatchConfiguration(now), qt.IsFalse)
	for id := flow.IP(1); id <= 3; id++ {
		sendReportWithState(c, now, id, "b", 2, 1, message.State_StateSilent)
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

// TestWatchersThatDoNotConfirmAreReplaced guards against a configuration that is late
// because the watching balancers report, but do not hear from the store.
func TestWatchersThatDoNotConfirmAreReplaced(t *testing.T) {
	now := instant.Instant(time.Second)
	c := forwarding.New(forwarding.Config{Self: 20, DataCentre: "a"})
	sequence := uint64(0)
	report := func(validMillis uint32) {
		sequence++
		for id := flow.IP(1); id <= 3; id++ {
			sendReportOf(c, now, &message.Report{VersionValidMillis: validMillis, Record: &message.Record{
				Instance: uint32(id), DataCentre: "b", Incarnation: 1, Sequence: sequence, State: message.State_StateReady, Version: 1,
			}})
		}
	}
	report(1600)
	qt.Assert(t, c.ShouldWatchConfiguration(now), qt.IsFalse)
	for now < instant.Instant(3*time.Second) {
		now = now.Add(400 * time.Millisecond)
		report(0)
		c.Tick(now)
	}
	qt.Assert(t, c.ShouldWatchConfiguration(now), qt.IsTrue)
	report(1600)
	qt.Assert(t, c.ShouldWatchConfiguration(now), qt.IsFalse)
}

// TestBalancersTakeTurnsToWatch guards against a fleet in which all balancers call the store
// at once since they know no watcher yet or the watchers cannot reach it.
func TestBalancersTakeTurnsToWatch(t *testing.T) {
	const balancers = 60
	start := instant.Instant(time.Second)
	watching := func(after time.Duration) (n int) {
		for self := flow.IP(1); self <= balancers; self++ {
			c := forwarding.New(forwarding.Config{Self: self, DataCentre: "a"})
			var recs []*message.Record
			for id := flow.IP(1); id <= balancers; id++ {
				if id != self {
					recs = append(recs, &message.Record{Instance: uint32(id), DataCentre: "b", Incarnation: 1, State: message.State_StateReady})
				}
			}
			c.ApplyStored(start, recs)
			for now := start; now <= start.Add(after); now = now.Add(forwarding.TickInterval) {
				c.Tick(now)
			}
			if c.ShouldWatchConfiguration(start.Add(after)) {
				n++
			}
		}
		return n
	}
	qt.Assert(t, watching(0), qt.Equals, 3)
	qt.Assert(t, watching(600*time.Millisecond), qt.Equals, 9)
	qt.Assert(t, watching(time.Second), qt.Equals, balancers)
}

// TestReportsSayHowLongTheVersionIsValid guards against a balancer that vouches for its
// version without a recent confirmation by the store.
func TestReportsSayHowLongTheVersionIsValid(t *testing.T) {
	now := instant.Instant(time.Second)
	c := forwarding.New(forwarding.Config{Self: 20, DataCentre: "a"})
	sendReport(c, now, 5, "a", 1, 1)
	validMillis := func() uint32 {
		now = now.Add(500 * time.Millisecond)
		c.Tick(now)
		actions, _ := c.TakeOutput()
		for _, a := range actions {
			if r := a.Message.GetReport(); r != nil {
				return r.VersionValidMillis
			}
		}
		t.Fatal("no report")
		return 0
	}
	qt.Assert(t, validMillis(), qt.Equals, uint32(0))
	c.ConfirmVersion(now, 300*time.Millisecond)
	qt.Assert(t, validMillis(), qt.Equals, uint32(1200))
	qt.Assert(t, validMillis(), qt.Equals, uint32(700))
	qt.Assert(t, validMillis(), qt.Equals, uint32(200))
	qt.Assert(t, validMillis(), qt.Equals, uint32(0))
}

// TestServicesAreIncompleteUntilMembersAreRead guards against the reset of an open flow of a
// service that its route no longer names: a balancer that has its configuration before its
// members does not list that service.
func TestServicesAreIncompleteUntilMembersAreRead(t *testing.T) {
	id := flow.ID{Caller: flow.Endpoint{IP: 1, Port: 1025}, Address: flow.Endpoint{IP: 9, Port: 443}}
	named := &message.Record{Instance: 10, Service: "padron", DataCentre: "a", Incarnation: 1, Sequence: 1}
	former := &message.Record{Instance: 11, Service: "recuento", DataCentre: "a", Incarnation: 1, Sequence: 1}
	codec := flow.Codec{DecodeFromCaller: func([]byte) (flow.Packet, bool) { return flow.Packet{Flow: id, Flags: flow.Ack}, true }}
	c := forwarding.New(forwarding.Config{Self: 20, DataCentre: "a", Codec: codec, FlowLifetime: flow.DefaultLifetime})
	now := instant.Instant(time.Second)
	c.ApplyConfiguration(now, &routes.Configuration{Version: 5, Routes: []routes.Route{{Address: id.Address, Shares: []routes.Share{{Service: "padron", Weight: 1}}}}}, "Read")
	sent := func() *message.Carried {
		c.TakeOutput()
		c.HandlePacket(now, nil)
		actions, _ := c.TakeOutput()
		for _, a := range actions {
			if m := a.Message.GetCarried(); m != nil {
				return m
			}
		}
		return nil
	}
	sendReportOf(c, now, &message.Report{Record: named})
	qt.Check(t, sent().GetOthersIncomplete(), qt.IsTrue, qt.Commentf("a member has reported, none is read"))
	c.ApplyHistory(now, []routes.History{{Address: id.Address, Services: []string{"padron"}}})
	qt.Check(t, sent().GetOthersIncomplete(), qt.IsTrue, qt.Commentf("the history is read before the members"))
	c.ApplyHistory(now, nil)
	c.ApplyStored(now, []*message.Record{named})
	qt.Check(t, sent().GetOthersIncomplete(), qt.IsTrue, qt.Commentf("the store may have lost entries"))
	c.ApplyHistory(now, []routes.History{{Address: id.Address, Services: []string{"padron"}}})
	qt.Check(t, sent().GetOthersIncomplete(), qt.IsFalse, qt.Commentf("the store has the history"))
	c.ApplyHistory(now, nil)
	now = now.Add(membership.SettleAfter)
	c.ApplyStored(now, []*message.Record{named, former})
	qt.Check(t, sent().GetOthersIncomplete(), qt.IsTrue, qt.Commentf("agents may be turned away that have to write lost entries again"))
	now = now.Add(10 * time.Second)
	m := sent()
	qt.Check(t, m.GetOthersIncomplete(), qt.IsFalse)
	qt.Check(t, m.GetUnnamed(), qt.DeepEquals, []string{"recuento"})
}

// TestFirstPacketsCarryTheWarmUpRate guards against agents that do not learn of a warm-up limit,
// and against a field on packets that need none.
func TestFirstPacketsCarryTheWarmUpRate(t *testing.T) {
	for _, rate := range []float64{0, 12.5} {
		for _, flags := range []flow.Flags{flow.Syn, flow.Ack} {
			now := instant.Instant(time.Second)
			address := flow.Endpoint{IP: 9, Port: 443}
			p := flow.Packet{Flow: flow.ID{Caller: flow.Endpoint{IP: 1, Port: 1025}, Address: address}, Flags: flags}
			c := forwarding.New(forwarding.Config{Self: 20, DataCentre: "a", Codec: flow.Codec{
				DecodeFromCaller: func([]byte) (flow.Packet, bool) { return p, true },
			}})
			cfg := &routes.Configuration{Version: 1, Routes: []routes.Route{{Address: address, Shares: []routes.Share{{Service: "stock", Weight: 1}}}}}
			if rate > 0 {
				cfg.Services = []routes.Service{{Name: "stock", WarmUpRate: warmup.Rate(rate)}}
			}
			c.ApplyConfiguration(now, cfg, "Test")
			c.ApplyStored(now, []*message.Record{{Instance: 30, Service: "stock", DataCentre: "a", Incarnation: 1, Sequence: 1, State: message.State_StateReady}})
			c.TakeOutput()
			c.HandlePacket(now, []byte{1})
			actions, _ := c.TakeOutput()
			qt.Assert(t, actions, qt.HasLen, 1)
			want := rate
			if flags != flow.Syn {
				want = 0
			}
			qt.Check(t, actions[0].Message.GetCarried().WarmUpRate, qt.Equals, want)
		}
	}
}

// TestHomesElsewhereHaveToAnswer guards against packets that all go to an agent of another data
// centre that is gone: while those of its own are silent, a balancer knows the others from the
// store alone.
func TestHomesElsewhereHaveToAnswer(t *testing.T) {
	const local, remote = flow.IP(30), flow.IP(40)
	id := flow.ID{Caller: flow.Endpoint{IP: 1, Port: 1025}, Address: flow.Endpoint{IP: 9, Port: 443}}
	codec := flow.Codec{DecodeFromCaller: func([]byte) (flow.Packet, bool) { return flow.Packet{Flow: id, Flags: flow.Ack, Len: 1}, true }}
	c := forwarding.New(forwarding.Config{Self: 20, DataCentre: "a", Codec: codec, FlowLifetime: flow.DefaultLifetime})
	now := instant.Instant(time.Second)
	record := func(ip flow.IP, dataCentre string, sequence uint64) *message.Record {
		return &message.Record{Instance: uint32(ip), Service: "padron", DataCentre: dataCentre, Incarnation: 1, Sequence: sequence, State: message.State_StateReady}
	}
	var stored []*message.Record
	for n := range flow.IP(3) {
		stored = append(stored, record(local+n, "a", 1), record(remote+n, "b", 1))
	}
	c.ApplyConfiguration(now, &routes.Configuration{Version: 1, Routes: []routes.Route{{Address: id.Address, Shares: []routes.Share{{Service: "padron", Weight: 1}}}}}, "Read")
	c.ApplyStored(now, stored)
	for n := range flow.IP(3) {
		sendReportOf(c, now, &message.Report{Record: record(local+n, "a", 2), IntervalMillis: 200})
	}
	now = now.Add(time.Second)
	// send returns the home that gets a packet, and whether it was asked for a report.
	send := func() (home flow.IP, asked bool) {
		c.TakeOutput()
		c.HandlePacket(now, []byte{1})
		actions, _ := c.TakeOutput()
		for _, a := range actions {
			if a.Message.GetCarried() != nil {
				home = a.To
			}
		}
		for _, a := range actions {
			asked = asked || a.To == home && a.Message.GetReport().GetReplyWanted()
		}
		return home, asked
	}
	first, asked := send()
	qt.Assert(t, first >= remote, qt.IsTrue)
	qt.Check(t, asked, qt.IsTrue)
	now = now.Add(2 * membership.AnswerTimeout)
	second, asked := send()
	qt.Check(t, second, qt.Not(qt.Equals), first)
	qt.Check(t, second >= remote, qt.IsTrue)
	qt.Check(t, asked, qt.IsTrue)
	sendReportOf(c, now, &message.Report{Record: record(second, "b", 2)})
	now = now.Add(2 * membership.AnswerTimeout)
	again, _ := send()
	qt.Check(t, again, qt.Equals, second)
}
