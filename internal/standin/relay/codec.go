package relay

import (
	"bytes"
	"encoding/binary"

	"github.com/jaytack/jaytack/internal/relay/flow"
)

// head is the stand-in's packet header, which data follows.
type head struct {
	Source, Destination flow.Endpoint
	Flags               flow.Flags
	Seq, Ack            uint32
	// Request names the request that the data belongs to.
	Request uint32
}

var headLen = binary.Size(head{})

// Packet returns a packet of the stand-in with n bytes of data.
func (h head) packet(n int) []byte {
	var b bytes.Buffer
	// A fixed-size struct into memory cannot fail.
	_ = binary.Write(&b, binary.BigEndian, h)
	b.Write(make([]byte, n))
	return b.Bytes()
}

func readHead(b []byte) (h head, ok bool) {
	if len(b) < headLen {
		return h, false
	}
	return h, binary.Read(bytes.NewReader(b), binary.BigEndian, &h) == nil
}

// Codec returns the codec of the stand-in's packets.
func Codec() flow.Codec {
	decode := func(b []byte, fromCaller bool) (flow.Packet, bool) {
		h, ok := readHead(b)
		p := flow.Packet{Flags: h.Flags, Seq: h.Seq, AckSeq: h.Ack, Len: len(b) - headLen, Bytes: b}
		p.Flow = flow.ID{Caller: h.Source, Address: h.Destination}
		if !fromCaller && !h.Flags.Has(flow.Bounced) {
			p.Flow = flow.ID{Caller: h.Destination, Address: h.Source}
		}
		return p, ok
	}
	return flow.Codec{
		DecodeFromCaller:   func(b []byte) (flow.Packet, bool) { return decode(b, true) },
		DecodeFromUpstream: func(b []byte) (flow.Packet, bool) { return decode(b, false) },
		RestoreBounced:     func(b []byte) { b[flagsAt] &^= byte(flow.Bounced) },
		NewReset: func(id flow.ID, seq uint32) []byte {
			return head{Source: id.Address, Destination: id.Caller, Flags: flow.Rst, Seq: seq}.packet(0)
		},
	}
}

// flagsAt is the offset of the flags: two endpoints of six bytes come before.
const flagsAt = 12
