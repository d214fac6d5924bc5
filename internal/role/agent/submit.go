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

// keptAnswer is the size up to which an answer is kept for later tries, in bytes.
const keptAnswer = 64 << 10

// submissions holds the ledgers of one agent: one for the tickets that it
// issued, one for the keys whose home it is.
type submissions struct {
	tickets *sharedLedger
	keys    *sharedLedger
	mu      sync.Mutex
	last    idempotency.SequenceNumber
}

func newSubmissions(capacity int) *submissions {
	return &submissions{tickets: newSharedLedger(capacity / 2), keys: newSharedLedger(capacity / 2)}
}

func (s *submissions) nextSequence() idempotency.SequenceNumber {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	return s.last
}

func (s *submissions) doubled() int { return s.tickets.doubled() + s.keys.doubled() }

// sharedLedger is a ledger that many goroutines use.
type sharedLedger struct {
	mu     sync.Mutex
	ledger *idempotency.Table
	ends   map[idempotency.SubmissionID]chan struct{}
}

func newSharedLedger(capacity int) *sharedLedger {
	return &sharedLedger{ledger: idempotency.New(capacity), ends: make(map[idempotency.SubmissionID]chan struct{})}
}

func (b *sharedLedger) doubled() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.Doubled
}

// decide runs a submission if it is fresh, and otherwise tells how it ended.
// judge decides about a name that the ledger does not hold.
func (b *sharedLedger) decide(ctx context.Context, c *call, name idempotency.SubmissionID, order idempotency.SequenceNumber, judge func() (reply, bool), run func(context.Context, *call) reply) reply {
	b.mu.Lock()
	if _, held := b.ledger.Entry(name); !held {
		if r, runs := judge(); !runs {
			b.mu.Unlock()
			return r
		}
	}
	standing := b.ledger.Begin(name, order, attemptOf(c))
	end := b.ends[name]
	if standing == idempotency.Fresh {
		end = make(chan struct{})
		b.ends[name] = end
	}
	b.mu.Unlock()
	switch standing {
	case idempotency.Fresh:
		return b.runFresh(ctx, c, name, end, run)
	case idempotency.Running:
		return b.await(ctx, c, name, end)
	case idempotency.Ended:
		return b.replay(name)
	}
	return unknown("Forgotten")
}

func (b *sharedLedger) runFresh(ctx context.Context, c *call, name idempotency.SubmissionID, end chan struct{}, run func(context.Context, *call) reply) reply {
	ctx, cancel := withTimeLeft(ctx, c.deadline.Add(peerGrace))
	r := run(ctx, c)
	kept := idempotency.Answer{Status: r.status, Header: toFields(r.header)}
	o := r.outcome
	if r.rest != nil || len(r.body) > keptAnswer {
		// The answer is too large to keep: a later try is told Unknown.
		o = outcome.Unknown
	} else {
		kept.Body = r.body
	}
	b.mu.Lock()
	b.ledger.End(name, o, kept)
	delete(b.ends, name)
	b.mu.Unlock()
	close(end)
	r.afterwards(cancel)
	return r
}

func (b *sharedLedger) await(ctx context.Context, c *call, name idempotency.SubmissionID, end chan struct{}) reply {
	t := time.NewTimer(time.Until(c.deadline))
	defer t.Stop()
	select {
	case <-end:
		return b.replay(name)
	case <-t.C:
	case <-ctx.Done():
	}
	return unknown("EarlierTryRuns")
}

// replay tells how an earlier try ended.
func (b *sharedLedger) replay(name idempotency.SubmissionID) reply {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, ok := b.ledger.Entry(name)
	switch {
	case ok && e.Outcome == outcome.NotRun:
		return notRun("RefusedBefore", 0)
	case !ok || e.Outcome != outcome.Answered:
		return unknown("EarlierTryUnknown")
	}
	return reply{outcome: outcome.Answered, status: e.Answer.Status, header: toHTTP(e.Answer.Header), body: e.Answer.Body}
}

// issueTicket returns a ticket on which this process decides.
func (a *Agent) issueTicket() string {
	self := a.Self()
	t := idempotency.Ticket{
		Agent: self.Address, Control: self.Control, Incarnation: self.Incarnation, Service: self.Service,
		Sequence: a.submits.nextSequence(),
	}
	text, err := t.Seal(a.Identity.Ticket, rand.Reader)
	if err != nil {
		a.Error("TicketUnsealed", "Reason", err)
	}
	return text
}

func badTicket() reply {
	return reply{outcome: outcome.NotRun, status: http.StatusBadRequest, reason: "BadTicket"}
}

// routeTicket brings a submission to the process that its ticket names.
func (a *Agent) routeTicket(ctx context.Context, c *call, text string) reply {
	t, err := idempotency.OpenTicket(a.Identity.Ticket, text)
	self := a.Self()
	if err != nil {
		return badTicket()
	}
	if t.Service != self.Service {
		return unknown("TicketOfAnotherService")
	}
	if t.Agent == self.Address && t.Incarnation == self.Incarnation {
		return a.decideTicket(ctx, c, text)
	}
	a.Decision("SubmissionRouted", "Request", c.id, "Kind", c.kind.Name, "To", t.Agent, "Reason", "Ticket")
	r, _ := a.peers.ask(ctx, t.Control, c, purposeTicket, text, t.Incarnation)
	if r.reason == reasonUnreachable {
		// An earlier try may have run there.
		return unknown("DeciderGone")
	}
	return r
}

// decideTicket decides on a submission whose ticket this process issued.
func (a *Agent) decideTicket(ctx context.Context, c *call, text string) reply {
	t, err := idempotency.OpenTicket(a.Identity.Ticket, text)
	self := a.Self()
	if err != nil {
		return badTicket()
	}
	if t.Agent != self.Address || t.Incarnation != self.Incarnation {
		return unknown("DeciderGone")
	}
	always := func() (reply, bool) { return reply{}, true }
	return a.submits.tickets.decide(ctx, c, idempotency.SubmissionID(text), t.Sequence, always, a.place)
}

// routeKey brings a submission with a key to the home of the service's keys.
func (a *Agent) routeKey(ctx context.Context, c *call, key string) reply {
	if _, err := keyTime(key); err != nil {
		return reply{outcome: outcome.NotRun, status: http.StatusBadRequest, reason: "KeyMustBeUUIDv7"}
	}
	h, mine := a.home.forRequest()
	if mine {
		return a.decideKey(ctx, c, key)
	}
	if !h.Control.IsValid() {
		r := unknown("NoHome")
		r.status, r.retryAfter = http.StatusServiceUnavailable, time.Second
		return r
	}
	a.Decision("SubmissionRouted", "Request", c.id, "Kind", c.kind.Name, "To", h.Control, "Reason", "Key")
	r, _ := a.peers.ask(ctx, h.Control, c, purposeKey, key, 0)
	if r.reason == reasonUnreachable {
		a.home.suspect(h)
		return unknown("HomeUnreachable")
	}
	return r
}

// decideKey decides on a key at its home.
func (a *Agent) decideKey(ctx context.Context, c *call, key string) reply {
	made, err := keyTime(key)
	if err != nil {
		return reply{outcome: outcome.NotRun, status: http.StatusBadRequest, reason: "KeyMustBeUUIDv7"}
	}
	judge := func() (reply, bool) { return a.home.judge(made) }
	return a.submits.keys.decide(ctx, c, idempotency.SubmissionID(key), idempotency.SequenceNumber(made.UnixMilli()), judge, a.place)
}

// attemptOf returns the number of the caller's try, 1 where it gives none.
func attemptOf(c *call) idempotency.Attempt {
	n, err := strconv.ParseUint(c.header.Get(HeaderAttempt), 10, 32)
	if err != nil {
		return 1
	}
	return idempotency.Attempt(n)
}

// keyTime returns the time that a UUIDv7 carries.
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

func toFields(h http.Header) []idempotency.Field {
	out := make([]idempotency.Field, 0, len(h))
	for k, vs := range h {
		out = append(out, idempotency.Field{Name: k, Values: vs})
	}
	return out
}

func toHTTP(fs []idempotency.Field) http.Header {
	out := make(http.Header, len(fs))
	for _, f := range fs {
		out[f.Name] = f.Values
	}
	return out
}
