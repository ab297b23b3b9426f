package software_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/software"
)

const lifetime = 30 * time.Second

// TestOnlyVersion checks when a single version can have begun a stream.
func TestOnlyVersion(t *testing.T) {
	start := clock.Instant(time.Hour)
	type observation struct {
		after   time.Duration
		serving []string
	}
	for _, c := range []struct {
		name     string
		recorded []software.Left
		observed []observation
		want     string
	}{
		{"nothing is known", nil, nil, ""},
		{"one serves", nil, []observation{{0, []string{"a"}}}, "a"},
		{"two serve", nil, []observation{{0, []string{"a", "b"}}}, ""},
		{"one left just now", nil, []observation{{0, []string{"a"}}, {time.Second, []string{"b"}}}, ""},
		{"one left long ago", nil, []observation{{0, []string{"a"}}, {time.Second, []string{"b"}}, {37 * time.Second, []string{"b"}}}, "b"},
		{"one returns", nil, []observation{{0, []string{"a"}}, {time.Second, []string{"b"}}, {20 * time.Second, []string{"a", "b"}}, {37 * time.Second, []string{"b"}}}, ""},
		{"another host recorded one that serves no more", []software.Left{{Version: "a"}}, []observation{{0, []string{"b"}}}, ""},
		{"another host recorded one that left long ago", []software.Left{{Version: "a", At: start.Add(-time.Minute)}}, []observation{{0, []string{"b"}}}, "b"},
		{"none serves for a moment", nil, []observation{{0, []string{"a"}}, {time.Second, nil}}, "a"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var v software.Versions
			for _, o := range c.observed {
				v = v.With(o.serving, software.NewVersions(c.recorded...), lifetime, start.Add(o.after))
			}
			only, _ := v.Only()
			is.New(t).Equal(only, c.want)
		})
	}
}

// TestCovers checks when a host has to record versions again.
func TestCovers(t *testing.T) {
	is := is.New(t)
	a, left := software.Left{Version: "a"}, software.Left{Version: "a", At: clock.Instant(time.Hour)}
	b := software.Left{Version: "b"}
	is.True(software.NewVersions(a, b).Covers(software.NewVersions(b)))
	is.True(!software.NewVersions(b).Covers(software.NewVersions(a, b)))
	is.True(!software.NewVersions(a).Covers(software.NewVersions(left)))
	is.True(!software.NewVersions(left).Covers(software.NewVersions(a)))
	is.Equal(software.NewVersions(left, b).String(), "a (left), b")
}

// TestVersionOfRemovedUpstream checks that a version counts whose upstream was used
// after its entry was removed.
func TestVersionOfRemovedUpstream(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	v := software.Versions{}.With([]string{"b"}, software.Versions{}, lifetime, now)
	_, single := v.WithLeft("a", now).Only()
	is.True(!single)
	only, _ := v.WithLeft("b", now).Only()
	is.Equal(only, "b")
	is.True(v.Serves("b"))
}
