package main

import (
	"errors"
	"sync"
	"time"
)

// relayPrefix is the prefix of the daemons' own keys in the store.
const relayPrefix = "jaytack/relay/"

// playMissingEntries moves a route to another service while flows of its address are open, has
// the store turn the machines of the former service away and take their keys, and restarts a
// daemon of the new service and the front of its zone meanwhile. The clients use their flows
// again some seconds after all is calm.
func playMissingEntries(f *fleet, trouble bool) error {
	flows, err := f.openFlows(0, "recuento", 40)
	if err != nil {
		return err
	}
	if len(flows) == 0 {
		return errors.New("no flow opened")
	}
	f.rec.log("version 2 routes the address of recuento to padron; %d flows are open", len(flows))
	f.publish(2, map[string]string{"recuento": "padron"})
	time.Sleep(500 * time.Millisecond)
	if trouble {
		f.rec.log("the store turns the machines of recuento away and takes their keys")
		for _, m := range f.sides("recuento") {
			m.turnedAway.Store(true)
			f.store.Delete(relayPrefix + m.ip.String())
		}
	}
	start := time.Now()
	restarted := f.sides("padron")[0]
	f.rec.log("the daemon of %s is stopped and started", restarted.name)
	if err := restarted.restartDaemon(); err != nil {
		return err
	}
	time.Sleep(time.Until(start.Add(restartGap)))
	for _, m := range f.machines {
		if m.role == "balancer" && m.zoneIndex == restarted.zoneIndex {
			f.rec.log("the daemon of %s is stopped and started", m.name)
			if err := m.restartDaemon(); err != nil {
				return err
			}
		}
	}
	time.Sleep(time.Until(start.Add(6200 * time.Millisecond)))
	f.rec.log("the store serves all machines")
	for _, m := range f.sides("recuento") {
		m.turnedAway.Store(false)
	}
	time.Sleep(calmTime)
	f.rec.log("keys in the store: %v", f.store.Keys())
	var wg sync.WaitGroup
	for _, flow := range flows {
		wg.Go(func() { flow.request("POST") })
	}
	wg.Wait()
	return nil
}
