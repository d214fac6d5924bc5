package fleet

import (
	"context"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/customer/catalogue"
	"github.com/jaytack/jaytack/internal/fleet/membership"
	"github.com/jaytack/jaytack/internal/flow/connid"
	"github.com/jaytack/jaytack/internal/process/store"
	"github.com/jaytack/jaytack/internal/role/balancer"
)

// inForceWithin is the time within which an accepted contract must be in force everywhere.
const inForceWithin = 4 * time.Second

// TestContractsAfterRestoreAreInForceInTime guards against contracts that are taken for older
// ones after the store came back from a copy, since their revisions are lower.
func TestContractsAfterRestoreAreInForceInTime(t *testing.T) {
	f := newFleet(t, nil)
	ctx := context.Background()
	change := func(bodyBytes int64) {
		before, err := f.Operator.Show(ctx, "Registro")
		qt.Assert(t, err, qt.IsNil)
		v := f.Contract("Registro")
		v.Limits.BodyBytes = bodyBytes
		_, err = f.Operator.Change(ctx, v, before.Revision)
		qt.Assert(t, err, qt.IsNil)
	}
	inForce := func() (n int) {
		for _, b := range f.Balancers {
			b.WithView(func(_ *membership.View, c *catalogue.Catalogue) {
				if e, ok := c.Get("Registro"); ok && e.Stored.Contract.Limits.BodyBytes == 2000 {
					n++
				}
			})
		}
		return n
	}
	c := f.Store.Copy()
	for i := range int64(5) {
		change(1000 + i)
	}
	last, err := f.Operator.Show(ctx, "Registro")
	qt.Assert(t, err, qt.IsNil)
	f.awaitRevision(t, last)
	f.Store.Restore(c)
	change(2000)
	for end := time.Now().Add(inForceWithin); time.Now().Before(end) && inForce() < len(f.Balancers); {
		time.Sleep(10 * time.Millisecond)
	}
	qt.Assert(t, inForce(), qt.Equals, len(f.Balancers))
}

// TestKeyringAfterRestoreKeepsLostKeys guards against flows that end because a rotation after a
// restore of the store replaces keys of rotations that the restore has lost, and against
// rotations that are taken for older ones.
func TestKeyringAfterRestoreKeepsLostKeys(t *testing.T) {
	f := newFleet(t, nil)
	ctx := context.Background()
	await := func(what string, done func() bool) {
		for end := time.Now().Add(inForceWithin); !done(); time.Sleep(10 * time.Millisecond) {
			qt.Assert(t, time.Now().Before(end), qt.IsTrue, qt.Commentf("%s", what))
		}
	}
	stored := func() connid.Keyring {
		kv, err := f.Operator.Store.Get(ctx, store.KeyringKey)
		qt.Assert(t, err, qt.IsNil)
		k, err := connid.DecodeKeyring(kv.Value)
		qt.Assert(t, err, qt.IsNil)
		return k
	}
	rotate := func() {
		rev, _, err := f.Operator.Rotate(ctx)
		qt.Assert(t, err, qt.IsNil)
		await("rotation is in force", func() bool {
			return !slices.ContainsFunc(f.Balancers, func(b *balancer.Balancer) bool { return b.KeyringRevision() != rev })
		})
	}
	c := f.Store.Copy()
	rotate()
	want := stored()
	f.Store.Restore(c)
	await("lost key is back", func() bool { return len(stored().Keys) == len(want.Keys) })
	rotate()
	qt.Assert(t, stored().Keys[:len(want.Keys)], qt.DeepEquals, want.Keys)
}
