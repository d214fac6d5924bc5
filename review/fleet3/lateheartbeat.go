package main

import (
	"errors"
	"fmt"
	"time"
)

// lateHeartbeat plays an agent that is restarted as planned, where the first heartbeat that the
// next process gets is a late one of a target that has crashed. The clock was ahead when that
// target started.
func lateHeartbeat(f *fleet, trouble bool) error {
	aheadBy := 2400 * time.Millisecond
	if !trouble {
		aheadBy = 0
	}
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
	first, err := startTarget(f.rec, x, "i-1", aheadBy)
	if err != nil {
		return err
	}
	for i, n := range agents[1:] {
		if _, err := startTarget(f.rec, n, fmt.Sprintf("i-other-%d", i), 0); err != nil {
			return err
		}
	}
	time.Sleep(1400 * time.Millisecond)
	late := first.heartbeat()
	first.crash()
	time.Sleep(600 * time.Millisecond)
	second, err := startTarget(f.rec, x, "i-2", 0)
	if err != nil {
		return err
	}
	for end := time.Now().Add(8 * time.Second); second.acknowledged() < 2; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			return errors.New("the agent did not accept the second target")
		}
	}
	f.rec.printf("second target is registered, born %d ms before the first one", first.born-second.born)
	if err := f.waitReady(5 * time.Second); err != nil {
		return err
	}
	c, err := startClient(f.rec, f.network.Addr(220, 1), f.route("zone-0"))
	if err != nil {
		return err
	}
	var held []*clientFlow
	for range 48 {
		fl := c.openFlow(f.serviceAddress(0))
		if fl == nil {
			return errors.New("a flow did not open")
		}
		if fl.request() != "ok" {
			return errors.New("a request was not answered")
		}
		if second.holds(fl.id) {
			held = append(held, fl)
		}
	}
	f.rec.printf("%d flows are open at the second target", len(held))
	if len(held) == 0 {
		return errors.New("no flow at the second target")
	}
	time.Sleep(5500 * time.Millisecond)
	f.stop(x)
	time.Sleep(restartDelay)
	if err := f.start(x); err != nil {
		return err
	}
	if trouble {
		for end := time.Now().Add(time.Second); !post(x.addr(portControl), names.HeartbeatPath+"i-1", late); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				f.rec.printf("the late heartbeat was not acknowledged")
				break
			}
		}
		f.rec.printf("late heartbeat of the crashed target i-1 has arrived")
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
