package validation

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/jaytack/jaytack/internal/relay/routes"
)

// Diff returns what a configuration changes compared with the version in force. It compares
// the routes that the daemons use: a route that they ignore counts as absent. Routes are
// matched by address and port, then by name.
func Diff(inForce, c *Configuration) []Finding {
	var d differ
	whole := Entry{Kind: KindConfiguration}
	for _, u := range inForce.Unreadable {
		if u.rejectsAll() {
			d.addf(Error, whole, "", "the version in force cannot be decoded: %s", u.Reason)
			return d.findings
		}
	}
	if c.Version <= inForce.Version {
		d.addf(Error, whole, FieldVersion, "version %d is not above %d, which is in force; the daemons ignore it", c.Version, inForce.Version)
	}
	d.compare(Entry{Kind: KindLimits}, inForce.limits(), c.limits())
	d.compareRoutes(inForce, c)
	d.compareServices(inForce, c)
	return d.findings
}

// differ collects the differences.
type differ struct {
	findings []Finding
}

func (d *differ) addf(s Severity, e Entry, f Field, format string, args ...any) {
	d.findings = append(d.findings, Finding{s, e, f, fmt.Sprintf(format, args...)})
}

// compare adds a finding for each field that differs.
func (d *differ) compare(e Entry, before, after map[Field]string) {
	all := maps.Clone(before)
	maps.Copy(all, after)
	for _, f := range slices.Sorted(maps.Keys(all)) {
		if before[f] != after[f] {
			d.addf(Change, e, f, "changed from %s to %s", cmp.Or(before[f], "none"), cmp.Or(after[f], "none"))
		}
	}
}

func (d *differ) compareRoutes(inForce, c *Configuration) {
	before, after := inForce.routesInForce(), c.routesInForce()
	byName := make(map[string]int)
	for e, i := range after {
		if _, taken := before[e]; !taken && c.Routes[i].Name != "" {
			byName[c.Routes[i].Name] = i
		}
	}
	matched := make(map[int]bool)
	for _, i := range slices.Sorted(maps.Values(before)) {
		o := &inForce.Routes[i]
		e, _ := o.endpoint()
		if j, ok := after[e]; ok {
			matched[j] = true
			d.compare(c.Routes[j].Entry, o.fields(), c.Routes[j].fields())
			d.addMoved(o, &c.Routes[j])
		} else if j, ok := byName[o.Name]; ok && !matched[j] {
			matched[j] = true
			d.compare(c.Routes[j].Entry, o.fields(), c.Routes[j].fields())
			d.addf(Change, c.Routes[j].Entry, FieldAddress, "open flows to the former address %v end", e)
		} else {
			d.addf(Change, o.Entry, "", "removed: open flows to %v end", e)
		}
	}
	for _, i := range slices.Sorted(maps.Values(after)) {
		if e, _ := c.Routes[i].endpoint(); !matched[i] {
			d.addf(Change, c.Routes[i].Entry, "", "added: %v to %s", e, sharesText(c.Routes[i].shares()))
		}
	}
}

// addMoved adds a finding for each service of a route that the route no longer names.
func (d *differ) addMoved(before, after *Route) {
	for _, s := range before.shares() {
		if !after.hasShare(s.Service) {
			d.addf(Change, after.Entry, FieldShares, "moved: open flows stay at the former service %q", s.Service)
		}
	}
}

func (d *differ) compareServices(inForce, c *Configuration) {
	before := make(map[string]*Service)
	for i := range inForce.Services {
		before[inForce.Services[i].Name] = &inForce.Services[i]
	}
	for i := range c.Services {
		s := &c.Services[i]
		if o := before[s.Name]; o != nil {
			d.compare(s.Entry, o.fields(), s.fields())
		} else {
			d.addf(Change, s.Entry, "", "added")
		}
	}
	for i := range inForce.Services {
		o := &inForce.Services[i]
		if !slices.ContainsFunc(c.Services, func(s Service) bool { return s.Name == o.Name }) {
			d.addf(Change, o.Entry, "", "removed")
		}
	}
}

// fields returns the fields of a route as text.
func (r *Route) fields() map[Field]string {
	out := map[Field]string{
		FieldName: strconv.Quote(r.Name), FieldAddress: r.Address, FieldPort: r.Port, FieldKind: strconv.Quote(string(r.Kind)),
		FieldPriority: strconv.FormatUint(uint64(r.Priority), 10), FieldTimeout: r.Timeout.String(), FieldTargetLatency: r.TargetLatency.String(),
		FieldShares: sharesText(r.shares()),
	}
	maps.Copy(out, r.Other)
	return out
}

// fields returns the fields of a service as text.
func (s *Service) fields() map[Field]string {
	out := map[Field]string{FieldWarmUpTime: fmt.Sprint(s.WarmUpSeconds, " s"), FieldWarmUpRate: fmt.Sprint(s.WarmUpRate)}
	if s.MaxConns != nil {
		out[FieldMaxConns] = strconv.FormatInt(*s.MaxConns, 10)
	}
	maps.Copy(out, s.Other)
	return out
}

// limits returns the limits as text.
func (c *Configuration) limits() map[Field]string {
	out := map[Field]string{FieldIdleTimeout: c.IdleTimeout.String()}
	maps.Copy(out, c.OtherLimits)
	return out
}

// sharesText lists services in order with their weights.
func sharesText(shares []routes.Share) string {
	parts := make([]string, len(shares))
	for i, s := range shares {
		parts[i] = fmt.Sprintf("%q:%d", s.Service, s.Weight)
	}
	return strings.Join(parts, " ")
}
