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

// rolloutProgress returns the progress of the engine pool's rollout as a router
// reports it.
func (s *system) rolloutProgress(router int) rollout.Progress {
	output, err := s.runCommand(router, "status", "--output", "json")
	var answer operator.StatusAnswer
	if err != nil || json.Unmarshal([]byte(output), &answer) != nil || len(answer.Rollouts) == 0 {
		return rollout.Progress{}
	}
	return answer.Rollouts[0]
}

// publishModel publishes the model with the version and rollout options of m.
func (s *system) publishModel(t *testing.T, m document.Model) {
	t.Helper()
	m.Name, m.Pool = "matcher", "engines"
	s.publish(t, document.ModelsSection, document.Models{Models: []document.Model{m}})
}

// loadOrders returns the fencing numbers of the loads that an engine has started,
// and the version that it runs.
func loadOrders(t *testing.T, e *emulator) (fences []int64, version string) {
	t.Helper()
	var orders struct{ Orders []standin.EngineOrder }
	callJSON(t, http.MethodGet, e.url()+"/control/orders", nil, nil, &orders)
	for _, o := range orders.Orders {
		fences = append(fences, o.Fence)
	}
	var load standin.EngineLoad
	callJSON(t, http.MethodGet, e.url()+"/control/load", map[string]string{"Accept": "application/json"}, nil, &load)
	return fences, load.Version
}

// sendContinuously sends requests to a router, one after the other, until the
// returned function is called. That function returns the number of failures.
func (s *system) sendContinuously(t *testing.T, router int) (stop func() int) {
	stopped, failed := make(chan struct{}), make(chan int)
	go func() {
		count := 0
		for {
			select {
			case <-stopped:
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
		close(stopped)
		return <-failed
	}
}

// TestRolloutOutlivesItsKeeper freezes the owner of a pool in the middle of a
// rollout. Another host must finish it and roll out the next version, and the
// resumed owner must not undo anything. The weight store refuses requests for a
// while.
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
			// Requests go to the first router, so it must not be the owner.
			owner := slices.IndexFunc(s.routers, func(r *router) bool {
				return r.name == placement.Owner("pool/engines", []string{"host-1", "host-2", "host-3"})
			})
			if owner == 0 {
				s.routers[0], s.routers[1], owner = s.routers[1], s.routers[0], 1
			}

			stop := s.sendContinuously(t, 0)
			// A paused rollout loads nothing. Loads that the store refuses are retried.
			s.publishModel(t, document.Model{Version: "v2", From: "v1", Paused: true})
			eventually(t, "the pool is held", func() bool { return s.rolloutProgress(0).Held != "" })
			eventually(t, "every engine is waiting", func() bool { return s.rolloutProgress(0).Waiting == 7 })
			store.setFaults(t, standin.WeightsFaults{Refuse: true})
			s.publishModel(t, document.Model{Version: "v2", From: "v1"})
			var counts standin.WeightsCounts
			eventually(t, "the store refused", func() bool {
				callJSON(t, http.MethodGet, store.url()+"/counts", nil, nil, &counts)
				return counts.Refused > 0
			})
			store.setFaults(t, standin.WeightsFaults{})
			eventually(t, "some engines are done", func() bool { return s.rolloutProgress(0).Done >= 2 })

			s.routers[owner].signal(syscall.SIGSTOP)
			eventually(t, "another host finishes", func() bool { return s.rolloutProgress(0).Done == 7 })
			s.publishModel(t, document.Model{Version: "v3", From: "v2"})
			// Versions are never mixed: requests use the previous version until
			// engines run the next one.
			eventually(t, "the next version is rolled out", func() bool { p := s.rolloutProgress(0); return p.Version == "v3" && p.Done == 7 })
			s.routers[owner].signal(syscall.SIGCONT)
			eventually(t, "the resumed host shows the new version", func() bool { p := s.rolloutProgress(owner); return p.Version == "v3" && p.Done == 7 })

			is.Equal(stop(), 0)
			for _, e := range s.engines {
				fences, version := loadOrders(t, e)
				is.Equal(version, "v3")
				for i := range fences {
					is.True(i == 0 || fences[i] >= fences[i-1])
				}
			}
			callJSON(t, http.MethodGet, store.url()+"/counts", nil, nil, &counts)
			is.True(counts.Most <= rollout.MaxLoading)
		})
	}
}
