package main

import (
	"fmt"
	"slices"
	"syscall"
	"time"
)

// Figures of the case route-move.
const (
	movedFlows = 20
	// oldTargets and newTargets are the numbers of targets of the service that the route leaves
	// and of the one that it goes to.
	oldTargets, newTargets = 3, 11
	// rollStep machines are stopped at a time, with a pause of rollStepGap between the steps.
	rollStep    = 4
	rollStepGap = 2 * time.Second
	// secondRequestAfter is when the second requests are sent, after the start of the planned
	// work: both frontends and the side machines of the flows' targets have started again.
	secondRequestAfter = 4900 * time.Millisecond
	// reorderTime is how long the packets of a flow may reach other targets only.
	reorderTime = 2 * time.Second
	// minStrayPackets is the number of packets at other targets that breaks the rule.
	minStrayPackets = 3
	// moveTimeout is the time limit of the requests on the moved route.
	moveTimeout = 8 * time.Second
)

// playRouteMove opens flows on a route, then moves the route to another service, which
// leaves open flows where they are. With trouble, all machines are stopped and started in
// turn after that. The packets of the next request on each flow have to reach its target.
func playRouteMove(f *fleet, trouble bool) (breaches []string, err error) {
	const before, after = "recuento", "padron"
	fronts := []*machine{f.addMachine(1, ""), f.addMachine(1, "")}
	var sides []*machine
	for i := range oldTargets + newTargets {
		service := after
		if i < oldTargets {
			service = before
		}
		sides = append(sides, f.addMachine(1, service))
	}
	// The machines are stopped in this order, rollStep at a time.
	rolled := append([]*machine{fronts[0]}, sides[:oldTargets]...)
	rolled = append(append(rolled, fronts[1]), sides[oldTargets:]...)
	route := f.addRoute(before)
	f.addRoute(after)
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
	time.Sleep(stableWindow)
	c, err := f.startClient(1)
	if err != nil {
		return nil, err
	}
	holder := make(map[*clientFlow]*target)
	for i := range movedFlows {
		x := c.openFlow(route)
		if x == nil || x.request(fmt.Sprintf("first-%d", i+1), requestTimeout) != answered {
			return nil, fmt.Errorf("flow %d did not open", i+1)
		}
		for _, t := range targets {
			if t.holds(x.id) {
				holder[x] = t
			}
		}
	}
	f.routes[0].Service = after
	if err := f.putConfiguration(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	start := time.Now()
	if trouble {
		go f.roll(rolled, rollStep, rollStepGap)
	}
	time.Sleep(time.Until(start.Add(secondRequestAfter)))
	outcomes := make(chan outcome)
	for x := range holder {
		go func() { outcomes <- x.request(fmt.Sprintf("second-%d", x.id.client.port), moveTimeout) }()
	}
	count := make(map[outcome]int)
	for range holder {
		count[<-outcomes]++
	}
	f.add("outcomes of the second requests", "count", count)
	for x, own := range holder {
		if b := findStray(x.id, own, targets); b != "" {
			breaches = append(breaches, b)
		}
	}
	if len(breaches) > 0 {
		f.add("BROKEN", "what", fmt.Sprintf("outcomes of the %d requests: %v", movedFlows, count))
	}
	return breaches, nil
}

// roll stops and starts machines in turn, n at a time.
func (f *fleet) roll(machines []*machine, n int, gap time.Duration) {
	for group := range slices.Chunk(machines, n) {
		for _, m := range group {
			go func() {
				if err := m.restart(syscall.SIGTERM); err != nil {
					f.add("restart failed", "machine", m.name, "reason", err)
				}
			}()
		}
		time.Sleep(gap)
	}
}

// findStray reports whether the packets of a flow that its target holds reached only other
// targets for reorderTime.
func findStray(id flowID, own *target, targets []*target) (breach string) {
	if !own.holds(id) {
		return ""
	}
	type arrival struct {
		at time.Time
		t  *target
	}
	var all []arrival
	for _, t := range targets {
		t.mu.Lock()
		for _, at := range t.arrivals[id] {
			all = append(all, arrival{at, t})
		}
		t.mu.Unlock()
	}
	slices.SortFunc(all, func(a, b arrival) int { return a.at.Compare(b.at) })
	var stray []arrival
	for _, a := range all {
		if a.t == own {
			stray = nil
			continue
		}
		stray = append(stray, a)
		if d := a.at.Sub(stray[0].at); len(stray) >= minStrayPackets && d >= reorderTime {
			return fmt.Sprintf("FLOW: for %v, %d packets of %v reached other targets, the last one %s, and none its own target %s, which lives and holds the flow", d.Round(time.Millisecond), len(stray), id, a.t.id, own.id)
		}
	}
	return ""
}
