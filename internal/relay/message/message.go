// Package message defines the messages that balancers and agents exchange about
// relayed flows.
//
// Each message is one datagram with one Envelope and may be lost, duplicated or
// late. The Go code is generated from message.proto and committed, so that a build
// needs no generator.
//
// # Usage
//
// Regenerate the code after changing message.proto:
//
//	go generate ./internal/relay/message
package message

//go:generate protoc --go_out=paths=source_relative:. message.proto

import (
	"github.com/rotisserie/eris"

	"github.com/jaytack/jaytack/internal/relay/flow"
)

// FlowOf converts a flow ID to its message form.
func FlowOf(id flow.ID) *Flow {
	return &Flow{
		CallerIP: uint32(id.Caller.IP), CallerPort: uint32(id.Caller.Port),
		AddressIP: uint32(id.Address.IP), AddressPort: uint32(id.Address.Port),
	}
}

// ID converts the message to a flow ID.
func (f *Flow) ID() flow.ID {
	return flow.ID{
		Caller:  flow.Endpoint{IP: flow.IP(f.GetCallerIP()), Port: uint16(f.GetCallerPort())},
		Address: flow.Endpoint{IP: flow.IP(f.GetAddressIP()), Port: uint16(f.GetAddressPort())},
	}
}

// Bounds of valid records. Other writers may leave entries with any content.
const (
	// maxNameBytes is the maximum length of a service's, data centre's or upstream's name.
	maxNameBytes = 200
	// maxIncarnation is above all start times in Unix milliseconds and below the numbers
	// that a restart could not exceed.
	maxIncarnation = 1 << 53
	// maxSlots is the maximum number of requests that an upstream runs at a time.
	maxSlots = 1 << 16
)

// ErrRecord reports a record that no process of the fleet writes.
var ErrRecord = eris.New("record is invalid")

// ErrCheckpoint reports a checkpoint that no process of the fleet writes.
var ErrCheckpoint = eris.New("checkpoint is invalid")

// Check returns ErrCheckpoint with the reason if a checkpoint lacks the start of the upstream, or a
// flow or its acknowledgement number.
func (c *Checkpoint) Check() error {
	if c.UpstreamBorn <= 0 {
		return eris.Wrapf(ErrCheckpoint, "start %d", c.UpstreamBorn)
	}
	for _, f := range c.Flows {
		if id := f.GetFlow().ID(); f.LastAck == 0 || id.Caller.Port == 0 || id.Address.Port == 0 {
			return eris.Wrapf(ErrCheckpoint, "flow %v", id)
		}
	}
	return nil
}

// Check returns ErrRecord with the reason if a record names no process that can be used: its
// instance is not the address of one, or a field is missing or out of range.
func (r *Record) Check() error {
	ip := flow.IP(r.GetInstance()).Addr()
	switch {
	case ip.IsUnspecified(), ip.IsMulticast(), ip.Is4() && ip.As4()[0] >= 240:
		return eris.Wrapf(ErrRecord, "instance %v", ip)
	case r.DataCentre == "":
		return eris.Wrap(ErrRecord, "no data centre")
	case max(len(r.Service), len(r.DataCentre), len(r.Upstream)) > maxNameBytes:
		return eris.Wrap(ErrRecord, "a name is too long")
	case r.Incarnation == 0:
		return eris.Wrap(ErrRecord, "no incarnation")
	case r.Incarnation > maxIncarnation || r.Sequence > maxIncarnation:
		return eris.Wrapf(ErrRecord, "incarnation %d, sequence %d", r.Incarnation, r.Sequence)
	case State_name[int32(r.State)] == "":
		return eris.Wrapf(ErrRecord, "state %d", r.State)
	case r.Slots > maxSlots:
		return eris.Wrapf(ErrRecord, "%d slots", r.Slots)
	}
	return nil
}
