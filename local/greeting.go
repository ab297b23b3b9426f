package local

import (
	"fmt"
	"strings"

	"github.com/google/uuid"
)

// Greeting returns instructions for using the system.
func Greeting(s *System) string {
	var hosts strings.Builder
	for i, n := range s.Routers {
		fmt.Fprintf(&hosts, "  %-22s callers http://%s   operators http://%s\n", s.plan.hosts[i].Name, n.Callers(), n.Operators())
	}
	first := s.Routers[0]
	return fmt.Sprintf(`kumquathoist runs in this process: %d routers, %d stand-in engines, and the service %s (endpoints: %d).

%s
Stream an answer:

  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{"model":"%s","stream":true,"messages":[{"role":"user","content":"Match invoice 17."}]}'

Send a call that runs at most once; send it again and it gets the same answer:

  curl http://%s/services/%s/approve -H 'Authorization: Bearer %s' -H 'Idempotency-Key: %s' -d '{"Invoice":17}'

Show its status as an operator:

  KUMQUATHOIST_OPERATOR_SECRET=%s go run . status --host http://%s

Stop it with Ctrl-C.
`, len(s.Routers), len(s.Engines), s.Service, len(s.Services), hosts.String(),
		first.Callers(), s.Key, s.Model,
		first.Callers(), s.Service, s.Key, uuid.Must(uuid.NewV7()),
		OperatorSecret, first.Operators())
}
