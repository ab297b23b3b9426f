package endtoend

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/registry"
	"github.com/kumquathoist/kumquathoist/settings"
	"github.com/kumquathoist/kumquathoist/standin"
)

// getsRequests sends a few streams through a router and reports whether an engine
// runs any of them.
func (s *system) getsRequests(t *testing.T, r *router, e *emulator, round int) bool {
	t.Helper()
	var streams []*streamReader
	for i := range 8 {
		c := openStream(t, r, fmt.Sprintf(streamBody, 20, fmt.Sprint("prompt ", round, i)), 0, "")
		c.read(1)
		streams = append(streams, c)
	}
	var load standin.EngineLoad
	callJSON(t, http.MethodGet, e.url()+"/control/load", nil, nil, &load)
	for _, c := range streams {
		c.read(0)
		is.New(t).True(c.ended)
	}
	return load.Running > 0
}

// TestStaleHostList marks an engine as leaving on the host list of one router
// only; its peer reads a stale list, and the engine itself does not report that it
// leaves. Neither router may send it new requests, and no request may fail.
func TestStaleHostList(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	stale := startEmulator(t, "host-list")
	s := startSystem(t, options{
		routers: 2, engines: 2, engineArgs: []string{"--token-millis", "20"},
		configure: func(_ *system, conf *settings.Settings) {
			if conf.Host.Name == "host-2" {
				conf.Platform.HostList = stale.url()
			}
		},
	})
	for _, r := range s.routers {
		callJSON(t, http.MethodPut, stale.url()+"/hosts", nil, registry.Host{
			Name: r.name, Role: registry.EntryHost, State: registry.Live, Callers: r.callers, Peers: r.peers,
		}, nil)
	}
	is.True(s.getsRequests(t, s.routers[1], s.engines[0], 0))
	callJSON(t, http.MethodPut, s.hostList.url()+"/hosts", nil, registry.Host{
		Name: "engine-1", Role: registry.UpstreamHost, State: registry.Leaving,
	}, nil)
	for i, r := range s.routers {
		round, idleRounds := 100*i, 0
		eventually(t, r.name+" sends the engine no request in three rounds", func() bool {
			round++
			idleRounds++
			if s.getsRequests(t, r, s.engines[0], round) {
				idleRounds = 0
			}
			return idleRounds == 3
		})
	}
	for round := range 3 {
		is.True(!s.getsRequests(t, s.routers[1], s.engines[0], 1000+round))
	}
}
