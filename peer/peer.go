// Package peer connects the hosts of the system over drpc. Every call carries
// the secret that the hosts share. With TLS, both sides also authenticate with
// a certificate, and the secret is not sent in the clear.
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
	"github.com/kumquathoist/kumquathoist/socket"
)

const (
	// secretKey is the key of the shared secret in a call's metadata.
	secretKey = "secret"
	// dialTimeout bounds connecting to a peer, TLS handshake included.
	dialTimeout = time.Second
	// maxSilence is how long a peer may acknowledge nothing before a connection to it
	// is closed. A frozen host's kernel still acknowledges.
	maxSilence = 1500 * time.Millisecond
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 30 * time.Second
	// MaxAnswerBytes limits the size of an answer to a call.
	MaxAnswerBytes = 32 << 20
	// receiveBytes is the size of the kernel's buffer for what a connection receives.
	receiveBytes = 16 << 10
	// maxIdlePerPeer limits the idle connections to one peer.
	maxIdlePerPeer = 4
)

// Credentials authenticate a host to other hosts.
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

// NewServer listens on an address. Register services with the embedded Mux,
// then call Serve.
func NewServer(address string, c Credentials) (*Server, error) {
	listener, err := socket.Listen(address, receiveBytes, 0)
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
	return trace.Wrap(drpcserver.New(authenticator{s.Mux, s.credentials.Secret}).Serve(ctx, listener))
}

// authenticator rejects calls that don't carry the secret.
type authenticator struct {
	next   drpc.Handler
	secret settings.Secret
}

// HandleRPC implements drpc.Handler.
func (a authenticator) HandleRPC(stream drpc.Stream, rpc string) error {
	metadata, _ := drpcmetadata.Get(stream.Context())
	if subtle.ConstantTimeCompare([]byte(metadata[secretKey]), []byte(a.secret.Reveal())) != 1 {
		return trace.AccessDenied("the peer did not prove who it is")
	}
	return a.next.HandleRPC(stream, rpc)
}

// Pool is a connection pool for calls to other hosts.
type Pool struct {
	Traffic

	credentials Credentials
	pool        *drpcpool.Pool[string, drpcpool.Conn]
}

// NewPool returns a pool whose calls carry the credentials.
func NewPool(c Credentials) *Pool {
	return &Pool{credentials: c, pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
		Expiration:  idleTimeout,
		KeyCapacity: maxIdlePerPeer,
	})}
}

// Conn returns a connection to the peer at an address (IP:port). The connection
// is dialed on the first call and again after a failure.
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

// dial connects to a peer and, with TLS, completes the handshake, so that both
// sides are authenticated.
func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := socket.NewDialer(dialTimeout, maxSilence).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	transport := net.Conn(countingConn{conn, &p.Traffic})
	if p.credentials.TLS == nil {
		return transport, nil
	}
	tlsConn := tls.Client(transport, p.credentials.TLS)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return tlsConn, nil
}

// Context returns a context whose calls carry the secret.
func (p *Pool) Context(ctx context.Context) context.Context {
	return drpcmetadata.Add(ctx, secretKey, p.credentials.Secret.Reveal())
}

// Close closes every connection.
func (p *Pool) Close() { _ = p.pool.Close() }
