package main

import (
	"context"
	"errors"
	"fmt"
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
	"syscall"
	"time"

	"github.com/jaytack/jaytack/internal/standin/loopback"
	"github.com/jaytack/jaytack/platform"
	"github.com/jaytack/jaytack/platform/platformtest"
)

// Ports, the same on all machines.
const (
	portDatagram = 18172
	portReady    = 18167
	portControl  = 18166
	portOutbound = 18162
	portApp      = 18165
	portInternal = 17720
)

// Figures of the deployment, as in the users' small site files.
const (
	heartbeatEvery = 1200 * time.Millisecond
	drainFor       = 3 * time.Second
	targetSlots    = 4
	idleTimeout    = 15 * time.Second
	stableWindow   = 4 * time.Second
	// restartDelay is how long a process that has ended stays down.
	restartDelay = 300 * time.Millisecond
	graceTime    = 6 * time.Second
	startTimeout = 10 * time.Second
)

// fleet is a small deployment on loopback addresses.
type fleet struct {
	*record
	network loopback.Network
	release func()
	dir     string
	store   *platformtest.Store
	server  *httptest.Server

	mu       sync.Mutex
	machines []*machine
	version  int
	routes   []routeMessage
	closers  []func()
	closed   bool
}

// machine runs one daemon.
type machine struct {
	f       *fleet
	name    string
	role    string
	zone    string
	ip      netip.Addr
	service string

	// cmd is the running process, nil if there is none; exited is closed when it ends.
	cmd    *exec.Cmd
	exited chan struct{}
	misses int
	ready  bool
}

func newFleet(rec *record) (*fleet, error) {
	network, release, err := loopback.Reserve()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: rec, network: network, release: release, dir: dir, store: platformtest.New()}
	f.server = httptest.NewServer(http.HandlerFunc(f.serveStore))
	return f, nil
}

// serveStore passes a call on to the store. The header that numbers restores of a store is
// not one of the platform's.
func (f *fleet) serveStore(w http.ResponseWriter, r *http.Request) {
	f.store.ServeHTTP(plainWriter{w}, r)
}

// plainWriter removes the header that numbers restores.
type plainWriter struct{ http.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w plainWriter) WriteHeader(status int) {
	w.Header().Del("Store-Era")
	w.ResponseWriter.WriteHeader(status)
}

// close ends all processes and releases what the fleet holds. It may be called twice.
func (f *fleet) close() {
	f.mu.Lock()
	closed, machines, closers := f.closed, f.machines, f.closers
	f.closed = true
	f.mu.Unlock()
	if closed {
		return
	}
	for _, m := range machines {
		m.signal(syscall.SIGKILL)
	}
	for _, c := range closers {
		c()
	}
	f.server.CloseClientConnections()
	f.server.Close()
	f.release()
	_ = os.RemoveAll(f.dir)
}

func (f *fleet) onClose(c func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closers = append(f.closers, c)
}

// routeHost returns the address of all routes. Nothing listens there: it stands in packets
// only.
func (f *fleet) routeHost() netip.Addr { return f.network.Addr(250, 1) }

// routeAddress returns the address of route n.
func (f *fleet) routeAddress(n int) endpoint {
	return endpoint{ipOf(f.routeHost()), uint16(8080 + n)}
}

// addRoute adds a route to a service to the next configuration.
func (f *fleet) addRoute(service string) endpoint {
	a := f.routeAddress(len(f.routes))
	f.routes = append(f.routes, routeMessage{Host: f.routeHost().String(), Port: a.port, TimeoutMillis: 3000, Service: service})
	return a
}

// putConfiguration writes the routes as a new version.
func (f *fleet) putConfiguration() error {
	f.version += 2
	m := configurationMessage{Version: f.version, Routes: f.routes, IdleMillis: idleTimeout.Milliseconds()}
	for _, r := range f.routes {
		if !slices.Contains(m.Services, r.Service) {
			m.Services = append(m.Services, r.Service)
		}
	}
	b, err := encodeMessage("configuration", m)
	if err != nil {
		return err
	}
	f.store.Put(string(platform.ConfigurationKey), b)
	f.add("configuration", "version", f.version, "routes", len(f.routes))
	return nil
}

// addMachine adds a machine without a process. service is empty for a frontend.
func (f *fleet) addMachine(zone int, service string) *machine {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.machines) + 1
	m := &machine{f: f, zone: fmt.Sprintf("zone-%d", zone), ip: f.network.Addr(byte(zone), byte(n)), service: service, role: "balancer", name: fmt.Sprintf("frontend-%d", n)}
	if service != "" {
		m.role, m.name = "agent", fmt.Sprintf("side-%d", n)
	}
	f.machines = append(f.machines, m)
	return m
}

// addSides adds n side machines of a service.
func (f *fleet) addSides(service string, n int) []*machine {
	var out []*machine
	for range n {
		out = append(out, f.addMachine(1, service))
	}
	return out
}

func (m *machine) addr(port int) string { return m.ip.String() + ":" + strconv.Itoa(port) }

func (m *machine) udpAddr(port int) *net.UDPAddr {
	return net.UDPAddrFromAddrPort(netip.AddrPortFrom(m.ip, uint16(port)))
}

func (m *machine) settingsPath() string { return filepath.Join(m.f.dir, m.name+".json") }

// writeSettings writes the settings file that the platform gives the process.
func (m *machine) writeSettings() error {
	b, err := encodeMessage("settings", settingsMessage{
		Name: m.name, Role: m.role, Class: map[string]string{"balancer": "frontend", "agent": "side"}[m.role], IP: m.ip.String(), Zone: m.zone, Service: m.service,
		Datagram: m.addr(portDatagram), Ready: m.addr(portReady), Control: m.addr(portControl), Outbound: m.addr(portOutbound), App: m.addr(portApp),
		Store: m.f.server.Listener.Addr().String(), InternalPort: portInternal, LastInternalPort: portInternal + 15,
		HeartbeatMillis: heartbeatEvery.Milliseconds(), StableMillis: stableWindow.Milliseconds(), DrainMillis: drainFor.Milliseconds(), GraceSeconds: graceTime.Seconds(),
	})
	if err != nil {
		return err
	}
	return os.WriteFile(m.settingsPath(), b, 0o600)
}

// startProcess starts the daemon with the command of the deploy file.
func (m *machine) startProcess() error {
	if err := m.writeSettings(); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.f.dir, m.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/jaytackd", m.role, "--metrics-port=9464")
	cmd.Env = []string{platform.SettingsEnv + "=" + m.settingsPath(), "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.f.mu.Lock()
	m.cmd, m.exited = cmd, exited
	m.f.mu.Unlock()
	m.f.add("process starts", "machine", m.name, "pid", cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		m.f.add("process ends", "machine", m.name, "result", err)
		close(exited)
	}()
	return nil
}

// signal sends a signal to the machine's process.
func (m *machine) signal(s syscall.Signal) {
	m.f.mu.Lock()
	cmd := m.cmd
	m.f.mu.Unlock()
	if cmd == nil {
		return
	}
	if err := cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		m.f.add("signal failed", "machine", m.name, "reason", err)
	}
}

// restart stops the process as the platform does for planned work and starts it again.
func (m *machine) restart(s syscall.Signal) error {
	m.f.add("process is stopped", "machine", m.name, "signal", s)
	m.signal(s)
	select {
	case <-m.exited:
	case <-time.After(graceTime):
		m.signal(syscall.SIGKILL)
		<-m.exited
	}
	time.Sleep(restartDelay)
	return m.startProcess()
}

// startAll starts the processes of all machines.
func (f *fleet) startAll() error {
	for _, m := range f.machines {
		if err := m.startProcess(); err != nil {
			return err
		}
	}
	go f.probeReadiness()
	return nil
}

// awaitReady waits until all frontends are ready.
func (f *fleet) awaitReady() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if f.allReady() {
			return nil
		}
	}
	return errors.New("the frontends did not become ready")
}

func (f *fleet) allReady() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.machines {
		if m.role == "balancer" && !m.ready {
			return false
		}
	}
	return true
}

// probeReadiness asks the frontends twice a second whether they are ready.
func (f *fleet) probeReadiness() {
	for {
		f.mu.Lock()
		machines, closed := f.machines, f.closed
		f.mu.Unlock()
		if closed {
			return
		}
		for _, m := range machines {
			if m.role == "balancer" {
				go m.probe()
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
}

func (m *machine) probe() {
	ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer cancel()
	ok := false
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.addr(portReady)+"/api/ready", nil)
	if err == nil {
		if res, err := http.DefaultClient.Do(req); err == nil {
			ok = res.StatusCode == http.StatusOK
			_ = res.Body.Close()
		}
	}
	m.f.mu.Lock()
	defer m.f.mu.Unlock()
	if m.misses++; ok {
		m.misses = 0
	}
	if now := m.misses < 2; now != m.ready {
		m.ready = now
		m.f.add("rotation", "machine", m.name, "in", now)
	}
}

// frontendFor returns the frontend to which the routers send a flow's packets: a hash by
// mod over the frontends in rotation, or over all if fewer than half are.
func (f *fleet) frontendFor(id flowID) *machine {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all, ready []*machine
	for _, m := range f.machines {
		if m.role != "balancer" {
			continue
		}
		all = append(all, m)
		if m.ready {
			ready = append(ready, m)
		}
	}
	if 2*len(ready) < len(all) {
		ready = all
	}
	hash := (uint64(id.client.ip)<<16 | uint64(id.client.port)) * 0x9e3779b97f4a7c15 >> 33
	return ready[hash%uint64(len(ready))]
}
