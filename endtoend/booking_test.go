package endtoend

import (
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/standin"
)

// TestLostAnswerIsNotRunAgain cuts the answer of a booking after it ran, and
// repeats it at a router that lives while the first is frozen.
func TestLostAnswerIsNotRunAgain(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, options{routers: 2, engines: 1})
	key := map[string]string{"Idempotency-Key": newKey()}
	s.service.faults(t, standin.ServiceFaults{CutAnswers: 1})
	body, status := s.routers[0].send(t, http.MethodPost, "/services/approvals/approve", key, `{}`)
	is.Equal(status, http.StatusBadGateway)
	is.True(strings.Contains(body, `"outcome":"Unknown"`))
	s.routers[0].signal(syscall.SIGSTOP)
	body, _ = s.routers[1].send(t, http.MethodPost, "/services/approvals/approve", key, `{}`)
	is.True(strings.Contains(body, `"outcome":"Unknown"`))
	is.Equal(s.runs(t)[key["Idempotency-Key"]], 1)
}
