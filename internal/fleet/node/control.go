package node

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"

	"github.com/jaytack/jaytack/internal/fleet/gossip"
	"github.com/jaytack/jaytack/internal/fleet/wire"
	"github.com/jaytack/jaytack/internal/process/identity"
)

// ErrDial reports a failure to connect to a process. No call was sent to it.
var ErrDial = eris.New("process cannot be reached")

const (
	dialTimeout         = time.Second
	maxIdleConns        = 64
	maxIdleConnsPerPeer = 16
	idleConnTimeout     = 30 * time.Second
	pullTimeout         = 2 * time.Second
)

// pool holds connections to other processes.
type pool struct {
	*drpcpool.Pool[netip.AddrPort, drpcpool.Conn]
	identity *identity.Identity
}

func newPool(id *identity.Identity) *pool {
	return &pool{drpcpool.New[netip.AddrPort, drpcpool.Conn](drpcpool.Options{
		Expiration: idleConnTimeout, Capacity: maxIdleConns, KeyCapacity: maxIdleConnsPerPeer,
	}), id}
}

func (p *pool) close() { _ = p.Close() }

func (p *pool) dial(ctx context.Context, a netip.AddrPort) (drpcpool.Conn, error) {
	d := tls.Dialer{NetDialer: &net.Dialer{Timeout: dialTimeout}, Config: p.identity.ClientTLS()}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := d.DialContext(ctx, "tcp", a.String())
	if err != nil {
		return nil, eris.Wrap(ErrDial, err.Error())
	}
	return drpcconn.New(c), nil
}

// Connect returns a pooled connection to the process at a control address. It is
// dialled on first use; a call that fails with ErrDial was not sent.
func (n *Node) Connect(ctx context.Context, a netip.AddrPort) drpc.Conn {
	return n.pool.Get(ctx, a, n.pool.dial)
}

// Dial returns an unpooled connection to the process at a control address. It fails
// with ErrDial.
func Dial(ctx context.Context, id *identity.Identity, a netip.AddrPort) (drpc.Conn, error) {
	p := &pool{identity: id}
	return p.dial(ctx, a)
}

// server serves the calls of other processes.
type server struct {
	n        *Node
	listener net.Listener
	mux      *drpcmux.Mux
}

func newServer(n *Node, listener net.Listener) *server {
	s := &server{n: n, listener: listener, mux: drpcmux.New()}
	if err := wire.DRPCRegisterControl(s.mux, &controlService{n: n}); err != nil {
		n.Error("ControlUnregistered", "Reason", err)
	}
	return s
}

// Mux returns the mux for registering further services before Start.
func (n *Node) Mux() drpc.Mux { return n.server.mux }

func (s *server) serve() {
	listener := tls.NewListener(s.listener, s.n.Identity.ServerTLS())
	if err := drpcserver.New(s.mux).Serve(s.n.ctx, listener); err != nil && s.n.ctx.Err() == nil {
		s.n.Error("ControlStopped", "Reason", err)
	}
}

func (s *server) close() { _ = s.listener.Close() }

// controlService implements the Control service.
type controlService struct {
	wire.DRPCControlUnimplementedServer
	n *Node
}

// Pull returns the contracts and the keyring that the requesting process lacks.
func (c *controlService) Pull(_ context.Context, req *wire.PullRequest) (*wire.PullReply, error) {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	return c.n.core.HandlePull(req)
}

// Deliver applies a committed contract or keyring and returns the revision in force.
func (c *controlService) Deliver(_ context.Context, req *wire.DeliverRequest) (*wire.DeliverReply, error) {
	reply := &wire.DeliverReply{}
	if wireContract := req.GetContract(); wireContract != nil {
		e, err := wire.ToEntry(wireContract)
		if err != nil {
			return nil, err
		}
		c.n.update(func(core *gossip.Core) {
			core.ApplyContract(c.n.Now(), e)
			if applied, ok := core.Catalogue().Get(e.Customer); ok {
				reply.Revision = int64(applied.Revision)
			}
		})
	}
	if wireKeyring := req.GetKeyring(); wireKeyring != nil {
		c.n.applyKeyring(wireKeyring.GetRevision(), wireKeyring.GetValue())
		reply.Revision = c.n.KeyringRevision()
	}
	c.n.notifyChange()
	return reply, nil
}

// Status returns the process's view.
func (c *controlService) Status(context.Context, *wire.StatusRequest) (*wire.StatusReply, error) {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	core := c.n.core
	return &wire.StatusReply{
		Members:         wire.FromMembers(core.View().All()),
		Versions:        wire.FromVersions(core.Catalogue().Versions()),
		KeyringRevision: core.KeyringRevision(),
		Role:            core.Self().Role.String(),
	}, nil
}

// startPull sends a pull and applies its reply in a goroutine, unless a pull from
// the same process is active.
func (n *Node) startPull(p gossip.Pull) {
	from := p.From
	n.mu.Lock()
	if n.activePulls[from] || n.ctx.Err() != nil {
		n.mu.Unlock()
		return
	}
	n.activePulls[from] = true
	n.mu.Unlock()
	n.spawn(func() {
		defer func() {
			n.mu.Lock()
			delete(n.activePulls, from)
			n.mu.Unlock()
		}()
		ctx, cancel := context.WithTimeout(n.ctx, pullTimeout)
		defer cancel()
		res, err := wire.NewDRPCControlClient(n.Connect(ctx, from)).Pull(ctx, p.Request)
		if err != nil {
			n.Debug("PullFailed", "From", from, "Reason", err)
			return
		}
		n.update(func(c *gossip.Core) { err = c.HandlePullReply(n.Now(), res) })
		if err != nil {
			n.Warn("PullRejected", "From", from, "Reason", err)
		}
		n.notifyChange()
	})
}

func (n *Node) applyKeyring(revision int64, value []byte) {
	var err error
	n.update(func(c *gossip.Core) { err = c.ApplyKeyring(n.Now(), revision, value) })
	if err != nil {
		n.Warn("KeyringRejected", "Revision", revision, "Reason", err)
	}
}
