// Package transport sends and receives the messages of balancers and agents over UDP.
//
// # Usage
//
//	c, err := transport.Listen(self, peerPort, handle)
//	datagram, err := transport.Encode(envelope)
//	c.Send(to, datagram)
//	c.Close()
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

// maxDatagramSize is the size of the receive buffer in bytes.
const maxDatagramSize = 2048

// Conn is a process's socket for messages. It is safe for concurrent use.
type Conn struct {
	udpConn  *net.UDPConn
	peerPort uint16
	// Sent, Received, Malformed and SendErrors count datagrams.
	Sent, Received, Malformed, SendErrors atomic.Int64
}

// Listen opens the socket and calls handle for each message, one at a time. Peers
// listen on the same port.
func Listen(self netip.Addr, peerPort uint16, handle func(from flow.IP, envelope *message.Envelope)) (*Conn, error) {
	udpConn, err := sockets.Listen(netip.AddrPortFrom(self, peerPort))
	if err != nil {
		return nil, err
	}
	c := &Conn{udpConn: udpConn, peerPort: peerPort}
	go func() {
		buf := make([]byte, maxDatagramSize)
		for {
			n, from, err := udpConn.ReadFromUDPAddrPort(buf)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				// An ICMP error for an earlier datagram; a peer that is down is detected by
				// its missing reports.
				continue
			}
			c.Received.Add(1)
			var envelope message.Envelope
			if err := proto.Unmarshal(buf[:n], &envelope); err != nil {
				c.Malformed.Add(1)
				continue
			}
			handle(flow.IPOf(from.Addr()), &envelope)
		}
	}()
	return c, nil
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

// Send sends a datagram, which may be lost.
func (c *Conn) Send(to flow.IP, datagram []byte) {
	c.Sent.Add(1)
	if _, err := c.udpConn.WriteToUDPAddrPort(datagram, netip.AddrPortFrom(to.Addr(), c.peerPort)); err != nil {
		c.SendErrors.Add(1)
	}
}

// Close closes the socket.
func (c *Conn) Close() { _ = c.udpConn.Close() }
