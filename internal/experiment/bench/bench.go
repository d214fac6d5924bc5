// Package bench implements the benchmarks of the command jaytack bench.
//
// The experiments churn, crest, blocking and relay run the daemons' core logic in
// virtual time: the same seed gives the same figures. The experiments route and
// control also measure sockets and CPU time. Each run reports its figures with
// their targets and with the figures of a baseline.
//
// # Usage
//
//	figures, err := bench.Run("crest", seed)
//	for _, f := range figures {
//		fmt.Println(f)
//	}
package bench

import (
	"fmt"
	"math"
	"slices"
	"strconv"

	"github.com/rotisserie/eris"
)

// ErrExperiment reports an unknown experiment name.
var ErrExperiment = eris.New("unknown experiment")

// Figure is one measured value.
type Figure struct {
	Name  string
	Value float64
	// Target is the bound, for example "<=2"; it is empty if there is none.
	Target string `json:",omitempty"`
	// Met reports whether the bound holds; it is undefined without a target.
	Met bool `json:",omitempty"`
}

// String returns the figure as Name=value with its target.
func (f Figure) String() string {
	s := f.Name + "=" + strconv.FormatFloat(f.Value, 'g', 5, 64)
	if f.Target == "" {
		return s
	}
	if f.Met {
		return s + " Target" + f.Target + " Met"
	}
	return s + " Target" + f.Target + " Missed"
}

func withoutTarget(name string, v float64) Figure { return Figure{Name: name, Value: v} }

func atMost(name string, v, bound float64) Figure {
	return Figure{name, v, fmt.Sprintf("<=%g", bound), v <= bound}
}

func atLeast(name string, v, bound float64) Figure {
	return Figure{name, v, fmt.Sprintf(">=%g", bound), v >= bound}
}

// experiment performs one run with a seed.
type experiment func(seed uint64) ([]Figure, error)

var experiments = map[string]experiment{
	"blocking": blocking,
	"churn":    churn,
	"control":  control,
	"crest":    crest,
	"relay":    relayedFlows,
	"route":    route,
}

// Names returns the names of the experiments.
func Names() []string {
	var out []string
	for n := range experiments {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

// Run runs an experiment. It returns ErrExperiment for an unknown name, or the error
// of the experiment.
func Run(name string, seed uint64) ([]Figure, error) {
	e, ok := experiments[name]
	if !ok {
		return nil, eris.Wrap(ErrExperiment, name)
	}
	return e(seed)
}

// Spread returns the mean, minimum and maximum of each figure over several runs.
func Spread(runs [][]Figure) []Figure {
	var out []Figure
	for i, first := range runs[0] {
		low, high, sum := math.Inf(1), math.Inf(-1), 0.0
		met := true
		for _, r := range runs {
			v := r[i].Value
			low, high, sum = min(low, v), max(high, v), sum+v
			met = met && r[i].Met
		}
		mean := first
		mean.Value, mean.Met = sum/float64(len(runs)), met
		out = append(out, mean, withoutTarget(first.Name+"Least", low), withoutTarget(first.Name+"Greatest", high))
	}
	return out
}
