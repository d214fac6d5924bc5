package main

import (
	"errors"
	"slices"
	"time"
)

// openFlow is a flow of a client and the target that holds it.
type openFlow struct {
	*clientFlow
	own *target
}

// goneHome plays planned work only: a route moves to another service, the daemons are restarted
// in turn, and a target of the first service is replaced while the balancer of its zone is restarted. Clients then go on with the flows that
// are open at the other targets of the first service.
func goneHome(f *fleet, trouble bool) error {
	f.configure("recuento")
	var balancers, padron, recuento []*node
	for zone, n := range []int{3, 2, 1} {
		for i := range n {
			balancers = append(balancers, f.add("balancer", zone, i, ""))
		}
	}
	for zone, n := range []int{3, 2, 2} {
		for i := range n {
			padron = append(padron, f.add("agent", zone, i, "padron"))
		}
		recuento = append(recuento, f.add("agent", zone, 10, "recuento"))
	}
	targets := make(map[*node]*target)
	for _, n := range f.nodes {
		if err := f.start(n); err != nil {
			return err
		}
	}
	time.Sleep(300 * time.Millisecond)
	for _, n := range slices.Concat(padron, recuento) {
		t, err := startTarget(f.rec, n, "i-"+n.name, 0)
		if err != nil {
			return err
		}
		targets[n] = t
	}
	if err := f.waitReady(10 * time.Second); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	leaving, reader, front := recuento[2], padron[5], balancers[5]
	flows, err := f.openFlows(80, 1, targets, leaving)
	if err != nil {
		return err
	}
	f.configure("padron")
	time.Sleep(time.Second)
	if err := f.restartInTurn(slices.Concat(padron, recuento)); err != nil {
		return err
	}
	// Meanwhile the interval at which the list of peers is read has grown to its largest value.
	time.Sleep(12 * time.Second)
	before := reader.lastRead()
	for end := time.Now().Add(12 * time.Second); reader.lastRead().Equal(before) && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
	f.rec.printf("%s has read the list of its peers", reader.name)
	f.rec.printf("outcomes before: %v", requestAll(flows))
	restarted := make(chan error, 1)
	go func() { restarted <- f.restartInTurn([]*node{front}) }()
	if trouble {
		if err := f.replace(leaving, targets[leaving]); err != nil {
			return err
		}
	}
	if err := <-restarted; err != nil {
		return err
	}
	start := time.Now()
	f.rec.printf("outcomes after: %v", requestAll(flows))
	f.checkFlows(flows, start)
	return nil
}

// requestAll sends a request on each flow and counts the outcomes.
func requestAll(flows []openFlow) map[string]int {
	outcomes := make(chan string, len(flows))
	for _, fl := range flows {
		go func() { outcomes <- fl.request() }()
	}
	count := make(map[string]int)
	for range flows {
		count[<-outcomes]++
	}
	return count
}

// openFlows opens flows from zone-2, several at a time, and returns those that are open at targets
// other than that of one machine. Each has an answered request.
func (f *fleet) openFlows(n, parallel int, targets map[*node]*target, except *node) ([]openFlow, error) {
	c, err := startClient(f.rec, f.network.Addr(220, 1), f.route("zone-2"))
	if err != nil {
		return nil, err
	}
	opened := make(chan *clientFlow, n)
	for range parallel {
		go func() {
			for range n / parallel {
				fl := c.openFlow(f.serviceAddress(0))
				if fl != nil && fl.request() != "ok" {
					fl = nil
				}
				opened <- fl
			}
		}()
	}
	var flows []openFlow
	for range n / parallel * parallel {
		fl := <-opened
		if fl == nil {
			return nil, errors.New("a flow did not open")
		}
		for n, t := range targets {
			if t.holds(fl.id) && n != except {
				flows = append(flows, openFlow{fl, t})
			}
		}
	}
	f.rec.printf("%d flows are open at targets that stay", len(flows))
	if len(flows) == 0 {
		return nil, errors.New("no flow at a target that stays")
	}
	return flows, nil
}

// restartInTurn restarts machines one after the other, and waits until all balancers are ready.
func (f *fleet) restartInTurn(nodes []*node) error {
	const gap = 1200 * time.Millisecond
	for _, n := range nodes {
		next := time.Now().Add(gap)
		if err := f.restart(n); err != nil {
			return err
		}
		time.Sleep(time.Until(next))
	}
	return f.waitReady(10 * time.Second)
}

// replace replaces a target: the new one starts first, on a machine of its own, then the old one
// drains and leaves, and its daemon gets SIGTERM.
func (f *fleet) replace(old *node, t *target) error {
	n := f.add("agent", 2, 20, old.service)
	if err := f.start(n); err != nil {
		return err
	}
	if _, err := startTarget(f.rec, n, "i-"+n.name, 0); err != nil {
		return err
	}
	if !t.drain(3 * time.Second) {
		return errors.New("draining was not acknowledged")
	}
	f.stop(old)
	return nil
}

// checkFlows checks FLOW for the packets sent in the 2 s after start.
func (f *fleet) checkFlows(flows []openFlow, start time.Time) {
	const window = 2 * time.Second
	for _, fl := range flows {
		atOthers, atOwn := f.rec.astray(fl.id, fl.own.id, start, start.Add(window))
		if atOthers >= 3 && atOwn == 0 && fl.own.holds(fl.id) {
			f.rec.violate("FLOW", "for %v %d packets of flow %v, which is open at target %s, reached other targets and none its own", window, atOthers, fl.id, fl.own.id)
		}
		if fl.resetCount() > 0 && fl.own.holds(fl.id) {
			f.rec.violate("FLOW", "the client got a reset of the system on flow %v, which is open at target %s", fl.id, fl.own.id)
		}
	}
}
