// Package locality decides which share of a home's new flows may leave its data centre.
//
// The load pattern: the upstreams of one data centre are short of slots for seconds, since
// its demand has grown, some of them have ended or all are cold, while those of another one
// have free slots. A flow that leaves pays the round trip between the data centres and its
// bytes with each request, and a flow may stay open for a minute. So a queue of a moment, or
// one busy upstream beside free ones, is no reason to leave: the other local upstreams take
// the flow sooner and for less. The package therefore compares the upstreams of each data
// centre as a group, with smoothed loads, and moves the share in bounded steps.
//
// The wait of a group is that of its requests if they were spread evenly. While there are no
// more of them than slots, some still wait since others arrive at the same time, but for less
// than leaving costs: flows do not leave while local slots are free, however long requests
// take. Idle flows do not count; the demand that they stand for shows in the requests of the
// last seconds.
//
// Loads of remote upstreams are some hundred milliseconds old. After a step the next one
// waits until all of them are newer than it, so that the effect of the first is known.
//
// # Usage
//
//	c := locality.New()
//	changes := c.Update(now, locality.Inputs{Local: local, Remotes: remotes, ServiceTime: 25 * time.Millisecond})
//	if locality.MayLeave(id.Hash(), c.Share("b")) {
//		// The flow may go to an upstream of data centre b.
//	}
//
// The package performs no I/O. A Controller is not safe for concurrent use.
package locality

import (
	"math"
	"strconv"
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/load"
)

const (
	// Margin is the time that leaving has to save on each request beyond the round trip. It
	// stands for the price of bytes between data centres: a shorter wait makes hardly any
	// request late, since target latencies are 200 ms and more.
	Margin = 15 * time.Millisecond
	// stayMargin is the margin at which leaving stops to pay.
	stayMargin = Margin / 2
	// UpStep and DownStep bound the steps of a share. It rises faster than it falls: callers
	// wait meanwhile, whereas a share that is too large costs little, since a flow that may
	// leave does so only if the remote upstream is less loaded.
	UpStep   = 0.25
	DownStep = 0.125
	// minStepInterval is the shortest time between two steps: the shortest interval of
	// reports between data centres.
	minStepInterval = 150 * time.Millisecond
	// onset is how long leaving must have paid before the first flows leave: the longest
	// interval of reports between data centres, so that it has paid in two of them. It is also
	// how long no local upstream must have taken flows before the share becomes 1.
	onset = 300 * time.Millisecond
	// hold is the time after a rise in which a share does not fall: demand moves only as flows
	// end and others open, within seconds. It bounds how often a share changes direction.
	hold = 2 * time.Second
	// MaxAge is the age of the reports of a data centre from which on it gets no flows: two
	// intervals of reports between data centres.
	MaxAge = 600 * time.Millisecond
	// maxGap is the time without an update after which averages start anew. Otherwise the first
	// loads after a pause would count as those of the whole pause, and a single update could
	// cause a step.
	maxGap = 500 * time.Millisecond
	// localSmoothing and remoteSmoothing are the time constants of the averages of loads:
	// several times the duration of a request and longer than a burst of new flows. A home
	// knows only a few of the upstreams of another data centre, whose load varies more.
	localSmoothing  = 500 * time.Millisecond
	remoteSmoothing = time.Second
	// thresholdSeed makes the threshold hash of a flow independent of the choices of its home and its upstream,
	// which use the same hash with addresses of agents.
	thresholdSeed flow.IP = math.MaxUint32
)

// Share is a share of new flows, from 0 to 1.
type Share float64

// Load is a number of requests per slot.
type Load float64

// String returns the load with two digits for logs.
func (l Load) String() string { return strconv.FormatFloat(float64(l), 'f', 2, 64) }

// Group describes the upstreams of a service in one data centre that take new flows.
type Group struct {
	Upstreams int
	// Slots is the number of requests that they run at a time at their usual speed. A cold
	// upstream counts for less than it has.
	Slots float64
	// Requests is the number of requests in progress or waiting.
	Requests float64
	// Age is the age of the oldest report.
	Age time.Duration
}

func (g Group) load() Load { return Load(g.Requests / max(g.Slots, 1)) }

// Remote describes another data centre.
type Remote struct {
	DataCentre string
	Group
	// RoundTrip is the round trip to the data centre, 0 if it is not known. RoundTripAge is
	// the time since it was last measured.
	RoundTrip, RoundTripAge time.Duration
}

// Inputs holds what a home knows of all data centres.
type Inputs struct {
	Local   Group
	Remotes []Remote
	// ServiceTime is the usual duration of a request.
	ServiceTime time.Duration
}

// Reason tells why a share has changed.
type Reason string

// Reasons.
const (
	LeavingPays     Reason = "LeavingPays"
	StayingPays     Reason = "StayingPays"
	NoLocalUpstream Reason = "NoLocalUpstream"
	NoReports       Reason = "NoReports"
	NoRoundTrip     Reason = "NoRoundTrip"
)

// Change is a change of a share with the inputs that decided it.
type Change struct {
	DataCentre    string
	Before, After Share
	Reason        Reason
	// Saved is the expected time that leaving saves on a request, before the round trip.
	Saved                 time.Duration
	LocalLoad, RemoteLoad Load
	Local                 Group
	Remote                Remote
}

// average is an exponential moving average of a load.
type average struct {
	smoothing        time.Duration
	value            Load
	since, updatedAt instant.Instant
	valid            bool
}

// isSettled reports whether the average covers enough time to tell a lasting load from one of
// a moment.
func (a *average) isSettled() bool { return a.valid && a.updatedAt.Sub(a.since) >= localSmoothing }

func (a *average) update(now instant.Instant, value Load) {
	if !a.valid || now.Sub(a.updatedAt) > maxGap {
		*a = average{a.smoothing, value, now, now, true}
		return
	}
	weight := 1 - math.Exp(-float64(now.Sub(a.updatedAt))/float64(a.smoothing))
	a.value += Load(weight) * (value - a.value)
	a.updatedAt = now
}

// dataCentre is the state of one remote data centre.
type dataCentre struct {
	share      Share
	load       average
	steppedAt  instant.Instant
	hasStepped bool
	// roseAt is when the share last rose, valid if hasRisen is set.
	roseAt   instant.Instant
	hasRisen bool
	// paysSince is when leaving began to pay, valid if pays is set.
	paysSince instant.Instant
	pays      bool
}

// Controller holds the shares of one home.
type Controller struct {
	local     average
	remotes   map[string]*dataCentre
	updatedAt instant.Instant
	// absentSince is since when no local upstream takes flows, valid if absent is set.
	absentSince instant.Instant
	absent      bool
}

// New returns a controller whose shares are 0.
func New() *Controller {
	return &Controller{local: average{smoothing: localSmoothing}, remotes: make(map[string]*dataCentre)}
}

// Share returns the share of new flows that may leave for a data centre.
func (c *Controller) Share(name string) Share {
	if d := c.remotes[name]; d != nil {
		return d.share
	}
	return 0
}

// MayLeave reports whether a flow is among a share of flows. A flow that is among one share is
// among all larger ones, at all homes.
func MayLeave(hash uint64, s Share) bool {
	const bits = 53
	return float64(flow.RendezvousWeight(hash, thresholdSeed)>>(64-bits)) < float64(s)*(1<<bits)
}

// Update recomputes the shares and returns those that have changed, in the order of the
// inputs. Data centres that are not among the inputs have no reports.
func (c *Controller) Update(now instant.Instant, in Inputs) []Change {
	if now.Sub(c.updatedAt) > maxGap {
		for _, d := range c.remotes {
			d.pays = false
		}
		c.absent = false
	}
	c.updatedAt = now
	c.updateLocal(now, in.Local)
	var changes []Change
	listed := make(map[string]bool, len(in.Remotes))
	for _, r := range in.Remotes {
		listed[r.DataCentre] = true
		d := c.remotes[r.DataCentre]
		if d == nil {
			d = &dataCentre{load: average{smoothing: remoteSmoothing}}
			c.remotes[r.DataCentre] = d
		}
		if change, ok := c.step(now, in, r, d); ok {
			changes = append(changes, change)
		}
	}
	for name := range c.remotes {
		if !listed[name] {
			delete(c.remotes, name)
		}
	}
	return changes
}

// updateLocal updates the average of the local load. It keeps it while no local upstream takes
// flows for a moment, for example since the warm-up allowance is used up.
func (c *Controller) updateLocal(now instant.Instant, g Group) {
	if g.Upstreams > 0 {
		c.absent = false
		c.local.update(now, g.load())
		return
	}
	if !c.absent {
		c.absent, c.absentSince = true, now
	}
	if c.isAbsent(now) {
		c.local = average{smoothing: localSmoothing}
	}
}

// isAbsent reports whether no local upstream has taken flows for more than a moment.
func (c *Controller) isAbsent(now instant.Instant) bool {
	return c.absent && now.Sub(c.absentSince) >= onset
}

// step updates the share of one data centre; ok is set if it has changed.
func (c *Controller) step(now instant.Instant, in Inputs, r Remote, d *dataCentre) (change Change, ok bool) {
	before := d.share
	if r.Upstreams == 0 || r.Age > MaxAge {
		d.load = average{smoothing: remoteSmoothing}
	} else {
		d.load.update(now, r.load())
	}
	cost := r.RoundTrip + Margin
	saved := wait(c.local.value, in.ServiceTime, cost) - wait(d.load.value, in.ServiceTime, cost)
	reason := c.decide(now, in, r, d, saved)
	if d.share == before {
		return Change{}, false
	}
	d.steppedAt, d.hasStepped = now, true
	return Change{
		DataCentre: r.DataCentre, Before: before, After: d.share, Reason: reason, Saved: saved,
		LocalLoad: c.local.value, RemoteLoad: d.load.value, Local: in.Local, Remote: r,
	}, true
}

// decide sets the share of one data centre and returns the reason.
func (c *Controller) decide(now instant.Instant, in Inputs, r Remote, d *dataCentre, saved time.Duration) Reason {
	switch {
	case r.Upstreams == 0 || r.Age > MaxAge:
		d.share = 0
		return NoReports
	case c.absent && !c.isAbsent(now):
		return ""
	case c.absent:
		d.share = 1
		return NoLocalUpstream
	case r.RoundTrip == 0:
		d.share = 0
		return NoRoundTrip
	}
	pays := saved > r.RoundTrip+Margin
	if pays && !d.pays {
		d.paysSince = now
	}
	d.pays = pays
	if !c.local.isSettled() || !d.load.isSettled() || d.hasStepped && now.Sub(d.steppedAt) < max(minStepInterval, r.Age+r.RoundTrip) {
		return ""
	}
	switch {
	case pays && d.share == 0 && now.Sub(d.paysSince) < onset:
	case pays && d.share == 1:
	case pays:
		d.roseAt, d.hasRisen = now, true
		d.share = min(d.share+UpStep, 1)
		return LeavingPays
	case d.hasRisen && now.Sub(d.roseAt) < hold:
	case saved < r.RoundTrip+stayMargin:
		d.share = max(d.share-DownStep, 0)
		return StayingPays
	}
	return ""
}

// wait returns the expected wait of a request at upstreams that share their load evenly, by
// the same estimate as the choice between two upstreams. The part of it that arises while slots
// are free is limited to maxFree: with requests of 100 ms it would exceed the cost of leaving.
func wait(l Load, serviceTime, maxFree time.Duration) time.Duration {
	free := load.ExpectedWait(min(float64(l), 1))
	queued := load.ExpectedWait(float64(l)) - free
	return time.Duration(free*float64(min(serviceTime, maxFree)) + queued*float64(serviceTime))
}
