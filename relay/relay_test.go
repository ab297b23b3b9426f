package relay_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/relay"
)

// Example chooses hosts for a request in the failure domain "north".
func Example() {
	hosts := []relay.Host{{Name: "c", FailureDomain: "north", Withdrawn: true}, {Name: "a", FailureDomain: "north"}, {Name: "b", FailureDomain: "south"}}
	now := clock.Instant(time.Hour)
	tried := map[string]bool{}
	var t relay.Table
	for range 4 {
		h, ok := t.Choose("models", hosts, "north", func(name string) bool { return tried[name] }, 7, now)
		fmt.Println(h.Name, ok)
		tried[h.Name] = true
	}
	// Output:
	// a true
	// b true
	// c true
	//  false
}

// TestFailedHostsGetNoRequestsForAWhile checks the backoff of a host, by service.
func TestFailedHostsGetNoRequestsForAWhile(t *testing.T) {
	is := is.New(t)
	hosts := []relay.Host{{Name: "a"}}
	now := clock.Instant(time.Hour)
	none := func(string) bool { return false }
	choose := func(t relay.Table, service string, at clock.Instant) bool {
		_, ok := t.Choose(service, hosts, "north", none, 0, at)
		return ok
	}
	failed := relay.Table{}.WithFailed("models", "a", now)
	is.True(!choose(failed, "models", now))
	is.True(choose(failed, "desk", now))
	is.True(choose(failed, "models", now.Add(time.Second)))
	is.True(choose(relay.Table{}, "models", now)) // the table before is unchanged
}
