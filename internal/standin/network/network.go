// Package network connects the protocols of many processes under virtual time.
//
// It is a fake of the network between processes: it delays, loses, cuts and
// counts messages, and pauses, kills and restarts processes. Everything follows
// from the seed.
//
// # Usage
//
//	n := network.New(seed)
//	b := n.Add(protocol.Config{...})
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

// Overhead is what a message costs besides its encoding, in bytes: IP and UDP
// headers, kind, nonce and seal.
const Overhead = 28 + 1 + 24 + 16

// pullOverhead is what a pull costs besides its messages, in bytes: a TCP and
// TLS handshake with certificates on both sides.
const pullOverhead = 3500

// retransmitAfter is how long TCP waits before it sends again for the first time.
const retransmitAfter = 200 * time.Millisecond

// Process is one process on the network.
type Process struct {
	*gossip.Core
	Address netip.AddrPort
	// Paused stops the process; its messages wait.
	Paused bool
	Dead   bool
	// ClockError is how far its wall clock is off.
	ClockError time.Duration
	// SentBytes and ReceivedBytes count messages and pulls.
	SentBytes, ReceivedBytes int64
	Datagrams                int64
	started                  instant.Instant
	backlog                  []*wire.Envelope
}

// Network is the fake network.
type Network struct {
	Random *rand.Rand
	// Delay returns how long a message takes.
	Delay func(from, to netip.AddrPort) time.Duration
	// Cut reports whether nothing gets through.
	Cut func(from, to netip.AddrPort) bool
	// LossPercent of the datagrams are lost. A pull goes over TCP, which sends
	// again what is lost, after a pause.
	LossPercent int
	// AfterTick is called after every process's tick.
	AfterTick func(p *Process)
	now       instant.Instant
	order     []*Process
	byAddress map[netip.AddrPort]*Process
	byControl map[netip.AddrPort]*Process
	queue     events
	sequence  int
	nextTick  instant.Instant
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
func (n *Network) Processes() []*Process { return n.order }

// Address returns the tunnel address of the i-th process of a role, its control
// address having the next port.
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

// Add starts a process. One at the same address is replaced.
func (n *Network) Add(cfg gossip.Config) *Process {
	p := &Process{Address: cfg.Self.Address, started: n.now}
	wall := func() int64 { return int64(n.now) + int64(p.ClockError) }
	p.Core = gossip.New(cfg, n.Random.IntN, wall)
	if old := n.byAddress[p.Address]; old != nil {
		old.Dead = true
		n.remove(old)
	}
	n.order = append(n.order, p)
	n.byAddress[p.Address] = p
	n.byControl[cfg.Self.Control] = p
	return p
}

func (n *Network) remove(old *Process) {
	for i, p := range n.order {
		if p == old {
			n.order = append(n.order[:i], n.order[i+1:]...)
			return
		}
	}
}

// Run lets d of virtual time pass.
func (n *Network) Run(d time.Duration) {
	end := n.now.Add(d)
	for {
		next := min(n.nextTick, end)
		for len(n.queue) > 0 && n.queue[0].at <= next {
			e := heap.Pop(&n.queue).(event)
			n.now = max(n.now, e.at)
			e.do()
		}
		n.now = max(n.now, next)
		if next == end {
			return
		}
		n.tick()
		n.nextTick = n.nextTick.Add(gossip.TickInterval)
	}
}

// local returns the time since the process started.
func (n *Network) local(p *Process) instant.Instant { return instant.Instant(n.now.Sub(p.started)) }

func (n *Network) tick() {
	for _, p := range append([]*Process(nil), n.order...) {
		if p.Dead || p.Paused {
			continue
		}
		backlog := p.backlog
		p.backlog = nil
		for _, e := range backlog {
			p.HandleMessage(n.local(p), e)
		}
		p.Tick(n.local(p))
		n.flush(p)
		n.AfterTick(p)
	}
}

// Input gives a process an input and sends what follows.
func (n *Network) Input(p *Process, f func(now instant.Instant)) {
	f(n.local(p))
	n.flush(p)
}

func (n *Network) flush(p *Process) {
	out := p.TakeOutput()
	for _, d := range out.Datagrams {
		size := int64(proto.Size(d.Body) + Overhead)
		p.SentBytes += size
		p.Datagrams++
		n.post(p, d, size)
	}
	for _, pull := range out.Pulls {
		n.pull(p, pull)
	}
}

func (n *Network) post(p *Process, d gossip.Datagram, size int64) {
	if n.Cut(p.Address, d.To) || n.lost() {
		return
	}
	n.at(n.Delay(p.Address, d.To), func() {
		q := n.byAddress[d.To]
		if q == nil || q.Dead {
			return
		}
		q.ReceivedBytes += size
		if q.Paused {
			q.backlog = append(q.backlog, d.Body)
			return
		}
		q.HandleMessage(n.local(q), d.Body)
		n.flush(q)
	})
}

// pull asks another process as a call over TCP would: nothing is lost, but a cut
// or paused process does not answer.
func (n *Network) pull(p *Process, pull gossip.Pull) {
	q := n.byControl[pull.From]
	if q == nil || n.Cut(p.Address, q.Address) || n.Cut(q.Address, p.Address) {
		return
	}
	req := pull.Request
	n.at(2*n.Delay(p.Address, q.Address)+n.retransmissions(), func() {
		if q.Dead || q.Paused || p.Dead || p.Paused {
			return
		}
		res, err := q.HandlePull(req)
		if err != nil {
			return
		}
		up, down := int64(proto.Size(req))+pullOverhead, int64(proto.Size(res))+pullOverhead
		p.SentBytes += up
		q.ReceivedBytes += up
		q.SentBytes += down
		p.ReceivedBytes += down
		n.at(n.Delay(q.Address, p.Address)+n.retransmissions(), func() {
			if !p.Dead && !p.Paused {
				n.Input(p, func(now instant.Instant) { _ = p.HandlePullReply(now, res) })
			}
		})
	})
}

func (n *Network) lost() bool { return n.LossPercent > 0 && n.Random.IntN(100) < n.LossPercent }

// retransmissions draws the time that TCP spends on sending again.
func (n *Network) retransmissions() (d time.Duration) {
	for pause := retransmitAfter; n.lost(); pause *= 2 {
		d += pause
	}
	return d
}

// Apply puts a contract in force at one process, as the store or an operator would.
func (n *Network) Apply(p *Process, e catalogue.Entry) {
	n.Input(p, func(now instant.Instant) { p.ApplyContract(now, e) })
}

func (n *Network) at(d time.Duration, do func()) {
	n.sequence++
	heap.Push(&n.queue, event{n.now.Add(d), n.sequence, do})
}

type event struct {
	at       instant.Instant
	sequence int
	do       func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// LocalNow returns the virtual time since a process started.
func (n *Network) LocalNow(p *Process) instant.Instant { return n.local(p) }
