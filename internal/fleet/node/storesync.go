package node

import (
	"context"
	"crypto/rand"
	"encoding/json"
	mathrand "math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jaytack/jaytack/internal/customer/catalogue"
	"github.com/jaytack/jaytack/internal/customer/contract"
	"github.com/jaytack/jaytack/internal/fleet/gossip"
	"github.com/jaytack/jaytack/internal/flow/connid"
	"github.com/jaytack/jaytack/internal/process/store"
)

// Limits and intervals of reading the store.
const (
	// storeWatchersPerDataCentre is the number of balancers in each data centre that
	// watch the store.
	storeWatchersPerDataCentre = 2
	// minPollInterval is the shortest mean time between a balancer's polls for
	// revisions that it missed.
	minPollInterval = 20 * time.Second
	// maxFleetPollsPerSecond limits the polls of the whole fleet.
	maxFleetPollsPerSecond = 20
	initialRetryDelay      = 200 * time.Millisecond
	maxRetryDelay          = 5 * time.Second
	watcherCheckInterval   = time.Second
	maxSeeds               = 16
)

// syncStore reads the contracts and the keyring, then polls and, if this balancer
// is a store watcher, watches the store until the node closes.
func (n *Node) syncStore() {
	n.retry(func() error { return n.readStore(0) })
	n.retry(func() error { return n.registerSeed() })
	n.spawn(n.pollStore)
	after := n.storeRevision()
	for n.ctx.Err() == nil {
		if !n.isStoreWatcher() {
			n.sleep(watcherCheckInterval)
			continue
		}
		n.watchStore(after)
		// The store may have been restored since, so that it gives revisions out again.
		after = 0
		n.sleep(initialRetryDelay + mathrand.N(initialRetryDelay))
	}
}

// loadSeeds reads the seeds of an agent from the store.
func (n *Node) loadSeeds() {
	n.retry(func() error {
		seeds, _, err := ReadSeeds(n.ctx, n.Store)
		if err != nil {
			return err
		}
		n.addSeeds(seeds)
		return nil
	})
}

func (n *Node) retry(call func() error) {
	delay := initialRetryDelay
	for n.ctx.Err() == nil {
		err := call()
		if err == nil {
			return
		}
		n.Warn("StoreCallFailed", "Reason", err, "Retry", delay)
		n.sleep(delay + mathrand.N(delay))
		delay = min(2*delay, maxRetryDelay)
	}
}

func (n *Node) sleep(d time.Duration) {
	select {
	case <-n.ctx.Done():
	case <-time.After(d):
	}
}

// readStore applies the keyring and all contracts that were written after a revision of the
// store.
func (n *Node) readStore(after store.Revision) error {
	kvs, revision, err := n.Store.ListSince(n.ctx, store.ContractPrefix, after)
	if err != nil {
		return err
	}
	if revision < after {
		n.Warn("StoreRestored", "By", "Contracts", "Revision", revision, "Before", after)
		return n.readStore(0)
	}
	for _, kv := range kvs {
		n.applyKV(kv)
	}
	n.setStoreRevision(revision)
	err = n.syncKeyring()
	n.notifyChange()
	return err
}

// syncKeyring applies the stored keyring. It writes the fleet's first keyring if there is none,
// and the one in force if the store has lost it by a restore from a copy: flows need its
// keys. If several balancers write, the first commit wins and all apply its keyring.
func (n *Node) syncKeyring() error {
	kv, err := n.Store.Get(n.ctx, store.KeyringKey)
	if err != nil {
		return err
	}
	n.applyKV(kv)
	ring := n.keyring()
	stored, err := connid.DecodeStoredKeyring(kv.Value, int64(kv.Revision))
	if kv.Revision != 0 && (err != nil || stored.Revision >= ring.Revision) {
		return nil
	}
	if ring.Revision != 0 {
		n.Warn("KeyringRestored", "Revision", ring.Revision, "Stored", stored.Revision)
	} else {
		secret := make([]byte, connid.SecretLength)
		_, _ = rand.Read(secret)
		ring = ring.Rotate(secret, time.Now())
	}
	value, err := ring.Encode()
	if err != nil {
		return err
	}
	_, _, err = n.Store.Commit(n.ctx, []store.Compare{{Key: store.KeyringKey, Revision: kv.Revision}}, []store.Put{{Key: store.KeyringKey, Value: value}})
	if err != nil {
		return err
	}
	kv, err = n.Store.Get(n.ctx, store.KeyringKey)
	if err == nil {
		n.applyKV(kv)
	}
	return err
}

func (n *Node) applyKV(kv store.KV) {
	if kv.Value == nil {
		return
	}
	if kv.Key == store.KeyringKey {
		k, err := connid.DecodeStoredKeyring(kv.Value, int64(kv.Revision))
		if err != nil {
			n.Warn("KeyringRejected", "Revision", kv.Revision, "Reason", err)
			return
		}
		n.applyKeyring(k.Revision, kv.Value)
		return
	}
	if len(kv.Key) <= len(store.ContractPrefix) || kv.Key[:len(store.ContractPrefix)] != store.ContractPrefix {
		return
	}
	e, err := catalogue.DecodeEntry(contract.Customer(kv.Key[len(store.ContractPrefix):]), kv.Value, int64(kv.Revision))
	if err != nil {
		n.Error("ContractRejected", "Customer", e.Customer, "Revision", kv.Revision, "Reason", err)
		return
	}
	n.update(func(c *gossip.Core) { c.ApplyContract(n.Now(), e) })
}

// isStoreWatcher reports whether this balancer watches the store: the live balancers
// of a data centre with the lowest address hashes do.
func (n *Node) isStoreWatcher() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	self := n.core.Self()
	selfHash := xxhash.Sum64String(self.Address.String())
	rank := 0
	for _, a := range n.core.View().Balancers() {
		m, ok := n.core.View().Member(a)
		if ok && m.DataCentre == self.DataCentre && xxhash.Sum64String(a.String()) < selfHash {
			rank++
		}
	}
	return rank < storeWatchersPerDataCentre
}

// watchStore watches until the store fails or this balancer is no longer a store
// watcher.
//
// It first reads what was written after a revision; the watch goes on from there and misses
// nothing.
func (n *Node) watchStore(after store.Revision) {
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	n.spawn(func() {
		for ctx.Err() == nil && n.isStoreWatcher() {
			n.sleep(watcherCheckInterval)
		}
		cancel()
	})
	if err := n.readStore(after); err != nil {
		n.Debug("StoreReadFailed", "Reason", err)
		return
	}
	_, err := n.Store.Watch(ctx, store.Prefix, n.storeRevision(), func(kv store.KV) {
		n.applyKV(kv)
		n.setStoreRevision(kv.Revision)
		n.notifyChange()
	})
	if ctx.Err() == nil {
		n.Warn("StoreWatchEnded", "Reason", err)
	}
}

// pollStore polls the store for revisions that gossip and the watch missed.
func (n *Node) pollStore() {
	var indexRevision store.Revision
	for n.ctx.Err() == nil {
		n.mu.Lock()
		interval := max(minPollInterval, time.Duration(len(n.core.View().Balancers()))*time.Second/maxFleetPollsPerSecond)
		n.mu.Unlock()
		n.sleep(interval/2 + mathrand.N(interval))
		rev, err := n.Store.RevisionOf(n.ctx, store.IndexKey)
		if err != nil || rev == indexRevision {
			continue
		}
		if err := n.readStore(n.storeRevision()); err != nil {
			n.Debug("StoreReadFailed", "Reason", err)
			continue
		}
		indexRevision = rev
	}
}

// storeRevision returns the store's revision up to which this node has read all contracts
// from the store itself. Contracts received from peers do not change it. It falls if the
// store is restored from a copy.
func (n *Node) storeRevision() store.Revision {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lastStoreRevision
}

func (n *Node) setStoreRevision(r store.Revision) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastStoreRevision = r
}

// Seed is the stored entry of a recently started balancer.
type Seed struct {
	Tunnel  netip.AddrPort
	Control netip.AddrPort
}

// ReadSeeds returns the recently started balancers, newest first, and the revision
// of the list. A malformed list is treated as empty.
func ReadSeeds(ctx context.Context, st *store.Client) ([]Seed, store.Revision, error) {
	kv, err := st.Get(ctx, store.SeedsKey)
	if err != nil || kv.Revision == 0 {
		return nil, kv.Revision, err
	}
	var seeds []Seed
	if err := json.Unmarshal(kv.Value, &seeds); err != nil {
		return nil, kv.Revision, nil
	}
	return seeds, kv.Revision, nil
}

func (n *Node) addSeeds(seeds []Seed) {
	addresses := make([]netip.AddrPort, len(seeds))
	for i, s := range seeds {
		addresses[i] = s.Tunnel
	}
	n.update(func(c *gossip.Core) { c.AddSeeds(addresses) })
}

// registerSeed adds this balancer to the front of the list of seeds.
func (n *Node) registerSeed() error {
	seeds, rev, err := ReadSeeds(n.ctx, n.Store)
	if err != nil {
		return err
	}
	n.addSeeds(seeds)
	self := n.Self()
	seeds = slices.DeleteFunc(seeds, func(s Seed) bool { return s.Tunnel == self.Address })
	seeds = append([]Seed{{self.Address, self.Control}}, seeds...)
	value, err := json.Marshal(seeds[:min(len(seeds), maxSeeds)])
	if err != nil {
		return err
	}
	conditions := []store.Compare{{Key: store.SeedsKey, Revision: rev}}
	_, ok, err := n.Store.Commit(n.ctx, conditions, []store.Put{{Key: store.SeedsKey, Value: value}})
	if err == nil && !ok {
		return errConflict
	}
	return err
}
