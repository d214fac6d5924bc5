package command

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/client"
)

const (
	defaultSoakDuration = 15 * time.Second
	soakTargets         = 4
	soakBalancers       = 3
)

// soakDuration returns JAYTACK_SOAK, or the default if it is not set.
func soakDuration(t *testing.T) time.Duration {
	text := os.Getenv("JAYTACK_SOAK")
	if text == "" {
		return defaultSoakDuration
	}
	d, err := time.ParseDuration(text)
	qt.Assert(t, err, qt.IsNil)
	return d
}

func soakSeed(t *testing.T) uint64 {
	text := os.Getenv("JAYTACK_SEED")
	if text == "" {
		return 1
	}
	n, err := strconv.ParseUint(text, 10, 64)
	qt.Assert(t, err, qt.IsNil)
	return n
}

// faultInjector injects random faults into a system and reverts each of them.
type faultInjector struct {
	*system
	random      *rand.Rand
	faultCounts map[string]int
}

func (c *faultInjector) sleepBetween(low, high time.Duration) {
	time.Sleep(low + time.Duration(c.random.Int64N(int64(high-low))))
}

func (c *faultInjector) randomAgent() int { return 1 + c.random.IntN(soakTargets) }

// injectFault injects and reverts one fault, or a store outage together with a frozen
// agent.
func (c *faultInjector) injectFault() {
	switch c.random.IntN(7) {
	case 0:
		c.faultCounts["killAgent"]++
		i := c.randomAgent()
		c.kill(fmt.Sprintf("agent-%d", i))
		c.sleepBetween(100*time.Millisecond, time.Second)
		c.startAgent(i, "Registro", "padron")
	case 1:
		c.faultCounts["freezeAgent"]++
		name := fmt.Sprintf("agent-%d", c.randomAgent())
		c.signal(name, syscall.SIGSTOP)
		c.sleepBetween(time.Second, 6*time.Second)
		c.signal(name, syscall.SIGCONT)
	case 2:
		c.faultCounts["killBalancer"]++
		i := 1 + c.random.IntN(soakBalancers)
		c.kill(fmt.Sprintf("balancer-%d", i))
		c.sleepBetween(100*time.Millisecond, time.Second)
		c.startBalancer(i)
	case 3:
		c.faultCounts["lossyNetwork"]++
		c.post("http://NET.0.2:7001/standin/faults", `{"LossPerMille": 100, "JitterMillis": 30}`)
		c.sleepBetween(time.Second, 2*time.Second)
		c.post("http://NET.0.2:7001/standin/faults", `{}`)
	case 4:
		c.faultCounts["oneWayCut"]++
		c.post("http://NET.0.2:7001/standin/faults", `{"CutFrom": ["NET.1.2:7000"]}`)
		c.sleepBetween(time.Second, 2*time.Second)
		c.post("http://NET.0.2:7001/standin/faults", `{}`)
	case 5:
		c.faultCounts["storeDown"]++
		c.post("http://NET.0.1:2379/standin/faults", `{"Down": true}`)
		name := fmt.Sprintf("agent-%d", c.randomAgent())
		c.signal(name, syscall.SIGSTOP)
		c.sleepBetween(time.Second, 3*time.Second)
		c.post("http://NET.0.1:2379/standin/faults", `{}`)
		c.signal(name, syscall.SIGCONT)
	case 6:
		c.faultCounts["drainAgent"]++
		i := c.randomAgent()
		c.signal(fmt.Sprintf("agent-%d", i), syscall.SIGTERM)
		c.sleepBetween(500*time.Millisecond, time.Second)
		c.kill(fmt.Sprintf("agent-%d", i))
		c.startAgent(i, "Registro", "padron")
	}
}

func (s *system) kill(name string) {
	_ = s.procs[name].Process.Kill()
	_ = s.procs[name].Wait()
}

// TestSoak checks promises P3 to P5 under random faults. JAYTACK_SOAK sets its
// duration and JAYTACK_SEED its seed.
func TestSoak(t *testing.T) {
	duration, seed := soakDuration(t), soakSeed(t)
	t.Logf("seed %d, time %v", seed, duration)
	injector := &faultInjector{system: newSystem(t), random: rand.New(rand.NewPCG(seed, seed)), faultCounts: make(map[string]int)}
	injector.startPlatform(`"NET.10.1:4433"`)
	for i := 1; i <= soakBalancers; i++ {
		injector.startBalancer(i)
	}
	injector.awaitMembers("Balancer", soakBalancers)
	out, status := injector.runOperatorCommand("contract", "create", injector.writeFile("registro.yaml", testContract))
	qt.Assert(t, status, qt.Equals, ExitDone, qt.Commentf("%s", out))
	for i := 1; i <= soakTargets; i++ {
		injector.startTarget(i, "Registro", "padron")
	}
	injector.awaitMembers("Agent", soakTargets)
	for i := 1; i <= soakTargets; i++ {
		injector.post(fmt.Sprintf("http://NET.3.%d:8080/standin/faults", i), `{"ShedPerMille": 10, "CutPerMille": 5, "CutBodyPerMille": 5, "LatePerMille": 2, "LateMillis": 500}`)
	}
	report := injector.startCallers(fmt.Sprintf(`Authority: DIR/cert.pem
ServerName: demo.jaytack.example
For: %v
Loads:
  - {Service: padron, Kind: CountSubmission, Address: "NET.10.1:4433", Path: /counts, Flows: 80, Every: 25ms, Post: true, Bytes: 100}
  - {Service: padron, Kind: PermitLookup, Address: "NET.10.1:4433", Path: /permits/1, Flows: 10, Every: 25ms}
`, duration))
	for end := time.Now().Add(duration - 4*time.Second); time.Now().Before(end); {
		injector.injectFault()
		injector.sleepBetween(100*time.Millisecond, time.Second)
	}
	r := report()
	time.Sleep(2 * time.Second)
	t.Logf("faults %v", injector.faultCounts)
	t.Logf("told %v, reasons %v", countOutcomes(r), r.Reasons)
	injector.checkOutcomes(r, soakTargets)
	qt.Check(t, countOutcomes(r)[client.Answered] > 0, qt.IsTrue)
}
