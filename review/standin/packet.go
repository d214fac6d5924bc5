package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"net/netip"
)

// Bits of the flags byte.
const (
	flagRst     = 4
	flagFin     = 8
	flagSyn     = 32
	flagAck     = 64
	flagBounced = 128
)

// header is the head of a packet.
type header struct {
	Seq, Ack, Sum uint32
	Len, DstPort  uint16
	Dst, Src      uint32
	SrcPort       uint16
	Flags         uint8
	Pad           [3]byte
	Echo          uint32
}

// headerSize is the length of an encoded header in bytes.
const headerSize = 34

// sumKey keys the sums of clients and targets.
const sumKey = 0x51f2c3a7

// computeSum returns the sum of the fields that only the ends of a flow write. It is never
// 0, which marks the resets of the system.
func (h header) computeSum(data []byte) uint32 {
	h.Sum, h.Pad, h.Echo = sumKey, [3]byte{}, 0
	h.Flags &^= flagBounced
	f := fnv.New32a()
	// Writing a struct of fixed size to a hash cannot fail.
	_ = binary.Write(f, binary.BigEndian, h)
	_, _ = f.Write(data)
	return max(f.Sum32(), 1)
}

// encode returns the packet of a header and data.
func (h header) encode(data []byte) []byte {
	h.Len = uint16(len(data))
	h.Sum = h.computeSum(data)
	var b bytes.Buffer
	_ = binary.Write(&b, binary.BigEndian, h)
	b.Write(data)
	return b.Bytes()
}

// parse decodes a packet. genuine reports whether an end of the flow wrote it.
func parse(b []byte) (h header, data []byte, genuine bool) {
	if len(b) < headerSize || binary.Read(bytes.NewReader(b), binary.BigEndian, &h) != nil {
		return h, nil, false
	}
	data = b[headerSize:]
	return h, data, int(h.Len) == len(data) && h.Sum == h.computeSum(data)
}

// isSystemReset reports whether a packet to a client is a reset that the system wrote.
func (h header) isSystemReset() bool { return h.Flags == flagRst && h.Sum == 0 && h.Len == 0 }

// endpoint is an address and port of one end of a flow.
type endpoint struct {
	ip   uint32
	port uint16
}

func (e endpoint) String() string {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], e.ip)
	return fmt.Sprintf("%v:%d", netip.AddrFrom4(b), e.port)
}

// flowID names a flow by the client's end and the route's address.
type flowID struct{ client, route endpoint }

func (id flowID) String() string { return id.client.String() + ">" + id.route.String() }

// fromClient returns the header of a packet from the client.
func (id flowID) fromClient(flags uint8, seq, ack uint32) header {
	return header{Src: id.client.ip, SrcPort: id.client.port, Dst: id.route.ip, DstPort: id.route.port, Flags: flags, Seq: seq, Ack: ack}
}

// toClient returns the header of a packet to the client.
func (id flowID) toClient(flags uint8, seq, ack uint32) header {
	return header{Src: id.route.ip, SrcPort: id.route.port, Dst: id.client.ip, DstPort: id.client.port, Flags: flags, Seq: seq, Ack: ack}
}

// flowOfClientPacket returns the flow of a packet that a client sent.
func flowOfClientPacket(h header) flowID {
	return flowID{endpoint{h.Src, h.SrcPort}, endpoint{h.Dst, h.DstPort}}
}

// flowOfTargetPacket returns the flow of a packet to a client.
func flowOfTargetPacket(h header) flowID {
	return flowID{endpoint{h.Dst, h.DstPort}, endpoint{h.Src, h.SrcPort}}
}

func ipOf(a netip.Addr) uint32 {
	b := a.As4()
	return binary.BigEndian.Uint32(b[:])
}
