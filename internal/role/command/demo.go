package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jaytack/jaytack/client"
	"github.com/jaytack/jaytack/examples"
	"github.com/jaytack/jaytack/internal/customer/contract"
	"github.com/jaytack/jaytack/internal/process/eventlog"
	"github.com/jaytack/jaytack/internal/process/settings"
	"github.com/jaytack/jaytack/internal/standin/caller"
	"github.com/jaytack/jaytack/internal/standin/fleet"
	"github.com/jaytack/jaytack/internal/standin/upstream"
)

// ErrPromise reports a demo in which a promise did not hold.
var ErrPromise = eris.New("a promise did not hold")

const (
	demoReady     = 20 * time.Second
	demoBalancers = 3
	demoLinger    = 1500 * time.Millisecond
	demoService   = 8 * time.Millisecond
)

type demoCmd struct {
	Path    string        `enum:"terminated,relay" default:"terminated" help:"terminated: agents end the callers' flows; relay: they relay them."`
	For     time.Duration `default:"6s" help:"How long callers run."`
	Seed    uint64        `default:"1" help:"The seed of the stand-ins."`
	Network uint8         `default:"20" help:"The second octet of the loopback addresses."`
	Log     string        `type:"path" help:"A file for the log of every role; nowhere if not given."`
}

// todaysTargets is the number of upstreams of each service today.
func todaysTargets() map[contract.ServiceName]int {
	return map[contract.ServiceName]int{"padron": 7, "recuento": 3, "vend-core": 7, "claim-intake": 3}
}

// demoLoads is one load for each kind of caller.
func demoLoads(f *fleet.Fleet) []settings.Load {
	every := contract.Duration(150 * time.Millisecond)
	return []settings.Load{
		{Service: "padron", Kind: "PermitLookup", Path: "/permits/7", Flows: 80, Every: every, Address: f.Address("padron")},
		{Service: "padron", Kind: "HerdFeed", Path: "/feed/herds", Flows: 60, Feed: true, Address: f.Address("padron")},
		{Service: "recuento", Kind: "CountSubmission", Path: "/counts", Flows: 40, Every: every, Post: true, Bytes: 200, Address: f.Address("recuento")},
		{Service: "vend-core", Kind: "StockFeed", Path: "/feed/stock", Flows: 60, Feed: true, Address: f.Address("vend-core")},
		{Service: "vend-core", Kind: "RestockOrder", Path: "/orders", Flows: 40, Every: every, Post: true, Bytes: 300, Address: f.Address("vend-core")},
		{Service: "claim-intake", Kind: "PhotoUpload", Path: "/photos", Flows: 20, Every: every, Post: true, Bytes: 100_000, Address: f.Address("claim-intake")},
	}
}

// Run runs the demo. It fails with ErrPromise where a promise did not hold.
func (c *demoCmd) Run(s *streams) error {
	if c.Path == "relay" {
		return c.runRelay(s)
	}
	logTo := io.Discard
	if c.Log != "" {
		file, err := os.Create(c.Log)
		if err != nil {
			return eris.Wrap(err, "log")
		}
		defer func() { _ = file.Close() }()
		logTo = file
	}
	contracts, err := examples.Contracts()
	if err != nil {
		return err
	}
	f, err := fleet.New(fleet.Config{
		Network: c.Network, Balancers: demoBalancers, Contracts: contracts, Targets: todaysTargets(),
		ServiceTime: demoService, Linger: demoLinger, Seed: c.Seed,
	}, eventlog.New(logTo, eventlog.Info, 100))
	if err != nil {
		return err
	}
	defer f.Close()
	say(s, "starting %d balancers and %d targets", demoBalancers, len(f.Targets))
	if err := f.AwaitReady(demoReady); err != nil {
		return err
	}
	return c.run(s, f)
}

func say(s *streams, format string, args ...any) {
	_, _ = fmt.Fprintf(s.out, format+"\n", args...)
}

func (c *demoCmd) run(s *streams, f *fleet.Fleet) error {
	ctx, cancel := interrupted()
	defer cancel()
	ctx, stop := context.WithTimeout(ctx, c.For)
	defer stop()
	callers := caller.New(demoLoads(f), f.TLS)
	done := make(chan caller.Report, 1)
	go func() { done <- callers.Run(ctx) }()
	say(s, "callers run for %v", c.For)
	changed := make(chan error, 1)
	go func() { changed <- c.planned(ctx, s, f) }()
	report := <-done
	if err := <-changed; err != nil {
		return err
	}
	printReport(s.out, report)
	return c.check(s, f, report)
}

// planned replaces a balancer, drains an upstream, changes a contract and adds a target.
func (c *demoCmd) planned(ctx context.Context, s *streams, f *fleet.Fleet) error {
	pause := func() { sleepFor(ctx, c.For/6) }
	pause()
	say(s, "replacing balancer %v", f.Balancers[0].Self().Address)
	if _, err := f.AddBalancer(); err != nil {
		return err
	}
	f.RemoveBalancer(f.Balancers[0], true)
	t := f.TargetsOfService("padron")[0]
	say(s, "draining the upstream beside agent %v", t.Agent.Self().Address)
	t.Upstream.SetFaults(upstream.Faults{Draining: true})
	pause()
	v := f.Contract("Registro")
	v.Limits.RequestsPerSecond *= 2
	e, err := f.Operator.Change(context.Background(), v, 0)
	if err != nil {
		return err
	}
	say(s, "changed the contract of %s: revision %d", e.Customer, e.Revision)
	if _, err := f.AddTarget(f.Contract("Qasr-Soft"), "vend-core"); err != nil {
		return err
	}
	say(s, "added a target to vend-core")
	return nil
}

func sleepFor(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func printReport(w io.Writer, r caller.Report) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "Service\tKind\tSent\tAnswered\tNotRun\tUnknown\tWrong\tBroken\tP50Millis\tP99Millis\t")
	for _, v := range r.Rows {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n",
			v.Service, v.Kind, v.Sent, v.Answered, v.NotRun, v.Unknown, v.Wrong, v.Broken, v.P50Millis, v.P99Millis)
	}
	_ = t.Flush()
}

// check holds what callers were told against what ran.
func (c *demoCmd) check(s *streams, f *fleet.Fleet, r caller.Report) error {
	runs := f.Runs()
	doubled, falseNotRun, falseAnswered := 0, 0, 0
	for id, told := range r.Told {
		n := runs[id]
		if n > 1 {
			doubled++
		}
		if told == client.NotRun && n > 0 {
			falseNotRun++
		}
		if told == client.Answered && n != 1 {
			falseAnswered++
		}
	}
	spread := f.Fabric.Spread()
	say(s, "Submissions=%d Doubled=%d FalseNotRun=%d FalseAnswered=%d WrongAnswers=%d BrokenFlows=%d",
		len(r.Told), doubled, falseNotRun, falseAnswered, r.Wrong(), r.Broken())
	say(s, "Flows=%d FlowsOverSeveralBalancers=%d Datagrams=%d", spread.Flows, spread.Shared, spread.Datagrams)
	if doubled+falseNotRun+falseAnswered+r.Wrong()+r.Broken() > 0 || !r.MostlyAnswered() {
		return ErrPromise
	}
	say(s, "all promises held")
	return nil
}
