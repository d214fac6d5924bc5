package main

import (
	"errors"
	"sync"
	"time"
)

// maxClockStep is the largest step of the time of day that the site file names.
const maxClockStep = 2400 * time.Millisecond

// playHeldHeartbeat replaces a target by one on a new side machine, which starts while the time of
// day is ahead and crashes. Another one starts after the time of day has jumped back. The first heartbeat of the
// crashed target is held up, and arrives while the other one serves.
func playHeldHeartbeat(f *fleet, trouble bool) error {
	m := f.spareMachine()
	if err := m.startDaemon(); err != nil {
		return err
	}
	time.Sleep(300 * time.Millisecond)
	crashed, err := f.newTarget(m, "i-crashed", maxClockStep)
	if err != nil {
		return err
	}
	f.rec.log("it started while the time of day was %v ahead; its heartbeats are held up", maxClockStep)
	crashed.heartbeatsHeld = true
	late := crashed.newHeartbeat()
	crashed.run()
	if err := f.oldTarget().drainAndLeave(); err != nil {
		return err
	}
	time.Sleep(time.Second)
	f.rec.log("target %s crashes, and the time of day jumps back", crashed.id)
	crashed.stop()
	time.Sleep(500 * time.Millisecond)
	last, err := f.startTarget(m, "i-last", 0)
	if err != nil {
		return err
	}
	// Homes learn of the new machine.
	time.Sleep(3 * time.Second)
	flows, err := f.openFlows(m.zoneIndex, "padron", 40)
	if err != nil {
		return err
	}
	if last.openFlows() == 0 {
		return errors.New("the last target got no flows")
	}
	time.Sleep(calmTime)
	f.rec.log("target %s holds %d open flows", last.id, last.openFlows())
	if trouble {
		status := m.postHeartbeat(crashed.id, late)
		f.rec.log("the held heartbeat of %s arrives: status %d", crashed.id, status)
	}
	time.Sleep(100 * time.Millisecond)
	var wg sync.WaitGroup
	for _, flow := range flows {
		wg.Go(func() { flow.request("POST") })
	}
	wg.Wait()
	return nil
}
