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

// ErrKeyring reports a keyring that cannot be decoded or encoded.
var ErrKeyring = eris.New("keyring cannot be read")

// ApplyContract applies a committed contract and gossips its version, unless the
// same or a newer revision is in force.
func (c *Core) ApplyContract(now instant.Instant, e catalogue.Entry) {
	if !c.catalogue.Apply(e) {
		return
	}
	c.catalogue.ScheduleGossip(e.Customer, c.view.GossipSends())
	c.recordEvent(Event{Kind: ContractApplied, Contract: e, Revision: int64(e.Revision)})
	if e.Customer == c.cfg.Customer && !c.isBalancer() {
		c.updateServiceNumber(now, e)
	}
}

// updateServiceNumber sets an agent's service number from its contract.
func (c *Core) updateServiceNumber(now instant.Instant, e catalogue.Entry) {
	var number contract.ServiceNumber
	if s, ok := c.catalogue.FindService(e.Customer, c.cfg.Service); ok {
		number = s.Number
	}
	if number == c.self.Service {
		return
	}
	c.self.Service = number
	c.setSequence(now, c.self.Sequence+1)
	c.recordEvent(Event{Kind: ServiceAssigned, Member: c.self})
}

// ApplyKeyring applies a committed keyring, unless the same or a newer revision
// is in force. It returns ErrKeyring if value is malformed.
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
		if _, ok := c.keyAppliedAt[d.ID]; !ok {
			c.keyAppliedAt[d.ID] = now
		}
	}
	c.recordEvent(Event{Kind: KeyringApplied, Revision: revision})
	return nil
}

// NewFullPullRequest returns a request for everything that this process lacks.
func (c *Core) NewFullPullRequest() *wire.PullRequest {
	return &wire.PullRequest{
		Have: wire.FromVersions(c.catalogue.Versions()), KeyringRevision: c.keyringRev, Customer: string(c.cfg.Customer),
	}
}

// HandlePull returns the contracts and the keyring that the requesting process lacks,
// and some balancers. It fails if one of them cannot be encoded.
func (c *Core) HandlePull(req *wire.PullRequest) (*wire.PullReply, error) {
	have := make(map[contract.Customer]contract.Revision)
	for _, v := range wire.ToVersions(req.GetHave()) {
		have[v.Customer] = v.Revision
	}
	res := &wire.PullReply{}
	for _, e := range c.catalogue.All() {
		if e.Revision <= have[e.Customer] || !isRequested(req, e.Customer) {
			continue
		}
		wireContract, err := wire.FromEntry(e)
		if err != nil {
			return nil, err
		}
		res.Contracts = append(res.Contracts, wireContract)
	}
	if c.keyringRev > req.GetKeyringRevision() {
		b, err := c.keyring.Encode()
		if err != nil {
			return nil, eris.Wrap(ErrKeyring, err.Error())
		}
		res.Keyring = &wire.Keyring{Revision: c.keyringRev, Value: b}
	}
	for i, a := range c.view.Balancers() {
		if m, ok := c.view.Member(a); ok && i < maxPullBalancers {
			res.Balancers = append(res.Balancers, wire.FromMember(m))
		}
	}
	return res, nil
}

// isRequested reports whether a pull includes a customer's contract.
func isRequested(req *wire.PullRequest, name contract.Customer) bool {
	if req.GetCustomer() != "" {
		return req.GetCustomer() == string(name)
	}
	return len(req.GetHave()) > 0 || len(req.GetWanted()) == 0 || slices.Contains(req.GetWanted(), string(name))
}

// HandlePullReply applies the reply to a pull. It skips malformed parts and returns
// the last error.
func (c *Core) HandlePullReply(now instant.Instant, res *wire.PullReply) error {
	var lastErr error
	for _, wireContract := range res.GetContracts() {
		e, err := wire.ToEntry(wireContract)
		if err != nil {
			lastErr = err
			continue
		}
		c.ApplyContract(now, e)
	}
	if k := res.GetKeyring(); k != nil {
		if err := c.ApplyKeyring(now, k.GetRevision(), k.GetValue()); err != nil {
			lastErr = err
		}
	}
	for _, m := range wire.ToMembers(res.GetBalancers()) {
		if m.Address != c.self.Address {
			c.mergeMember(now, m)
			c.updateContact(now, m.Address)
		}
	}
	return lastErr
}
