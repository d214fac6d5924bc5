// Package operator creates, changes and retires contracts.
//
// A contract is accepted when its compare-and-swap in the store has taken
// effect. The operator's command then delivers it to a few balancers itself, so
// that it comes into force also if the store fails just then. When the answer
// of the store is lost, the command finds out whether the write took effect.
//
// # Usage
//
//	o := operator.New(store, identity)
//	accepted, err := o.Create(ctx, c)
//	accepted, err := o.Change(ctx, c, baseRevision)
//	err := o.AwaitInForce(ctx, accepted)
//
// Errors are ErrExists, ErrMissing, ErrLost, ErrUndecided, ErrStore or
// contract.Problems.
package operator

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/jaytack/jaytack/internal/customer/catalogue"
	"github.com/jaytack/jaytack/internal/customer/contract"
	"github.com/jaytack/jaytack/internal/flow/connid"
	"github.com/jaytack/jaytack/internal/process/identity"
	"github.com/jaytack/jaytack/internal/process/store"
)

var (
	// ErrExists reports a customer that has a contract already.
	ErrExists = eris.New("the customer has a contract already; change it instead")
	// ErrMissing reports a customer without a contract.
	ErrMissing = eris.New("the customer has no contract")
	// ErrConflict reports that another operator changed the contract first.
	ErrConflict = eris.New("another operator changed the contract first; nothing was written")
	// ErrUndecided reports that the store did not say whether a write took effect.
	ErrUndecided = eris.New("the store did not answer; the write may have taken effect: look at it with show")
	// ErrStore reports a store that does not answer; nothing was written.
	ErrStore = eris.New("the store does not answer; nothing was written")
)

// Accepted is a change that has taken effect.
type Accepted struct {
	// Entry is the contract as it stands, which another operator may have
	// changed again since.
	catalogue.Entry
	Change contract.ChangeID
}

const retryPause = 200 * time.Millisecond

// Operator acts for one person at the command line.
type Operator struct {
	Store *store.Client
	// Identity lets the operator deliver to balancers; without it they learn from the store.
	Identity *identity.Identity
	now      func() time.Time
}

// New returns an operator.
func New(st *store.Client, id *identity.Identity) *Operator {
	return &Operator{Store: st, Identity: id, now: time.Now}
}

// edit turns the present state of a contract into the next; before.Revision is 0
// where there is none.
type edit func(before catalogue.Entry) (contract.Stored, error)

// Create accepts the contract of a new customer.
func (o *Operator) Create(ctx context.Context, c contract.Contract) (Accepted, error) {
	return o.write(ctx, c.Customer, 0, func(before catalogue.Entry) (contract.Stored, error) {
		if before.Revision != 0 && !before.Stored.Retired {
			return contract.Stored{}, ErrExists
		}
		return contract.Stored{Contract: c}, nil
	})
}

// Change replaces a contract. A base other than 0 is the revision that the
// operator has seen: with any other revision in the store the change is lost.
func (o *Operator) Change(ctx context.Context, c contract.Contract, base contract.Revision) (Accepted, error) {
	return o.write(ctx, c.Customer, base, func(before catalogue.Entry) (contract.Stored, error) {
		if before.Revision == 0 || before.Stored.Retired {
			return contract.Stored{}, ErrMissing
		}
		return contract.Stored{Contract: c}, nil
	})
}

// Retire ends a contract; a tombstone stays.
func (o *Operator) Retire(ctx context.Context, name contract.Customer, base contract.Revision) (Accepted, error) {
	return o.write(ctx, name, base, func(before catalogue.Entry) (contract.Stored, error) {
		if before.Revision == 0 || before.Stored.Retired {
			return contract.Stored{}, ErrMissing
		}
		return contract.Stored{Contract: before.Stored.Contract, Retired: true}, nil
	})
}

// Show returns a contract as it stands in the store.
func (o *Operator) Show(ctx context.Context, name contract.Customer) (catalogue.Entry, error) {
	e, err := o.read(ctx, name)
	if err == nil && e.Revision == 0 {
		err = ErrMissing
	}
	return e, err
}

// List returns all contracts, retired ones too.
func (o *Operator) List(ctx context.Context) ([]catalogue.Entry, error) {
	kvs, err := o.Store.List(ctx, store.ContractPrefix)
	if err != nil {
		return nil, eris.Wrap(ErrStore, err.Error())
	}
	out := make([]catalogue.Entry, 0, len(kvs))
	for _, kv := range kvs {
		e, err := entryOf(kv)
		if err != nil {
			return nil, err
		}
		out = append(out, e)
	}
	return out, nil
}

func contractKey(name contract.Customer) store.Key {
	return store.ContractPrefix + store.Key(name)
}

func (o *Operator) read(ctx context.Context, name contract.Customer) (catalogue.Entry, error) {
	kv, err := o.Store.Get(ctx, contractKey(name))
	if err != nil {
		return catalogue.Entry{}, eris.Wrap(ErrStore, err.Error())
	}
	if kv.Revision == 0 {
		return catalogue.Entry{Customer: name}, nil
	}
	return entryOf(kv)
}

func entryOf(kv store.KV) (catalogue.Entry, error) {
	e := catalogue.Entry{Customer: contract.Customer(kv.Key[len(store.ContractPrefix):]), Revision: contract.Revision(kv.Revision)}
	if err := json.Unmarshal(kv.Value, &e.Stored); err != nil {
		return e, eris.Wrap(err, "contract in the store cannot be read")
	}
	return e, nil
}

// index is the index with the revision at which it was read.
type index struct {
	contract.Index
	revision store.Revision
}

func (o *Operator) readIndex(ctx context.Context) (index, error) {
	kv, err := o.Store.Get(ctx, store.IndexKey)
	if err != nil {
		return index{}, eris.Wrap(ErrStore, err.Error())
	}
	x := index{revision: kv.Revision}
	if kv.Revision == 0 {
		return x, nil
	}
	if err := json.Unmarshal(kv.Value, &x.Index); err != nil {
		return x, eris.Wrap(err, "index in the store cannot be read")
	}
	return x, nil
}

// write commits an edit. It tries again while only other contracts change.
func (o *Operator) write(ctx context.Context, name contract.Customer, base contract.Revision, f edit) (Accepted, error) {
	id := contract.ChangeID(uuid.NewString())
	before, err := o.read(ctx, name)
	if err != nil {
		return Accepted{}, err
	}
	if base != 0 && before.Revision != base {
		return Accepted{}, ErrConflict
	}
	next, err := f(before)
	if err != nil {
		return Accepted{}, err
	}
	next.Change, next.Written = id, o.now().UTC()
	if before.Revision != 0 {
		next.Earlier = append([]contract.ChangeID{before.Stored.Change}, before.Stored.Earlier...)
		next.Earlier = next.Earlier[:min(len(next.Earlier), contract.MaxEarlier)]
	}
	for {
		e, again, err := o.commit(ctx, before, next)
		if !again {
			return Accepted{e, id}, err
		}
	}
}

// commit tries one compare-and-swap; again means that the index changed.
func (o *Operator) commit(ctx context.Context, before catalogue.Entry, next contract.Stored) (e catalogue.Entry, again bool, err error) {
	x, err := o.readIndex(ctx)
	if err != nil {
		return before, false, err
	}
	entered, next, err := enter(x, before.Customer, next)
	if err != nil {
		return before, false, err
	}
	value, err := json.Marshal(next)
	if err != nil {
		return before, false, eris.Wrap(err, "encode contract")
	}
	indexValue, err := json.Marshal(entered)
	if err != nil {
		return before, false, eris.Wrap(err, "encode index")
	}
	key := contractKey(before.Customer)
	conditions := []store.Compare{{Key: store.IndexKey, Revision: x.revision}, {Key: key, Revision: store.Revision(before.Revision)}}
	puts := []store.Put{{Key: store.IndexKey, Value: indexValue}, {Key: key, Value: value}}
	rev, ok, uncertain, err := o.settle(ctx, conditions, puts)
	if err != nil {
		return before, false, err
	}
	if ok {
		return catalogue.Entry{Customer: before.Customer, Revision: contract.Revision(rev), Stored: next}, false, nil
	}
	return o.refused(ctx, before, next, uncertain)
}

// enter puts a contract into the index, or takes a retired one out.
func enter(x index, name contract.Customer, next contract.Stored) (contract.Index, contract.Stored, error) {
	if next.Retired {
		return x.Remove(name), next, nil
	}
	var problems contract.Problems
	for _, c := range x.Conflicts(next.Contract) {
		problems = append(problems, contract.Problem{
			File: string(name), Field: "Services.Addresses", Reason: c.Address.String() + " is already an address of customer " + string(c.Holder),
		})
	}
	if len(problems) > 0 {
		return contract.Index{}, next, problems
	}
	out, c := x.Add(next.Contract)
	next.Contract = c
	return out, next, nil
}

// settle commits until the store gives an answer. The conditions hold at most
// once, so that trying again never writes twice. uncertain is set where an
// earlier try went without an answer.
func (o *Operator) settle(ctx context.Context, conditions []store.Compare, puts []store.Put) (rev store.Revision, ok, uncertain bool, err error) {
	for {
		rev, ok, err = o.Store.Commit(ctx, conditions, puts)
		if err == nil {
			return rev, ok, uncertain, nil
		}
		if errors.Is(err, store.ErrOutcomeUnknown) {
			uncertain = true
		} else if !uncertain {
			return 0, false, false, eris.Wrap(ErrStore, err.Error())
		}
		select {
		case <-ctx.Done():
			return 0, false, uncertain, ErrUndecided
		case <-time.After(retryPause):
		}
	}
}

// refused finds out why a commit's conditions did not hold.
func (o *Operator) refused(ctx context.Context, before catalogue.Entry, next contract.Stored, uncertain bool) (catalogue.Entry, bool, error) {
	now, err := o.read(ctx, before.Customer)
	if err != nil {
		if uncertain {
			return before, false, ErrUndecided
		}
		return before, false, err
	}
	switch {
	case now.Revision != 0 && now.Stored.IncludesChange(next.Change):
		return now, false, nil
	case now.Revision != before.Revision:
		return now, false, ErrConflict
	}
	return before, true, nil
}

// Rotate adds a key to the fleet's keyring.
func (o *Operator) Rotate(ctx context.Context) (revision int64, value []byte, err error) {
	kv, err := o.Store.Get(ctx, store.KeyringKey)
	if err != nil {
		return 0, nil, eris.Wrap(ErrStore, err.Error())
	}
	var ring connid.Keyring
	if kv.Revision != 0 {
		if ring, err = connid.DecodeKeyring(kv.Value); err != nil {
			return 0, nil, eris.Wrap(err, "keyring in the store cannot be read")
		}
	}
	secret := make([]byte, connid.SecretLength)
	if _, err := rand.Read(secret); err != nil {
		return 0, nil, eris.Wrap(err, "random secret")
	}
	if value, err = ring.Rotate(secret, o.now().UTC()).Encode(); err != nil {
		return 0, nil, eris.Wrap(err, "encode keyring")
	}
	conditions := []store.Compare{{Key: store.KeyringKey, Revision: kv.Revision}}
	rev, ok, uncertain, err := o.settle(ctx, conditions, []store.Put{{Key: store.KeyringKey, Value: value}})
	if err != nil {
		return 0, nil, err
	}
	if ok {
		return int64(rev), value, nil
	}
	now, err := o.Store.Get(ctx, store.KeyringKey)
	if err == nil && uncertain && slices.Equal(now.Value, value) {
		return int64(now.Revision), value, nil
	}
	return 0, nil, ErrConflict
}
