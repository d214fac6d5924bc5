// Command jaytackd is the daemon that relays flows: a balancer, or the agent
// beside an upstream.
//
// It is a separate program from jaytack so that it contains only what it needs.
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
	// maxDecisionLinesPerSecond limits logged decisions; notable ones count separately.
	maxDecisionLinesPerSecond = 100
	// flushTimeout bounds how long a stopping process waits for queued log lines.
	flushTimeout = 50 * time.Millisecond
)

// commandLine holds the flags and commands of the program.
type commandLine struct {
	Settings    string `type:"path" help:"Path of the settings file. Defaults to the platform's environment variable, then to the platform's default path."`
	MetricsPort uint16 `help:"Port that serves the metrics at /debug/vars. Not served by default."`

	Balancer struct{} `cmd:"" help:"Run a balancer."`
	Agent    struct{} `cmd:"" help:"Run the agent beside an upstream."`
}

func main() {
	var flags commandLine
	ctx := kong.Parse(&flags, kong.Name("jaytackd"), kong.Description("Relays flows as a balancer or as an agent."))
	if err := run(ctx.Command(), settingsPath(flags.Settings), flags.MetricsPort); err != nil {
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

// daemon is a running balancer or agent.
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
	logWriter := eventlog.NewAsyncWriter(os.Stdout)
	defer logWriter.Flush(flushTimeout)
	metricSet := metrics.New()
	metricSet.Func("LogLinesDropped", func() any { return logWriter.Dropped() })
	proc := process.New(process.Config{
		Settings: s, Codec: platform.Codec(), Gateway: platform.StoreGateway(), Logger: eventlog.New(logWriter, eventlog.Info, maxDecisionLinesPerSecond), Metrics: metricSet, MetricsPort: metricsPort,
		Reload:       func() (settings.Settings, error) { return platform.ReadSettings(path) },
		ReadyHandler: platform.ReadyHandler,
	})
	d, err := newDaemon(role, proc)
	if err != nil {
		return err
	}
	d.Wait(context.Background())
	d.Drain()
	d.Close()
	return nil
}

func newDaemon(role string, proc *process.Process) (daemon, error) {
	if role == "balancer" {
		return balancer.New(proc, configsync.Config{
			Key: platform.ConfigurationKey, Decode: platform.DecodeConfiguration,
			Evacuations: &configsync.EvacuationConfig{Prefix: platform.OperatorPrefix, Decode: platform.DecodeEvacuation},
		})
	}
	var problems settings.Problems
	if proc.Settings.AddAgentProblems(&problems); problems.Err() != nil {
		return nil, &problems
	}
	return agent.New(proc, func(e agent.Events) http.Handler { return platform.ControlHandler(platform.ControlEvents(e)) })
}
