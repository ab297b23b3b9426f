package standin

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/kumquathoist/kumquathoist/registry"
)

// HostListFaults are the faults that a test or a person injects into the host
// list.
type HostListFaults struct {
	// Down refuses every call.
	Down bool
	// Frozen keeps returning the hosts that were last returned.
	Frozen bool
	// LagMillis is the delay until a change becomes visible.
	LagMillis int
}

// hostListVersion is the list as of a point in time.
type hostListVersion struct {
	since time.Time
	hosts []registry.Host
}

// HostList stands in for the platform's host list.
type HostList struct {
	*Server

	// mu guards the fields below.
	mu       sync.Mutex
	versions []hostListVersion
	shown    []registry.Host
	faults   HostListFaults
}

// NewHostList serves a host list on an address until the context ends.
func NewHostList(ctx context.Context, address string) (*HostList, error) {
	h := &HostList{versions: []hostListVersion{{}}}
	app := newApp()
	app.Get("/hosts", h.list)
	app.Put("/hosts", h.put)
	app.Delete("/hosts/:name", h.remove)
	app.Post("/faults", h.setFaults)
	var err error
	h.Server, err = newServer(ctx, address, app)
	return h, err
}

// Put adds or replaces a host.
func (h *HostList) Put(host registry.Host) {
	h.change(host.Name, func(hosts []registry.Host) []registry.Host { return append(hosts, host) })
}

// Remove removes a host from the list.
func (h *HostList) Remove(name string) {
	h.change(name, func(hosts []registry.Host) []registry.Host { return hosts })
}

// change adds a new version: the latest one without the named host, as
// returned by edit.
func (h *HostList) change(name string, edit func([]registry.Host) []registry.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	latest := slices.Clone(h.versions[len(h.versions)-1].hosts)
	latest = slices.DeleteFunc(latest, func(o registry.Host) bool { return o.Name == name })
	h.versions = append(h.versions, hostListVersion{time.Now(), edit(latest)})
}

// SetFaults replaces the faults.
func (h *HostList) SetFaults(f HostListFaults) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults = f
}

func (h *HostList) setFaults(c fiber.Ctx) error {
	var f HostListFaults
	if err := c.Bind().JSON(&f); err != nil {
		return err
	}
	h.SetFaults(f)
	return c.JSON(f)
}

func (h *HostList) put(c fiber.Ctx) error {
	var host registry.Host
	if err := c.Bind().JSON(&host); err != nil {
		return err
	}
	h.Put(host)
	return c.JSON(host)
}

func (h *HostList) remove(c fiber.Ctx) error {
	h.Remove(c.Params("name"))
	return c.SendStatus(http.StatusOK)
}

func (h *HostList) list(c fiber.Ctx) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.faults.Down {
		return c.SendStatus(http.StatusServiceUnavailable)
	}
	if !h.faults.Frozen {
		h.updateShown(time.Now().Add(-time.Duration(h.faults.LagMillis) * time.Millisecond))
	}
	return c.JSON(struct{ Hosts []registry.Host }{h.shown})
}

// updateShown sets the visible hosts to the newest version at a point in time.
// The caller holds mu.
func (h *HostList) updateShown(at time.Time) {
	for _, v := range h.versions {
		if !v.since.After(at) {
			h.shown = v.hosts
		}
	}
}
