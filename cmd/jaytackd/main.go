// Command jaytackd is the daemon that relays flows: a balancer, or the agent
// beside an upstream.
//
// It is apart from jaytack so that it starts with nothing that it does not need.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"github.com/jaytack/jaytack/internal/process/eventlog"
	"github.com/jaytack/jaytack/internal/process/metrics"
	"github.com/jaytack/jaytack/internal/relay/agent"
	"github.com/jaytack/jaytack/internal/relay/balancer"
	"github.com/jaytack/jaytack/internal/relay/configsync"
	"github.com/jaytack/jaytack/internal/relay/process"
	"github.com/jaytack/jaytack/internal/relay/settings"
	"github.com/jaytack/jaytack/platform"
)

const (
	// decisionLines bounds the decision lines a second of one process.
	decisionLines = 100
	// flushFor is how long a stopping process waits for its log.
	flushFor = 50 * time.Millisecond
)

// commandLine is everything that can be asked of the program.
type commandLine struct {
	Settings    string `type:"path" help:"The settings file; else the platform's variable or its usual place."`
	MetricsPort uint16 `help:"Where the process's metrics are served at /debug/vars; nowhere by default."`

	Balancer struct{} `cmd:"" help:"Run a balancer."`
	Agent    struct{} `cmd:"" help:"Run the agent beside an upstream."`
}

func main() {
	var line commandLine
	ctx := kong.Parse(&line, kong.Name("jaytackd"), kong.Description("Relays flows as a balancer or as an agent."))
	if err := run(ctx.Command(), settingsPath(line.Settings), line.MetricsPort); err != nil {
		fmt.Fprintln(os.Stderr, "jaytackd:", err)
		os.Exit(1)
	}
}

func settingsPath(flag string) string {
	for _, p := range []string{flag, os.Getenv(platform.SettingsEnv)} {
		if p != "" {
			return p
		}
	}
	return platform.DefaultSettingsFile
}

// daemon is a running role.
type daemon interface {
	Wait(ctx context.Context)
	Drain()
	Close()
}

func run(role, path string, metricsPort uint16) error {
	s, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	out := eventlog.NewAsyncWriter(os.Stdout)
	defer out.Flush(flushFor)
	m := metrics.New()
	m.Func("LogLinesDropped", func() any { return out.Dropped() })
	p := process.New(process.Config{
		Settings: s, Codec: platform.Codec(), Gateway: platform.StoreGateway(), Journal: eventlog.New(out, eventlog.Info, decisionLines), Metrics: m, MetricsPort: metricsPort,
		Reload: func() (settings.Settings, error) { return platform.ReadSettings(path) },
		Ready:  platform.ReadyHandler,
	})
	d, err := start(role, p)
	if err != nil {
		return err
	}
	d.Wait(context.Background())
	d.Drain()
	d.Close()
	return nil
}

func start(role string, p *process.Process) (daemon, error) {
	if role == "balancer" {
		return balancer.New(p, configsync.Config{Key: platform.ConfigurationKey, Decode: platform.DecodeConfiguration})
	}
	var problems settings.Problems
	if p.Settings.CheckAgent(&problems); problems.Err() != nil {
		return nil, &problems
	}
	return agent.New(p, func(e agent.Events) http.Handler { return platform.ControlHandler(platform.ControlEvents(e)) })
}
