package configsync

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/routes"
	"github.com/jaytack/jaytack/internal/standin/storage"
)

// largeConfiguration is about as large as the largest one that operators have sent.
func largeConfiguration() *routes.Configuration {
	c := &routes.Configuration{Version: 37, IdleTimeout: 15 * time.Second, Services: []routes.Service{{Name: "stock", WarmUpTime: 2 * time.Second, WarmUpRate: 12.5}}}
	for i := range 2000 {
		c.Routes = append(c.Routes, routes.Route{
			Name: fmt.Sprintf("r-%x", i*7919), Address: flow.Endpoint{IP: flow.IP(0xc6120001 + i/4), Port: uint16(8000 + i%4)},
			Shares: []routes.Share{{Service: "stock", Weight: 90}, {Service: "catalogue", Weight: 10}},
			Kind:   routes.Unsafe, Priority: uint32(i % 3), Timeout: 1500 * time.Millisecond, TargetLatency: 250 * time.Millisecond,
		})
	}
	return c
}

// TestTransferKeepsConfigurations guards against fields that get lost between balancers, and
// against configurations that take long on a link of 10 Mbit/s.
func TestTransferKeepsConfigurations(t *testing.T) {
	small := largeConfiguration()
	small.Routes = small.Routes[:1]
	for _, c := range []*routes.Configuration{largeConfiguration(), small} {
		plain, err := encodeConfiguration(c)
		qt.Assert(t, err, qt.IsNil)
		sent, err := compressed(plain)
		qt.Assert(t, err, qt.IsNil)
		got, err := decodeConfiguration(sent)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got, qt.DeepEquals, c)
		// A tenth of a second at 10 Mbit/s.
		qt.Assert(t, len(sent) < 125_000, qt.IsTrue, qt.Commentf("%d bytes", len(sent)))
	}
}

// TestMalformedTransfersAreRejected guards against a peer whose answer is cut or of another kind.
func TestMalformedTransfersAreRejected(t *testing.T) {
	plain, err := encodeConfiguration(largeConfiguration())
	qt.Assert(t, err, qt.IsNil)
	sent, err := compressed(plain)
	qt.Assert(t, err, qt.IsNil)
	for name, value := range map[string][]byte{
		"Empty": nil, "Text": []byte(`{"version":7}`), "Cut": plain[:len(plain)-3], "CutCompressed": sent[:len(sent)/2],
	} {
		_, err := decodeConfiguration(value)
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%s", name))
	}
}

// TestPeerMakesFirstReadNeedless guards against a balancer on a slow link that downloads a large
// configuration twice at its start, and against one that then has no revision to watch from.
func TestPeerMakesFirstReadNeedless(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.put("3")
	f.Store.SetFaults(storage.Faults{DelayMillis: 150})
	f.setPeer("3", 0)
	var watching atomic.Bool
	syncer := f.startWith(watching.Load, func() bool { return true })
	syncer.Refresh(peer, 3)
	f.waitForVersion(3, 100*time.Millisecond)
	time.Sleep(300 * time.Millisecond)
	qt.Assert(t, syncer.Value(), qt.DeepEquals, []byte("3"))
	f.Store.SetFaults(storage.Faults{})
	before := f.Store.Calls()
	time.Sleep(2 * watchCheckInterval)
	qt.Assert(t, f.Store.Calls(), qt.Equals, before, qt.Commentf("a balancer that does not watch leaves the store alone"))
	watching.Store(true)
	time.Sleep(2 * watchCheckInterval)
	f.put("4")
	f.waitForVersion(4, time.Second)
}

// TestFirstReadGoesOnIfItIsNeeded guards against a balancer that does not learn what only the
// store holds, since a peer was faster.
func TestFirstReadGoesOnIfItIsNeeded(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.put("5")
	f.Store.SetFaults(storage.Faults{DelayMillis: 100})
	f.setPeer("3", 0)
	syncer := f.startWith(func() bool { return false }, func() bool { return false })
	syncer.Refresh(peer, 3)
	f.waitForVersion(3, 90*time.Millisecond)
	f.waitForVersion(5, time.Second)
}

// TestStoreMakesFetchNeedless guards against a fetch from a slow peer that goes on after the
// store has answered.
func TestStoreMakesFetchNeedless(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.put("3")
	f.setPeer("", time.Minute)
	syncer := f.startWith(func() bool { return false }, func() bool { return true })
	syncer.Refresh(peer, 3)
	f.waitForVersion(3, time.Second)
	f.setPeer("8", 0)
	syncer.Refresh(peer, 8)
	f.waitForVersion(8, time.Second)
	qt.Assert(t, string(syncer.Value()), qt.Equals, "8")
}
