package serving_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/load"
	"github.com/jaytack/jaytack/internal/relay/message"
	"github.com/jaytack/jaytack/internal/relay/serving"
)

// Members of a group: the home with an upstream in a, one more there, two in b, and a
// balancer in each data centre.
const (
	home           flow.IP = 7
	localAgent     flow.IP = 8
	remoteAgent    flow.IP = 20
	otherRemote    flow.IP = 21
	localBalancer  flow.IP = 5
	remoteBalancer flow.IP = 6
)

// group is a home and the time, with the members above.
type group struct {
	*serving.Core
	now      instant.Instant
	sequence uint64
	// next is the flow of the next first packet.
	next uint16
	// requests holds the times of requests for reports to the remote balancer.
	requests []instant.Instant
}

func newGroup(crossDataCentreCost bool) *group {
	g := &group{now: instant.Instant(time.Second), next: 1025}
	codec := firstPacketCodec(0)
	codec.DecodeFromCaller = func([]byte) (flow.Packet, bool) {
		return flow.Packet{Flow: flow.ID{Caller: flow.Endpoint{IP: 1, Port: g.next}, Address: id.Address}, Flags: flow.Syn}, true
	}
	g.Core = serving.New(serving.Config{
		Self: home, Service: "padron", DataCentre: "a", Codec: codec, FlowLifetime: flow.DefaultLifetime,
		CrossDataCentreCost: crossDataCentreCost,
	})
	g.HandleHeartbeat(g.now, serving.Heartbeat{Upstream: "u", Service: "padron", DataCentre: "a", Born: 1, Sequence: 1, Slots: 4})
	return g
}

func dataCentreOf(ip flow.IP) string {
	if ip == remoteAgent || ip == otherRemote || ip == remoteBalancer {
		return "b"
	}
	return "a"
}

// report delivers the record of a member with a number of requests.
func (g *group) report(from flow.IP, busy uint32, state message.State) {
	g.sequence++
	r := &message.Record{Instance: uint32(from), DataCentre: dataCentreOf(from), Incarnation: 1, Sequence: g.sequence, State: state}
	interval := uint32(0)
	if from != localBalancer && from != remoteBalancer {
		r.Service, r.Upstream, r.Slots, r.Busy, interval = "padron", "u", 4, busy, 200
	}
	g.HandleMessage(g.now, from, &message.Envelope{Body: &message.Envelope_Report{Report: &message.Report{Record: r, IntervalMillis: interval}}})
}

// run ticks for a time in which agents report their requests, and the remote balancer, unless
// roundTrip is 0, answers after it.
func (g *group) run(d time.Duration, local, remote uint32, localState message.State, roundTrip time.Duration) {
	for end := g.now.Add(d); g.now < end; g.now = g.now.Add(serving.TickInterval) {
		g.report(localAgent, local, localState)
		g.report(remoteAgent, remote, message.State_StateReady)
		g.report(otherRemote, remote, message.State_StateReady)
		g.Tick(g.now)
		if roundTrip > 0 && g.takeRequests() > 0 {
			before := g.now
			g.now = g.now.Add(roundTrip)
			g.report(remoteBalancer, 0, message.State_StateReady)
			g.now = before
		}
	}
}

// takeRequests takes the pending actions and counts the requests to the remote balancer.
func (g *group) takeRequests() (n int) {
	actions, _ := g.TakeOutput()
	for _, a := range actions {
		if r := a.Message.GetReport(); r != nil && r.ReplyWanted && a.To == remoteBalancer {
			g.requests = append(g.requests, g.now)
			n++
		}
	}
	return n
}

// place places a new flow that other agents have turned down and returns the agent.
func (g *group) place(excluded ...uint32) flow.IP {
	g.next++
	g.TakeOutput()
	before := g.Counts.Refused
	g.HandleMessage(g.now, localBalancer, &message.Envelope{Body: &message.Envelope_Carried{Carried: &message.Carried{
		Packet: []byte{1}, Step: message.Step_StepHome, Service: "padron", DataCentre: "a", Balancer: uint32(localBalancer), Excluded: excluded,
	}}})
	actions, _ := g.TakeOutput()
	for _, a := range actions {
		if m := a.Message.GetCarried(); m != nil && m.Step == message.Step_StepPlace {
			return a.To
		}
	}
	if g.Counts.Refused > before {
		return 0
	}
	return home
}

// start makes all members known.
func (g *group) start() {
	g.report(localBalancer, 0, message.State_StateReady)
	g.report(remoteBalancer, 0, message.State_StateReady)
	g.run(serving.TickInterval, 1, 1, message.State_StateReady, 0)
}

// placeRemotely places flows, each beside fresh reports, and counts those that leave.
func (g *group) placeRemotely(flows int, local, remote uint32, localState message.State, excluded ...uint32) (n int) {
	for range flows {
		g.run(serving.TickInterval, local, remote, localState, 6*time.Millisecond)
		if dataCentreOf(g.place(excluded...)) == "b" {
			n++
		}
	}
	return n
}

// TestFlowsStayWhileUpstreamsHaveRoom guards against flows that leave although the local
// upstreams have room, and against flows that cannot leave when all of these are short of it,
// take no flows, or have turned the flow down.
func TestFlowsStayWhileUpstreamsHaveRoom(t *testing.T) {
	const flows = 40
	ready, draining := message.State_StateReady, message.State_StateDraining
	t.Run("Calm", func(t *testing.T) {
		g := newGroup(true)
		g.start()
		qt.Assert(t, g.placeRemotely(flows, 3, 0, ready), qt.Equals, 0)
		qt.Assert(t, g.Counts.PlacedRemotely, qt.Equals, int64(0))
		qt.Assert(t, g.Counts.PlacedLocally, qt.Equals, int64(flows))
	})
	t.Run("Short", func(t *testing.T) {
		g := newGroup(true)
		g.start()
		g.run(6*time.Second, 40, 1, ready, 6*time.Millisecond)
		qt.Assert(t, g.Locality(g.now)["b"], qt.Equals, serving.DataCentreSummary{Share: 1, RoundTripMillis: 6})
	})
	t.Run("ShortWithoutRemoteBalancers", func(t *testing.T) {
		g := newGroup(true)
		g.report(localBalancer, 0, ready)
		g.run(6*time.Second, 40, 1, ready, 0)
		qt.Assert(t, g.Locality(g.now)["b"], qt.Equals, serving.DataCentreSummary{Share: 1, RoundTripMillis: 0})
	})
	t.Run("LocalDrain", func(t *testing.T) {
		g := newGroup(true)
		g.HandleHeartbeat(g.now, serving.Heartbeat{Upstream: "u", Service: "padron", DataCentre: "a", Born: 1, Sequence: 2, Slots: 4, Draining: true})
		g.start()
		qt.Assert(t, g.placeRemotely(flows, 1, 1, draining), qt.Equals, flows)
	})
	t.Run("LocalUnheard", func(t *testing.T) {
		g := newGroup(true)
		g.HandleHeartbeat(g.now, serving.Heartbeat{Upstream: "u", Service: "padron", DataCentre: "a", Born: 1, Sequence: 2, Slots: 4, Draining: true})
		g.start()
		g.run(3*time.Second, 0, 1, message.State_StateUnknown, 6*time.Millisecond)
		qt.Assert(t, g.placeRemotely(flows, 0, 1, message.State_StateUnknown), qt.Equals, flows)
	})
	t.Run("TurnedDown", func(t *testing.T) {
		g := newGroup(true)
		g.start()
		qt.Assert(t, g.placeRemotely(1, 3, 0, ready, uint32(localAgent), uint32(home)), qt.Equals, 1)
	})
	t.Run("RemoteIsCutOff", func(t *testing.T) {
		g := newGroup(true)
		g.start()
		g.run(6*time.Second, 40, 1, ready, 6*time.Millisecond)
		for end := g.now.Add(time.Second); g.now < end; g.now = g.now.Add(serving.TickInterval) {
			g.report(localAgent, 40, ready)
			g.Tick(g.now)
		}
		qt.Assert(t, g.Locality(g.now)["b"].Share, qt.Equals, 0.0)
	})
}

// TestAgentWithoutUpstreamHasNoShares guards against shares that flip, with a log line each, at
// an agent whose upstream has left: it hears remote peers only now and then.
func TestAgentWithoutUpstreamHasNoShares(t *testing.T) {
	g := newGroup(true)
	g.start()
	g.run(6*time.Second, 40, 1, message.State_StateReady, 6*time.Millisecond)
	qt.Assert(t, g.Locality(g.now)["b"].Share, qt.Equals, 1.0)
	g.HandleLeave(g.now, "u")
	g.HandleListenCheck(g.now, true)
	g.TakeOutput()
	changes := 0
	for i := range 100 {
		if i%20 == 0 {
			g.report(remoteAgent, 1, message.State_StateReady)
		}
		g.Tick(g.now)
		g.now = g.now.Add(serving.TickInterval)
		_, entries := g.TakeOutput()
		for _, e := range entries {
			if e.Event == "LeavingShareChanged" {
				changes++
			}
		}
	}
	qt.Assert(t, changes, qt.Equals, 0)
	qt.Assert(t, g.Locality(g.now)["b"].Share, qt.Equals, 0.0)
}

// TestChoicesAreTheSameWithoutCost guards against a change of placements in deployments
// without a price on traffic between data centres: each flow goes to the least loaded of two
// local agents and a remote one, whose distance costs 0.15 request durations, and nobody is
// asked for round trips.
func TestChoicesAreTheSameWithoutCost(t *testing.T) {
	const otherLocal flow.IP = 9
	random := rand.New(rand.NewPCG(1, 1))
	g := newGroup(false)
	g.HandleHeartbeat(g.now, serving.Heartbeat{Upstream: "u", Service: "padron", DataCentre: "a", Born: 1, Sequence: 2, Slots: 4, Draining: true})
	g.start()
	remotely := 0
	for range 500 {
		g.now = g.now.Add(serving.TickInterval)
		expected := load.New()
		var candidates []load.Candidate
		for _, a := range []flow.IP{localAgent, otherLocal, remoteAgent, otherRemote} {
			busy := random.IntN(10)
			g.report(a, uint32(busy), message.State_StateReady)
			expected.Update(a, load.Report{Slots: 4, Busy: busy})
			candidates = append(candidates, load.Candidate{Agent: a, Remote: dataCentreOf(a) == "b"})
		}
		g.Tick(g.now)
		qt.Assert(t, g.takeRequests(), qt.Equals, 0)
		got := g.place()
		next := flow.ID{Caller: flow.Endpoint{IP: 1, Port: g.next}, Address: id.Address}
		want, _ := expected.Choose(load.Sample(next.Hash(), candidates))
		qt.Assert(t, got, qt.Equals, want)
		if dataCentreOf(got) == "b" {
			remotely++
		}
	}
	// By load alone about a third leaves.
	qt.Assert(t, remotely > 100, qt.IsTrue, qt.Commentf("%d", remotely))
	qt.Assert(t, g.Locality(g.now), qt.HasLen, 0)
}

// TestRoundTrip guards against round trips that are wrong since an answer was lost or late,
// or since one of the processes paused.
func TestRoundTrip(t *testing.T) {
	ready := message.State_StateReady
	roundTrip := func(g *group) float64 { return g.Locality(g.now)["b"].RoundTripMillis }
	// ask ticks until a request is due, without answering it.
	ask := func(g *group) {
		for range 2 * int(time.Second/serving.TickInterval) {
			g.run(serving.TickInterval, 1, 1, ready, 0)
			if g.takeRequests() > 0 {
				return
			}
		}
		t.Fatal("no request")
	}
	newMeasured := func() *group {
		g := newGroup(true)
		g.start()
		g.run(6*time.Second, 1, 1, ready, 6*time.Millisecond)
		return g
	}
	t.Run("OncePerSecond", func(t *testing.T) {
		g := newMeasured()
		qt.Assert(t, roundTrip(g), qt.Equals, 6.0)
		qt.Assert(t, len(g.requests) >= 5 && len(g.requests) <= 7, qt.IsTrue, qt.Commentf("%d", len(g.requests)))
	})
	t.Run("Late", func(t *testing.T) {
		g := newMeasured()
		ask(g)
		// The answer to the first request comes with the second one pending, then its own.
		ask(g)
		g.report(remoteBalancer, 0, ready)
		qt.Assert(t, roundTrip(g), qt.Equals, 6.0)
		g.now = g.now.Add(6 * time.Millisecond)
		g.report(remoteBalancer, 0, ready)
		qt.Assert(t, roundTrip(g), qt.Equals, 6.0)
	})
	t.Run("Lost", func(t *testing.T) {
		g := newGroup(true)
		g.start()
		g.run(3*time.Second, 1, 1, ready, 0)
		qt.Assert(t, roundTrip(g), qt.Equals, 0.0)
		// Until there is a measurement, requests are sent five times a second.
		g.takeRequests()
		qt.Assert(t, len(g.requests) >= 14, qt.IsTrue, qt.Commentf("%d", len(g.requests)))
		g.run(3*time.Second, 1, 1, ready, 6*time.Millisecond)
		qt.Assert(t, roundTrip(g), qt.Equals, 6.0)
		g.run(7*time.Second, 1, 1, ready, 0)
		qt.Assert(t, roundTrip(g), qt.Equals, 0.0)
	})
	t.Run("OtherPaused", func(t *testing.T) {
		g := newMeasured()
		for range 2 {
			ask(g)
			before := g.now
			g.now = g.now.Add(400 * time.Millisecond)
			g.report(remoteBalancer, 0, ready)
			g.now = before.Add(500 * time.Millisecond)
		}
		qt.Assert(t, roundTrip(g), qt.Equals, 6.0)
	})
	t.Run("SelfPaused", func(t *testing.T) {
		g := newGroup(true)
		g.start()
		ask(g)
		g.now = g.now.Add(400 * time.Millisecond)
		g.report(remoteBalancer, 0, ready)
		qt.Assert(t, roundTrip(g), qt.Equals, 0.0)
	})
}
