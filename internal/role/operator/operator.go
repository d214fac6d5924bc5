// Package operator creates, changes and retires contracts.
//
// A contract is accepted when its compare-and-swap in the store has taken
// effect. The command then delivers it directly to a few balancers, so that it
// comes into force even if the store fails right after the write. If the store's
// answer is lost, the command finds out whether the write took effect.
//
// # Usage
//
//	o := operator.New(store, identity)
//	accepted, err := o.Create(ctx, c)
//	accepted, err := o.Change(ctx, c, baseRevision)
//	n, err := o.AwaitInForce(ctx, seeds, accepted.Entry)
//
// Errors are ErrExists, ErrNotFound, ErrConflict, ErrWriteUncertain,
// ErrStoreUnavailable, ErrNoBalancer, ErrNotInForce or contract.Problems.
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
	// ErrExists reports that the customer already has a contract.
	ErrExists = eris.New("the customer already has a contract; use change to modify it")
	// ErrNotFound reports that the customer has no contract.
	ErrNotFound = eris.New("the customer has no contract")
	// ErrConflict reports that another operator changed the contract first.
	ErrConflict = eris.New("another operator changed the contract first; nothing was written")
	// ErrWriteUncertain reports that it is unknown whether a write took effect.
	ErrWriteUncertain = eris.New("the store did not answer; the write may have taken effect: check with show")
	// ErrStoreUnavailable reports that the store does not answer; nothing was
	// written.
	ErrStoreUnavailable = eris.New("the store does not answer; nothing was written")
)

// Accepted is a change that has taken effect.
type Accepted struct {
	// Entry is the stored contract. It is a later revision if another operator
	// changed the contract in the meantime.
	catalogue.Entry
	Change contract.ChangeID
}

const retryInterval = 200 * time.Millisecond

// Operator reads and writes contracts on behalf of a command-line user.
type Operator struct {
	Store *store.Client
	// Identity authenticates deliveries to balancers. If nil, nothing is delivered
	// and balancers read the change from the store.
	Identity *identity.Identity
	now      func() time.Time
}

// New returns an operator.
func New(st *store.Client, id *identity.Identity) *Operator {
	return &Operator{Store: st, Identity: id, now: time.Now}
}

// edit returns the new value of a contract. before is its current entry;
// before.Revision is 0 if there is none.
type edit func(before catalogue.Entry) (contract.Stored, error)

// Create writes the contract of a new customer, or of one whose contract is
// retired.
func (o *Operator) Create(ctx context.Context, c contract.Contract) (Accepted, error) {
	return o.write(ctx, c.Customer, 0, func(before catalogue.Entry) (contract.Stored, error) {
		if before.Revision != 0 && !before.Stored.Retired {
			return contract.Stored{}, ErrExists
		}
		return contract.Stored{Contract: c}, nil
	})
}

// Change replaces a contract. If base is not 0, it must equal the revision in the
// store; otherwise the change fails as a conflict and nothing is written.
func (o *Operator) Change(ctx context.Context, c contract.Contract, base contract.Revision) (Accepted, error) {
	return o.write(ctx, c.Customer, base, func(before catalogue.Entry) (contract.Stored, error) {
		if before.Revision == 0 || before.Stored.Retired {
			return contract.Stored{}, ErrNotFound
		}
		return contract.Stored{Contract: c}, nil
	})
}

// Retire marks a contract as retired; it stays in the store as a tombstone.
// base is used as in Change.
func (o *Operator) Retire(ctx context.Context, name contract.Customer, base contract.Revision) (Accepted, error) {
	return o.write(ctx, name, base, func(before catalogue.Entry) (contract.Stored, error) {
		if before.Revision == 0 || before.Stored.Retired {
			return contract.Stored{}, ErrNotFound
		}
		return contract.Stored{Contract: before.Stored.Contract, Retired: true}, nil
	})
}

// Show returns a contract from the store.
func (o *Operator) Show(ctx context.Context, name contract.Customer) (catalogue.Entry, error) {
	v, err := o.read(ctx, name)
	if err == nil && v.Revision == 0 {
		err = ErrNotFound
	}
	return v.Entry, err
}

// List returns all contracts, including retired ones.
func (o *Operator) List(ctx context.Context) ([]catalogue.Entry, error) {
	kvs, err := o.Store.List(ctx, store.ContractPrefix)
	if err != nil {
		return nil, eris.Wrap(ErrStoreUnavailable, err.Error())
	}
	out := make([]catalogue.Entry, 0, len(kvs))
	for _, kv := range kvs {
		v, err := decodeEntry(kv)
		if err != nil {
			return nil, err
		}
		out = append(out, v.Entry)
	}
	return out, nil
}

func contractKey(name contract.Customer) store.Key {
	return store.ContractPrefix + store.Key(name)
}

// versionedEntry is a contract and the store's revision of its key.
type versionedEntry struct {
	catalogue.Entry
	modRevision store.Revision
}

func (o *Operator) read(ctx context.Context, name contract.Customer) (versionedEntry, error) {
	kv, err := o.Store.Get(ctx, contractKey(name))
	if err != nil {
		return versionedEntry{}, eris.Wrap(ErrStoreUnavailable, err.Error())
	}
	if kv.Revision == 0 {
		return versionedEntry{Entry: catalogue.Entry{Customer: name}}, nil
	}
	return decodeEntry(kv)
}

func decodeEntry(kv store.KV) (versionedEntry, error) {
	e, err := catalogue.DecodeEntry(contract.Customer(kv.Key[len(store.ContractPrefix):]), kv.Value, int64(kv.Revision))
	return versionedEntry{e, kv.Revision}, err
}

// versionedIndex is the contract index and the store revision at which it was read.
type versionedIndex struct {
	contract.Index
	revision store.Revision
}

func (o *Operator) readIndex(ctx context.Context) (versionedIndex, error) {
	kv, err := o.Store.Get(ctx, store.IndexKey)
	if err != nil {
		return versionedIndex{}, eris.Wrap(ErrStoreUnavailable, err.Error())
	}
	idx := versionedIndex{revision: kv.Revision}
	if kv.Revision == 0 {
		return idx, nil
	}
	if err := json.Unmarshal(kv.Value, &idx.Index); err != nil {
		return idx, eris.Wrap(err, "index in the store cannot be read")
	}
	return idx, nil
}

// write applies an edit and commits the result, and retries as long as only
// other contracts have changed.
func (o *Operator) write(ctx context.Context, name contract.Customer, base contract.Revision, apply edit) (Accepted, error) {
	id := contract.ChangeID(uuid.NewString())
	before, err := o.read(ctx, name)
	if err != nil {
		return Accepted{}, err
	}
	if base != 0 && before.Revision != base {
		return Accepted{}, ErrConflict
	}
	next, err := apply(before.Entry)
	if err != nil {
		return Accepted{}, err
	}
	next.Change, next.Written = id, o.now().UTC()
	next.Revision = contract.NextRevision(before.Revision, next.Written)
	if before.Revision != 0 {
		next.Earlier = append([]contract.ChangeID{before.Stored.Change}, before.Stored.Earlier...)
		next.Earlier = next.Earlier[:min(len(next.Earlier), contract.MaxEarlier)]
	}
	for {
		e, retry, err := o.commit(ctx, before, next)
		if !retry {
			return Accepted{e, id}, err
		}
	}
}

// commit makes one compare-and-swap. retry is set if only the index changed.
func (o *Operator) commit(ctx context.Context, before versionedEntry, next contract.Stored) (e catalogue.Entry, retry bool, err error) {
	idx, err := o.readIndex(ctx)
	if err != nil {
		return before.Entry, false, err
	}
	newIndex, next, err := updateIndex(idx, before.Customer, next)
	if err != nil {
		return before.Entry, false, err
	}
	value, err := json.Marshal(next)
	if err != nil {
		return before.Entry, false, eris.Wrap(err, "encode contract")
	}
	indexValue, err := json.Marshal(newIndex)
	if err != nil {
		return before.Entry, false, eris.Wrap(err, "encode index")
	}
	key := contractKey(before.Customer)
	conditions := []store.Compare{{Key: store.IndexKey, Revision: idx.revision}, {Key: key, Revision: before.modRevision}}
	puts := []store.Put{{Key: store.IndexKey, Value: indexValue}, {Key: key, Value: value}}
	ok, uncertain, err := o.commitWithRetry(ctx, conditions, puts)
	if err != nil {
		return before.Entry, false, err
	}
	if ok {
		return catalogue.Entry{Customer: before.Customer, Revision: next.Revision, Stored: next}, false, nil
	}
	return o.resolveRefusedCommit(ctx, before, next, uncertain)
}

// updateIndex adds a contract to the index and numbers its services, or removes
// a retired contract. It reports service addresses of other customers as problems.
func updateIndex(idx versionedIndex, name contract.Customer, next contract.Stored) (contract.Index, contract.Stored, error) {
	if next.Retired {
		return idx.Remove(name), next, nil
	}
	var problems contract.Problems
	for _, numbered := range idx.Conflicts(next.Contract) {
		problems = append(problems, contract.Problem{
			File: string(name), Field: "Services.Addresses", Reason: numbered.Address.String() + " is already an address of customer " + string(numbered.Holder),
		})
	}
	if len(problems) > 0 {
		return contract.Index{}, next, problems
	}
	newIndex, numbered := idx.Add(next.Contract)
	next.Contract = numbered
	return newIndex, next, nil
}

// commitWithRetry commits and, while the result is unknown, retries until the store
// answers or ctx ends. The conditions can hold only once, so a retry never writes
// twice. uncertain reports that the result of an earlier try is unknown.
func (o *Operator) commitWithRetry(ctx context.Context, conditions []store.Compare, puts []store.Put) (ok, uncertain bool, err error) {
	for {
		_, ok, err = o.Store.Commit(ctx, conditions, puts)
		if err == nil {
			return ok, uncertain, nil
		}
		if errors.Is(err, store.ErrOutcomeUnknown) {
			uncertain = true
		} else if !uncertain {
			return false, false, eris.Wrap(ErrStoreUnavailable, err.Error())
		}
		select {
		case <-ctx.Done():
			return false, uncertain, ErrWriteUncertain
		case <-time.After(retryInterval):
		}
	}
}

// resolveRefusedCommit determines why the conditions of a commit did not hold: an
// earlier try took effect, another operator changed the contract, or only the
// index changed, in which case the commit is to be retried.
func (o *Operator) resolveRefusedCommit(ctx context.Context, before versionedEntry, next contract.Stored, uncertain bool) (catalogue.Entry, bool, error) {
	current, err := o.read(ctx, before.Customer)
	if err != nil {
		if uncertain {
			return before.Entry, false, ErrWriteUncertain
		}
		return before.Entry, false, err
	}
	switch {
	case current.Revision != 0 && current.Stored.IncludesChange(next.Change):
		return current.Entry, false, nil
	case current.modRevision != before.modRevision:
		return current.Entry, false, ErrConflict
	}
	return before.Entry, true, nil
}

// Rotate adds a random key to the fleet's keyring and returns the keyring's revision and
// encoded value.
func (o *Operator) Rotate(ctx context.Context) (revision int64, value []byte, err error) {
	kv, err := o.Store.Get(ctx, store.KeyringKey)
	if err != nil {
		return 0, nil, eris.Wrap(ErrStoreUnavailable, err.Error())
	}
	var ring connid.Keyring
	if kv.Revision != 0 {
		if ring, err = connid.DecodeStoredKeyring(kv.Value, int64(kv.Revision)); err != nil {
			return 0, nil, eris.Wrap(err, "keyring in the store cannot be read")
		}
	}
	secret := make([]byte, connid.SecretLength)
	if _, err := rand.Read(secret); err != nil {
		return 0, nil, eris.Wrap(err, "generate random secret")
	}
	ring = ring.Rotate(secret, o.now().UTC())
	if value, err = ring.Encode(); err != nil {
		return 0, nil, eris.Wrap(err, "encode keyring")
	}
	conditions := []store.Compare{{Key: store.KeyringKey, Revision: kv.Revision}}
	ok, uncertain, err := o.commitWithRetry(ctx, conditions, []store.Put{{Key: store.KeyringKey, Value: value}})
	if err != nil {
		return 0, nil, err
	}
	if ok {
		return ring.Revision, value, nil
	}
	current, err := o.Store.Get(ctx, store.KeyringKey)
	if err == nil && uncertain && slices.Equal(current.Value, value) {
		return ring.Revision, value, nil
	}
	return 0, nil, ErrConflict
}
