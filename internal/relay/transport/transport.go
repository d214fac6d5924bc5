// Package transport carries messages between the processes that relay flows.
//
// # Usage
//
//	l, err := link.Listen(self, port, handle)
//	l.Send(to, envelope)
//	l.Close()
package transport

import (
	"errors"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/jaytack/jaytack/internal/process/sockets"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/message"
)

// maxDatagram is the largest datagram that is read.
const maxDatagram = 2048

// Link is one process's socket for messages.
type Link struct {
	conn *net.UDPConn
	port uint16
	// Sent, Received, Unreadable and Unsent count messages.
	Sent, Received, Unreadable, Unsent atomic.Int64
}

// Listen opens the socket and calls handle for each message, one at a time.
func Listen(self netip.Addr, port uint16, handle func(from flow.IP, e *message.Envelope)) (*Link, error) {
	conn, err := sockets.Listen(netip.AddrPortFrom(self, port))
	if err != nil {
		return nil, err
	}
	l := &Link{conn: conn, port: port}
	go func() {
		buf := make([]byte, maxDatagram)
		for {
			n, from, err := conn.ReadFromUDPAddrPort(buf)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				// An ICMP error of an earlier datagram; the peer is found dead by its silence.
				continue
			}
			l.Received.Add(1)
			var e message.Envelope
			if err := proto.Unmarshal(buf[:n], &e); err != nil {
				l.Unreadable.Add(1)
				continue
			}
			handle(flow.IPOf(from.Addr()), &e)
		}
	}()
	return l, nil
}

// ErrEncode reports a message that cannot be encoded.
var ErrEncode = eris.New("message cannot be encoded")

// Encode returns the datagram of a message.
func Encode(e *message.Envelope) ([]byte, error) {
	b, err := proto.Marshal(e)
	if err != nil {
		return nil, eris.Wrap(ErrEncode, err.Error())
	}
	return b, nil
}

// Send sends a datagram; it may be lost.
func (l *Link) Send(to flow.IP, datagram []byte) {
	l.Sent.Add(1)
	if _, err := l.conn.WriteToUDPAddrPort(datagram, netip.AddrPortFrom(to.Addr(), l.port)); err != nil {
		l.Unsent.Add(1)
	}
}

// Close closes the socket.
func (l *Link) Close() { _ = l.conn.Close() }
