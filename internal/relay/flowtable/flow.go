package flowtable

import (
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/flow"
)

// Phase is the stage of a flow's setup at the upstream.
type Phase uint8

// Phases.
const (
	// Unconfirmed: a packet was delivered, but the upstream has not shown that it holds
	// the flow.
	Unconfirmed Phase = iota
	// Offered: the first packet was delivered.
	Offered
	// Accepted: the upstream accepted the flow, which may still be opened elsewhere.
	Accepted
	// Open: the upstream has sent a packet on the open flow, so it holds the flow.
	Open
)

// Flow is one flow.
type Flow struct {
	ID    flow.ID
	Phase Phase
	// StartedAt is when the first packet was seen; LastUsed is when the last one was.
	StartedAt, LastUsed instant.Instant
	// LastOfferedAt is when the last copy of the first packet was delivered, 0 if none was.
	LastOfferedAt instant.Instant
	// AcceptedAt is when the upstream was first seen to have accepted the flow, 0 if it has not.
	AcceptedAt instant.Instant
	// HeardAt is when the upstream last sent a packet on the flow, 0 if it has sent none.
	HeardAt instant.Instant
	// OpenSince is when the upstream was first seen to hold the open flow.
	OpenSince instant.Instant
	// Balancer forwarded the caller's last packet, from data centre DataCentre. Home is
	// the agent that was last sent a claim of the flow or, until then, its home when the
	// upstream accepted it.
	Balancer, Home flow.IP
	// HomeIncarnation is the incarnation of Home's process at that time; a later one does
	// not know the flow.
	HomeIncarnation uint64
	DataCentre      string
	// LastAck is the acknowledgement number in the caller's last packet.
	LastAck uint32
	// UpstreamBorn is the start time of the upstream that accepted the flow, in Unix
	// milliseconds, 0 if unknown.
	UpstreamBorn int64
	// OtherServices and UnnamedServices list the services that may hold the flow if this
	// one does not; the latter only if a balancer has missed a version of the route.
	// OthersIncomplete is set if they may lack some.
	OtherServices, UnnamedServices []string
	OthersIncomplete               bool
	// LastPacket is the caller's last packet that was delivered.
	LastPacket []byte
	// Excluded lists the agents that have already rejected the new flow.
	Excluded []uint32
	// PlacedBy is the home that placed the new flow, 0 if unknown.
	PlacedBy flow.IP
	// Prober is the agent that probed for the flow and awaits a response, 0 for none.
	// ProberDigest is its digest of the agents that it probes.
	Prober       flow.IP
	ProberDigest uint64

	upstreamSeq    uint32
	hasUpstreamSeq bool
	// acknowledged is set if the caller has acknowledged upstreamSeq, which opens the flow.
	acknowledged             bool
	busy, awaitsFirstRequest bool
	// requestedAt is when the request in progress began; hadFreeSlot is set if a slot was
	// free then.
	requestedAt instant.Instant
	hadFreeSlot bool
	// slowdown is how many times longer than usual the request takes at an upstream that
	// has just started.
	slowdown float64
	// waiting is set while the request in progress has not been delivered.
	waiting bool
	// FirstSentAt is when the caller sent the first packet, 0 if unknown.
	FirstSentAt                      instant.Instant
	callerFinished, upstreamFinished bool
	// Requests counts the requests seen.
	Requests int
	// Timeout is the time limit of the route's requests, 0 if unknown.
	Timeout time.Duration

	// dataEnd is the sequence number after the caller's data so far, valid if hasDataEnd
	// is set.
	dataEnd    uint32
	hasDataEnd bool
}

// recordNewData reports whether a caller's packet carries data beyond dataEnd and
// advances dataEnd.
func (f *Flow) recordNewData(p flow.Packet) bool {
	end := p.Seq + uint32(p.Len)
	if p.Len == 0 || f.hasDataEnd && int32(end-f.dataEnd) <= 0 {
		return false
	}
	f.dataEnd, f.hasDataEnd = end, true
	return true
}

// Busy reports whether a request is in progress.
func (f *Flow) Busy() bool { return f.busy }

// IsWaiting reports whether the request in progress has not been delivered.
func (f *Flow) IsWaiting() bool { return f.waiting }

// OpenedElsewhere reports whether a caller's packet shows that the flow opened at another
// upstream although this one accepted it too.
func (f *Flow) OpenedElsewhere(p flow.Packet) bool {
	return f.Phase < Open && f.hasUpstreamSeq && p.Flags.Has(flow.Ack) && p.AckSeq-f.upstreamSeq > sequenceWindow
}

// IsHeld reports whether the flow has opened at the upstream: the upstream has sent a packet on
// the open flow, or the caller has acknowledged that it accepted the flow.
func (f *Flow) IsHeld() bool { return f.Phase == Open || f.acknowledged }

// IsClosing reports whether one of the ends has finished the flow.
func (f *Flow) IsClosing() bool { return f.callerFinished || f.upstreamFinished }

// HasEnded reports whether both ends have finished the flow.
func (f *Flow) HasEnded() bool { return f.callerFinished && f.upstreamFinished }

func (f *Flow) recordHeard(now instant.Instant) {
	f.HeardAt = now
	if f.AcceptedAt == 0 {
		f.AcceptedAt = now
	}
}
