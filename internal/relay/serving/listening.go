package serving

import (
	"time"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/message"
)

const (
	// ListenCheckInterval is the interval between checks whether the upstream listens.
	ListenCheckInterval = 250 * time.Millisecond
	// notListeningAfter is how long an upstream has to refuse connections before it counts
	// as down: longer than it takes to start listening if it starts with this process.
	notListeningAfter = 500 * time.Millisecond
)

// NeedsListenCheck reports whether the upstream is silent or has said that it is leaving, so that
// a connection attempt has to show whether it runs: one that hangs or is cut off accepts
// connections or does not answer, one that has ended refuses them.
func (c *Core) NeedsListenCheck() bool {
	return c.upstream.lastHeard == 0 && !c.upstream.absent || c.state == message.State_StateSilent || c.upstream.leaveNoticedAt != 0
}

// HandleListenCheck handles the result of a connection attempt to the upstream. An upstream
// that refuses connections has lost its flows: searches need not wait for this agent, and
// callers of its flows are told at once.
func (c *Core) HandleListenCheck(now instant.Instant, refused bool) {
	u := &c.upstream
	if !refused || !c.NeedsListenCheck() {
		u.refusedSince = 0
		return
	}
	if u.refusedSince == 0 || u.refusedSince < u.lastHeard {
		u.refusedSince = now
	}
	if u.leaveNoticedAt != 0 {
		c.recordLeft(now)
		return
	}
	if now.Sub(u.refusedSince) < notListeningAfter && !(u.lastHeard == 0 && u.leftBefore) {
		return
	}
	if u.lastHeard == 0 {
		u.absent = true
		c.LogStateChange("UpstreamAbsent", "Reason", "NotListening", "Refused", now.Sub(u.refusedSince))
		c.updateState(now)
		return
	}
	if c.flows.Len() > 0 {
		c.LogStateChange("UpstreamNotListening", "Upstream", u.Upstream, "Born", u.Born, "Heard", now.Sub(u.lastHeard), "Flows", c.flows.Len())
		c.resetAllFlows(now, "UpstreamNotListening")
	}
}
