package relay

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/polling"
)

// largeFleet returns a fleet of 200 processes with some hundred callers.
func largeFleet(seed uint64) Config { return fleetOf(seed, 200) }

func fleetOf(seed uint64, size int) Config {
	cfg := WideRegistro(seed, size)
	for i := range cfg.Callers {
		cfg.Callers[i].Callers /= 12
	}
	return cfg
}

// failedLargeSeeds holds the seeds of TestLargeFleetSurvivesRandomFaults that failed in the
// past.
var failedLargeSeeds = map[uint64]string{
	282: "an agent killed just after its upstream had started believed its entry that said it had none",
}

// TestLargeFleetSurvivesRandomFaults resets no open flow while faults overlap in a fleet in
// which most processes do not report to each other.
func TestLargeFleetSurvivesRandomFaults(t *testing.T) {
	for _, seed := range testSeedsOf(t, "JAYTACK_LARGE_SEEDS", 1, failedLargeSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w, faults := newRandomRunOf(largeFleet(seed), randomFaults)
			w.Run(randomRunEnd)
			qt.Check(t, w.Violations, qt.HasLen, 0, qt.Commentf("faults %v", faults))
		})
	}
}

// TestLargeFleetSurvivesLossOfAll checks that a fleet whose processes and upstreams all lose
// power at once serves as before one second after their return, that every caller of a flow
// that has ended is told, and that the members find each other again.
func TestLargeFleetSurvivesLossOfAll(t *testing.T) {
	t.Parallel()
	const (
		lost, downtime = 5 * time.Second, 1500 * time.Millisecond
		back           = lost + downtime
		// least is the brief's bound on a normal service within 1 s of the return.
		least = 0.95
	)
	cfg := largeFleet(41)
	n := countEvents(&cfg)
	w := New(cfg)
	w.At(lost, func() { w.LosePower(downtime) })
	w.Run(back + 6*time.Second)
	qt.Assert(t, w.Violations, qt.HasLen, 0)
	before, after := w.Served(2*time.Second, lost-time.Second), w.Served(back+time.Second, back+3*time.Second)
	t.Logf("served %.3f before, %.3f after; %v", before, after, n)
	qt.Check(t, after >= least*before, qt.IsTrue, qt.Commentf("served %.3f after %.3f", after, before))
	qt.Check(t, n["OwnerNotFound"]*20 <= n["OwnerSearched"], qt.IsTrue, qt.Commentf("%v", n))
	for _, p := range w.Agents {
		qt.Check(t, len(p.Agent.Members.Agents(p.service))+1 >= upstreamsOf(cfg, p.service), qt.IsTrue, qt.Commentf("%v", p.IP))
	}
}

func upstreamsOf(cfg Config, service string) int {
	for _, s := range cfg.Services {
		if s.Name == service {
			return s.Upstreams
		}
	}
	return 0
}

// TestSilentMembersAreAskedBeforeTheyAreForgotten guards against an agent that others take
// for gone, since it cannot reach the store for longer than its lease and most members get
// no regular reports from it: its open flows would be reset on the denials of the others.
func TestSilentMembersAreAskedBeforeTheyAreForgotten(t *testing.T) {
	t.Parallel()
	w := New(fleetOf(42, 100))
	off := make(map[flow.IP]bool)
	for i, p := range w.Agents {
		off[p.IP] = i%10 == 0
	}
	w.StoreRefuses = func(ip flow.IP) bool { return off[ip] && w.Now() > 4*time.Second }
	w.Run(4*time.Second + polling.LeaseTTL + 8*time.Second)
	qt.Assert(t, w.Violations, qt.HasLen, 0)
	for _, p := range w.Agents {
		for ip := range off {
			if q := w.processes[ip]; q.service == p.service && q != p {
				qt.Assert(t, p.Agent.Members.Member(ip) != nil, qt.IsTrue, qt.Commentf("%v has forgotten %v", p.IP, ip))
			}
		}
	}
}

// TestDeadMembersAreForgotten guards against members that stay for good although they are
// gone, since nobody expects reports from them: searches would wait for their denial.
func TestDeadMembersAreForgotten(t *testing.T) {
	t.Parallel()
	w := New(fleetOf(43, 100))
	dead := w.Agents[:20]
	w.At(4*time.Second, func() {
		for _, p := range dead {
			p.Upstream.Crash()
			w.Kill(p)
		}
	})
	// The entries expire, two reads miss them, and nobody answers for some seconds.
	w.Run(4*time.Second + polling.LeaseTTL + 6*time.Second)
	qt.Assert(t, w.Violations, qt.HasLen, 0)
	for _, p := range w.Agents[len(dead):] {
		for _, q := range dead {
			qt.Assert(t, p.Agent.Members.Member(q.IP) == nil, qt.IsTrue, qt.Commentf("%v still lists %v", p.IP, q.IP))
		}
	}
}

// TestCallersLearnOfLostFlowsBesideAbsentUpstreams guards against callers that run into their
// deadline on lost flows after a loss of power: some upstreams were being replaced and do not
// return, the store has lost all entries, and searches wait for the agents beside them.
func TestCallersLearnOfLostFlowsBesideAbsentUpstreams(t *testing.T) {
	t.Parallel()
	const (
		lost, downtime = 5 * time.Second, 1500 * time.Millisecond
		back           = lost + downtime
	)
	cfg := largeFleet(44)
	for i := range cfg.Callers {
		// That of the users' large site.
		cfg.Callers[i].Deadline = 4 * time.Second
	}
	w := New(cfg)
	w.At(lost, func() {
		w.LoseEntries()
		w.LosePower(downtime)
	})
	w.At(back+time.Millisecond, func() {
		for i, p := range w.Agents {
			if i%10 == 0 {
				p.Upstream.Crash()
			}
		}
	})
	w.Run(back + 6*time.Second)
	qt.Assert(t, w.Violations, qt.HasLen, 0)
	failed, all := 0, 0
	for _, r := range w.Results {
		// Requests that were in progress at the loss cannot all be answered.
		if r.At > lost && r.At < back+2*time.Second {
			all++
			if r.Latency == 0 {
				failed++
			}
		}
	}
	t.Logf("%d of %d failed", failed, all)
	qt.Check(t, failed*50 <= all, qt.IsTrue, qt.Commentf("%d of %d failed", failed, all))
}

// TestSearchesSpareSilentAgents guards against searches that go on probing agents which are
// gone while the store still lists them: after a loss of power in a release they sent some
// million packets in seconds.
func TestSearchesSpareSilentAgents(t *testing.T) {
	t.Parallel()
	const (
		lost, downtime = 5 * time.Second, 1500 * time.Millisecond
		back           = lost + downtime
		seconds        = 4
		gone           = 30
	)
	cfg := largeFleet(45)
	n := countEvents(&cfg)
	w := New(cfg)
	w.At(lost, func() { w.LosePower(downtime) })
	w.At(back+200*time.Millisecond, func() {
		for _, p := range w.Agents[:gone] {
			p.Upstream.Crash()
			w.Kill(p)
		}
	})
	probes := func() (sum int) {
		for _, p := range w.Agents[gone:] {
			sum += int(p.Agent.Counts.Probes)
		}
		return sum
	}
	searched, sent := 0, 0
	w.At(back+200*time.Millisecond, func() { searched, sent = n["OwnerSearched"], probes() })
	w.Run(back + 200*time.Millisecond + seconds*time.Second)
	qt.Assert(t, w.Violations, qt.HasLen, 0)
	searched = n["OwnerSearched"] - searched
	sent = probes() - sent
	agents := len(w.Agents)
	// A search asks each agent once, and twice at most on average.
	most := 2 * searched * agents
	t.Logf("%d searches, %d probes, at most %d", searched, sent, most)
	qt.Check(t, sent <= most, qt.IsTrue)
}
