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
	"slices"
	"strings"
	"time"

	"github.com/jaytack/jaytack/internal/relay/warmup"
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
	// EvacuateWithin is how long after the request to evacuate a data centre new flows may
	// still reach its upstreams; 0 if the deployment has no evacuations.
	EvacuateWithin time.Duration
	// DataCentres names all data centres, none if they are not known.
	DataCentres Names
	// WarmUp is what cold upstreams tolerate beyond the rate of their service.
	WarmUp warmup.Bounds
	// CrossDataCentreCost is set if traffic between data centres has a price, so that new
	// flows leave theirs only while that pays.
	CrossDataCentreCost bool
	// EjectFailing is set if upstreams that fail requests while they say that they are well get
	// no new flows.
	EjectFailing bool
}

// Names is a list of names. Unlike a slice it can be compared with ==.
type Names string

// NamesOf returns the list of some names without duplicates and empty ones, sorted.
func NamesOf(names ...string) Names {
	names = slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == "" || strings.Contains(n, "\n") })
	slices.Sort(names)
	return Names(strings.Join(slices.Compact(names), "\n"))
}

// All returns the names in order.
func (n Names) All() []string {
	if n == "" {
		return nil
	}
	return strings.Split(string(n), "\n")
}

// Contains reports whether a name is in the list.
func (n Names) Contains(name string) bool { return slices.Contains(n.All(), name) }

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
