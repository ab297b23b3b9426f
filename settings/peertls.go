package settings

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/gravitational/trace"
)

// PeerTLS holds the sources (PEM) of this host's certificate and key, and of the
// certificate of the authority that signs the certificates of all hosts. Either
// all are set or none.
type PeerTLS struct {
	Certificate Source `yaml:"Certificate,omitempty"`
	Key         Source `yaml:"Key,omitempty"`
	Authority   Source `yaml:"Authority,omitempty"`
	// Name is the DNS name that every host's certificate carries, so that
	// other certificates of the authority are refused.
	Name string `yaml:"Name,omitempty"`
}

// Enabled reports whether connections between hosts are encrypted.
func (t PeerTLS) Enabled() bool { return t != PeerTLS{} }

// Check returns an error if only some of the fields are set.
func (t PeerTLS) Check() error {
	if !t.Enabled() {
		return nil
	}
	required := []struct {
		key string
		set bool
	}{
		{"PeerTLS.Certificate", t.Certificate != Source{}},
		{"PeerTLS.Key", t.Key != Source{}},
		{"PeerTLS.Authority", t.Authority != Source{}},
		{"PeerTLS.Name", t.Name != ""},
	}
	for _, r := range required {
		if !r.set {
			return trace.BadParameter("%s is not set, but other keys of PeerTLS are", r.key)
		}
	}
	return nil
}

// Config reads the sources and returns a TLS configuration for both sides of a
// connection, or nil if TLS is not enabled. Both sides must present a
// certificate that the authority signed and that carries the name.
func (t PeerTLS) Config() (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil //nolint:nilnil // no TLS is a valid setting.
	}
	var pem [3][]byte
	for i, source := range []Source{t.Certificate, t.Key, t.Authority} {
		value, err := source.Read()
		if err != nil {
			return nil, trace.Wrap(err, "reading the peers' certificates")
		}
		pem[i] = []byte(value.Reveal())
	}
	certificate, err := tls.X509KeyPair(pem[0], pem[1])
	if err != nil {
		return nil, trace.BadParameter("PeerTLS.Certificate and PeerTLS.Key are not a valid key pair: %v", err)
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(pem[2]) {
		return nil, trace.BadParameter("PeerTLS.Authority contains no PEM certificate")
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
		RootCAs:      authority,
		ClientCAs:    authority,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   t.Name,
		VerifyConnection: func(state tls.ConnectionState) error {
			return state.PeerCertificates[0].VerifyHostname(t.Name)
		},
	}, nil
}
