// Package host knows the hosts of the system: who lives, who is leaving and
// which addresses callers may use.
package host

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/platform"
)

// pollInterval is the time between two reads of the host list.
const pollInterval = time.Second

// lister is the platform's host list.
type lister interface {
	Hosts(ctx context.Context) ([]platform.Host, error)
}

// Directory holds what this host knows of all hosts.
type Directory struct {
	list  lister
	hosts atomic.Pointer[[]platform.Host]
}

// NewDirectory follows the host list until the context ends.
func NewDirectory(ctx context.Context, wait *conc.WaitGroup, list lister) *Directory {
	d := &Directory{list: list}
	d.hosts.Store(&[]platform.Host{})
	wait.Go(func() {
		ticker := time.NewTicker(pollInterval)
		defer ticker.Stop()
		for {
			d.poll(ctx)
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	})
	return d
}

// poll reads the host list once; without an answer the last one stays.
func (d *Directory) poll(ctx context.Context) {
	hosts, err := d.list.Hosts(ctx)
	if err != nil {
		if ctx.Err() == nil {
			event.HostListUnreachable.Error(err)
		}
		return
	}
	d.hosts.Store(&hosts)
}

// Entries returns the live entry hosts.
func (d *Directory) Entries() []platform.Host {
	return d.filter(platform.EntryHost, platform.Live)
}

// Leaving tells whether the named host is leaving.
func (d *Directory) Leaving(name string) bool {
	return slices.ContainsFunc(*d.hosts.Load(), func(h platform.Host) bool {
		return h.Name == name && h.State == platform.Leaving
	})
}

func (d *Directory) filter(role platform.HostRole, state platform.HostState) []platform.Host {
	var found []platform.Host
	for _, h := range *d.hosts.Load() {
		if h.Role == role && h.State == state {
			found = append(found, h)
		}
	}
	return found
}
