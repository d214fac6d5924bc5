// Package store is the client of the platform's key-value service.
//
// A Client counts calls, bounds them in time, drops connections that went silent,
// and tells a write that was never sent from one whose answer was lost. How a
// store is spoken to is the business of a Gateway: New speaks the JSON gateway of
// the etcd v3 interface; any other service with compare-and-swap, leases and
// watches takes its place by a Gateway of its own.
//
// # Usage
//
//	c := store.New([]netip.AddrPort{endpoint}, time.Second)
//	kv, err := c.Get(ctx, "jaytack/index")
//	ok, err := c.Commit(ctx, []store.Compare{{Key: k, Revision: kv.Revision}}, []store.Put{{Key: k, Value: v}})
//	if errors.Is(err, store.ErrUnknown) {
//		// The write may have taken effect.
//	}
package store

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Keys of the fleet.
const (
	Prefix         = "jaytack/"
	IndexKey       = Prefix + "index"
	ContractPrefix = Prefix + "contract/"
	KeyringKey     = Prefix + "keyring"
	SeedsKey       = Prefix + "seeds"
	HomePrefix     = Prefix + "home/"
)

var (
	// ErrUnavailable reports a call that the store did not serve; a write did not take effect.
	ErrUnavailable = eris.New("store is unavailable")
	// ErrOutcomeUnknown reports a write whose answer was lost; it may have taken effect.
	ErrOutcomeUnknown = eris.New("store did not answer; the write may have taken effect")
	// ErrLeaseExpired reports a lease that has lapsed.
	ErrLeaseExpired = eris.New("lease has lapsed")
	// ErrCompacted reports a watch that begins before the store's history.
	ErrCompacted = eris.New("watch is behind the store's history")
)

type (
	// Key is a name in the store.
	Key string
	// Revision orders all writes to the store; 0 stands for a key that does not exist.
	Revision int64
	// LeaseID names a lease; 0 is none.
	LeaseID int64
)

// KV is one key with its value.
type KV struct {
	Key      Key
	Value    []byte
	Revision Revision
	// Lease is the lease that the key ends with, 0 for none or where the gateway
	// does not tell.
	Lease LeaseID
}

// Compare is a condition of a commit: the key was last written at Revision.
type Compare struct {
	Key      Key
	Revision Revision
}

// Put is one write of a commit.
type Put struct {
	Key   Key
	Value []byte
	Lease LeaseID
}

// Range is a set of keys to read.
type Range struct {
	// Key is the only key, or the prefix of all keys.
	Key    Key
	Prefix bool
	// After leaves out keys that were last written at this revision or before.
	After    Revision
	KeysOnly bool
	// Stale allows an answer that is some seconds old, which is cheaper where the
	// store knows the difference.
	Stale bool
}

// Gateway is how one kind of store is spoken to. All fields are set.
//
// Errors of writes are ErrRefused where the store said that it did nothing, and
// ErrLease where it knows no such lease.
type Gateway struct {
	// Range returns the keys in order, and the revision up to which they are complete.
	Range func(ctx context.Context, t *Transport, r Range) ([]KV, Revision, error)
	// Commit writes if all conditions hold, and reports whether they did.
	Commit    func(ctx context.Context, t *Transport, conditions []Compare, puts []Put) (Revision, bool, error)
	Grant     func(ctx context.Context, t *Transport, ttl time.Duration) (LeaseID, error)
	KeepAlive func(ctx context.Context, t *Transport, id LeaseID) error
	Revoke    func(ctx context.Context, t *Transport, id LeaseID) error
	// Watch calls f for every change after a revision until ctx is done, the
	// gateway ends the watch, or it fails; it returns the revision up to which f
	// has heard everything. f gets deletions with a nil value.
	Watch func(ctx context.Context, t *Transport, prefix Key, from Revision, f func(KV)) (Revision, error)
}

// ErrRefused reports a call that the store refused without doing anything.
var ErrRefused = eris.New("store refused the call")

// Calls counts what a client asked of the store.
type Calls struct {
	Reads, Writes, Renewals, Watches, Failed atomic.Int64
}

// Client talks to one store. It may be shared.
type Client struct {
	*Transport
	Calls   Calls
	gateway Gateway
	timeout time.Duration
}

// New returns a client of the etcd JSON gateway at the endpoints. Each call but
// a watch fails after timeout.
func New(endpoints []netip.AddrPort, timeout time.Duration) *Client {
	return NewWithGateway(etcd(), endpoints, timeout)
}

// NewWithGateway returns a client that speaks through another gateway.
func NewWithGateway(g Gateway, endpoints []netip.AddrPort, timeout time.Duration) *Client {
	return &Client{Transport: newTransport(endpoints, timeout), gateway: g, timeout: timeout}
}

// Get returns a key; Revision is 0 where it does not exist.
func (c *Client) Get(ctx context.Context, k Key) (KV, error) {
	kvs, _, err := c.Read(ctx, Range{Key: k})
	if err != nil || len(kvs) == 0 {
		return KV{Key: k}, err
	}
	return kvs[0], nil
}

// List returns all keys that begin with prefix.
func (c *Client) List(ctx context.Context, prefix Key) ([]KV, error) {
	kvs, _, err := c.Read(ctx, Range{Key: prefix, Prefix: true})
	return kvs, err
}

// ListSince returns the keys under prefix that were written after a revision,
// and the revision up to which the list is complete.
func (c *Client) ListSince(ctx context.Context, prefix Key, after Revision) ([]KV, Revision, error) {
	return c.Read(ctx, Range{Key: prefix, Prefix: true, After: after})
}

// RevisionOf returns the revision of a key without its value.
func (c *Client) RevisionOf(ctx context.Context, k Key) (Revision, error) {
	kvs, _, err := c.Read(ctx, Range{Key: k, KeysOnly: true})
	if err != nil || len(kvs) == 0 {
		return 0, err
	}
	return kvs[0].Revision, nil
}

// Read returns the keys of a range, and the revision up to which they are
// complete. It fails with ErrUnavailable.
func (c *Client) Read(ctx context.Context, r Range) ([]KV, Revision, error) {
	c.Calls.Reads.Add(1)
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	kvs, rev, err := c.gateway.Range(ctx, c.Transport, r)
	if err != nil {
		return nil, 0, eris.Wrap(ErrUnavailable, c.failed(err).Error())
	}
	return kvs, rev, nil
}

// Commit writes all puts if all conditions hold, and reports whether they did.
//
// It fails with ErrUnavailable where nothing was done, with ErrLease where a
// put's lease has lapsed, and with ErrUnknown where the answer is missing. The
// same commit may be tried again: its conditions hold at most once where every
// put's key is among them.
func (c *Client) Commit(ctx context.Context, conditions []Compare, puts []Put) (Revision, bool, error) {
	c.Calls.Writes.Add(1)
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	rev, ok, err := c.gateway.Commit(ctx, c.Transport, conditions, puts)
	if err != nil {
		return 0, false, writeError(c.failed(err))
	}
	return rev, ok, nil
}

// Grant returns a new lease that lapses after ttl.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	c.Calls.Writes.Add(1)
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	id, err := c.gateway.Grant(ctx, c.Transport, ttl)
	if err != nil {
		return 0, writeError(c.failed(err))
	}
	return id, nil
}

// KeepAlive renews a lease. It fails with ErrLease where the lease has lapsed.
func (c *Client) KeepAlive(ctx context.Context, id LeaseID) error {
	c.Calls.Renewals.Add(1)
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	if err := c.gateway.KeepAlive(ctx, c.Transport, id); err != nil {
		return writeError(c.failed(err))
	}
	return nil
}

// Revoke ends a lease and removes its keys.
func (c *Client) Revoke(ctx context.Context, id LeaseID) error {
	c.Calls.Writes.Add(1)
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	if err := c.gateway.Revoke(ctx, c.Transport, id); err != nil {
		return writeError(c.failed(err))
	}
	return nil
}

// Watch calls f for every change of a key under prefix after revision from,
// until ctx is done, the gateway ends the watch or the store fails. f also gets
// deletions, with a nil value. It returns the revision to continue from.
//
// It fails with ErrCompacted where the store no longer has the history, and with
// ErrUnavailable otherwise.
func (c *Client) Watch(ctx context.Context, prefix Key, from Revision, f func(KV)) (Revision, error) {
	c.Calls.Watches.Add(1)
	rev, err := c.gateway.Watch(ctx, c.Transport, prefix, from, f)
	switch {
	case err == nil:
		return rev, nil
	case eris.Is(err, ErrCompacted):
		return rev, err
	}
	return rev, eris.Wrap(ErrUnavailable, c.failed(err).Error())
}

// failed counts a failure and drops idle connections, which may have gone
// silent together with the one that failed.
func (c *Client) failed(err error) error {
	c.Calls.Failed.Add(1)
	c.Close()
	return err
}

// writeError tells a write that was not done from one whose answer is missing.
func writeError(err error) error {
	var op *net.OpError
	switch {
	case eris.Is(err, ErrLeaseExpired):
		return err
	case eris.Is(err, ErrRefused), eris.As(err, &op) && op.Op == "dial":
		return eris.Wrap(ErrUnavailable, err.Error())
	}
	return eris.Wrap(ErrOutcomeUnknown, err.Error())
}
