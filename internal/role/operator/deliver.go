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

// ErrNotInForce reports that some balancer did not confirm a contract in time.
var ErrNotInForce = eris.New("the contract is accepted, but not every balancer has confirmed it yet")

// ErrNoBalancer reports that no balancer answered.
var ErrNoBalancer = eris.New("no balancer can be reached")

const (
	maxDeliveries = 3
	callTimeout   = time.Second
	pollInterval  = 50 * time.Millisecond
	seedsTimeout  = time.Second
)

// Deliver sends an accepted contract to at most maxDeliveries balancers and returns
// how many acknowledged it.
func (o *Operator) Deliver(ctx context.Context, seeds []node.Seed, e catalogue.Entry) int {
	w, err := wire.FromEntry(e)
	if err != nil {
		return 0
	}
	return o.deliver(ctx, seeds, &wire.DeliverRequest{Contract: w})
}

// DeliverKeyring sends an accepted keyring to at most maxDeliveries balancers and
// returns how many acknowledged it.
func (o *Operator) DeliverKeyring(ctx context.Context, seeds []node.Seed, revision int64, value []byte) int {
	return o.deliver(ctx, seeds, &wire.DeliverRequest{Keyring: &wire.Keyring{Revision: revision, Value: value}})
}

func (o *Operator) deliver(ctx context.Context, seeds []node.Seed, req *wire.DeliverRequest) int {
	delivered := 0
	for _, s := range seeds {
		if delivered == maxDeliveries {
			break
		}
		if o.call(ctx, s.Control, func(ctx context.Context, c wire.DRPCControlClient) error {
			_, err := c.Deliver(ctx, req)
			return err
		}) == nil {
			delivered++
		}
	}
	return delivered
}

func (o *Operator) call(ctx context.Context, a netip.AddrPort, f func(context.Context, wire.DRPCControlClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := node.Dial(ctx, o.Identity, a)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	return f(ctx, wire.NewDRPCControlClient(conn))
}

// Seeds returns the recently started balancers, newest first. Call it before a
// write so that the write can be delivered even if the store then fails. It
// returns nil without an Identity or if the store does not answer.
func (o *Operator) Seeds(ctx context.Context) []node.Seed {
	ctx, cancel := context.WithTimeout(ctx, seedsTimeout)
	defer cancel()
	seeds, _, err := node.ReadSeeds(ctx, o.Store)
	if err != nil || o.Identity == nil {
		return nil
	}
	return seeds
}

// Status is the fleet as seen by one process.
type Status struct {
	Members         []membership.Member
	Versions        []catalogue.Version
	KeyringRevision int64
}

// Status returns the fleet's status from the first seed that answers, or
// ErrNoBalancer.
func (o *Operator) Status(ctx context.Context, seeds []node.Seed) (Status, error) {
	for _, s := range seeds {
		if st, err := o.fetchStatus(ctx, s.Control); err == nil {
			return st, nil
		}
	}
	return Status{}, ErrNoBalancer
}

func (o *Operator) fetchStatus(ctx context.Context, a netip.AddrPort) (Status, error) {
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

// AwaitInForce waits until every live balancer has the revision of e or a later
// one, and returns the number of balancers that have it. When ctx ends first, it
// returns ErrNotInForce, or ErrNoBalancer if none has it.
func (o *Operator) AwaitInForce(ctx context.Context, seeds []node.Seed, e catalogue.Entry) (int, error) {
	for {
		n, all := o.countInForce(ctx, seeds, e)
		if all && n > 0 {
			return n, nil
		}
		select {
		case <-ctx.Done():
			if n == 0 {
				return 0, ErrNoBalancer
			}
			return n, ErrNotInForce
		case <-time.After(pollInterval):
		}
	}
}

func (o *Operator) countInForce(ctx context.Context, seeds []node.Seed, e catalogue.Entry) (n int, all bool) {
	st, err := o.Status(ctx, seeds)
	if err != nil {
		return 0, false
	}
	all = true
	for _, m := range st.Members {
		if m.Role != membership.Balancer || !m.IsLive() {
			continue
		}
		s, err := o.fetchStatus(ctx, m.Control)
		if err != nil || !hasRevision(s, e.Customer, e.Revision) {
			all = false
			continue
		}
		n++
	}
	return n, all
}

func hasRevision(s Status, name contract.Customer, r contract.Revision) bool {
	for _, v := range s.Versions {
		if v.Customer == name {
			return v.Revision >= r
		}
	}
	return false
}
