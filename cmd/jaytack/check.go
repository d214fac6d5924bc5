package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kong"

	"github.com/jaytack/jaytack/internal/relay/validation"
	"github.com/jaytack/jaytack/platform"
)

// Exit statuses of the command check.
const (
	exitDone     = 0
	exitFailed   = 1
	exitUsage    = 2
	exitProblems = 3
)

// checkName is the name of the command. It has a command line of its own beside those of package
// command, whose programs do not know the platform's format.
const checkName = "check"

// checkCommand checks a configuration before it is sent to the store.
type checkCommand struct {
	File         string        `arg:"" type:"path" help:"Path of the configuration."`
	InForce      string        `type:"path" help:"Path of the configuration in force; differences from it are listed."`
	FlowLifetime time.Duration `default:"60s" help:"How long a flow may stay open, as in the settings."`
	Output       string        `enum:"text,json" default:"text" help:"Format of the findings: ${enum}."`
}

// finding is a finding as it is printed.
type finding struct {
	Severity validation.Severity
	Kind     validation.EntryKind
	Name     string
	Field    string
	Message  string
}

// String formats a finding as one line.
func (f finding) String() string {
	parts := []string{strings.ToLower(string(f.Severity)) + ":", strings.ToLower(string(f.Kind))}
	for _, name := range []string{f.Name, f.Field} {
		if name != "" {
			parts = append(parts, quoted(name))
		}
	}
	return strings.Join(parts, " ") + ": " + f.Message
}

// quoted quotes a name that would not stand as one word in a line.
func quoted(name string) string {
	if q := strconv.Quote(name); len(q) != len(name)+2 || strings.ContainsAny(name, " :") {
		return q
	}
	return name
}

// exitPanic ends the parsing of a command line with an exit status.
type exitPanic int

// check runs the command with its arguments and returns the exit status.
func check(args []string, out, errOut io.Writer) (status int) {
	defer func() {
		if r := recover(); r != nil {
			code, ok := r.(exitPanic)
			if !ok {
				panic(r)
			}
			status = int(code)
		}
	}()
	var c checkCommand
	parser := kong.Must(&c, kong.Name("jaytack check"), kong.Description("Checks a configuration before it is sent to the store."),
		kong.Writers(out, errOut), kong.Exit(func(code int) { panic(exitPanic(code)) }))
	if _, err := parser.Parse(args); err != nil {
		fmt.Fprintln(errOut, "jaytack:", err)
		return exitUsage
	}
	return c.run(out, errOut)
}

// run prints the findings to out and returns the exit status.
func (c *checkCommand) run(out, errOut io.Writer) int {
	value, err := os.ReadFile(c.File)
	if err != nil {
		fmt.Fprintln(errOut, "jaytack:", err)
		return exitFailed
	}
	draft := platform.DecodeForValidation(value)
	findings := validation.Check(draft, c.FlowLifetime)
	if c.InForce != "" {
		if value, err = os.ReadFile(c.InForce); err != nil {
			fmt.Fprintln(errOut, "jaytack:", err)
			return exitFailed
		}
		findings = append(findings, validation.Diff(platform.DecodeForValidation(value), draft)...)
	}
	if err := c.print(out, findings); err != nil {
		fmt.Fprintln(errOut, "jaytack:", err)
		return exitFailed
	}
	if validation.HasErrors(findings) {
		return exitProblems
	}
	return exitDone
}

func (c *checkCommand) print(out io.Writer, findings []validation.Finding) error {
	list := make([]finding, len(findings))
	for i, f := range findings {
		list[i] = finding{f.Severity, f.Entry.Kind, f.Entry.Name, platform.FieldName(f.Field), f.Message}
	}
	if c.Output == "json" {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		return e.Encode(list)
	}
	for _, f := range list {
		if _, err := fmt.Fprintln(out, f); err != nil {
			return err
		}
	}
	return nil
}
