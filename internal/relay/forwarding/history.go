package forwarding

import (
	"slices"
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/message"
	"github.com/jaytack/jaytack/internal/relay/routes"
)

const (
	// historyWriteDelay is the delay after which the next balancer in order of instance
	// stores the history of the routes if none before it has, maxHistoryWriteDelay that
	// after which all do.
	historyWriteDelay    = 400 * time.Millisecond
	maxHistoryWriteDelay = 4 * time.Second
)

// storedHistory is what the store is known to hold of the history of the routes.
type storedHistory struct {
	services map[flow.Endpoint][]string
	// missingSince is when this process first had services that the store lacks, 0 if it has
	// none.
	missingSince instant.Instant
}

// covers reports whether the stored history contains another one.
func (s *storedHistory) covers(history []routes.History) bool {
	for _, h := range history {
		for _, service := range h.Services {
			if !slices.Contains(s.services[h.Address], service) {
				return false
			}
		}
	}
	return true
}

// ApplyHistory applies the history of the routes that the store holds. Services that a route
// named in a version that this process has not seen may hold open flows of its address.
func (c *Core) ApplyHistory(now instant.Instant, history []routes.History) {
	c.history.services = make(map[flow.Endpoint][]string, len(history))
	for _, h := range history {
		c.history.services[h.Address] = h.Services
	}
	c.restoreHistory(now)
}

// restoreHistory adds the services that the store's history names to the routes in force.
func (c *Core) restoreHistory(now instant.Instant) {
	history := make([]routes.History, 0, len(c.history.services))
	for a, services := range c.history.services {
		history = append(history, routes.History{Address: a, Services: services})
	}
	if n := c.Routes.Restore(history); n > 0 {
		c.LogStateChange("HistoryRestored", "Added", n, "Addresses", len(history), "Version", c.Routes.Version())
	}
	c.checkHistory(now)
}

// checkHistory notes since when the store lacks services of the routes.
func (c *Core) checkHistory(now instant.Instant) {
	switch {
	case c.history.covers(c.Routes.History()):
		c.history.missingSince = 0
	case c.history.missingSince == 0:
		c.history.missingSince = now
	}
}

// HistoryToStore returns the history of the routes if the store lacks a part of it and this
// balancer has to write it: the first one at once, the next ones in turn if it does not, so
// that they do not all write the same.
func (c *Core) HistoryToStore(now instant.Instant) (history []routes.History, due bool) {
	if c.history.missingSince == 0 || c.stopping {
		return nil, false
	}
	delay := time.Duration(0)
	for _, m := range c.Members.Balancers() {
		if m.ID() < c.Self && m.State == message.State_StateReady && !m.IsSuspect(now) {
			delay += historyWriteDelay
		}
	}
	if now.Sub(c.history.missingSince) < min(delay, maxHistoryWriteDelay) {
		return nil, false
	}
	return c.Routes.History(), true
}
