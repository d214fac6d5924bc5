// Package fabric is a stand-in for the network in front of the balancers.
//
// It listens on the services' addresses and hands each datagram to a random one
// of the balancers that announced themselves. It can delay, lose and reorder
// datagrams and cut single balancers off.
//
// # Usage
//
//	f, err := fabric.New(cfg, journal)
//	f.SetFaults(fabric.Faults{LossPerMille: 20})
//	defer f.Close()
//
// Faults are also set by POST /standin/faults at the admin address. GET
// /standin/spread returns how many balancers the flows' datagrams went to.
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

// balancerSilence is the time after which a balancer that does not announce
// itself gets no more datagrams.
const balancerSilence = time.Second

// maxSpread bounds the number of flows whose spread is kept.
const maxSpread = 100_000

// Faults is how the stand-in fails.
type Faults struct {
	// LossPerMille of the datagrams are lost, in each direction.
	LossPerMille int
	// DelayMillis is added to each datagram, plus up to JitterMillis.
	DelayMillis  int
	JitterMillis int
	// CutTo lists balancers that get no datagrams, CutFrom those whose answers are lost.
	CutTo   []netip.AddrPort
	CutFrom []netip.AddrPort
}

// Spread tells over how many balancers the datagrams of flows were spread.
type Spread struct {
	// Flows is the number of callers' addresses, Shared of those whose
	// datagrams went to more than one balancer.
	Flows, Shared int
	// Datagrams counts what was handed to balancers.
	Datagrams int
}

// Fabric is the network.
type Fabric struct {
	*eventlog.Logger
	cfg       settings.StandinFabric
	tunnel    *net.UDPConn
	addresses map[netip.AddrPort]*net.UDPConn
	admin     *http.Server
	wg        sync.WaitGroup

	mu        sync.Mutex
	random    *rand.Rand
	balancers map[netip.AddrPort]time.Time
	up        []netip.AddrPort
	faults    Faults
	spread    map[netip.AddrPort]map[netip.AddrPort]bool
	datagrams int
}

// New starts the fabric.
func New(cfg settings.StandinFabric, j *eventlog.Logger) (*Fabric, error) {
	f := &Fabric{
		Logger: j, cfg: cfg, addresses: make(map[netip.AddrPort]*net.UDPConn),
		random: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)), balancers: make(map[netip.AddrPort]time.Time),
		spread: make(map[netip.AddrPort]map[netip.AddrPort]bool),
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
		f.goes(func() { f.fromCallers(a, c) })
	}
	f.goes(f.fromBalancers)
	return f, nil
}

func (f *Fabric) goes(g func()) {
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		g()
	}()
}

// Close ends the fabric.
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

// Spread returns how flows were spread so far.
func (f *Fabric) Spread() Spread {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := Spread{Flows: len(f.spread), Datagrams: f.datagrams}
	for _, b := range f.spread {
		if len(b) > 1 {
			s.Shared++
		}
	}
	return s
}

// Balancers returns the balancers that take datagrams.
func (f *Fabric) Balancers() []netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expire()
	return slices.Clone(f.up)
}

func (f *Fabric) fromCallers(address netip.AddrPort, c *net.UDPConn) {
	buf := make([]byte, tunnel.MaxDatagram)
	for {
		n, caller, err := c.ReadFromUDPAddrPort(buf[tunnel.HeaderLength:])
		if err != nil {
			if f.closed(err) {
				return
			}
			continue
		}
		caller = netip.AddrPortFrom(caller.Addr().Unmap(), caller.Port())
		to, delay, ok := f.choose(caller)
		if !ok {
			continue
		}
		datagram := buf[:tunnel.HeaderLength+n]
		tunnel.PutPlain(datagram, tunnel.Header{Kind: tunnel.FromFabric, Caller: caller, ServiceAddress: address})
		f.deliver(f.tunnel, datagram, to, delay)
	}
}

func (f *Fabric) closed(err error) bool {
	return eris.Is(err, net.ErrClosed)
}

// choose draws a balancer for a caller's datagram.
func (f *Fabric) choose(caller netip.AddrPort) (to netip.AddrPort, delay time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expire()
	if len(f.up) == 0 || f.lost() {
		return to, 0, false
	}
	to = f.up[f.random.IntN(len(f.up))]
	if slices.Contains(f.faults.CutTo, to) {
		return to, 0, false
	}
	f.datagrams++
	if len(f.spread) < maxSpread {
		if f.spread[caller] == nil {
			f.spread[caller] = make(map[netip.AddrPort]bool)
		}
		f.spread[caller][to] = true
	}
	return to, f.delay(), true
}

func (f *Fabric) lost() bool {
	return f.faults.LossPerMille > 0 && f.random.IntN(1000) < f.faults.LossPerMille
}

func (f *Fabric) delay() time.Duration {
	d := time.Duration(f.cfg.Delay) + time.Duration(f.faults.DelayMillis)*time.Millisecond
	if f.faults.JitterMillis > 0 {
		d += time.Duration(f.random.IntN(f.faults.JitterMillis*1000)) * time.Microsecond
	}
	return d
}

// expire drops balancers that were silent for too long.
func (f *Fabric) expire() {
	for a, at := range f.balancers {
		if time.Since(at) > balancerSilence {
			f.drop(a, "Silent")
		}
	}
}

func (f *Fabric) drop(a netip.AddrPort, why string) {
	delete(f.balancers, a)
	f.up = slices.DeleteFunc(f.up, func(b netip.AddrPort) bool { return a == b })
	f.Info("BalancerDown", "Balancer", a, "Reason", why)
}

func (f *Fabric) deliver(c *net.UDPConn, datagram []byte, to netip.AddrPort, delay time.Duration) {
	if delay <= 0 {
		_, _ = c.WriteToUDPAddrPort(datagram, to)
		return
	}
	late := slices.Clone(datagram)
	time.AfterFunc(delay, func() { _, _ = c.WriteToUDPAddrPort(late, to) })
}

func (f *Fabric) fromBalancers() {
	buf := make([]byte, tunnel.MaxDatagram)
	for {
		n, from, err := f.tunnel.ReadFromUDPAddrPort(buf)
		if err != nil {
			if f.closed(err) {
				return
			}
			continue
		}
		if up, ok := tunnel.ParseAnnouncement(buf[:n]); ok {
			f.announced(from, up)
			continue
		}
		f.answer(buf[:n], from)
	}
}

func (f *Fabric) answer(datagram []byte, from netip.AddrPort) {
	h, payload, err := tunnel.OpenPlain(datagram)
	c := f.addresses[h.ServiceAddress]
	if err != nil || h.Kind != tunnel.ToFabric || c == nil {
		return
	}
	f.mu.Lock()
	drop := f.lost() || slices.Contains(f.faults.CutFrom, from)
	delay := f.delay()
	f.mu.Unlock()
	if !drop {
		f.deliver(c, payload, h.Caller, delay)
	}
}

func (f *Fabric) announced(from netip.AddrPort, up bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, known := f.balancers[from]
	switch {
	case up && !known:
		f.balancers[from] = time.Now()
		f.up = append(f.up, from)
		f.Info("BalancerUp", "Balancer", from)
	case up:
		f.balancers[from] = time.Now()
	case known:
		f.drop(from, "Withdrawn")
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
	f.goes(func() { _ = f.admin.Serve(lis) })
	return nil
}
