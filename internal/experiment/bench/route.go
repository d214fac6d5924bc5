package bench

import (
	"context"
	"encoding/binary"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/jaytack/jaytack/client"
	"github.com/jaytack/jaytack/examples"
	"github.com/jaytack/jaytack/internal/customer/contract"
	"github.com/jaytack/jaytack/internal/flow/connid"
	"github.com/jaytack/jaytack/internal/flow/placement"
	"github.com/jaytack/jaytack/internal/flow/routing"
	"github.com/jaytack/jaytack/internal/flow/tunnel"
	"github.com/jaytack/jaytack/internal/process/eventlog"
	"github.com/jaytack/jaytack/internal/process/settings"
	"github.com/jaytack/jaytack/internal/process/sockets"
	"github.com/jaytack/jaytack/internal/standin/caller"
	"github.com/jaytack/jaytack/internal/standin/fleet"
	"github.com/jaytack/jaytack/internal/standin/loopback"
)

// Sizes of the target fleet and of the route experiment.
const (
	targetAddresses  = 1900
	targetAgents     = 9400
	decisions        = 2_000_000
	decisionTarget   = 250.0 // nanoseconds
	throughputTime   = 2 * time.Second
	relayPayload     = 1200 // bytes
	minDatagramRatio = 0.7
	throughputRounds = 3
	handshakeTime    = 2 * time.Second
	handshakeClients = 16
	neighbourTarget  = 0.98
	neighbourTime    = 3 * time.Second
	floodRate        = 20_000        // new flows per second, ten times the contract's limit
	unlimitedRate    = 1_000_000_000 // new flows per second; never reached
)

// routeNetwork is the network of the experiment.
const routeNetwork loopback.Network = 60

// targetTable returns a balancer's routing table at the size of the target fleet,
// its addresses and one agent for each address.
func targetTable() (*routing.Table, []netip.AddrPort, []netip.AddrPort, error) {
	ring, err := connid.NewRing([]connid.Key{{ID: 1, Secret: make([]byte, connid.SecretLength)}}, 1)
	if err != nil {
		return nil, nil, nil, err
	}
	t := &routing.Table{Ring: ring, Addresses: make(map[netip.AddrPort]*routing.Service)}
	var addresses, agents []netip.AddrPort
	for i := range targetAddresses {
		var cs []placement.Candidate
		for k := i; k < targetAgents; k += targetAddresses {
			a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(k >> 8), byte(k)}), 7100)
			cs = append(cs, placement.Candidate{Agent: a, Weight: placement.FullWeight})
		}
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(i >> 8), byte(i)}), 443)
		addresses = append(addresses, address)
		agents = append(agents, cs[0].Agent)
		t.Addresses[address] = &routing.Service{Number: contract.ServiceNumber(i + 1), Candidates: placement.NewRendezvous(cs), NewFlows: rate.NewLimiter(unlimitedRate, unlimitedRate)}
	}
	return t, addresses, agents, nil
}

// route measures routing decisions at the size of the target fleet and a balancer's
// datagram throughput.
func route(seed uint64) ([]Figure, error) {
	t, addresses, agents, err := targetTable()
	if err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(seed, 6))
	sealed := make([][]byte, targetAddresses)
	initials := make([][]byte, targetAddresses)
	for i := range sealed {
		id := t.Ring.Seal(connid.Owner{Agent: agents[i], Service: contract.ServiceNumber(i + 1)}, connid.Nonce(i))
		sealed[i] = append([]byte{0x40}, id[:]...)
		initials[i] = make([]byte, relayPayload)
		initials[i][0], initials[i][4], initials[i][5] = 0xc0, 1, 8
		for k := 6; k < 14; k++ {
			initials[i][k] = byte(random.Uint32())
		}
	}
	ns, allocs := timeDecisions(t, sealed, addresses)
	nsNew, allocsNew := timeDecisions(t, initials, addresses)
	out := []Figure{
		atMost("DecisionEstablishedNanoseconds", ns, decisionTarget),
		atMost("DecisionEstablishedAllocations", allocs, 0),
		atMost("DecisionNewNanoseconds", nsNew, decisionTarget),
		atMost("DecisionNewAllocations", allocsNew, 0),
	}
	maglevNs, maglevBytes := timeMaglev(initials)
	out = append(out, withoutTarget("BaselineMaglevChoiceNanoseconds", maglevNs), withoutTarget("BaselineMaglevBytesForEachService", maglevBytes),
		withoutTarget("RendezvousChoiceNanoseconds", timeRendezvous(initials)))
	io, err := measureDatagrams()
	if err != nil {
		return nil, err
	}
	return append(out, io...), nil
}

func timeDecisions(t *routing.Table, packets [][]byte, addresses []netip.AddrPort) (ns, allocs float64) {
	r := routing.New()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start := time.Now()
	for i := range decisions {
		k := i * 7 % len(packets)
		if d := r.Route(t, 0, packets[k], addresses[k]); d.Verdict == routing.Drop {
			return -1, -1
		}
	}
	d := time.Since(start)
	runtime.ReadMemStats(&after)
	return float64(d.Nanoseconds()) / decisions, float64((after.Mallocs - before.Mallocs) / decisions)
}

func fiveCandidates() []placement.Candidate {
	var cs []placement.Candidate
	for k := range targetAgents/targetAddresses + 1 {
		cs = append(cs, placement.Candidate{Agent: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(k)}), 7100), Weight: placement.FullWeight})
	}
	return cs
}

func timeMaglev(initials [][]byte) (ns, bytes float64) {
	m := placement.NewMaglev(fiveCandidates())
	start := time.Now()
	for i := range decisions {
		m.Choose(placement.HashConnectionID(initials[i%len(initials)][6:14]))
	}
	return float64(time.Since(start).Nanoseconds()) / decisions, 2 * placement.MaglevTableSize
}

func timeRendezvous(initials [][]byte) float64 {
	s := placement.NewRendezvous(fiveCandidates())
	start := time.Now()
	for i := range decisions {
		s.Choose(placement.HashConnectionID(initials[i%len(initials)][6:14]))
	}
	return float64(time.Since(start).Nanoseconds()) / decisions
}

// measureDatagrams measures a balancer's throughput against a plain relay, its handshake
// rate and its isolation between services.
func measureDatagrams() ([]Figure, error) {
	cs, err := examples.Contracts()
	if err != nil {
		return nil, err
	}
	f, err := fleet.New(fleet.Config{
		Network: routeNetwork, Balancers: 1, Contracts: cs[:1],
		Targets: map[contract.ServiceName]int{"padron": 1, "recuento": 1}, ServiceTime: time.Millisecond, Seed: 1,
	}, eventlog.New(io.Discard, eventlog.Error, 0))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if err := f.AwaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	sink, err := sockets.Listen(netip.AddrPortFrom(routeNetwork.Addr(9, 1), 7100))
	if err != nil {
		return nil, err
	}
	defer func() { _ = sink.Close() }()
	sinkAt := sink.LocalAddr().(*net.UDPAddr).AddrPort()
	balancer := netip.AddrPortFrom(f.Balancers[0].Self().Address.Addr(), 7000)
	packet := sealedPacket(f, sinkAt)
	relay, stop, err := startRelay(sinkAt)
	if err != nil {
		return nil, err
	}
	defer stop()
	through, bare := 0.0, 0.0
	for range throughputRounds {
		through = max(through, measureThroughput(packet, balancer, sink))
		bare = max(bare, measureThroughput(packet, relay, sink))
	}
	handshakeRate := handshakes(f)
	alone, flooded := measureIsolation(f)
	return []Figure{
		withoutTarget("BalancerDatagramsPerSecond", through),
		withoutTarget("BaselineRelayDatagramsPerSecond", bare),
		atLeast("DatagramRatio", through/bare, minDatagramRatio),
		withoutTarget("HandshakesPerSecondOneAgent", handshakeRate),
		atLeast("NeighbourAnsweredPartUnderFlood", flooded.answered/alone.answered, neighbourTarget),
		withoutTarget("NeighbourP99MillisAlone", alone.p99Millis),
		withoutTarget("NeighbourP99MillisUnderFlood", flooded.p99Millis),
	}, nil
}

// sealedPacket returns a datagram from the fabric whose sealed connection ID names
// the sink as its agent.
func sealedPacket(f *fleet.Fleet, sink netip.AddrPort) []byte {
	owner := connid.Owner{Agent: sink, Service: f.Targets[0].Agent.Self().Service}
	id := f.Balancers[0].Ring().Seal(owner, 1)
	b := make([]byte, tunnel.HeaderLength+relayPayload)
	b[tunnel.HeaderLength] = 0x40
	copy(b[tunnel.HeaderLength+1:], id[:])
	caller := netip.MustParseAddrPort("127.0.0.1:9999")
	tunnel.PutPlain(b, tunnel.Header{Kind: tunnel.FromFabric, Caller: caller, ServiceAddress: f.Address("padron")})
	return b
}

// startRelay starts a relay that only copies datagrams from one socket to another.
func startRelay(to netip.AddrPort) (at netip.AddrPort, stop func(), err error) {
	in, err := sockets.Listen(netip.AddrPortFrom(routeNetwork.Addr(9, 2), 7000))
	if err != nil {
		return at, nil, err
	}
	out, err := sockets.Listen(netip.AddrPortFrom(routeNetwork.Addr(9, 2), 7100))
	if err != nil {
		_ = in.Close()
		return at, nil, err
	}
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		buf := make([]byte, tunnel.MaxDatagram)
		for {
			n, _, err := in.ReadFromUDPAddrPort(buf)
			if err != nil {
				return
			}
			_, _ = out.WriteToUDPAddrPort(buf[:n], to)
		}
	}()
	stop = func() {
		_ = in.Close()
		_ = out.Close()
		wg.Wait()
	}
	return in.LocalAddr().(*net.UDPAddr).AddrPort(), stop, nil
}

// measureThroughput sends a datagram as fast as possible and returns the datagrams per
// second that arrive.
func measureThroughput(packet []byte, to netip.AddrPort, sink *net.UDPConn) float64 {
	var received atomic.Int64
	done := make(chan struct{})
	_ = sink.SetReadDeadline(time.Now().Add(throughputTime + 200*time.Millisecond))
	go func() {
		defer close(done)
		buf := make([]byte, tunnel.MaxDatagram)
		for {
			if _, _, err := sink.ReadFromUDPAddrPort(buf); err != nil {
				return
			}
			received.Add(1)
		}
	}()
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(to))
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	start := time.Now()
	for time.Since(start) < throughputTime {
		for range 64 {
			_, _ = conn.Write(packet)
		}
	}
	n := received.Load()
	rate := float64(n) / time.Since(start).Seconds()
	<-done
	return rate
}

// handshakes returns the flows per second that several goroutines open to one agent,
// each one flow at a time.
func handshakes(f *fleet.Fleet) float64 {
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTime)
	defer cancel()
	var n atomic.Int64
	var wg sync.WaitGroup
	for range handshakeClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for ctx.Err() == nil {
				c := client.New(client.Config{Address: f.Address("padron"), TLS: f.TLS})
				if a, _ := c.Get(ctx, "/permits/1", nil); a.Outcome == client.Answered {
					n.Add(1)
				}
				c.Close()
			}
		}()
	}
	wg.Wait()
	return float64(n.Load()) / handshakeTime.Seconds()
}

// callerResult holds the results of the callers of one service.
type callerResult struct {
	answered  float64
	p99Millis float64
}

// measureIsolation measures the callers of one service alone, and while another
// service of the same balancer gets many more new flows than its contract allows.
func measureIsolation(f *fleet.Fleet) (alone, flooded callerResult) {
	load := settings.Load{
		Service: "padron", Kind: "PermitLookup", Path: "/permits/1", Flows: 20, Every: contract.Duration(20 * time.Millisecond), Address: f.Address("padron"),
	}
	measure := func() callerResult {
		ctx, cancel := context.WithTimeout(context.Background(), neighbourTime)
		defer cancel()
		row := caller.New([]settings.Load{load}, f.TLS).Run(ctx).Rows[0]
		return callerResult{float64(row.Answered), row.P99Millis}
	}
	alone = measure()
	stop := flood(f.Address("recuento"))
	defer stop()
	return alone, measure()
}

// flood sends initial datagrams of new flows to a service until stop is called.
func flood(to netip.AddrPort) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(to))
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		packet := make([]byte, relayPayload)
		packet[0], packet[4], packet[5] = 0xc0, 1, 8
		const perTick = floodRate / 1000
		t := time.NewTicker(time.Millisecond)
		defer t.Stop()
		for n := uint64(0); ctx.Err() == nil; {
			<-t.C
			for range perTick {
				n++
				binary.BigEndian.PutUint64(packet[6:], n)
				_, _ = conn.Write(packet)
			}
		}
	}()
	return func() {
		cancel()
		wg.Wait()
	}
}
