// Package command is the command line of jaytack.
//
// # Usage
//
//	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
//
// # Exit status
//
//	0  done
//	1  failed
//	2  wrong use of the command line
//	3  settings or contract with problems
//	4  another operator was first, or the customer exists or is missing
//	5  the store did not say whether the write took effect
//	6  the store or the balancers cannot be reached
//	7  accepted, but not yet confirmed by every balancer
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/jaytack/jaytack/internal/customer/contract"
	"github.com/jaytack/jaytack/internal/process/eventlog"
	"github.com/jaytack/jaytack/internal/process/settings"
	"github.com/jaytack/jaytack/internal/role/operator"
)

// Exit statuses.
const (
	ExitDone = iota
	ExitFailed
	ExitUsage
	ExitProblems
	ExitConflict
	ExitUndecided
	ExitUnreachable
	ExitNotInForce
)

// Version is the version of the program.
const Version = "0.1.0"

// streams is where a command reads and writes.
type streams struct {
	out, err io.Writer
}

// commandLine is everything that can be asked of the program.
type commandLine struct {
	Balancer balancerCmd `cmd:"" help:"Run a balancer."`
	Agent    agentCmd    `cmd:"" help:"Run the agent beside an upstream."`
	Contract contractCmd `cmd:"" help:"Create, change, retire and look at contracts."`
	Status   statusCmd   `cmd:"" help:"Show balancers, agents and contracts in force."`
	Keys     keysCmd     `cmd:"" help:"Make the system's key and rotate the keyring."`
	Standin  standinCmd  `cmd:"" help:"Run a stand-in for the platform, an upstream or callers."`
	Demo     demoCmd     `cmd:"" help:"Run everything in one process for a few seconds."`
	Bench    benchCmd    `cmd:"" help:"Measure the decisions."`
	Explain  explainCmd  `cmd:"" help:"Find in the logs what became of a relayed flow, and why."`
	Version  versionCmd  `cmd:"" help:"Print the version."`
}

type versionCmd struct{}

// Run prints the version.
func (versionCmd) Run(s *streams) error {
	_, err := fmt.Fprintln(s.out, Version)
	return err
}

// exitPanic carries kong's wish to exit out of its parser.
type exitPanic int

// Run runs one command and returns its exit status.
func Run(args []string, out, errOut io.Writer) (status int) {
	defer func() {
		if e, ok := recover().(exitPanic); ok {
			status = int(e)
		}
	}()
	var line commandLine
	p, err := kong.New(&line, kong.Name("jaytack"),
		kong.Description("A layer-4 load balancer driven by one contract for each customer."),
		kong.Writers(out, errOut), kong.Exit(func(code int) { panic(exitPanic(code)) }), kong.UsageOnError())
	if err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return ExitFailed
	}
	ctx, err := p.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "jaytack: %v\nTry jaytack --help.\n", err)
		return ExitUsage
	}
	if err := ctx.Run(&streams{out, errOut}); err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return statusOf(err)
	}
	return ExitDone
}

func statusOf(err error) int {
	var problems contract.Problems
	switch {
	case errors.As(err, &problems):
		return ExitProblems
	case errors.Is(err, settings.ErrRead):
		return ExitProblems
	case errors.Is(err, operator.ErrConflict), errors.Is(err, operator.ErrExists), errors.Is(err, operator.ErrMissing):
		return ExitConflict
	case errors.Is(err, operator.ErrUndecided):
		return ExitUndecided
	case errors.Is(err, operator.ErrStore), errors.Is(err, operator.ErrNoBalancer):
		return ExitUnreachable
	case errors.Is(err, operator.ErrNotInForce):
		return ExitNotInForce
	}
	return ExitFailed
}

// interrupted returns a context that ends with SIGTERM or SIGINT.
func interrupted() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

func newJournal(s *streams, c settings.Common) *eventlog.Logger {
	level, _ := eventlog.ParseLevel(c.LogLevel)
	return eventlog.New(s.err, level, c.DecisionLines)
}
