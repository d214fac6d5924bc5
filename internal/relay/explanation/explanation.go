// Package explanation finds the cause of what became of a flow in the logs of the
// processes that relayed it.
//
// It takes the lines that name the flow, in order of time, and what the processes of
// those lines came to believe meanwhile. The last line that decided something tells
// the cause.
//
// # Usage
//
//	r := explanation.New("100.64.0.27:1092>198.18.0.1:8443")
//	err := r.Read("side-a-2", file)
//	x := r.Explain()
//	fmt.Println(x)
package explanation

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/rotisserie/eris"
)

// ErrRead reports a log that cannot be read.
var ErrRead = eris.New("log cannot be read")

// around is how long before the flow's first and after its last line what processes
// believed may matter: longer than any deadline.
const around = 10 * time.Second

// causes says what an event, or a reason of a reset, means for the flow.
var causes = map[string]string{
	"NoRoute":              "The configuration in force had no such address. The request has not run. See Version, and ConfigurationApplied for when it changed.",
	"NoAgent":              "The service had no agents. The request has not run.",
	"UpstreamFull":         "More flows waited than could have their turn before callers give up. The request has not run. See what took the capacity: upstreams that started, drained or fell silent before.",
	"NoUpstreamTakesFlows": "No upstream of the service took new flows. The request has not run. See UpstreamStateChanged of its agents.",
	"UpstreamLostFlow":     "The upstream no longer held the flow: it had restarted. Whether the request ran is not known.",
	"AllUpstreamsDenied":   "No upstream held the flow: the one that did has restarted or left. Whether the request ran is not known.",
	"UpstreamLeft":         "The upstream has left, and its flows ended with it.",
	"FlowGivenUp":          "The caller gave up while its new flow waited for a full upstream. The request has not run.",
	"CopyDropped":          "No upstream could take the flow, and an earlier copy of its first packet may have been accepted, so that nobody could be told.",
	"OwnerNotFound":        "An agent that may hold the flow did not answer: it was cut off, paused or gone. See its own lines.",
	"FlowWaits":            "The new flow waited in front of a full upstream and nothing later is logged: the time went by there, or in the upstream.",
	"FlowPlaced":           "The flow was placed, and nothing later is logged: look at the upstream, and at silence of its agent's lines.",
	"PacketToHome":         "A balancer passed the packet on and its home logged nothing: the way between them was cut, or the home was paused or gone.",
	"OwnerFound":           "The flow's owner was found, and nothing later is logged: look at the upstream.",
	"FirstPacketBounced":   "The upstream turned the new flow away, and nothing later is logged.",
}

// unnamed is the cause where no line names the flow.
const unnamed = "No process logged the flow: its packets met none, which then was starting, cut off or out of the routers' rotation, or its lines were left out (DecisionsLeftOut)."

// beliefs are events that say what a process came to believe.
var beliefs = map[string]bool{
	"Started": true, "Stopping": true, "Stopped": true, "StoreLost": true, "StoreRegained": true, "ConfigurationApplied": true,
	"UpstreamStateChanged": true, "UpstreamReplaced": true, "UpstreamAbsent": true, "MemberForgotten": true, "LeaseLapsed": true,
}

// Line is one line of a log.
type Line struct {
	Process string
	At      time.Time
	Event   string
	// Pairs is the rest of the line.
	Pairs string
	// reason is a reset's.
	reason string
	named  bool
}

// Report collects the lines that matter for one flow.
type Report struct {
	flow  string
	lines []Line
}

// New returns an empty report about a flow, CALLER:PORT>ADDRESS:PORT.
func New(flow string) *Report { return &Report{flow: flow} }

// Read takes in the log of a process. What precedes the time of a line is ignored.
func (r *Report) Read(process string, log io.Reader) error {
	s := bufio.NewScanner(log)
	for s.Scan() {
		if i := bytes.Index(s.Bytes(), []byte("Time=")); i >= 0 {
			r.take(process, s.Bytes()[i:])
		}
	}
	if s.Err() != nil {
		return eris.Wrapf(ErrRead, "%s: %v", process, s.Err())
	}
	return nil
}

// take keeps a line that names the flow or says what the process believes. A line that
// is none, such as one that was cut off by a crash, tells nothing and is passed over.
func (r *Report) take(process string, text []byte) {
	l := Line{Process: process}
	d := logfmt.NewDecoder(bytes.NewReader(text))
	var pairs []string
	for d.ScanRecord() {
		for d.ScanKeyval() {
			key, value := string(d.Key()), string(d.Value())
			switch key {
			case "Time":
				l.At, _ = time.Parse(time.RFC3339Nano, value)
			case "Event":
				l.Event = value
			case "Level":
			case "Flow":
				l.named = value == r.flow
			default:
				pairs = append(pairs, key+"="+value)
			}
			if key == "Reason" {
				l.reason = value
			}
		}
	}
	l.Pairs = strings.Join(pairs, " ")
	if !l.At.IsZero() && (l.named || beliefs[l.Event]) {
		r.lines = append(r.lines, l)
	}
}

// Explanation is what became of a flow.
type Explanation struct {
	Flow  string
	Lines []Line
	Cause string
}

// Explain puts the lines in order and names the cause.
func (r *Report) Explain() Explanation {
	slices.SortStableFunc(r.lines, func(a, b Line) int { return a.At.Compare(b.At) })
	x := Explanation{Flow: r.flow, Cause: unnamed}
	var first, last time.Time
	processes := make(map[string]bool)
	for _, l := range r.lines {
		if !l.named {
			continue
		}
		if first.IsZero() {
			first = l.At
		}
		last = l.At
		processes[l.Process] = true
		if c := cmp.Or(causes[l.reason], causes[l.Event]); c != "" {
			x.Cause = c
		}
	}
	for _, l := range r.lines {
		near := !l.At.Before(first.Add(-around)) && !l.At.After(last.Add(around))
		if l.named || processes[l.Process] && near {
			x.Lines = append(x.Lines, l)
		}
	}
	return x
}

// String returns the lines, those that name the flow marked, and the cause.
func (x Explanation) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "Flow %s\n", x.Flow)
	for _, l := range x.Lines {
		mark := " "
		if l.named {
			mark = "*"
		}
		fmt.Fprintf(&b, "%s %s %s %s %s\n", mark, l.At.UTC().Format("15:04:05.000"), l.Process, l.Event, l.Pairs)
	}
	fmt.Fprintf(&b, "Cause: %s\n", x.Cause)
	return b.String()
}
