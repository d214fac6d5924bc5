package routes_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/routes"
)

// configuration returns a version in which one address has one service.
func configuration(version routes.Version, service string) *routes.Configuration {
	return &routes.Configuration{Version: version, Routes: []routes.Route{{Shares: []routes.Share{{Service: service, Weight: 1}}}}}
}

// TestHistoryCoversTheLifetimeOfFlows guards against a table that claims to know all
// services of an address although it has just started, or has forgotten one of them.
func TestHistoryCoversTheLifetimeOfFlows(t *testing.T) {
	var table routes.Table
	now := instant.Instant(time.Hour)
	table.Apply(now, configuration(1, "a"))
	qt.Assert(t, table.HasHistory(now, flow.DefaultLifetime), qt.IsFalse)
	now = now.Add(flow.DefaultLifetime)
	qt.Assert(t, table.HasHistory(now, flow.DefaultLifetime), qt.IsTrue)
	for i, service := range []string{"b", "c", "d", "e"} {
		table.Apply(now, configuration(routes.Version(i+2), service))
	}
	r, _ := table.Lookup(flow.Endpoint{})
	qt.Assert(t, r.Services(), qt.DeepEquals, []string{"e", "d", "c", "b", "a"})
	qt.Assert(t, table.HasHistory(now, flow.DefaultLifetime), qt.IsTrue)
	table.Apply(now, configuration(6, "f"))
	qt.Assert(t, r.HasService("a"), qt.IsTrue)
	r, _ = table.Lookup(flow.Endpoint{})
	qt.Assert(t, r.Services(), qt.DeepEquals, []string{"f", "e", "d", "c", "b"})
	qt.Assert(t, table.HasHistory(now, flow.DefaultLifetime), qt.IsFalse)
	table.Apply(now.Add(time.Second), configuration(7, "f"))
	qt.Assert(t, table.HasHistory(now.Add(flow.DefaultLifetime), flow.DefaultLifetime), qt.IsTrue)
}

// TestServicesWithSeveralKinds guards against agents that order the requests of a service with
// a single kind, or do not order those of one with several.
func TestServicesWithSeveralKinds(t *testing.T) {
	usual := routes.Route{Priority: 2, TargetLatency: 250 * time.Millisecond, Timeout: time.Second}
	urgent, patient, slow := usual, usual, usual
	urgent.Priority, patient.TargetLatency, slow.Timeout = 1, time.Second, time.Minute
	tests := []struct {
		name  string
		other routes.Route
		want  bool
	}{
		{"Same", usual, false},
		{"Priority", urgent, true},
		{"TargetLatency", patient, true},
		{"Timeout", slow, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var table routes.Table
			add := func(version routes.Version, rs ...routes.Route) {
				for i := range rs {
					rs[i].Address = flow.Endpoint{IP: flow.IP(i + 1)}
					rs[i].Shares = []routes.Share{{Service: "shared", Weight: 1}}
				}
				rs = append(rs, routes.Route{Shares: []routes.Share{{Service: "alone", Weight: 1}}})
				table.Apply(1, &routes.Configuration{Version: version, Routes: rs})
			}
			add(1, usual, test.other)
			qt.Check(t, table.HasSeveralKinds("shared"), qt.Equals, test.want)
			qt.Check(t, table.HasSeveralKinds("alone"), qt.IsFalse)
			add(2, usual)
			qt.Check(t, table.HasSeveralKinds("shared"), qt.IsFalse)
		})
	}
}
