package relay

import (
	"bytes"
	"encoding/binary"

	"github.com/jaytack/jaytack/internal/relay/flow"
)

// header precedes the data of each packet of the stand-in.
type header struct {
	Source, Destination flow.Endpoint
	Flags               flow.Flags
	Seq, Ack            uint32
	// Request is the number of the request that the data belongs to.
	Request uint32
}

var headerLen = binary.Size(header{})

// packet returns a packet with this header and dataLen zero bytes of data.
func (h header) packet(dataLen int) []byte {
	var b bytes.Buffer
	// Writing a fixed-size struct to memory cannot fail.
	_ = binary.Write(&b, binary.BigEndian, h)
	b.Write(make([]byte, dataLen))
	return b.Bytes()
}

func parseHeader(b []byte) (h header, ok bool) {
	if len(b) < headerLen {
		return h, false
	}
	return h, binary.Read(bytes.NewReader(b), binary.BigEndian, &h) == nil
}

// Codec returns the codec for packets of the stand-in.
func Codec() flow.Codec {
	decode := func(b []byte, fromCaller bool) (flow.Packet, bool) {
		h, ok := parseHeader(b)
		p := flow.Packet{Flags: h.Flags, Seq: h.Seq, AckSeq: h.Ack, Len: len(b) - headerLen, Bytes: b}
		p.Flow = flow.ID{Caller: h.Source, Address: h.Destination}
		if !fromCaller && !h.Flags.Has(flow.Bounced) {
			p.Flow = flow.ID{Caller: h.Destination, Address: h.Source}
		}
		return p, ok
	}
	return flow.Codec{
		DecodeFromCaller:   func(b []byte) (flow.Packet, bool) { return decode(b, true) },
		DecodeFromUpstream: func(b []byte) (flow.Packet, bool) { return decode(b, false) },
		RestoreBounced:     func(b []byte) { b[flagsOffset] &^= byte(flow.Bounced) },
		NewReset: func(id flow.ID, seq uint32) []byte {
			return header{Source: id.Address, Destination: id.Caller, Flags: flow.Rst, Seq: seq}.packet(0)
		},
	}
}

// flagsOffset is the offset of the flags, which follow two endpoints of six bytes.
const flagsOffset = 12
