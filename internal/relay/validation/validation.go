// Package validation checks a configuration of relayed flows before it is sent to the store.
//
// Check examines one configuration, Diff compares it with the version in force. Both accept
// what the daemons would reject, such as an address that cannot be parsed, so that all
// problems are reported at once and each with its entry and field.
//
// An error means that the daemons reject or ignore what is written, or that two limits of a
// route or service contradict each other. A warning means that the daemons apply an entry
// but probably not with the intended effect.
//
// # Usage
//
//	findings := validation.Check(c, flow.DefaultLifetime)
//	findings = append(findings, validation.Diff(inForce, c)...)
//	if validation.HasErrors(findings) { ... }
//
// The package performs no I/O and knows no format: fields have names of their own, which the
// caller translates.
package validation

import (
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/routes"
	"github.com/jaytack/jaytack/internal/relay/warmup"
)

// Severity is how serious a finding is.
type Severity string

// Severities.
const (
	Error   Severity = "Error"
	Warning Severity = "Warning"
	// Change marks a difference from the version in force.
	Change Severity = "Change"
)

// EntryKind says what an entry of a configuration is.
type EntryKind string

// Kinds of entries. KindConfiguration stands for the configuration as a whole.
const (
	KindConfiguration EntryKind = "Configuration"
	KindRoute         EntryKind = "Route"
	KindService       EntryKind = "Service"
	KindLimits        EntryKind = "Limits"
)

// Entry identifies an entry of a configuration. Name is empty for KindConfiguration and
// KindLimits, and "#" with the position from 0 for entries without a name.
type Entry struct {
	Kind EntryKind
	Name string
}

// EntryOf returns the entry of a route or service with a name and position in its list.
func EntryOf(kind EntryKind, name string, position int) Entry {
	if name == "" {
		name = "#" + strconv.Itoa(position)
	}
	return Entry{kind, name}
}

// Field names a field of an entry.
type Field string

// Fields. Other fields, which the daemons do not read, keep the names that they are written by.
const (
	FieldVersion       Field = "Version"
	FieldRoutes        Field = "Routes"
	FieldServices      Field = "Services"
	FieldLimits        Field = "Limits"
	FieldName          Field = "Name"
	FieldAddress       Field = "Address"
	FieldPort          Field = "Port"
	FieldKind          Field = "Kind"
	FieldTimeout       Field = "Timeout"
	FieldTargetLatency Field = "TargetLatency"
	FieldPriority      Field = "Priority"
	FieldService       Field = "Service"
	FieldShares        Field = "Shares"
	FieldWarmUpTime    Field = "WarmUpTime"
	FieldWarmUpRate    Field = "WarmUpRate"
	FieldMaxConns      Field = "MaxConns"
	FieldIdleTimeout   Field = "IdleTimeout"
)

// Finding is one result of a check. Field is empty if it is about the entry as a whole.
type Finding struct {
	Severity Severity
	Entry    Entry
	Field    Field
	Message  string
}

// HasErrors reports whether a finding is an error.
func HasErrors(findings []Finding) bool {
	return slices.ContainsFunc(findings, func(f Finding) bool { return f.Severity == Error })
}

// Millis is a time in milliseconds, as it is written.
type Millis int64

func (m Millis) String() string { return strconv.FormatInt(int64(m), 10) + " ms" }

// MaxWarmUpTime is the longest warm-up time that the daemons accept.
const MaxWarmUpTime = time.Hour

// Configuration is a configuration as it is written, before anything was rejected.
type Configuration struct {
	Version     routes.Version
	Routes      []Route
	Services    []Service
	IdleTimeout Millis
	// OtherLimits holds the limits that the daemons do not read.
	OtherLimits map[Field]string
	// Unreadable lists what cannot be decoded. The fields named here have their zero value.
	Unreadable []Unreadable
}

// Unreadable is a value that cannot be decoded.
type Unreadable struct {
	Entry  Entry
	Field  Field
	Reason string
}

// rejectsAll reports whether the daemons reject the whole configuration because of u. They
// only ignore services that cannot be decoded.
func (u Unreadable) rejectsAll() bool {
	return u.Entry.Kind != KindService && u.Field != FieldServices
}

// Route is a route as it is written.
type Route struct {
	Entry         Entry
	Name          string
	Address, Port string
	Kind          routes.Kind
	Priority      uint32
	// Timeout and TargetLatency are 0 if they are not set.
	Timeout, TargetLatency Millis
	// Service receives all new flows if Shares is empty.
	Service string
	Shares  []routes.Share
	// Other holds the fields that the daemons do not read.
	Other map[Field]string
}

// ip returns the address of the route if it is valid.
func (r *Route) ip() (flow.IP, bool) {
	a, err := netip.ParseAddr(r.Address)
	return flow.IPOf(a), err == nil && a.Is4()
}

// port returns the port of the route if it is valid.
func (r *Route) port() (uint16, bool) {
	port, err := strconv.ParseUint(r.Port, 10, 16)
	return uint16(port), err == nil
}

// endpoint returns the address and port of the route if both are valid.
func (r *Route) endpoint() (flow.Endpoint, bool) {
	ip, ipOK := r.ip()
	port, portOK := r.port()
	return flow.Endpoint{IP: ip, Port: port}, ipOK && portOK
}

// shares returns the services that receive new flows.
func (r *Route) shares() []routes.Share {
	if len(r.Shares) == 0 && r.Service != "" {
		return []routes.Share{{Service: r.Service, Weight: 1}}
	}
	return r.Shares
}

// hasShare reports whether a service is among those that receive new flows.
func (r *Route) hasShare(service string) bool {
	return slices.ContainsFunc(r.shares(), func(s routes.Share) bool { return s.Service == service })
}

// Service is a service as it is written.
type Service struct {
	Entry         Entry
	Name          string
	WarmUpSeconds float64
	WarmUpRate    warmup.Rate
	// MaxConns is nil if it is not set.
	MaxConns *int64
	// Other holds the fields that the daemons do not read.
	Other map[Field]string
}

// routesInForce returns the positions of the routes that the daemons use: valid ones, and the
// last of those with the same address and port.
func (c *Configuration) routesInForce() map[flow.Endpoint]int {
	out := make(map[flow.Endpoint]int, len(c.Routes))
	for i := range c.Routes {
		if e, ok := c.Routes[i].endpoint(); ok && len(c.Routes[i].shares()) > 0 {
			out[e] = i
		}
	}
	return out
}
