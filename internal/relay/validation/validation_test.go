package validation_test

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/routes"
	"github.com/jaytack/jaytack/internal/relay/validation"
)

// valid returns a configuration without findings whose limits are all at their bounds.
func valid() *validation.Configuration {
	maxConns := int64(5)
	return &validation.Configuration{
		Version: 1, IdleTimeout: 60_000,
		Routes: []validation.Route{
			{Name: "a", Address: "198.18.0.1", Port: "65535", Kind: routes.Safe, Priority: 1, Timeout: 60_000, TargetLatency: 60_000, Service: "s"},
			{Name: "b", Address: "198.18.0.2", Port: "1", Kind: routes.Upload, Priority: 2, Timeout: 60_000, TargetLatency: 10, Service: "s"},
		},
		Services: []validation.Service{{Name: "s", WarmUpSeconds: 3600, WarmUpRate: 5, MaxConns: &maxConns}},
	}
}

// TestCheck guards against bounds that are off by one, and changes one field for each kind of finding.
func TestCheck(t *testing.T) {
	type configuration = validation.Configuration
	tests := []struct {
		name     string
		change   func(c *configuration)
		severity validation.Severity
		field    validation.Field
	}{
		{"Valid", func(*configuration) {}, "", ""},
		{"NoVersion", func(c *configuration) { c.Version = 0 }, validation.Error, validation.FieldVersion},
		{"IPv6", func(c *configuration) { c.Routes[0].Address = "::1" }, validation.Error, validation.FieldAddress},
		{"Port", func(c *configuration) { c.Routes[0].Port = "65536" }, validation.Error, validation.FieldPort},
		{"PortZero", func(c *configuration) { c.Routes[0].Port = "0" }, validation.Error, validation.FieldPort},
		{"SameName", func(c *configuration) { c.Routes[1].Name = "a" }, validation.Error, validation.FieldName},
		{"SameAddress", func(c *configuration) { c.Routes[1].Address, c.Routes[1].Port = "198.18.0.1", "65535" }, validation.Error, validation.FieldAddress},
		{"NoService", func(c *configuration) { c.Routes[0].Service = "" }, validation.Error, validation.FieldService},
		{"ServiceBesideShares", func(c *configuration) {
			c.Routes[0].Service, c.Routes[0].Shares = "x", []routes.Share{{Service: "s", Weight: 1}}
		}, validation.Error, validation.FieldService},
		{"NamelessShare", func(c *configuration) { c.Routes[0].Shares = []routes.Share{{Service: "s", Weight: 1}, {Weight: 1}} }, validation.Error, validation.FieldShares},
		{"NoWeight", func(c *configuration) { c.Routes[0].Shares = []routes.Share{{Service: "s"}} }, validation.Warning, validation.FieldShares},
		{"UnlistedService", func(c *configuration) {
			c.Routes[0].Shares = []routes.Share{{Service: "s", Weight: 1}, {Service: "x", Weight: 1}}
		}, validation.Warning, validation.FieldShares},
		{"NoListOfServices", func(c *configuration) { c.Services = nil }, "", ""},
		{"UnnamedService", func(c *configuration) { c.Services = append(c.Services, validation.Service{Name: "x"}) }, validation.Warning, validation.FieldName},
		{"SameServiceName", func(c *configuration) { c.Services = append(c.Services, c.Services[0]) }, validation.Error, validation.FieldName},
		{"Kind", func(c *configuration) { c.Routes[0].Kind = "" }, validation.Error, validation.FieldKind},
		{"NegativeIdleTimeout", func(c *configuration) { c.IdleTimeout = -1 }, validation.Error, validation.FieldIdleTimeout},
		{"Overflow", func(c *configuration) { c.IdleTimeout = 1 << 32 }, validation.Error, validation.FieldIdleTimeout},
		{"Timeout", func(c *configuration) { c.Routes[1].Timeout, c.IdleTimeout = 60_001, 0 }, validation.Error, validation.FieldTimeout},
		{"IdleTimeout", func(c *configuration) {
			c.Routes[0].TargetLatency, c.Routes[1].Timeout, c.IdleTimeout = 1, 59_999, 59_999
		}, validation.Error, validation.FieldTimeout},
		{"TargetLatency", func(c *configuration) { c.Routes[0].TargetLatency++ }, validation.Error, validation.FieldTargetLatency},
		{"Priority", func(c *configuration) { c.Routes[1].Timeout-- }, validation.Warning, validation.FieldPriority},
		{"WarmUpTime", func(c *configuration) { c.Services[0].WarmUpSeconds += 0.1 }, validation.Error, validation.FieldWarmUpTime},
		{"NoWarmUpTime", func(c *configuration) { c.Services[0].WarmUpSeconds = 0 }, validation.Warning, validation.FieldWarmUpRate},
		{"WarmUpRate", func(c *configuration) { c.Services[0].WarmUpRate = 1<<16 + 1 }, validation.Error, validation.FieldWarmUpRate},
		{"LowWarmUpRate", func(c *configuration) { c.Services[0].WarmUpRate = 0.016 }, validation.Warning, validation.FieldWarmUpRate},
		{"WarmUpRateOverMaxConns", func(c *configuration) { c.Services[0].WarmUpRate++ }, validation.Warning, validation.FieldWarmUpRate},
		{"MaxConns", func(c *configuration) { *c.Services[0].MaxConns = 0 }, validation.Error, validation.FieldMaxConns},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := valid()
			test.change(c)
			got := validation.Check(c, flow.DefaultLifetime)
			if test.severity == "" {
				qt.Assert(t, got, qt.HasLen, 0)
				return
			}
			qt.Assert(t, got, qt.HasLen, 1)
			qt.Check(t, got[0].Severity, qt.Equals, test.severity)
			qt.Check(t, got[0].Field, qt.Equals, test.field)
		})
	}
}

// TestDiffOfRoutesThatDaemonsIgnore guards against a mistyped address that is not reported as
// the end of the route's flows.
func TestDiffOfRoutesThatDaemonsIgnore(t *testing.T) {
	c := valid()
	c.Version++
	c.Routes[0].Address = "198.18.0.256"
	got := validation.Diff(valid(), c)
	qt.Assert(t, got, qt.HasLen, 1)
	qt.Check(t, got[0].Message, qt.Equals, "removed: open flows to 198.18.0.1:65535 end")
	qt.Check(t, validation.HasErrors(got), qt.IsFalse)
	c.Version--
	qt.Check(t, validation.HasErrors(validation.Diff(valid(), c)), qt.IsTrue)
	slices.Reverse(c.Routes)
	qt.Check(t, validation.Diff(c, c), qt.HasLen, 1)
}
