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

// How balancers follow the store.
const (
	// storeWatchers is the number of balancers in each data centre that watch.
	storeWatchers = 2
	// pollEvery is how often a balancer looks for a revision that it missed.
	pollEvery = 20 * time.Second
	// pollsPerSecond bounds the polls of the whole fleet.
	pollsPerSecond = 20
	retryFirst     = 200 * time.Millisecond
	retryMax       = 5 * time.Second
	watchCheck     = time.Second
	maxSeeds       = 16
)

// followStore reads contracts and keyring, then watches or polls until the end.
func (n *Node) followStore() {
	n.retry(func() error { return n.readAll() })
	n.retry(func() error { return n.register() })
	n.goes(n.pollStore)
	for n.ctx.Err() == nil {
		if !n.watchesStore() {
			n.sleep(watchCheck)
			continue
		}
		n.watchStore()
		n.sleep(retryFirst + mathrand.N(retryFirst))
	}
}

// bootstrap finds balancers for an agent that knows none.
func (n *Node) bootstrap() {
	n.retry(func() error {
		seeds, _, err := ReadSeeds(n.ctx, n.Store)
		if err != nil {
			return err
		}
		n.addSeeds(seeds)
		return nil
	})
}

func (n *Node) retry(f func() error) {
	wait := retryFirst
	for n.ctx.Err() == nil {
		err := f()
		if err == nil {
			return
		}
		n.Warn("StoreCallFailed", "Reason", err, "Retry", wait)
		n.sleep(wait + mathrand.N(wait))
		wait = min(2*wait, retryMax)
	}
}

func (n *Node) sleep(d time.Duration) {
	select {
	case <-n.ctx.Done():
	case <-time.After(d):
	}
}

// readAll takes in every contract newer than those in force, and the keyring.
func (n *Node) readAll() error {
	kvs, complete, err := n.Store.ListSince(n.ctx, store.ContractPrefix, n.storeRevision())
	if err != nil {
		return err
	}
	for _, kv := range kvs {
		n.takeKV(kv)
	}
	n.noteStoreRevision(complete)
	kv, err := n.Store.Get(n.ctx, store.KeyringKey)
	if err != nil {
		return err
	}
	if kv.Revision == 0 {
		return n.firstKeyring()
	}
	n.takeKV(kv)
	n.notify()
	return nil
}

// firstKeyring creates the fleet's first key; one of several balancers wins.
func (n *Node) firstKeyring() error {
	secret := make([]byte, connid.SecretLength)
	_, _ = rand.Read(secret)
	value, err := connid.Keyring{}.Rotate(secret, time.Now()).Encode()
	if err != nil {
		return err
	}
	_, _, err = n.Store.Commit(n.ctx, []store.Compare{{Key: store.KeyringKey}}, []store.Put{{Key: store.KeyringKey, Value: value}})
	if err != nil {
		return err
	}
	kv, err := n.Store.Get(n.ctx, store.KeyringKey)
	if err == nil {
		n.takeKV(kv)
	}
	return err
}

func (n *Node) takeKV(kv store.KV) {
	if kv.Value == nil {
		return
	}
	if kv.Key == store.KeyringKey {
		n.applyKeyring(int64(kv.Revision), kv.Value)
		return
	}
	if len(kv.Key) <= len(store.ContractPrefix) || kv.Key[:len(store.ContractPrefix)] != store.ContractPrefix {
		return
	}
	e := catalogue.Entry{Customer: contract.Customer(kv.Key[len(store.ContractPrefix):]), Revision: contract.Revision(kv.Revision)}
	if err := json.Unmarshal(kv.Value, &e.Stored); err != nil {
		n.Error("ContractRejected", "Customer", e.Customer, "Revision", kv.Revision, "Reason", err)
		return
	}
	n.with(func(c *gossip.Core) { c.ApplyContract(n.Now(), e) })
}

// watchesStore reports whether this balancer is among those of its data centre
// that watch the store: the first by hash of the live ones.
func (n *Node) watchesStore() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	self := n.core.Self()
	own := xxhash.Sum64String(self.Address.String())
	before := 0
	for _, a := range n.core.View().Balancers() {
		m, ok := n.core.View().Member(a)
		if ok && m.DataCentre == self.DataCentre && xxhash.Sum64String(a.String()) < own {
			before++
		}
	}
	return before < storeWatchers
}

// watchStore watches until the store fails or other balancers do it.
func (n *Node) watchStore() {
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	n.goes(func() {
		for ctx.Err() == nil && n.watchesStore() {
			n.sleep(watchCheck)
		}
		cancel()
	})
	// Changes between the read and the watch are seen by both.
	if err := n.readAll(); err != nil {
		n.Debug("StoreReadFailed", "Reason", err)
		return
	}
	_, err := n.Store.Watch(ctx, store.Prefix, n.storeRevision(), func(kv store.KV) {
		n.takeKV(kv)
		n.noteStoreRevision(kv.Revision)
		n.notify()
	})
	if ctx.Err() == nil {
		n.Warn("StoreWatchEnded", "Reason", err)
	}
}

// pollStore looks from time to time for revisions that gossip did not bring.
func (n *Node) pollStore() {
	for n.ctx.Err() == nil {
		n.mu.Lock()
		every := max(pollEvery, time.Duration(len(n.core.View().Balancers()))*time.Second/pollsPerSecond)
		n.mu.Unlock()
		n.sleep(every/2 + mathrand.N(every))
		rev, err := n.Store.RevisionOf(n.ctx, store.IndexKey)
		if err != nil || rev <= n.storeRevision() {
			continue
		}
		if err := n.readAll(); err != nil {
			n.Debug("StoreReadFailed", "Reason", err)
		}
	}
}

// storeRevision is the revision up to which this node has read all contracts
// from the store itself. Contracts learnt from peers do not move it.
func (n *Node) storeRevision() store.Revision {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.storeSeen
}

func (n *Node) noteStoreRevision(r store.Revision) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.storeSeen = max(n.storeSeen, r)
}

// Seed is a balancer that started lately, as the store keeps it.
type Seed struct {
	Tunnel  netip.AddrPort
	Control netip.AddrPort
}

// ReadSeeds returns the balancers that started lately, newest first.
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
	tunnels := make([]netip.AddrPort, len(seeds))
	for i, s := range seeds {
		tunnels[i] = s.Tunnel
	}
	n.with(func(c *gossip.Core) { c.AddSeeds(tunnels) })
}

// register puts this balancer first in the list of seeds.
func (n *Node) register() error {
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
		return errRaced
	}
	return err
}
