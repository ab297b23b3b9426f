package departure_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/departure"
)

func TestSet(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	old := departure.Notice{Upstream: "engine-1", Confirmed: now.Add(-time.Second)}
	newer := departure.Notice{Upstream: "engine-1", Confirmed: now}
	ahead := departure.Notice{Upstream: "engine-2", Confirmed: now.Add(time.Hour)}
	a := departure.Set{}.With(now, old, newer, ahead)
	b := departure.Set{}.With(now, ahead, newer).With(now, old, newer)
	is.Equal(a, b)
	is.True(a.Leaving("engine-1", now))
	is.True(!a.Leaving("engine-3", now))
	// A departure expires without a new confirmation, even if its time of
	// confirmation was in the future.
	is.True(!a.Leaving("engine-1", now.Add(departure.Lifetime)))
	is.True(!a.Leaving("engine-2", now.Add(departure.Lifetime)))
	is.Equal(len(a.With(now.Add(departure.Lifetime)).Notices()), 0)
	for i := range 2 * departure.Capacity {
		a = a.With(now, departure.Notice{Upstream: fmt.Sprint(i), Confirmed: now})
	}
	is.Equal(len(a.Notices()), departure.Capacity)
}
