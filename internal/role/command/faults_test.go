package command

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/client"
	"github.com/jaytack/jaytack/internal/standin/caller"
)

const faultLoads = `Authority: DIR/cert.pem
ServerName: demo.jaytack.example
For: 9s
Loads:
  - {Service: padron, Kind: PermitLookup, Address: "NET.10.1:4433", Path: /permits/1, Flows: 20, Every: 30ms}
  - {Service: padron, Kind: CountSubmission, Address: "NET.10.1:4433", Path: /counts, Flows: 60, Every: 30ms, Post: true, Bytes: 100}
  - {Service: padron, Kind: HerdFeed, Address: "NET.10.1:4433", Path: /feed/herds, Flows: 10, Feed: true}
`

func countOutcomes(r caller.Report) map[client.Outcome]int {
	out := make(map[client.Outcome]int)
	for _, o := range r.Told {
		out[o]++
	}
	return out
}

// TestProcessesKilledAndFrozen checks promises P3 to P5 under SIGKILL, SIGSTOP for
// longer than any lease, SIGCONT, lost datagrams, shed requests, and truncated and
// late answers.
func TestProcessesKilledAndFrozen(t *testing.T) {
	s := newSystem(t)
	s.startAll()
	for i := 1; i <= 3; i++ {
		s.post(fmt.Sprintf("http://NET.3.%d:8080/standin/faults", i),
			`{"ShedPerMille": 20, "CutPerMille": 10, "CutBodyPerMille": 10, "FewBytesPerMille": 10, "LatePerMille": 5, "LateMillis": 300}`)
	}
	report := s.startCallers(faultLoads)
	s.post("http://NET.0.2:7001/standin/faults", `{"LossPerMille": 20, "JitterMillis": 5}`)
	time.Sleep(time.Second)
	s.signal("agent-1", syscall.SIGSTOP)
	s.signal("balancer-1", syscall.SIGKILL)
	time.Sleep(time.Second)
	s.startBalancer(3)
	s.signal("agent-2", syscall.SIGKILL)
	_ = s.procs["agent-2"].Wait()
	time.Sleep(time.Second)
	s.startAgent(2, "Registro", "padron")
	time.Sleep(3 * time.Second)
	s.signal("upstream-3", syscall.SIGSTOP)
	time.Sleep(time.Second)
	s.signal("upstream-3", syscall.SIGCONT)
	r := report()
	s.signal("agent-1", syscall.SIGCONT)
	// Let delayed requests arrive before the runs are counted.
	time.Sleep(2 * time.Second)
	for _, row := range r.Rows {
		t.Logf("%+v", row)
	}
	t.Logf("told %v, reasons %v", countOutcomes(r), r.Reasons)
	s.checkOutcomes(r, 3)
	qt.Check(t, countOutcomes(r)[client.Answered] > 0, qt.IsTrue)
}

// TestProcessesStoreOutage checks promises P1 and P8 while the store is down: flows
// and requests continue, and a new balancer learns the contracts and the keyring
// from its peers.
func TestProcessesStoreOutage(t *testing.T) {
	s := newSystem(t)
	s.startAll()
	report := s.startCallers(testLoads)
	time.Sleep(500 * time.Millisecond)
	s.post("http://NET.0.1:2379/standin/faults", `{"Down": true}`)
	time.Sleep(500 * time.Millisecond)
	s.startBalancer(3)
	time.Sleep(1500 * time.Millisecond)
	s.stop("balancer-1")
	r := report()
	s.post("http://NET.0.1:2379/standin/faults", `{}`)
	for _, row := range r.Rows {
		t.Logf("%+v", row)
	}
	s.checkOutcomes(r, 3)
	qt.Check(t, r.Broken(), qt.Equals, 0)
	qt.Check(t, r.MostlyAnswered(), qt.IsTrue)
	var vars struct {
		Contracts       int
		DatagramsSealed int
	}
	s.get("http://NET.1.3:7300/debug/vars", &vars)
	qt.Check(t, vars.Contracts, qt.Equals, 1)
	qt.Check(t, vars.DatagramsSealed > 0, qt.IsTrue)
}

// TestProcessesStoreLostAfterAccept checks promise P8 when the store's answer to a
// commit is lost and its watches are cut: the contract still comes into force on
// every balancer.
func TestProcessesStoreLostAfterAccept(t *testing.T) {
	s := newSystem(t)
	s.startPlatform(`"NET.10.1:4433"`)
	s.startBalancer(1)
	s.startBalancer(2)
	s.awaitMembers("Balancer", 2)
	s.post("http://NET.0.1:2379/standin/faults", `{"LoseAnswers": 1, "CutWatches": true}`)
	out, status := s.runOperatorCommand("contract", "create", s.writeFile("registro.yaml", testContract))
	qt.Check(t, status, qt.Equals, ExitDone, qt.Commentf("%s", out))
	qt.Check(t, out, qt.Contains, "in force on 2 balancers")
}

func TestProcessesSecondOperatorIsTold(t *testing.T) {
	s := newSystem(t)
	s.startPlatform(`"NET.10.1:4433"`)
	file := s.writeFile("registro.yaml", testContract)
	out, status := s.runOperatorCommand("contract", "create", file)
	qt.Assert(t, status, qt.Equals, ExitDone, qt.Commentf("%s", out))
	_, status = s.runOperatorCommand("contract", "create", file)
	qt.Check(t, status, qt.Equals, ExitConflict)
	out, status = s.runOperatorCommand("contract", "change", file, "--revision", "1")
	qt.Check(t, status, qt.Equals, ExitConflict)
	qt.Check(t, out, qt.Contains, "another operator changed the contract first")
	out, status = s.runOperatorCommand("contract", "validate", s.writeFile("bad.yaml", "Customer: 3"))
	qt.Check(t, status != ExitDone, qt.IsTrue, qt.Commentf("%s", out))
	s.post("http://NET.0.1:2379/standin/faults", `{"Down": true}`)
	_, status = s.runOperatorCommand("contract", "retire", "Registro")
	qt.Check(t, status, qt.Equals, ExitUnreachable)
	s.post("http://NET.0.1:2379/standin/faults", `{}`)
	out, status = s.runOperatorCommand("contract", "retire", "Registro")
	qt.Check(t, status, qt.Equals, ExitDone, qt.Commentf("%s", out))
	out, _ = s.runOperatorCommand("contract", "list")
	qt.Check(t, out, qt.Contains, "Retired")
}
