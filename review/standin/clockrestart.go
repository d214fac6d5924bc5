package main

import (
	"fmt"
	"time"
)

// Figures of the case clock-restart.
const (
	// clockStep is how far the time of day of the target's machine jumps ahead, and back.
	clockStep = 2400 * time.Millisecond
	// crashAfter is how long the first incarnation of the target lives.
	crashAfter = 1500 * time.Millisecond
	// downFor is how long a crashed target is down.
	downFor = 500 * time.Millisecond
	// drainingFor is how long the target serves after its report that it drains was
	// acknowledged.
	drainingFor = 9 * time.Second
	openEvery   = 50 * time.Millisecond
)

// playClockRestart restarts a target on a machine whose time of day has jumped ahead and
// back again, with trouble, and drains the target later. No flow may reach it later than
// the bound after the acknowledgement.
func playClockRestart(f *fleet, trouble bool) (breaches []string, err error) {
	const service = "padron"
	f.addMachine(1, "")
	f.addMachine(1, "")
	sides := f.addSides(service, sceneTargets)
	route := f.addRoute(service)
	if err := f.putConfiguration(); err != nil {
		return nil, err
	}
	if err := f.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(500 * time.Millisecond)
	step := time.Duration(0)
	if trouble {
		step = clockStep
	}
	for i, m := range sides[1:] {
		if _, err := f.startTarget(m, fmt.Sprintf("i-%d", i+2), 0); err != nil {
			return nil, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return nil, err
	}
	f.add("time of day", "machine", sides[0].name, "ahead", step)
	first, err := f.startTarget(sides[0], "i-1", step)
	if err != nil {
		return nil, err
	}
	time.Sleep(crashAfter)
	first.stop()
	f.add("time of day", "machine", sides[0].name, "ahead", time.Duration(0))
	time.Sleep(downFor)
	second, err := f.startTarget(sides[0], "i-1b", 0)
	if err != nil {
		return nil, err
	}
	time.Sleep(2 * stableWindow)

	c, err := f.startClient(1)
	if err != nil {
		return nil, err
	}
	done := make(chan struct{})
	go func() {
		for i := 1; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(openEvery):
			}
			go func() {
				if x := c.openFlow(route); x != nil {
					x.request(fmt.Sprintf("q-%d", i), requestTimeout)
				}
			}()
		}
	}()
	time.Sleep(2 * time.Second)
	acked := second.drain()
	if acked.IsZero() {
		close(done)
		return nil, fmt.Errorf("the agent did not acknowledge that the target drains")
	}
	f.add("draining was acknowledged", "id", second.id)
	time.Sleep(drainingFor)
	close(done)
	second.mu.Lock()
	defer second.mu.Unlock()
	late, last := 0, time.Duration(0)
	for _, at := range second.opened {
		if d := at.Sub(acked); d > drainFor {
			late++
			last = max(last, d)
		}
	}
	if late > 0 {
		breaches = append(breaches, fmt.Sprintf("DRAIN: %d flows reached the target %s later than %v after the acknowledgement that it drains, the last one %v after it", late, second.id, drainFor, last.Round(time.Millisecond)))
	}
	return breaches, nil
}
