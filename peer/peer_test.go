package peer_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/peer"
	"github.com/kumquathoist/kumquathoist/peerpb"
	"github.com/kumquathoist/kumquathoist/settings"
)

const hostsName = "hosts.kumquathoist.example"

// heartbeatServer accepts every heartbeat.
type heartbeatServer struct{ received chan string }

func (h heartbeatServer) Send(stream peerpb.DRPCMemberships_SendStream) error {
	m, err := stream.Recv()
	if err == nil {
		h.received <- m.GetSender().GetName()
	}
	return err
}

// authority signs certificates.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	raw         []byte
}

func newAuthority(t *testing.T) authority {
	key, raw := sign(t, nil, &x509.Certificate{IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign})
	certificate, err := x509.ParseCertificate(raw)
	is.New(t).NoErr(err)
	return authority{certificate, key, raw}
}

// sign creates a key and its certificate, which is self-signed without an
// authority.
func sign(t *testing.T, a *authority, template *x509.Certificate) (*ecdsa.PrivateKey, []byte) {
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template.SerialNumber, template.NotBefore, template.NotAfter = big.NewInt(1), time.Now().Add(-time.Hour), time.Now().Add(time.Hour)
	parent, signer := template, key
	if a != nil {
		parent, signer = a.certificate, a.key
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	is.NoErr(err)
	return key, raw
}

// hostTLS returns the settings of a host with a certificate of the authority.
func (a authority) hostTLS(t *testing.T, name string) settings.PeerTLS {
	is := is.New(t)
	key, raw := sign(t, &a, &x509.Certificate{
		DNSNames: []string{name}, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	})
	der, err := x509.MarshalECPrivateKey(key)
	is.NoErr(err)
	return settings.PeerTLS{
		Certificate: pemFile(t, "CERTIFICATE", raw), Key: pemFile(t, "EC PRIVATE KEY", der),
		Authority: pemFile(t, "CERTIFICATE", a.raw), Name: hostsName,
	}
}

func pemFile(t *testing.T, kind string, der []byte) settings.Source {
	path := filepath.Join(t.TempDir(), "pem")
	is.New(t).NoErr(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return settings.Source{File: path}
}

// TestServerAcceptsOnlyHosts sends one heartbeat with each combination of
// credentials.
func TestServerAcceptsOnlyHosts(t *testing.T) {
	own, other := newAuthority(t), newAuthority(t)
	foreign := other.hostTLS(t, hostsName)
	foreign.Authority = pemFile(t, "CERTIFICATE", own.raw)
	none := settings.PeerTLS{}
	cases := []struct {
		name           string
		server, client settings.PeerTLS
		secret         settings.Secret
		accepted       bool
	}{
		{"plain, right secret", none, none, "right", true},
		{"plain, wrong secret", none, none, "wrong", false},
		{"plain, no secret", none, none, "", false},
		{"TLS, right certificate and secret", own.hostTLS(t, hostsName), own.hostTLS(t, hostsName), "right", true},
		{"TLS, wrong secret", own.hostTLS(t, hostsName), own.hostTLS(t, hostsName), "wrong", false},
		{"TLS, certificate of another authority", own.hostTLS(t, hostsName), foreign, "right", false},
		{"TLS, certificate of another name", own.hostTLS(t, hostsName), own.hostTLS(t, "operator"), "right", false},
		{"TLS, server of another name", own.hostTLS(t, "operator"), own.hostTLS(t, hostsName), "right", false},
		{"TLS, plain client", own.hostTLS(t, hostsName), none, "right", false},
		{"plain server, TLS client", none, own.hostTLS(t, hostsName), "right", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			serverTLS, err := c.server.Config()
			is.NoErr(err)
			clientTLS, err := c.client.Config()
			is.NoErr(err)
			server, err := peer.NewServer("127.0.0.1:0", peer.Credentials{Secret: "right", TLS: serverTLS})
			is.NoErr(err)
			received := make(chan string, 1)
			is.NoErr(peerpb.DRPCRegisterMemberships(server, heartbeatServer{received}))
			served := make(chan error, 1)
			go func() { served <- server.Serve(ctx) }()
			pool := peer.NewPool(peer.Credentials{Secret: c.secret, TLS: clientTLS})
			defer pool.Close()
			stream, err := peerpb.NewDRPCMembershipsClient(pool.Conn(ctx, server.Address())).Send(pool.Context(ctx))
			if err == nil {
				err = stream.Send(&peerpb.Heartbeat{Sender: &peerpb.Member{Name: "host"}})
			}
			if err == nil {
				_, err = stream.CloseAndRecv()
			}
			is.True(err != nil || c.accepted)
			accepted := len(received) == 1
			is.Equal(accepted, c.accepted)
			cancel()
			is.NoErr(<-served)
		})
	}
}
