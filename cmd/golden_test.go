package cmd_test

import (
	"bytes"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/cmd"
)

// addressColumn matches a column whose width depends on the port that the kernel
// chose.
var addressColumn = regexp.MustCompile(`(ADDRESS|SELF) +`)

var update = flag.Bool("update", false, "write the golden files instead of checking them")

// answers maps a method and path to the answer of the fake host, with the status
// in front if it is not 200.
var answers = map[string]string{
	"GET /v1/addresses":         `{"Addresses":[{"Host":"host-1","Address":"SELF","FailureDomain":"langley"}],"KeepSeconds":5}`,
	"POST /v1/chat/completions": "id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"match \"}}]}\n\nid: 2\ndata: {\"choices\":[{\"delta\":{\"content\":\"17\"}}]}\n\ndata: [DONE]\n\n",
	"POST /services/desk/ok":    `{"Number":1}`,
	"POST /services/desk/lost":  `502 {"error":{"message":"the service did not answer","code":"UpstreamFailed","outcome":"Unknown"}}`,
	"POST /services/desk/late":  `503 {"error":{"message":"the deadline leaves no time","code":"DeadlineTooNear","outcome":"NotRun"}}`,
	"POST /operator/drain":      `{"Stopping":true}`,
	"GET /operator/status": `{"Host":"host-1","Position":7,"Configuration":{"Ready":true,"StaleSeconds":1},
		"Hosts":[{"Name":"host-1","FailureDomain":"langley","Region":"fraser-valley","Callers":"10.0.0.1:8080"}],
		"Engines":[{"Pool":"matchers","Name":"matcher-01","Reachable":true,"Version":"m7","Running":3,"Queued":1}],
		"Rollouts":[{"Pool":"matchers","Version":"m7","Fence":7,"Engines":1,"Done":1}]}`,
}

// serveFakeHost serves the fake host's answers.
func serveFakeHost(w http.ResponseWriter, r *http.Request) {
	answer := answers[r.Method+" "+r.URL.Path]
	var status int
	if _, err := fmt.Sscanf(answer, "%d ", &status); err == nil && status > 0 {
		w.WriteHeader(status)
		answer = answer[4:]
	}
	_, _ = fmt.Fprint(w, strings.ReplaceAll(answer, "SELF", r.Host))
}

// TestGolden compares help, output and exit codes with the golden files.
func TestGolden(t *testing.T) {
	tests := map[string][]string{
		"help":             {"--help"},
		"help-run":         {"run", "--help"},
		"help-send":        {"send", "--help"},
		"help-drain":       {"drain", "--help"},
		"usage":            {"fly"},
		"addresses":        {"addresses"},
		"addresses-json":   {"addresses", "--output", "json"},
		"send":             {"send", "--key", "k", "--model", "m", "hello"},
		"send-json":        {"send", "--key", "k", "--model", "m", "--output", "json", "hello"},
		"send-both":        {"send", "--key", "k", "--model", "m", "--service", "desk"},
		"send-call":        {"send", "--key", "k", "--service", "desk", "--path", "/ok", "--idempotency-key", "k1", "{}"},
		"send-unknown":     {"send", "--key", "k", "--service", "desk", "--path", "/lost", "--idempotency-key", "k1", "{}"},
		"send-refused":     {"send", "--key", "k", "--service", "desk", "--path", "/late", "--repeatable", "{}"},
		"status":           {"status"},
		"drain":            {"drain"},
		"drain-json":       {"drain", "--output", "json"},
		"missing-settings": {"run", "--settings", "ghost.yaml"},
	}
	host := httptest.NewServer(http.HandlerFunc(serveFakeHost))
	defer host.Close()
	t.Setenv("KUMQUATHOIST_CALLERS", host.URL)
	t.Setenv("KUMQUATHOIST_OPERATORS", host.URL)
	t.Setenv("KUMQUATHOIST_OPERATOR_SECRET", "secret")
	dir, err := os.Getwd()
	is.New(t).NoErr(err)
	for name, args := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out, errOut bytes.Buffer
			code := cmd.Execute(args, &out, &errOut)
			got := fmt.Sprintf("exit code %d\n== output\n%s== errors\n%s", code, out.String(), errOut.String())
			got = strings.ReplaceAll(got, strings.TrimPrefix(host.URL, "http://"), "SELF")
			got = strings.ReplaceAll(got, dir, ".")
			got = addressColumn.ReplaceAllString(got, "$1  ")
			path := filepath.Join("testdata", name+".golden")
			if *update {
				is.NoErr(os.WriteFile(path, []byte(got), 0o644))
			}
			want, err := os.ReadFile(path)
			is.NoErr(err)
			is.Equal(got, string(want)) // run go test ./cmd -update
		})
	}
}
