// Package action holds what the cores of relayed flows decide: what is to be done
// and what is to be logged.
//
// # Usage
//
//	type Core struct {
//		verdict.Verdict
//	}
//	c.Send(to, envelope)
//	c.Note("FlowPlaced", "Flow", id, "Agent", agent)
//	actions, decisions := c.Take()
package action

import (
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/message"
)

// Kind says what is to be done.
type Kind uint8

// Actions.
const (
	// Send sends Message to the instance To.
	Send Kind = iota + 1
	// Deliver sends Bytes to the own upstream.
	Deliver
	// Reply sends Bytes to the caller of Flow.
	Reply
	// Refresh reads the configuration, since the balancer To has a newer version.
	Refresh
)

// Action is something that the process has to do.
type Action struct {
	Kind    Kind
	To      flow.IP
	Message *message.Envelope
	Bytes   []byte
	Flow    flow.ID
}

// Weight says which lines may be left out of the log.
type Weight uint8

// Weights of decisions.
const (
	// Routine decisions come with every flow.
	Routine Weight = iota
	// Notable decisions explain why a request failed or came late; they have a
	// bound of their own.
	Notable
	// StateChange decisions change what the process believes; they are never left out.
	StateChange
)

// LogEntry is a line for the log.
type LogEntry struct {
	Event string
	Class Weight
	Pairs []any
}

// Output collects what a core decides.
type Output struct {
	actions   []Action
	decisions []LogEntry
}

// TakeOutput returns what is to be done and logged since the last call.
func (v *Output) TakeOutput() ([]Action, []LogEntry) {
	a, d := v.actions, v.decisions
	v.actions, v.decisions = nil, nil
	return a, d
}

// Emit adds an action.
func (v *Output) Emit(a Action) { v.actions = append(v.actions, a) }

// Send has a message sent to an instance.
func (v *Output) Send(to flow.IP, e *message.Envelope) {
	v.Emit(Action{Kind: Send, To: to, Message: e})
}

// LogRoutine adds a routine decision.
func (v *Output) LogRoutine(event string, pairs ...any) { v.note(event, Routine, pairs) }

// LogNotable adds a notable decision.
func (v *Output) LogNotable(event string, pairs ...any) { v.note(event, Notable, pairs) }

// LogStateChange adds a lasting decision.
func (v *Output) LogStateChange(event string, pairs ...any) { v.note(event, StateChange, pairs) }

func (v *Output) note(event string, w Weight, pairs []any) {
	v.decisions = append(v.decisions, LogEntry{event, w, pairs})
}
