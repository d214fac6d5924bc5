// Package store is the client of the platform's key-value service.
//
// A Client counts its calls, applies a timeout to them, closes idle connections
// after a failure, and distinguishes a write that did not take effect from one
// whose outcome is unknown. It repeats idempotent calls that take long on another
// connection and waits for the first answer. A Gateway implements the protocol of the
// service: New uses the JSON gateway of the etcd v3 API; NewWithGateway supports any
// other service with compare-and-swap, leases and watches.
//
// A store may be restored from an older copy. It then gives out revisions and leases
// again, so that they may be used only while Era stays the same.
//
// # Usage
//
//	c := store.New([]netip.AddrPort{endpoint}, time.Second)
//	kv, err := c.Get(ctx, "jaytack/index")
//	ok, err := c.Commit(ctx, []store.Compare{{Key: k, Revision: kv.Revision}}, []store.Put{{Key: k, Value: v}})
//	if errors.Is(err, store.ErrOutcomeUnknown) {
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

// Keys and key prefixes that the fleet uses.
const (
	Prefix         = "jaytack/"
	IndexKey       = Prefix + "index"
	ContractPrefix = Prefix + "contract/"
	KeyringKey     = Prefix + "keyring"
	SeedsKey       = Prefix + "seeds"
	HomePrefix     = Prefix + "home/"
)

var (
	// ErrUnavailable reports a failed call; if the call was a write, it did not take effect.
	ErrUnavailable = eris.New("store is unavailable")
	// ErrOutcomeUnknown reports a write that got no valid response; it may have taken effect.
	ErrOutcomeUnknown = eris.New("store did not answer; the write may have taken effect")
	// ErrLeaseExpired reports an expired or unknown lease.
	ErrLeaseExpired = eris.New("lease has lapsed")
	// ErrCompacted reports a watch from a revision that the store has compacted.
	ErrCompacted = eris.New("watch is behind the store's history")
)

type (
	// Key identifies an entry in the store.
	Key string
	// Revision is the store's write counter; 0 means that the key does not exist.
	Revision int64
	// LeaseID identifies a lease; 0 means no lease.
	LeaseID int64
	// Era counts how often the store has come back from a copy that is older than what it
	// had acknowledged. Revisions and leases are comparable only within one era.
	Era int64
)

// KV is a key with its value.
type KV struct {
	Key      Key
	Value    []byte
	Revision Revision
	// Lease is the lease that the key is attached to, 0 if there is none.
	Lease LeaseID
	// Deleted is set in changes of a watch that delete the key. Not all gateways tell: a deleted
	// key and one with an empty value both may have the value nil.
	Deleted bool
}

// Compare is a condition of a commit: Key was last modified at Revision.
type Compare struct {
	Key      Key
	Revision Revision
}

// Put is a write in a commit.
type Put struct {
	Key   Key
	Value []byte
	Lease LeaseID
}

// Range selects the keys to read.
type Range struct {
	// Key is a single key, or the prefix of the keys if Prefix is set.
	Key    Key
	Prefix bool
	// After excludes keys last modified at or before this revision.
	After    Revision
	KeysOnly bool
	// Stale allows data that is some seconds old. Such a read is cheaper if the
	// store distinguishes stale from consistent reads.
	Stale bool
}

// Gateway implements the protocol of one kind of store. All fields except EraHeader must be
// set.
//
// A write fails with ErrRefused if the store reports that it did not take effect,
// and with ErrLeaseExpired if the store does not know the lease.
type Gateway struct {
	// EraHeader is the header of every response that holds the era as a decimal number. It
	// is empty if the protocol has none; restores then go unnoticed.
	EraHeader string
	// Range returns the keys in order and the revision up to which they are complete.
	Range func(ctx context.Context, t *Transport, r Range) ([]KV, Revision, error)
	// Commit writes all puts if all conditions hold, and reports whether they did.
	Commit    func(ctx context.Context, t *Transport, conditions []Compare, puts []Put) (Revision, bool, error)
	Grant     func(ctx context.Context, t *Transport, ttl time.Duration) (LeaseID, error)
	KeepAlive func(ctx context.Context, t *Transport, id LeaseID) error
	Revoke    func(ctx context.Context, t *Transport, id LeaseID) error
	// Watch calls f for every change after a revision until ctx is done, the
	// gateway ends the watch, or the watch fails. It returns the revision up to
	// which f was called for all changes. A deletion has a nil value.
	Watch func(ctx context.Context, t *Transport, prefix Key, after Revision, f func(KV)) (Revision, error)
}

// ErrRefused reports a call that the store rejected without any effect.
var ErrRefused = eris.New("store refused the call")

// Calls holds counters of a client's calls by kind.
type Calls struct {
	Reads, Writes, Renewals, Watches, Failed atomic.Int64
}

// Client accesses one store. It is safe for concurrent use.
type Client struct {
	*Transport
	Calls   Calls
	gateway Gateway
	timeout time.Duration
}

// New returns a client of the etcd JSON gateway at the endpoints. The timeout
// applies to each call except a watch; reads and renewals are repeated after it, up to
// maxAttempts times.
func New(endpoints []netip.AddrPort, timeout time.Duration) *Client {
	return NewWithGateway(etcdGateway(), endpoints, timeout)
}

// NewWithGateway returns a client that uses gateway g.
func NewWithGateway(g Gateway, endpoints []netip.AddrPort, timeout time.Duration) *Client {
	return &Client{Transport: newTransport(endpoints, timeout, g.EraHeader), gateway: g, timeout: timeout}
}

// Get returns a key with its value; Revision is 0 if the key does not exist.
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

// ListSince returns the keys under prefix that were last modified after a
// revision, and the revision up to which the list is complete.
func (c *Client) ListSince(ctx context.Context, prefix Key, after Revision) ([]KV, Revision, error) {
	return c.Read(ctx, Range{Key: prefix, Prefix: true, After: after})
}

// RevisionOf returns the revision of a key, or 0 if it does not exist, without
// reading its value.
func (c *Client) RevisionOf(ctx context.Context, k Key) (Revision, error) {
	kvs, _, err := c.Read(ctx, Range{Key: k, KeysOnly: true})
	if err != nil || len(kvs) == 0 {
		return 0, err
	}
	return kvs[0].Revision, nil
}

// Read returns the keys of a range and the revision up to which they are
// complete. Any failure is ErrUnavailable.
func (c *Client) Read(ctx context.Context, r Range) ([]KV, Revision, error) {
	type page struct {
		kvs []KV
		rev Revision
	}
	p, err := hedge(ctx, c, func(ctx context.Context) (p page, err error) {
		c.Calls.Reads.Add(1)
		p.kvs, p.rev, err = c.gateway.Range(ctx, c.Transport, r)
		return p, err
	})
	if err != nil {
		return nil, 0, eris.Wrap(ErrUnavailable, c.recordFailure(err).Error())
	}
	return p.kvs, p.rev, nil
}

// Commit writes all puts if all conditions hold, and reports whether they did.
//
// It fails with ErrUnavailable if the commit did not take effect, with
// ErrLeaseExpired if a put's lease has expired, and with ErrOutcomeUnknown if there
// was no valid response. A commit is safe to retry if its conditions include the
// key of every put: it then takes effect at most once.
func (c *Client) Commit(ctx context.Context, conditions []Compare, puts []Put) (Revision, bool, error) {
	c.Calls.Writes.Add(1)
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	rev, ok, err := c.gateway.Commit(ctx, c.Transport, conditions, puts)
	if err != nil {
		return 0, false, classifyWriteError(c.recordFailure(err))
	}
	return rev, ok, nil
}

// Grant returns a new lease that expires after ttl.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	c.Calls.Writes.Add(1)
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	id, err := c.gateway.Grant(ctx, c.Transport, ttl)
	if err != nil {
		return 0, classifyWriteError(c.recordFailure(err))
	}
	return id, nil
}

// KeepAlive renews a lease. It fails with ErrLeaseExpired if the lease has expired.
func (c *Client) KeepAlive(ctx context.Context, id LeaseID) error {
	_, err := hedge(ctx, c, func(ctx context.Context) (struct{}, error) {
		c.Calls.Renewals.Add(1)
		return struct{}{}, c.gateway.KeepAlive(ctx, c.Transport, id)
	})
	if err != nil {
		return classifyWriteError(c.recordFailure(err))
	}
	return nil
}

// Revoke ends a lease and deletes its keys.
func (c *Client) Revoke(ctx context.Context, id LeaseID) error {
	c.Calls.Writes.Add(1)
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	if err := c.gateway.Revoke(ctx, c.Transport, id); err != nil {
		return classifyWriteError(c.recordFailure(err))
	}
	return nil
}

// Watch calls f for every change of a key under prefix after a revision until ctx
// is done, the gateway ends the watch, or the store fails. A deletion has a nil
// value. It returns the revision after which to resume.
//
// It fails with ErrCompacted if the store has compacted the revision, and with
// ErrUnavailable otherwise.
func (c *Client) Watch(ctx context.Context, prefix Key, after Revision, f func(KV)) (Revision, error) {
	c.Calls.Watches.Add(1)
	rev, err := c.gateway.Watch(ctx, c.Transport, prefix, after, f)
	switch {
	case err == nil:
		return rev, nil
	case eris.Is(err, ErrCompacted):
		return rev, err
	}
	return rev, eris.Wrap(ErrUnavailable, c.recordFailure(err).Error())
}

// recordFailure counts a failed call and closes idle connections, which may be
// dead as well.
func (c *Client) recordFailure(err error) error {
	c.Calls.Failed.Add(1)
	c.Close()
	return err
}

// classifyWriteError distinguishes a write that did not take effect from one
// whose outcome is unknown.
func classifyWriteError(err error) error {
	var op *net.OpError
	switch {
	case eris.Is(err, ErrLeaseExpired):
		return err
	case eris.Is(err, ErrRefused), eris.As(err, &op) && op.Op == "dial":
		return eris.Wrap(ErrUnavailable, err.Error())
	}
	return eris.Wrap(ErrOutcomeUnknown, err.Error())
}
