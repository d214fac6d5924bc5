// Package action defines the actions and log entries that the I/O-free cores of
// balancers and agents produce for their processes to execute.
//
// # Usage
//
//	type Core struct {
//		action.Output
//	}
//	c.Send(to, envelope)
//	c.LogRoutine("FlowPlaced", "Flow", id, "Agent", agent)
//	actions, logEntries := c.TakeOutput()
package action

import (
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/message"
	"github.com/jaytack/jaytack/internal/relay/routes"
)

// Kind is the type of an action.
type Kind uint8

// Kinds of actions.
const (
	// Send sends Message to instance To.
	Send Kind = iota + 1
	// Deliver sends Bytes to the agent's upstream.
	Deliver
	// Reply sends Bytes to the caller of Flow.
	Reply
	// Refresh fetches Version or a newer configuration from balancer To, which has it.
	Refresh
)

// Action is an operation for the process to execute.
type Action struct {
	Kind    Kind
	To      flow.IP
	Message *message.Envelope
	Bytes   []byte
	Flow    flow.ID
	Version routes.Version
}

// Class determines how the rate of a log entry is limited.
type Class uint8

// Classes of log entries.
const (
	// Routine entries occur with every flow; their rate is limited.
	Routine Class = iota
	// Notable entries explain why a request failed or was late; they have a rate limit
	// of their own.
	Notable
	// StateChange entries record changes in what the process knows about its upstream and
	// other members; they are always logged.
	StateChange
)

// LogEntry is a log line, with alternating keys and values in Pairs.
type LogEntry struct {
	Event string
	Class Class
	Pairs []any
}

// Output collects the actions and log entries of a core.
type Output struct {
	actions []Action
	entries []LogEntry
}

// TakeOutput returns and clears the actions and log entries added since the last call.
func (o *Output) TakeOutput() ([]Action, []LogEntry) {
	a, e := o.actions, o.entries
	o.actions, o.entries = nil, nil
	return a, e
}

// Emit adds an action.
func (o *Output) Emit(a Action) { o.actions = append(o.actions, a) }

// Send adds an action that sends a message to an instance.
func (o *Output) Send(to flow.IP, e *message.Envelope) {
	o.Emit(Action{Kind: Send, To: to, Message: e})
}

// LogRoutine adds a log entry of class Routine.
func (o *Output) LogRoutine(event string, pairs ...any) { o.log(event, Routine, pairs) }

// LogNotable adds a log entry of class Notable.
func (o *Output) LogNotable(event string, pairs ...any) { o.log(event, Notable, pairs) }

// LogStateChange adds a log entry of class StateChange.
func (o *Output) LogStateChange(event string, pairs ...any) { o.log(event, StateChange, pairs) }

func (o *Output) log(event string, class Class, pairs []any) {
	o.entries = append(o.entries, LogEntry{event, class, pairs})
}
