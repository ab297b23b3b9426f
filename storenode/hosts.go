package storenode

import (
	"context"
	"sync"
	"time"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/platform"
	"github.com/kumquathoist/kumquathoist/registry"
)

const (
	// storeTimeout bounds one call to the store.
	storeTimeout = 1500 * time.Millisecond
	// announcePause is the time between two tries to announce this host.
	announcePause = time.Second
	// listInterval is the time between two reads of the hosts that announced
	// themselves; heartbeats tell what happens between.
	listInterval = 15 * time.Second
	// firstLists is how many reads follow each other closely after a start.
	firstLists = 3
)

// hostList is the list of hosts: those that announced themselves in the
// store, read rarely, and those that another host knows.
type hostList struct {
	store  *platform.Store
	learnt func() []registry.Host

	// mu guards the fields below.
	mu     sync.Mutex
	read   clock.Instant
	reads  int
	listed []registry.Host
}

// Hosts implements the directory's lister.
func (l *hostList) Hosts(ctx context.Context) ([]registry.Host, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var failed error
	if now := clock.Now(); l.reads < firstLists || now.Sub(l.read) > listInterval {
		l.read = now
		l.reads++
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		listed, err := l.store.Hosts(ctx)
		if err == nil {
			l.listed = listed
		}
		failed = err
	}
	hosts := append([]registry.Host{}, l.listed...)
	known := map[string]bool{}
	for _, h := range hosts {
		known[h.Name] = true
	}
	for _, h := range l.learnt() {
		if !known[h.Name] {
			hosts = append(hosts, h)
		}
	}
	if len(hosts) == 0 {
		return nil, failed
	}
	return hosts, nil
}
