package client

import (
	"context"
	"net"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// flow is a QUIC connection on its own UDP socket.
type flow struct {
	socket    *net.UDPConn
	transport *quic.Transport
	conn      *quic.Conn
	http      *http3.ClientConn
	users     int
}

func openFlow(ctx context.Context, cfg Config) (*flow, error) {
	network := "udp4"
	if cfg.Address.Addr().Is6() {
		network = "udp6"
	}
	socket, err := net.ListenUDP(network, nil)
	if err != nil {
		return nil, err
	}
	f := &flow{socket: socket, transport: &quic.Transport{Conn: socket}}
	quicCfg := &quic.Config{MaxIdleTimeout: idleTimeout, KeepAlivePeriod: keepAlivePeriod, DisablePathMTUDiscovery: true}
	f.conn, err = f.transport.Dial(ctx, net.UDPAddrFromAddrPort(cfg.Address), cfg.TLS, quicCfg)
	if err != nil {
		f.close()
		return nil, err
	}
	tr := &http3.Transport{DisableCompression: true}
	f.http = tr.NewClientConn(f.conn)
	return f, nil
}

func (f *flow) isBroken() bool { return f.conn.Context().Err() != nil }

func (f *flow) close() {
	if f.conn != nil {
		_ = f.conn.CloseWithError(0, "")
	}
	_ = f.transport.Close()
	_ = f.socket.Close()
}
