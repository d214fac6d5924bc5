// Package settings holds the settings of a balancer or agent process.
//
// # Usage
//
//	var p settings.Problems
//	p.Add("Store", "is missing")
//	if err := p.Err(); err != nil {
//		return err
//	}
package settings

import (
	"net/netip"
	"strings"
	"time"
)

// Settings holds the settings of a balancer or agent.
type Settings struct {
	// Name is the instance's name in logs.
	Name string
	// Instance is the instance's own address.
	Instance   netip.Addr
	DataCentre string
	// Callers is the address that the routers send callers' packets to; replies go to
	// the same port of the caller.
	Callers netip.AddrPort
	// Ready is the address of the readiness probe.
	Ready netip.AddrPort
	// Control is the address that the upstream sends heartbeats to, Outbound the address
	// that it sends packets to, and Upstream the address that it receives packets at.
	// Only agents have them.
	Control, Outbound, Upstream netip.AddrPort
	// Service is the upstream's service.
	Service string
	// PeerPort to LastPeerPort is the port range for traffic between processes, the
	// same on all instances.
	PeerPort, LastPeerPort uint16
	// Store is the platform's store.
	Store netip.AddrPort
	// HeartbeatEvery is the interval of the upstream's heartbeats, 0 if unknown.
	HeartbeatEvery time.Duration
	// FlowLifetime is how long a flow may stay open.
	FlowLifetime time.Duration
	// CrossDataCentreCost is set if traffic between data centres has a price, so that new
	// flows leave theirs only while that pays.
	CrossDataCentreCost bool
}

// AddAgentProblems adds a problem for each missing setting that an agent requires.
func (s *Settings) AddAgentProblems(problems *Problems) {
	for _, field := range []struct {
		name string
		set  bool
	}{
		{"Control", s.Control.IsValid()}, {"Outbound", s.Outbound.IsValid()}, {"Upstream", s.Upstream.IsValid()}, {"Service", s.Service != ""},
	} {
		if !field.set {
			problems.Add(field.name, "is missing")
		}
	}
}

// Problems collects the errors in a settings file.
type Problems struct {
	File     string
	messages []string
}

// Add adds a problem with a field.
func (p *Problems) Add(field, reason string) {
	p.messages = append(p.messages, p.File+": "+field+" "+reason)
}

// Err returns the problems, nil if there are none.
func (p *Problems) Err() error {
	if len(p.messages) == 0 {
		return nil
	}
	return p
}

// Error returns one line for each problem.
func (p *Problems) Error() string { return strings.Join(p.messages, "\n") }
