package validation

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/routes"
	"github.com/jaytack/jaytack/internal/relay/warmup"
)

// maxMillis is the longest time of a route that fits into the daemons' messages.
const maxMillis Millis = math.MaxUint32

// minWarmUpRate is the lowest rate that a cold upstream is limited to: one flow a minute.
const minWarmUpRate warmup.Rate = 1.0 / 60

// Check returns what is wrong or doubtful in a configuration: first what cannot be decoded,
// then by entry. lifetime is how long a flow may stay open.
func Check(c *Configuration, lifetime time.Duration) []Finding {
	k := checker{c: c, lifetime: Millis(lifetime / time.Millisecond), inForce: c.routesInForce()}
	for _, u := range c.Unreadable {
		consequence := ""
		if u.rejectsAll() {
			consequence = "; the daemons reject the whole configuration"
		}
		k.findings = append(k.findings, Finding{Error, u.Entry, u.Field, "cannot be decoded: " + u.Reason + consequence})
	}
	if c.Version <= 0 {
		k.addf(Error, Entry{Kind: KindConfiguration}, FieldVersion, "version %d is not above 0; the daemons reject the whole configuration", c.Version)
	}
	k.checkMillis(Entry{Kind: KindLimits}, FieldIdleTimeout, c.IdleTimeout)
	k.checkRoutes()
	k.checkPriorities()
	k.checkServices()
	return k.findings
}

// checker collects the findings on one configuration.
type checker struct {
	c        *Configuration
	lifetime Millis
	inForce  map[flow.Endpoint]int
	findings []Finding
}

// addf adds a finding, unless the field or its whole entry cannot be decoded and has no value.
func (k *checker) addf(s Severity, e Entry, f Field, format string, args ...any) {
	if !slices.ContainsFunc(k.c.Unreadable, func(u Unreadable) bool { return u.Entry == e && (u.Field == f || u.Field == "") }) {
		k.findings = append(k.findings, Finding{s, e, f, fmt.Sprintf(format, args...)})
	}
}

func (k *checker) checkMillis(e Entry, f Field, m Millis) {
	switch {
	case m < 0:
		k.addf(Error, e, f, "%v is negative", m)
	case m > maxMillis:
		k.addf(Error, e, f, "%v overflows; the highest value is %v", m, maxMillis)
	}
}

func (k *checker) checkRoutes() {
	listed, first := make(map[string]bool), make(map[string]bool)
	for _, s := range k.c.Services {
		listed[s.Name] = true
	}
	for i := range k.c.Routes {
		r := &k.c.Routes[i]
		if r.Name != "" && first[r.Name] {
			k.addf(Error, r.Entry, FieldName, "an earlier route has the same name")
		}
		first[r.Name] = true
		if _, ok := r.ip(); !ok {
			k.addf(Error, r.Entry, FieldAddress, "%q is not an IPv4 address; the route is ignored", r.Address)
		}
		if port, ok := r.port(); !ok || port == 0 {
			k.addf(Error, r.Entry, FieldPort, "%q is not a port from 1 to 65535", r.Port)
		}
		if e, ok := r.endpoint(); ok && len(r.shares()) > 0 && k.inForce[e] != i {
			k.addf(Error, r.Entry, FieldAddress, "never matches: the later route %q has the same address and port %v", k.c.Routes[k.inForce[e]].Entry.Name, e)
		}
		switch r.Kind {
		case routes.Safe, routes.Unsafe, routes.Upload, routes.Download:
		default:
			k.addf(Error, r.Entry, FieldKind, "unknown kind %q", r.Kind)
		}
		k.checkTimes(r)
		k.checkShares(r, listed)
	}
}

func (k *checker) checkTimes(r *Route) {
	k.checkMillis(r.Entry, FieldTimeout, r.Timeout)
	k.checkMillis(r.Entry, FieldTargetLatency, r.TargetLatency)
	if r.Timeout <= 0 {
		return
	}
	if r.TargetLatency > r.Timeout {
		k.addf(Error, r.Entry, FieldTargetLatency, "%v is above the timeout of %v", r.TargetLatency, r.Timeout)
	}
	if k.c.IdleTimeout > 0 && r.Timeout > k.c.IdleTimeout {
		k.addf(Error, r.Entry, FieldTimeout, "%v is above the idle timeout of %v", r.Timeout, k.c.IdleTimeout)
	}
	if r.Timeout > k.lifetime {
		k.addf(Error, r.Entry, FieldTimeout, "%v is above the flow lifetime of %v", r.Timeout, k.lifetime)
	}
}

// checkShares checks the services of a route. Those that are not listed are reported only if
// any are, since the list is optional.
func (k *checker) checkShares(r *Route, listed map[string]bool) {
	shares := r.shares()
	if len(shares) == 0 {
		k.addf(Error, r.Entry, FieldService, "no service; the route is ignored")
	}
	if r.Service != "" && !r.hasShare(r.Service) {
		k.addf(Error, r.Entry, FieldService, "%q is ignored, since the route has shares without it", r.Service)
	}
	field := FieldShares
	if len(r.Shares) == 0 {
		field = FieldService
	}
	var total uint64
	for _, s := range shares {
		total += uint64(s.Weight)
	}
	if len(shares) > 0 && total == 0 {
		k.addf(Warning, r.Entry, field, "all weights are 0: all new flows go to %q", shares[0].Service)
	}
	for _, s := range shares {
		if s.Service == "" {
			k.addf(Error, r.Entry, field, "a share names no service")
			continue
		}
		if s.Weight == 0 && total > 0 {
			k.addf(Warning, r.Entry, field, "weight 0: %q gets no new flows", s.Service)
		}
		if len(k.c.Services) > 0 && !listed[s.Service] {
			k.addf(Warning, r.Entry, field, "%q is not among the services", s.Service)
		}
	}
}

// checkPriorities warns of routes with a higher priority than another one to the same service
// but less strict times: agents put the request with the least time left first, so that the
// other one usually goes first. It names one other route for each.
func (k *checker) checkPriorities() {
	positions := slices.Sorted(maps.Values(k.inForce))
	for _, i := range positions {
		r := &k.c.Routes[i]
		if j := slices.IndexFunc(positions, func(j int) bool { return r.goesBehind(&k.c.Routes[j]) }); j >= 0 {
			k.addf(Warning, r.Entry, FieldPriority, "higher than that of %q to the same service, but target latency and timeout are longer", k.c.Routes[positions[j]].Entry.Name)
		}
	}
}

// goesBehind reports whether a lower priority to the same service has stricter times. A time of
// 0 is not set and compares with nothing.
func (r *Route) goesBehind(o *Route) bool {
	return r.Priority < o.Priority && o.TargetLatency > 0 && o.Timeout > 0 && r.TargetLatency > o.TargetLatency && r.Timeout > o.Timeout &&
		slices.ContainsFunc(r.shares(), func(s routes.Share) bool { return o.hasShare(s.Service) })
}

func (k *checker) checkServices() {
	named, last := make(map[string]bool), make(map[string]int)
	for i := range k.c.Routes {
		for _, s := range k.c.Routes[i].shares() {
			named[s.Service] = true
		}
	}
	for i, s := range k.c.Services {
		last[s.Name] = i
	}
	for i := range k.c.Services {
		s := &k.c.Services[i]
		switch {
		case s.Name == "":
			k.addf(Error, s.Entry, FieldName, "no name; the service is ignored")
		case last[s.Name] != i:
			k.addf(Error, s.Entry, FieldName, "a later service has the same name")
		case !named[s.Name]:
			k.addf(Warning, s.Entry, FieldName, "no route names the service")
		}
		k.checkServiceLimits(s)
	}
}

func (k *checker) checkServiceLimits(s *Service) {
	if maxSeconds := MaxWarmUpTime.Seconds(); !(s.WarmUpSeconds >= 0 && s.WarmUpSeconds <= maxSeconds) {
		k.addf(Error, s.Entry, FieldWarmUpTime, "%v s is not from 0 to %v s; the service's limit is ignored", s.WarmUpSeconds, maxSeconds)
	}
	maxConns := cmp.Or(s.MaxConns, new(int64))
	switch {
	case s.MaxConns != nil && *maxConns < 0:
		k.addf(Error, s.Entry, FieldMaxConns, "%d is negative", *maxConns)
	case s.MaxConns != nil && *maxConns == 0:
		k.addf(Error, s.Entry, FieldMaxConns, "0: upstreams take no connections")
	}
	switch rate := s.WarmUpRate; {
	case !(rate >= 0 && rate <= warmup.MaxRate):
		k.addf(Error, s.Entry, FieldWarmUpRate, "%v is not from 0 to %v; the service's limit is ignored", rate, warmup.MaxRate)
	case rate == 0:
	case s.WarmUpSeconds == 0:
		k.addf(Warning, s.Entry, FieldWarmUpRate, "%v limits nothing: the warm-up time is 0", rate)
	case rate < minWarmUpRate:
		k.addf(Warning, s.Entry, FieldWarmUpRate, "%v is below one flow a minute, which is applied instead", rate)
	case *maxConns > 0 && float64(rate) > float64(*maxConns):
		k.addf(Warning, s.Entry, FieldWarmUpRate, "%v new flows a second are more than the %d connections that the service takes", rate, *maxConns)
	}
}
