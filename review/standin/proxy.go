package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// holdingProxy passes calls on to an agent's control address. It holds them until release,
// as a partition holds the bytes of an open connection, also after their sender has ended.
type holdingProxy struct {
	lis  net.Listener
	to   string
	free chan struct{}
	once sync.Once
}

func (f *fleet) startHoldingProxy(m *machine) (*holdingProxy, error) {
	lis, err := net.Listen("tcp4", m.ip.String()+":0")
	if err != nil {
		return nil, err
	}
	p := &holdingProxy{lis: lis, to: m.addr(portControl), free: make(chan struct{})}
	f.onClose(func() { _ = lis.Close() })
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			go p.pass(conn)
		}
	}()
	return p, nil
}

func (p *holdingProxy) addr() string { return p.lis.Addr().String() }

// release lets the held bytes through.
func (p *holdingProxy) release() { p.once.Do(func() { close(p.free) }) }

func (p *holdingProxy) pass(from net.Conn) {
	defer func() { _ = from.Close() }()
	<-p.free
	to, err := net.Dial("tcp4", p.to)
	// A segment that the network has held is sent again until the address answers.
	for end := time.Now().Add(3 * time.Second); err != nil && time.Now().Before(end); to, err = net.Dial("tcp4", p.to) {
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	go func() { _, _ = io.Copy(to, from) }()
	_, _ = io.Copy(from, to)
}
