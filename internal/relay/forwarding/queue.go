package forwarding

import (
	"bytes"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/flow"
)

// queuedPacket is a packet that cannot be forwarded yet.
type queuedPacket struct {
	id flow.ID
	// queuedAt is when the packet arrived.
	queuedAt instant.Instant
	// expiresAt is when the caller gives up.
	expiresAt instant.Instant
	opensFlow bool
	bytes     []byte
}

// enqueue queues a packet until a configuration and an agent are known. A
// retransmitted first packet replaces its earlier copy.
func (c *Core) enqueue(now instant.Instant, p flow.Packet) {
	queued := queuedPacket{id: p.Flow, queuedAt: now, expiresAt: now.Add(flow.OpenTimeout), opensFlow: p.OpensFlow(), bytes: bytes.Clone(p.Bytes)}
	if queued.opensFlow {
		queued.expiresAt = now.Add(flow.OpenTimeLeft(p.AckSeq))
		for i := range c.queue {
			if c.queue[i].opensFlow && c.queue[i].id == p.Flow {
				c.queue[i] = queued
				return
			}
		}
	}
	if len(c.queue) >= maxQueuedPackets {
		c.Counts.Dropped++
		return
	}
	c.Counts.Waited++
	c.queue = append(c.queue, queued)
}

// forwardQueued tries to forward each queued packet and drops expired ones.
func (c *Core) forwardQueued(now instant.Instant) {
	if len(c.queue) == 0 {
		return
	}
	queue := c.queue
	c.queue = nil
	for _, queued := range queue {
		p, ok := c.Codec.DecodeFromCaller(queued.bytes)
		if !ok || now > queued.expiresAt {
			c.Counts.Dropped++
			continue
		}
		queuedBefore := len(c.queue)
		c.forward(now, p, now.Sub(queued.queuedAt))
		if len(c.queue) > queuedBefore {
			c.queue[queuedBefore].queuedAt, c.queue[queuedBefore].expiresAt = queued.queuedAt, queued.expiresAt
		}
	}
}
