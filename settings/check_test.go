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

// TestDatagramsMayShareAPort checks which addresses may have the same port: that for load
// reports receives datagrams.
func TestDatagramsMayShareAPort(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(*settings.Listen)
		valid  bool
	}{
		{"load reports and readiness", func(l *settings.Listen) { l.Pulses = l.Readiness }, true},
		{"load reports and relays", func(l *settings.Listen) { l.Pulses = l.Relays }, true},
		{"readiness and peers", func(l *settings.Listen) { l.Readiness = l.Peers }, false},
		{"relays and callers", func(l *settings.Listen) { l.Relays = l.Callers }, false},
		{"ports chosen by the kernel", func(l *settings.Listen) { l.Relays, l.Callers = "127.0.0.1:0", "127.0.0.1:0" }, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := settings.Default()
			s.Listen = settings.Listen{
				Callers: "127.0.0.1:1", Peers: "127.0.0.1:2", Addresses: "127.0.0.1:3", Readiness: "127.0.0.1:4", Relays: "127.0.0.1:5", Pulses: "127.0.0.1:6",
			}
			tt.change(&s.Listen)
			s.Platform.Store = "127.0.0.1:7"
			raw, err := yaml.Marshal(s)
			is.NoErr(err)
			_, err = settings.Decode(raw)
			is.True(err != nil) // other settings are missing
			is.Equal(strings.Contains(err.Error(), "Listen."), !tt.valid)
		})
	}
}

// TestReceiveBytes checks which sizes of the kernel's buffer are valid.
func TestReceiveBytes(t *testing.T) {
	for bytes, valid := range map[int]bool{0: true, 4 << 10: true, 4 << 20: true, 1: false, -1: false, 4<<20 + 1: false} {
		checkMachine(t, settings.Machine{ReceiveBytes: bytes}, "Machine.ReceiveBytes", valid)
	}
}

// checkMachine checks whether a key of a machine's settings is valid.
func checkMachine(t *testing.T, m settings.Machine, key string, valid bool) {
	t.Helper()
	is := is.New(t)
	s := settings.Default()
	s.Machine = m
	raw, err := yaml.Marshal(s)
	is.NoErr(err)
	_, err = settings.Decode(raw)
	is.True(err != nil) // other settings are missing
	is.Equal(strings.Contains(err.Error(), key), !valid)
}

// TestClientShare checks which shares of the memory clients may take.
func TestClientShare(t *testing.T) {
	for share, valid := range map[float64]bool{0: true, 0.1: true, 0.8: true, -0.1: false, 0.9: false} {
		checkMachine(t, settings.Machine{ClientShare: share}, "Machine.ClientShare", valid)
	}
}
