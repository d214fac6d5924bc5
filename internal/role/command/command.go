// Package command implements the command line of jaytack.
//
// # Usage
//
//	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
//
// # Exit status
//
//	0  success
//	1  failure not listed below
//	2  invalid command line
//	3  invalid settings or contract
//	4  another operator changed the contract first, or the customer exists or is missing
//	5  it is unknown whether the write took effect
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

// streams holds the standard output and error of a command.
type streams struct {
	out, err io.Writer
}

// commandLine defines the commands and flags; kong fills it from the arguments.
type commandLine struct {
	Balancer balancerCmd `cmd:"" help:"Run a balancer."`
	Agent    agentCmd    `cmd:"" help:"Run the agent beside an upstream."`
	Contract contractCmd `cmd:"" help:"Create, change, retire and show contracts."`
	Status   statusCmd   `cmd:"" help:"Show balancers, agents and contracts in force."`
	Keys     keysCmd     `cmd:"" help:"Generate the system key and rotate the keyring."`
	Standin  standinCmd  `cmd:"" help:"Run a stand-in for the platform, an upstream or callers."`
	Demo     demoCmd     `cmd:"" help:"Run everything in one process for a few seconds."`
	Bench    benchCmd    `cmd:"" help:"Measure the decisions."`
	Explain  explainCmd  `cmd:"" help:"Trace a relayed flow through the logs and show why it ended."`
	Version  versionCmd  `cmd:"" help:"Print the version."`
}

type versionCmd struct{}

// Run prints the version.
func (versionCmd) Run(s *streams) error {
	_, err := fmt.Fprintln(s.out, Version)
	return err
}

// exitPanic unwinds kong's parser with an exit status, so that Run can return it.
type exitPanic int

// Run runs one command and returns its exit status.
func Run(args []string, out, errOut io.Writer) (status int) {
	defer func() {
		if e, ok := recover().(exitPanic); ok {
			status = int(e)
		}
	}()
	var cli commandLine
	p, err := kong.New(&cli, kong.Name("jaytack"),
		kong.Description("A layer-4 load balancer driven by one contract for each customer. The command check FILE checks a configuration of relayed flows; see jaytack check --help."),
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
		return exitStatus(err)
	}
	return ExitDone
}

func exitStatus(err error) int {
	var problems contract.Problems
	switch {
	case errors.As(err, &problems):
		return ExitProblems
	case errors.Is(err, settings.ErrRead):
		return ExitProblems
	case errors.Is(err, operator.ErrConflict), errors.Is(err, operator.ErrExists), errors.Is(err, operator.ErrNotFound):
		return ExitConflict
	case errors.Is(err, operator.ErrWriteUncertain):
		return ExitUndecided
	case errors.Is(err, operator.ErrStoreUnavailable), errors.Is(err, operator.ErrNoBalancer):
		return ExitUnreachable
	case errors.Is(err, operator.ErrNotInForce):
		return ExitNotInForce
	}
	return ExitFailed
}

// signalContext returns a context that is cancelled by SIGTERM or SIGINT.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

func newLogger(s *streams, c settings.Common) *eventlog.Logger {
	level, _ := eventlog.ParseLevel(c.LogLevel)
	return eventlog.New(s.err, level, c.DecisionLines)
}
