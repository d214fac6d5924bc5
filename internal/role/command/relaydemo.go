package command

import (
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/jaytack/jaytack/internal/standin/relay"
)

// Times of the relayed-flow demo, in the fleet's virtual time.
const (
	relayDemoDuration = 12 * time.Second
	relayDrainTime    = 2 * time.Second
	relayPowerOutage  = time.Second
	relayRestartTime  = 300 * time.Millisecond
	// relayRecoveryWindow is the period near the end of the demo in which requests
	// must earn at least relayMinCredit.
	relayRecoveryWindow = 2 * time.Second
	relayMinCredit      = 0.95
)

// runRelay runs a simulated fleet that relays flows, with planned changes and a
// power loss.
func (c *demoCmd) runRelay(s *streams) error {
	w := relay.New(relay.Registro(c.Seed))
	printLine(s, "starting %d balancers and %d upstreams with their agents, under virtual time", len(w.Balancers), len(w.Agents))
	schedule := func(t time.Duration, description string, f func()) {
		w.At(t, func() {
			printLine(s, "%4.1f s: %s", t.Seconds(), description)
			f()
		})
	}
	schedule(2*time.Second, "restarting a balancer", func() { w.Restart(w.Balancers[0], relayRestartTime) })
	schedule(3*time.Second, "draining an upstream and adding another", func() {
		w.Agents[0].Upstream.Drain(relayDrainTime)
		w.AddAgent(w.Services[0], 0)
	})
	schedule(4*time.Second, "restarting all agents beside living upstreams", func() {
		for _, p := range w.Agents {
			w.Restart(p, relayRestartTime)
		}
	})
	schedule(6*time.Second, "losing power everywhere for a second", func() { w.LosePower(relayPowerOutage) })
	w.Run(relayDemoDuration)
	printRelay(s, w)
	credit := w.Served(relayDemoDuration-relayRecoveryWindow-time.Second, relayDemoDuration-time.Second)
	printLine(s, "BrokenPromises=%d CreditAtTheEnd=%.3f", len(w.Violations), credit)
	for _, b := range w.Violations {
		printLine(s, "%s", b)
	}
	if len(w.Violations) > 0 || credit < relayMinCredit {
		return ErrPromiseBroken
	}
	printLine(s, "all promises held")
	return nil
}

// printRelay prints the results of each kind of request.
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
