package bench

import (
	"cmp"
	"slices"
	"time"

	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/load"
	"github.com/jaytack/jaytack/internal/standin/relay"
)

// Times of the relay experiment.
const (
	relayFrom  = 2 * time.Second
	relayTo    = 6 * time.Second
	relayEnd   = 9 * time.Second
	relayLost  = 4 * time.Second
	relayOff   = 1400 * time.Millisecond
	relayAfter = relayLost + relayOff + time.Second
	// relayCreditTarget is the credit at the crest that leaves the users' worth of 0.90 after
	// prices of some 0.05.
	relayCreditTarget = 0.95
	// relayCrest is the demand of the usual fleet at its crest over its usual one.
	relayCrest = 2.4
)

// sampling is a way to draw the candidates of a new flow.
type sampling func(hash uint64, candidates []load.Candidate) []load.Candidate

// compareAll compares all candidates.
func compareAll(_ uint64, candidates []load.Candidate) []load.Candidate { return candidates }

// byHash leaves no choice: the candidate with the highest random weight among the near ones.
func byHash(hash uint64, candidates []load.Candidate) []load.Candidate {
	sorted := slices.SortedFunc(slices.Values(candidates), func(a, b load.Candidate) int {
		switch {
		case a.Remote != b.Remote && b.Remote:
			return -1
		case a.Remote != b.Remote:
			return 1
		}
		return cmp.Compare(flow.RendezvousWeight(hash, b.Agent), flow.RendezvousWeight(hash, a.Agent))
	})
	return sorted[:min(1, len(sorted))]
}

// relayed measures the service to callers of relayed flows: a whole fleet of the
// daemons' cores with routers, upstreams and callers under virtual time.
func relayed(seed uint64) ([]Figure, error) {
	usual := relay.Registro(seed)
	usual.Scale(relayCrest)
	out := placements("UsualCrest", usual)
	out = append(out, placements("GrownCrest", relay.LargeRegistro(seed))...)
	return append(out, afterPowerLoss(relay.Registro(seed))...), nil
}

// placements measures one load under each way to place new flows.
func placements(name string, cfg relay.Config) []Figure {
	run := func(s sampling) *relay.World {
		c := cfg
		c.Sample = s
		w := relay.New(c)
		w.Run(relayTo + time.Second)
		return w
	}
	w := run(nil)
	out := []Figure{atLeast(name+"Credit", w.Served(relayFrom, relayTo), relayCreditTarget)}
	for i := range cfg.Callers {
		k := cfg.Callers[i].Name
		out = append(out, plain(name+k+"P50Millis", quantile(w, k, 0.5)), plain(name+k+"P99Millis", quantile(w, k, 0.99)))
	}
	return append(out,
		plain(name+"BrokenFlows", float64(len(w.Violations))),
		plain(name+"BaselineCreditAllCompared", run(compareAll).Served(relayFrom, relayTo)),
		plain(name+"BaselineCreditByHash", run(byHash).Served(relayFrom, relayTo)),
		plain(name+"BoundCreditNoQueue", noQueue(w)),
	)
}

// quantile returns a quantile of the times of the answers of one kind, in milliseconds.
func quantile(w *relay.World, kind string, q float64) float64 {
	var took []time.Duration
	for _, r := range w.Results {
		if r.Kind.Name == kind && r.Latency > 0 && r.At >= relayFrom && r.At < relayTo {
			took = append(took, r.Latency)
		}
	}
	if len(took) == 0 {
		return 0
	}
	slices.Sort(took)
	return float64(took[min(int(q*float64(len(took))), len(took)-1)]) / float64(time.Millisecond)
}

// noQueue returns the credit if no request had to wait: those whose own work is longer
// than their aim are late all the same.
func noQueue(w *relay.World) float64 {
	var got, owed float64
	for _, r := range w.Results {
		if r.At < relayFrom || r.At >= relayTo {
			continue
		}
		owed += r.Kind.Value
		late := relay.ShareOverAim(r.Kind.Aim, r.Kind.ServiceTime)
		got += r.Kind.Value*(1-late) + r.Kind.LateValue*late
	}
	return got / owed
}

// afterPowerLoss measures how soon callers are served again.
func afterPowerLoss(cfg relay.Config) []Figure {
	w := relay.New(cfg)
	w.At(relayLost, func() { w.LosePower(relayOff) })
	w.Run(relayEnd)
	usual := w.Served(relayFrom, relayLost-time.Second)
	return []Figure{
		plain("ReturnCreditOfTheOutage", w.Served(relayLost, relayLost+relayOff)),
		plain("ReturnCreditInTheFirstSecond", w.Served(relayLost+relayOff, relayAfter)),
		atLeast("ReturnCreditInTheNextSecondOverUsual", w.Served(relayAfter, relayAfter+time.Second)/usual, 0.95),
		plain("ReturnBrokenFlows", float64(len(w.Violations))),
	}
}
