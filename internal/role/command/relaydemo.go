package command

import (
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/jaytack/jaytack/internal/standin/relay"
)

// Times of the demo of relayed flows, in the virtual time of its fleet.
const (
	relayDemoFor  = 12 * time.Second
	relayDrainFor = 2 * time.Second
	relayDark     = time.Second
	relayStart    = 300 * time.Millisecond
	// relayCalm is the last part, in which service must be as usual again.
	relayCalm  = 2 * time.Second
	relayLeast = 0.95
)

// runRelay plays a fleet that relays flows, with planned changes and a loss of power.
func (c *demoCmd) runRelay(s *streams) error {
	w := relay.New(relay.Registro(c.Seed))
	say(s, "starting %d balancers and %d upstreams with their agents, under virtual time", len(w.Balancers), len(w.Agents))
	at := func(t time.Duration, what string, f func()) {
		w.At(t, func() {
			say(s, "%4.1f s: %s", t.Seconds(), what)
			f()
		})
	}
	at(2*time.Second, "restarting a balancer", func() { w.Restart(w.Balancers[0], relayStart) })
	at(3*time.Second, "draining an upstream and adding another", func() {
		w.Agents[0].Upstream.Drain(relayDrainFor)
		w.AddAgent(w.Services[0], 0)
	})
	at(4*time.Second, "restarting all agents beside living upstreams", func() {
		for _, p := range w.Agents {
			w.Restart(p, relayStart)
		}
	})
	at(6*time.Second, "losing power everywhere for a second", func() { w.LosePower(relayDark) })
	w.Run(relayDemoFor)
	printRelay(s, w)
	calm := w.Served(relayDemoFor-relayCalm-time.Second, relayDemoFor-time.Second)
	say(s, "BrokenPromises=%d CreditAtTheEnd=%.3f", len(w.Violations), calm)
	for _, b := range w.Violations {
		say(s, "%s", b)
	}
	if len(w.Violations) > 0 || calm < relayLeast {
		return ErrPromise
	}
	say(s, "all promises held")
	return nil
}

// printRelay prints what became of the requests of each kind.
func printRelay(s *streams, w *relay.World) {
	t := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "Kind\tSent\tAnswered\tInTime\tCredit\t")
	for i := range w.Callers {
		k := &w.Callers[i]
		var sent, answered, inTime int
		var credit float64
		for _, r := range w.Results {
			if r.Kind.Name != k.Name {
				continue
			}
			sent++
			credit += r.Credit()
			if r.Latency > 0 {
				answered++
			}
			if r.Latency > 0 && r.Latency <= k.Aim {
				inTime++
			}
		}
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%.3f\t\n", k.Name, sent, answered, inTime, credit/float64(max(sent, 1)))
	}
	_ = t.Flush()
}
