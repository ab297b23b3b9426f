package settings

import (
	"cmp"
	"fmt"
	"math"
	"net/netip"
	"net/url"

	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/problem"
)

// The largest values that settings take.
const (
	maxBodyBytes   = 1 << 30
	maxHeaderBytes = 1 << 20
	maxConnections = 1_000_000
	// A smaller buffer than minReceiveBytes is none to the kernel.
	minReceiveBytes, maxReceiveBytes = 4 << 10, 4 << 20
	// maxSeconds bounds durations, except for the log's retention.
	maxSeconds          = 86_400
	maxRetentionSeconds = 10 * 365 * 86_400
)

// checker collects the problems found in settings.
type checker struct {
	file     problem.File
	problems problem.List
}

func (c *checker) report(path, format string, args ...any) {
	c.problems = append(c.problems, c.file.At(path, format, args...))
}

// check returns a problem for every invalid value.
func (s Settings) check(file problem.File) problem.List {
	c := &checker{file: file}
	c.checkRequired(s)
	c.checkAddresses(s)
	c.checkRanges(s)
	if err := s.PeerTLS.Check(); err != nil {
		c.report("PeerTLS", "%s", trace.UserMessage(err))
	}
	return c.problems
}

// checkRequired checks the values that have no default.
func (c *checker) checkRequired(s Settings) {
	for _, r := range []struct{ path, value string }{
		{"Host.Name", s.Host.Name},
		{"Host.FailureDomain", s.Host.FailureDomain},
		{"Host.Region", s.Host.Region},
	} {
		if r.value == "" {
			c.report(r.path, "is not set")
		}
	}
	for _, r := range []struct {
		path   string
		source Source
	}{
		{"Secrets.Peers", s.Secrets.Peers},
		{"Secrets.Operators", s.Secrets.Operators},
	} {
		if r.source.Environment == "" && r.source.File == "" {
			c.report(r.path, "names neither an environment variable nor a file")
		}
	}
}

// checkAddresses checks the addresses that the daemon listens on and connects to.
func (c *checker) checkAddresses(s Settings) {
	taken := map[netip.AddrPort]string{}
	listen := []struct{ path, value string }{
		{"Listen.Callers", s.Listen.Callers},
		{"Listen.Peers", s.Listen.Peers},
	}
	if s.Platform.Store == "" {
		listen = append(listen, struct{ path, value string }{"Listen.Operators", s.Listen.Operators})
	} else {
		listen = append(listen, struct{ path, value string }{"Listen.Addresses", s.Listen.Addresses}, struct{ path, value string }{"Listen.Readiness", s.Listen.Readiness})
		if s.Listen.Relays != "" {
			listen = append(listen, struct{ path, value string }{"Listen.Relays", s.Listen.Relays})
		}
		// Datagrams may use the port of a TCP listener.
		c.checkListenAddress("Listen.Pulses", s.Listen.Pulses)
	}
	for _, r := range listen {
		address, ok := c.checkListenAddress(r.path, r.value)
		if !ok || address.Port() == 0 {
			continue
		}
		if other, duplicate := taken[address]; duplicate {
			c.report(r.path, "%s is also the address of %s", r.value, other)
			continue
		}
		taken[address] = r.path
	}
	if s.Platform.Store != "" {
		c.checkStore(s)
		return
	}
	for _, r := range []struct{ path, value string }{
		{"Platform.Log", s.Platform.Log},
		{"Platform.HostList", s.Platform.HostList},
	} {
		if u, err := url.Parse(r.value); err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			c.report(r.path, "%q is not an http or https URL", r.value)
		}
	}
}

// checkListenAddress checks the form of an address that the daemon listens on.
func (c *checker) checkListenAddress(path, value string) (netip.AddrPort, bool) {
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		c.report(path, "%q is not IP:port", value)
	}
	return address, err == nil
}

// checkStore checks the settings that are used only with Platform.Store.
func (c *checker) checkStore(s Settings) {
	if a := s.Listen.AnnouncedPeers; a != "" {
		if address, err := netip.ParseAddrPort(a); err != nil || address.Port() == 0 {
			c.report("Listen.AnnouncedPeers", "%q is not IP:port with a port above 0", a)
		}
	}
	if port := s.Listen.AnnouncedPulsesPort; port < 0 || port > math.MaxUint16 {
		c.report("Listen.AnnouncedPulsesPort", "%d is not a port from 1 to 65535", port)
	}
	for i, address := range append([]string{s.Platform.Store}, s.Platform.Seeds...) {
		path := "Platform.Store"
		if i > 0 {
			path = fmt.Sprintf("Platform.Seeds[%d]", i-1)
		}
		if _, err := netip.ParseAddrPort(address); err != nil {
			c.report(path, "%q is not IP:port", address)
		}
	}
	if s.Platform.Log != "" || s.Platform.HostList != "" {
		c.report("Platform.Store", "can't be combined with Platform.Log or Platform.HostList")
	}
	for _, r := range []struct {
		path  string
		value float64
	}{
		{"Machine.MemoryMB", float64(s.Machine.MemoryMB)},
		{"Machine.Descriptors", float64(s.Machine.Descriptors)},
		{"Bounds.LeaseMillis", float64(s.Bounds.LeaseMillis)},
		{"Bounds.WeightsMillis", float64(s.Bounds.WeightsMillis)},
		{"Bounds.GraceSeconds", s.Bounds.GraceSeconds},
		{"Bounds.RepeatWindowSeconds", s.Bounds.RepeatWindowSeconds},
	} {
		if !(r.value > 0) {
			c.report(r.path, "must be above 0")
		}
	}
	if s.Bounds.RepeatRatio < 0 || s.Bounds.RepeatSlack < 0 {
		c.report("Bounds", "RepeatRatio and RepeatSlack can't be below 0")
	}
}

// checkRanges checks that numbers are in their ranges.
func (c *checker) checkRanges(s Settings) {
	for _, r := range []struct {
		path                string
		value, lower, upper int
	}{
		{"Configuration.LogRetentionSeconds", s.Configuration.LogRetentionSeconds, 1, maxRetentionSeconds},
		{"Limits.BodyBytes", s.Limits.BodyBytes, 1, maxBodyBytes},
		{"Limits.HeaderBytes", s.Limits.HeaderBytes, 1, maxHeaderBytes},
		{"Limits.Connections", s.Limits.Connections, 1, maxConnections},
		{"Limits.BusyRequests", s.Limits.BusyRequests, 1, maxConnections},
		{"Limits.IdleSeconds", s.Limits.IdleSeconds, 1, maxSeconds},
		{"Limits.DeadlineSeconds", s.Limits.DeadlineSeconds, 1, maxSeconds},
		{"Stop.AddressSeconds", s.Stop.AddressSeconds, 0, maxSeconds},
		{"Stop.StreamSeconds", s.Stop.StreamSeconds, 0, maxSeconds},
		{"Machine.ReceiveBytes", cmp.Or(s.Machine.ReceiveBytes, minReceiveBytes), minReceiveBytes, maxReceiveBytes},
	} {
		if r.value < r.lower || r.value > r.upper {
			c.report(r.path, "%d is out of range, %d to %d", r.value, r.lower, r.upper)
		}
	}
	if share := s.Machine.ClientShare; share < 0 || share > maxClientShare {
		c.report("Machine.ClientShare", "%s is out of range, 0 to %v", fmt.Sprint(share), maxClientShare)
	}
	if share := s.Configuration.SnapshotShare; !(share > 0 && share <= maxSnapshotShare) {
		c.report("Configuration.SnapshotShare", "%s is out of range, above 0 to %v", fmt.Sprint(share), maxSnapshotShare)
	}
}

// maxClientShare leaves memory for the program itself.
const maxClientShare = 0.8

// maxSnapshotShare leaves time for another host to write the snapshot when the
// first writer fails.
const maxSnapshotShare = 0.8
