package main

import (
	"fmt"
	"syscall"
	"time"
)

// Figures of the case late-heartbeat.
const (
	flowsPerCase = 100
	// sceneTargets is the number of targets, as the larger service of the site file has.
	sceneTargets = 7
	// restartsAfter is how long a target is down before it starts again.
	restartsAfter = time.Second
)

// scene is a small deployment with two frontends and the targets of one service.
type scene struct {
	*fleet
	frontends, sides []*machine
	targets          []*target
	route            endpoint
	c                *client
}

func newScene(f *fleet) (*scene, error) {
	const service = "padron"
	s := &scene{
		fleet:     f,
		frontends: []*machine{f.addMachine(1, ""), f.addMachine(1, "")},
		sides:     f.addSides(service, sceneTargets),
		route:     f.addRoute(service),
	}
	if err := f.putConfiguration(); err != nil {
		return nil, err
	}
	if err := f.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(500 * time.Millisecond)
	for i, m := range s.sides {
		t, err := f.startTarget(m, fmt.Sprintf("i-%d", i+1), 0)
		if err != nil {
			return nil, err
		}
		s.targets = append(s.targets, t)
	}
	if err := f.awaitReady(); err != nil {
		return nil, err
	}
	c, err := f.startClient(1)
	s.c = c
	return s, err
}

// openFlows opens flows and returns those that a target holds.
func (s *scene) openFlows(n int, t *target) []*clientFlow {
	var out []*clientFlow
	for range n {
		x := s.c.openFlow(s.route)
		if x == nil {
			continue
		}
		x.request(fmt.Sprintf("first-%d", x.id.client.port), requestTimeout)
		if t.holds(x.id) {
			out = append(out, x)
		}
	}
	return out
}

// findResets lists the flows that a target holds and whose clients got a reset of the system.
func findResets(flows []*clientFlow, t *target) (breaches []string) {
	for _, x := range flows {
		if x.wasResetBySystem() && t.holds(x.id) {
			breaches = append(breaches, fmt.Sprintf("FLOW: the client of %v got a reset that its target %s, born %d, which lives and holds the flow, did not send", x.id, t.id, t.born))
		}
	}
	return breaches
}

// playLateHeartbeat crashes a target and starts another one on its machine. Later frontends
// and side machines are stopped and started in turn. With trouble, the last heartbeat of the
// target that crashed arrives after that.
func playLateHeartbeat(f *fleet, trouble bool) (breaches []string, err error) {
	s, err := newScene(f)
	if err != nil {
		return nil, err
	}
	first := s.targets[0]
	proxy, err := f.startHoldingProxy(first.m)
	if err != nil {
		return nil, err
	}
	defer proxy.release()
	time.Sleep(stableWindow)
	if trouble {
		first.callThrough(proxy.addr())
		go first.sendHeartbeat()
		time.Sleep(100 * time.Millisecond)
	}
	first.stop()
	time.Sleep(restartsAfter)
	second, err := f.startTarget(first.m, "i-1b", 0)
	if err != nil {
		return nil, err
	}
	time.Sleep(2 * stableWindow)
	flows := s.openFlows(flowsPerCase, second)
	if len(flows) == 0 {
		return nil, fmt.Errorf("no flow opened at the new target")
	}
	f.add("open flows", "target", second.id, "born", second.born, "flows", len(flows))
	second.awaitHeartbeat()
	rolled := []*machine{s.sides[0], s.sides[1], s.frontends[0], s.frontends[1]}
	for i, m := range rolled {
		go func() {
			if err := m.restart(syscall.SIGTERM); err != nil {
				f.add("restart failed", "machine", m.name, "reason", err)
			}
			if i == 0 {
				f.add("held calls arrive")
				proxy.release()
			}
		}()
		time.Sleep(rollGap)
	}
	time.Sleep(2500 * time.Millisecond)
	done := make(chan struct{})
	for i, x := range flows {
		go func() {
			x.request(fmt.Sprintf("second-%d", i+1), requestTimeout)
			done <- struct{}{}
		}()
	}
	for range flows {
		<-done
	}
	return findResets(flows, second), nil
}
