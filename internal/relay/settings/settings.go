// Package settings holds what a process that relays flows is told at its start.
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

// Settings is what a balancer or agent is told.
type Settings struct {
	// Name is the instance's name in logs.
	Name string
	// Instance is the instance's own address.
	Instance   netip.Addr
	DataCentre string
	// Callers is the address that the routers send callers' packets to; callers
	// receive at its port.
	Callers netip.AddrPort
	// Ready is the address where the process says whether it can route.
	Ready netip.AddrPort
	// Control and Outbound are where the upstream sends its heartbeats and packets
	// to, Upstream is where it receives packets. Only agents have them.
	Control, Outbound, Upstream netip.AddrPort
	// Service is the upstream's service.
	Service string
	// PeerPort to LastPeerPort are the ports for the processes among themselves,
	// the same on all instances.
	PeerPort, LastPeerPort uint16
	// Store is the platform's store.
	Store netip.AddrPort
	// HeartbeatEvery is the interval of the upstream's heartbeats, 0 if unknown.
	HeartbeatEvery time.Duration
}

// CheckAgent notes what an agent misses.
func (s *Settings) CheckAgent(p *Problems) {
	for _, f := range []struct {
		name string
		set  bool
	}{
		{"Control", s.Control.IsValid()}, {"Outbound", s.Outbound.IsValid()}, {"Upstream", s.Upstream.IsValid()}, {"Service", s.Service != ""},
	} {
		if !f.set {
			p.Add(f.name, "is missing")
		}
	}
}

// Problems is everything that is wrong with a settings file.
type Problems struct {
	File  string
	lines []string
}

// Add notes that a field cannot be used.
func (p *Problems) Add(field, reason string) {
	p.lines = append(p.lines, p.File+": "+field+" "+reason)
}

// Err returns the problems, nil where there are none.
func (p *Problems) Err() error {
	if len(p.lines) == 0 {
		return nil
	}
	return p
}

// Error returns one line for each problem.
func (p *Problems) Error() string { return strings.Join(p.lines, "\n") }
