package forwarding

import (
	"bytes"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/flow"
)

type waiting struct {
	id flow.ID
	// since is when the packet came.
	since instant.Instant
	// until is when the caller has given up.
	until instant.Instant
	opens bool
	bytes []byte
}

// wait keeps a packet until there is a configuration and an agent. Of the copies
// of a first packet the last is kept.
func (c *Core) wait(now instant.Instant, p flow.Packet) {
	w := waiting{id: p.Flow, since: now, until: now.Add(flow.OpenTimeout), opens: p.OpensFlow(), bytes: bytes.Clone(p.Bytes)}
	if w.opens {
		w.until = now.Add(flow.OpenTimeLeft(p.AckSeq))
		for i := range c.waiting {
			if c.waiting[i].opens && c.waiting[i].id == p.Flow {
				c.waiting[i] = w
				return
			}
		}
	}
	if len(c.waiting) >= maxWaiting {
		c.Counts.Dropped++
		return
	}
	c.Counts.Waited++
	c.waiting = append(c.waiting, w)
}

// retry forwards what waited, as far as it is not too old.
func (c *Core) retry(now instant.Instant) {
	if len(c.waiting) == 0 {
		return
	}
	queue := c.waiting
	c.waiting = nil
	for _, w := range queue {
		p, ok := c.Codec.DecodeFromCaller(w.bytes)
		if !ok || now > w.until {
			c.Counts.Dropped++
			continue
		}
		before := len(c.waiting)
		c.forward(now, p, now.Sub(w.since))
		if len(c.waiting) > before {
			c.waiting[before].since, c.waiting[before].until = w.since, w.until
		}
	}
}
