package serving

import (
	"slices"
	"time"

	"github.com/jaytack/jaytack/internal/relay/flowtable"
	"github.com/jaytack/jaytack/internal/relay/message"
)

const (
	// minCheckpointAge is how much earlier than the upstream's last heartbeat a flow must
	// have been open to be in a checkpoint: longer than a heartbeat may be under way, so
	// that the upstream with that heartbeat, and no later one, holds the flow.
	minCheckpointAge = time.Second
	// maxCheckpointFlows limits the flows of a checkpoint, about 30 bytes each.
	maxCheckpointFlows = 1024
)

// Checkpoint returns the open flows, nil if there are none. After the agent and its
// upstream have both been lost, the next agent resets these flows. Otherwise callers
// would learn only by their next packet that a flow has ended: a request that may run
// once at most would be lost, and others would wait for a retransmission.
func (c *Core) Checkpoint() *message.Checkpoint {
	if !c.upstream.hasHeartbeat {
		return nil
	}
	cp := &message.Checkpoint{UpstreamBorn: c.upstream.Born}
	c.flows.All(func(f *flowtable.Flow) {
		if c.isHeldByKnownUpstream(f) && len(cp.Flows) < maxCheckpointFlows {
			cp.Flows = append(cp.Flows, &message.CheckpointFlow{Flow: message.FlowOf(f.ID), LastAck: f.LastAck})
		}
	})
	if len(cp.Flows) == 0 {
		return nil
	}
	return cp
}

// isHeldByKnownUpstream reports whether the upstream of the last heartbeat, or an earlier
// one, certainly holds or held an open flow: a later upstream may have started unheard.
func (c *Core) isHeldByKnownUpstream(f *flowtable.Flow) bool {
	return f.Phase == flowtable.Open && f.LastAck != 0 && f.OpenSince.Add(minCheckpointAge) <= c.upstream.lastHeartbeat
}

// RestoreCheckpoint receives the checkpoint of an earlier process of this agent.
func (c *Core) RestoreCheckpoint(cp *message.Checkpoint) {
	c.checkpoint = cp
	c.applyCheckpoint()
}

// holdsFlowOf reports whether the upstream has shown that it holds a flow of a checkpoint, so that
// it is the one that held the others too.
func (c *Core) holdsFlowOf(cp *message.Checkpoint) bool {
	return slices.ContainsFunc(cp.Flows, func(f *message.CheckpointFlow) bool {
		known := c.flows.Get(f.GetFlow().ID())
		return known != nil && known.IsHeld()
	})
}

// applyCheckpoint resets the flows of the earlier process's checkpoint if their upstream
// has been replaced, and drops it if the upstream still runs.
func (c *Core) applyCheckpoint() {
	cp := c.checkpoint
	if cp == nil || !c.upstream.hasHeartbeat {
		return
	}
	c.checkpoint = nil
	if c.upstream.Born <= cp.UpstreamBorn || c.holdsFlowOf(cp) {
		return
	}
	c.LogStateChange("CheckpointApplied", "Born", c.upstream.Born, "BornBefore", cp.UpstreamBorn, "Flows", len(cp.Flows))
	for _, f := range cp.Flows {
		if id := f.GetFlow().ID(); c.flows.Get(id) == nil {
			c.resetFlow(id, f.LastAck, "UpstreamReplaced")
		}
	}
}
