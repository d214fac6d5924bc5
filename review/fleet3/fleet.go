package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/jaytack/jaytack/internal/standin/loopback"
	"github.com/jaytack/jaytack/platform/platformtest"
)

// Ports, the same on all machines.
const (
	portDatagrams = 8172
	portReady     = 8167
	portControl   = 8166
	portOutbound  = 8171
	portApp       = 8080
	portStore     = 8169
	portPeers     = 7720
)

// Bounds of the settings.
const (
	touchFor = 4 * time.Second
	// endTimeout is the time from SIGTERM to SIGKILL.
	endTimeout = 6 * time.Second
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = 300 * time.Millisecond
)

// node is a machine with one daemon.
type node struct {
	name, role, zone, service string
	ip                        netip.Addr
	// readAt is when the daemon last read the list of its peers from the store.
	readMu sync.Mutex
	readAt time.Time

	log    *os.File
	cmd    *exec.Cmd
	exited chan struct{}
}

func (n *node) addr(port uint16) netip.AddrPort { return netip.AddrPortFrom(n.ip, port) }

// fleet is a deployment.
type fleet struct {
	rec     *record
	network loopback.Network
	release func()
	dir     string
	daemon  string
	store   *platformtest.Store
	nodes   []*node

	mu sync.Mutex
	// ready holds the balancers in rotation, misses the missed checks of each.
	ready   map[*node]bool
	misses  map[*node]int
	version int
	closed  chan struct{}
}

// newFleet returns a fleet with a store and no machines.
func newFleet(rec *record, daemon string) (*fleet, error) {
	network, release, err := loopback.Reserve()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "fleet3-")
	if err != nil {
		return nil, err
	}
	f := &fleet{
		rec: rec, network: network, release: release, dir: dir, daemon: daemon, store: platformtest.New(),
		ready: make(map[*node]bool), misses: make(map[*node]int), closed: make(chan struct{}),
	}
	go f.pollReadiness()
	return f, nil
}

// serviceAddress returns the address of the i-th route.
func (f *fleet) serviceAddress(i int) endpoint {
	return endpointOf(netip.AddrPortFrom(f.network.Addr(210, byte(i+1)), 8443))
}

// configure writes a new version of the configuration: route i goes to services[i].
func (f *fleet) configure(services ...string) {
	f.version += 3
	routes := []map[string]any{}
	for i, s := range services {
		if s == "" {
			continue
		}
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "host": f.network.Addr(210, byte(i+1)).String(), "prefix": "/8443/", "kind": "unsafe",
			"timeout_ms": 2500, "aim_ms": 150, "priority": 1, "service": s, "max_attempts": 2,
		})
	}
	b, _ := json.Marshal(map[string]any{"version": f.version, "routes": routes, "services": []any{}, "limits": map[string]any{names.IdleTimeout: 15000}})
	f.store.Put(names.ConfigurationKey, b)
	f.rec.printf("configuration %d: %v", f.version, services)
}

// add adds a machine. service is empty for a balancer.
func (f *fleet) add(role string, zone, number int, service string) *node {
	third := byte(zone + 1)
	if role == "agent" {
		third += 50
	}
	n := &node{name: fmt.Sprintf("%s-%d-%d", role, zone, number), role: role, zone: fmt.Sprintf("zone-%d", zone), service: service, ip: f.network.Addr(third, byte(number+1))}
	f.mu.Lock()
	f.nodes = append(f.nodes, n)
	f.mu.Unlock()
	f.serveStore(n)
	return n
}

// serveStore serves the store to one machine, and notes when its daemon reads the list of its
// peers.
func (f *fleet) serveStore(n *node) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.store.ServeHTTP(w, r)
		if r.URL.Path == names.ListPath {
			n.readMu.Lock()
			n.readAt = time.Now()
			n.readMu.Unlock()
		}
	})
	srv := &http.Server{Addr: n.addr(portStore).String(), Handler: handler, ReadHeaderTimeout: time.Second}
	go func() { _ = srv.ListenAndServe() }()
}

// lastRead returns when the daemon last read the list of its peers.
func (n *node) lastRead() time.Time {
	n.readMu.Lock()
	defer n.readMu.Unlock()
	return n.readAt
}

func (f *fleet) settings(n *node) []byte {
	listen := map[string]any{names.Datagrams: n.addr(portDatagrams).String(), "ready": n.addr(portReady).String()}
	s := map[string]any{
		"node_name": n.name, "role": n.role, "ip": n.ip.String(), "zone": n.zone, "region": "r",
		"zones": map[string]string{"zone-0": "r", "zone-1": "r", "zone-2": "r"}, "listen_addrs": listen,
		"internal_ports": []int{portPeers, portPeers + 15}, "seeds": []string{}, "bootstrap": true, "data_dir": nil, "discovery": "local", "entry": "announce",
		"limits":       map[string]any{"cpu_share": 0.24, "cpu_cores": 1, "memory_mb": 152, "max_fds": 4096, "link_mbps": 1000.0, "disk_mb": 0},
		"heartbeat_ms": heartbeatEvery.Milliseconds(), "contracts": []string{"base", "drain", "config", "cost", "recover", "flows", "platform"},
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": touchFor.Milliseconds(), "ack_ms": 5000, "catch_up_s": 4, "drain_ms": 3000, "grace_s": 6,
			"loss_slack_ms": 200, "config_apply_ms": 3000, "rollback_slack_ms": 250, "max_skew_ms": 12000, "recovery_s": 12, "reorder_ms": 2000, "flow_lifetime_s": 60,
		},
		"hash": "mod", "deploy_mode": "agent",
		"platform": map[string]any{
			"address": n.addr(portStore).String(), "deploy_mode": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000,
		},
	}
	if n.role == "agent" {
		listen["outbound"], listen["control"] = n.addr(portOutbound).String(), n.addr(portControl).String()
		s["app"], s["service"] = n.addr(portApp).String(), n.service
		s["serves"], s["machine_class"] = []string{"side"}, "side"
	} else {
		s["serves"], s["machine_class"] = []string{"frontend"}, "frontend"
	}
	b, _ := json.Marshal(s)
	return b
}

// start starts the daemon of a machine with the command of the deploy file.
func (f *fleet) start(n *node) error {
	path := filepath.Join(f.dir, n.name+".json")
	if err := os.WriteFile(path, f.settings(n), 0o600); err != nil {
		return err
	}
	if n.log == nil {
		log, err := os.Create(filepath.Join(f.dir, n.name+".log"))
		if err != nil {
			return err
		}
		n.log = log
	}
	n.cmd = exec.Command(f.daemon, n.role, "--metrics-port=9464")
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), names.SettingsEnv + "=" + path}
	n.cmd.Stdout, n.cmd.Stderr = n.log, n.log
	// The daemon ends with this process, however that ends.
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.exited = exited
	cmd := n.cmd
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	f.rec.printf("start %s pid %d", n.name, n.cmd.Process.Pid)
	return nil
}

// signal sends a signal to the daemon of a machine.
func (f *fleet) signal(n *node, s syscall.Signal) {
	f.rec.printf("%v to %s", s, n.name)
	if err := n.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		f.rec.printf("signal: %v", err)
	}
}

// stop sends SIGTERM and waits for the end of the daemon.
func (f *fleet) stop(n *node) {
	f.signal(n, syscall.SIGTERM)
	select {
	case <-n.exited:
	case <-time.After(endTimeout):
		f.signal(n, syscall.SIGKILL)
		<-n.exited
	}
}

// restart restarts a daemon as the platform does.
func (f *fleet) restart(n *node) error {
	f.stop(n)
	time.Sleep(restartDelay)
	return f.start(n)
}

// pollReadiness checks all balancers twice a second.
func (f *fleet) pollReadiness() {
	c := http.Client{Timeout: 400 * time.Millisecond}
	for {
		select {
		case <-f.closed:
			return
		case <-time.After(500 * time.Millisecond):
		}
		f.mu.Lock()
		nodes := slices.Clone(f.nodes)
		f.mu.Unlock()
		for _, n := range nodes {
			if n.role != "balancer" {
				continue
			}
			res, err := c.Get("http://" + n.addr(portReady).String() + "/api/ready")
			ok := err == nil && res.StatusCode == http.StatusOK
			if err == nil {
				_ = res.Body.Close()
			}
			f.mu.Lock()
			if ok {
				f.misses[n], f.ready[n] = 0, true
			} else if f.misses[n]++; f.misses[n] >= 2 {
				f.ready[n] = false
			}
			f.mu.Unlock()
		}
	}
}

// route returns the balancer of a zone that the routers choose for a flow.
func (f *fleet) route(zone string) func(id flowID) (netip.AddrPort, bool) {
	return func(id flowID) (netip.AddrPort, bool) {
		f.mu.Lock()
		defer f.mu.Unlock()
		var local, all []*node
		for _, n := range f.nodes {
			if n.role == "balancer" && f.ready[n] {
				all = append(all, n)
				if n.zone == zone {
					local = append(local, n)
				}
			}
		}
		if len(local) == 0 {
			local = all
		}
		if len(local) == 0 {
			return netip.AddrPort{}, false
		}
		h := id.client.ip*2654435761 + uint32(id.client.port)*40503 + id.address.ip
		return local[int(h>>8)%len(local)].addr(portDatagrams), true
	}
}

// waitReady waits until all balancers are in rotation.
func (f *fleet) waitReady(timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		missing := false
		f.mu.Lock()
		for _, n := range f.nodes {
			missing = missing || n.role == "balancer" && !f.ready[n]
		}
		f.mu.Unlock()
		if !missing {
			return nil
		}
	}
	return errors.New("balancers are not ready")
}

// close ends all daemons that the fleet started, by their process ids.
func (f *fleet) close(keepLogs bool) {
	close(f.closed)
	for _, n := range f.nodes {
		if n.cmd == nil {
			continue
		}
		_ = n.cmd.Process.Signal(syscall.SIGCONT)
		_ = n.cmd.Process.Kill()
		<-n.exited
		_ = n.log.Close()
	}
	f.release()
	if keepLogs {
		f.rec.printf("logs in %s", filepath.Base(f.dir))
		return
	}
	_ = os.RemoveAll(f.dir)
}
