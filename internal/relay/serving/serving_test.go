package serving_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/action"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/message"
	"github.com/jaytack/jaytack/internal/relay/serving"
)

var id = flow.ID{Caller: flow.Endpoint{IP: 1, Port: 1025}, Address: flow.Endpoint{IP: 9, Port: 443}}

// firstPacketCodec returns a codec that decodes every packet as a first packet that was
// retransmitted the given number of times.
func firstPacketCodec(copies uint32) flow.Codec {
	p := flow.Packet{Flow: id, Flags: flow.Syn, AckSeq: copies}
	return flow.Codec{
		DecodeFromCaller:   func([]byte) (flow.Packet, bool) { return p, true },
		DecodeFromUpstream: func([]byte) (flow.Packet, bool) { return p, true },
		RestoreBounced:     func([]byte) {},
		NewReset:           func(flow.ID, uint32) []byte { return []byte("reset") },
	}
}

// countResets takes a core's pending actions and counts the replies, all of them resets.
func countResets(c *serving.Core) int {
	n := 0
	actions, _ := c.TakeOutput()
	for _, a := range actions {
		if a.Kind == action.Reply {
			n++
		}
	}
	return n
}

func TestRefusalNeverResetsOpenFlow(t *testing.T) {
	tests := []struct {
		name   string
		copies uint32
		waited time.Duration
		want   int
	}{
		{"FirstAtOnce", 0, 0, 1},
		{"FirstAfterWaiting", 0, 150 * time.Millisecond, 0},
		{"SecondCopy", 1, 0, 0},
		{"ThirdCopy", 2, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := serving.New(serving.Config{Self: 7, Service: "padron", DataCentre: "a", Codec: firstPacketCodec(test.copies)})
			now := instant.Instant(time.Second)
			c.HandleHeartbeat(now, serving.Heartbeat{Upstream: "u", Service: "padron", DataCentre: "a", Born: 1, Sequence: 1, Draining: true, Slots: 4})
			c.TakeOutput()
			c.HandleMessage(now, 5, &message.Envelope{Body: &message.Envelope_Carried{Carried: &message.Carried{
				Packet: []byte{1}, Step: message.Step_StepHome, Service: "padron", DataCentre: "a", Balancer: 5,
				WaitedMillis: uint32(test.waited / time.Millisecond),
			}}})
			qt.Assert(t, countResets(c), qt.Equals, test.want)
		})
	}
}

// TestRefusalAfterPauseResetsNoOpenFlow guards against the reset of a flow that has opened at
// another upstream while its first packet was unread in a paused process.
func TestRefusalAfterPauseResetsNoOpenFlow(t *testing.T) {
	tests := []struct {
		name      string
		pause     time.Duration
		tickFirst bool
		after     time.Duration
		want      int
	}{
		{"NoPause", serving.TickInterval, true, 0, 1},
		{"BeforeTheFirstTick", time.Second, false, 0, 0},
		{"AfterTheFirstTick", time.Second, true, 20 * time.Millisecond, 0},
		{"LongAfter", time.Second, true, 500 * time.Millisecond, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := serving.New(serving.Config{Self: 7, Service: "padron", DataCentre: "a", Codec: firstPacketCodec(0)})
			now := instant.Instant(time.Second)
			c.HandleHeartbeat(now, serving.Heartbeat{Upstream: "u", Service: "padron", DataCentre: "a", Born: 1, Sequence: 1, Draining: true, Slots: 4})
			c.Tick(now)
			now = now.Add(test.pause)
			if test.tickFirst {
				c.Tick(now)
			}
			for end := now.Add(test.after); now < end; now = now.Add(20 * time.Millisecond) {
				c.Tick(now)
			}
			c.TakeOutput()
			c.HandleMessage(now, 5, &message.Envelope{Body: &message.Envelope_Carried{Carried: &message.Carried{
				Packet: []byte{1}, Step: message.Step_StepHome, Service: "padron", DataCentre: "a", Balancer: 5,
			}}})
			qt.Assert(t, countResets(c), qt.Equals, test.want)
		})
	}
}

// TestBounceOfUnknownFlowStartsNoSearch guards against a false reset after a packet
// was delivered and bounced twice: the first bounce deletes the flow, so at the second
// one the other services that may hold the flow are unknown.
func TestBounceOfUnknownFlowStartsNoSearch(t *testing.T) {
	p := flow.Packet{Flow: id, Flags: flow.Ack | flow.Bounced, Len: 1}
	codec := firstPacketCodec(0)
	codec.DecodeFromUpstream = func([]byte) (flow.Packet, bool) { return p, true }
	c := serving.New(serving.Config{Self: 7, Service: "recuento", DataCentre: "a", Codec: codec})
	now := instant.Instant(time.Second)
	c.RestoreOwnRecord(now, &message.Record{Instance: 7, Service: "recuento", State: message.State_StateReady}, true)
	c.ApplyStored(now, nil)
	c.TakeOutput()
	c.HandleUpstreamPacket(now, []byte{1})
	qt.Assert(t, countResets(c), qt.Equals, 0)
	_, _, _, searches := c.Sizes()
	qt.Assert(t, searches, qt.Equals, 0)
}

// TestBounceResetsOnlyFlowsHeldByUpstream guards against the reset of a flow that is
// open at another upstream: this upstream accepted a delayed copy of the first packet
// and bounces the caller's next packet.
func TestBounceResetsOnlyFlowsHeldByUpstream(t *testing.T) {
	for _, held := range []bool{false, true} {
		t.Run(fmt.Sprintf("Held=%t", held), func(t *testing.T) {
			var fromCaller, fromUpstream flow.Packet
			codec := firstPacketCodec(0)
			codec.DecodeFromCaller = func([]byte) (flow.Packet, bool) { return fromCaller, true }
			codec.DecodeFromUpstream = func([]byte) (flow.Packet, bool) { return fromUpstream, true }
			c := serving.New(serving.Config{Self: 7, Service: "padron", DataCentre: "a", Codec: codec})
			now := instant.Instant(time.Second)
			c.HandleHeartbeat(now, serving.Heartbeat{Upstream: "u", Service: "padron", DataCentre: "a", Born: 1, Sequence: 1, Slots: 4})
			sendPacket := func(step message.Step, p flow.Packet) {
				fromCaller = p
				c.HandleMessage(now, 5, &message.Envelope{Body: &message.Envelope_Carried{Carried: &message.Carried{
					Packet: []byte{1}, Step: step, Service: "padron", DataCentre: "a", Balancer: 5,
				}}})
			}
			sendUpstream := func(p flow.Packet) {
				fromUpstream = p
				c.HandleUpstreamPacket(now, []byte{1})
			}
			request := flow.Packet{Flow: id, Flags: flow.Ack, Seq: 1, AckSeq: 1001, Len: 100}
			sendPacket(message.Step_StepPlace, flow.Packet{Flow: id, Flags: flow.Syn})
			sendUpstream(flow.Packet{Flow: id, Flags: flow.Syn | flow.Ack, Seq: 1000})
			sendPacket(message.Step_StepOwner, request)
			if held {
				sendUpstream(flow.Packet{Flow: id, Flags: flow.Ack, Seq: 1001, AckSeq: 101})
			}
			c.TakeOutput()
			request.Flags |= flow.Bounced
			sendUpstream(request)
			want := 0
			if held {
				want = 1
			}
			qt.Assert(t, countResets(c), qt.Equals, want)
		})
	}
}

// TestRestartedOwnerDeniesNoFlowOfAnUnnamedService guards against the reset of an open flow
// whose route does not name its service: the agent that holds it has restarted with an empty
// table, so that its ignorance is no denial.
func TestRestartedOwnerDeniesNoFlowOfAnUnnamedService(t *testing.T) {
	tests := []struct {
		name      string
		age       time.Duration
		delivered int
	}{
		{"Restarted", time.Second, 1},
		{"OlderThanAllFlows", flow.DefaultLifetime, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			codec := firstPacketCodec(0)
			codec.DecodeFromCaller = func([]byte) (flow.Packet, bool) {
				return flow.Packet{Flow: id, Flags: flow.Ack, Seq: 1, AckSeq: 1001, Len: 100}, true
			}
			now := instant.Instant(2 * flow.DefaultLifetime)
			c := serving.New(serving.Config{
				Self: 7, Service: "padron", DataCentre: "a", Codec: codec, FlowLifetime: flow.DefaultLifetime,
				Started: now.Add(-test.age), StartedMillis: 1000,
			})
			c.HandleHeartbeat(now, serving.Heartbeat{Upstream: "u", Service: "padron", DataCentre: "a", Born: 1, Sequence: 90, Slots: 4})
			c.TakeOutput()
			c.HandleMessage(now, 5, &message.Envelope{Body: &message.Envelope_Carried{Carried: &message.Carried{
				Packet: []byte{1}, Step: message.Step_StepOwner, Service: "padron", DataCentre: "a", Balancer: 5, KnownOnly: true,
			}}})
			actions, _ := c.TakeOutput()
			delivered := 0
			for _, a := range actions {
				if a.Kind == action.Deliver {
					delivered++
				}
			}
			qt.Assert(t, delivered, qt.Equals, test.delivered)
		})
	}
}

// TestProbesReachNoUpstreamThatHoldsNoFlow guards against packets of open flows that searches
// deliver to other upstreams: the agent knows all flows of its upstream, or the upstream has
// just started and gets the probe when it listens. It also guards against the denial of open
// flows by an agent that has restarted after its upstream, whose clock was ahead at the start.
func TestProbesReachNoUpstreamThatHoldsNoFlow(t *testing.T) {
	tests := []struct {
		name string
		// startedBefore is how long before the agent the upstream has started by its clock.
		startedBefore time.Duration
		sequence      int64
		heardBefore   bool
		delivered     int
		denied        bool
	}{
		{"StartedAfterTheAgent", -time.Second, 1, true, 0, true},
		{"StartedLongBeforeTheAgent", time.Minute, 1, true, 1, false},
		{"NotHeardYet", -time.Second, 1, false, 1, false},
		// The agent has listened for less than the interval between two heartbeats.
		{"StartedBeforeTheAgentWithItsClockAhead", -time.Second, 2, true, 1, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			codec := firstPacketCodec(0)
			codec.DecodeFromCaller = func([]byte) (flow.Packet, bool) {
				return flow.Packet{Flow: id, Flags: flow.Ack, Seq: 1, AckSeq: 1001, Len: 100}, true
			}
			now := instant.Instant(2 * time.Second)
			started := 2 * time.Minute
			c := serving.New(serving.Config{
				Self: 7, Service: "padron", DataCentre: "a", Codec: codec, FlowLifetime: flow.DefaultLifetime,
				Started: now.Add(-time.Second), StartedMillis: started.Milliseconds(), HeartbeatEvery: 1200 * time.Millisecond,
			})
			heartbeat := func() {
				c.HandleHeartbeat(now, serving.Heartbeat{
					Upstream: "u", Service: "padron", DataCentre: "a", Born: (started - test.startedBefore).Milliseconds(), Sequence: test.sequence, Slots: 4,
				})
			}
			if test.heardBefore {
				heartbeat()
			}
			c.TakeOutput()
			c.HandleMessage(now, 5, &message.Envelope{Body: &message.Envelope_Carried{Carried: &message.Carried{
				Packet: []byte{1}, Step: message.Step_StepProbe, Service: "padron", DataCentre: "a", Balancer: 6,
			}}})
			if !test.heardBefore {
				heartbeat()
			}
			delivered, denied := 0, false
			actions, _ := c.TakeOutput()
			for _, a := range actions {
				switch {
				case a.Kind == action.Deliver:
					delivered++
				case a.Kind == action.Send && a.Message.GetDenial() != nil:
					denied = true
				}
			}
			qt.Check(t, delivered, qt.Equals, test.delivered)
			qt.Check(t, denied, qt.Equals, test.denied)
		})
	}
}

// TestOnlyTheRunningUpstreamIsBelieved guards against heartbeats of an upstream that are ignored
// because it started after the time of day had jumped back, and against late ones of earlier
// upstreams that are believed. What is ignored must not be acknowledged.
func TestOnlyTheRunningUpstreamIsBelieved(t *testing.T) {
	type beat struct {
		at       time.Duration
		upstream string
		born     int64
		sequence int64
		accepted bool
	}
	const first, next = 10_000, 12_000
	tests := []struct {
		name  string
		beats []beat
	}{
		{"Replaced", []beat{{0, "a", first, 7, true}, {2000, "b", next, 1, true}, {3200, "b", next, 2, true}}},
		{"SameNameReplaced", []beat{{0, "a", first, 7, true}, {2000, "a", next, 1, true}, {3200, "a", next, 2, true}}},
		{"LateOfTheSame", []beat{{0, "a", first, 7, true}, {10, "a", first, 6, false}, {1200, "a", first, 8, true}}},
		{"LateOfThePredecessor", []beat{{0, "a", first, 7, true}, {2000, "b", next, 1, true}, {2100, "a", first, 8, false}, {3200, "b", next, 2, true}}},
		{"SeveralLateAtOnce", []beat{{0, "b", next, 1, true}, {100, "a", first, 8, false}, {110, "a", first, 9, false}, {1200, "b", next, 2, true}}},
		{"SeveralLateBesideTheRunning", []beat{{0, "b", next, 1, true}, {100, "a", first, 8, false}, {1200, "b", next, 2, true}, {1300, "a", first, 9, false}, {2400, "b", next, 3, true}}},
		{"ClockJumpedBack", []beat{{0, "a", next, 7, true}, {2000, "b", first, 1, false}, {3200, "b", first, 2, true}, {4400, "b", first, 3, true}}},
		{"ClockJumpedBackSameName", []beat{{0, "a", next, 7, true}, {2000, "a", first, 1, false}, {3200, "a", first, 2, true}}},
		{"ClockJumpedBackAndRetries", []beat{{0, "a", next, 7, true}, {2000, "b", first, 1, false}, {2010, "b", first, 2, false}, {3200, "b", first, 3, true}}},
		{"LateWithALaterStart", []beat{{0, "b", first, 3, true}, {100, "a", next, 9, true}, {1200, "b", first, 4, false}, {2400, "b", first, 5, true}}},
		{"LateWithALaterStartBesideTheRunning", []beat{{0, "b", first, 3, true}, {1200, "b", first, 4, true}, {1300, "a", next, 1, false}, {2400, "b", first, 5, true}}},
		{"SeveralLateWithALaterStart", []beat{{0, "b", first, 3, true}, {1200, "b", first, 4, true}, {1300, "a", next, 1, false}, {2000, "a", next, 2, false}, {2400, "b", first, 5, true}, {2500, "a", next, 3, false}, {3600, "b", first, 6, true}}},
		{"ReplacedSoon", []beat{{0, "a", first, 7, true}, {1200, "a", first, 8, true}, {1900, "b", next, 1, false}, {3100, "b", next, 2, true}, {4300, "b", next, 3, true}}},
		{"ReplacedAfterSilence", []beat{{0, "a", first, 7, true}, {1200, "a", first, 8, true}, {3100, "b", next, 1, true}, {4300, "b", next, 2, true}}},
		{"HighSequence", []beat{{0, "a", first, 7, true}, {1200, "a", first, 3_000_000, true}, {2400, "a", first, 8, false}, {3600, "a", first, 9, true}, {4800, "a", first, 10, true}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := serving.New(serving.Config{Self: 7, Service: "padron", DataCentre: "a", Codec: firstPacketCodec(0), HeartbeatEvery: 1200 * time.Millisecond})
			start := instant.Instant(time.Minute)
			now := start
			for _, b := range test.beats {
				for ; now <= start.Add(b.at*time.Millisecond); now = now.Add(serving.TickInterval) {
					c.Tick(now)
				}
				h := serving.Heartbeat{Upstream: b.upstream, Service: "padron", DataCentre: "a", Born: b.born, Sequence: b.sequence, Slots: 4}
				qt.Check(t, c.HandleHeartbeat(start.Add(b.at*time.Millisecond), h), qt.Equals, b.accepted, qt.Commentf("%v", b))
			}
		})
	}
}

// TestLateFirstHeartbeatProvesNothing guards against the denial and the reset of flows after a
// restarted agent has first heard a late heartbeat of a crashed upstream: the one that runs has
// not replaced it since the agent started.
func TestLateFirstHeartbeatProvesNothing(t *testing.T) {
	codec := firstPacketCodec(0)
	codec.DecodeFromCaller = func([]byte) (flow.Packet, bool) {
		return flow.Packet{Flow: id, Flags: flow.Ack, Seq: 1, AckSeq: 1001, Len: 100}, true
	}
	other := flow.ID{Caller: flow.Endpoint{IP: 1, Port: 1026}, Address: id.Address}
	codec.DecodeFromUpstream = func([]byte) (flow.Packet, bool) {
		return flow.Packet{Flow: other, Flags: flow.Ack, Seq: 1001, AckSeq: 101, Len: 100}, true
	}
	now := instant.Instant(time.Minute)
	c := serving.New(serving.Config{
		Self: 7, Service: "padron", DataCentre: "a", Codec: codec, FlowLifetime: flow.DefaultLifetime, Started: now, StartedMillis: 60_000,
	})
	c.HandleUpstreamPacket(now, []byte{1})
	now = now.Add(2 * time.Second)
	qt.Assert(t, c.HandleHeartbeat(now, serving.Heartbeat{Upstream: "crashed", Service: "padron", DataCentre: "a", Born: 1000, Sequence: 9, Slots: 4}), qt.IsTrue)
	c.TakeOutput()
	qt.Assert(t, c.HandleHeartbeat(now, serving.Heartbeat{Upstream: "running", Service: "padron", DataCentre: "a", Born: 20_000, Sequence: 33, Slots: 4}), qt.IsTrue)
	qt.Check(t, countResets(c), qt.Equals, 0)
	c.HandleMessage(now, 5, &message.Envelope{Body: &message.Envelope_Carried{Carried: &message.Carried{
		Packet: []byte{1}, Step: message.Step_StepProbe, Service: "padron", DataCentre: "a", Balancer: 6,
	}}})
	actions, _ := c.TakeOutput()
	for _, a := range actions {
		qt.Check(t, a.Message.GetDenial(), qt.IsNil)
	}
}

// TestAbsenceBeforeRestoreIsNotBelieved guards against searches that pass over an agent whose
// upstream has started since the copy from which the store was restored, or since the
// earlier process wrote that it had left. Only one that refuses connections is gone; one
// that the store's present era says to have left need not refuse them for long.
func TestAbsenceBeforeRestoreIsNotBelieved(t *testing.T) {
	for _, current := range []bool{false, true} {
		c := serving.New(serving.Config{Self: 7, Service: "padron", DataCentre: "a", Codec: firstPacketCodec(0)})
		now := instant.Instant(time.Second)
		c.RestoreOwnRecord(now, &message.Record{Instance: 7, Service: "padron", State: message.State_StateGone}, current)
		qt.Assert(t, c.Record(now).State == message.State_StateGone, qt.IsFalse)
		c.HandleListenCheck(now, false)
		qt.Assert(t, c.Record(now).State == message.State_StateGone, qt.IsFalse)
		c.HandleListenCheck(now, true)
		qt.Assert(t, c.Record(now).State == message.State_StateGone, qt.Equals, current)
	}
}
