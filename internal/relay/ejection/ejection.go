// Package ejection decides when an upstream that fails requests gets no new flows.
//
// The load it answers: an upstream whose health checks are good resets its flows or never
// answers. Since it is free again at once, the least loaded upstream is the one that fails, and
// callers that try again come back to it. Package load cannot see this, since failed requests
// leave no load.
//
// An upstream is ejected once several of its last requests have failed and they are a large part
// of them. Requests on flows that are already open there go on, since open flows cannot move.
// After a period, which doubles from one ejection to the next, the upstream is on trial: it gets
// few new flows, and the first failure ejects it again.
//
// Only failures that show without reading what flows carry count: a reset during a request, and a
// request without an answer within its time limit. An answer that reports an error is an answer.
//
// # Usage
//
//	d := ejection.New()
//	d.RecordAnswer(now)
//	d.RecordFailure(now)
//	if d.State(now) == ejection.Ejected {
//		reportFailing()
//	}
//
// The package performs no I/O. A Detector is not safe for concurrent use.
package ejection

import (
	"slices"
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
)

const (
	// window is how long an outcome counts, maxOutcomes how many of the last ones do.
	window      = 5 * time.Second
	maxOutcomes = 20
	// minFailures is the number of failures in the window, and minFailedShare their share of all
	// outcomes, from which on an upstream is ejected. A single request may fail since it meets a
	// flow that its upstream is just closing.
	minFailures    = 3
	minFailedShare = 0.4
	// minPeriod and maxPeriod limit how long an ejection lasts.
	minPeriod = time.Second
	maxPeriod = 8 * time.Second
	// trialAnswers is how many answers in a row end a trial.
	trialAnswers = 3
	// forgetAfter is how long after a trial the next ejection is short again.
	forgetAfter = 10 * time.Second
)

// State is what an upstream may get.
type State uint8

// States of an upstream.
const (
	// Trusted: any new flows.
	Trusted State = iota
	// Ejected: none while others take them.
	Ejected
	// OnTrial: few.
	OnTrial
)

// String returns the state's name.
func (s State) String() string { return [...]string{"Trusted", "Ejected", "OnTrial"}[s] }

type outcome struct {
	at     instant.Instant
	failed bool
}

// Detector follows the outcomes of one upstream's requests.
type Detector struct {
	state    State
	outcomes []outcome
	// until is when the present ejection ends, period how long it lasts.
	until  instant.Instant
	period time.Duration
	// answersOnTrial counts the answers of the present trial; trustedSince is when the last one
	// was passed.
	answersOnTrial int
	trustedSince   instant.Instant
}

// New returns a detector that trusts the upstream.
func New() *Detector { return &Detector{} }

// State returns the upstream's state.
func (d *Detector) State(now instant.Instant) State {
	if d.state == Ejected && now >= d.until {
		d.state, d.answersOnTrial = OnTrial, 0
	}
	return d.state
}

// Failures returns how many of the last outcomes are failures, of how many.
func (d *Detector) Failures(now instant.Instant) (failed, all int) {
	d.outcomes = slices.DeleteFunc(d.outcomes, func(o outcome) bool { return now.Sub(o.at) > window })
	for _, o := range d.outcomes {
		if o.failed {
			failed++
		}
	}
	return failed, len(d.outcomes)
}

// RecordAnswer records that a request was answered.
func (d *Detector) RecordAnswer(now instant.Instant) {
	d.record(now, false)
	if d.State(now) != OnTrial {
		return
	}
	if d.answersOnTrial++; d.answersOnTrial >= trialAnswers {
		d.state, d.trustedSince, d.outcomes = Trusted, now, nil
	}
}

// RecordFailure records that a request failed.
func (d *Detector) RecordFailure(now instant.Instant) {
	d.record(now, true)
	switch d.State(now) {
	case OnTrial:
		d.eject(now)
	case Trusted:
		if failed, all := d.Failures(now); failed >= minFailures && float64(failed) >= minFailedShare*float64(all) {
			d.eject(now)
		}
	}
}

// Reset forgets everything: another upstream runs.
func (d *Detector) Reset() { *d = Detector{} }

func (d *Detector) record(now instant.Instant, failed bool) {
	if len(d.outcomes) == maxOutcomes {
		d.outcomes = slices.Delete(d.outcomes, 0, 1)
	}
	d.outcomes = append(d.outcomes, outcome{now, failed})
}

func (d *Detector) eject(now instant.Instant) {
	if d.state == Trusted && now.Sub(d.trustedSince) > forgetAfter {
		d.period = 0
	}
	d.period = min(max(2*d.period, minPeriod), maxPeriod)
	d.state, d.until = Ejected, now.Add(d.period)
}
