// Package sockets opens UDP sockets with large buffers.
//
// # Usage
//
//	conns, err := sockets.ListenMany(address, workers)
package sockets

import (
	"context"
	"net"
	"net/netip"
	"syscall"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// ErrListen reports a failure to listen on a UDP address.
var ErrListen = eris.New("cannot listen on the UDP address")

const socketBufferBytes = 4 << 20

// Listen opens one socket.
func Listen(a netip.AddrPort) (*net.UDPConn, error) {
	conns, err := ListenMany(a, 1)
	if err != nil {
		return nil, err
	}
	return conns[0], nil
}

// ListenMany opens n sockets on one address with SO_REUSEPORT; the kernel
// distributes datagrams among them.
func ListenMany(a netip.AddrPort, n int) ([]*net.UDPConn, error) {
	lc := net.ListenConfig{}
	if n > 1 {
		lc.Control = reusePort
	}
	var out []*net.UDPConn
	for range n {
		pc, err := lc.ListenPacket(context.Background(), "udp", a.String())
		if err != nil {
			closeAll(out)
			return nil, eris.Wrap(ErrListen, err.Error())
		}
		c := pc.(*net.UDPConn)
		_ = c.SetReadBuffer(socketBufferBytes)
		_ = c.SetWriteBuffer(socketBufferBytes)
		out = append(out, c)
	}
	return out, nil
}

func closeAll(conns []*net.UDPConn) {
	for _, c := range conns {
		_ = c.Close()
	}
}

func reusePort(_, _ string, raw syscall.RawConn) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	if err != nil {
		return err
	}
	return sockoptErr
}
