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
	// storeTimeout limits one call to the store.
	storeTimeout = 1500 * time.Millisecond
	// announceRetryInterval is the interval between attempts to announce this host.
	announceRetryInterval = time.Second
	// listInterval is the least interval between reads of the announced hosts, and
	// listIntervalPerHost the interval for each of them if they are many: heartbeats
	// report changes in between, and each call has its price.
	listInterval        = 15 * time.Second
	listIntervalPerHost = 200 * time.Millisecond
	// initialReads is the number of reads after a start that don't wait for
	// listInterval.
	initialReads = 3
)

// hostList lists the hosts that announced themselves in the store, which it reads
// rarely, and those learned from other hosts.
type hostList struct {
	store   *platform.Store
	learned func() []registry.Host

	// mu guards the fields below.
	mu       sync.Mutex
	lastRead clock.Instant
	reads    int
	listed   []registry.Host
}

// Hosts implements the host directory's lister.
func (l *hostList) Hosts(ctx context.Context) ([]registry.Host, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var readErr error
	if now := clock.Now(); l.reads < initialReads || now.Sub(l.lastRead) > l.interval() {
		l.lastRead = now
		l.reads++
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		listed, err := l.store.Hosts(ctx)
		if err == nil {
			l.listed = listed
		}
		readErr = err
	}
	hosts := append([]registry.Host{}, l.listed...)
	seen := map[string]bool{}
	for _, h := range hosts {
		seen[h.Name] = true
	}
	for _, h := range l.learned() {
		if !seen[h.Name] {
			hosts = append(hosts, h)
		}
	}
	if len(hosts) == 0 {
		return nil, readErr
	}
	return hosts, nil
}

// interval returns the time between two reads. The caller holds mu.
func (l *hostList) interval() time.Duration {
	return max(listInterval, time.Duration(len(l.listed))*listIntervalPerHost)
}
