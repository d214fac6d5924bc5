// Package routes implements the routing table of relayed flows, which maps each
// service address to its services.
//
// The version in force only increases within one process.
//
// # Usage
//
//	var t routes.Table
//	changed := t.Apply(now, cfg)
//	route, known := t.Lookup(id.Address)
//	service := route.ServiceFor(id.Hash())
//
// The package performs no I/O. A Table is not safe for concurrent use.
package routes

import (
	"maps"
	"slices"
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/warmup"
)

// Version orders configurations. Versions may skip numbers; 0 means none.
type Version int64

// Kind classifies requests by whether they may be repeated.
type Kind string

// Kinds of requests.
const (
	// Safe requests are idempotent.
	Safe Kind = "safe"
	// Unsafe requests run at most once.
	Unsafe Kind = "unsafe"
	// Upload requests run at most once and carry large bodies.
	Upload Kind = "upload"
	// Download requests are idempotent and have large responses.
	Download Kind = "download"
)

// Share is the weighted share of a route's new flows that go to a service.
type Share struct {
	Service string
	Weight  uint32
}

// Route maps one address to its services.
type Route struct {
	Name    string
	Address flow.Endpoint
	// Shares lists the services that receive new flows, at least one.
	Shares []Share
	// FormerServices lists services of earlier versions, the latest first, at most
	// maxFormerServices. Their open flows stay there.
	FormerServices []string
	Kind           Kind
	// Priority is the priority of the requests; 0 is the highest.
	Priority uint32
	// Timeout is the time limit of a request, TargetLatency its target latency.
	Timeout, TargetLatency time.Duration
}

// ServiceFor returns the service of a new flow with this hash, by weight.
func (r *Route) ServiceFor(hash uint64) string {
	var total uint64
	for _, s := range r.Shares {
		total += uint64(s.Weight)
	}
	if total == 0 {
		return r.Shares[0].Service
	}
	remainder := hash % total
	for _, s := range r.Shares {
		if remainder < uint64(s.Weight) {
			return s.Service
		}
		remainder -= uint64(s.Weight)
	}
	return r.Shares[0].Service
}

// Services lists the current services of the route, then the former ones.
func (r *Route) Services() []string {
	out := make([]string, 0, len(r.Shares)+len(r.FormerServices))
	for _, s := range r.Shares {
		out = append(out, s.Service)
	}
	return append(out, r.FormerServices...)
}

// HasService reports whether a service is a current or former one of the route, so
// that it may hold open flows.
func (r *Route) HasService(service string) bool { return slices.Contains(r.Services(), service) }

// OtherServices lists the current and former services of the route except one.
func (r *Route) OtherServices(service string) []string {
	return slices.DeleteFunc(r.Services(), func(s string) bool { return s == service })
}

// addFormerServices adds the services that only the previous version of the route has,
// and reports whether all fit into FormerServices.
func (r *Route) addFormerServices(previous *Route) (complete bool) {
	if previous == nil {
		return true
	}
	for _, s := range previous.Services() {
		if r.HasService(s) {
			continue
		}
		if len(r.FormerServices) == maxFormerServices {
			return false
		}
		r.FormerServices = append(r.FormerServices, s)
	}
	return true
}

// maxFormerServices limits the former services of a route.
const maxFormerServices = 4

// Service holds the settings of a service whose cold upstreams take a limited rate of new flows.
type Service struct {
	Name string
	// WarmUpTime is how long an upstream is cold after its start. It is stored but not
	// applied: heartbeats report the time that remains.
	WarmUpTime time.Duration
	// WarmUpRate is the rate of new flows that a cold upstream takes.
	WarmUpRate warmup.Rate
}

// Configuration is one version of all routes.
type Configuration struct {
	Version Version
	Routes  []Route
	// Services lists the services with a warm-up limit.
	Services []Service
	// IdleTimeout is the configured idle timeout of flows. It is stored but not applied:
	// the tables use timeouts of their own.
	IdleTimeout time.Duration
}

// Table holds the routes of the configuration in force.
type Table struct {
	version Version
	routes  map[flow.Endpoint]*Route
	// historySince is when the record of former services began.
	historySince instant.Instant
	// services lists the current services of all routes, sorted.
	services []string
	// warmUpRates holds the rates of the services with a warm-up limit.
	warmUpRates map[string]warmup.Rate
	// kinds holds the kind of requests of each service; several marks services with more
	// than one.
	kinds   map[string]requestKind
	several map[string]bool
}

// WarmUpRate returns the rate of new flows that a cold upstream of a service takes, 0 for no
// limit.
func (t *Table) WarmUpRate(service string) warmup.Rate { return t.warmUpRates[service] }

// requestKind is what agents order requests by.
type requestKind struct {
	priority               uint32
	targetLatency, timeout time.Duration
}

// addKinds records the kind of a route's requests for its services.
func (t *Table) addKinds(r *Route) {
	kind := requestKind{r.Priority, r.TargetLatency, r.Timeout}
	for _, s := range r.Shares {
		if other, ok := t.kinds[s.Service]; ok && other != kind {
			t.several[s.Service] = true
		}
		t.kinds[s.Service] = kind
	}
}

// HasSeveralKinds reports whether current routes to a service differ in priority, target
// latency or timeout.
func (t *Table) HasSeveralKinds(service string) bool { return t.several[service] }

// Version returns the version in force, 0 for none.
func (t *Table) Version() Version { return t.version }

// Len returns the number of addresses.
func (t *Table) Len() int { return len(t.routes) }

// Services lists the current services of all routes, sorted. The caller must not modify
// the slice.
func (t *Table) Services() []string { return t.services }

// Apply replaces the configuration in force if c has a higher version, and reports
// whether it did.
func (t *Table) Apply(now instant.Instant, c *Configuration) bool {
	if c.Version <= t.version {
		return false
	}
	if t.version == 0 {
		t.historySince = now
	}
	t.version = c.Version
	previous := t.routes
	t.routes = make(map[flow.Endpoint]*Route, len(c.Routes))
	t.kinds, t.several = make(map[string]requestKind), make(map[string]bool)
	services := make(map[string]bool)
	for i := range c.Routes {
		if !c.Routes[i].addFormerServices(previous[c.Routes[i].Address]) {
			t.historySince = now
		}
		t.routes[c.Routes[i].Address] = &c.Routes[i]
		t.addKinds(&c.Routes[i])
		for _, s := range c.Routes[i].Shares {
			services[s.Service] = true
		}
	}
	t.services = slices.Sorted(maps.Keys(services))
	t.warmUpRates = nil
	for _, s := range c.Services {
		if t.warmUpRates == nil {
			t.warmUpRates = make(map[string]warmup.Rate)
		}
		t.warmUpRates[s.Name] = s.WarmUpRate
	}
	return true
}

// HasHistory reports whether the table has recorded the services of all routes for at
// least the lifetime of a flow, so that a route lists all that may hold its flows.
func (t *Table) HasHistory(now instant.Instant, lifetime time.Duration) bool {
	return now.Sub(t.historySince) >= lifetime
}

// RecordService records that a service holds an open flow of an address. If the route
// does not name it, a version that this table has not seen did, and it is added.
func (t *Table) RecordService(now instant.Instant, a flow.Endpoint, service string) (added bool) {
	r := t.routes[a]
	if r == nil || r.HasService(service) {
		return false
	}
	r.FormerServices = append([]string{service}, r.FormerServices...)
	if len(r.FormerServices) > maxFormerServices {
		r.FormerServices = r.FormerServices[:maxFormerServices]
		t.historySince = now
	}
	return true
}

// History lists the services that an address is routed to and those that it was routed to
// before, the latest first.
type History struct {
	Address  flow.Endpoint
	Services []string
}

// History returns the history of all routes, ordered by address.
func (t *Table) History() []History {
	out := make([]History, 0, len(t.routes))
	for a, r := range t.routes {
		out = append(out, History{a, r.Services()})
	}
	slices.SortFunc(out, func(a, b History) int { return a.Address.Compare(b.Address) })
	return out
}

// Restore adds the services of a history as former services of the routes that do not name
// them, and returns how many it has added.
func (t *Table) Restore(history []History) (added int) {
	for _, h := range history {
		r := t.routes[h.Address]
		if r == nil {
			continue
		}
		for _, s := range h.Services {
			if len(r.FormerServices) < maxFormerServices && !r.HasService(s) {
				r.FormerServices = append(r.FormerServices, s)
				added++
			}
		}
	}
	return added
}

// Lookup returns the route of an address, nil if there is none. known is false if no
// configuration is in force.
func (t *Table) Lookup(a flow.Endpoint) (r *Route, known bool) {
	return t.routes[a], t.version != 0
}
