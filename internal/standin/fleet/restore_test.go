package fleet

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/jaytack/jaytack/client"
	"github.com/jaytack/jaytack/internal/customer/catalogue"
	"github.com/jaytack/jaytack/internal/fleet/membership"
	"github.com/jaytack/jaytack/internal/flow/connid"
	"github.com/jaytack/jaytack/internal/process/store"
	"github.com/jaytack/jaytack/internal/role/balancer"
	"github.com/jaytack/jaytack/internal/standin/upstream"
)

// inForceWithin is the time within which an accepted contract must be in force everywhere.
const inForceWithin = 4 * time.Second

// homeKnownWithin is the time within which all agents of a service know a new home: they
// look for one 10 s after the last word of the earlier one.
const homeKnownWithin = 25 * time.Second

// homeRenewedWithin is the time within which a home has renewed its lease, or its service has
// elected another one.
const homeRenewedWithin = 30 * time.Second

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

// TestHomeElectedAfterRestoreIsBelieved guards against agents that ignore the home of their
// service after the store came back from a copy, since the number of its term is lower than
// that of the last one: they would send submissions with keys to a home that is gone.
func TestHomeElectedAfterRestoreIsBelieved(t *testing.T) {
	f := newFleet(t, nil)
	ctx := context.Background()
	c := f.Store.Copy()
	for i := range 50 {
		_, _, err := f.Client.Commit(ctx, nil, []store.Put{{Key: "other", Value: []byte{byte(i)}}})
		qt.Assert(t, err, qt.IsNil)
	}
	for range 4 {
		_, err := f.AddTarget(f.Contract("Registro"), "recuento")
		qt.Assert(t, err, qt.IsNil)
	}
	awaitHome := func() *Target {
		for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			for _, target := range f.Targets {
				if target.Agent.IsKeyLeader() {
					return target
				}
			}
		}
		t.Fatal("no agent is the home")
		return nil
	}
	first := awaitHome()
	first.Agent.Drain()
	first.Agent.Close()
	awaitHome().Agent.Close()
	f.Store.Restore(c)
	answered := 0
	var last client.Answer
	for end := time.Now().Add(homeKnownWithin); answered < 12; {
		qt.Assert(t, time.Now().Before(end), qt.IsTrue, qt.Commentf("%d answered in succession, then %+v", answered, last))
		caller := f.client("recuento")
		key := uuid.Must(uuid.NewV7()).String()
		a, _ := caller.Do(ctx, http.MethodPost, "/counts", []byte("12 head"), http.Header{"Idempotency-Key": {key}, upstream.HeaderSubmission: {key}})
		caller.Close()
		last = a
		if answered++; a.Outcome != client.Answered {
			answered = 0
			time.Sleep(200 * time.Millisecond)
		}
	}
}

// TestHomeWithoutARecordGivesUp guards against a home that goes on after a restore of the
// store has lost its record, because the lease that it renews was given out again. An agent
// that asks the store would become a second home.
func TestHomeWithoutARecordGivesUp(t *testing.T) {
	f := newFleet(t, nil)
	ctx := context.Background()
	c := f.Store.Copy()
	for range 2 {
		_, err := f.AddTarget(f.Contract("Registro"), "recuento")
		qt.Assert(t, err, qt.IsNil)
	}
	record := func() []store.KV {
		kvs, err := f.Client.List(ctx, store.HomePrefix)
		qt.Assert(t, err, qt.IsNil)
		return kvs
	}
	await := func(within time.Duration, what string, done func() bool) {
		for end := time.Now().Add(within); !done(); time.Sleep(50 * time.Millisecond) {
			qt.Assert(t, time.Now().Before(end), qt.IsTrue, qt.Commentf("%s", what))
		}
	}
	await(readyTimeout, "home is elected", func() bool { return len(record()) > 0 })
	// The other agent hears of the home.
	time.Sleep(2 * time.Second)
	f.Store.Restore(c)
	for range 50 {
		_, err := f.Client.Grant(ctx, time.Minute)
		qt.Assert(t, err, qt.IsNil)
	}
	await(homeRenewedWithin, "home has a record", func() bool { return len(record()) > 0 })
}
