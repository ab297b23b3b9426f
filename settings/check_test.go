package settings_test

import (
	"strings"
	"testing"

	"github.com/goccy/go-yaml"
	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/settings"
)

// TestAnnouncedPulsesPort checks which announced ports for load reports are valid.
func TestAnnouncedPulsesPort(t *testing.T) {
	for port, valid := range map[int]bool{0: true, 1: true, 65535: true, -1: false, 65536: false} {
		is := is.New(t)
		s := settings.Default()
		s.Listen.AnnouncedPulsesPort = port
		s.Platform.Store = "127.0.0.1:1"
		raw, err := yaml.Marshal(s)
		is.NoErr(err)
		_, err = settings.Decode(raw)
		is.True(err != nil) // other settings are missing
		is.Equal(strings.Contains(err.Error(), "Listen.AnnouncedPulsesPort"), !valid)
	}
}

// TestAnnouncedPeers checks which announced peer addresses are valid.
func TestAnnouncedPeers(t *testing.T) {
	for _, tt := range []struct {
		name, announced, address string
		valid                    bool
	}{
		{"none", "", "127.0.0.1:8081", true},
		{"another", "10.0.0.1:9000", "10.0.0.1:9000", true},
		{"a name", "host:9000", "host:9000", false},
		{"no port", "10.0.0.1:0", "10.0.0.1:0", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := settings.Default()
			s.Listen.AnnouncedPeers = tt.announced
			is.Equal(s.Listen.PeersAddress(), tt.address)
			s.Platform.Store = "127.0.0.1:1"
			raw, err := yaml.Marshal(s)
			is.NoErr(err)
			_, err = settings.Decode(raw)
			is.True(err != nil) // other settings are missing
			is.Equal(strings.Contains(err.Error(), "Listen.AnnouncedPeers"), !tt.valid)
		})
	}
}
