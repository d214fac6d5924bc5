package command

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/client"
	"github.com/jaytack/jaytack/internal/standin/caller"
	"github.com/jaytack/jaytack/internal/standin/fabric"
	"github.com/jaytack/jaytack/internal/standin/loopback"
)

var buildBinary = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "jaytack")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "jaytack")
	out, err := exec.Command("go", "build", "-o", path, "../../../cmd/jaytack").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
})

// system runs jaytack processes on loopback addresses.
type system struct {
	tb      testing.TB
	network loopback.Network
	dir     string
	binary  string
	procs   map[string]*exec.Cmd
	logs    map[string]*bytes.Buffer
}

func newSystem(tb testing.TB) *system {
	binary, err := buildBinary()
	qt.Assert(tb, err, qt.IsNil)
	network, release, err := loopback.Reserve()
	qt.Assert(tb, err, qt.IsNil)
	tb.Cleanup(release)
	s := &system{tb: tb, network: network, dir: tb.TempDir(), binary: binary, procs: make(map[string]*exec.Cmd), logs: make(map[string]*bytes.Buffer)}
	tb.Cleanup(s.killAll)
	s.run("keys", "generate", s.dir)
	return s
}

// expand replaces NET and DIR with the network and the directory.
func (s *system) expand(text string) string {
	return strings.NewReplacer("NET", fmt.Sprintf("127.%d", s.network), "DIR", s.dir).Replace(text)
}

func (s *system) writeFile(name, text string) string {
	path := filepath.Join(s.dir, name)
	qt.Assert(s.tb, os.WriteFile(path, []byte(s.expand(text)), 0o600), qt.IsNil)
	return path
}

// run runs a command in this process, requires status 0 and returns its output.
func (s *system) run(args ...string) string {
	out, status := s.runForStatus(args...)
	qt.Assert(s.tb, status, qt.Equals, 0, qt.Commentf("%v: %s", args, out))
	return out
}

func (s *system) runForStatus(args ...string) (string, int) {
	var out bytes.Buffer
	status := Run(args, &out, &out)
	return out.String(), status
}

func (s *system) start(name string, args ...string) {
	cmd := exec.Command(s.binary, args...)
	log := &bytes.Buffer{}
	cmd.Stderr, cmd.Stdout = log, log
	qt.Assert(s.tb, cmd.Start(), qt.IsNil)
	s.procs[name], s.logs[name] = cmd, log
}

func (s *system) signal(name string, sig syscall.Signal) {
	qt.Assert(s.tb, s.procs[name].Process.Signal(sig), qt.IsNil)
}

// stop sends SIGTERM to a process and requires exit status 0.
func (s *system) stop(name string) {
	s.signal(name, syscall.SIGTERM)
	err := s.procs[name].Wait()
	qt.Assert(s.tb, err, qt.IsNil, qt.Commentf("%s: %s", name, s.logs[name]))
	delete(s.procs, name)
}

func (s *system) killAll() {
	for _, p := range s.procs {
		_ = p.Process.Signal(syscall.SIGCONT)
		_ = p.Process.Kill()
		_ = p.Wait()
	}
}

func (s *system) startPlatform(services string) {
	s.start("store", "standin", "store", "--settings", s.writeFile("store.yaml", "Listen: NET.0.1:2379\n"))
	s.start("fabric", "standin", "fabric", "--settings", s.writeFile("fabric.yaml",
		"Listen: NET.0.2:7000\nAdmin: NET.0.2:7001\nAddresses: ["+services+"]\n"))
	s.awaitHTTP(s.expand("http://NET.0.2:7001/standin/spread"))
	s.awaitHTTP(s.expand("http://NET.0.1:2379/standin/calls"))
}

func (s *system) startBalancer(i int) {
	name := fmt.Sprintf("balancer-%d", i)
	s.start(name, "balancer", "--settings", s.writeFile(name+".yaml", fmt.Sprintf(`DataCentre: ar-sur-a
Tunnel: NET.1.%[1]d:7100
Control: NET.1.%[1]d:7200
Store: ["NET.0.1:2379"]
Seeds: ["NET.1.1:7100", "NET.1.2:7100"]
SystemKey: DIR/system.key
Fabric: NET.1.%[1]d:7000
FabricPeer: NET.0.2:7000
Linger: 1500ms
Metrics: NET.1.%[1]d:7300
`, i)))
}

func (s *system) startTarget(i int, customer, service string) {
	s.startUpstream(i, service)
	s.startAgent(i, customer, service)
}

func (s *system) startUpstream(i int, service string) {
	name := fmt.Sprintf("upstream-%d", i)
	s.start(name, "standin", "upstream", "--settings", s.writeFile(name+".yaml", fmt.Sprintf(
		"Name: %s-%d\nListen: NET.3.%d:8080\nSlots: 4\nService: 5ms\nSeed: %d\n", service, i, i, i)))
}

func (s *system) startAgent(i int, customer, service string) {
	name := fmt.Sprintf("agent-%d", i)
	s.start(name, "agent", "--settings", s.writeFile(name+".yaml", fmt.Sprintf(`DataCentre: ar-sur-a
Tunnel: NET.2.%[1]d:7100
Control: NET.2.%[1]d:7200
Store: ["NET.0.1:2379"]
SystemKey: DIR/system.key
Customer: %[2]s
Service: %[3]s
Upstream: NET.3.%[1]d:8080
Certificate: DIR/cert.pem
PrivateKey: DIR/key.pem
Drain: 5s
Metrics: NET.2.%[1]d:7300
`, i, customer, service)))
}

func (s *system) awaitHTTP(url string) {
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		res, err := http.Get(url)
		if err == nil {
			_ = res.Body.Close()
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.tb.Fatalf("%s does not answer", url)
}

func (s *system) get(url string, out any) {
	res, err := http.Get(s.expand(url))
	qt.Assert(s.tb, err, qt.IsNil)
	defer func() { _ = res.Body.Close() }()
	qt.Assert(s.tb, json.NewDecoder(res.Body).Decode(out), qt.IsNil)
}

func (s *system) post(url, body string) {
	res, err := http.Post(s.expand(url), "application/json", strings.NewReader(s.expand(body)))
	qt.Assert(s.tb, err, qt.IsNil)
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	qt.Assert(s.tb, res.StatusCode, qt.Equals, http.StatusOK)
}

// awaitMembers waits until the status lists at least n members of a role.
func (s *system) awaitMembers(role string, n int) {
	deadline := time.Now().Add(30 * time.Second)
	var out string
	for time.Now().Before(deadline) {
		out, _ = s.runOperatorCommand("status")
		if strings.Count(out, role) >= n {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	s.tb.Fatalf("no %d of %s: %s", n, role, out)
}

func (s *system) runOperatorCommand(args ...string) (string, int) {
	return s.runForStatus(append(args, "--store", s.expand("NET.0.1:2379"), "--system-key", filepath.Join(s.dir, "system.key"))...)
}

const testContract = `Customer: Registro
Region: ar-sur
Services:
  - Name: padron
    Addresses: ["NET.10.1:4433"]
    DataCentres: [ar-sur-a]
    Slots: 4
    Flows: 1000
    Kinds:
      - {Name: PermitLookup, Path: /permits, Weight: 10, Deadline: 2s, Idempotent: true}
      - {Name: CountSubmission, Path: /counts, Weight: 4, Deadline: 5s}
      - {Name: HerdFeed, Path: /feed, Weight: 5, Feed: true}
Limits: {NewFlowsPerSecond: 1000, RequestsPerSecond: 10000, BodyBytes: 65536}
`

const testLoads = `Authority: DIR/cert.pem
ServerName: demo.jaytack.example
For: 6s
Loads:
  - {Service: padron, Kind: PermitLookup, Address: "NET.10.1:4433", Path: /permits/1, Flows: 10, Every: 50ms}
  - {Service: padron, Kind: CountSubmission, Address: "NET.10.1:4433", Path: /counts, Flows: 10, Every: 50ms, Post: true, Bytes: 100}
  - {Service: padron, Kind: HerdFeed, Address: "NET.10.1:4433", Path: /feed/herds, Flows: 10, Feed: true}
`

// startAll starts the platform, two balancers and three targets, and creates a
// contract.
func (s *system) startAll() {
	s.startPlatform(`"NET.10.1:4433"`)
	s.startBalancer(1)
	s.startBalancer(2)
	s.awaitMembers("Balancer", 2)
	out, status := s.runOperatorCommand("contract", "create", s.writeFile("registro.yaml", testContract))
	qt.Assert(s.tb, status, qt.Equals, ExitDone, qt.Commentf("%s", out))
	for i := 1; i <= 3; i++ {
		s.startTarget(i, "Registro", "padron")
	}
	s.awaitMembers("Agent", 3)
	// Wait until agents have the contract and announce their service.
	time.Sleep(time.Second)
}

// startCallers starts the callers and returns a function that waits for their
// report.
func (s *system) startCallers(loads string) func() caller.Report {
	cmd := exec.Command(s.binary, "standin", "caller", "--settings", s.writeFile("callers.yaml", loads))
	var out, errOut bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errOut
	qt.Assert(s.tb, cmd.Start(), qt.IsNil)
	return func() caller.Report {
		qt.Assert(s.tb, cmd.Wait(), qt.IsNil, qt.Commentf("%s", errOut.String()))
		var r caller.Report
		qt.Assert(s.tb, json.Unmarshal(out.Bytes(), &r), qt.IsNil)
		return r
	}
}

// checkOutcomes compares the outcomes reported to callers with the runs that
// upstreams recorded.
func (s *system) checkOutcomes(r caller.Report, targets int) {
	runs := make(map[string]int)
	for i := 1; i <= targets; i++ {
		var upstreamRuns map[string]int
		s.get(fmt.Sprintf("http://NET.3.%d:8080/standin/runs", i), &upstreamRuns)
		for id, n := range upstreamRuns {
			runs[id] += n
		}
	}
	for id, told := range r.Told {
		n := runs[id]
		if n > 1 || told == client.NotRun && n != 0 || told == client.Answered && n != 1 {
			s.tb.Errorf("submission %s was told %v and ran %d times", id, told, n)
		}
	}
	qt.Check(s.tb, r.Wrong(), qt.Equals, 0)
}

func TestProcessesPlannedChange(t *testing.T) {
	s := newSystem(t)
	s.startAll()
	report := s.startCallers(testLoads)
	time.Sleep(2 * time.Second)
	s.stop("balancer-1")
	s.post("http://NET.3.1:8080/standin/faults", `{"Draining": true}`)
	r := report()
	for _, row := range r.Rows {
		t.Logf("%+v", row)
	}
	s.checkOutcomes(r, 3)
	qt.Check(t, r.Broken(), qt.Equals, 0)
	qt.Check(t, r.MostlyAnswered(), qt.IsTrue)
	var spread fabric.Spread
	s.get("http://NET.0.2:7001/standin/spread", &spread)
	qt.Check(t, spread.Shared, qt.Equals, spread.Flows)
	s.stop("agent-2")
	s.stop("balancer-2")
}
