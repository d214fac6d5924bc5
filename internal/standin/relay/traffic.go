package relay

import (
	"google.golang.org/protobuf/proto"

	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/message"
)

// headerBytes is the size of a datagram's IP and UDP headers.
const headerBytes = 28

// Traffic counts the messages that one process has sent.
type Traffic struct {
	// Reports, Carried and Others count messages by kind.
	Reports, Carried, Others int
	// Bytes counts the bytes of all messages with their headers, RemoteBytes those of
	// messages to other data centres.
	Bytes, RemoteBytes int
}

// Messages returns the number of messages of all kinds.
func (t Traffic) Messages() int { return t.Reports + t.Carried + t.Others }

// countMessage adds a message to the traffic of its sender.
func (w *World) countMessage(from, to flow.IP, e *message.Envelope) {
	t := w.Traffic[from]
	if t == nil {
		t = &Traffic{}
		w.Traffic[from] = t
	}
	switch e.Body.(type) {
	case *message.Envelope_Report:
		t.Reports++
	case *message.Envelope_Carried:
		t.Carried++
	default:
		t.Others++
	}
	size := headerBytes + proto.Size(e)
	t.Bytes += size
	if w.processes[from].DataCentre != w.processes[to].DataCentre {
		t.RemoteBytes += size
	}
}
