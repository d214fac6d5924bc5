// Package flow defines the types of relayed flows.
//
// A relayed flow is a caller's connection whose packets jaytack forwards without
// changes visible to either end; it only reads their headers. A flow is identified
// by the address and port of each end.
//
// # Usage
//
//	id := flow.ID{Caller: caller, Address: address}
//	log("FlowOpened", "Flow", id)
//	h := id.Hash()
package flow

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// IP is an IPv4 address; 0 means none. It also identifies an instance, which runs one
// process per role.
type IP uint32

// IPOf converts a to an IPv4 address; it returns 0 if a is not one.
func IPOf(a netip.Addr) IP {
	a = a.Unmap()
	if !a.Is4() {
		return 0
	}
	b := a.As4()
	return IP(binary.BigEndian.Uint32(b[:]))
}

// Addr returns the address as a netip.Addr.
func (ip IP) Addr() netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], uint32(ip))
	return netip.AddrFrom4(b)
}

// String returns the address in dotted decimal form.
func (ip IP) String() string { return ip.Addr().String() }

// Endpoint is one end of a flow.
type Endpoint struct {
	IP   IP
	Port uint16
}

// AddrPort returns the endpoint as a netip.AddrPort.
func (e Endpoint) AddrPort() netip.AddrPort { return netip.AddrPortFrom(e.IP.Addr(), e.Port) }

// String returns the endpoint as address:port.
func (e Endpoint) String() string { return e.IP.String() + ":" + strconv.Itoa(int(e.Port)) }

// Compare orders endpoints by IP, then by port.
func (e Endpoint) Compare(o Endpoint) int {
	return cmp.Or(cmp.Compare(e.IP, o.IP), cmp.Compare(e.Port, o.Port))
}

// EndpointOf returns the endpoint of an IPv4 address and port.
func EndpointOf(a netip.AddrPort) Endpoint { return Endpoint{IPOf(a.Addr()), a.Port()} }

// ID identifies a flow.
type ID struct {
	// Caller is the caller's endpoint.
	Caller Endpoint
	// Address is the service address that the caller connects to.
	Address Endpoint
}

// String returns the caller's endpoint and the service address as caller>address.
func (id ID) String() string { return id.Caller.String() + ">" + id.Address.String() }

// Compare orders flows by caller, then by address.
func (id ID) Compare(o ID) int {
	return cmp.Or(id.Caller.Compare(o.Caller), id.Address.Compare(o.Address))
}

// Hash returns a hash that is the same in all processes.
func (id ID) Hash() uint64 {
	var b [12]byte
	binary.BigEndian.PutUint32(b[0:], uint32(id.Caller.IP))
	binary.BigEndian.PutUint16(b[4:], id.Caller.Port)
	binary.BigEndian.PutUint32(b[6:], uint32(id.Address.IP))
	binary.BigEndian.PutUint16(b[10:], id.Address.Port)
	return xxhash.Sum64(b[:])
}

// RendezvousWeight returns the weight of an instance for a flow's hash in rendezvous
// (highest-random-weight) hashing. It is the same in all processes.
func RendezvousWeight(hash uint64, ip IP) uint64 {
	x := hash ^ uint64(ip)*0x9e3779b97f4a7c15
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Flags holds the header flags of a packet.
type Flags uint8

// Flags of packets.
const (
	// Syn opens a flow; with Ack it accepts the flow.
	Syn Flags = 1 << iota
	Ack
	// Fin ends one direction.
	Fin
	// Rst ends the flow.
	Rst
	// Bounced marks a caller's packet that the upstream rejected and sent back.
	Bounced
)

// Has reports whether all flags in want are set.
func (f Flags) Has(want Flags) bool { return f&want == want }

// Packet is a packet with its decoded header.
type Packet struct {
	Flow  ID
	Flags Flags
	// Seq is the position of the packet's first data byte in its direction.
	Seq uint32
	// AckSeq is the position up to which the other direction is acknowledged. In a
	// caller's Syn it is the number of earlier copies of that Syn.
	AckSeq uint32
	// Len is the data length in bytes.
	Len int
	// Bytes is the whole packet.
	Bytes []byte
}

// OpensFlow reports whether the packet requests a new flow.
func (p Packet) OpensFlow() bool { return p.Flags.Has(Syn) && !p.Flags.Has(Ack) }

// firstRetransmissionDelay is when callers first retransmit the packet that opens a flow.
const firstRetransmissionDelay = 200 * time.Millisecond

// MayBeOpenAfter is the time in processes after which another copy of a flow's first packet
// may have opened the flow; it leaves half of the retransmission delay to the way.
const MayBeOpenAfter = firstRetransmissionDelay / 2

// DefaultLifetime is how long a flow may stay open if the settings do not say; older flows
// may be discarded.
const DefaultLifetime = 60 * time.Second

// OpenTimeout is how long callers try to open a flow before they give up.
const OpenTimeout = 1400 * time.Millisecond

// OpenTimeLeft returns how long the caller still tries to open a flow when it sends a
// copy of the first packet. retransmissions is the copy's AckSeq.
func OpenTimeLeft(retransmissions uint32) time.Duration {
	sentAfter := [...]time.Duration{0, firstRetransmissionDelay, 600 * time.Millisecond}
	return OpenTimeout - sentAfter[min(int(retransmissions), len(sentAfter)-1)]
}

// MayBeOpen reports whether a flow may already be open elsewhere when a copy of its
// first packet is handled, because an earlier or later copy may have been accepted.
// waited is how long this copy has been queued in all processes.
func MayBeOpen(retransmissions uint32, waited time.Duration) bool {
	return retransmissions > 0 || waited >= MayBeOpenAfter
}

// Codec encodes and decodes packets. All fields must be set.
type Codec struct {
	// DecodeFromCaller decodes a packet sent by a caller; ok is false if b is not one.
	DecodeFromCaller func(b []byte) (p Packet, ok bool)
	// DecodeFromUpstream decodes a packet that an upstream sent or bounced.
	DecodeFromUpstream func(b []byte) (p Packet, ok bool)
	// RestoreBounced restores a bounced packet, in place, to what the caller sent.
	RestoreBounced func(b []byte)
	// NewReset encodes the packet that tells the caller that a flow has ended.
	NewReset func(id ID, seq uint32) []byte
}
