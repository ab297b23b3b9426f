// Package settings reads the settings that one host's daemon starts with.
//
// Settings are a YAML file with Pascal-case keys. Values that operators change
// at run time belong to the configuration document instead (package document).
package settings

import (
	"bytes"
	"cmp"
	"os"
	"time"

	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/intake"
	"github.com/kumquathoist/kumquathoist/problem"
)

// Settings is the content of a settings file.
type Settings struct {
	// Host holds this host's name and location.
	Host Host `yaml:"Host"`
	// Listen holds the addresses that the daemon listens on.
	Listen Listen `yaml:"Listen"`
	// Platform locates the platform's services.
	Platform Platform `yaml:"Platform"`
	// Configuration sets how the configuration document is retained.
	Configuration Configuration `yaml:"Configuration"`
	// Secrets holds the source of each secret.
	Secrets Secrets `yaml:"Secrets"`
	// PeerTLS encrypts connections between hosts; without it they are plain
	// TCP and authenticated by the shared secret alone.
	PeerTLS PeerTLS `yaml:"PeerTLS,omitempty"`
	// Limits limits callers' connections and requests.
	Limits Limits `yaml:"Limits"`
	// Stop sets how a planned stop proceeds.
	Stop Stop `yaml:"Stop"`
	// Machine holds the resource limits of the host.
	Machine Machine `yaml:"Machine,omitempty"`
	// Bounds holds the times and amounts that the platform's operators promise
	// their users; they are used with Platform.Store.
	Bounds Bounds `yaml:"Bounds,omitempty"`
}

// Host holds this host's name and location.
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
	// Addresses serves callers that ask which hosts to use, and Readiness the
	// platform's readiness checks; they are used with Platform.Store.
	Addresses string `yaml:"Addresses,omitempty"`
	Readiness string `yaml:"Readiness,omitempty"`
	// Metrics serves metrics to scrapers. It is used with Platform.Store, where
	// metrics are not served if it is empty.
	Metrics string `yaml:"Metrics,omitempty"`
	// Pulses receives the load reports of other hosts as datagrams; all hosts
	// use the same port. It is used with Platform.Store.
	Pulses string `yaml:"Pulses,omitempty"`
	// Relays receives requests that other hosts pass on because they don't reach the
	// upstreams; all hosts use the same port. Without it, no requests are passed on.
	// It is used with Platform.Store.
	Relays string `yaml:"Relays,omitempty"`
	// AnnouncedPeers is the address that is announced to other hosts instead of
	// Peers, for hosts behind a forwarder. Load reports are sent to its IP. It
	// is used with Platform.Store.
	AnnouncedPeers string `yaml:"AnnouncedPeers,omitempty"`
	// AnnouncedPulsesPort is the port to which load reports are sent instead of
	// the port of Pulses, for hosts behind forwarders; all hosts use the same.
	// It is used with Platform.Store.
	AnnouncedPulsesPort int `yaml:"AnnouncedPulsesPort,omitempty"`
}

// PeersAddress returns the address at which other hosts reach this host.
func (l Listen) PeersAddress() string { return cmp.Or(l.AnnouncedPeers, l.Peers) }

// Platform locates the platform's services: either the base URLs of its log and
// host list, or the address of a store that holds configuration, upstreams and
// hosts.
type Platform struct {
	Log      string `yaml:"Log,omitempty"`
	HostList string `yaml:"HostList,omitempty"`
	// Store is the IP:port of the store.
	Store string `yaml:"Store,omitempty"`
	// Seeds are the peer addresses (IP:port) of hosts that may exist.
	Seeds []string `yaml:"Seeds,omitempty"`
}

// Machine holds the resource limits of the host.
type Machine struct {
	// MemoryMB is the memory use at which the process is killed. Without Platform.Store it
	// may be 0: the memory of the machine.
	MemoryMB int `yaml:"MemoryMB"`
	// Descriptors limits open files and sockets. Without Platform.Store it may be 0: the
	// limit of the process.
	Descriptors int `yaml:"Descriptors"`
	// ClientShare is the share of the memory that clients may make the host hold in
	// connections and bodies; 0 means the default.
	ClientShare float64 `yaml:"ClientShare,omitempty"`
	// ReceiveBytes is the size of the kernel's buffer for what a client's connection
	// receives; 0 means the default.
	ReceiveBytes int `yaml:"ReceiveBytes,omitempty"`
}

// Allotment returns what clients may make the host hold, whose heads of requests have up to
// a number of bytes.
func (m Machine) Allotment(headBytes int) intake.Allotment {
	return intake.Divide(intake.Machine{
		MemoryBytes: int64(m.MemoryMB) << 20, Descriptors: m.Descriptors,
		ClientShare: cmp.Or(m.ClientShare, intake.DefaultClientShare), HeadBytes: headBytes, ReceiveBytes: cmp.Or(m.ReceiveBytes, intake.DefaultReceiveBytes),
	})
}

// Bounds holds the times and amounts that operators promise their users.
type Bounds struct {
	// LeaseMillis is the time after one host's order to an engine before
	// another host may send orders to it.
	LeaseMillis int `yaml:"LeaseMillis"`
	// WeightsMillis is how long after new target weights were set a request
	// may still start on older ones.
	WeightsMillis int `yaml:"WeightsMillis"`
	// GraceSeconds is the time from SIGTERM to SIGKILL.
	GraceSeconds float64 `yaml:"GraceSeconds"`
	// RepeatRatio, RepeatWindowSeconds and RepeatSlack limit the retries of all
	// hosts to a service: a share of the requests in a window, plus a fixed
	// number.
	RepeatRatio         float64 `yaml:"RepeatRatio"`
	RepeatWindowSeconds float64 `yaml:"RepeatWindowSeconds"`
	RepeatSlack         float64 `yaml:"RepeatSlack"`
}

// Lease returns the time after one host's order before another host may send
// orders to the same engine.
func (b Bounds) Lease() time.Duration { return time.Duration(b.LeaseMillis) * time.Millisecond }

// OldWeightsGrace returns how long after new target weights were set a request
// may still start on older ones.
func (b Bounds) OldWeightsGrace() time.Duration {
	return time.Duration(b.WeightsMillis) * time.Millisecond
}

// Grace returns the time from SIGTERM to SIGKILL.
func (b Bounds) Grace() time.Duration { return seconds(b.GraceSeconds) }

// RetryWindow returns the window over which retries are limited.
func (b Bounds) RetryWindow() time.Duration { return seconds(b.RepeatWindowSeconds) }

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

// Configuration sets how the configuration document outlives the log's
// retention.
type Configuration struct {
	// LogRetentionSeconds is how long the log retains records.
	LogRetentionSeconds int `yaml:"LogRetentionSeconds"`
	// SnapshotShare is the share of the log's retention after which the
	// configuration is written to the log again.
	SnapshotShare float64 `yaml:"SnapshotShare"`
}

// LogRetention returns how long the log retains records.
func (c Configuration) LogRetention() time.Duration {
	return time.Duration(c.LogRetentionSeconds) * time.Second
}

// Secrets holds the source of each secret.
type Secrets struct {
	// Peers is the secret that the hosts of the system share.
	Peers Source `yaml:"Peers"`
	// Operators is the secret that authenticates operators.
	Operators Source `yaml:"Operators"`
}

// Source is where a secret is read from: an environment variable or a file.
type Source struct {
	Environment string `yaml:"Environment,omitempty"`
	File        string `yaml:"File,omitempty"`
}

// Limits limits callers' connections and requests.
type Limits struct {
	// BodyBytes limits the size of a request body.
	BodyBytes int `yaml:"BodyBytes"`
	// HeaderBytes limits the size of a request's header block.
	HeaderBytes int `yaml:"HeaderBytes"`
	// Connections limits the open connections of callers.
	Connections int `yaml:"Connections"`
	// BusyRequests is the number of open requests at which a host reports
	// itself as busy, so that callers are directed to other hosts first.
	BusyRequests int `yaml:"BusyRequests"`
	// IdleSeconds is the time after which an idle connection is closed.
	IdleSeconds int `yaml:"IdleSeconds"`
	// DeadlineSeconds is the deadline of a request that sets none.
	DeadlineSeconds int `yaml:"DeadlineSeconds"`
}

// Stop sets how a planned stop proceeds.
type Stop struct {
	// AddressSeconds is how long a caller may cache an address answer; a
	// stopping host accepts new requests for that time.
	AddressSeconds int `yaml:"AddressSeconds"`
	// StreamSeconds is how long a stopping host waits for its streams to end.
	StreamSeconds int `yaml:"StreamSeconds"`
}

// AddressTTL returns how long a caller may cache an address answer.
func (s Stop) AddressTTL() time.Duration { return time.Duration(s.AddressSeconds) * time.Second }

// StreamTimeout returns how long a stopping host waits for its streams to end.
func (s Stop) StreamTimeout() time.Duration { return time.Duration(s.StreamSeconds) * time.Second }

// Default returns the default settings, which a file is decoded over.
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
// every problem with its position in the file (package problem).
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

// Read reads the secret, without surrounding white space if it comes from a
// file. An empty secret is an error.
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

// Reveal returns the plain value, for a comparison or a request.
func (s Secret) Reveal() string { return string(s) }
