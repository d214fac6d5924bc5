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
	relayMeasureFrom  = 2 * time.Second
	relayMeasureTo    = 6 * time.Second
	powerLossRunEnd   = 9 * time.Second
	powerLossAt       = 4 * time.Second
	outageTime        = 1400 * time.Millisecond
	secondAfterReturn = powerLossAt + outageTime + time.Second
	// relayCreditTarget is the minimum credit at peak demand. It leaves a value to
	// users of 0.90 after deductions of about 0.05.
	relayCreditTarget = 0.95
	// peakDemandFactor is the peak demand of the usual fleet divided by its usual demand.
	peakDemandFactor = 2.4
)

// candidateSampler selects the candidates that are compared for a new flow.
type candidateSampler func(hash uint64, candidates []load.Candidate) []load.Candidate

// compareAll compares all candidates.
func compareAll(_ uint64, candidates []load.Candidate) []load.Candidate { return candidates }

// nearestByHash selects one candidate: the one with the highest rendezvous weight,
// preferring those that are not far.
func nearestByHash(hash uint64, candidates []load.Candidate) []load.Candidate {
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

// relayedFlows measures the service to callers of relayed flows. It simulates a fleet
// of the daemons' cores with routers, upstreams and callers in virtual time.
func relayedFlows(seed uint64) ([]Figure, error) {
	usual := relay.Registro(seed)
	usual.Scale(peakDemandFactor)
	out := measureSamplers("UsualCrest", usual)
	out = append(out, measureSamplers("GrownCrest", relay.LargeRegistro(seed))...)
	return append(out, afterPowerLoss(relay.Registro(seed))...), nil
}

// measureSamplers measures one load with each candidate sampler.
func measureSamplers(name string, cfg relay.Config) []Figure {
	run := func(s candidateSampler) *relay.World {
		c := cfg
		c.Sample = s
		w := relay.New(c)
		w.Run(relayMeasureTo + time.Second)
		return w
	}
	w := run(nil)
	out := []Figure{atLeast(name+"Credit", w.Served(relayMeasureFrom, relayMeasureTo), relayCreditTarget)}
	for i := range cfg.Callers {
		k := cfg.Callers[i].Name
		out = append(out, withoutTarget(name+k+"P50Millis", quantile(w, k, 0.5)), withoutTarget(name+k+"P99Millis", quantile(w, k, 0.99)))
	}
	return append(out,
		withoutTarget(name+"BrokenFlows", float64(len(w.Violations))),
		withoutTarget(name+"BaselineCreditAllCompared", run(compareAll).Served(relayMeasureFrom, relayMeasureTo)),
		withoutTarget(name+"BaselineCreditByHash", run(nearestByHash).Served(relayMeasureFrom, relayMeasureTo)),
		withoutTarget(name+"BoundCreditNoQueue", creditWithoutQueueing(w)),
	)
}

// quantile returns a quantile of the response times of one kind, in milliseconds.
func quantile(w *relay.World, kind string, q float64) float64 {
	var took []time.Duration
	for _, r := range w.Results {
		if r.Kind.Name == kind && r.Latency > 0 && r.At >= relayMeasureFrom && r.At < relayMeasureTo {
			took = append(took, r.Latency)
		}
	}
	if len(took) == 0 {
		return 0
	}
	slices.Sort(took)
	return float64(took[min(int(q*float64(len(took))), len(took)-1)]) / float64(time.Millisecond)
}

// creditWithoutQueueing returns the credit if no request had to wait. Requests
// whose own work takes longer than their aim still count as late.
func creditWithoutQueueing(w *relay.World) float64 {
	var earned, offered float64
	for _, r := range w.Results {
		if r.At < relayMeasureFrom || r.At >= relayMeasureTo {
			continue
		}
		offered += r.Kind.Value
		late := relay.ShareOverAim(r.Kind.Aim, r.Kind.ServiceTime)
		earned += r.Kind.Value*(1-late) + r.Kind.LateValue*late
	}
	return earned / offered
}

// afterPowerLoss measures how soon callers are served again after a power failure.
func afterPowerLoss(cfg relay.Config) []Figure {
	w := relay.New(cfg)
	w.At(powerLossAt, func() { w.LosePower(outageTime) })
	w.Run(powerLossRunEnd)
	usual := w.Served(relayMeasureFrom, powerLossAt-time.Second)
	return []Figure{
		withoutTarget("ReturnCreditOfTheOutage", w.Served(powerLossAt, powerLossAt+outageTime)),
		withoutTarget("ReturnCreditInTheFirstSecond", w.Served(powerLossAt+outageTime, secondAfterReturn)),
		atLeast("ReturnCreditInTheNextSecondOverUsual", w.Served(secondAfterReturn, secondAfterReturn+time.Second)/usual, 0.95),
		withoutTarget("ReturnBrokenFlows", float64(len(w.Violations))),
	}
}
