// Package verdict holds what the cores of relayed flows decide: what is to be done
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
package verdict

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
	// Lasting decisions change what the process believes; they are never left out.
	Lasting
)

// Decision is a line for the log.
type Decision struct {
	Event  string
	Weight Weight
	Pairs  []any
}

// Verdict collects what a core decides.
type Verdict struct {
	actions   []Action
	decisions []Decision
}

// Take returns what is to be done and logged since the last call.
func (v *Verdict) Take() ([]Action, []Decision) {
	a, d := v.actions, v.decisions
	v.actions, v.decisions = nil, nil
	return a, d
}

// Do adds an action.
func (v *Verdict) Do(a Action) { v.actions = append(v.actions, a) }

// Send has a message sent to an instance.
func (v *Verdict) Send(to flow.IP, e *message.Envelope) {
	v.Do(Action{Kind: Send, To: to, Message: e})
}

// Note adds a routine decision.
func (v *Verdict) Note(event string, pairs ...any) { v.note(event, Routine, pairs) }

// Explain adds a notable decision.
func (v *Verdict) Explain(event string, pairs ...any) { v.note(event, Notable, pairs) }

// Believe adds a lasting decision.
func (v *Verdict) Believe(event string, pairs ...any) { v.note(event, Lasting, pairs) }

func (v *Verdict) note(event string, w Weight, pairs []any) {
	v.decisions = append(v.decisions, Decision{event, w, pairs})
}
