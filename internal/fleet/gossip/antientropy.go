package gossip

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/customer/catalogue"
	"github.com/jaytack/jaytack/internal/fleet/membership"
	"github.com/jaytack/jaytack/internal/fleet/wire"
)

// sendGossip sends pending records and versions to Fanout random balancers,
// within the rate limit.
func (c *Core) sendGossip(now instant.Instant) {
	peers := c.view.Balancers()
	wall := time.Unix(0, int64(now))
	if len(peers) == 0 || c.gossipLimiter.TokensAt(wall) <= 0 {
		return
	}
	members := c.view.NextGossip(recordsPerPacket, c.Fanout)
	versions := c.catalogue.NextGossip(versionsPerPacket, c.Fanout)
	if len(members)+len(versions) == 0 {
		return
	}
	e := c.newRecords(members, versions)
	c.gossipLimiter.ReserveN(wall, min(c.Fanout*proto.Size(e), gossipBurstBytes))
	for range c.Fanout {
		c.queueDatagram(c.randomAddress(peers), e)
	}
}

func (c *Core) newRecords(members []membership.Member, versions []catalogue.Version) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Records{Records: &wire.Records{
		Members:         wire.FromMembers(members),
		Versions:        wire.FromVersions(versions),
		KeyringRevision: c.keyringRev,
		Control:         wire.FromAddress(c.self.Control),
	}}}
}

// sendRecords sends records in as many datagrams as they need.
func (c *Core) sendRecords(members []membership.Member, to netip.AddrPort) {
	for len(members) > 0 {
		n := min(len(members), recordsPerPacket)
		c.queueDatagram(to, c.newRecords(members[:n], nil))
		members = members[n:]
	}
}

func (c *Core) handleRecords(now instant.Instant, r *wire.Records) {
	for _, m := range wire.ToMembers(r.GetMembers()) {
		if m.Address == c.self.Address {
			c.refute(now, m.Incarnation, m.Sequence, m.Suspect)
			continue
		}
		c.mergeMember(now, m)
		if m.Role == membership.Balancer {
			c.updateContact(now, m.Address)
		}
	}
	if len(r.GetVersions()) > 0 {
		c.lastVersionsReceived = now
	}
	c.requestNewer(now, wire.ToAddress(r.GetControl()), wire.ToVersions(r.GetVersions()), r.GetKeyringRevision())
}

// startAntiEntropy starts an exchange with a random balancer. One in
// exchangesPerSuspect goes to a suspect balancer or a seed, so that the parts of
// a partitioned fleet reconnect.
func (c *Core) startAntiEntropy(now instant.Instant) {
	if now.Sub(c.lastAntiEntropy) < antiEntropyInterval {
		return
	}
	c.lastAntiEntropy = now
	peers := c.view.Balancers()
	if c.Random(exchangesPerSuspect) == 0 || len(peers) == 0 {
		if fallback := append(c.view.SuspectBalancers(), c.cfg.Seeds...); len(fallback) > 0 {
			peers = fallback
		}
	}
	if len(peers) == 0 {
		return
	}
	c.queueDatagram(c.randomAddress(peers), c.newDigest(false))
}

func (c *Core) newDigest(isReply bool) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Digest{Digest: &wire.Digest{
		Members: c.view.Digest(), Versions: c.catalogue.Digest(), KeyringRevision: c.keyringRev,
		Address: wire.FromAddress(c.self.Address), Control: wire.FromAddress(c.self.Control), Reply: isReply,
	}}}
}

func (c *Core) handleDigest(now instant.Instant, d *wire.Digest) {
	from := wire.ToAddress(d.GetAddress())
	if d.GetMembers() != c.view.Digest() && from.IsValid() && !d.GetReply() {
		c.queueDatagram(from, c.newBuckets(false))
	}
	control := wire.ToAddress(d.GetControl())
	if d.GetVersions() == c.catalogue.Digest() {
		c.requestNewer(now, control, nil, d.GetKeyringRevision())
		return
	}
	// Versions differ briefly while gossip propagates a change; a full pull fetches
	// the changes that gossip missed.
	if now.Sub(c.lastVersionsReceived) > versionPropagationTime {
		c.requestFullPull(control)
	}
	if !d.GetReply() && from.IsValid() {
		c.queueDatagram(from, c.newDigest(true))
	}
}

func (c *Core) newBuckets(isReply bool) *wire.Envelope {
	h := c.view.BucketHashes()
	return &wire.Envelope{Body: &wire.Envelope_Buckets{Buckets: &wire.Buckets{
		Hashes: h[:], Reply: isReply, Address: wire.FromAddress(c.self.Address),
	}}}
}

func (c *Core) handleBuckets(b *wire.Buckets) {
	from := wire.ToAddress(b.GetAddress())
	if len(b.GetHashes()) != membership.BucketCount || !from.IsValid() {
		return
	}
	if !b.GetReply() {
		c.queueDatagram(from, c.newBuckets(true))
	}
	c.sendRecords(c.view.DifferingRecords([membership.BucketCount]uint64(b.GetHashes())), from)
}
