package endtoend

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/gateway"
	"github.com/kumquathoist/kumquathoist/standin"
)

// listedHosts returns the hosts of a router's address answer, sorted by name.
func (r *router) listedHosts(t *testing.T) string {
	t.Helper()
	var answer gateway.AddressAnswer
	body, _ := r.send(t, http.MethodGet, "/v1/addresses", nil, "")
	if json.Unmarshal([]byte(body), &answer) != nil {
		return body
	}
	var names []string
	for _, a := range answer.Addresses {
		names = append(names, a.Host)
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}

// TestAddressesWithoutPlatform freezes the host list and takes the log down. The
// address answers must still follow hosts that are killed, started, frozen and
// stopped.
func TestAddressesWithoutPlatform(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, options{routers: 4, engines: 1})
	r := s.routers
	awaitLists := func(want string, routers ...*router) {
		t.Helper()
		for _, r := range routers {
			eventually(t, r.name+" lists "+want, func() bool { return r.listedHosts(t) == want })
		}
	}
	awaitLists("host-1 host-2 host-3 host-4", r...)
	s.hostList.setFaults(t, standin.HostListFaults{Frozen: true})

	r[3].signal(syscall.SIGKILL)
	awaitLists("host-1 host-2 host-3", r[:3]...)

	added := s.startRouter(t, "host-5")
	awaitLists("host-1 host-2 host-3 host-5", r[0], r[1], r[2], added)

	s.log.setFaults(t, standin.LogFaults{Down: true})
	s.hostList.setFaults(t, standin.HostListFaults{Down: true})
	r[2].signal(syscall.SIGSTOP)
	awaitLists("host-1 host-2 host-5", r[0], r[1], added)
	r[2].signal(syscall.SIGCONT)
	awaitLists("host-1 host-2 host-3 host-5", r[0], r[1], r[2], added)

	// A planned stop is announced immediately; the host still serves for a while.
	resp, err := r[2].open(http.MethodGet, "/v1/addresses", nil, "")
	is.NoErr(err)
	resp.Body.Close()
	r[2].signal(syscall.SIGTERM)
	awaitLists("host-1 host-2 host-5", r[0], r[1], added)
}

// TestLimitsAcrossRouters sends more concurrent requests than an account's limit,
// spread over all routers.
func TestLimitsAcrossRouters(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, options{routers: 3, engines: 1})
	s.publish(t, document.AccountsSection, document.Accounts{Accounts: []document.Account{
		{Name: accountName, KeyHash: document.HashKey(accountKey), Weight: 1, Concurrency: 3},
	}})
	for _, r := range s.routers {
		eventually(t, "the limit is applied", func() bool {
			output, err := r.show(document.AccountsSection)
			return err == nil && strings.Contains(output, "Concurrency: 3")
		})
	}
	// Slow streams occupy the slots; no more than the limit may run concurrently.
	s.engines[0].setFaults(t, standin.EngineFaults{SlowFactor: 100})
	body := `{"model":"matcher","prompt":"pair","stream":true,"max_tokens":1000}`
	running := 0
	for i := range 12 {
		resp, err := s.routers[i%3].open(http.MethodPost, "/v1/completions", nil, body)
		is.NoErr(err)
		defer resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			running++
			continue
		}
		is.Equal(resp.StatusCode, http.StatusTooManyRequests)
		is.True(resp.Header.Get("Retry-After") != "")
	}
	is.True(running >= 1 && running <= 3)
}

// show returns a section as a router shows it.
func (r *router) show(section document.Section) (string, error) {
	s := system{routers: []*router{r}}
	return s.runCommand(0, "show", string(section))
}
