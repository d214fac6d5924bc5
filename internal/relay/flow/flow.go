// Package flow holds the types of relayed flows.
//
// A relayed flow is a caller's connection whose packets jaytack carries whole:
// it reads their headers and changes nothing that the ends can see. A flow is
// named by its four addresses and ports.
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

// IP is an IPv4 address. It also names an instance, since each runs one process
// of a role. 0 is none.
type IP uint32

// IPOf returns the IPv4 address of a, 0 where it is not one.
func IPOf(a netip.Addr) IP {
	a = a.Unmap()
	if !a.Is4() {
		return 0
	}
	b := a.As4()
	return IP(binary.BigEndian.Uint32(b[:]))
}

// Addr returns the address for the standard library.
func (ip IP) Addr() netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], uint32(ip))
	return netip.AddrFrom4(b)
}

// String returns the address in dotted form.
func (ip IP) String() string { return ip.Addr().String() }

// Endpoint is one end of a flow.
type Endpoint struct {
	IP   IP
	Port uint16
}

// AddrPort returns the endpoint for the standard library.
func (e Endpoint) AddrPort() netip.AddrPort { return netip.AddrPortFrom(e.IP.Addr(), e.Port) }

// String returns the endpoint as address and port.
func (e Endpoint) String() string { return e.IP.String() + ":" + strconv.Itoa(int(e.Port)) }

// EndpointOf returns the endpoint of an IPv4 address and port.
func EndpointOf(a netip.AddrPort) Endpoint { return Endpoint{IPOf(a.Addr()), a.Port()} }

// ID names a flow.
type ID struct {
	// Caller is the caller's end.
	Caller Endpoint
	// Address is the service address that the caller talks to.
	Address Endpoint
}

// String returns the caller's end and the service address.
func (id ID) String() string { return id.Caller.String() + ">" + id.Address.String() }

// Compare orders flows by caller, then by address.
func (id ID) Compare(o ID) int {
	return cmp.Or(cmp.Compare(id.Caller.IP, o.Caller.IP), cmp.Compare(id.Caller.Port, o.Caller.Port),
		cmp.Compare(id.Address.IP, o.Address.IP), cmp.Compare(id.Address.Port, o.Address.Port))
}

// Hash returns a hash that all processes agree on.
func (id ID) Hash() uint64 {
	var b [12]byte
	binary.BigEndian.PutUint32(b[0:], uint32(id.Caller.IP))
	binary.BigEndian.PutUint16(b[4:], id.Caller.Port)
	binary.BigEndian.PutUint32(b[6:], uint32(id.Address.IP))
	binary.BigEndian.PutUint16(b[10:], id.Address.Port)
	return xxhash.Sum64(b[:])
}

// RendezvousWeight mixes a flow's hash with an instance, for a choice of instances by highest
// random weight that all processes agree on.
func RendezvousWeight(hash uint64, ip IP) uint64 {
	x := hash ^ uint64(ip)*0x9e3779b97f4a7c15
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Flags say what a packet does to its flow.
type Flags uint8

// Flags of packets.
const (
	// Syn asks for a new flow or, with Ack, accepts it.
	Syn Flags = 1 << iota
	Ack
	// Fin ends one direction.
	Fin
	// Rst ends the flow.
	Rst
	// Bounced marks a caller's packet that the upstream did not take.
	Bounced
)

// Has reports whether all of the flags are set.
func (f Flags) Has(of Flags) bool { return f&of == of }

// Packet is the header of a packet, decoded, with the packet itself.
type Packet struct {
	Flow  ID
	Flags Flags
	// Seq is the position of the first byte of data in its direction.
	Seq uint32
	// AckSeq is the position up to which the other direction is acknowledged; on a
	// caller's Syn it counts the copies of it.
	AckSeq uint32
	// Len is the length of the data in bytes.
	Len int
	// Bytes is the whole packet.
	Bytes []byte
}

// OpensFlow reports whether the packet asks for a new flow.
func (p Packet) OpensFlow() bool { return p.Flags.Has(Syn) && !p.Flags.Has(Ack) }

// firstCopyAfter is when callers send the first copy of a first packet.
const firstCopyAfter = 200 * time.Millisecond

// OpenTimeout is how long callers try to open a flow.
const OpenTimeout = 1400 * time.Millisecond

// OpenTimeLeft returns for how much longer a caller tries to open a flow when it
// sends a copy of the first packet; AckSeq of the copy counts them.
func OpenTimeLeft(copies uint32) time.Duration {
	sent := [...]time.Duration{0, firstCopyAfter, 600 * time.Millisecond}
	return OpenTimeout - sent[min(int(copies), len(sent)-1)]
}

// MayBeOpen reports whether a flow may have opened elsewhere by the time when a copy
// of its first packet is handled, which has waited in the fleet for a time: any
// later copy may come after an earlier one was accepted.
func MayBeOpen(copies uint32, waited time.Duration) bool {
	return copies > 0 || waited >= firstCopyAfter/2
}

// Codec reads and writes packets. All fields are set.
type Codec struct {
	// DecodeFromCaller decodes a packet that a caller wrote; ok is false where it is none.
	DecodeFromCaller func(b []byte) (p Packet, ok bool)
	// DecodeFromUpstream decodes a packet of an upstream or one that it bounced.
	DecodeFromUpstream func(b []byte) (p Packet, ok bool)
	// RestoreBounced makes a bounced packet again what the caller wrote, in place.
	RestoreBounced func(b []byte)
	// NewReset returns the packet that tells the caller that a flow has ended.
	NewReset func(id ID, seq uint32) []byte
}
