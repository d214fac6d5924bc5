// Package loopback reserves networks 127.N.0.0/16 of the loopback interface, so that
// fleets that run on one machine at the same time, also in different processes, do not
// share addresses.
//
// # Usage
//
//	n, release, err := loopback.Reserve()
//	defer release()
//	addr := netip.AddrPortFrom(n.Addr(0, 1), 2379)
package loopback

import (
	"net"
	"net/netip"
	"os"
	"sync"

	"github.com/rotisserie/eris"
)

const (
	// firstReserved and lastReserved are the second octets that Reserve returns. Those
	// below are for fleets with a fixed network.
	firstReserved Network = 64
	lastReserved  Network = 239
	// lockHost and lockPort are the last two octets and the port of the listener that
	// marks a network as reserved.
	lockHost = 254
	lockPort = 7999
)

// ErrExhausted is returned if all networks are reserved.
var ErrExhausted = eris.New("all loopback networks are reserved")

// Network is the second octet of the addresses of a network.
type Network byte

// Addr returns an address in the network by its last two octets.
func (n Network) Addr(third, fourth byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(n), third, fourth})
}

var (
	mu sync.Mutex
	// next is the network that Reserve tries first. Processes begin at different ones, and
	// a network is reused as late as possible: connections to its last user may linger.
	next = firstReserved + Network(os.Getpid()%int(lastReserved-firstReserved+1))
)

// Reserve reserves a network until release is called or the process ends.
func Reserve() (n Network, release func(), err error) {
	mu.Lock()
	defer mu.Unlock()
	for range lastReserved - firstReserved + 1 {
		n = next
		if next++; next > lastReserved {
			next = firstReserved
		}
		lis, err := net.Listen("tcp4", netip.AddrPortFrom(n.Addr(lockHost, lockHost), lockPort).String())
		if err == nil {
			return n, func() { _ = lis.Close() }, nil
		}
	}
	return 0, nil, ErrExhausted
}
