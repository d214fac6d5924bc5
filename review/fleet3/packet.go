package main

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"net/netip"
)

// Layout of the header, and the bits of its flags.
const (
	headerBytes = 34

	flagRst     = 4
	flagFin     = 8
	flagSyn     = 32
	flagAck     = 64
	flagBounced = 128
)

// sumKey is the key of the checksum that clients and targets share.
const sumKey = 0x5eed1a7b

// endpoint is one end of a flow.
type endpoint struct {
	ip   uint32
	port uint16
}

func endpointOf(a netip.AddrPort) endpoint {
	b := a.Addr().As4()
	return endpoint{binary.BigEndian.Uint32(b[:]), a.Port()}
}

// String returns the endpoint as address:port.
func (e endpoint) String() string {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], e.ip)
	return netip.AddrPortFrom(netip.AddrFrom4(b), e.port).String()
}

// flowID identifies a flow by its client and the service address.
type flowID struct{ client, address endpoint }

// String returns both ends.
func (f flowID) String() string { return f.client.String() + ">" + f.address.String() }

// packet is a datagram of a flow.
type packet struct {
	src, dst endpoint
	flags    byte
	seq, ack uint32
	sum      uint32
	data     []byte
}

// encode returns the datagram with its checksum.
func (p packet) encode() []byte {
	b := make([]byte, headerBytes, headerBytes+len(p.data))
	be := binary.BigEndian
	be.PutUint32(b[0:], p.seq)
	be.PutUint32(b[4:], p.ack)
	be.PutUint16(b[12:], uint16(len(p.data)))
	be.PutUint16(b[14:], p.dst.port)
	be.PutUint32(b[16:], p.dst.ip)
	be.PutUint32(b[20:], p.src.ip)
	be.PutUint16(b[24:], p.src.port)
	b[26] = p.flags
	b = append(b, p.data...)
	be.PutUint32(b[8:], checksum(b))
	return b
}

// checksum returns the keyed sum of all fields except echo, pad and the bounced flag. It is
// never 0, the sum of resets that the system writes.
func checksum(b []byte) uint32 {
	c := append([]byte(nil), b...)
	binary.BigEndian.PutUint32(c[8:], sumKey)
	c[26] &^= flagBounced
	for i := 27; i < headerBytes; i++ {
		c[i] = 0
	}
	h := fnv.New32a()
	_, _ = h.Write(c)
	return max(h.Sum32(), 1)
}

// parse decodes a datagram. valid is set if its sender's checksum is right.
func parse(b []byte) (p packet, valid bool) {
	if len(b) < headerBytes {
		return p, false
	}
	be := binary.BigEndian
	p = packet{
		src: endpoint{be.Uint32(b[20:]), be.Uint16(b[24:])}, dst: endpoint{be.Uint32(b[16:]), be.Uint16(b[14:])},
		flags: b[26], seq: be.Uint32(b[0:]), ack: be.Uint32(b[4:]), sum: be.Uint32(b[8:]), data: append([]byte(nil), b[headerBytes:]...),
	}
	return p, int(be.Uint16(b[12:])) == len(p.data) && p.sum == checksum(b)
}

// isSystemReset reports whether the packet is a reset that the system wrote.
func (p packet) isSystemReset() bool { return p.flags&flagRst != 0 && p.sum == 0 && len(p.data) == 0 }

// String describes the packet for the record.
func (p packet) String() string {
	return fmt.Sprintf("flags=%d seq=%d ack=%d data=%d", p.flags, p.seq, p.ack, len(p.data))
}
