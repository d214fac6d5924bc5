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

import "github.com/jaytack/jaytack/internal/relay/flow"

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
