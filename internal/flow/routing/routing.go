// Package routing decides where a balancer sends a caller's datagram.
//
// A datagram whose connection ID is sealed goes to the agent named in it. Any
// other datagram that may begin a flow goes to a candidate of the service whose
// address it was sent to. Everything else is dropped.
//
// # Usage
//
//	r := routing.New()
//	d := r.Route(table, now, payload, address)
//	if d.Verdict == routing.Drop {
//		count(d.Reason)
//	}
//
// The package does no input or output. A Table is immutable; a Router
// belongs to one worker.
package routing

import (
	"errors"
	"net/netip"
	"time"

	"golang.org/x/time/rate"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/customer/contract"
	"github.com/jaytack/jaytack/internal/flow/connid"
	"github.com/jaytack/jaytack/internal/flow/placement"
)

// Verdict is what happens to a datagram.
type Verdict uint8

// Verdicts.
const (
	Drop Verdict = iota
	Established
	Placed
)

// Reason tells why a datagram was dropped or forwarded.
type Reason uint8

// Reasons.
const (
	ReasonNone Reason = iota
	ReasonSealed
	ReasonPlaced
	ReasonUnknownAddress
	ReasonMalformed
	ReasonForged
	ReasonUnknownKey
	ReasonCrossed
	ReasonNotInitial
	ReasonShortInitial
	ReasonNoCandidate
	ReasonNoKeyring
	ReasonLimited
	ReasonCount
)

var reasonNames = [ReasonCount]string{
	"None", "Sealed", "Placed", "UnknownAddress", "Malformed", "Forged", "UnknownKey",
	"Crossed", "NotInitial", "ShortInitial", "NoCandidate", "NoKeyring", "Limited",
}

// String returns the name of the reason.
func (r Reason) String() string {
	return reasonNames[r]
}

// Sizes from RFC 9000, in bytes.
const (
	minInitialDatagram = 1200
	maxConnectionID    = 20
)

const (
	longHeaderBit  = 0x80
	longTypeMask   = 0x30
	typeInitial    = 0x00
	type0RTT       = 0x10
	idLengthOffset = 5
	longIDOffset   = 6
)

// Service is what the table knows about one service.
type Service struct {
	Number     contract.ServiceNumber
	Candidates *placement.Rendezvous
	// Unsettled is set while balancers may disagree about the candidates.
	Unsettled bool
	// NewFlows bounds the datagrams of new flows, so that one customer's callers
	// cannot take the balancer from another's; nil for no bound.
	NewFlows *rate.Limiter
}

// Table is a balancer's view at one moment.
type Table struct {
	Ring      *connid.Ring
	Addresses map[netip.AddrPort]*Service
}

// Decision is where a datagram goes and why.
type Decision struct {
	Verdict        Verdict
	Reason         Reason
	Unsettled      bool
	Service        contract.ServiceNumber
	Agent          netip.AddrPort
	SecondChoice   netip.AddrPort
	CandidateCount int
}

// Router decides datagram by datagram without allocation. It must not be shared.
type Router struct {
	*connid.Opener
}

// New returns a Router.
func New() *Router {
	return &Router{connid.NewOpener()}
}

// Route decides about a datagram that a caller sent to address.
func (r *Router) Route(t *Table, now instant.Instant, datagram []byte, address netip.AddrPort) Decision {
	svc := t.Addresses[address]
	if svc == nil {
		return Decision{Reason: ReasonUnknownAddress}
	}
	if t.Ring == nil {
		return Decision{Reason: ReasonNoKeyring, Service: svc.Number}
	}
	id, long, ok := connectionID(datagram)
	if !ok {
		return Decision{Reason: ReasonMalformed, Service: svc.Number}
	}
	owner, err := r.Open(t.Ring, id)
	if err == nil {
		return established(svc, owner)
	}
	if !long {
		return Decision{Reason: reasonOf(err), Service: svc.Number}
	}
	return newFlow(svc, now, datagram, id)
}

func established(svc *Service, owner connid.Owner) Decision {
	if owner.Service != svc.Number {
		return Decision{Reason: ReasonCrossed, Service: svc.Number}
	}
	return Decision{Verdict: Established, Reason: ReasonSealed, Service: svc.Number, Agent: owner.Agent}
}

func newFlow(svc *Service, now instant.Instant, datagram, id []byte) Decision {
	d := Decision{Service: svc.Number}
	if typ := datagram[0] & longTypeMask; typ != typeInitial && typ != type0RTT {
		d.Reason = ReasonNotInitial
		return d
	} else if typ == typeInitial && len(datagram) < minInitialDatagram {
		d.Reason = ReasonShortInitial
		return d
	}
	if svc.NewFlows != nil && !svc.NewFlows.AllowN(time.Unix(0, int64(now)), 1) {
		d.Reason = ReasonLimited
		return d
	}
	first, second, ok := svc.Candidates.Choose(placement.HashConnectionID(id))
	if !ok {
		d.Reason = ReasonNoCandidate
		return d
	}
	d.Verdict, d.Reason = Placed, ReasonPlaced
	d.Agent, d.SecondChoice = first, second
	d.CandidateCount = svc.Candidates.Len()
	d.Unsettled = svc.Unsettled
	return d
}

// connectionID returns the destination connection ID of a QUIC datagram and
// whether its header is long.
func connectionID(b []byte) (id []byte, long, ok bool) {
	if len(b) < 1 {
		return nil, false, false
	}
	if b[0]&longHeaderBit == 0 {
		if len(b) < 1+connid.Length {
			return nil, false, false
		}
		return b[1 : 1+connid.Length], false, true
	}
	if len(b) < longIDOffset {
		return nil, true, false
	}
	n := int(b[idLengthOffset])
	if n > maxConnectionID || len(b) < longIDOffset+n {
		return nil, true, false
	}
	return b[longIDOffset : longIDOffset+n], true, true
}

// ConnectionID returns the destination connection ID of a QUIC datagram; ok is
// false where the datagram is malformed.
func ConnectionID(datagram []byte) (id []byte, ok bool) {
	id, _, ok = connectionID(datagram)
	return id, ok
}

func reasonOf(err error) Reason {
	if errors.Is(err, connid.ErrKey) {
		return ReasonUnknownKey
	}
	return ReasonForged
}
