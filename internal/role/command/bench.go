package command

import (
	"encoding/json"
	"strings"

	"github.com/jaytack/jaytack/internal/experiment/bench"
)

type benchCmd struct {
	Experiment string `arg:"" enum:"blocking,churn,control,crest,relay,route" help:"blocking, churn, control, crest, relay or route."`
	Seed       uint64 `default:"1" help:"The seed of the first run."`
	Runs       int    `default:"1" help:"The number of runs, each with the next seed."`
	Output     string `enum:"text,json" default:"text" help:"text or json."`
}

// Run runs an experiment and prints its figures.
func (c *benchCmd) Run(s *streams) error {
	var runs [][]bench.Figure
	for i := range max(c.Runs, 1) {
		figures, err := bench.Run(c.Experiment, c.Seed+uint64(i))
		if err != nil {
			return err
		}
		runs = append(runs, figures)
	}
	figures := runs[0]
	if len(runs) > 1 {
		figures = bench.Spread(runs)
	}
	if c.Output == "json" {
		return json.NewEncoder(s.out).Encode(figures)
	}
	var lines strings.Builder
	for _, f := range figures {
		lines.WriteString(f.String() + "\n")
	}
	_, err := s.out.Write([]byte(lines.String()))
	return err
}
