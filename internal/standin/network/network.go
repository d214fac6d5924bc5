// Package network simulates a network of processes that run the fleet protocol,
// under virtual time.
//
// It delays, drops and counts messages, simulates partitions, and can pause, kill and
// replace processes. All random choices derive from the seed.
//
// # Usage
//
//	n := network.New(seed)
//	b := n.Add(gossip.Config{...})
//	n.Run(10 * time.Second)
//	n.Cut = func(from, to netip.AddrPort) bool { return to == b.Address }
package network

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/customer/catalogue"
	"github.com/jaytack/jaytack/internal/fleet/gossip"
	"github.com/jaytack/jaytack/internal/fleet/membership"
	"github.com/jaytack/jaytack/internal/fleet/wire"
	"github.com/jaytack/jaytack/internal/flow/connid"
	"github.com/jaytack/jaytack/internal/flow/placement"
)

// Overhead is the size of a message beyond its encoding, in bytes: IP and UDP
// headers, kind, nonce and seal.
const Overhead = 28 + 1 + 24 + 16

// pullOverhead is the size of a pull in each direction beyond its messages, in bytes:
// a TCP and TLS handshake with certificates on both sides.
const pullOverhead = 3500

// initialRetransmitTimeout is TCP's timeout before the first retransmission.
const initialRetransmitTimeout = 200 * time.Millisecond

// Process is one process on the network.
type Process struct {
	*gossip.Core
	Address netip.AddrPort
	// Paused suspends the process; datagrams for it are queued.
	Paused bool
	Dead   bool
	// ClockError is the error of its wall clock.
	ClockError time.Duration
	// SentBytes and ReceivedBytes are the bytes of messages and pulls.
	SentBytes, ReceivedBytes int64
	Datagrams                int64
	started                  instant.Instant
	backlog                  []*wire.Envelope
}

// Network is the simulated network. It is not safe for concurrent use.
type Network struct {
	Random *rand.Rand
	// Delay returns the one-way delay of a message.
	Delay func(from, to netip.AddrPort) time.Duration
	// Cut reports whether the network drops all messages from one address to another.
	Cut func(from, to netip.AddrPort) bool
	// LossPercent is the percentage of lost datagrams. Pulls use TCP, so a loss only
	// delays them by a retransmission.
	LossPercent int
	// AfterTick is called after every process's tick.
	AfterTick    func(p *Process)
	now          instant.Instant
	processes    []*Process
	byAddress    map[netip.AddrPort]*Process
	byControl    map[netip.AddrPort]*Process
	queue        eventQueue
	lastSequence int
	nextTick     instant.Instant
}

// New returns an empty network with a delay of 1 to 5 ms.
func New(seed uint64) *Network {
	n := &Network{
		Random:    rand.New(rand.NewPCG(seed, 1)),
		Cut:       func(_, _ netip.AddrPort) bool { return false },
		AfterTick: func(*Process) {},
		byAddress: make(map[netip.AddrPort]*Process), byControl: make(map[netip.AddrPort]*Process),
	}
	n.Delay = func(_, _ netip.AddrPort) time.Duration {
		return time.Millisecond + time.Duration(n.Random.IntN(4000))*time.Microsecond
	}
	return n
}

// Now returns the virtual time.
func (n *Network) Now() instant.Instant { return n.now }

// Processes returns all processes in the order in which they were added.
func (n *Network) Processes() []*Process { return n.processes }

// Address returns the tunnel address of the i-th process of a role. Its control address
// has the same IP and port 7200.
func Address(role membership.Role, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(role), byte(i >> 8), byte(i)}), 7100)
}

// Member returns the first record of the i-th process of a role.
func (n *Network) Member(role membership.Role, i int) membership.Member {
	a := Address(role, i)
	return membership.Member{
		Address: a, Control: netip.AddrPortFrom(a.Addr(), 7200), Role: role, Incarnation: connid.Incarnation(1 + n.now/instant.Instant(100*time.Millisecond)),
		Sequence: 1, State: membership.Ready, Weight: placement.FullWeight,
	}
}

// Add starts a process. It replaces an earlier process at the same address.
func (n *Network) Add(cfg gossip.Config) *Process {
	p := &Process{Address: cfg.Self.Address, started: n.now}
	wall := func() int64 { return int64(n.now) + int64(p.ClockError) }
	p.Core = gossip.New(cfg, n.Random.IntN, wall)
	if old := n.byAddress[p.Address]; old != nil {
		old.Dead = true
		n.remove(old)
	}
	n.processes = append(n.processes, p)
	n.byAddress[p.Address] = p
	n.byControl[cfg.Self.Control] = p
	return p
}

func (n *Network) remove(old *Process) {
	for i, p := range n.processes {
		if p == old {
			n.processes = append(n.processes[:i], n.processes[i+1:]...)
			return
		}
	}
}

// Run runs the simulation for d of virtual time.
func (n *Network) Run(d time.Duration) {
	end := n.now.Add(d)
	for {
		next := min(n.nextTick, end)
		for len(n.queue) > 0 && n.queue[0].at <= next {
			e := heap.Pop(&n.queue).(event)
			n.now = max(n.now, e.at)
			e.action()
		}
		n.now = max(n.now, next)
		if next == end {
			return
		}
		n.tick()
		n.nextTick = n.nextTick.Add(gossip.TickInterval)
	}
}

// sinceStart returns the time since the process started.
func (n *Network) sinceStart(p *Process) instant.Instant {
	return instant.Instant(n.now.Sub(p.started))
}

func (n *Network) tick() {
	for _, p := range append([]*Process(nil), n.processes...) {
		if p.Dead || p.Paused {
			continue
		}
		backlog := p.backlog
		p.backlog = nil
		for _, e := range backlog {
			p.HandleMessage(n.sinceStart(p), e)
		}
		p.Tick(n.sinceStart(p))
		n.sendOutput(p)
		n.AfterTick(p)
	}
}

// Input calls f, which gives the process an input, and sends the resulting output.
func (n *Network) Input(p *Process, f func(now instant.Instant)) {
	f(n.sinceStart(p))
	n.sendOutput(p)
}

func (n *Network) sendOutput(p *Process) {
	out := p.TakeOutput()
	for _, d := range out.Datagrams {
		size := int64(proto.Size(d.Body) + Overhead)
		p.SentBytes += size
		p.Datagrams++
		n.send(p, d, size)
	}
	for _, pull := range out.Pulls {
		n.pull(p, pull)
	}
}

func (n *Network) send(p *Process, d gossip.Datagram, size int64) {
	if n.Cut(p.Address, d.To) || n.drawLoss() {
		return
	}
	n.schedule(n.Delay(p.Address, d.To), func() {
		q := n.byAddress[d.To]
		if q == nil || q.Dead {
			return
		}
		q.ReceivedBytes += size
		if q.Paused {
			q.backlog = append(q.backlog, d.Body)
			return
		}
		q.HandleMessage(n.sinceStart(q), d.Body)
		n.sendOutput(q)
	})
}

// pull simulates a call over TCP: losses only delay it, but a process that is paused,
// dead or cut off does not answer.
func (n *Network) pull(p *Process, pull gossip.Pull) {
	q := n.byControl[pull.From]
	if q == nil || n.Cut(p.Address, q.Address) || n.Cut(q.Address, p.Address) {
		return
	}
	req := pull.Request
	n.schedule(2*n.Delay(p.Address, q.Address)+n.drawRetransmissionDelay(), func() {
		if q.Dead || q.Paused || p.Dead || p.Paused {
			return
		}
		res, err := q.HandlePull(req)
		if err != nil {
			return
		}
		requestBytes, replyBytes := int64(proto.Size(req))+pullOverhead, int64(proto.Size(res))+pullOverhead
		p.SentBytes += requestBytes
		q.ReceivedBytes += requestBytes
		q.SentBytes += replyBytes
		p.ReceivedBytes += replyBytes
		n.schedule(n.Delay(q.Address, p.Address)+n.drawRetransmissionDelay(), func() {
			if !p.Dead && !p.Paused {
				n.Input(p, func(now instant.Instant) { _ = p.HandlePullReply(now, res) })
			}
		})
	})
}

func (n *Network) drawLoss() bool { return n.LossPercent > 0 && n.Random.IntN(100) < n.LossPercent }

// drawRetransmissionDelay draws the delay that TCP retransmissions cause.
func (n *Network) drawRetransmissionDelay() (d time.Duration) {
	for pause := initialRetransmitTimeout; n.drawLoss(); pause *= 2 {
		d += pause
	}
	return d
}

// Apply applies a contract at one process, as the store or an operator would.
func (n *Network) Apply(p *Process, e catalogue.Entry) {
	n.Input(p, func(now instant.Instant) { p.ApplyContract(now, e) })
}

func (n *Network) schedule(d time.Duration, action func()) {
	n.lastSequence++
	heap.Push(&n.queue, event{n.now.Add(d), n.lastSequence, action})
}

type event struct {
	at       instant.Instant
	sequence int
	action   func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// LocalNow returns the virtual time since a process started.
func (n *Network) LocalNow(p *Process) instant.Instant { return n.sinceStart(p) }
