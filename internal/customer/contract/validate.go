package contract

import (
	"fmt"
	"net/netip"
	"regexp"
	"sort"
	"strings"
	"time"
)

// Limits of the values in a contract.
const (
	MaxSlots      = 10_000
	MaxFlows      = 1_000_000
	MaxDeadline   = 10 * time.Minute
	MaxBodyBytes  = 1 << 30
	MaxServices   = 1_000
	maxNameLength = 63
)

var namePattern = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9-]*$`)

// Problem is an error in a contract or a settings file.
type Problem struct {
	File   string
	Line   int
	Field  string
	Reason string
}

// Error returns file, line, field and reason.
func (p Problem) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Field, p.Reason)
}

// Problems lists all errors of a document.
type Problems []Problem

// Error returns the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Add returns the problems with more added, sorted by line. It drops more if the
// field already has a problem.
func (p Problems) Add(more Problem) Problems {
	for _, old := range p {
		if old.Field == more.Field {
			return p
		}
	}
	p = append(p, more)
	sortProblems(p)
	return p
}

// pathProblem is a problem at a path such as $.Services[0].Slots whose line is not
// known yet.
type pathProblem struct {
	path   string
	reason string
}

type contractChecker struct {
	problems []pathProblem
}

func (c *contractChecker) add(path, format string, args ...any) {
	c.problems = append(c.problems, pathProblem{path, fmt.Sprintf(format, args...)})
}

func (c *contractChecker) checkName(path, v string) {
	switch {
	case v == "":
		c.add(path, "is missing")
	case len(v) > maxNameLength:
		c.add(path, "is longer than %d characters", maxNameLength)
	case !namePattern.MatchString(v):
		c.add(path, "%q must be letters, digits and hyphens, and begin with a letter", v)
	}
}

func (c *contractChecker) checkRange(path string, v, low, high float64) {
	if v < low || v > high {
		c.add(path, "%v is not within %v to %v", v, low, high)
	}
}

func (c *contractChecker) checkContract(v Contract) {
	c.checkName("$.Customer", string(v.Customer))
	c.checkName("$.Region", string(v.Region))
	if len(v.Services) == 0 {
		c.add("$.Services", "is missing: a contract has at least one service")
	}
	if len(v.Services) > MaxServices {
		c.add("$.Services", "has more than %d services", MaxServices)
	}
	names := make(map[ServiceName]bool)
	addresses := make(map[netip.AddrPort]ServiceName)
	for i, s := range v.Services {
		servicePath := fmt.Sprintf("$.Services[%d]", i)
		if names[s.Name] {
			c.add(servicePath+".Name", "%q is already the name of another service", s.Name)
		}
		names[s.Name] = true
		c.checkService(servicePath, s)
		c.checkAddresses(servicePath, s, addresses)
	}
	c.checkRange("$.Limits.NewFlowsPerSecond", float64(v.Limits.NewFlowsPerSecond), 1, 1e6)
	c.checkRange("$.Limits.RequestsPerSecond", float64(v.Limits.RequestsPerSecond), 1, 1e7)
	c.checkRange("$.Limits.BodyBytes", float64(v.Limits.BodyBytes), 1, MaxBodyBytes)
}

func (c *contractChecker) checkService(path string, s Service) {
	c.checkName(path+".Name", string(s.Name))
	if len(s.DataCentres) == 0 {
		c.add(path+".DataCentres", "is missing")
	}
	for i, dc := range s.DataCentres {
		c.checkName(fmt.Sprintf("%s.DataCentres[%d]", path, i), string(dc))
	}
	c.checkRange(path+".Slots", float64(s.Slots), 1, MaxSlots)
	c.checkRange(path+".Flows", float64(s.Flows), 1, MaxFlows)
	if len(s.Kinds) == 0 {
		c.add(path+".Kinds", "is missing: a service has at least one kind")
	}
	shareSum := 0.0
	names := make(map[KindName]bool)
	paths := make(map[string]bool)
	for i, k := range s.Kinds {
		kindPath := fmt.Sprintf("%s.Kinds[%d]", path, i)
		if names[k.Name] {
			c.add(kindPath+".Name", "%q is already the name of another kind", k.Name)
		}
		if paths[k.Path] {
			c.add(kindPath+".Path", "%q already selects another kind", k.Path)
		}
		names[k.Name] = true
		paths[k.Path] = true
		shareSum += k.Share
		c.checkKind(kindPath, k)
	}
	if shareSum > 1 {
		c.add(path+".Kinds", "the shares add up to %v, more than 1", shareSum)
	}
}

func (c *contractChecker) checkAddresses(path string, s Service, seen map[netip.AddrPort]ServiceName) {
	if len(s.Addresses) == 0 {
		c.add(path+".Addresses", "is missing")
	}
	for i, a := range s.Addresses {
		addressPath := fmt.Sprintf("%s.Addresses[%d]", path, i)
		if !a.IsValid() || a.Port() == 0 || a.Addr().IsUnspecified() {
			c.add(addressPath, "%q is not an address with a port", a)
			continue
		}
		if other, ok := seen[a]; ok {
			c.add(addressPath, "%v is already the address of service %q", a, other)
		}
		seen[a] = s.Name
	}
}

func (c *contractChecker) checkKind(path string, k Kind) {
	c.checkName(path+".Name", string(k.Name))
	if !strings.HasPrefix(k.Path, "/") {
		c.add(path+".Path", "%q must begin with /", k.Path)
	}
	c.checkRange(path+".Weight", k.Weight, 0.001, 1e6)
	c.checkRange(path+".Share", k.Share, 0, 1)
	d := time.Duration(k.Deadline)
	switch {
	case k.Feed && d != 0:
		c.add(path+".Deadline", "a feed has no deadline")
	case k.Feed && k.Share != 0:
		c.add(path+".Share", "a feed holds no slot and has no share")
	case !k.Feed && (d < time.Millisecond || d > MaxDeadline):
		c.add(path+".Deadline", "%v is not within 1ms to %v", d, MaxDeadline)
	}
}

func sortProblems(p Problems) {
	sort.SliceStable(p, func(i, j int) bool { return p[i].Line < p[j].Line })
}
