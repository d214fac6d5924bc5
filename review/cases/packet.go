package main

import (
	"bytes"
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// Bits of the flags byte of a packet.
const (
	flagRst     = 4
	flagFin     = 8
	flagSyn     = 32
	flagAck     = 64
	flagBounced = 128
)

// sumKey is the key of the checksums. Only clients and targets know it.
const sumKey = 0x7e57

// header is the packet header as PROTOCOL.md describes it.
type header struct {
	Seq, Ack, Sum uint32
	Len, DstPort  uint16
	Dst, Src      uint32
	SrcPort       uint16
	Flags         uint8
	Pad           [3]byte
	Echo          uint32
}

var headerSize = binary.Size(header{})

// checksum returns the keyed sum of what clients and targets write. It is never 0, which marks
// the resets of the system.
func (h header) checksum(data []byte) uint32 {
	h.Sum, h.Pad, h.Echo = sumKey, [3]byte{}, 0
	h.Flags &^= flagBounced
	f := fnv.New32a()
	// Writing a fixed-size struct to a hash cannot fail.
	_ = binary.Write(f, binary.BigEndian, h)
	_, _ = f.Write(data)
	return max(f.Sum32(), 1)
}

// packet encodes a header with data.
func (h header) packet(data []byte) []byte {
	h.Len = uint16(len(data))
	h.Sum = h.checksum(data)
	var b bytes.Buffer
	_ = binary.Write(&b, binary.BigEndian, h)
	b.Write(data)
	return b.Bytes()
}

// parsePacket decodes a packet. ok is false if its length or checksum is wrong.
func parsePacket(b []byte) (h header, data []byte, ok bool) {
	if len(b) < headerSize || binary.Read(bytes.NewReader(b), binary.BigEndian, &h) != nil {
		return h, nil, false
	}
	data = b[headerSize:]
	return h, data, h.Sum == h.checksum(data) && int(h.Len) == len(data)
}

// isSystemReset reports whether the system itself has written a reset.
func (h header) isSystemReset() bool { return h.Flags&flagRst != 0 && h.Sum == 0 && h.Len == 0 }

// endpoint is one end of a flow.
type endpoint struct {
	ip   uint32
	port uint16
}

// flowID names a flow by its two ends.
type flowID struct{ client, address endpoint }

func (h header) fromClient() flowID {
	return flowID{endpoint{h.Src, h.SrcPort}, endpoint{h.Dst, h.DstPort}}
}

func (h header) toClient() flowID {
	return flowID{endpoint{h.Dst, h.DstPort}, endpoint{h.Src, h.SrcPort}}
}

func (f flowID) clientHeader() header {
	return header{Src: f.client.ip, SrcPort: f.client.port, Dst: f.address.ip, DstPort: f.address.port}
}

func (f flowID) targetHeader() header {
	return header{Src: f.address.ip, SrcPort: f.address.port, Dst: f.client.ip, DstPort: f.client.port}
}

func (f flowID) String() string {
	return addrPort(f.client).String() + ">" + addrPort(f.address).String()
}

func addrPort(e endpoint) netip.AddrPort {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], e.ip)
	return netip.AddrPortFrom(netip.AddrFrom4(b), e.port)
}

func ipNumber(a netip.Addr) uint32 {
	b := a.As4()
	return binary.BigEndian.Uint32(b[:])
}
