// Package routes keeps the configuration of relayed flows: which service each
// address belongs to.
//
// Versions only go up within one process. What the process was told is kept whole,
// so that it can be passed on to others.
//
// # Usage
//
//	var b routes.Book
//	changed := b.Apply(cfg)
//	route, known := b.Lookup(id.Address)
//	service := route.ServiceOf(id.Hash())
//
// The package does no input or output. A Book must not be shared without a lock.
package routes

import (
	"maps"
	"slices"
	"time"

	"github.com/jaytack/jaytack/internal/relay/flow"
)

// Version orders configurations; it increases in uneven steps. 0 is none.
type Version int64

// Kind says what may be repeated.
type Kind string

// Kinds of requests.
const (
	// Safe requests are idempotent.
	Safe Kind = "safe"
	// Unsafe requests run at most once.
	Unsafe Kind = "unsafe"
	// Upload requests run at most once and carry much data.
	Upload Kind = "upload"
)

// Share is a service's share of a route's new flows.
type Share struct {
	Service string
	Weight  uint32
}

// Route is one address and what is served there.
type Route struct {
	Name    string
	Address flow.Endpoint
	// Shares lists the services that take new flows, at least one.
	Shares []Share
	// Former lists services that earlier versions named; flows that are open stay
	// there.
	Former []string
	Kind   Kind
	// Priority of the requests, 0 is the highest.
	Priority uint32
	// Timeout is the deadline of a request, Aim the time in which it should be answered.
	Timeout, TargetLatency time.Duration
}

// ServiceOf returns the service that takes a new flow with this hash.
func (r *Route) ServiceOf(hash uint64) string {
	var total uint64
	for _, s := range r.Shares {
		total += uint64(s.Weight)
	}
	if total == 0 {
		return r.Shares[0].Service
	}
	at := hash % total
	for _, s := range r.Shares {
		if at < uint64(s.Weight) {
			return s.Service
		}
		at -= uint64(s.Weight)
	}
	return r.Shares[0].Service
}

// Services lists the services that the route names or named, those of now first.
func (r *Route) Services() []string {
	out := make([]string, 0, len(r.Shares)+len(r.Former))
	for _, s := range r.Shares {
		out = append(out, s.Service)
	}
	return append(out, r.Former...)
}

// Serves reports whether open flows of the route may be at a service.
func (r *Route) Serves(service string) bool { return slices.Contains(r.Services(), service) }

// Others lists the services besides one that open flows of the route may be at.
func (r *Route) Others(service string) []string {
	return slices.DeleteFunc(r.Services(), func(s string) bool { return s == service })
}

// remember lists the services that the route's predecessor named and it does not.
func (r *Route) remember(before *Route) {
	if before == nil {
		return
	}
	for _, s := range before.Services() {
		if !r.Serves(s) && len(r.Former) < maxFormer {
			r.Former = append(r.Former, s)
		}
	}
}

// maxFormer bounds the services that a route remembers.
const maxFormer = 4

// Configuration is one version of all routes.
type Configuration struct {
	Version Version
	Routes  []Route
	// IdleTimeout is how long a flow without packets is kept.
	IdleTimeout time.Duration
}

// Table is the configuration in force.
type Table struct {
	version Version
	routes  map[flow.Endpoint]*Route
	idle    time.Duration
	// services lists the services that routes name.
	services []string
}

// Version returns the version in force, 0 for none.
func (b *Table) Version() Version { return b.version }

// Len returns the number of addresses.
func (b *Table) Len() int { return len(b.routes) }

// Services lists the services that routes name, in order. It must not be changed.
func (b *Table) Services() []string { return b.services }

// Apply puts a configuration in force unless it is older than what is, and
// reports whether it did.
func (b *Table) Apply(c *Configuration) bool {
	if c.Version <= b.version {
		return false
	}
	b.version, b.idle = c.Version, c.IdleTimeout
	before := b.routes
	b.routes = make(map[flow.Endpoint]*Route, len(c.Routes))
	services := make(map[string]bool)
	for i := range c.Routes {
		c.Routes[i].remember(before[c.Routes[i].Address])
		b.routes[c.Routes[i].Address] = &c.Routes[i]
		for _, s := range c.Routes[i].Shares {
			services[s.Service] = true
		}
	}
	b.services = slices.Sorted(maps.Keys(services))
	return true
}

// Lookup returns the route of an address, nil where there is none. known is false
// where no configuration is in force.
func (b *Table) Lookup(a flow.Endpoint) (r *Route, known bool) {
	return b.routes[a], b.version != 0
}
