package client

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// ErrTicket reports that no ticket could be obtained; nothing was submitted.
var ErrTicket = errors.New("no ticket could be obtained")

// ticketBatch is the number of tickets requested at a time.
const ticketBatch = 8

// Submit sends a POST request that must run at most once.
//
// It first obtains a ticket. As long as an earlier try may have run, later tries
// send the same ticket, so that the submission runs at most once over all tries.
func (c *Client) Submit(ctx context.Context, path string, body []byte, header http.Header) (Answer, error) {
	s := &submission{client: c, path: path, body: body, header: cloneHeader(header)}
	return c.retry(ctx, s.try)
}

// submission holds the state of one submission across its tries.
type submission struct {
	client *Client
	path   string
	body   []byte
	header http.Header
	ticket string
	// uncertain is set while an earlier try with the ticket may have run.
	uncertain bool
}

func (s *submission) try(ctx context.Context, n int) (Answer, error) {
	if s.ticket == "" {
		t, err := s.client.nextTicket(ctx)
		if err != nil {
			return Answer{Outcome: NotRun, Reason: "NoTicket"}, errors.Join(ErrTicket, err)
		}
		s.ticket = t
	}
	s.header.Set(headerTicket, s.ticket)
	s.header.Set(headerAttempt, strconv.Itoa(n))
	a, err := s.client.tryOnce(ctx, n, http.MethodPost, s.path, s.body, s.header)
	s.resolveOutcome(&a)
	return a, err
}

// resolveOutcome adjusts the outcome of a try for earlier tries with the same ticket.
// A try that was not sent does not settle whether an earlier one ran; only the agent
// that issued the ticket can.
func (s *submission) resolveOutcome(a *Answer) {
	responded := a.Status != 0
	switch {
	case a.Outcome == Unknown:
		s.uncertain = true
	case a.Outcome == NotRun && !responded && s.uncertain:
		a.Outcome = Unknown
	case a.Outcome == NotRun:
		// The ticket is used up without a run; the next try needs a new one.
		s.ticket, s.uncertain = "", false
	}
}

// nextTicket returns a ticket from the agent that the flow reaches; it fetches a
// batch if none is left.
func (c *Client) nextTicket(ctx context.Context) (string, error) {
	if t, ok := c.popTicket(); ok {
		return t, nil
	}
	a, err := c.fetchTickets(ctx)
	if err != nil {
		return "", err
	}
	var list []string
	if err := json.Unmarshal(a.Body, &list); err != nil || len(list) == 0 {
		return "", ErrTicket
	}
	c.mu.Lock()
	c.tickets = append(c.tickets, list[1:]...)
	c.mu.Unlock()
	return list[0], nil
}

func (c *Client) fetchTickets(ctx context.Context) (Answer, error) {
	for {
		a, err := c.tryOnce(ctx, 1, http.MethodPost, ticketsPath+"?n="+strconv.Itoa(ticketBatch), nil, nil)
		if err == nil && a.Status == http.StatusOK {
			return a, nil
		}
		select {
		case <-ctx.Done():
			return a, errors.Join(ctx.Err(), err)
		case <-time.After(initialBackoff + rand.N(initialBackoff)):
		}
	}
}

// popTicket removes and returns a ticket of the current flow. Tickets of a broken
// flow are not used, since their agent may be gone.
func (c *Client) popTicket() (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil || c.current.isBroken() || len(c.tickets) == 0 {
		return "", false
	}
	t := c.tickets[0]
	c.tickets = c.tickets[1:]
	return t, true
}
