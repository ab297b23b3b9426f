// Package peer connects the hosts of the system over drpc. Every call proves
// that its sender knows the secret that the hosts share.
package peer

import (
	"context"
	"crypto/subtle"
	"net"
	"time"

	"github.com/gravitational/trace"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmetadata"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"

	"github.com/kumquathoist/kumquathoist/settings"
)

const (
	// secretKey is the call metadata that holds the shared secret.
	secretKey = "secret"
	// dialTimeout bounds the time to connect to a peer.
	dialTimeout = time.Second
	// idleExpiration is how long an idle connection is kept.
	idleExpiration = 30 * time.Second
	// connectionsPerPeer bounds idle connections to one peer.
	connectionsPerPeer = 4
)

// Server answers calls of other hosts.
type Server struct {
	*drpcmux.Mux

	secret   settings.Secret
	listener net.Listener
}

// NewServer listens on an address. Serve starts it, after services were
// registered with the embedded Mux.
func NewServer(address string, secret settings.Secret) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.Wrap(err, "listening for peers")
	}
	return &Server{Mux: drpcmux.New(), secret: secret, listener: listener}, nil
}

// Address returns the IP:port that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve answers calls until the context ends.
func (s *Server) Serve(ctx context.Context) error {
	return trace.Wrap(drpcserver.New(authenticated{s.Mux, s.secret}).Serve(ctx, s.listener))
}

// authenticated refuses calls that don't carry the secret.
type authenticated struct {
	next   drpc.Handler
	secret settings.Secret
}

// HandleRPC implements drpc.Handler.
func (a authenticated) HandleRPC(stream drpc.Stream, rpc string) error {
	metadata, _ := drpcmetadata.Get(stream.Context())
	if subtle.ConstantTimeCompare([]byte(metadata[secretKey]), []byte(a.secret.Reveal())) != 1 {
		return trace.AccessDenied("the peer did not prove who it is")
	}
	return a.next.HandleRPC(stream, rpc)
}

// Pool keeps connections to other hosts.
type Pool struct {
	secret settings.Secret
	pool   *drpcpool.Pool[string, drpcpool.Conn]
}

// NewPool returns a pool whose calls carry the secret.
func NewPool(secret settings.Secret) *Pool {
	return &Pool{secret: secret, pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
		Expiration:  idleExpiration,
		KeyCapacity: connectionsPerPeer,
	})}
}

// Conn returns a connection to the peer at an address (IP:port). It connects
// on the first call, and again after a failure.
func (p *Pool) Conn(ctx context.Context, address string) drpc.Conn {
	return p.pool.Get(ctx, address, func(ctx context.Context, address string) (drpcpool.Conn, error) {
		dialer := net.Dialer{Timeout: dialTimeout}
		transport, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, trace.ConnectionProblem(err, "connecting to peer %s", address)
		}
		return drpcconn.New(transport), nil
	})
}

// Context returns a context whose calls carry the secret.
func (p *Pool) Context(ctx context.Context) context.Context {
	return drpcmetadata.Add(ctx, secretKey, p.secret.Reveal())
}

// Close closes every connection.
func (p *Pool) Close() { _ = p.pool.Close() }
