package cachemap_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/cachemap"
	"github.com/kumquathoist/kumquathoist/call"
	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/pulse"
)

// TestChains tells parts apart by their salt and by what stands before them.
func TestChains(t *testing.T) {
	is := is.New(t)
	ab := cachemap.Chains("s", []call.Part{{ID: "a"}, {ID: "b"}})
	is.Equal(ab[0], cachemap.Chains("s", []call.Part{{ID: "a"}})[0])
	is.True(ab[1] != cachemap.Chains("s", []call.Part{{ID: "b"}})[0])
	is.True(ab[0] != cachemap.Chains("t", []call.Part{{ID: "a"}})[0])
}

// TestHolders remembers the last engines for a while.
func TestHolders(t *testing.T) {
	is := is.New(t)
	m, now := cachemap.New(), clock.Instant(time.Hour)
	c := cachemap.Chains("s", []call.Part{{ID: "a"}})
	for e := range pulse.Engine(6) {
		m.Saw(e, c, now.Add(time.Duration(e)*time.Second))
	}
	is.Equal(m.Holders(c[0], now.Add(5*time.Second)), []pulse.Engine{5, 4, 3, 2})
	is.Equal(m.Holders(c[0], now.Add(13*time.Second)), []pulse.Engine{5, 4, 3})
	m.Lost(5)
	is.Equal(m.Holders(c[0], now.Add(13*time.Second)), []pulse.Engine{4, 3})
	is.Equal(m.Holders(c[0], now.Add(time.Minute)), []pulse.Engine{})
}
