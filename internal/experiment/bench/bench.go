// Package bench measures the decisions of jaytack.
//
// The experiments churn, crest, blocking and relay drive the core that the daemons run
// under virtual time: the same seed prints the same figures. The experiments
// route and control also measure sockets and processor time. Each figure is
// printed beside its target and the figure of a baseline from the same run.
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

// ErrExperiment reports a name that no experiment has.
var ErrExperiment = eris.New("there is no such experiment")

// Figure is one measured value.
type Figure struct {
	Name  string
	Value float64
	// Target describes the bound, empty where there is none.
	Target string `json:",omitempty"`
	// Met tells whether the bound holds; it means nothing without a target.
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

func plain(name string, v float64) Figure { return Figure{Name: name, Value: v} }

func atMost(name string, v, bound float64) Figure {
	return Figure{name, v, fmt.Sprintf("<=%g", bound), v <= bound}
}

func atLeast(name string, v, bound float64) Figure {
	return Figure{name, v, fmt.Sprintf(">=%g", bound), v >= bound}
}

// experiment runs once with a seed.
type experiment func(seed uint64) ([]Figure, error)

var experiments = map[string]experiment{
	"blocking": blocking,
	"churn":    churn,
	"control":  control,
	"crest":    crest,
	"relay":    relayed,
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

// Run runs an experiment. It fails with ErrExperiment or what the experiment met.
func Run(name string, seed uint64) ([]Figure, error) {
	e, ok := experiments[name]
	if !ok {
		return nil, eris.Wrap(ErrExperiment, name)
	}
	return e(seed)
}

// Spread returns, for each figure of several runs, its mean, least and greatest value.
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
		out = append(out, mean, plain(first.Name+"Least", low), plain(first.Name+"Greatest", high))
	}
	return out
}
