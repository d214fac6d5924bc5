// Package fabric is a stand-in for the network in front of the balancers.
//
// It listens on the services' addresses and forwards each datagram to a random
// balancer among those that announced themselves. It can delay, drop and reorder
// datagrams and cut off individual balancers.
//
// # Usage
//
//	f, err := fabric.New(cfg, logger)
//	f.SetFaults(fabric.Faults{LossPerMille: 20})
//	defer f.Close()
//
// POST /standin/faults at the admin address also sets the faults. GET
// /standin/spread returns the Spread.
package fabric

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jaytack/jaytack/internal/flow/tunnel"
	"github.com/jaytack/jaytack/internal/process/eventlog"
	"github.com/jaytack/jaytack/internal/process/settings"
	"github.com/jaytack/jaytack/internal/process/sockets"
)

// balancerTimeout is the time without an announcement after which a balancer gets no
// more datagrams.
const balancerTimeout = time.Second

// maxSpreadFlows limits the number of flows whose balancers are recorded.
const maxSpreadFlows = 100_000

// Faults are the injected faults.
type Faults struct {
	// LossPerMille is the number of datagrams lost per thousand, in each direction.
	LossPerMille int
	// DelayMillis is the additional delay of each datagram, to which a random delay of
	// less than JitterMillis is added.
	DelayMillis  int
	JitterMillis int
	// CutTo lists balancers that get no datagrams, CutFrom those whose answers are dropped.
	CutTo   []netip.AddrPort
	CutFrom []netip.AddrPort
}

// Spread is the distribution of the flows' datagrams over the balancers.
type Spread struct {
	// Flows is the number of recorded caller addresses. Shared is the number of those
	// whose datagrams went to more than one balancer.
	Flows, Shared int
	// Datagrams is the number of datagrams forwarded to balancers.
	Datagrams int
}

// Fabric is the stand-in. It is safe for concurrent use.
type Fabric struct {
	*eventlog.Logger
	cfg       settings.StandinFabric
	tunnel    *net.UDPConn
	addresses map[netip.AddrPort]*net.UDPConn
	admin     *http.Server
	wg        sync.WaitGroup

	mu                sync.Mutex
	random            *rand.Rand
	lastAnnouncement  map[netip.AddrPort]time.Time
	activeBalancers   []netip.AddrPort
	faults            Faults
	balancersByCaller map[netip.AddrPort]map[netip.AddrPort]bool
	datagrams         int
}

// New starts the fabric.
func New(cfg settings.StandinFabric, j *eventlog.Logger) (*Fabric, error) {
	f := &Fabric{
		Logger: j, cfg: cfg, addresses: make(map[netip.AddrPort]*net.UDPConn),
		random: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)), lastAnnouncement: make(map[netip.AddrPort]time.Time),
		balancersByCaller: make(map[netip.AddrPort]map[netip.AddrPort]bool),
	}
	var err error
	if f.tunnel, err = sockets.Listen(cfg.Listen); err != nil {
		return nil, err
	}
	for _, a := range cfg.Addresses {
		if f.addresses[a], err = sockets.Listen(a); err != nil {
			f.closeSockets()
			return nil, err
		}
	}
	if err := f.serveAdmin(); err != nil {
		f.closeSockets()
		return nil, err
	}
	for a, c := range f.addresses {
		f.startGoroutine(func() { f.receiveFromCallers(a, c) })
	}
	f.startGoroutine(f.receiveFromBalancers)
	return f, nil
}

func (f *Fabric) startGoroutine(g func()) {
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		g()
	}()
}

// Close closes the sockets and waits for the goroutines to end.
func (f *Fabric) Close() {
	f.closeSockets()
	if f.admin != nil {
		_ = f.admin.Close()
	}
	f.wg.Wait()
}

func (f *Fabric) closeSockets() {
	_ = f.tunnel.Close()
	for _, c := range f.addresses {
		if c != nil {
			_ = c.Close()
		}
	}
}

// SetFaults replaces the faults.
func (f *Fabric) SetFaults(v Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = v
}

// Spread returns the distribution of flows so far.
func (f *Fabric) Spread() Spread {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := Spread{Flows: len(f.balancersByCaller), Datagrams: f.datagrams}
	for _, b := range f.balancersByCaller {
		if len(b) > 1 {
			s.Shared++
		}
	}
	return s
}

// Balancers returns the balancers that currently get datagrams.
func (f *Fabric) Balancers() []netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.removeSilentBalancers()
	return slices.Clone(f.activeBalancers)
}

func (f *Fabric) receiveFromCallers(address netip.AddrPort, c *net.UDPConn) {
	buf := make([]byte, tunnel.MaxDatagram)
	for {
		n, caller, err := c.ReadFromUDPAddrPort(buf[tunnel.HeaderLength:])
		if err != nil {
			if f.isClosed(err) {
				return
			}
			continue
		}
		caller = netip.AddrPortFrom(caller.Addr().Unmap(), caller.Port())
		to, delay, ok := f.chooseBalancer(caller)
		if !ok {
			continue
		}
		datagram := buf[:tunnel.HeaderLength+n]
		tunnel.PutPlain(datagram, tunnel.Header{Kind: tunnel.FromFabric, Caller: caller, ServiceAddress: address})
		f.send(f.tunnel, datagram, to, delay)
	}
}

func (f *Fabric) isClosed(err error) bool {
	return eris.Is(err, net.ErrClosed)
}

// chooseBalancer chooses a random balancer for a caller's datagram. It returns false if the
// datagram is to be dropped.
func (f *Fabric) chooseBalancer(caller netip.AddrPort) (to netip.AddrPort, delay time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.removeSilentBalancers()
	if len(f.activeBalancers) == 0 || f.drawLoss() {
		return to, 0, false
	}
	to = f.activeBalancers[f.random.IntN(len(f.activeBalancers))]
	if slices.Contains(f.faults.CutTo, to) {
		return to, 0, false
	}
	f.datagrams++
	if len(f.balancersByCaller) < maxSpreadFlows {
		if f.balancersByCaller[caller] == nil {
			f.balancersByCaller[caller] = make(map[netip.AddrPort]bool)
		}
		f.balancersByCaller[caller][to] = true
	}
	return to, f.drawDelay(), true
}

func (f *Fabric) drawLoss() bool {
	return f.faults.LossPerMille > 0 && f.random.IntN(1000) < f.faults.LossPerMille
}

func (f *Fabric) drawDelay() time.Duration {
	d := time.Duration(f.cfg.Delay) + time.Duration(f.faults.DelayMillis)*time.Millisecond
	if f.faults.JitterMillis > 0 {
		d += time.Duration(f.random.IntN(f.faults.JitterMillis*1000)) * time.Microsecond
	}
	return d
}

// removeSilentBalancers removes balancers without an announcement for balancerTimeout.
func (f *Fabric) removeSilentBalancers() {
	for a, at := range f.lastAnnouncement {
		if time.Since(at) > balancerTimeout {
			f.removeBalancer(a, "Silent")
		}
	}
}

func (f *Fabric) removeBalancer(a netip.AddrPort, reason string) {
	delete(f.lastAnnouncement, a)
	f.activeBalancers = slices.DeleteFunc(f.activeBalancers, func(b netip.AddrPort) bool { return a == b })
	f.Info("BalancerDown", "Balancer", a, "Reason", reason)
}

func (f *Fabric) send(c *net.UDPConn, datagram []byte, to netip.AddrPort, delay time.Duration) {
	if delay <= 0 {
		_, _ = c.WriteToUDPAddrPort(datagram, to)
		return
	}
	delayed := slices.Clone(datagram)
	time.AfterFunc(delay, func() { _, _ = c.WriteToUDPAddrPort(delayed, to) })
}

func (f *Fabric) receiveFromBalancers() {
	buf := make([]byte, tunnel.MaxDatagram)
	for {
		n, from, err := f.tunnel.ReadFromUDPAddrPort(buf)
		if err != nil {
			if f.isClosed(err) {
				return
			}
			continue
		}
		if up, ok := tunnel.ParseAnnouncement(buf[:n]); ok {
			f.handleAnnouncement(from, up)
			continue
		}
		f.forwardAnswer(buf[:n], from)
	}
}

func (f *Fabric) forwardAnswer(datagram []byte, from netip.AddrPort) {
	h, payload, err := tunnel.OpenPlain(datagram)
	c := f.addresses[h.ServiceAddress]
	if err != nil || h.Kind != tunnel.ToFabric || c == nil {
		return
	}
	f.mu.Lock()
	drop := f.drawLoss() || slices.Contains(f.faults.CutFrom, from)
	delay := f.drawDelay()
	f.mu.Unlock()
	if !drop {
		f.send(c, payload, h.Caller, delay)
	}
}

func (f *Fabric) handleAnnouncement(from netip.AddrPort, up bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, known := f.lastAnnouncement[from]
	switch {
	case up && !known:
		f.lastAnnouncement[from] = time.Now()
		f.activeBalancers = append(f.activeBalancers, from)
		f.Info("BalancerUp", "Balancer", from)
	case up:
		f.lastAnnouncement[from] = time.Now()
	case known:
		f.removeBalancer(from, "Withdrawn")
	}
}

func (f *Fabric) serveAdmin() error {
	if !f.cfg.Admin.IsValid() {
		return nil
	}
	lis, err := net.Listen("tcp", f.cfg.Admin.String())
	if err != nil {
		return eris.Wrap(err, "admin address")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /standin/faults", func(w http.ResponseWriter, r *http.Request) {
		var v Faults
		if err := json.NewDecoder(r.Body).Decode(&v); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		f.SetFaults(v)
	})
	mux.HandleFunc("GET /standin/spread", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(f.Spread())
	})
	f.admin = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	f.startGoroutine(func() { _ = f.admin.Serve(lis) })
	return nil
}
