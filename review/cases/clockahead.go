package main

import (
	"errors"
	"sync"
	"syscall"
	"time"
)

const (
	// clockAhead is how far the time of day of the new machine is ahead while its target starts.
	clockAhead = 2 * time.Second
	// restartDelay is how long the platform takes to start an ended process again.
	restartDelay = 100 * time.Millisecond
	// restartGap is the site's time between two steps of planned work.
	restartGap = 1300 * time.Millisecond
	// calmTime is longer than stable_window_ms.
	calmTime = 4500 * time.Millisecond
)

// playClockAhead replaces a target by one on a new side machine, whose time of day is ahead when it
// starts, restarts the daemon beside it and then the fronts of its zone in turn, and has clients
// use flows again that they opened before.
func playClockAhead(f *fleet, trouble bool) error {
	added := f.spareMachine()
	if err := added.startDaemon(); err != nil {
		return err
	}
	time.Sleep(300 * time.Millisecond)
	ahead := time.Duration(0)
	if trouble {
		ahead = clockAhead
	}
	f.rec.log("the time of day of %s is %v ahead, and right again after the start of its target", added.name, ahead)
	t, err := f.startTarget(added, "i-new", ahead)
	if err != nil {
		return err
	}
	if err := f.oldTarget().drainAndLeave(); err != nil {
		return err
	}
	time.Sleep(100 * time.Millisecond)
	flows, err := f.openFlows(added.zoneIndex, "padron", 40)
	if err != nil {
		return err
	}
	time.Sleep(time.Until(t.started.Add(500 * time.Millisecond)))
	f.rec.log("the new target holds %d open flows", t.openFlows())
	if t.openFlows() == 0 {
		return errors.New("the new target got no flows")
	}
	stoppedAt := time.Now()
	f.rec.log("the daemon of %s is stopped and started", added.name)
	if err := added.restartDaemon(); err != nil {
		return err
	}
	for _, m := range f.machines {
		if m.role != "balancer" || m.zoneIndex != added.zoneIndex {
			continue
		}
		time.Sleep(time.Until(stoppedAt.Add(restartGap)))
		stoppedAt = time.Now()
		f.rec.log("the daemon of %s is stopped and started", m.name)
		if err := m.restartDaemon(); err != nil {
			return err
		}
	}
	time.Sleep(calmTime)
	var wg sync.WaitGroup
	for _, flow := range flows {
		wg.Go(func() { flow.request("POST") })
	}
	wg.Wait()
	return nil
}

// spareMachine returns the machine that was not started with the others.
func (f *fleet) spareMachine() *machine {
	for _, m := range f.machines {
		if m.isSpare {
			return m
		}
	}
	return nil
}

// oldTarget returns the target that a release replaces by that of the spare machine.
func (f *fleet) oldTarget() *target { return f.sides("padron")[0].target }

// restartDaemon stops the daemon as in planned work and starts it again.
func (m *machine) restartDaemon() error {
	m.endDaemon(syscall.SIGTERM)
	time.Sleep(restartDelay)
	return m.startDaemon()
}

// openFlows opens flows to a service from a zone, on each of which a request is answered.
func (f *fleet) openFlows(zone int, service string, n int) ([]*clientFlow, error) {
	c, err := f.startClient(zone, 0)
	if err != nil {
		return nil, err
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var flows []*clientFlow
	for range n {
		wg.Go(func() {
			flow := c.newFlow(address(service))
			if !flow.openFlow() || flow.request("POST") != "200" {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			flows = append(flows, flow)
		})
		time.Sleep(5 * time.Millisecond)
	}
	wg.Wait()
	return flows, nil
}
