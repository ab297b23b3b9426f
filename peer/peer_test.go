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

// heartbeats accepts every heartbeat.
type heartbeats struct{ got chan string }

func (h heartbeats) Send(stream peerpb.DRPCMemberships_SendStream) error {
	m, err := stream.Recv()
	if err == nil {
		h.got <- m.GetSender().GetName()
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

// sign makes a key and its certificate; without an authority it signs itself.
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

// host returns the settings of a host with a certificate of the authority.
func (a authority) host(t *testing.T, name string) settings.PeerTLS {
	is := is.New(t)
	key, raw := sign(t, &a, &x509.Certificate{
		DNSNames: []string{name}, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	})
	der, err := x509.MarshalECPrivateKey(key)
	is.NoErr(err)
	return settings.PeerTLS{
		Certificate: file(t, "CERTIFICATE", raw), Key: file(t, "EC PRIVATE KEY", der),
		Authority: file(t, "CERTIFICATE", a.raw), Name: hostsName,
	}
}

func file(t *testing.T, kind string, der []byte) settings.Source {
	path := filepath.Join(t.TempDir(), "pem")
	is.New(t).NoErr(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return settings.Source{File: path}
}

// TestOnlyHostsGetIn sends one heartbeat with each kind of proof.
func TestOnlyHostsGetIn(t *testing.T) {
	ours, other := newAuthority(t), newAuthority(t)
	stranger := other.host(t, hostsName)
	stranger.Authority = file(t, "CERTIFICATE", ours.raw)
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
		{"TLS, right certificate and secret", ours.host(t, hostsName), ours.host(t, hostsName), "right", true},
		{"TLS, wrong secret", ours.host(t, hostsName), ours.host(t, hostsName), "wrong", false},
		{"TLS, certificate of another authority", ours.host(t, hostsName), stranger, "right", false},
		{"TLS, certificate of another name", ours.host(t, hostsName), ours.host(t, "operator"), "right", false},
		{"TLS, server of another name", ours.host(t, "operator"), ours.host(t, hostsName), "right", false},
		{"TLS, plain client", ours.host(t, hostsName), none, "right", false},
		{"plain server, TLS client", none, ours.host(t, hostsName), "right", false},
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
			got := make(chan string, 1)
			is.NoErr(peerpb.DRPCRegisterMemberships(server, heartbeats{got}))
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
			accepted := len(got) == 1
			is.Equal(accepted, c.accepted)
			cancel()
			is.NoErr(<-served)
		})
	}
}
