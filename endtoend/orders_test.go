package endtoend

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/operator"
	"github.com/kumquathoist/kumquathoist/placement"
	"github.com/kumquathoist/kumquathoist/rollout"
	"github.com/kumquathoist/kumquathoist/standin"
)

// rollout returns how far the engines' pool is, as a router tells.
func (s *system) rollout(router int) rollout.Progress {
	output, err := s.command(router, "status", "--output", "json")
	var answer operator.StatusAnswer
	if err != nil || json.Unmarshal([]byte(output), &answer) != nil || len(answer.Rollouts) == 0 {
		return rollout.Progress{}
	}
	return answer.Rollouts[0]
}

// want publishes the version of the model.
func (s *system) want(t *testing.T, m document.Model) {
	t.Helper()
	m.Name, m.Pool = "matcher", "engines"
	s.publish(t, document.ModelsSection, document.Models{Models: []document.Model{m}})
}

// loads returns the fencing numbers of the loads that an engine began, and
// the version it runs.
func loads(t *testing.T, e *emulated) (fences []int64, version string) {
	t.Helper()
	var orders struct{ Orders []standin.EngineOrder }
	call(t, http.MethodGet, e.url()+"/control/orders", nil, nil, &orders)
	for _, o := range orders.Orders {
		fences = append(fences, o.Fence)
	}
	var load standin.EngineLoad
	call(t, http.MethodGet, e.url()+"/control/load", map[string]string{"Accept": "application/json"}, nil, &load)
	return fences, load.Version
}

// sendAll sends requests to a router, one after the other, until the returned
// function is called, which tells how many failed.
func (s *system) sendAll(t *testing.T, router int) (ended func() int) {
	stop, failed := make(chan struct{}), make(chan int)
	go func() {
		count := 0
		for {
			select {
			case <-stop:
				failed <- count
				return
			default:
			}
			body, status := s.routers[router].send(t, http.MethodPost, "/v1/completions", nil, `{"model":"matcher","prompt":"pair"}`)
			if status != http.StatusOK {
				t.Log(status, body)
				count++
			}
		}
	}()
	return func() int {
		close(stop)
		return <-failed
	}
}

// TestRolloutOutlivesItsKeeper freezes the keeper of a pool in the middle of
// a rollout. Another host finishes it, a newer one is rolled out, and the
// thawed keeper undoes nothing. The weight store refuses for a while.
func TestRolloutOutlivesItsKeeper(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks %v", checks), func(t *testing.T) {
			is := is.New(t)
			store := startEmulator(t, "weights")
			args := []string{"--weight-store", store.url()}
			if checks {
				args = append(args, "--checks-fence")
			}
			s := startSystem(t, options{routers: 3, engines: 7, engineArgs: args})
			capacity := s.capacity()
			for i := range capacity.Pools[0].Upstreams {
				capacity.Pools[0].Upstreams[i].ChecksFence = checks
			}
			s.publish(t, document.CapacitySection, capacity)
			// The first router of the list is not the keeper.
			keeper := slices.IndexFunc(s.routers, func(r *router) bool {
				return r.name == placement.Owner("pool/engines", []string{"host-1", "host-2", "host-3"})
			})
			if keeper == 0 {
				s.routers[0], s.routers[1], keeper = s.routers[1], s.routers[0], 1
			}

			ended := s.sendAll(t, 0)
			// A paused rollout loads nothing; a store that refuses is asked again.
			s.want(t, document.Model{Version: "v2", From: "v1", Paused: true})
			eventually(t, "the pool is held", func() bool { return s.rollout(0).Held != "" })
			eventually(t, "every engine waits", func() bool { return s.rollout(0).Waiting == 7 })
			store.faults(t, standin.WeightsFaults{Refuse: true})
			s.want(t, document.Model{Version: "v2", From: "v1"})
			var counts standin.WeightsCounts
			eventually(t, "the store refused", func() bool {
				call(t, http.MethodGet, store.url()+"/counts", nil, nil, &counts)
				return counts.Refused > 0
			})
			store.faults(t, standin.WeightsFaults{})
			eventually(t, "some engines are done", func() bool { return s.rollout(0).Done >= 2 })

			s.routers[keeper].signal(syscall.SIGSTOP)
			eventually(t, "another host finishes", func() bool { return s.rollout(0).Done == 7 })
			s.want(t, document.Model{Version: "v3", From: "v2"})
			// Versions are never mixed: requests go on in the one before until
			// engines run the next.
			eventually(t, "the next version is rolled out", func() bool { p := s.rollout(0); return p.Version == "v3" && p.Done == 7 })
			s.routers[keeper].signal(syscall.SIGCONT)
			eventually(t, "the thawed host sees the new version", func() bool { p := s.rollout(keeper); return p.Version == "v3" && p.Done == 7 })

			is.Equal(ended(), 0)
			for _, e := range s.engines {
				fences, version := loads(t, e)
				is.Equal(version, "v3")
				for i := range fences {
					is.True(i == 0 || fences[i] >= fences[i-1])
				}
			}
			call(t, http.MethodGet, store.url()+"/counts", nil, nil, &counts)
			is.True(counts.Most <= rollout.MaxLoading)
		})
	}
}
