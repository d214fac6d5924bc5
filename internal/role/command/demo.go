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
	"github.com/jaytack/jaytack/internal/standin/loopback"
	"github.com/jaytack/jaytack/internal/standin/upstream"
)

// ErrPromiseBroken reports that a promise did not hold during the demo.
var ErrPromiseBroken = eris.New("a promise did not hold")

const (
	demoReadyTimeout = 20 * time.Second
	demoBalancers    = 3
	demoLinger       = 1500 * time.Millisecond
	demoServiceTime  = 8 * time.Millisecond
)

type demoCmd struct {
	Path    string        `enum:"terminated,relay" default:"terminated" help:"terminated: agents terminate the callers' flows; relay: agents relay them to the upstream."`
	For     time.Duration `default:"6s" help:"The time for which callers send requests."`
	Seed    uint64        `default:"1" help:"The seed of the stand-ins."`
	Network uint8         `default:"20" help:"The second octet of the loopback addresses."`
	Log     string        `type:"path" help:"A file for the logs of all roles; logs are discarded if not given."`
}

// demoTargets returns the number of upstreams of each service, as deployed by the
// customers today.
func demoTargets() map[contract.ServiceName]int {
	return map[contract.ServiceName]int{"padron": 7, "recuento": 3, "vend-core": 7, "claim-intake": 3}
}

// demoLoads returns one load for each kind of request.
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

// Run runs the demo. It returns ErrPromiseBroken if a promise did not hold.
func (c *demoCmd) Run(s *streams) error {
	if c.Path == "relay" {
		return c.runRelay(s)
	}
	logWriter := io.Discard
	if c.Log != "" {
		file, err := os.Create(c.Log)
		if err != nil {
			return eris.Wrap(err, "log")
		}
		defer func() { _ = file.Close() }()
		logWriter = file
	}
	contracts, err := examples.Contracts()
	if err != nil {
		return err
	}
	f, err := fleet.New(fleet.Config{
		Network: loopback.Network(c.Network), Balancers: demoBalancers, Contracts: contracts, Targets: demoTargets(),
		ServiceTime: demoServiceTime, Linger: demoLinger, Seed: c.Seed,
	}, eventlog.New(logWriter, eventlog.Info, 100))
	if err != nil {
		return err
	}
	defer f.Close()
	printLine(s, "starting %d balancers and %d targets", demoBalancers, len(f.Targets))
	if err := f.AwaitReady(demoReadyTimeout); err != nil {
		return err
	}
	return c.runTerminated(s, f)
}

func printLine(s *streams, format string, args ...any) {
	_, _ = fmt.Fprintf(s.out, format+"\n", args...)
}

func (c *demoCmd) runTerminated(s *streams, f *fleet.Fleet) error {
	ctx, cancel := signalContext()
	defer cancel()
	ctx, stop := context.WithTimeout(ctx, c.For)
	defer stop()
	callers := caller.New(demoLoads(f), f.TLS)
	done := make(chan caller.Report, 1)
	go func() { done <- callers.Run(ctx) }()
	printLine(s, "callers run for %v", c.For)
	changesDone := make(chan error, 1)
	go func() { changesDone <- c.applyPlannedChanges(ctx, s, f) }()
	report := <-done
	if err := <-changesDone; err != nil {
		return err
	}
	printReport(s.out, report)
	return c.checkReport(s, f, report)
}

// applyPlannedChanges replaces a balancer, drains an upstream, changes a contract
// and adds a target.
func (c *demoCmd) applyPlannedChanges(ctx context.Context, s *streams, f *fleet.Fleet) error {
	pause := func() { sleepContext(ctx, c.For/6) }
	pause()
	printLine(s, "replacing balancer %v", f.Balancers[0].Self().Address)
	if _, err := f.AddBalancer(); err != nil {
		return err
	}
	f.RemoveBalancer(f.Balancers[0], true)
	t := f.TargetsOfService("padron")[0]
	printLine(s, "draining the upstream beside agent %v", t.Agent.Self().Address)
	t.Upstream.SetFaults(upstream.Faults{Draining: true})
	pause()
	v := f.Contract("Registro")
	v.Limits.RequestsPerSecond *= 2
	e, err := f.Operator.Change(context.Background(), v, 0)
	if err != nil {
		return err
	}
	printLine(s, "changed the contract of %s: revision %d", e.Customer, e.Revision)
	if _, err := f.AddTarget(f.Contract("Qasr-Soft"), "vend-core"); err != nil {
		return err
	}
	printLine(s, "added a target to vend-core")
	return nil
}

func sleepContext(ctx context.Context, d time.Duration) {
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

// checkReport compares the outcomes reported to callers with the runs that upstreams
// recorded.
func (c *demoCmd) checkReport(s *streams, f *fleet.Fleet, r caller.Report) error {
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
	printLine(s, "Submissions=%d Doubled=%d FalseNotRun=%d FalseAnswered=%d WrongAnswers=%d BrokenFlows=%d",
		len(r.Told), doubled, falseNotRun, falseAnswered, r.Wrong(), r.Broken())
	printLine(s, "Flows=%d FlowsOverSeveralBalancers=%d Datagrams=%d", spread.Flows, spread.Shared, spread.Datagrams)
	if doubled+falseNotRun+falseAnswered+r.Wrong()+r.Broken() > 0 || !r.MostlyAnswered() {
		return ErrPromiseBroken
	}
	printLine(s, "all promises held")
	return nil
}
