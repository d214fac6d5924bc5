package bench

import (
	"fmt"
	"time"

	"github.com/jaytack/jaytack/internal/request/admission"
)

const (
	beforeOverload    = 3 * time.Second
	overloadRamp      = time.Second
	overloadTime      = 10 * time.Second
	afterOverloadTime = 5 * time.Second
	minDeliveredShare = 0.90
	baseLoad          = 0.5
	overloadAttempts  = 3
	recoveryTime      = 2 * time.Second
)

// customer is one service with the kinds and weights of its example contract.
type customer struct {
	name          string
	agents, slots int
	kinds         []kind
}

func registroService() customer {
	return customer{"Registro", 7, 4, []kind{
		{Kind: admission.Kind{Name: "PermitLookup", Weight: 10, Deadline: 250 * time.Millisecond}, Mean: 10 * time.Millisecond, Part: 0.7},
		{Kind: admission.Kind{Name: "CountSubmission", Weight: 4, Deadline: 2 * time.Second}, Mean: 25 * time.Millisecond, Part: 0.3},
	}}
}

func qasrService() customer {
	return customer{"QasrSoft", 7, 5, []kind{
		{Kind: admission.Kind{Name: "RestockOrder", Weight: 8, Deadline: 2 * time.Second}, Mean: 20 * time.Millisecond, Part: 0.4},
		{Kind: admission.Kind{Name: "PriceLookup", Weight: 2, Deadline: 500 * time.Millisecond}, Mean: 8 * time.Millisecond, Part: 0.5},
		{Kind: admission.Kind{Name: "PhotoUpload", Weight: 4, Deadline: 10 * time.Second}, Mean: 200 * time.Millisecond, Part: 0.1},
	}}
}

// withOverload returns the customer's service with demand that rises from baseLoad to
// factor times capacity within ramp, and later drops back.
func (c customer) withOverload(factor float64, ramp time.Duration, p admission.Policy, where placementPolicy) serviceConfig {
	mean := 0.0
	for _, k := range c.kinds {
		mean += k.Part * k.size().Seconds()
	}
	capacity := float64(c.agents*c.slots) / mean
	end := beforeOverload + overloadTime
	cfg := serviceConfig{
		agents: c.agents, slots: c.slots, dataCentres: 3, kinds: c.kinds, policy: p, placement: where,
		loadInterval: 500 * time.Millisecond, skew: 0.1, attempts: overloadAttempts,
		measureFrom: beforeOverload, measureTo: end,
	}
	cfg.rate = func(t time.Duration) float64 {
		switch {
		case t < beforeOverload || t >= end:
			return baseLoad * capacity
		case t < beforeOverload+ramp:
			return capacity * (baseLoad + (factor-baseLoad)*float64(t-beforeOverload)/float64(ramp))
		}
		return factor * capacity
	}
	return cfg
}

func deliveredShare(o outcome) float64 { return o.delivered / o.upperBound }

// crest measures the weight delivered while demand exceeds capacity.
func crest(seed uint64) ([]Figure, error) {
	var out []Figure
	for _, c := range []customer{registroService(), qasrService()} {
		o := simulate(c.withOverload(3, overloadRamp, admission.EarliestDeadline, twoChoices), seed)
		f := simulate(c.withOverload(3, overloadRamp, admission.FirstComeFirstServed, twoChoices), seed)
		out = append(out,
			atLeast(c.name+"Service", deliveredShare(o), minDeliveredShare),
			withoutTarget(c.name+"BaselineFirstComeFirstServed", deliveredShare(f)),
			withoutTarget(c.name+"BaselineOwnQueueOnly", deliveredShare(simulate(c.withOverload(3, overloadRamp, admission.EarliestDeadline, localOnly), seed))),
			withoutTarget(c.name+"ShortestFirst", deliveredShare(simulate(c.withOverload(3, overloadRamp, admission.ShortestFirst, twoChoices), seed))),
			withoutTarget(c.name+"Densest", deliveredShare(simulate(c.withOverload(3, overloadRamp, admission.Densest, twoChoices), seed))),
			withoutTarget(c.name+"LatePart", float64(o.late)/float64(o.count)),
		)
		for i, k := range c.kinds {
			out = append(out, withoutTarget(fmt.Sprintf("%s%sP99WaitMillis", c.name, k.Name), p99Millis(o, i)))
		}
		for _, factor := range []float64{0.5, 1, 2, 6} {
			v := simulate(c.withOverload(factor, overloadRamp, admission.EarliestDeadline, twoChoices), seed)
			out = append(out, withoutTarget(fmt.Sprintf("%sService%gTimes", c.name, factor), deliveredShare(v)))
		}
		step := simulate(c.withOverload(3, time.Millisecond, admission.EarliestDeadline, twoChoices), seed)
		out = append(out, withoutTarget(c.name+"ServiceInOneStep", deliveredShare(step)))
		out = append(out, afterOverload(c, seed)...)
		out = append(out, overloadWithFailure(c, seed))
	}
	return out, nil
}

// afterOverload measures the weight delivered after the overload, from recoveryTime on.
func afterOverload(c customer, seed uint64) []Figure {
	cfg := c.withOverload(3, overloadRamp, admission.EarliestDeadline, twoChoices)
	end := cfg.measureTo
	cfg.measureFrom, cfg.measureTo = end+recoveryTime, end+recoveryTime+afterOverloadTime
	fcfs := cfg
	fcfs.policy = admission.FirstComeFirstServed
	after, base := simulate(cfg, seed), simulate(fcfs, seed)
	return []Figure{
		atLeast(c.name+"ServiceTwoSecondsAfter", after.delivered/after.offered, 0.99),
		withoutTarget(c.name+"BaselineServiceTwoSecondsAfter", base.delivered/base.offered),
	}
}

// overloadWithFailure fails a third of the agents, one data centre, during the overload.
func overloadWithFailure(c customer, seed uint64) Figure {
	cfg := c.withOverload(2, overloadRamp, admission.EarliestDeadline, twoChoices)
	cfg.failAt = beforeOverload + overloadTime/2
	cfg.measureFrom, cfg.measureTo = cfg.failAt+time.Second, beforeOverload+overloadTime
	o := simulate(cfg, seed)
	return withoutTarget(c.name+"ServiceWithFailedDataCentre", deliveredShare(o))
}
