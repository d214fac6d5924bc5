package main

import (
	"errors"
	"fmt"
	"time"
)

// lateLabel plays a target that crashes and starts again at once, as another incarnation, while
// a heartbeat of the crashed one is still under way. The agent is restarted as planned some
// seconds after that heartbeat has come.
func lateLabel(f *fleet, trouble bool) error {
	f.configure("svc")
	for zone := range 2 {
		if err := f.start(f.add("balancer", zone, 0, "")); err != nil {
			return err
		}
	}
	var agents []*node
	// One target of seven crashes, as many as the site allows at once.
	for zone, count := range []int{3, 2, 2} {
		for i := range count {
			n := f.add("agent", zone, i, "svc")
			agents = append(agents, n)
			if err := f.start(n); err != nil {
				return err
			}
		}
	}
	time.Sleep(time.Second)
	x := agents[0]
	first, err := startTarget(f.rec, x, "i-1", 0)
	if err != nil {
		return err
	}
	for i, n := range agents[1:] {
		if _, err := startTarget(f.rec, n, fmt.Sprintf("i-other-%d", i), 0); err != nil {
			return err
		}
	}
	c, err := startClient(f.rec, f.network.Addr(220, 1), f.route("zone-0"))
	if err != nil {
		return err
	}
	if err := f.waitReady(5 * time.Second); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	beats := first.acknowledged()
	for first.acknowledged() == beats {
		time.Sleep(2 * time.Millisecond)
	}
	last := first.lastAcknowledged()
	at := func(after time.Duration) { time.Sleep(time.Until(last.Add(after))) }

	// The next heartbeat is sent in time, and is held up.
	at(1150 * time.Millisecond)
	late := first.heartbeat()
	first.crash()
	at(1300 * time.Millisecond)
	second, err := startTargetLater(f.rec, x, "i-2", 0, 350*time.Millisecond)
	if err != nil {
		return err
	}
	const clients, flowsEach = 8, 6
	opened := make(chan *clientFlow, clients*flowsEach)
	for range clients {
		go func() {
			for range flowsEach {
				fl := c.openFlow(f.serviceAddress(0))
				if fl != nil && fl.request() != "ok" {
					fl = nil
				}
				opened <- fl
			}
		}()
	}
	var held []*clientFlow
	for range clients * flowsEach {
		if fl := <-opened; fl != nil && second.holds(fl.id) {
			held = append(held, fl)
		}
	}
	f.rec.printf("%d flows are open at the second target", len(held))
	if len(held) == 0 {
		return errors.New("no flow at the second target")
	}
	at(2700 * time.Millisecond)
	if trouble {
		ok := post(x.addr(portControl), names.HeartbeatPath+"i-1", late)
		f.rec.printf("late heartbeat of the crashed target i-1 arrives, acknowledged: %v", ok)
	}
	at(5200 * time.Millisecond)
	if err := f.restart(x); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	for _, fl := range held {
		if fl.resetCount() > 0 && second.holds(fl.id) {
			f.rec.violate("FLOW", "the client got a reset of the system on flow %v, which is open at target %s", fl.id, second.id)
		}
	}
	for _, fl := range held {
		fl.request()
	}
	return nil
}
