// Package peer connects the hosts of the system over drpc. Every call proves
// that its sender knows the secret that the hosts share. With TLS both sides
// also prove themselves with a certificate, and the secret is not sent in
// the clear.
package peer

import (
	"context"
	"crypto/subtle"
	"crypto/tls"
	"net"
	"time"

	"github.com/gravitational/trace"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmetadata"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/kumquathoist/kumquathoist/settings"
)

const (
	// secretKey is the call metadata that holds the shared secret.
	secretKey = "secret"
	// dialTimeout bounds the time to connect to a peer.
	dialTimeout = time.Second
	// idleExpiration is how long an idle connection is kept.
	idleExpiration = 30 * time.Second
	// MaxAnswerBytes bounds the answer to a call.
	MaxAnswerBytes = 32 << 20
	// connectionsPerPeer bounds idle connections to one peer.
	connectionsPerPeer = 4
)

// Credentials are what hosts prove themselves with.
type Credentials struct {
	Secret settings.Secret
	// TLS is nil for plain TCP.
	TLS *tls.Config
}

// Server answers calls of other hosts.
type Server struct {
	*drpcmux.Mux

	Traffic

	credentials Credentials
	listener    net.Listener
}

// NewServer listens on an address. Serve starts it, after services were
// registered with the embedded Mux.
func NewServer(address string, c Credentials) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.Wrap(err, "listening for peers")
	}
	return &Server{Mux: drpcmux.New(), credentials: c, listener: listener}, nil
}

// Address returns the IP:port that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve answers calls until the context ends.
func (s *Server) Serve(ctx context.Context) error {
	listener := net.Listener(countingListener{s.listener, &s.Traffic})
	if s.credentials.TLS != nil {
		listener = tls.NewListener(listener, s.credentials.TLS)
	}
	return trace.Wrap(drpcserver.New(authenticated{s.Mux, s.credentials.Secret}).Serve(ctx, listener))
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
	Traffic

	credentials Credentials
	pool        *drpcpool.Pool[string, drpcpool.Conn]
}

// NewPool returns a pool whose calls carry the credentials.
func NewPool(c Credentials) *Pool {
	return &Pool{credentials: c, pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
		Expiration:  idleExpiration,
		KeyCapacity: connectionsPerPeer,
	})}
}

// Conn returns a connection to the peer at an address (IP:port). It connects
// on the first call, and again after a failure.
func (p *Pool) Conn(ctx context.Context, address string) drpc.Conn {
	return p.pool.Get(ctx, address, func(ctx context.Context, address string) (drpcpool.Conn, error) {
		transport, err := p.dial(ctx, address)
		if err != nil {
			return nil, trace.ConnectionProblem(err, "connecting to peer %s", address)
		}
		return drpcconn.NewWithOptions(transport, drpcconn.Options{
			Manager: drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxAnswerBytes}},
		}), nil
	})
}

// dial connects and, with TLS, proves both sides.
func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	transport := net.Conn(countingConn{raw, &p.Traffic})
	if p.credentials.TLS == nil {
		return transport, nil
	}
	secure := tls.Client(transport, p.credentials.TLS)
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return secure, nil
}

// Context returns a context whose calls carry the secret.
func (p *Pool) Context(ctx context.Context) context.Context {
	return drpcmetadata.Add(ctx, secretKey, p.credentials.Secret.Reveal())
}

// Close closes every connection.
func (p *Pool) Close() { _ = p.pool.Close() }
