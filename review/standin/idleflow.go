package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// Figures of the case idle-flow.
const (
	idleFlows = 40
	// rollGap is the pause between the planned restarts.
	rollGap = 1300 * time.Millisecond
	// firstRequestAfter is when the clients send the first request on their open flows: later
	// than the planned restarts, well before the flows may be discarded.
	firstRequestAfter = 9 * time.Second
	requestTimeout    = 3 * time.Second
)

// playIdleFlow opens flows and sends the first request on them after some seconds. With
// trouble, the frontends and one side machine are stopped and started in turn meanwhile.
// No client may get a reset of the system while the target of its flow lives and holds it.
func playIdleFlow(f *fleet, trouble bool) (breaches []string, err error) {
	const service = "padron"
	frontends := []*machine{f.addMachine(1, ""), f.addMachine(1, "")}
	sides := []*machine{f.addMachine(1, service), f.addMachine(1, service), f.addMachine(1, service)}
	route := f.addRoute(service)
	if err := f.putConfiguration(); err != nil {
		return nil, err
	}
	if err := f.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(500 * time.Millisecond)
	var targets []*target
	for i, m := range sides {
		t, err := f.startTarget(m, fmt.Sprintf("i-%d", i+1), 0)
		if err != nil {
			return nil, err
		}
		targets = append(targets, t)
	}
	if err := f.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(stableWindow + time.Second)
	c, err := f.startClient(1)
	if err != nil {
		return nil, err
	}
	opened := time.Now()
	var flows []*clientFlow
	for range idleFlows {
		if x := c.openFlow(route); x != nil {
			flows = append(flows, x)
		}
	}
	time.Sleep(200 * time.Millisecond)
	holder := make(map[*clientFlow]*target)
	for _, x := range flows {
		for _, t := range targets {
			if t.holds(x.id) {
				holder[x] = t
			}
		}
	}
	if len(holder) < idleFlows {
		return nil, fmt.Errorf("only %d of %d flows opened", len(holder), idleFlows)
	}
	if trouble {
		for _, m := range []*machine{frontends[0], frontends[1], sides[0]} {
			go func() {
				if err := m.restart(syscall.SIGTERM); err != nil {
					f.add("restart failed", "machine", m.name, "reason", err)
				}
			}()
			time.Sleep(rollGap)
		}
	}
	time.Sleep(time.Until(opened.Add(firstRequestAfter)))
	var wg sync.WaitGroup
	var mu sync.Mutex
	for i, x := range flows {
		wg.Add(1)
		go func() {
			defer wg.Done()
			result := x.request(fmt.Sprintf("q-%d", i+1), requestTimeout)
			t := holder[x]
			mu.Lock()
			defer mu.Unlock()
			if x.wasResetBySystem() && t.holds(x.id) {
				breaches = append(breaches, fmt.Sprintf("FLOW: the client of %v got a reset that its target %s, which lives and holds the flow, did not send; its request ended with %q", x.id, t.id, result))
			}
		}()
	}
	wg.Wait()
	return breaches, nil
}
