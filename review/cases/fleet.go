package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jaytack/jaytack/internal/standin/loopback"
	"github.com/jaytack/jaytack/platform/platformtest"
)

// Figures of the deployment, those of the small sites.
const (
	heartbeatEvery  = 1200 * time.Millisecond
	flowLifetime    = 60 * time.Second
	idleTimeout     = 15 * time.Second
	drainBound      = 3 * time.Second
	readyInterval   = 500 * time.Millisecond
	maxMissedProbes = 2
	// startTimeout is how long the fleet may take until all fronts are ready.
	startTimeout = 15 * time.Second
	routePort    = 443
)

// ports are the ports of all machines.
type ports struct {
	callers, ready, control, outbound, app, peers uint16
}

// machine is a front or side machine with its daemon.
type machine struct {
	fleet             *fleet
	name, role, class string
	zone              string
	zoneIndex         int
	ip                netip.Addr
	service           string
	target            *target
	// isSpare is set until the machine is added during the case.
	isSpare bool
	// storeAddr is where the machine reaches the store, which answers 503 while turnedAway is set.
	storeAddr  string
	turnedAway atomic.Bool

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	missed  int
	isReady bool
}

// fleet is a small deployment of the real daemons with stand-ins for the platform, clients and
// targets.
type fleet struct {
	layout
	rec      *record
	network  loopback.Network
	ports    ports
	binary   string
	dir      string
	store    *platformtest.Store
	machines []*machine
	done     chan struct{}
	closers  []func()

	mu       sync.Mutex
	requests int
	// allowed holds the services to which any version has routed an address.
	allowed map[endpoint][]string
}

// platformHandler serves the store to one machine as the pages describe it: without the header of
// the stand-in that they do not name. It answers 503 while the store turns the machine away.
type platformHandler struct {
	http.Handler
	*machine
}

type plainWriter struct{ http.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w plainWriter) WriteHeader(status int) {
	w.Header().Del("Store-Era")
	w.ResponseWriter.WriteHeader(status)
}

// ServeHTTP implements http.Handler.
func (h platformHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.turnedAway.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	h.Handler.ServeHTTP(plainWriter{w}, r)
}

// layout is the number of machines in each zone.
type layout struct {
	zones, frontsPerZone int
	// targets holds the number of side machines in each zone by service.
	targets map[string]int
	// spare is the service of a side machine of the first zone that is added during the case.
	spare string
	// flowLifetime is the bound in the settings, idleTimeout the limit in the configuration.
	flowLifetime, idleTimeout time.Duration
}

// services are the services of a fleet, each with an address of its own.
var services = []string{"padron", "recuento"}

// address returns the address that clients of a service use. It stands in packets only.
func address(service string) endpoint {
	for i, s := range services {
		if s == service {
			return endpoint{ipNumber(netip.AddrFrom4([4]byte{127, 255, 0, byte(i + 1)})), routePort}
		}
	}
	return endpoint{}
}

func newFleet(rec *record, binary string, l layout) (*fleet, error) {
	network, release, err := loopback.Reserve()
	if err != nil {
		return nil, err
	}
	f := &fleet{layout: l, rec: rec, network: network, binary: binary, store: platformtest.New(), done: make(chan struct{}), allowed: make(map[endpoint][]string), closers: []func(){release}}
	if f.dir, err = os.MkdirTemp("", "jaytack-review-"); err != nil {
		return nil, err
	}
	f.closers = append(f.closers, func() { _ = os.RemoveAll(f.dir) })
	if f.ports, err = freePorts(); err != nil {
		return nil, err
	}
	for z := range l.zones {
		n := 0
		add := func(role, class, service string) {
			n++
			f.machines = append(f.machines, &machine{
				fleet: f, name: fmt.Sprintf("%s-zone-%d-%d", class, z, n), role: role, class: class, zone: zoneName(z), zoneIndex: z,
				ip: network.Addr(byte(z+1), byte(n)), service: service,
			})
		}
		for range l.frontsPerZone {
			add("balancer", "frontend", "")
		}
		for _, s := range services {
			for range l.targets[s] {
				add("agent", "side", s)
			}
		}
		if z == 0 && l.spare != "" {
			add("agent", "side", l.spare)
			f.machines[len(f.machines)-1].isSpare = true
		}
	}
	for i, m := range f.machines {
		if err := f.serveStore(m, i+1); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// serveStore serves the store to a machine at an address of its own.
func (f *fleet) serveStore(m *machine, n int) error {
	lis, err := net.Listen("tcp4", netip.AddrPortFrom(f.network.Addr(200, byte(n)), 0).String())
	if err != nil {
		return err
	}
	srv := &httptest.Server{Listener: lis, Config: &http.Server{Handler: platformHandler{f.store, m}, ReadHeaderTimeout: time.Second}}
	srv.Start()
	f.closers = append(f.closers, func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	m.storeAddr = lis.Addr().String()
	return nil
}

func zoneName(z int) string { return fmt.Sprintf("zone-%d", z) }

// freePorts returns ports on which nothing listens, below the range that the kernel uses
// for outgoing connections.
func freePorts() (p ports, err error) {
	for _, port := range []*uint16{&p.callers, &p.ready, &p.control, &p.outbound, &p.app, &p.peers} {
		if *port, err = freePort(); err != nil {
			return p, err
		}
	}
	return p, nil
}

func freePort() (uint16, error) {
	for range 100 {
		port := uint16(12000 + rand.IntN(18000))
		lis, err := net.Listen("tcp4", "127.0.0.1:"+strconv.Itoa(int(port)))
		if err != nil {
			continue
		}
		_ = lis.Close()
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: int(port)})
		if err != nil {
			continue
		}
		_ = conn.Close()
		return port, nil
	}
	return 0, errors.New("no free port")
}

func (m *machine) addr(port uint16) string { return netip.AddrPortFrom(m.ip, port).String() }

func (m *machine) udp(port uint16) *net.UDPAddr {
	return net.UDPAddrFromAddrPort(netip.AddrPortFrom(m.ip, port))
}

// start starts the daemons and targets and waits until all fronts are ready.
func (f *fleet) start() error {
	f.publish(1, nil)
	for _, m := range f.machines {
		if m.isSpare {
			continue
		}
		if err := m.startDaemon(); err != nil {
			return err
		}
		if m.role == "agent" {
			if _, err := f.startTarget(m, "i-"+m.name, 0); err != nil {
				return err
			}
		}
	}
	go f.probeFronts()
	for end := time.Now().Add(startTimeout); ; {
		if f.allReady() {
			break
		}
		if time.Now().After(end) {
			return errors.New("the fronts are not ready")
		}
		time.Sleep(50 * time.Millisecond)
	}
	// Traffic starts some seconds after the machines do.
	time.Sleep(4 * time.Second)
	return nil
}

// publish writes a version of the configuration. Addresses are routed to their services, except
// those in moved, which are routed to another one.
func (f *fleet) publish(version int, moved map[string]string) {
	c := configuration{Version: version, Services: services, IdleMillis: f.idleTimeout.Milliseconds()}
	for _, s := range services {
		a, to := addrPort(address(s)), s
		if moved[s] != "" {
			to = moved[s]
		}
		f.allow(address(s), to)
		c.Routes = append(c.Routes, configuredRoute{a.Addr().String(), a.Port(), to})
	}
	text, err := encodeMessage("configuration", c)
	if err == nil {
		f.store.Put(configurationKey, text)
	}
}

// settings returns the settings of a machine's daemon.
func (m *machine) settings() daemonSettings {
	f := m.fleet
	zones := make(map[string]string)
	for _, other := range f.machines {
		zones[other.zone] = "region"
	}
	s := daemonSettings{
		Name: m.name, Role: m.role, Class: m.class, IP: m.ip.String(), Zone: m.zone, Zones: zones, Callers: m.addr(f.ports.callers), Ready: m.addr(f.ports.ready),
		Store: m.storeAddr, Peers: f.ports.peers, LastPeers: f.ports.peers + 15,
		HeartbeatMillis: heartbeatEvery.Milliseconds(), DrainMillis: drainBound.Milliseconds(), LifetimeSeconds: f.flowLifetime.Seconds(),
	}
	if m.role == "agent" {
		s.Outbound, s.Control, s.App, s.Service = m.addr(f.ports.outbound), m.addr(f.ports.control), m.addr(f.ports.app), m.service
	}
	return s
}

// startDaemon starts the daemon of a machine with the command of the deploy file.
func (m *machine) startDaemon() error {
	text, err := encodeMessage("settings", m.settings())
	if err != nil {
		return err
	}
	path := filepath.Join(m.fleet.dir, m.name)
	if err := os.WriteFile(path+".json", text, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(path+".log", os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(m.fleet.binary, m.role, "--metrics-port=9464")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), settingsVariable + "=" + path + ".json"}
	cmd.Stdout, cmd.Stderr = log, log
	// The daemon ends with this process, however it ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.exited = cmd, exited
	m.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the daemon of a machine.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		_ = m.cmd.Process.Signal(s)
	}
}

// endDaemon sends a signal to the daemon of a machine and waits until it has exited.
func (m *machine) endDaemon(s syscall.Signal) {
	m.signal(s)
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// close ends all processes and stand-ins. The logs of the daemons are kept in keepLogs, if set.
func (f *fleet) close(keepLogs string) {
	close(f.done)
	for _, m := range f.machines {
		if m.target != nil {
			m.target.stop()
		}
		m.endDaemon(syscall.SIGKILL)
	}
	if keepLogs != "" {
		for _, m := range f.machines {
			if text, err := os.ReadFile(filepath.Join(f.dir, m.name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(keepLogs, m.name+".log"), text, 0o600)
			}
		}
	}
	for i := len(f.closers) - 1; i >= 0; i-- {
		f.closers[i]()
	}
}

// probeFronts asks all fronts twice a second whether they are ready, as the routers do.
func (f *fleet) probeFronts() {
	tick := time.NewTicker(readyInterval)
	defer tick.Stop()
	for {
		for _, m := range f.machines {
			if m.role == "balancer" {
				go m.probe()
			}
		}
		select {
		case <-f.done:
			return
		case <-tick.C:
		}
	}
}

func (m *machine) probe() {
	ctx, cancel := context.WithTimeout(context.Background(), readyInterval)
	defer cancel()
	ok := false
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.addr(m.fleet.ports.ready)+"/api/ready", nil)
	if err == nil {
		if res, err := http.DefaultClient.Do(req); err == nil {
			ok = res.StatusCode == http.StatusOK
			_ = res.Body.Close()
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.missed++; ok {
		m.missed = 0
	}
	m.isReady = ok
}

func (f *fleet) allReady() bool {
	for _, m := range f.machines {
		m.mu.Lock()
		ok := m.role != "balancer" || m.isReady
		m.mu.Unlock()
		if !ok {
			return false
		}
	}
	return true
}

// frontFor returns the front to which the router of a zone sends a flow: by a hash over those in
// rotation, over all of the zone if fewer than half are, and nil if none is.
func (f *fleet) frontFor(zone int, id flowID) *machine {
	var ready, all []*machine
	for _, m := range f.machines {
		if m.role != "balancer" || m.zoneIndex != zone {
			continue
		}
		all = append(all, m)
		m.mu.Lock()
		if m.missed < maxMissedProbes {
			ready = append(ready, m)
		}
		m.mu.Unlock()
	}
	if len(ready) > 0 && 2*len(ready) < len(all) {
		ready = all
	}
	if len(ready) == 0 {
		return nil
	}
	return ready[(uint32(id.client.port)*2654435761>>8+id.client.ip)%uint32(len(ready))]
}

// newRequest returns a new Request-Id.
func (f *fleet) newRequest() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests++
	return strconv.Itoa(f.requests)
}

// sides returns the side machines of a service.
func (f *fleet) sides(service string) []*machine {
	var out []*machine
	for _, m := range f.machines {
		if m.service == service && m.role == "agent" {
			out = append(out, m)
		}
	}
	return out
}

// checkReset checks a reset that the system sent on an open flow: rule FLOW, (a).
func (f *fleet) checkReset(id flowID, openedAt time.Time) {
	for _, m := range f.machines {
		if m.target == nil {
			continue
		}
		idle, held := m.target.holds(id)
		if !held {
			continue
		}
		switch age := time.Since(openedAt); {
		case age > f.flowLifetime || idle > f.idleTimeout:
			f.rec.log("reset of %v, %v old and idle for %v", id, age, idle)
		default:
			f.rec.breakRule("FLOW: client got a reset of flow %v, open for %v, that its target %s did not send and still holds", id, age.Round(time.Millisecond), m.target.id)
		}
	}
}

// allow records that a version routes an address to a service.
func (f *fleet) allow(a endpoint, service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.allowed[a] = append(f.allowed[a], service)
}

// checkOpening checks the packet that opens a flow at a target: rules ROUTE and DRAIN. The caller
// holds the target's lock.
func (f *fleet) checkOpening(t *target, id flowID) {
	f.mu.Lock()
	allowed := slices.Contains(f.allowed[id.address], t.machine.service)
	f.mu.Unlock()
	if !allowed {
		f.rec.breakRule("ROUTE: flow %v reached target %s of %s", id, t.id, t.machine.service)
	}
	if t.drainAckedAt.IsZero() {
		return
	}
	if since := time.Since(t.drainAckedAt); since > drainBound {
		f.rec.breakRule("DRAIN: flow %v reached target %s %v after it was acknowledged as draining", id, t.id, since.Round(time.Millisecond))
	}
}
