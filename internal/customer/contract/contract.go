// Package contract defines, parses and validates customer contracts.
//
// A contract is the only customer configuration that an operator writes. It lists
// the services of a customer with their addresses and data centres, the kinds of
// request with weight and deadline, and the limits. Balancers and agents derive all
// rules that they enforce from it.
//
// # Usage
//
//	c, problems := contract.Parse("registro.yaml", text)
//	if len(problems) > 0 {
//		return problems
//	}
//	svc, ok := c.Service("padron")
//
// The package neither reads files nor accesses the store.
package contract

import (
	"net/netip"
	"time"
)

type (
	// Customer is the unique name of a customer.
	Customer string
	// Region is the name of a region.
	Region string
	// DataCentre is the name of a data centre.
	DataCentre string
	// ServiceName is the name of a service, unique within a contract.
	ServiceName string
	// ServiceNumber identifies a service in sealed connection IDs; 0 means none.
	ServiceNumber uint16
	// KindName is the name of a kind of request, unique within a service.
	KindName string
	// ChangeID identifies one write of a contract.
	ChangeID string
	// Revision orders the versions of a contract.
	Revision int64
	// Rate is a number of events per second.
	Rate float64
)

// Contract is the service agreement with one customer.
type Contract struct {
	Customer Customer  `yaml:"Customer" json:"Customer"`
	Region   Region    `yaml:"Region" json:"Region"`
	Services []Service `yaml:"Services" json:"Services"`
	Limits   Limits    `yaml:"Limits" json:"Limits"`
}

// Service is one service of a customer.
type Service struct {
	Name        ServiceName      `yaml:"Name" json:"Name"`
	Addresses   []netip.AddrPort `yaml:"Addresses" json:"Addresses"`
	DataCentres []DataCentre     `yaml:"DataCentres" json:"DataCentres"`
	// Slots is the maximum number of requests that one upstream runs concurrently.
	Slots int `yaml:"Slots" json:"Slots"`
	// Flows is the maximum number of open flows of one upstream.
	Flows int    `yaml:"Flows" json:"Flows"`
	Kinds []Kind `yaml:"Kinds" json:"Kinds"`
	// Number is assigned when the contract is accepted.
	Number ServiceNumber `yaml:"Number,omitempty" json:"Number,omitempty"`
}

// Kind is one kind of request of a service.
type Kind struct {
	Name KindName `yaml:"Name" json:"Name"`
	// Path is the request path prefix that selects the kind.
	Path string `yaml:"Path" json:"Path"`
	// Weight is the relative value of a request that is answered before its deadline.
	Weight float64 `yaml:"Weight" json:"Weight"`
	// Deadline is the time after which an answer has no value.
	Deadline   Duration `yaml:"Deadline,omitempty" json:"Deadline,omitempty"`
	Idempotent bool     `yaml:"Idempotent,omitempty" json:"Idempotent,omitempty"`
	// Feed marks requests whose answer is streamed for hours. A feed occupies no slot.
	Feed bool `yaml:"Feed,omitempty" json:"Feed,omitempty"`
	// Share is the guaranteed fraction of the slots, 0 to 1.
	Share float64 `yaml:"Share,omitempty" json:"Share,omitempty"`
}

// Limits bounds the usage of one customer.
type Limits struct {
	// NewFlowsPerSecond bounds the rate of new flows over all services.
	NewFlowsPerSecond Rate `yaml:"NewFlowsPerSecond" json:"NewFlowsPerSecond"`
	// RequestsPerSecond bounds the rate of requests over all services.
	RequestsPerSecond Rate `yaml:"RequestsPerSecond" json:"RequestsPerSecond"`
	// BodyBytes bounds the size of a request body.
	BodyBytes int64 `yaml:"BodyBytes" json:"BodyBytes"`
}

// Stored is the stored form of a contract.
//
// A retired contract stays as a tombstone, so that an older revision is never
// applied again.
type Stored struct {
	Contract Contract
	// Revision is 0 in contracts of earlier programs, which are ordered by the revisions of
	// the store.
	Revision Revision `json:",omitempty"`
	Change   ChangeID
	// Earlier lists the changes before Change, newest first.
	Earlier []ChangeID `json:",omitempty"`
	Retired bool       `json:",omitempty"`
	Written time.Time
}

// NextRevision returns the revision of a version that replaces one with the revision before.
// It is at least the time now in Unix microseconds, so that it is also above revisions that
// the store has lost by a restore from a copy, as far as the clocks of operators agree.
func NextRevision(before Revision, now time.Time) Revision {
	return max(before+1, Revision(now.UnixMicro()))
}

// MaxEarlier is the maximum number of earlier changes that a stored contract lists.
const MaxEarlier = 16

// IncludesChange reports whether id is the current change or a listed earlier one.
func (s Stored) IncludesChange(id ChangeID) bool {
	if s.Change == id {
		return true
	}
	for _, e := range s.Earlier {
		if e == id {
			return true
		}
	}
	return false
}

// Service returns the service with the given name.
func (c Contract) Service(name ServiceName) (Service, bool) {
	for _, s := range c.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// ServiceByNumber returns the service with the number n.
func (c Contract) ServiceByNumber(n ServiceNumber) (Service, bool) {
	for _, s := range c.Services {
		if s.Number == n {
			return s, true
		}
	}
	return Service{}, false
}

// KindFor returns the kind whose path is the longest prefix of a request path.
func (s Service) KindFor(path string) (Kind, bool) {
	best := -1
	for i, k := range s.Kinds {
		if !matchesPathPrefix(path, k.Path) {
			continue
		}
		if best < 0 || len(k.Path) > len(s.Kinds[best].Path) {
			best = i
		}
	}
	if best < 0 {
		return Kind{}, false
	}
	return s.Kinds[best], true
}

// Kind returns the kind with the given name.
func (s Service) Kind(name KindName) (Kind, bool) {
	for _, k := range s.Kinds {
		if k.Name == name {
			return k, true
		}
	}
	return Kind{}, false
}

func matchesPathPrefix(path, prefix string) bool {
	if len(path) < len(prefix) || path[:len(prefix)] != prefix {
		return false
	}
	return len(path) == len(prefix) || prefix[len(prefix)-1] == '/' || path[len(prefix)] == '/'
}
