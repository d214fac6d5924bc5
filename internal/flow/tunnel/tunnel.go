// Package tunnel is the datagram format between the fabric, the balancers and
// the agents.
//
// A balancer puts a header before each caller's datagram and sends it to an
// agent; an agent does the same with each answer. The header of these two
// carries a tag under the system's key, so that a process without the key
// is refused. Datagrams between fabric and balancer have the same header with
// an empty tag.
//
// # Layout
//
//	byte  0      kind
//	byte  1      flags
//	bytes 2-3    service number
//	bytes 4-21   caller: IPv6 or mapped IPv4 address (16), port (2)
//	bytes 22-39  service address, in the same form
//	bytes 40-45  second choice for a new flow: IPv4 (4), port (2), zero for none
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

// HeaderLength is the number of bytes before the payload.
const HeaderLength = 56

// MaxDatagram is the largest datagram that the fleet handles, in bytes.
const MaxDatagram = 2048

const (
	tagStart     = 48
	payloadInTag = 32
	keyLength    = 16
)

// Kind tells what a datagram is for.
type Kind uint8

// Kinds of datagrams.
const (
	FromFabric       Kind = iota + 1 // A caller's datagram, from the fabric to a balancer.
	ToFabric                         // An answer, from a balancer to the fabric.
	ToAgent                          // A caller's datagram, from a balancer to an agent.
	ToBalancer                       // An answer, from an agent to a balancer.
	Control                          // A sealed control datagram.
	ToFabricAnnounce                 // A balancer tells the fabric whether it takes datagrams.
)

// Flags of a datagram.
type Flags uint8

const (
	// NewFlow marks a datagram whose connection ID is not sealed.
	NewFlow Flags = 1 << iota
	// Unsettled marks a new flow that balancers may place differently just now.
	Unsettled
	// Forwarded marks a datagram that its first choice passed on.
	Forwarded
)

var (
	// ErrShort reports a datagram that is too short for its header.
	ErrShort = errors.New("datagram is too short")
	// ErrTag reports a datagram from a process without the system's key.
	ErrTag = errors.New("datagram has a wrong tag")
)

// Header is what the fleet adds to a caller's datagram.
type Header struct {
	Kind           Kind
	Flags          Flags
	Service        contract.ServiceNumber
	Caller         netip.AddrPort
	ServiceAddress netip.AddrPort
	SecondChoice   netip.AddrPort
}

// Key is the key of the tags.
type Key struct {
	k0, k1 uint64
}

// NewKey returns a key from 16 bytes of secret.
func NewKey(secret [keyLength]byte) Key {
	return Key{binary.LittleEndian.Uint64(secret[:8]), binary.LittleEndian.Uint64(secret[8:])}
}

// Put writes the header into the first HeaderLength bytes of datagram, whose
// payload must already follow.
func Put(datagram []byte, h Header, key Key) {
	putUntagged(datagram, h)
	binary.LittleEndian.PutUint64(datagram[tagStart:], tag(datagram, key))
}

// PutPlain writes the header of a datagram from or to the fabric.
func PutPlain(datagram []byte, h Header) {
	putUntagged(datagram, h)
	clear(datagram[tagStart:HeaderLength])
}

func putUntagged(b []byte, h Header) {
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
	end := min(len(b), HeaderLength+payloadInTag)
	head := siphash.Hash(key.k0, key.k1, b[:tagStart])
	return siphash.Hash(key.k0^head, key.k1, b[HeaderLength:end])
}

// KindOf returns the kind of a datagram, 0 if it is empty.
func KindOf(datagram []byte) Kind {
	if len(datagram) == 0 {
		return 0
	}
	return Kind(datagram[0])
}

// Open checks the tag and returns the header and the payload.
//
// It fails with ErrShort or ErrTag.
func Open(datagram []byte, key Key) (Header, []byte, error) {
	if len(datagram) <= HeaderLength {
		return Header{}, nil, ErrShort
	}
	if binary.LittleEndian.Uint64(datagram[tagStart:]) != tag(datagram, key) {
		return Header{}, nil, ErrTag
	}
	return get(datagram), datagram[HeaderLength:], nil
}

// OpenPlain returns the header and payload of a datagram from or to the fabric.
func OpenPlain(datagram []byte) (Header, []byte, error) {
	if len(datagram) <= HeaderLength {
		return Header{}, nil, ErrShort
	}
	return get(datagram), datagram[HeaderLength:], nil
}

func get(b []byte) Header {
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

// announcementLength is the length of a balancer's announcement to the fabric.
const announcementLength = 2

// Announcement returns the datagram by which a balancer tells the fabric
// whether it takes datagrams.
func Announcement(up bool) [announcementLength]byte {
	b := [announcementLength]byte{byte(ToFabricAnnounce)}
	if up {
		b[1] = 1
	}
	return b
}

// ParseAnnouncement reads an announcement; ok is false where datagram is none.
func ParseAnnouncement(datagram []byte) (up, ok bool) {
	if len(datagram) != announcementLength || Kind(datagram[0]) != ToFabricAnnounce {
		return false, false
	}
	return datagram[1] == 1, true
}
