package endtoend

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/standin"
)

// incarnations returns the incarnation of each engine.
func (s *system) incarnations(t *testing.T) []int64 {
	t.Helper()
	var all []int64
	for _, e := range s.engines {
		var load standin.EngineLoad
		callJSON(t, http.MethodGet, e.url()+"/control/load", nil, nil, &load)
		all = append(all, load.Incarnation)
	}
	return all
}

// TestCrasher repeatedly sends a request that crashes engines to each of three
// routers. After the loss of two engines every router must refuse the request
// without running it, and the account's other requests must succeed.
func TestCrasher(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := startSystem(t, options{routers: 3, engines: 6})
	for _, e := range s.engines {
		e.setFaults(t, standin.EngineFaults{CrashOn: "poison"})
	}
	before := s.incarnations(t)
	crasher := fmt.Sprintf(streamBody, 10, "a poison prompt")
	for range 3 {
		for _, r := range s.routers {
			eventually(t, r.name+" refuses the request", func() bool {
				answer, _ := r.send(t, http.MethodPost, "/v1/completions", nil, crasher)
				return strings.Contains(answer, `"code":"Quarantined"`)
			})
		}
	}
	lost := 0
	for i, incarnation := range s.incarnations(t) {
		if incarnation != before[i] {
			lost++
		}
	}
	is.Equal(lost, 2)
	answer, status := s.routers[2].send(t, http.MethodPost, "/v1/completions", nil, crasher)
	is.Equal(status, http.StatusUnprocessableEntity)
	is.True(strings.Contains(answer, `"outcome":"NotRun"`))
	for _, r := range s.routers {
		is.Equal(len(readWhole(t, r, fmt.Sprintf(streamBody, 10, "an innocent prompt"))), 10)
	}
}

// TestRestartAndReload restarts an engine at the same address with other weights
// during a stream. No stream may mix tokens of both weights.
func TestRestartAndReload(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := startSystem(t, options{routers: 1, engines: 2, engineArgs: []string{"--token-millis", "20"}})
	body := fmt.Sprintf(streamBody, 60, "prompt")
	want := readWhole(t, s.routers[0], body)

	c := openStream(t, s.routers[0], body, 0, "")
	c.read(5)
	i := s.runningEngine(t)
	old := s.engines[i]
	is.NoErr(old.cmd.Process.Kill())
	<-old.done
	s.engines[i] = startEmulator(t, "engine", "--name", fmt.Sprintf("engine-%d", i+1), "--listen", old.address, "--version", "v2")
	c.read(0)
	is.True(c.ended)
	is.Equal(c.events, want)

	// The restarted engine rejects requests for v1 before it runs them, so that
	// the router can retry them on the other engine.
	for n := range 4 {
		is.Equal(len(readWhole(t, s.routers[0], fmt.Sprintf(streamBody, 5, fmt.Sprint("after ", n)))), 5)
	}
	is.Equal(readWhole(t, s.routers[0], body), want)
}
