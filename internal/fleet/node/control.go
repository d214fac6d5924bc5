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

// ErrDial reports a process that could not be reached: nothing was sent to it.
var ErrDial = eris.New("process cannot be reached")

const (
	dialTimeout = time.Second
	idleConns   = 64
	idlePerPeer = 16
	idleExpires = 30 * time.Second
	pullTimeout = 2 * time.Second
)

// pool holds connections to other processes.
type pool struct {
	*drpcpool.Pool[netip.AddrPort, drpcpool.Conn]
	identity *identity.Identity
}

func newPool(id *identity.Identity) *pool {
	return &pool{drpcpool.New[netip.AddrPort, drpcpool.Conn](drpcpool.Options{
		Expiration: idleExpires, Capacity: idleConns, KeyCapacity: idlePerPeer,
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

// Connect returns a connection to the process with a control address. It is
// dialled when it is first used; ErrDial then means that nothing was sent.
func (n *Node) Connect(ctx context.Context, a netip.AddrPort) drpc.Conn {
	return n.pool.Get(ctx, a, n.pool.dial)
}

// Dial returns a connection to a process of the fleet for a command.
func Dial(ctx context.Context, id *identity.Identity, a netip.AddrPort) (drpc.Conn, error) {
	p := &pool{identity: id}
	return p.dial(ctx, a)
}

// server serves the calls of other processes.
type server struct {
	n   *Node
	lis net.Listener
	mux *drpcmux.Mux
}

func newServer(n *Node, lis net.Listener) *server {
	s := &server{n: n, lis: lis, mux: drpcmux.New()}
	if err := wire.DRPCRegisterControl(s.mux, &control{n: n}); err != nil {
		n.Error("ControlUnregistered", "Reason", err)
	}
	return s
}

// Mux returns the mux on which an agent registers its own calls before Start.
func (n *Node) Mux() drpc.Mux { return n.server.mux }

func (s *server) serve() {
	lis := tls.NewListener(s.lis, s.n.Identity.ServerTLS())
	if err := drpcserver.New(s.mux).Serve(s.n.ctx, lis); err != nil && s.n.ctx.Err() == nil {
		s.n.Error("ControlStopped", "Reason", err)
	}
}

func (s *server) close() { _ = s.lis.Close() }

// control implements the calls that every process serves.
type control struct {
	wire.DRPCControlUnimplementedServer
	n *Node
}

// Pull returns the contracts and the keyring that the caller lacks.
func (c *control) Pull(_ context.Context, req *wire.PullRequest) (*wire.PullReply, error) {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	return c.n.core.HandlePull(req)
}

// Deliver puts a committed contract or keyring in force.
func (c *control) Deliver(_ context.Context, req *wire.DeliverRequest) (*wire.DeliverReply, error) {
	res := &wire.DeliverReply{}
	if w := req.GetContract(); w != nil {
		e, err := wire.ToEntry(w)
		if err != nil {
			return nil, err
		}
		c.n.with(func(core *gossip.Core) {
			core.ApplyContract(c.n.Now(), e)
			if held, ok := core.Catalogue().Get(e.Customer); ok {
				res.Revision = int64(held.Revision)
			}
		})
	}
	if w := req.GetKeyring(); w != nil {
		c.n.applyKeyring(w.GetRevision(), w.GetValue())
		res.Revision = c.n.KeyringRevision()
	}
	c.n.notify()
	return res, nil
}

// Status returns the process's view.
func (c *control) Status(context.Context, *wire.StatusRequest) (*wire.StatusReply, error) {
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

// pull fetches what this node lacks from another process, in the background.
func (n *Node) pull(p gossip.Pull) {
	from := p.From
	n.mu.Lock()
	if n.pulling[from] || n.ctx.Err() != nil {
		n.mu.Unlock()
		return
	}
	n.pulling[from] = true
	n.mu.Unlock()
	n.goes(func() {
		defer func() {
			n.mu.Lock()
			delete(n.pulling, from)
			n.mu.Unlock()
		}()
		ctx, cancel := context.WithTimeout(n.ctx, pullTimeout)
		defer cancel()
		res, err := wire.NewDRPCControlClient(n.Connect(ctx, from)).Pull(ctx, p.Request)
		if err != nil {
			n.Debug("PullFailed", "From", from, "Reason", err)
			return
		}
		n.with(func(c *gossip.Core) { err = c.HandlePullReply(n.Now(), res) })
		if err != nil {
			n.Warn("PullRejected", "From", from, "Reason", err)
		}
		n.notify()
	})
}

func (n *Node) applyKeyring(revision int64, value []byte) {
	var err error
	n.with(func(c *gossip.Core) { err = c.ApplyKeyring(n.Now(), revision, value) })
	if err != nil {
		n.Warn("KeyringRejected", "Revision", revision, "Reason", err)
	}
}
