package fleet

import (
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/jaytack/jaytack/internal/customer/contract"
	"github.com/jaytack/jaytack/internal/process/metrics"
	"github.com/jaytack/jaytack/internal/process/settings"
	"github.com/jaytack/jaytack/internal/process/store"
	"github.com/jaytack/jaytack/internal/role/agent"
	"github.com/jaytack/jaytack/internal/role/balancer"
	"github.com/jaytack/jaytack/internal/standin/upstream"
)

// Target is an upstream with the agent beside it.
type Target struct {
	Service  contract.ServiceName
	Upstream *upstream.Upstream
	Agent    *agent.Agent
	Metrics  *metrics.Set
	settings settings.Agent
	server   *http.Server
}

func (f *Fleet) id() byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next++
	return byte(f.next)
}

func (f *Fleet) seeds() []netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []netip.AddrPort
	for _, b := range f.Balancers {
		out = append(out, b.Self().Address)
	}
	return out
}

// AddBalancer starts one more balancer.
func (f *Fleet) AddBalancer() (*balancer.Balancer, error) {
	id := f.id()
	cfg := settings.Balancer{
		Fleet: settings.Fleet{
			DataCentre: "demo-a", Tunnel: f.at(1, id, tunnelPort), Control: f.at(1, id, controlPort),
			Store: []netip.AddrPort{f.storeAddress()}, Seeds: f.seeds(),
		},
		Fabric: f.at(1, id, fabricPort), FabricPeer: f.fabricAddress(), Workers: 1, Linger: contract.Duration(f.cfg.Linger),
	}
	b, err := balancer.New(cfg, f.Identity, f.storeClient(), f.With("Role", "Balancer", "Id", id), metrics.New())
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.Balancers = append(f.Balancers, b)
	f.mu.Unlock()
	return b, nil
}

// RemoveBalancer drains a balancer and ends it, or only ends it.
func (f *Fleet) RemoveBalancer(b *balancer.Balancer, drain bool) {
	if drain {
		b.Drain()
	}
	b.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, o := range f.Balancers {
		if o == b {
			f.Balancers = append(f.Balancers[:i], f.Balancers[i+1:]...)
			return
		}
	}
}

func (f *Fleet) storeClient() *store.Client {
	return store.New([]netip.AddrPort{f.storeAddress()}, storeTimeout)
}

// AddTarget starts an upstream and the agent beside it.
func (f *Fleet) AddTarget(c contract.Contract, name contract.ServiceName) (*Target, error) {
	id := f.id()
	svc, _ := c.Service(name)
	t := &Target{Service: name, Metrics: metrics.New()}
	t.Upstream = upstream.New(upstream.Config{
		Name: fmt.Sprintf("%s-%d", name, id), Slots: svc.Slots, Service: f.cfg.ServiceTime, Seed: f.cfg.Seed + uint64(id),
	})
	address := f.at(3, id, upstreamPort)
	var err error
	if t.server, err = serveHTTP(address, t.Upstream.Handler()); err != nil {
		return nil, err
	}
	dc := svc.DataCentres[int(id)%len(svc.DataCentres)]
	t.settings = settings.Agent{
		Fleet: settings.Fleet{
			DataCentre: dc, Tunnel: f.at(2, id, tunnelPort), Control: f.at(2, id, controlPort),
			Store: []netip.AddrPort{f.storeAddress()}, Seeds: f.seeds(),
		},
		Customer: c.Customer, Service: name, Upstream: address,
		Drain: contract.Duration(10 * time.Second), FeedDrain: contract.Duration(time.Hour),
	}
	if err := f.StartAgent(t); err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.Targets = append(f.Targets, t)
	f.mu.Unlock()
	return t, nil
}

// StartAgent starts the agent of a target, also after it was ended.
func (f *Fleet) StartAgent(t *Target) error {
	var err error
	t.settings.Seeds = f.seeds()
	t.Agent, err = agent.New(t.settings, f.cert, f.Identity, f.storeClient(), f.With("Role", "Agent", "Service", t.Service), t.Metrics)
	return err
}

// TargetsOfService returns the targets of a service.
func (f *Fleet) TargetsOfService(name contract.ServiceName) []*Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*Target
	for _, t := range f.Targets {
		if t.Service == name {
			out = append(out, t)
		}
	}
	return out
}
