// Package settings holds what one host is told when its daemon starts.
//
// Settings are a YAML file with Pascal-case keys. What operators change
// while the system runs is in the configuration document instead (package
// document).
package settings

import (
	"bytes"
	"cmp"
	"os"
	"time"

	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/problem"
)

// Settings is the whole file.
type Settings struct {
	// Host names this host and tells where it stands.
	Host Host `yaml:"Host"`
	// Listen holds the addresses that the daemon accepts connections on.
	Listen Listen `yaml:"Listen"`
	// Platform tells where the platform's services are.
	Platform Platform `yaml:"Platform"`
	// Configuration sets how the configuration document is kept.
	Configuration Configuration `yaml:"Configuration"`
	// Secrets tells where secrets are read from.
	Secrets Secrets `yaml:"Secrets"`
	// PeerTLS encrypts connections between hosts; without it they are plain
	// TCP and prove themselves with the shared secret alone.
	PeerTLS PeerTLS `yaml:"PeerTLS,omitempty"`
	// Limits bounds what callers may send.
	Limits Limits `yaml:"Limits"`
	// Stop sets how a planned stop proceeds.
	Stop Stop `yaml:"Stop"`
	// Machine tells what the host may use.
	Machine Machine `yaml:"Machine,omitempty"`
	// Bounds are the times and amounts that the platform's operators promise
	// their users; they are used with Platform.Store.
	Bounds Bounds `yaml:"Bounds,omitempty"`
}

// Host is this host's place in the system.
type Host struct {
	Name          string `yaml:"Name"`
	FailureDomain string `yaml:"FailureDomain"`
	Region        string `yaml:"Region"`
}

// Listen holds one address (IP:port) for each kind of client. Port 0 lets
// the kernel choose.
type Listen struct {
	Callers   string `yaml:"Callers"`
	Peers     string `yaml:"Peers"`
	Operators string `yaml:"Operators"`
	// Addresses answers callers that ask which hosts to use, and Readiness
	// the platform's checks; they are used with Platform.Store.
	Addresses string `yaml:"Addresses,omitempty"`
	Readiness string `yaml:"Readiness,omitempty"`
	// Metrics serves metrics to scrapers; without it nobody does with
	// Platform.Store.
	Metrics string `yaml:"Metrics,omitempty"`
	// Pulses takes datagrams of other hosts, which use the same port; it is
	// used with Platform.Store.
	Pulses string `yaml:"Pulses,omitempty"`
	// AnnouncedPeers is what other hosts are told instead of Peers, for hosts
	// behind a forwarder. Pulses come to its IP. It is used with
	// Platform.Store.
	AnnouncedPeers string `yaml:"AnnouncedPeers,omitempty"`
	// AnnouncedPulsesPort is the port to which pulses are sent instead of that
	// of Pulses, for hosts behind forwarders; all hosts use the same. It is
	// used with Platform.Store.
	AnnouncedPulsesPort int `yaml:"AnnouncedPulsesPort,omitempty"`
}

// PeersAddress returns the address at which other hosts reach this one.
func (l Listen) PeersAddress() string { return cmp.Or(l.AnnouncedPeers, l.Peers) }

// Platform tells where the platform's services are: either the base URLs of
// its log and host list, or the address of a store that holds configuration,
// upstreams and hosts.
type Platform struct {
	Log      string `yaml:"Log,omitempty"`
	HostList string `yaml:"HostList,omitempty"`
	// Store is the IP:port of the store.
	Store string `yaml:"Store,omitempty"`
	// Seeds are peers' addresses (IP:port) of hosts that may exist.
	Seeds []string `yaml:"Seeds,omitempty"`
}

// Machine tells what the host may use.
type Machine struct {
	// MemoryMB is the memory at which the process is killed.
	MemoryMB int `yaml:"MemoryMB"`
	// Descriptors is the most open files and sockets.
	Descriptors int `yaml:"Descriptors"`
}

// Bounds are what operators promise their users.
type Bounds struct {
	// LeaseMillis is how long after one host's order to an engine another
	// host may order it.
	LeaseMillis int `yaml:"LeaseMillis"`
	// WeightsMillis is how long after new weights were named a request may
	// begin on older ones.
	WeightsMillis int `yaml:"WeightsMillis"`
	// GraceSeconds is the time from SIGTERM to SIGKILL.
	GraceSeconds float64 `yaml:"GraceSeconds"`
	// RepeatRatio, RepeatWindowSeconds and RepeatSlack bound what all hosts
	// send again to a service: a share of a window's requests, and more.
	RepeatRatio         float64 `yaml:"RepeatRatio"`
	RepeatWindowSeconds float64 `yaml:"RepeatWindowSeconds"`
	RepeatSlack         float64 `yaml:"RepeatSlack"`
}

// Lease is how long after one host's order another host may order.
func (b Bounds) Lease() time.Duration { return time.Duration(b.LeaseMillis) * time.Millisecond }

// Weights is how long older weights may answer.
func (b Bounds) Weights() time.Duration { return time.Duration(b.WeightsMillis) * time.Millisecond }

// Grace is the time from SIGTERM to SIGKILL.
func (b Bounds) Grace() time.Duration { return seconds(b.GraceSeconds) }

// RepeatWindow is the window in which repeats are bounded.
func (b Bounds) RepeatWindow() time.Duration { return seconds(b.RepeatWindowSeconds) }

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

// Configuration sets how the configuration document outlives the log's
// retention.
type Configuration struct {
	// LogRetentionSeconds is how long the log keeps records.
	LogRetentionSeconds int `yaml:"LogRetentionSeconds"`
	// SnapshotShare is the part of the log's retention after which the
	// configuration is written to the log again.
	SnapshotShare float64 `yaml:"SnapshotShare"`
}

// LogRetention is how long the log keeps records.
func (c Configuration) LogRetention() time.Duration {
	return time.Duration(c.LogRetentionSeconds) * time.Second
}

// Secrets names the source of each secret.
type Secrets struct {
	// Peers is shared by the hosts of the system.
	Peers Source `yaml:"Peers"`
	// Operators is what operators prove themselves with.
	Operators Source `yaml:"Operators"`
}

// Source is where a secret is read from: an environment variable or a file.
type Source struct {
	Environment string `yaml:"Environment,omitempty"`
	File        string `yaml:"File,omitempty"`
}

// Limits bounds callers' connections.
type Limits struct {
	// BodyBytes is the largest request body.
	BodyBytes int `yaml:"BodyBytes"`
	// HeaderBytes is the largest request head.
	HeaderBytes int `yaml:"HeaderBytes"`
	// Connections is the most open connections of callers.
	Connections int `yaml:"Connections"`
	// BusyRequests is how many open requests make a host tell that it is
	// busy, so that callers are sent to others first.
	BusyRequests int `yaml:"BusyRequests"`
	// IdleSeconds is how long an idle connection is kept.
	IdleSeconds int `yaml:"IdleSeconds"`
	// DeadlineSeconds is the deadline of a request that names none.
	DeadlineSeconds int `yaml:"DeadlineSeconds"`
}

// Stop sets how a planned stop proceeds.
type Stop struct {
	// AddressSeconds is how long a caller may keep an address answer; a
	// stopping host accepts new requests for as long.
	AddressSeconds int `yaml:"AddressSeconds"`
	// StreamSeconds is how long a stopping host waits for its streams.
	StreamSeconds int `yaml:"StreamSeconds"`
}

// AddressTTL is how long a caller may keep an address answer.
func (s Stop) AddressTTL() time.Duration { return time.Duration(s.AddressSeconds) * time.Second }

// StreamAllowance is how long a stopping host waits for its streams.
func (s Stop) StreamAllowance() time.Duration { return time.Duration(s.StreamSeconds) * time.Second }

// Default returns the settings that a file starts from.
func Default() Settings {
	return Settings{
		Listen: Listen{Callers: "127.0.0.1:8080", Peers: "127.0.0.1:8081", Operators: "127.0.0.1:8082"},
		Secrets: Secrets{
			Peers:     Source{Environment: "KUMQUATHOIST_PEER_SECRET"},
			Operators: Source{Environment: "KUMQUATHOIST_OPERATOR_SECRET"},
		},
		Configuration: Configuration{LogRetentionSeconds: 86_400, SnapshotShare: 0.5},
		Limits:        Limits{BodyBytes: 16 << 20, HeaderBytes: 32 << 10, Connections: 10_000, BusyRequests: 512, IdleSeconds: 60, DeadlineSeconds: 120},
		Stop:          Stop{AddressSeconds: 5, StreamSeconds: 120},
	}
}

// Load reads, decodes and checks a settings file.
func Load(path string) (Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, trace.ConvertSystemError(err)
	}
	s, err := Decode(raw)
	return s, trace.Wrap(err, "reading settings %s", path)
}

// Decode decodes settings over the defaults and checks them. The error lists
// every problem with its place (package problem).
func Decode(raw []byte) (Settings, error) {
	s := Default()
	file, problems := problem.Decode(raw, &s)
	if !file.NotDecoded {
		problems = problems.With(s.check(file))
	}
	if len(problems) > 0 {
		return Settings{}, trace.BadParameter("%s", problems.Error())
	}
	return s, nil
}

// Read returns the secret.
func (s Source) Read() (Secret, error) {
	if s.File != "" {
		raw, err := os.ReadFile(s.File)
		if err != nil {
			return "", trace.ConvertSystemError(err)
		}
		if raw = bytes.TrimSpace(raw); len(raw) == 0 {
			return "", trace.BadParameter("file %s holds no secret", s.File)
		}
		return Secret(raw), nil
	}
	value := os.Getenv(s.Environment)
	if value == "" {
		return "", trace.BadParameter("environment variable %s holds no secret", s.Environment)
	}
	return Secret(value), nil
}

// Secret is a value that is never printed.
type Secret string

// String hides the secret from logs and messages.
func (Secret) String() string { return "(hidden)" }

// GoString hides the secret from %#v.
func (Secret) GoString() string { return "(hidden)" }

// Reveal returns the value for a comparison or a request.
func (s Secret) Reveal() string { return string(s) }
