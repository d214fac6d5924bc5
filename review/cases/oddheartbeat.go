package main

import (
	"fmt"
	"sync"
	"time"
)

// playOddHeartbeat has clients use long flows while one agent gets a heartbeat of another writer,
// in which fields are missing.
func playOddHeartbeat(f *fleet, trouble bool) error {
	const flowsPerClient = 8
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for z := range 3 {
		c, err := f.startClient(z, 0)
		if err != nil {
			return err
		}
		for range flowsPerClient {
			wg.Go(func() { c.useLongFlows(address("padron"), 300*time.Millisecond, stop) })
		}
	}
	time.Sleep(8 * time.Second)
	var victim *machine
	for _, m := range f.sides("padron") {
		if victim == nil || m.target.openFlows() > victim.target.openFlows() {
			victim = m
		}
	}
	if victim.target.openFlows() == 0 {
		return fmt.Errorf("no target has open flows")
	}
	f.rec.log("target %s holds %d open flows", victim.target.id, victim.target.openFlows())
	if trouble {
		status := victim.postHeartbeat("i-other", heartbeat{Service: victim.service, State: "ready", Sequence: 1, Born: time.Now().UnixMilli()})
		f.rec.log("another writer sent a heartbeat without address, zone, version, capacity and remaining warm-up time to the agent of %s: status %d", victim.target.id, status)
	}
	time.Sleep(5 * time.Second)
	close(stop)
	wg.Wait()
	return nil
}

// useLongFlows sends requests on one flow after the other until stop is closed. It keeps a flow
// as long as its requests are answered.
func (c *client) useLongFlows(a endpoint, pause time.Duration, stop <-chan struct{}) {
	for {
		flow := c.newFlow(a)
		if !flow.openFlow() {
			c.fleet.rec.log("flow %v did not open", flow.id)
		}
		for flow.open {
			if outcome := flow.request("POST"); outcome != "200" {
				break
			}
			select {
			case <-stop:
				flow.close()
				return
			case <-time.After(pause):
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
	}
}
