package endtoend

import (
	"fmt"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/document"
)

// leastShare is the least part of the reuse that is possible at all that a
// short run from empty caches must reach.
const leastShare = 0.8

// routingRuns are the users' pools. ROUTING_SPAN and ROUTING_RATE make the
// runs as long as those of docs/MEASUREMENTS.md.
var routingRuns = []struct {
	user    string
	engines int
	weight  float64
}{
	{"halvorsen", 12, 1},
	{"kupola", 9, 0.5},
}

// TestRoutingReusesPrompts sends the arrivals of each user through three
// routers and looks at what the engines had cached.
func TestRoutingReusesPrompts(t *testing.T) {
	for _, run := range routingRuns {
		t.Run(run.user, func(t *testing.T) {
			is := is.New(t)
			s := startSystem(t, options{routers: 3, engines: run.engines, engineArgs: []string{"--cache-pieces", "96"}})
			var accounts document.Accounts
			for i := range 8 {
				accounts.Accounts = append(accounts.Accounts, document.Account{
					Name: fmt.Sprintf("account-%d", i), KeyHash: document.HashKey(fmt.Sprintf("account-%d-key", i)), Weight: 1,
				})
			}
			s.publish(t, document.AccountsSection, accounts)
			s.publish(t, document.RoutingSection, document.Routing{WasteWeight: run.weight})
			for i := range s.routers {
				eventually(t, "the accounts are in force", func() bool {
					output, err := s.command(i, "show", "Routing")
					return err == nil && strings.Contains(output, "WasteWeight: "+strconv.FormatFloat(run.weight, 'g', -1, 64))
				})
			}
			output := s.drive(t, run.user)
			t.Log(output)
			found := regexp.MustCompile(`hit ([0-9.]+)% of at most ([0-9.]+)%`).FindStringSubmatch(output)
			is.True(found != nil)
			hit, err := strconv.ParseFloat(found[1], 64)
			is.NoErr(err)
			most, err := strconv.ParseFloat(found[2], 64)
			is.NoErr(err)
			is.True(hit >= leastShare*most)
			is.True(!strings.Contains(output, "502:"))
		})
	}
}

// drive sends the arrivals of a user and returns what came of them.
func (s *system) drive(t *testing.T, user string) string {
	t.Helper()
	span, rate := os.Getenv("ROUTING_SPAN"), os.Getenv("ROUTING_RATE")
	if span == "" {
		span, rate = "20s", "12"
	}
	args := []string{"drive", "--user", user, "--span", span, "--rate", rate}
	for _, r := range s.routers {
		args = append(args, "--routers", r.callers)
	}
	for _, e := range s.engines {
		args = append(args, "--engines", e.address)
	}
	output, err := exec.Command(programs.emulator, args...).CombinedOutput()
	if err != nil {
		t.Fatalf("driving: %v\n%s", err, output)
	}
	return string(output)
}
