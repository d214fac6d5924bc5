// Package settings loads and validates the YAML settings files of all roles.
//
// All problems in a file are reported together, each with its file, line, field
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

// Common holds the settings that all roles share.
type Common struct {
	// LogLevel is the minimum level that is logged: Debug, Info, Warn or Error.
	LogLevel string `yaml:"LogLevel" default:"Info"`
	// DecisionLines is the maximum number of decision lines logged per second.
	DecisionLines int `yaml:"DecisionLines" default:"20"`
	// Metrics is the HTTP address that serves expvar; unset disables it.
	Metrics netip.AddrPort `yaml:"Metrics"`
}

// Fleet holds the settings that balancers and agents share.
type Fleet struct {
	Common `yaml:",inline"`
	// DataCentre is the data centre that the process runs in.
	DataCentre contract.DataCentre `yaml:"DataCentre" required:"true"`
	// Tunnel is the IPv4 UDP address that other processes of the fleet send to.
	Tunnel netip.AddrPort `yaml:"Tunnel" required:"true"`
	// Control is the IPv4 TCP address that other processes of the fleet connect to.
	Control netip.AddrPort `yaml:"Control" required:"true"`
	// Store lists the endpoints of the platform's key-value store.
	Store []netip.AddrPort `yaml:"Store" required:"true"`
	// Seeds lists tunnel addresses of balancers to join through if the process
	// starts during a store outage.
	Seeds []netip.AddrPort `yaml:"Seeds"`
	// SystemKey is the path of the file with the system key.
	SystemKey string `yaml:"SystemKey" required:"true"`
}

// Balancer holds the settings of a balancer.
type Balancer struct {
	Fleet `yaml:",inline"`
	// Fabric is the UDP address that receives callers' datagrams from the fabric.
	Fabric netip.AddrPort `yaml:"Fabric" required:"true"`
	// FabricPeer is the address of the fabric.
	FabricPeer netip.AddrPort `yaml:"FabricPeer" required:"true"`
	// Workers is the number of sockets that are read in parallel.
	Workers int `yaml:"Workers" default:"2"`
	// Linger is how long a balancer keeps forwarding after it is told to stop.
	Linger contract.Duration `yaml:"Linger" default:"2s"`
}

// Agent holds the settings of an agent.
type Agent struct {
	Fleet `yaml:",inline"`
	// Customer and Service identify the service that the upstream belongs to.
	Customer contract.Customer    `yaml:"Customer" required:"true"`
	Service  contract.ServiceName `yaml:"Service" required:"true"`
	// Upstream is the HTTP address of the upstream.
	Upstream netip.AddrPort `yaml:"Upstream" required:"true"`
	// Certificate and PrivateKey are paths of PEM files for TLS with callers.
	Certificate string `yaml:"Certificate" required:"true"`
	PrivateKey  string `yaml:"PrivateKey" required:"true"`
	// Drain is how long a stopping agent waits for open requests and feeds.
	Drain contract.Duration `yaml:"Drain" default:"30s"`
	// FeedDrain is how long a stopping agent keeps feeds open.
	FeedDrain contract.Duration `yaml:"FeedDrain" default:"24h"`
}

// StandinStore holds the settings of the simulated store.
type StandinStore struct {
	Common `yaml:",inline"`
	Listen netip.AddrPort `yaml:"Listen" required:"true"`
}

// StandinFabric holds the settings of the simulated fabric.
type StandinFabric struct {
	Common `yaml:",inline"`
	// Listen is the UDP address that balancers send to.
	Listen netip.AddrPort `yaml:"Listen" required:"true"`
	// Admin is the HTTP address of the fault injection API.
	Admin netip.AddrPort `yaml:"Admin" required:"true"`
	// Addresses are the service addresses that callers send to.
	Addresses []netip.AddrPort `yaml:"Addresses" required:"true"`
	// Delay is the one-way delay from callers to balancers.
	Delay contract.Duration `yaml:"Delay"`
	Seed  uint64            `yaml:"Seed" default:"1"`
}

// StandinUpstream holds the settings of the simulated upstream.
type StandinUpstream struct {
	Common `yaml:",inline"`
	Listen netip.AddrPort `yaml:"Listen" required:"true"`
	// Slots is the maximum number of requests served concurrently.
	Slots int `yaml:"Slots" default:"4"`
	// Service is the mean service time.
	Service contract.Duration `yaml:"Service" default:"5ms"`
	// Name identifies the upstream in its responses.
	Name string `yaml:"Name" required:"true"`
	Seed uint64 `yaml:"Seed" default:"1"`
}

// StandinCaller holds the settings of the simulated callers.
type StandinCaller struct {
	Common `yaml:",inline"`
	// Authority is the path of a PEM file with the CA of the agents' certificates.
	Authority string `yaml:"Authority" required:"true"`
	// ServerName is the DNS name in the agents' certificates.
	ServerName string `yaml:"ServerName" required:"true"`
	// For is how long the callers run.
	For   contract.Duration `yaml:"For" default:"5s"`
	Loads []Load            `yaml:"Loads" required:"true"`
}

// Load describes the callers that send one kind of request.
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

// LoadStandinStore reads the settings of the simulated store.
func LoadStandinStore(path string) (StandinStore, error) { return load[StandinStore](path) }

// LoadStandinFabric reads the settings of the simulated fabric.
func LoadStandinFabric(path string) (StandinFabric, error) { return load[StandinFabric](path) }

// LoadStandinUpstream reads the settings of the simulated upstream.
func LoadStandinUpstream(path string) (StandinUpstream, error) { return load[StandinUpstream](path) }

// LoadStandinCaller reads the settings of the simulated callers.
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

// Parse decodes settings into out, a pointer to one of this package's settings
// structs, and returns all problems. Unset fields get their defaults.
func Parse(file string, text []byte, out any) contract.Problems {
	schema := schemaOf(reflect.TypeOf(out).Elem())
	setDefaults(reflect.ValueOf(out).Elem())
	problems, readable := contract.Decode(file, text, out, schema)
	if !readable {
		return problems
	}
	c := checker{file: file, text: text, problems: problems}
	c.checkStruct("$", reflect.ValueOf(out).Elem())
	return c.problems
}

type checker struct {
	file     string
	text     []byte
	problems contract.Problems
}

func (c *checker) addProblem(path, reason string) {
	c.problems = c.problems.Add(contract.Problem{
		File: c.file, Line: contract.LineOfPath(c.text, path), Field: strings.TrimPrefix(path, "$."), Reason: reason,
	})
}

func (c *checker) checkStruct(path string, v reflect.Value) {
	for i := range v.NumField() {
		f, fv := v.Type().Field(i), v.Field(i)
		if f.Anonymous {
			c.checkStruct(path, fv)
			continue
		}
		p := path + "." + f.Name
		if f.Tag.Get("required") != "" && (fv.IsZero() || fv.Kind() == reflect.Slice && fv.Len() == 0) {
			c.addProblem(p, "is missing")
			continue
		}
		c.checkValue(p, fv)
	}
}

func (c *checker) checkValue(path string, v reflect.Value) {
	switch x := v.Interface().(type) {
	case int:
		if x < 0 {
			c.addProblem(path, "must not be negative")
		}
	case contract.Duration:
		if time.Duration(x) < 0 {
			c.addProblem(path, "must not be negative")
		}
	case string:
		if _, ok := eventlog.ParseLevel(x); !ok && strings.HasSuffix(path, ".LogLevel") {
			c.addProblem(path, "must be Debug, Info, Warn or Error")
		}
	case []Load:
		for i := range x {
			c.checkStruct(fmt.Sprintf("%s[%d]", path, i), v.Index(i))
		}
	}
}
