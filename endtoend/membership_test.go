package endtoend

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/gateway"
	"github.com/kumquathoist/kumquathoist/standin"
)

// listed returns the hosts of a router's address answer, ordered by name.
func (r *router) listed(t *testing.T) string {
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

// TestAddressesWithoutPlatform freezes the host list and takes the log down;
// the address answers must follow hosts that die, start, freeze and drain.
func TestAddressesWithoutPlatform(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, options{routers: 4, engines: 1})
	r := s.routers
	agree := func(want string, routers ...*router) {
		t.Helper()
		for _, one := range routers {
			eventually(t, one.name+" lists "+want, func() bool { return one.listed(t) == want })
		}
	}
	agree("host-1 host-2 host-3 host-4", r...)
	s.hostList.faults(t, standin.HostListFaults{Frozen: true})

	r[3].signal(syscall.SIGKILL)
	agree("host-1 host-2 host-3", r[:3]...)

	added := s.startRouter(t, "host-5")
	agree("host-1 host-2 host-3 host-5", r[0], r[1], r[2], added)

	s.log.faults(t, standin.LogFaults{Down: true})
	s.hostList.faults(t, standin.HostListFaults{Down: true})
	r[2].signal(syscall.SIGSTOP)
	agree("host-1 host-2 host-5", r[0], r[1], added)
	r[2].signal(syscall.SIGCONT)
	agree("host-1 host-2 host-3 host-5", r[0], r[1], r[2], added)

	// A planned stop is told at once; the host still serves for a while.
	resp, err := r[2].open(http.MethodGet, "/v1/addresses", nil, "")
	is.NoErr(err)
	resp.Body.Close()
	r[2].signal(syscall.SIGTERM)
	agree("host-1 host-2 host-5", r[0], r[1], added)
}
