package fleet

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/jaytack/jaytack/client"
	"github.com/jaytack/jaytack/internal/customer/contract"
	"github.com/jaytack/jaytack/internal/process/settings"
	"github.com/jaytack/jaytack/internal/standin/caller"
	"github.com/jaytack/jaytack/internal/standin/upstream"
)

// TestPlannedStopCutsNothing checks promise P7: agents are replaced in turn while
// submissions run, and no submission ends as unknown.
func TestPlannedStopCutsNothing(t *testing.T) {
	f := newFleet(t, map[contract.ServiceName]int{"recuento": 3})
	callers := caller.New([]settings.Load{
		{Service: "recuento", Kind: "CountSubmission", Path: "/counts", Post: true, Bytes: 100, Flows: 30, Every: contract.Duration(20 * time.Millisecond), Address: f.Address("recuento")},
	}, f.TLS)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan caller.Report, 1)
	go func() { done <- callers.Run(ctx) }()
	time.Sleep(time.Second)
	for _, target := range f.TargetsOfService("recuento") {
		target.Agent.Drain()
		target.Agent.Close()
		qt.Assert(t, f.StartAgent(target), qt.IsNil)
		qt.Assert(t, f.AwaitReady(readyTimeout), qt.IsNil)
		time.Sleep(500 * time.Millisecond)
	}
	cancel()
	r := <-done
	t.Logf("%+v %v", r.Rows, r.Reasons)
	qt.Check(t, r.Rows[0].Unknown, qt.Equals, 0)
	qt.Check(t, r.Wrong(), qt.Equals, 0)
	f.checkRuns(t, r)
}

func (f *Fleet) checkRuns(t *testing.T, r caller.Report) {
	runs := f.Runs()
	for id, told := range r.Told {
		if n := runs[id]; n > 1 || told == client.NotRun && n > 0 || told == client.Answered && n != 1 {
			t.Errorf("submission %s was told %v and ran %d times", id, told, n)
		}
	}
}

// TestKeyOnlyCallers covers callers that send only an Idempotency-Key: retries on new
// flows, the home killed between two attempts, and a malformed key.
func TestKeyOnlyCallers(t *testing.T) {
	f := newFleet(t, map[contract.ServiceName]int{"recuento": 3})
	submit := func(key, id string) client.Answer {
		c := f.client("recuento")
		defer c.Close()
		a, _ := c.Do(context.Background(), http.MethodPost, "/counts", []byte("12 head"), http.Header{
			"Idempotency-Key": {key}, upstream.HeaderSubmission: {id},
		})
		return a
	}
	// Agents answer Unknown until they have learned which agent is the home.
	submitOnceHomeIsKnown := func(key, id string) client.Answer {
		deadline := time.Now().Add(readyTimeout)
		for {
			a := submit(key, id)
			if a.Reason != "NoHome" || time.Now().After(deadline) {
				return a
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	key := uuid.Must(uuid.NewV7()).String()
	first := submitOnceHomeIsKnown(key, "first")
	qt.Assert(t, first.Outcome, qt.Equals, client.Answered, qt.Commentf("%+v", first))
	for range 5 {
		again := submitOnceHomeIsKnown(key, "first")
		qt.Check(t, again.Outcome, qt.Equals, client.Answered, qt.Commentf("%+v", again))
		qt.Check(t, string(again.Body), qt.Equals, string(first.Body))
	}
	qt.Check(t, f.Runs()["first"], qt.Equals, 1)
	bad := submit("order-17", "bad")
	qt.Check(t, bad.Outcome, qt.Equals, client.NotRun)
	qt.Check(t, bad.Reason, qt.Equals, "KeyMustBeUUIDv7")
	f.killHome(t)
	lost := submit(key, "first")
	qt.Check(t, lost.Outcome, qt.Equals, client.Unknown, qt.Commentf("%+v", lost))
	qt.Check(t, f.Runs()["first"], qt.Equals, 1)
	qt.Check(t, f.Runs()["bad"], qt.Equals, 0)
}

// killHome closes the agent that decides on keys, without draining it.
func (f *Fleet) killHome(t *testing.T) {
	for _, target := range f.Targets {
		if target.Agent.IsKeyLeader() {
			target.Agent.Close()
			return
		}
	}
	t.Fatal("no agent is the home")
}

// TestTicketsAfterTheAgentIsGone retries a submission after the agent that decided on
// it was closed and replaced at the same address: the outcome must be Unknown, and the
// submission must not run again.
func TestTicketsAfterTheAgentIsGone(t *testing.T) {
	f := newFleet(t, map[contract.ServiceName]int{"recuento": 2})
	c := f.client("recuento")
	defer c.Close()
	tickets, err := c.Do(context.Background(), http.MethodPost, "/.well-known/jaytack/tickets", nil, nil)
	qt.Assert(t, err, qt.IsNil)
	ticket := string(tickets.Body)[2 : len(tickets.Body)-3]
	submit := func() client.Answer {
		fresh := f.client("recuento")
		defer fresh.Close()
		a, _ := fresh.Do(context.Background(), http.MethodPost, "/counts", nil, http.Header{
			"Jaytack-Ticket": {ticket}, upstream.HeaderSubmission: {"held"},
		})
		return a
	}
	first := submit()
	qt.Assert(t, first.Outcome, qt.Equals, client.Answered, qt.Commentf("%+v", first))
	again := submit()
	qt.Check(t, again.Outcome, qt.Equals, client.Answered)
	for _, target := range f.Targets {
		target.Agent.Close()
	}
	for _, target := range f.Targets {
		qt.Assert(t, f.StartAgent(target), qt.IsNil)
	}
	qt.Assert(t, f.AwaitReady(readyTimeout), qt.IsNil)
	after := submit()
	qt.Check(t, after.Outcome, qt.Equals, client.Unknown, qt.Commentf("%+v", after))
	qt.Check(t, f.Runs()["held"], qt.Equals, 1)
}

// TestOnlyIdempotentRequestsAreHedged makes upstreams answer some requests late: lookups
// are hedged, submissions never are.
func TestOnlyIdempotentRequestsAreHedged(t *testing.T) {
	f := newFleet(t, map[contract.ServiceName]int{"padron": 3, "recuento": 3})
	for _, target := range f.Targets {
		target.Upstream.SetFaults(upstream.Faults{LatePerMille: 30, LateMillis: 200})
	}
	callers := caller.New([]settings.Load{
		{Service: "padron", Kind: "PermitLookup", Path: "/permits/1", Flows: 20, Every: contract.Duration(20 * time.Millisecond), Address: f.Address("padron")},
		{Service: "recuento", Kind: "CountSubmission", Path: "/counts", Post: true, Flows: 20, Every: contract.Duration(20 * time.Millisecond), Address: f.Address("recuento")},
	}, f.TLS)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	r := callers.Run(ctx)
	hedges := make(map[contract.ServiceName]bool)
	for _, target := range f.Targets {
		if target.Metrics.Get("Hedges") != nil {
			hedges[target.Service] = true
		}
	}
	t.Logf("%+v", r.Rows)
	qt.Check(t, hedges["padron"], qt.IsTrue)
	qt.Check(t, hedges["recuento"], qt.IsFalse)
	qt.Check(t, r.Wrong(), qt.Equals, 0)
	qt.Check(t, r.Rows[0].Unknown, qt.Equals, 0)
	f.checkRuns(t, r)
}
