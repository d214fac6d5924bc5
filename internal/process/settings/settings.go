// Package settings reads the YAML settings of each role.
//
// All problems of a file are reported together, each with file, line, field
// and reason.
//
// # Usage
//
//	s, err := settings.LoadBalancer("balancer.yaml")
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jaytack/jaytack/internal/customer/contract"
	"github.com/jaytack/jaytack/internal/process/eventlog"
)

// ErrRead reports a settings file that cannot be read.
var ErrRead = eris.New("settings cannot be read")

// Common is what every role is told.
type Common struct {
	// LogLevel is Debug, Info, Warn or Error.
	LogLevel string `yaml:"LogLevel" default:"Info"`
	// DecisionLines bounds the decision lines a second.
	DecisionLines int `yaml:"DecisionLines" default:"20"`
	// Metrics is where expvar is served; nowhere if unset.
	Metrics netip.AddrPort `yaml:"Metrics"`
}

// Fleet is what every balancer and agent is told.
type Fleet struct {
	Common `yaml:",inline"`
	// DataCentre is where the process runs.
	DataCentre contract.DataCentre `yaml:"DataCentre" required:"true"`
	// Tunnel is the UDP address for other processes of the fleet, IPv4.
	Tunnel netip.AddrPort `yaml:"Tunnel" required:"true"`
	// Control is the TCP address for other processes of the fleet, IPv4.
	Control netip.AddrPort `yaml:"Control" required:"true"`
	// Store lists endpoints of the platform's store.
	Store []netip.AddrPort `yaml:"Store" required:"true"`
	// Seeds lists tunnel addresses of balancers, for a start in a store outage.
	Seeds []netip.AddrPort `yaml:"Seeds"`
	// SystemKey is the file that holds the system's key.
	SystemKey string `yaml:"SystemKey" required:"true"`
}

// Balancer is the settings of a balancer.
type Balancer struct {
	Fleet `yaml:",inline"`
	// Fabric is the UDP address that the fabric sends callers' datagrams to.
	Fabric netip.AddrPort `yaml:"Fabric" required:"true"`
	// FabricPeer is the address of the fabric.
	FabricPeer netip.AddrPort `yaml:"FabricPeer" required:"true"`
	// Workers is the number of sockets that read in parallel.
	Workers int `yaml:"Workers" default:"2"`
	// Linger is how long a stopping balancer still forwards.
	Linger contract.Duration `yaml:"Linger" default:"2s"`
}

// Agent is the settings of an agent.
type Agent struct {
	Fleet `yaml:",inline"`
	// Customer and Service name the service that the upstream belongs to.
	Customer contract.Customer    `yaml:"Customer" required:"true"`
	Service  contract.ServiceName `yaml:"Service" required:"true"`
	// Upstream is the HTTP address of the upstream.
	Upstream netip.AddrPort `yaml:"Upstream" required:"true"`
	// Certificate and PrivateKey are PEM files for callers.
	Certificate string `yaml:"Certificate" required:"true"`
	PrivateKey  string `yaml:"PrivateKey" required:"true"`
	// Drain is how long a stopping agent waits for requests and feeds.
	Drain contract.Duration `yaml:"Drain" default:"30s"`
	// FeedDrain is how long a stopping agent lets feeds run.
	FeedDrain contract.Duration `yaml:"FeedDrain" default:"24h"`
}

// StandinStore is the settings of the store's stand-in.
type StandinStore struct {
	Common `yaml:",inline"`
	Listen netip.AddrPort `yaml:"Listen" required:"true"`
}

// StandinFabric is the settings of the fabric's stand-in.
type StandinFabric struct {
	Common `yaml:",inline"`
	// Listen is the UDP address for balancers.
	Listen netip.AddrPort `yaml:"Listen" required:"true"`
	// Admin is the HTTP address for faults.
	Admin netip.AddrPort `yaml:"Admin" required:"true"`
	// Addresses are the services' addresses, where callers send to.
	Addresses []netip.AddrPort `yaml:"Addresses" required:"true"`
	// Delay is the time from callers to balancers, one way.
	Delay contract.Duration `yaml:"Delay"`
	Seed  uint64            `yaml:"Seed" default:"1"`
}

// StandinUpstream is the settings of the upstream's stand-in.
type StandinUpstream struct {
	Common `yaml:",inline"`
	Listen netip.AddrPort `yaml:"Listen" required:"true"`
	// Slots is the number of requests that run at a time.
	Slots int `yaml:"Slots" default:"4"`
	// Service is the mean service time.
	Service contract.Duration `yaml:"Service" default:"5ms"`
	// Name is what answers carry.
	Name string `yaml:"Name" required:"true"`
	Seed uint64 `yaml:"Seed" default:"1"`
}

// StandinCaller is the settings of the callers' stand-in.
type StandinCaller struct {
	Common `yaml:",inline"`
	// Authority is a PEM file with the certificate authority of the agents.
	Authority string `yaml:"Authority" required:"true"`
	// ServerName is the name in the agents' certificates.
	ServerName string `yaml:"ServerName" required:"true"`
	// For is how long the callers run.
	For   contract.Duration `yaml:"For" default:"5s"`
	Loads []Load            `yaml:"Loads" required:"true"`
}

// Load is the callers of one kind of request.
type Load struct {
	Service string            `yaml:"Service" required:"true"`
	Kind    string            `yaml:"Kind" required:"true"`
	Address netip.AddrPort    `yaml:"Address" required:"true"`
	Path    string            `yaml:"Path" required:"true"`
	Post    bool              `yaml:"Post"`
	Feed    bool              `yaml:"Feed"`
	Bytes   int               `yaml:"Bytes"`
	Flows   int               `yaml:"Flows" default:"1"`
	Every   contract.Duration `yaml:"Every" default:"100ms"`
}

// LoadBalancer reads the settings of a balancer.
func LoadBalancer(path string) (Balancer, error) { return load[Balancer](path) }

// LoadAgent reads the settings of an agent.
func LoadAgent(path string) (Agent, error) { return load[Agent](path) }

// LoadStandinStore reads the settings of the store's stand-in.
func LoadStandinStore(path string) (StandinStore, error) { return load[StandinStore](path) }

// LoadStandinFabric reads the settings of the fabric's stand-in.
func LoadStandinFabric(path string) (StandinFabric, error) { return load[StandinFabric](path) }

// LoadStandinUpstream reads the settings of the upstream's stand-in.
func LoadStandinUpstream(path string) (StandinUpstream, error) { return load[StandinUpstream](path) }

// LoadStandinCaller reads the settings of the callers' stand-in.
func LoadStandinCaller(path string) (StandinCaller, error) { return load[StandinCaller](path) }

func load[T any](path string) (T, error) {
	var out T
	text, err := os.ReadFile(path)
	if err != nil {
		return out, eris.Wrap(ErrRead, err.Error())
	}
	problems := Parse(path, text, &out)
	if len(problems) > 0 {
		return out, problems
	}
	return out, nil
}

// Parse reads settings into out, a pointer to one of this package's structs.
func Parse(file string, text []byte, out any) contract.Problems {
	shape := shapeOf(reflect.TypeOf(out).Elem())
	setDefaults(reflect.ValueOf(out).Elem())
	problems, readable := contract.Decode(file, text, out, shape)
	if !readable {
		return problems
	}
	c := checker{file: file, text: text, problems: problems}
	c.check("$", reflect.ValueOf(out).Elem())
	return c.problems
}

type checker struct {
	file     string
	text     []byte
	problems contract.Problems
}

func (c *checker) add(path, reason string) {
	c.problems = c.problems.Add(contract.Problem{
		File: c.file, Line: contract.LineOfPath(c.text, path), Field: strings.TrimPrefix(path, "$."), Reason: reason,
	})
}

func (c *checker) check(path string, v reflect.Value) {
	for i := range v.NumField() {
		f, fv := v.Type().Field(i), v.Field(i)
		if f.Anonymous {
			c.check(path, fv)
			continue
		}
		p := path + "." + f.Name
		if f.Tag.Get("required") != "" && (fv.IsZero() || fv.Kind() == reflect.Slice && fv.Len() == 0) {
			c.add(p, "is missing")
			continue
		}
		c.checkValue(p, fv)
	}
}

func (c *checker) checkValue(path string, v reflect.Value) {
	switch x := v.Interface().(type) {
	case int:
		if x < 0 {
			c.add(path, "must not be negative")
		}
	case contract.Duration:
		if time.Duration(x) < 0 {
			c.add(path, "must not be negative")
		}
	case string:
		if _, ok := eventlog.ParseLevel(x); !ok && strings.HasSuffix(path, ".LogLevel") {
			c.add(path, "must be Debug, Info, Warn or Error")
		}
	case []Load:
		for i := range x {
			c.check(fmt.Sprintf("%s[%d]", path, i), v.Index(i))
		}
	}
}
