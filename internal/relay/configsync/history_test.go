package configsync

import (
	"context"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/process/eventlog"
	"github.com/jaytack/jaytack/internal/process/store"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/routes"
)

// historyPeer is a balancer that knows some services of one address.
type historyPeer struct {
	mu       sync.Mutex
	services []string
	stored   []string
}

var historyAddress = flow.Endpoint{IP: 0xc6120001, Port: 443}

func (p *historyPeer) onStored(history []routes.History) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stored = nil
	for _, h := range history {
		p.stored = h.Services
	}
	for _, s := range p.stored {
		if !slices.Contains(p.services, s) {
			p.services = append(p.services, s)
		}
	}
}

func (p *historyPeer) due() ([]routes.History, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.services {
		if !slices.Contains(p.stored, s) {
			return []routes.History{{Address: historyAddress, Services: slices.Clone(p.services)}}, true
		}
	}
	return nil, false
}

func (p *historyPeer) known() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(slices.Values(p.services))
}

// TestHistoryOfRoutesOutlivesBalancers guards against services that are lost from the history
// of a route when balancers write it at the same time or start later, or when another writer
// has left an odd value.
func TestHistoryOfRoutesOutlivesBalancers(t *testing.T) {
	for _, odd := range []string{"", "[{", `{"Address":1}`, `[{"Address":"","Services":["a"]}]`, `[{"Address":"198.18.0.1:443","Services":[""]}]`} {
		t.Run(odd, func(t *testing.T) {
			f := newFixture(t)
			if odd != "" {
				_, ok, err := f.client.Commit(context.Background(), nil, []store.Put{{Key: HistoryKey, Value: []byte(odd)}})
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, ok, qt.IsTrue)
			}
			start := func(p *historyPeer) {
				s := NewHistory(HistoryConfig{OnStored: p.onStored, Wanted: func() bool { return true }, Due: p.due}, f.client, eventlog.New(io.Discard, eventlog.Debug, 0))
				t.Cleanup(s.Close)
			}
			first, second := &historyPeer{services: []string{"padron"}}, &historyPeer{services: []string{"recuento"}}
			start(first)
			start(second)
			all := []string{"padron", "recuento"}
			for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(50 * time.Millisecond) {
				kv, err := f.client.Get(context.Background(), HistoryKey)
				qt.Assert(t, err, qt.IsNil)
				if history, err := decodeHistory(kv.Value); err == nil && len(history) == 1 && len(history[0].Services) == len(all) {
					break
				}
				qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("the store holds %q", kv.Value))
			}
			third := &historyPeer{}
			start(third)
			for deadline := time.Now().Add(10 * time.Second); !slices.Equal(third.known(), all); time.Sleep(20 * time.Millisecond) {
				qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%v", third.known()))
			}
		})
	}
}
