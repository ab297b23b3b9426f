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

// takes tells whether an engine runs some of a few streams of a router.
func (s *system) takes(t *testing.T, r *router, e *emulated, round int) bool {
	t.Helper()
	var streams []*caller
	for i := range 8 {
		c := openStream(t, r, fmt.Sprintf(streamBody, 20, fmt.Sprint("prompt ", round, i)), 0, "")
		c.read(1)
		streams = append(streams, c)
	}
	var load standin.EngineLoad
	call(t, http.MethodGet, e.url()+"/control/load", nil, nil, &load)
	for _, c := range streams {
		c.read(0)
		is.New(t).True(c.ended)
	}
	return load.Running > 0
}

// TestStaleHostList shows an engine as leaving to one router only, whose peer
// has an old host list; the engine itself tells nothing. Neither router gives
// it new work, and no request fails.
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
		call(t, http.MethodPut, stale.url()+"/hosts", nil, registry.Host{
			Name: r.name, Role: registry.EntryHost, State: registry.Live, Callers: r.callers, Peers: r.peers,
		}, nil)
	}
	is.True(s.takes(t, s.routers[1], s.engines[0], 0))
	call(t, http.MethodPut, s.hostList.url()+"/hosts", nil, registry.Host{
		Name: "engine-1", Role: registry.UpstreamHost, State: registry.Leaving,
	}, nil)
	for i, r := range s.routers {
		round, quiet := 100*i, 0
		eventually(t, r.name+" gives the engine nothing, three times", func() bool {
			round++
			quiet++
			if s.takes(t, r, s.engines[0], round) {
				quiet = 0
			}
			return quiet == 3
		})
	}
	for round := range 3 {
		is.True(!s.takes(t, s.routers[1], s.engines[0], 1000+round))
	}
}
