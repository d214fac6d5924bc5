// Package contract defines what a customer is promised.
//
// A contract is the only thing an operator writes. It names the customer, its
// services with their addresses and data centres, the kinds of request with
// weight and deadline, and the limits. Everything that the balancers and agents
// enforce is derived from it.
//
// # Usage
//
//	c, problems := contract.Parse("registro.yaml", text)
//	if len(problems) > 0 {
//		return problems
//	}
//	svc, ok := c.Service("padron")
//
// The package neither reads files nor talks to the store.
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
	// ServiceNumber identifies a service in sealed connection IDs; 0 is none.
	ServiceNumber uint16
	// KindName is the name of a kind of request, unique within a service.
	KindName string
	// ChangeID identifies one write of a contract.
	ChangeID string
	// Revision is the store's revision of a committed contract.
	Revision int64
	// Rate is a number of events per second.
	Rate float64
)

// Contract is what one customer is promised.
type Contract struct {
	Customer Customer  `yaml:"Customer" json:"Customer"`
	Region   Region    `yaml:"Region" json:"Region"`
	Services []Service `yaml:"Services" json:"Services"`
	Limits   Limits    `yaml:"Limits" json:"Limits"`
}

// Service is one service of a customer with the addresses callers use.
type Service struct {
	Name        ServiceName      `yaml:"Name" json:"Name"`
	Addresses   []netip.AddrPort `yaml:"Addresses" json:"Addresses"`
	DataCentres []DataCentre     `yaml:"DataCentres" json:"DataCentres"`
	// Slots is the number of requests that one target runs at a time.
	Slots int `yaml:"Slots" json:"Slots"`
	// Flows is the number of open flows that one target holds.
	Flows int    `yaml:"Flows" json:"Flows"`
	Kinds []Kind `yaml:"Kinds" json:"Kinds"`
	// Number is assigned when the contract is accepted.
	Number ServiceNumber `yaml:"Number,omitempty" json:"Number,omitempty"`
}

// Kind is one kind of request of a service.
type Kind struct {
	Name KindName `yaml:"Name" json:"Name"`
	// Path is the prefix of the request path that selects the kind.
	Path string `yaml:"Path" json:"Path"`
	// Weight is the worth of one request delivered on time.
	Weight float64 `yaml:"Weight" json:"Weight"`
	// Deadline is the time within which an answer is worth delivering.
	Deadline   Duration `yaml:"Deadline,omitempty" json:"Deadline,omitempty"`
	Idempotent bool     `yaml:"Idempotent,omitempty" json:"Idempotent,omitempty"`
	// Feed marks answers that run for hours; a feed holds no slot.
	Feed bool `yaml:"Feed,omitempty" json:"Feed,omitempty"`
	// Share is the part of the slots that the kind is guaranteed, 0 to 1.
	Share float64 `yaml:"Share,omitempty" json:"Share,omitempty"`
}

// Limits bounds what one customer may use.
type Limits struct {
	// NewFlowsPerSecond bounds new flows over all services.
	NewFlowsPerSecond Rate `yaml:"NewFlowsPerSecond" json:"NewFlowsPerSecond"`
	// RequestsPerSecond bounds requests over all services.
	RequestsPerSecond Rate `yaml:"RequestsPerSecond" json:"RequestsPerSecond"`
	// BodyBytes bounds the body of one request.
	BodyBytes int64 `yaml:"BodyBytes" json:"BodyBytes"`
}

// Stored is a contract as it is kept in the store.
//
// A retired contract stays as a tombstone, so that an older revision can
// never come back.
type Stored struct {
	Contract Contract
	Change   ChangeID
	// Earlier lists the changes before Change, newest first.
	Earlier []ChangeID `json:",omitempty"`
	Retired bool       `json:",omitempty"`
	Written time.Time
}

// MaxEarlier is the number of earlier changes that a stored contract names.
const MaxEarlier = 16

// IncludesChange reports whether the change id led to the stored value, now or earlier.
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

// Service returns the service called name.
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

// KindFor returns the kind that a request path selects: the longest prefix wins.
func (s Service) KindFor(path string) (Kind, bool) {
	best := -1
	for i, k := range s.Kinds {
		if !matches(path, k.Path) {
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

// Kind returns the kind called name.
func (s Service) Kind(name KindName) (Kind, bool) {
	for _, k := range s.Kinds {
		if k.Name == name {
			return k, true
		}
	}
	return Kind{}, false
}

func matches(path, prefix string) bool {
	if len(path) < len(prefix) || path[:len(prefix)] != prefix {
		return false
	}
	return len(path) == len(prefix) || prefix[len(prefix)-1] == '/' || path[len(prefix)] == '/'
}
