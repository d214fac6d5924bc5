package operator

import (
	"context"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jaytack/jaytack/internal/customer/catalogue"
	"github.com/jaytack/jaytack/internal/customer/contract"
	"github.com/jaytack/jaytack/internal/fleet/membership"
	"github.com/jaytack/jaytack/internal/fleet/node"
	"github.com/jaytack/jaytack/internal/fleet/wire"
)

// ErrNotInForce reports a contract that some balancer did not confirm in time.
var ErrNotInForce = eris.New("the contract is accepted, but not every balancer has confirmed it yet")

// ErrNoBalancer reports that no balancer could be asked.
var ErrNoBalancer = eris.New("no balancer can be reached")

const (
	deliverTo   = 3
	askTimeout  = time.Second
	pollPause   = 50 * time.Millisecond
	seedTimeout = time.Second
)

// Deliver hands an accepted contract to a few balancers and returns how many took it.
func (o *Operator) Deliver(ctx context.Context, seeds []node.Seed, e catalogue.Entry) int {
	w, err := wire.FromEntry(e)
	if err != nil {
		return 0
	}
	return o.deliver(ctx, seeds, &wire.DeliverRequest{Contract: w})
}

// DeliverKeyring hands an accepted keyring to a few balancers.
func (o *Operator) DeliverKeyring(ctx context.Context, seeds []node.Seed, revision int64, value []byte) int {
	return o.deliver(ctx, seeds, &wire.DeliverRequest{Keyring: &wire.Keyring{Revision: revision, Value: value}})
}

func (o *Operator) deliver(ctx context.Context, seeds []node.Seed, req *wire.DeliverRequest) int {
	taken := 0
	for _, s := range seeds {
		if taken == deliverTo {
			break
		}
		if o.call(ctx, s.Control, func(ctx context.Context, c wire.DRPCControlClient) error {
			_, err := c.Deliver(ctx, req)
			return err
		}) == nil {
			taken++
		}
	}
	return taken
}

func (o *Operator) call(ctx context.Context, a netip.AddrPort, f func(context.Context, wire.DRPCControlClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	conn, err := node.Dial(ctx, o.Identity, a)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	return f(ctx, wire.NewDRPCControlClient(conn))
}

// Seeds returns balancers that started lately, read before a write so that the
// write can be delivered in a store outage.
func (o *Operator) Seeds(ctx context.Context) []node.Seed {
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	seeds, _, err := node.ReadSeeds(ctx, o.Store)
	if err != nil || o.Identity == nil {
		return nil
	}
	return seeds
}

// Status is what one process says about the fleet.
type Status struct {
	Members         []membership.Member
	Versions        []catalogue.Version
	KeyringRevision int64
}

// Status asks the first of the seeds that answers.
func (o *Operator) Status(ctx context.Context, seeds []node.Seed) (Status, error) {
	for _, s := range seeds {
		if st, err := o.statusOf(ctx, s.Control); err == nil {
			return st, nil
		}
	}
	return Status{}, ErrNoBalancer
}

func (o *Operator) statusOf(ctx context.Context, a netip.AddrPort) (Status, error) {
	var st Status
	err := o.call(ctx, a, func(ctx context.Context, c wire.DRPCControlClient) error {
		res, err := c.Status(ctx, &wire.StatusRequest{})
		if err != nil {
			return err
		}
		st = Status{wire.ToMembers(res.GetMembers()), wire.ToVersions(res.GetVersions()), res.GetKeyringRevision()}
		return nil
	})
	return st, err
}

// AwaitInForce waits until every live balancer holds the revision, and returns
// their number.
func (o *Operator) AwaitInForce(ctx context.Context, seeds []node.Seed, e catalogue.Entry) (int, error) {
	for {
		n, all := o.inForce(ctx, seeds, e)
		if all && n > 0 {
			return n, nil
		}
		select {
		case <-ctx.Done():
			if n == 0 {
				return 0, ErrNoBalancer
			}
			return n, ErrNotInForce
		case <-time.After(pollPause):
		}
	}
}

func (o *Operator) inForce(ctx context.Context, seeds []node.Seed, e catalogue.Entry) (n int, all bool) {
	st, err := o.Status(ctx, seeds)
	if err != nil {
		return 0, false
	}
	all = true
	for _, m := range st.Members {
		if m.Role != membership.Balancer || !m.IsLive() {
			continue
		}
		s, err := o.statusOf(ctx, m.Control)
		if err != nil || !holds(s, e.Customer, e.Revision) {
			all = false
			continue
		}
		n++
	}
	return n, all
}

func holds(s Status, name contract.Customer, r contract.Revision) bool {
	for _, v := range s.Versions {
		if v.Customer == name {
			return v.Revision >= r
		}
	}
	return false
}
