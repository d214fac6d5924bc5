package bench

import (
	"fmt"
	"time"

	"github.com/jaytack/jaytack/internal/request/admission"
)

const (
	blockingLoad     = 0.8
	blockingDuration = 120 * time.Second
	stragglerShare   = 0.01
	stragglerFactor  = 30
	maxWaitRatio     = 2.0
	hedgeDelayFactor = 5
)

// blockingService returns the service padron at its current size. It receives only
// lookups; stragglers is the share of them that are stragglers.
func blockingService(stragglers float64, p admission.Policy, where placementPolicy, age time.Duration) serviceConfig {
	lookup := kind{
		Kind: admission.Kind{Name: "PermitLookup", Weight: 10, Deadline: 2 * time.Second},
		Mean: 10 * time.Millisecond, Part: 1, Stragglers: stragglers, StragglerFactor: stragglerFactor,
	}
	cfg := serviceConfig{
		agents: 7, slots: 4, dataCentres: 3, kinds: []kind{lookup}, policy: p, placement: where, loadInterval: age,
		measureFrom: 10 * time.Second, measureTo: blockingDuration, skew: 0.1, attempts: 1,
	}
	rate := blockingLoad * float64(cfg.agents*cfg.slots) / lookup.size().Seconds()
	cfg.rate = func(time.Duration) float64 { return rate }
	return cfg
}

func p99Millis(o outcome, kind int) float64 {
	return float64(o.waitTimes[kind].ValueAtQuantile(99)) / 1000
}

// blocking measures head-of-line blocking: how long requests wait behind stragglers.
func blocking(seed uint64) ([]Figure, error) {
	const age = 500 * time.Millisecond
	clean := simulate(blockingService(0, admission.EarliestDeadline, twoChoices, age), seed)
	with := simulate(blockingService(stragglerShare, admission.EarliestDeadline, twoChoices, age), seed)
	fcfs := simulate(blockingService(stragglerShare, admission.FirstComeFirstServed, localOnly, age), seed)
	fcfsClean := simulate(blockingService(0, admission.FirstComeFirstServed, localOnly, age), seed)
	out := []Figure{
		withoutTarget("P99WaitMillisWithoutStragglers", p99Millis(clean, 0)),
		withoutTarget("P99WaitMillisWithStragglers", p99Millis(with, 0)),
		atMost("P99WaitRatio", p99Millis(with, 0)/p99Millis(clean, 0), maxWaitRatio),
		withoutTarget("BaselineFirstComeFirstServedP99WaitMillis", p99Millis(fcfs, 0)),
		withoutTarget("BaselineFirstComeFirstServedWithoutStragglersP99WaitMillis", p99Millis(fcfsClean, 0)),
		withoutTarget("BaselineP99WaitRatio", p99Millis(fcfs, 0)/p99Millis(clean, 0)),
		withoutTarget("HandedOverPart", float64(with.handedOver)/float64(with.count)),
	}
	for _, v := range []struct {
		name  string
		where placementPolicy
		age   time.Duration
	}{
		{"RandomPeer", randomPeer, age},
		{"FreshLoad", twoChoices, time.Millisecond},
		{"Load100Millis", twoChoices, 100 * time.Millisecond},
		{"Load1Second", twoChoices, time.Second},
		{"IdealPeer", leastLoaded, age},
	} {
		o := simulate(blockingService(stragglerShare, admission.EarliestDeadline, v.where, v.age), seed)
		out = append(out, withoutTarget("P99WaitMillis"+v.name, p99Millis(o, 0)))
	}
	near := blockingService(stragglerShare, admission.EarliestDeadline, twoChoices, age)
	near.sameDataCentreOnly = true
	free := blockingService(stragglerShare, admission.EarliestDeadline, twoChoices, age)
	free.freeDistance = true
	out = append(out, withoutTarget("P99WaitMillisOwnDataCentreOnly", p99Millis(simulate(near, seed), 0)),
		withoutTarget("P99WaitMillisDistanceWithoutPrice", p99Millis(simulate(free, seed), 0)))
	out = append(out, hedged(with, seed)...)
	slow := blockingService(stragglerShare, admission.EarliestDeadline, twoChoices, age)
	slow.slowFactor = 10
	rate := slow.rate(0) * 6 / 7
	slow.rate = func(time.Duration) float64 { return rate }
	out = append(out, withoutTarget("P99WaitMillisOneSlowUpstream", p99Millis(simulate(slow, seed), 0)))
	slow.reportsIdle = true
	out = append(out, withoutTarget("P99WaitMillisOneSlowThatLies", p99Millis(simulate(slow, seed), 0)))
	return out, nil
}

// hedged compares requests with and without hedging, at the load of the blocking
// experiment and at a lower one. A hedge starts after hedgeDelayFactor mean service times.
func hedged(without outcome, seed uint64) []Figure {
	p99End := func(o outcome) float64 { return float64(o.latencies[0].ValueAtQuantile(99)) / 1000 }
	out := []Figure{withoutTarget("P99AnswerMillis", p99End(without))}
	for _, load := range []float64{1, 0.75} {
		cfg := blockingService(stragglerShare, admission.EarliestDeadline, twoChoices, 500*time.Millisecond)
		rate := cfg.rate(0) * load
		cfg.rate = func(time.Duration) float64 { return rate }
		unhedged := simulate(cfg, seed)
		cfg.hedgeAfter = hedgeDelayFactor * cfg.kinds[0].Mean
		o := simulate(cfg, seed)
		cfg.repeatStraggler = true
		sticky := simulate(cfg, seed)
		name := fmt.Sprintf("AtLoad%.1f", load*blockingLoad)
		out = append(out, withoutTarget("P99AnswerMillisUnhedged"+name, p99End(unhedged)), withoutTarget("P99AnswerMillisHedged"+name, p99End(o)),
			withoutTarget("P99AnswerMillisHedgedSlowRequests"+name, p99End(sticky)),
			withoutTarget("P99WaitMillisHedged"+name, p99Millis(o, 0)), withoutTarget("HedgedPart"+name, float64(o.hedges)/float64(o.count)))
	}
	return out
}
