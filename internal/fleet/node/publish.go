package node

import (
	"github.com/jaytack/jaytack/internal/customer/catalogue"
	"github.com/jaytack/jaytack/internal/fleet/membership"
	"github.com/jaytack/jaytack/internal/process/metrics"
)

// Publish adds the node's variables to a set.
func (n *Node) Publish(m *metrics.Set) {
	m.Func("Members", func() any { return n.count(func(v *membership.View, _ *catalogue.Catalogue) int { return v.Len() }) })
	m.Func("Contracts", func() any {
		return n.count(func(_ *membership.View, c *catalogue.Catalogue) int { return len(c.All()) })
	})
	m.Func("HighestRevision", func() any {
		return n.count(func(_ *membership.View, c *catalogue.Catalogue) int { return int(c.HighestRevision()) })
	})
	m.Func("ReversionsRefused", func() any {
		return n.count(func(_ *membership.View, c *catalogue.Catalogue) int { return c.Reversions })
	})
	m.Func("KeyringRevision", func() any { return n.KeyringRevision() })
	m.Func("Control", func() any { return n.Traffic() })
	m.Func("StoreReads", func() any { return n.Store.Calls.Reads.Load() })
	m.Func("StoreWrites", func() any { return n.Store.Calls.Writes.Load() })
	m.Func("StoreWatches", func() any { return n.Store.Calls.Watches.Load() })
	m.Func("StoreFailed", func() any { return n.Store.Calls.Failed.Load() })
}

func (n *Node) count(f func(v *membership.View, c *catalogue.Catalogue) int) int {
	k := 0
	n.WithView(func(v *membership.View, c *catalogue.Catalogue) { k = f(v, c) })
	return k
}
