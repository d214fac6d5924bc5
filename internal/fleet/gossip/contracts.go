package gossip

import (
	"slices"

	"github.com/rotisserie/eris"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/customer/catalogue"
	"github.com/jaytack/jaytack/internal/customer/contract"
	"github.com/jaytack/jaytack/internal/fleet/wire"
	"github.com/jaytack/jaytack/internal/flow/connid"
)

// ErrKeyring reports a keyring that cannot be read.
var ErrKeyring = eris.New("keyring cannot be read")

// ApplyContract puts a committed contract in force unless a newer one is.
func (c *Core) ApplyContract(now instant.Instant, e catalogue.Entry) {
	if !c.catalogue.Apply(e) {
		return
	}
	c.catalogue.ScheduleGossip(e.Customer, c.view.Sends())
	c.event(Event{Kind: ContractApplied, Contract: e, Revision: int64(e.Revision)})
	if e.Customer == c.cfg.Customer && !c.isBalancer() {
		c.enterService(now, e)
	}
}

// enterService gives an agent the number of its service.
func (c *Core) enterService(now instant.Instant, e catalogue.Entry) {
	var number contract.ServiceNumber
	if s, ok := c.catalogue.FindService(e.Customer, c.cfg.Service); ok {
		number = s.Number
	}
	if number == c.self.Service {
		return
	}
	c.self.Service = number
	c.raise(now, c.self.Sequence+1)
	c.event(Event{Kind: ServiceAssigned, Member: c.self})
}

// ApplyKeyring puts a committed keyring in force unless a newer one is. It
// fails with ErrKeyring.
func (c *Core) ApplyKeyring(now instant.Instant, revision int64, value []byte) error {
	k, err := connid.DecodeKeyring(value)
	if err != nil {
		return eris.Wrap(ErrKeyring, err.Error())
	}
	if revision <= c.keyringRev {
		return nil
	}
	c.keyring, c.keyringRev = k, revision
	for _, d := range k.Keys {
		if _, ok := c.keySeen[d.ID]; !ok {
			c.keySeen[d.ID] = now
		}
	}
	c.event(Event{Kind: KeyringApplied, Revision: revision})
	return nil
}

// PullRequest returns what this process holds, for another to add to it.
func (c *Core) PullRequest() *wire.PullRequest {
	return &wire.PullRequest{
		Have: wire.FromVersions(c.catalogue.Versions()), KeyringRevision: c.keyringRev, Customer: string(c.cfg.Customer),
	}
}

// HandlePull returns the contracts and the keyring that the asking process lacks.
func (c *Core) HandlePull(req *wire.PullRequest) (*wire.PullReply, error) {
	have := make(map[contract.Customer]contract.Revision)
	for _, v := range wire.ToVersions(req.GetHave()) {
		have[v.Customer] = v.Revision
	}
	res := &wire.PullReply{}
	for _, e := range c.catalogue.All() {
		if e.Revision <= have[e.Customer] || !asked(req, e.Customer) {
			continue
		}
		w, err := wire.FromEntry(e)
		if err != nil {
			return nil, err
		}
		res.Contracts = append(res.Contracts, w)
	}
	if c.keyringRev > req.GetKeyringRevision() {
		b, err := c.keyring.Encode()
		if err != nil {
			return nil, eris.Wrap(ErrKeyring, err.Error())
		}
		res.Keyring = &wire.Keyring{Revision: c.keyringRev, Value: b}
	}
	for i, a := range c.view.Balancers() {
		if m, ok := c.view.Member(a); ok && i < pullBalancers {
			res.Balancers = append(res.Balancers, wire.FromMember(m))
		}
	}
	return res, nil
}

// asked reports whether a pull is about a customer.
func asked(req *wire.PullRequest, name contract.Customer) bool {
	if req.GetCustomer() != "" {
		return req.GetCustomer() == string(name)
	}
	return len(req.GetHave()) > 0 || len(req.GetWanted()) == 0 || slices.Contains(req.GetWanted(), string(name))
}

// HandlePullReply takes in what another process had; malformed parts are left out and
// reported together.
func (c *Core) HandlePullReply(now instant.Instant, res *wire.PullReply) error {
	var failed error
	for _, w := range res.GetContracts() {
		e, err := wire.ToEntry(w)
		if err != nil {
			failed = err
			continue
		}
		c.ApplyContract(now, e)
	}
	if k := res.GetKeyring(); k != nil {
		if err := c.ApplyKeyring(now, k.GetRevision(), k.GetValue()); err != nil {
			failed = err
		}
	}
	for _, m := range wire.ToMembers(res.GetBalancers()) {
		if m.Address != c.self.Address {
			c.merge(now, m)
			c.noteContact(now, m.Address)
		}
	}
	return failed
}
