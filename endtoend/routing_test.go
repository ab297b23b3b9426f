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

// minHitShare is the minimum of the hit rate, as a share of the possible hit
// rate, in a short run that starts with empty caches.
const minHitShare = 0.8

// routingRuns holds the size of each user's pool and its waste weight. Set
// ROUTING_SPAN and ROUTING_RATE for runs as long as those of
// docs/MEASUREMENTS.md.
var routingRuns = []struct {
	user    string
	engines int
	weight  float64
}{
	{"halvorsen", 12, 1},
	{"kupola", 9, 0.5},
}

// TestRoutingReusesPrompts sends the arrivals of each user through three routers
// and checks the hit rate of the engines' caches.
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
				eventually(t, "the accounts and the waste weight are applied", func() bool {
					output, err := s.runCommand(i, "show", "Routing")
					return err == nil && strings.Contains(output, "WasteWeight: "+strconv.FormatFloat(run.weight, 'g', -1, 64))
				})
			}
			output := s.sendArrivals(t, run.user)
			t.Log(output)
			match := regexp.MustCompile(`hit ([0-9.]+)% of at most ([0-9.]+)%`).FindStringSubmatch(output)
			is.True(match != nil)
			hit, err := strconv.ParseFloat(match[1], 64)
			is.NoErr(err)
			possible, err := strconv.ParseFloat(match[2], 64)
			is.NoErr(err)
			is.True(hit >= minHitShare*possible)
			is.True(!strings.Contains(output, "502:"))
		})
	}
}

// sendArrivals sends the arrivals of a user with the emulator's drive command and
// returns its output.
func (s *system) sendArrivals(t *testing.T, user string) string {
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
		t.Fatalf("running drive: %v\n%s", err, output)
	}
	return string(output)
}
