package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/jaytack/jaytack/internal/standin/loopback"
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
	routes   []map[string]any
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

// routeAddress returns the address of route n.
func (f *fleet) routeAddress(n int) endpoint {
	return endpoint{ipOf(netip.MustParseAddr("198.18.0.1")), uint16(8080 + n)}
}

// addRoute adds a route to a service to the next configuration.
func (f *fleet) addRoute(service string) endpoint {
	n := len(f.routes)
	a := f.routeAddress(n)
	f.routes = append(f.routes, map[string]any{
		"name": fmt.Sprintf("r-%d", n), "host": "198.18.0.1", "prefix": fmt.Sprintf("/%d/", a.port), "kind": "unsafe",
		"timeout_ms": 3000, "aim_ms": 200, "priority": 1, "service": service, "max_attempts": 2,
	})
	return a
}

// putConfiguration writes the routes as a new version.
func (f *fleet) putConfiguration() error {
	f.version += 2
	services := map[string]bool{}
	list := []map[string]any{}
	for _, r := range f.routes {
		name, ok := r["service"].(string)
		if !ok || services[name] {
			continue
		}
		services[name] = true
		list = append(list, map[string]any{"name": name, "health_path": "/health", "max_conns": 2000, "protocol": "h1", "tls": false})
	}
	b, err := json.Marshal(map[string]any{
		"version": f.version, "routes": f.routes, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": idleTimeout.Milliseconds()},
	})
	if err != nil {
		return err
	}
	f.store.Put("op/config", b)
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

func (m *machine) addr(port int) string { return m.ip.String() + ":" + strconv.Itoa(port) }

func (m *machine) udpAddr(port int) *net.UDPAddr {
	return net.UDPAddrFromAddrPort(netip.AddrPortFrom(m.ip, uint16(port)))
}

func (m *machine) settingsPath() string { return filepath.Join(m.f.dir, m.name+".json") }

// writeSettings writes the settings file that the platform gives the process.
func (m *machine) writeSettings() error {
	class := map[string]string{"balancer": "frontend", "agent": "side"}[m.role]
	listen := map[string]string{"datagram_addr": m.addr(portDatagram), "ready": m.addr(portReady), "control": m.addr(portControl)}
	s := map[string]any{
		"node_name": m.name, "role": m.role, "machine_class": class, "serves": []string{class}, "ip": m.ip.String(), "zone": m.zone, "region": "region",
		"zones": map[string]string{m.zone: "region"}, "listen_addrs": listen, "internal_ports": []int{portInternal, portInternal + 15},
		"bootstrap": true, "fault_counted": false, "data_dir": nil, "discovery": "local", "entry": "announce", "heartbeat_ms": heartbeatEvery.Milliseconds(),
		"limits": map[string]any{"cpu_share": 0.24, "cpu_cores": 1, "memory_mb": 152, "max_fds": 4096, "link_mbps": 1000.0, "disk_mb": 0},
		"bounds": map[string]any{
			"stable_window_ms": stableWindow.Milliseconds(), "drain_ms": drainFor.Milliseconds(), "grace_s": graceTime.Seconds(), "ack_ms": 5000,
			"config_apply_ms": 3000, "rollback_slack_ms": 250, "max_skew_ms": 12000, "recovery_s": 12, "reorder_ms": 2000, "flow_lifetime_s": 60,
		},
		"hash": "mod", "deploy_mode": "agent",
		"platform": map[string]any{
			"address": m.f.server.Listener.Addr().String(), "deploy_mode": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20,
			"value_bytes": 1048576, "ttl_min_ms": 1000,
		},
	}
	if m.role == "agent" {
		listen["outbound"] = m.addr(portOutbound)
		s["app"], s["service"] = m.addr(portApp), m.service
	}
	b, err := json.Marshal(s)
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
	cmd.Env = []string{"JAYTACK_BOOT=" + m.settingsPath(), "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
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
