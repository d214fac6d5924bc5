package main

import (
	"errors"
	"fmt"
	"time"
)

// aheadStart plays the start of a target on a new machine, as in a release, while the clock of
// that machine is ahead. Its daemon is restarted as planned before the first heartbeat of the
// target. Later the balancer of the zone is restarted, and clients go on with flows that were
// opened before the restart of the daemon.
func aheadStart(f *fleet, trouble bool) error {
	aheadBy := 2400 * time.Millisecond
	if !trouble {
		aheadBy = 0
	}
	f.configure("padron")
	front := f.add("balancer", 2, 0, "")
	f.add("balancer", 0, 0, "")
	f.add("balancer", 1, 0, "")
	var agents []*node
	for zone := range 3 {
		for i := range 2 {
			agents = append(agents, f.add("agent", zone, i, "padron"))
		}
	}
	for _, n := range f.nodes {
		if err := f.start(n); err != nil {
			return err
		}
	}
	time.Sleep(300 * time.Millisecond)
	for _, n := range agents {
		t, err := startTarget(f.rec, n, "i-"+n.name, 0)
		if err != nil {
			return err
		}
		t.work = 80 * time.Millisecond
	}
	if err := f.waitReady(10 * time.Second); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	c, err := startClient(f.rec, f.network.Addr(220, 1), f.route("zone-2"))
	if err != nil {
		return err
	}
	// The usual targets are busy, so that new flows go to the new one.
	busyUntil := time.Now().Add(2500 * time.Millisecond)
	for range 60 {
		go func() {
			for time.Now().Before(busyUntil) {
				if fl := c.openFlow(f.serviceAddress(0)); fl != nil {
					for time.Now().Before(busyUntil) && fl.request() == "ok" {
						continue
					}
				}
			}
		}()
	}
	time.Sleep(700 * time.Millisecond)
	n := f.add("agent", 2, 20, "padron")
	if err := f.start(n); err != nil {
		return err
	}
	time.Sleep(300 * time.Millisecond)
	t, err := startTargetLater(f.rec, n, "i-new", aheadBy, 1180*time.Millisecond)
	if err != nil {
		return err
	}
	started := time.Now()
	flows, err := f.openAt(c, t, 48, started.Add(350*time.Millisecond))
	if err != nil {
		return err
	}
	time.Sleep(time.Until(started.Add(310 * time.Millisecond)))
	if err := f.restart(n); err != nil {
		return err
	}
	time.Sleep(time.Until(started.Add(4 * time.Second)))
	if err := f.restartInTurn([]*node{front}); err != nil {
		return err
	}
	time.Sleep(touchFor)
	f.rec.printf("outcomes: %v", requestAll(flows))
	for _, fl := range flows {
		if fl.resetCount() > 0 && fl.own.holds(fl.id) {
			f.rec.violate("FLOW", "the client got a reset of the system on flow %v, which is open at target %s", fl.id, fl.own.id)
		}
	}
	return nil
}

// openAt opens flows side by side until a time, and returns those that are open at a target. Each
// has an answered request.
func (f *fleet) openAt(c *client, t *target, n int, until time.Time) ([]openFlow, error) {
	opened := make(chan *clientFlow, n)
	for range n {
		go func() {
			fl := c.openFlow(f.serviceAddress(0))
			if fl != nil && fl.request() != "ok" {
				fl = nil
			}
			opened <- fl
		}()
	}
	var flows []openFlow
	for range n {
		select {
		case fl := <-opened:
			if fl != nil && t.holds(fl.id) {
				flows = append(flows, openFlow{fl, t})
			}
		case <-time.After(time.Until(until)):
		}
	}
	f.rec.printf("%d flows are open at %s", len(flows), t.id)
	if len(flows) == 0 {
		return nil, errors.New(fmt.Sprint("no flow at ", t.id))
	}
	return flows, nil
}
