// Package explanation derives the outcome of a flow and its cause from the logs of the
// processes that relayed it.
//
// It selects the lines that name the flow and the state changes that the processes of
// these lines logged around the same time, ordered by time. The last line that names the
// flow and has an entry in causes determines the cause.
//
// # Usage
//
//	c := explanation.New("100.64.0.27:1092>198.18.0.1:8443")
//	err := c.Read("side-a-2", file)
//	fmt.Println(c.Explain())
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

// contextPeriod is how long before the flow's first line and after its last one state
// changes are selected: longer than any deadline.
const contextPeriod = 10 * time.Second

// causes maps an event, or the value of its Reason key, to the cause that it indicates.
var causes = map[string]string{
	"NoRoute":              "The configuration in force had no such address. The request has not run. See Version, and ConfigurationApplied for when it changed.",
	"NoAgent":              "The service had no agents. The request has not run.",
	"WarmUpLimit":          "The upstream was cold and took no further new flow before the caller gave up, and no other had flows left. The request has not run. See FlowOverWarmUpLimit for the limit and its inputs.",
	"UpstreamFull":         "More flows waited than could have their turn before callers give up. The request has not run. See what took the capacity: upstreams that started, drained or fell silent before.",
	"NoUpstreamTakesFlows": "No upstream of the service took new flows. The request has not run. See UpstreamStateChanged of its agents.",
	"AllEvacuated":         "All data centres with upstreams of the service were evacuated. The request has not run. See EvacuationsChanged.",
	"Evacuated":            "The data centre was evacuated, so the new flow went on to another one, and nothing later is logged. See EvacuationsChanged.",
	"UpstreamLostFlow":     "The upstream no longer held the flow: it had restarted. Whether the request ran is not known.",
	"UpstreamReplaced":     "Another upstream had taken the place of the one that held the flow. Whether the request ran is not known.",
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

// causeNotLogged is the cause if no line names the flow.
const causeNotLogged = "No process logged the flow: its packets met none, which then was starting, cut off or out of the routers' rotation, or its lines were left out (DecisionsLeftOut)."

// stateEvents are the events that record a change of a process's state.
var stateEvents = map[string]bool{
	"Started": true, "Stopping": true, "Stopped": true, "StoreLost": true, "StoreRegained": true, "StoreRestored": true, "ConfigurationApplied": true,
	"UpstreamStateChanged": true, "UpstreamReplaced": true, "UpstreamAbsent": true, "MemberForgotten": true, "LeaseLapsed": true,
	"EvacuationsChanged": true,
}

// Line is one line of a log.
type Line struct {
	Process string
	At      time.Time
	Event   string
	// Pairs is the line's other key=value pairs, without Level and Flow.
	Pairs string
	// reason is the value of the line's Reason key.
	reason    string
	namesFlow bool
}

// Collector collects the log lines that are relevant to one flow.
type Collector struct {
	flow  string
	lines []Line
}

// New returns an empty collector for a flow, CALLER:PORT>ADDRESS:PORT.
func New(flow string) *Collector { return &Collector{flow: flow} }

// Read reads the log of a process. Text before a line's Time key is ignored. It fails
// with ErrRead.
func (c *Collector) Read(process string, log io.Reader) error {
	scanner := bufio.NewScanner(log)
	for scanner.Scan() {
		if i := bytes.Index(scanner.Bytes(), []byte("Time=")); i >= 0 {
			c.addLine(process, scanner.Bytes()[i:])
		}
	}
	if scanner.Err() != nil {
		return eris.Wrapf(ErrRead, "%s: %v", process, scanner.Err())
	}
	return nil
}

// addLine adds a line that names the flow or has one of stateEvents. A malformed line,
// such as one truncated by a crash, is ignored.
func (c *Collector) addLine(process string, text []byte) {
	line := Line{Process: process}
	decoder := logfmt.NewDecoder(bytes.NewReader(text))
	var pairs []string
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			key, value := string(decoder.Key()), string(decoder.Value())
			switch key {
			case "Time":
				line.At, _ = time.Parse(time.RFC3339Nano, value)
			case "Event":
				line.Event = value
			case "Level":
			case "Flow":
				line.namesFlow = value == c.flow
			default:
				pairs = append(pairs, key+"="+value)
			}
			if key == "Reason" {
				line.reason = value
			}
		}
	}
	line.Pairs = strings.Join(pairs, " ")
	if !line.At.IsZero() && (line.namesFlow || stateEvents[line.Event]) {
		c.lines = append(c.lines, line)
	}
}

// Explanation is the cause of a flow's outcome and the log lines that show it.
type Explanation struct {
	Flow  string
	Lines []Line
	Cause string
}

// Explain orders the lines by time and determines the cause.
func (c *Collector) Explain() Explanation {
	slices.SortStableFunc(c.lines, func(a, b Line) int { return a.At.Compare(b.At) })
	explanation := Explanation{Flow: c.flow, Cause: causeNotLogged}
	var first, last time.Time
	processes := make(map[string]bool)
	for _, l := range c.lines {
		if !l.namesFlow {
			continue
		}
		if first.IsZero() {
			first = l.At
		}
		last = l.At
		processes[l.Process] = true
		if cause := cmp.Or(causes[l.reason], causes[l.Event]); cause != "" {
			explanation.Cause = cause
		}
	}
	for _, l := range c.lines {
		isNear := !l.At.Before(first.Add(-contextPeriod)) && !l.At.After(last.Add(contextPeriod))
		if l.namesFlow || processes[l.Process] && isNear {
			explanation.Lines = append(explanation.Lines, l)
		}
	}
	return explanation
}

// String returns the lines and the cause; lines that name the flow are marked with *.
func (x Explanation) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "Flow %s\n", x.Flow)
	for _, l := range x.Lines {
		mark := " "
		if l.namesFlow {
			mark = "*"
		}
		fmt.Fprintf(&b, "%s %s %s %s %s\n", mark, l.At.UTC().Format("15:04:05.000"), l.Process, l.Event, l.Pairs)
	}
	fmt.Fprintf(&b, "Cause: %s\n", x.Cause)
	return b.String()
}
