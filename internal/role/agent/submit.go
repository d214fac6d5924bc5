package agent

import (
	"context"
	"crypto/rand"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/jaytack/jaytack/internal/request/idempotency"
	"github.com/jaytack/jaytack/internal/request/outcome"
)

// maxStoredAnswerBytes is the largest answer body that is stored for retries.
const maxStoredAnswerBytes = 64 << 10

// submissions holds the ledgers of one agent: one for the tickets that it issued, and
// one for the idempotency keys that it handles as the leader.
type submissions struct {
	tickets      *lockedLedger
	keys         *lockedLedger
	mu           sync.Mutex
	lastSequence idempotency.SequenceNumber
}

func newSubmissions(capacity int) *submissions {
	return &submissions{tickets: newLockedLedger(capacity / 2), keys: newLockedLedger(capacity / 2)}
}

func (s *submissions) nextSequence() idempotency.SequenceNumber {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastSequence++
	return s.lastSequence
}

func (s *submissions) duplicateRuns() int { return s.tickets.duplicateRuns() + s.keys.duplicateRuns() }

// lockedLedger is a ledger that is safe for concurrent use. done has a channel for
// each running submission, which is closed when the outcome is recorded.
type lockedLedger struct {
	mu     sync.Mutex
	ledger *idempotency.Table
	done   map[idempotency.SubmissionID]chan struct{}
}

func newLockedLedger(capacity int) *lockedLedger {
	return &lockedLedger{ledger: idempotency.New(capacity), done: make(map[idempotency.SubmissionID]chan struct{})}
}

func (l *lockedLedger) duplicateRuns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.Doubled
}

// runOnce runs a submission if no earlier attempt did, and otherwise returns the
// recorded result. admit reports whether a name that is not in the ledger may run; if
// not, its reply is returned.
func (l *lockedLedger) runOnce(ctx context.Context, c *call, name idempotency.SubmissionID, order idempotency.SequenceNumber, admit func() (reply, bool), run func(context.Context, *call) reply) reply {
	l.mu.Lock()
	if _, found := l.ledger.Entry(name); !found {
		if r, admitted := admit(); !admitted {
			l.mu.Unlock()
			return r
		}
	}
	standing := l.ledger.Begin(name, order, attemptNumber(c))
	done := l.done[name]
	if standing == idempotency.Fresh {
		done = make(chan struct{})
		l.done[name] = done
	}
	l.mu.Unlock()
	switch standing {
	case idempotency.Fresh:
		return l.runAndRecord(ctx, c, name, done, run)
	case idempotency.Running:
		return l.awaitEarlierRun(ctx, c, name, done)
	case idempotency.Ended:
		return l.replay(name)
	}
	return unknownReply("Forgotten")
}

func (l *lockedLedger) runAndRecord(ctx context.Context, c *call, name idempotency.SubmissionID, done chan struct{}, run func(context.Context, *call) reply) reply {
	ctx, cancel := detachFromCaller(ctx, c.deadline.Add(peerReplyGrace))
	r := run(ctx, c)
	stored := idempotency.Answer{Status: r.status, Header: toLedgerFields(r.header)}
	o := r.outcome
	if r.rest != nil || len(r.body) > maxStoredAnswerBytes {
		// The answer is too large to store, so a retry gets Unknown.
		o = outcome.Unknown
	} else {
		stored.Body = r.body
	}
	l.mu.Lock()
	l.ledger.End(name, o, stored)
	delete(l.done, name)
	l.mu.Unlock()
	close(done)
	r.onComplete(cancel)
	return r
}

func (l *lockedLedger) awaitEarlierRun(ctx context.Context, c *call, name idempotency.SubmissionID, done chan struct{}) reply {
	t := time.NewTimer(time.Until(c.deadline))
	defer t.Stop()
	select {
	case <-done:
		return l.replay(name)
	case <-t.C:
	case <-ctx.Done():
	}
	return unknownReply("EarlierTryRuns")
}

// replay returns the recorded result of an earlier attempt.
func (l *lockedLedger) replay(name idempotency.SubmissionID) reply {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.ledger.Entry(name)
	switch {
	case ok && e.Outcome == outcome.NotRun:
		return notRunReply("RefusedBefore", 0)
	case !ok || e.Outcome != outcome.Answered:
		return unknownReply("EarlierTryUnknown")
	}
	return reply{outcome: outcome.Answered, status: e.Answer.Status, header: fromLedgerFields(e.Answer.Header), body: e.Answer.Body}
}

// issueTicket returns a ticket for a submission that this process will record.
func (a *Agent) issueTicket() string {
	self := a.Self()
	t := idempotency.Ticket{
		Agent: self.Address, Control: self.Control, Incarnation: self.Incarnation, Service: self.Service,
		Sequence: a.submissions.nextSequence(),
	}
	text, err := t.Seal(a.Identity.Ticket, rand.Reader)
	if err != nil {
		a.Error("TicketUnsealed", "Reason", err)
	}
	return text
}

func badTicketReply() reply {
	return reply{outcome: outcome.NotRun, status: http.StatusBadRequest, reason: "BadTicket"}
}

// routeTicket runs a submission at the process that issued its ticket.
func (a *Agent) routeTicket(ctx context.Context, c *call, text string) reply {
	t, err := idempotency.OpenTicket(a.Identity.Ticket, text)
	self := a.Self()
	if err != nil {
		return badTicketReply()
	}
	if t.Service != self.Service {
		return unknownReply("TicketOfAnotherService")
	}
	if t.Agent == self.Address && t.Incarnation == self.Incarnation {
		return a.runTicket(ctx, c, text)
	}
	a.Decision("SubmissionRouted", "Request", c.id, "Kind", c.kind.Name, "To", t.Agent, "Reason", "Ticket")
	r, _ := a.peers.callAgent(ctx, t.Control, c, purposeTicket, text, t.Incarnation)
	if r.reason == reasonUnreachable {
		// An earlier attempt may have run there.
		return unknownReply("DeciderGone")
	}
	return r
}

// runTicket runs a submission whose ticket this process issued, at most once.
func (a *Agent) runTicket(ctx context.Context, c *call, text string) reply {
	t, err := idempotency.OpenTicket(a.Identity.Ticket, text)
	self := a.Self()
	if err != nil {
		return badTicketReply()
	}
	if t.Agent != self.Address || t.Incarnation != self.Incarnation {
		return unknownReply("DeciderGone")
	}
	always := func() (reply, bool) { return reply{}, true }
	return a.submissions.tickets.runOnce(ctx, c, idempotency.SubmissionID(text), t.Sequence, always, a.dispatch)
}

// routeKey runs a submission with an idempotency key at the leader.
func (a *Agent) routeKey(ctx context.Context, c *call, key string) reply {
	if _, err := keyTime(key); err != nil {
		return reply{outcome: outcome.NotRun, status: http.StatusBadRequest, reason: "KeyMustBeUUIDv7"}
	}
	h, leading := a.election.leaderForRequest()
	if leading {
		return a.runKey(ctx, c, key)
	}
	if !h.Control.IsValid() {
		r := unknownReply("NoHome")
		r.status, r.retryAfter = http.StatusServiceUnavailable, time.Second
		return r
	}
	a.Decision("SubmissionRouted", "Request", c.id, "Kind", c.kind.Name, "To", h.Control, "Reason", "Key")
	r, _ := a.peers.callAgent(ctx, h.Control, c, purposeKey, key, 0)
	if r.reason == reasonUnreachable {
		a.election.invalidate(h)
		return unknownReply("HomeUnreachable")
	}
	return r
}

// runKey runs a submission with an idempotency key at the leader, at most once.
func (a *Agent) runKey(ctx context.Context, c *call, key string) reply {
	made, err := keyTime(key)
	if err != nil {
		return reply{outcome: outcome.NotRun, status: http.StatusBadRequest, reason: "KeyMustBeUUIDv7"}
	}
	judge := func() (reply, bool) { return a.election.checkKey(made) }
	return a.submissions.keys.runOnce(ctx, c, idempotency.SubmissionID(key), idempotency.SequenceNumber(made.UnixMilli()), judge, a.dispatch)
}

// attemptNumber returns the attempt number in the request's header, or 1 if it is
// missing or invalid.
func attemptNumber(c *call) idempotency.Attempt {
	n, err := strconv.ParseUint(c.header.Get(HeaderAttempt), 10, 32)
	if err != nil {
		return 1
	}
	return idempotency.Attempt(n)
}

// keyTime returns the timestamp in a UUIDv7. It returns an error for any other key.
func keyTime(key string) (time.Time, error) {
	u, err := uuid.Parse(key)
	if err != nil {
		return time.Time{}, err
	}
	if u.Version() != 7 {
		return time.Time{}, errKeyVersion
	}
	ms := int64(u[0])<<40 | int64(u[1])<<32 | int64(u[2])<<24 | int64(u[3])<<16 | int64(u[4])<<8 | int64(u[5])
	return time.UnixMilli(ms), nil
}

func toLedgerFields(h http.Header) []idempotency.Field {
	out := make([]idempotency.Field, 0, len(h))
	for k, vs := range h {
		out = append(out, idempotency.Field{Name: k, Values: vs})
	}
	return out
}

func fromLedgerFields(fs []idempotency.Field) http.Header {
	out := make(http.Header, len(fs))
	for _, f := range fs {
		out[f.Name] = f.Values
	}
	return out
}
