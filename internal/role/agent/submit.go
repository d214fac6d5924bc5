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

// submissions holds the idempotency tables of one agent: one for the tickets that it
// issued, and one for the idempotency keys that it decides on as the leader.
type submissions struct {
	tickets      *lockedTable
	keys         *lockedTable
	mu           sync.Mutex
	lastSequence idempotency.SequenceNumber
}

func newSubmissions(capacityBytes int) *submissions {
	return &submissions{tickets: newLockedTable(capacityBytes / 2), keys: newLockedTable(capacityBytes / 2)}
}

func (s *submissions) nextSequence() idempotency.SequenceNumber {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastSequence++
	return s.lastSequence
}

func (s *submissions) duplicateRuns() int { return s.tickets.duplicateRuns() + s.keys.duplicateRuns() }

// lockedTable is an idempotency table that is safe for concurrent use. done has a
// channel for each running submission, which is closed when the outcome is recorded.
type lockedTable struct {
	mu    sync.Mutex
	table *idempotency.Table
	done  map[idempotency.SubmissionID]chan struct{}
}

func newLockedTable(capacityBytes int) *lockedTable {
	return &lockedTable{table: idempotency.New(capacityBytes), done: make(map[idempotency.SubmissionID]chan struct{})}
}

func (l *lockedTable) duplicateRuns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Doubled
}

// runOnce runs a submission if no earlier attempt did, and otherwise returns the
// recorded result. admit reports whether a submission that is not in the table may
// run; if not, its reply is returned.
func (l *lockedTable) runOnce(ctx context.Context, c *call, id idempotency.SubmissionID, sequence idempotency.SequenceNumber, admit func() (reply, bool), run func(context.Context, *call) reply) reply {
	l.mu.Lock()
	if _, found := l.table.Entry(id); !found {
		if r, admitted := admit(); !admitted {
			l.mu.Unlock()
			return r
		}
	}
	result := l.table.Begin(id, sequence, attemptNumber(c))
	done := l.done[id]
	if result == idempotency.Fresh {
		done = make(chan struct{})
		l.done[id] = done
	}
	l.mu.Unlock()
	switch result {
	case idempotency.Fresh:
		return l.runAndRecord(ctx, c, id, done, run)
	case idempotency.Running:
		return l.awaitEarlierRun(ctx, c, id, done)
	case idempotency.Ended:
		return l.replay(id)
	}
	return unknownReply("Forgotten")
}

func (l *lockedTable) runAndRecord(ctx context.Context, c *call, id idempotency.SubmissionID, done chan struct{}, run func(context.Context, *call) reply) reply {
	ctx, cancel := detachFromCaller(ctx, c.deadline.Add(peerReplyGrace))
	r := run(ctx, c)
	stored := idempotency.Answer{Status: r.status, Header: toAnswerFields(r.header)}
	o := r.outcome
	if r.rest != nil || len(r.body) > maxStoredAnswerBytes {
		// The answer is too large to store, so a retry gets Unknown.
		o = outcome.Unknown
	} else {
		stored.Body = r.body
	}
	l.mu.Lock()
	l.table.End(id, o, stored)
	delete(l.done, id)
	l.mu.Unlock()
	close(done)
	r.onComplete(cancel)
	return r
}

func (l *lockedTable) awaitEarlierRun(ctx context.Context, c *call, id idempotency.SubmissionID, done chan struct{}) reply {
	t := time.NewTimer(time.Until(c.deadline))
	defer t.Stop()
	select {
	case <-done:
		return l.replay(id)
	case <-t.C:
	case <-ctx.Done():
	}
	return unknownReply("EarlierTryRuns")
}

// replay returns the recorded result of an earlier attempt.
func (l *lockedTable) replay(id idempotency.SubmissionID) reply {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.table.Entry(id)
	switch {
	case ok && e.Outcome == outcome.NotRun:
		return notRunReply("RefusedBefore", 0)
	case !ok || e.Outcome != outcome.Answered:
		return unknownReply("EarlierTryUnknown")
	}
	return reply{outcome: outcome.Answered, status: e.Answer.Status, header: fromAnswerFields(e.Answer.Header), body: e.Answer.Body}
}

// issueTicket returns a ticket for a submission that this process will record, or ""
// if sealing it failed.
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
	admitAll := func() (reply, bool) { return reply{}, true }
	return a.submissions.tickets.runOnce(ctx, c, idempotency.SubmissionID(text), t.Sequence, admitAll, a.dispatch)
}

// routeKey runs a submission with an idempotency key at the leader.
func (a *Agent) routeKey(ctx context.Context, c *call, key string) reply {
	if _, err := keyTime(key); err != nil {
		return reply{outcome: outcome.NotRun, status: http.StatusBadRequest, reason: "KeyMustBeUUIDv7"}
	}
	leader, leading := a.election.leaderForRequest()
	if leading {
		return a.runKey(ctx, c, key)
	}
	if !leader.Control.IsValid() {
		r := unknownReply("NoHome")
		r.status, r.retryAfter = http.StatusServiceUnavailable, time.Second
		return r
	}
	a.Decision("SubmissionRouted", "Request", c.id, "Kind", c.kind.Name, "To", leader.Control, "Reason", "Key")
	r, _ := a.peers.callAgent(ctx, leader.Control, c, purposeKey, key, 0)
	if r.reason == reasonUnreachable {
		a.election.invalidate(leader)
		return unknownReply("HomeUnreachable")
	}
	return r
}

// runKey runs a submission with an idempotency key at the leader, at most once.
func (a *Agent) runKey(ctx context.Context, c *call, key string) reply {
	created, err := keyTime(key)
	if err != nil {
		return reply{outcome: outcome.NotRun, status: http.StatusBadRequest, reason: "KeyMustBeUUIDv7"}
	}
	admit := func() (reply, bool) { return a.election.checkKey(created) }
	return a.submissions.keys.runOnce(ctx, c, idempotency.SubmissionID(key), idempotency.SequenceNumber(created.UnixMilli()), admit, a.dispatch)
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

func toAnswerFields(h http.Header) []idempotency.Field {
	out := make([]idempotency.Field, 0, len(h))
	for k, vs := range h {
		out = append(out, idempotency.Field{Name: k, Values: vs})
	}
	return out
}

func fromAnswerFields(fs []idempotency.Field) http.Header {
	out := make(http.Header, len(fs))
	for _, f := range fs {
		out[f.Name] = f.Values
	}
	return out
}
