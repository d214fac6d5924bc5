package main

import (
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jaytack/jaytack/internal/relay/message"
)

// oddService plays an entry of the store that another writer has left, in place of that of a
// running agent: it names a service that does not exist. The balancer and another agent of the
// same zone are then restarted as planned, and clients go on with flows that are open beside the
// first agent.
func oddService(f *fleet, trouble bool) error {
	f.configure("recuento")
	var agents []*node
	front := f.add("balancer", 2, 0, "")
	f.add("balancer", 0, 0, "")
	f.add("balancer", 1, 0, "")
	for zone := range 3 {
		agents = append(agents, f.add("agent", zone, 0, "recuento"))
	}
	for _, n := range f.nodes {
		if err := f.start(n); err != nil {
			return err
		}
	}
	time.Sleep(300 * time.Millisecond)
	targets := make(map[*node]*target)
	for _, n := range agents {
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
	overwritten, home := agents[0], agents[2]
	all, err := f.openFlows(240, 8, targets, home)
	if err != nil {
		return err
	}
	var flows []openFlow
	for _, fl := range all {
		if fl.own == targets[overwritten] {
			flows = append(flows, fl)
		}
	}
	f.rec.printf("%d of them are open at %s", len(flows), targets[overwritten].id)
	if len(flows) == 0 {
		return errors.New("no flow there")
	}
	if trouble {
		f.store.Update("jaytack/relay/"+overwritten.ip.String(), func(value []byte) []byte {
			rec := &message.Record{}
			if err := proto.Unmarshal(value, rec); err != nil {
				f.rec.printf("entry: %v", err)
				return value
			}
			rec.Service = "no-such-service"
			odd, err := proto.Marshal(rec)
			if err != nil {
				return value
			}
			return odd
		})
		f.rec.printf("another writer has changed the service in the entry of %s", overwritten.name)
	}
	if err := f.restartInTurn([]*node{front}); err != nil {
		return err
	}
	time.Sleep(time.Second)
	const (
		rounds = 4
		gap    = 1300 * time.Millisecond
	)
	for round := range rounds {
		next := time.Now().Add(gap)
		if err := f.restart(home); err != nil {
			return err
		}
		// The balancers know of the new process within the first 50 ms or so.
		time.Sleep(60 * time.Millisecond)
		part := flows[len(flows)*round/rounds : len(flows)*(round+1)/rounds]
		outcomes := make(chan string, len(part))
		for i, fl := range part {
			go func() {
				time.Sleep(time.Duration(i) * 200 * time.Millisecond / time.Duration(len(part)))
				outcomes <- fl.request()
			}()
		}
		count := make(map[string]int)
		for range part {
			count[<-outcomes]++
		}
		f.rec.printf("outcomes after restart %d: %v", round+1, count)
		time.Sleep(time.Until(next))
	}
	for _, fl := range flows {
		if fl.resetCount() > 0 && fl.own.holds(fl.id) {
			f.rec.violate("FLOW", "the client got a reset of the system on flow %v, which is open at target %s", fl.id, fl.own.id)
		}
	}
	return nil
}
