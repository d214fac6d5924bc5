package main

import (
	"sync"
	"time"
)

// Pauses of clients on open flows, both shorter than the idle timeout and the lifetime of a flow.
const (
	longPause  = 65 * time.Second
	shortPause = 20 * time.Second
)

// playLongPause has clients send a request on each of their flows, pause, and send another one.
func playLongPause(f *fleet, trouble bool) error {
	const flowsPerClient = 6
	pause := shortPause
	if trouble {
		pause = longPause
	}
	var wg sync.WaitGroup
	for z := range 3 {
		c, err := f.startClient(z, 0)
		if err != nil {
			return err
		}
		for range flowsPerClient {
			wg.Go(func() {
				flow := c.newFlow(address("padron"))
				if !flow.openFlow() {
					f.rec.log("flow %v did not open", flow.id)
					return
				}
				if flow.request("POST") != "200" {
					return
				}
				time.Sleep(pause)
				flow.request("POST")
				flow.close()
			})
		}
	}
	wg.Wait()
	return nil
}
