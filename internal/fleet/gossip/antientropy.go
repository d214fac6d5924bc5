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

// spread passes news on to a few balancers, within the budget of bytes.
func (c *Core) spread(now instant.Instant) {
	peers := c.view.Balancers()
	wall := time.Unix(0, int64(now))
	if len(peers) == 0 || c.gossip.TokensAt(wall) <= 0 {
		return
	}
	members := c.view.Outgoing(recordsPerPacket, c.Fanout)
	versions := c.catalogue.NextGossip(versionsPerPacket, c.Fanout)
	if len(members)+len(versions) == 0 {
		return
	}
	e := c.records(members, versions)
	c.gossip.ReserveN(wall, min(c.Fanout*proto.Size(e), gossipBurst))
	for range c.Fanout {
		c.send(c.pick(peers), e)
	}
}

func (c *Core) records(members []membership.Member, versions []catalogue.Version) *wire.Envelope {
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
		k := min(len(members), recordsPerPacket)
		c.send(to, c.records(members[:k], nil))
		members = members[k:]
	}
}

func (c *Core) onRecords(now instant.Instant, r *wire.Records) {
	for _, m := range wire.ToMembers(r.GetMembers()) {
		if m.Address == c.self.Address {
			c.refute(now, m.Incarnation, m.Sequence, m.Suspect)
			continue
		}
		c.merge(now, m)
		if m.Role == membership.Balancer {
			c.noteContact(now, m.Address)
		}
	}
	if len(r.GetVersions()) > 0 {
		c.lastNews = now
	}
	c.pullWanted(now, wire.ToAddress(r.GetControl()), wire.ToVersions(r.GetVersions()), r.GetKeyringRevision())
}

// compare opens an anti-entropy exchange with one balancer. Now and then that is
// one that was lost, so that the parts of a cut fleet find each other again.
func (c *Core) compare(now instant.Instant) {
	if now.Sub(c.antiEntropy) < antiEntropyEvery {
		return
	}
	c.antiEntropy = now
	peers := c.view.Balancers()
	if c.Random(lostEvery) == 0 || len(peers) == 0 {
		if lost := append(c.view.Lost(), c.cfg.Seeds...); len(lost) > 0 {
			peers = lost
		}
	}
	if len(peers) == 0 {
		return
	}
	c.send(c.pick(peers), c.digest(false))
}

func (c *Core) digest(isReply bool) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Digest{Digest: &wire.Digest{
		Members: c.view.Digest(), Versions: c.catalogue.Digest(), KeyringRevision: c.keyringRev,
		Address: wire.FromAddress(c.self.Address), Control: wire.FromAddress(c.self.Control), Reply: isReply,
	}}}
}

func (c *Core) onDigest(now instant.Instant, d *wire.Digest) {
	from := wire.ToAddress(d.GetAddress())
	if d.GetMembers() != c.view.Digest() && from.IsValid() && !d.GetReply() {
		c.send(from, c.bucketHashes(false))
	}
	control := wire.ToAddress(d.GetControl())
	if d.GetVersions() == c.catalogue.Digest() {
		c.pullWanted(now, control, nil, d.GetKeyringRevision())
		return
	}
	// A change on its way makes versions differ for a moment; a full pull is for
	// what gossip missed.
	if now.Sub(c.lastNews) > newsTime {
		c.pull(control)
	}
	if !d.GetReply() && from.IsValid() {
		c.send(from, c.digest(true))
	}
}

func (c *Core) bucketHashes(isReply bool) *wire.Envelope {
	h := c.view.BucketHashes()
	return &wire.Envelope{Body: &wire.Envelope_Buckets{Buckets: &wire.Buckets{
		Hashes: h[:], Reply: isReply, Address: wire.FromAddress(c.self.Address),
	}}}
}

func (c *Core) onBuckets(b *wire.Buckets) {
	from := wire.ToAddress(b.GetAddress())
	if len(b.GetHashes()) != membership.Buckets || !from.IsValid() {
		return
	}
	if !b.GetReply() {
		c.send(from, c.bucketHashes(true))
	}
	c.sendRecords(c.view.Differing([membership.Buckets]uint64(b.GetHashes())), from)
}
