package settings_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/settings"
)

func TestPeerTLSNeedsAllKeysOrNone(t *testing.T) {
	is := is.New(t)
	source := settings.Source{Environment: "PEM"}
	complete := settings.PeerTLS{Certificate: source, Key: source, Authority: source, Name: "hosts"}
	is.NoErr(settings.PeerTLS{}.Check())
	is.NoErr(complete.Check())
	for _, clear := range []func(*settings.PeerTLS){
		func(p *settings.PeerTLS) { p.Certificate = settings.Source{} },
		func(p *settings.PeerTLS) { p.Key = settings.Source{} },
		func(p *settings.PeerTLS) { p.Authority = settings.Source{} },
		func(p *settings.PeerTLS) { p.Name = "" },
	} {
		partial := complete
		clear(&partial)
		is.True(partial.Check() != nil)
	}
}

func TestEmptySecretFileFails(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "secret")
	is.NoErr(os.WriteFile(path, []byte("\n"), 0o600))
	_, err := settings.Source{File: path}.Read()
	is.True(err != nil)
}
