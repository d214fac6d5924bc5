// Package tunnel encodes the datagrams between the fabric, the balancers and the
// agents.
//
// A balancer prepends a header to each caller's datagram and sends it to an agent.
// An agent prepends one to each answer. Both headers are authenticated by a tag
// under the system's key, so that datagrams of processes without the key are
// rejected. Datagrams between fabric and balancer have the same header with a zero
// tag.
//
// # Layout
//
//	byte  0      kind
//	byte  1      flags
//	bytes 2-3    service number
//	bytes 4-21   caller: IPv6 or mapped IPv4 address (16), port (2)
//	bytes 22-39  service address, in the same format
//	bytes 40-45  second-choice agent for a new flow: IPv4 (4), port (2), zero for none
//	bytes 46-47  zero
//	bytes 48-55  SipHash tag of bytes 0-47 and of up to 32 bytes of the payload
//	bytes 56-    payload
//
// # Usage
//
//	n := tunnel.Put(buf, h, key)
//	h, payload, err := tunnel.Open(datagram, key)
package tunnel

import (
	"encoding/binary"
	"errors"
	"net/netip"

	"github.com/dchest/siphash"

	"github.com/jaytack/jaytack/internal/customer/contract"
)

// HeaderLength is the size of the header in bytes.
const HeaderLength = 56

// MaxDatagram is the size in bytes of the largest datagram that the fleet handles.
const MaxDatagram = 2048

const (
	tagOffset          = 48
	taggedPayloadBytes = 32
	keyLength          = 16
)

// Kind is the type of a datagram.
type Kind uint8

// Kinds of datagrams.
const (
	FromFabric       Kind = iota + 1 // A caller's datagram, from the fabric to a balancer.
	ToFabric                         // An answer, from a balancer to the fabric.
	ToAgent                          // A caller's datagram, from a balancer to an agent.
	ToBalancer                       // An answer, from an agent to a balancer.
	Control                          // A sealed control datagram.
	ToFabricAnnounce                 // A balancer tells the fabric whether it accepts datagrams.
)

// Flags is a bit set of properties of a datagram.
type Flags uint8

const (
	// NewFlow marks a datagram whose connection ID is not sealed.
	NewFlow Flags = 1 << iota
	// Unsettled marks a new flow that other balancers may currently place elsewhere.
	Unsettled
	// Forwarded marks a datagram that the first-choice agent forwarded to the second.
	Forwarded
)

var (
	// ErrShort reports a datagram that is too short for its header.
	ErrShort = errors.New("datagram is too short")
	// ErrTag reports a datagram that was not tagged with the system's key.
	ErrTag = errors.New("datagram has a wrong tag")
)

// Header is the header that precedes a caller's datagram.
type Header struct {
	Kind           Kind
	Flags          Flags
	Service        contract.ServiceNumber
	Caller         netip.AddrPort
	ServiceAddress netip.AddrPort
	SecondChoice   netip.AddrPort
}

// Key is the SipHash key of the tags.
type Key struct {
	k0, k1 uint64
}

// NewKey returns the key for a secret of 16 bytes.
func NewKey(secret [keyLength]byte) Key {
	return Key{binary.LittleEndian.Uint64(secret[:8]), binary.LittleEndian.Uint64(secret[8:])}
}

// Put writes the header with its tag into the first HeaderLength bytes of datagram.
// The payload must already follow them, because the tag covers part of it.
func Put(datagram []byte, h Header, key Key) {
	writeHeader(datagram, h)
	binary.LittleEndian.PutUint64(datagram[tagOffset:], tag(datagram, key))
}

// PutPlain writes the header of a datagram from or to the fabric, without a tag.
func PutPlain(datagram []byte, h Header) {
	writeHeader(datagram, h)
	clear(datagram[tagOffset:HeaderLength])
}

func writeHeader(b []byte, h Header) {
	_ = b[HeaderLength-1]
	b[0] = byte(h.Kind)
	b[1] = byte(h.Flags)
	binary.BigEndian.PutUint16(b[2:], uint16(h.Service))
	putAddress(b[4:22], h.Caller)
	putAddress(b[22:40], h.ServiceAddress)
	clear(b[40:48])
	if h.SecondChoice.IsValid() {
		ip := h.SecondChoice.Addr().As4()
		copy(b[40:44], ip[:])
		binary.BigEndian.PutUint16(b[44:], h.SecondChoice.Port())
	}
}

func putAddress(b []byte, a netip.AddrPort) {
	ip := a.Addr().As16()
	copy(b, ip[:])
	binary.BigEndian.PutUint16(b[16:], a.Port())
}

func getAddress(b []byte) netip.AddrPort {
	ip := netip.AddrFrom16([16]byte(b[:16])).Unmap()
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(b[16:]))
}

func tag(b []byte, key Key) uint64 {
	end := min(len(b), HeaderLength+taggedPayloadBytes)
	head := siphash.Hash(key.k0, key.k1, b[:tagOffset])
	return siphash.Hash(key.k0^head, key.k1, b[HeaderLength:end])
}

// KindOf returns the kind of a datagram, or 0 if it is empty.
func KindOf(datagram []byte) Kind {
	if len(datagram) == 0 {
		return 0
	}
	return Kind(datagram[0])
}

// Open verifies the tag and returns the header and the payload.
//
// It fails with ErrShort or ErrTag.
func Open(datagram []byte, key Key) (Header, []byte, error) {
	if len(datagram) <= HeaderLength {
		return Header{}, nil, ErrShort
	}
	if binary.LittleEndian.Uint64(datagram[tagOffset:]) != tag(datagram, key) {
		return Header{}, nil, ErrTag
	}
	return readHeader(datagram), datagram[HeaderLength:], nil
}

// OpenPlain returns the header and payload of a datagram from or to the fabric. It
// fails with ErrShort.
func OpenPlain(datagram []byte) (Header, []byte, error) {
	if len(datagram) <= HeaderLength {
		return Header{}, nil, ErrShort
	}
	return readHeader(datagram), datagram[HeaderLength:], nil
}

func readHeader(b []byte) Header {
	h := Header{
		Kind:           Kind(b[0]),
		Flags:          Flags(b[1]),
		Service:        contract.ServiceNumber(binary.BigEndian.Uint16(b[2:])),
		Caller:         getAddress(b[4:22]),
		ServiceAddress: getAddress(b[22:40]),
	}
	if port := binary.BigEndian.Uint16(b[44:]); port != 0 {
		h.SecondChoice = netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[40:44])), port)
	}
	return h
}

// announcementLength is the size in bytes of a balancer's announcement to the fabric.
const announcementLength = 2

// Announcement returns the datagram by which a balancer tells the fabric
// whether it accepts datagrams.
func Announcement(accepting bool) [announcementLength]byte {
	b := [announcementLength]byte{byte(ToFabricAnnounce)}
	if accepting {
		b[1] = 1
	}
	return b
}

// ParseAnnouncement decodes an announcement; ok is false if datagram is not one.
func ParseAnnouncement(datagram []byte) (accepting, ok bool) {
	if len(datagram) != announcementLength || Kind(datagram[0]) != ToFabricAnnounce {
		return false, false
	}
	return datagram[1] == 1, true
}
