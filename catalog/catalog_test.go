package catalog_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/catalog"
)

// TestRoute checks that the route with the longest matching prefix is returned.
func TestRoute(t *testing.T) {
	c := catalog.New(1, catalog.Limits{}, []catalog.Route{
		{Name: "root", Host: "a", Prefix: "/"}, {Name: "x", Host: "a", Prefix: "/x/"}, {Name: "xy", Host: "a", Prefix: "/x/y/"}, {Name: "b", Host: "b", Prefix: "/x/"},
	}, nil, nil, nil)
	for _, tc := range []struct{ host, path, want string }{
		{"a", "/", "root"}, {"a", "/x", "root"}, {"a", "/x/", "x"}, {"a", "/x/y", "x"}, {"a", "/x/y/z/q", "xy"}, {"b", "/x/1", "b"}, {"b", "/y", ""}, {"c", "/x/", ""},
	} {
		r, ok := c.Route(tc.host, tc.path)
		is := is.New(t)
		is.Equal(r.Name, tc.want)
		is.Equal(ok, tc.want != "")
	}
}

// TestShares checks that requests are distributed by weight.
func TestShares(t *testing.T) {
	is := is.New(t)
	r := catalog.Route{Shares: []catalog.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	counts := map[string]int{}
	for i := range uint64(1000) {
		counts[r.Service(i)]++
	}
	is.Equal(counts, map[string]int{"a": 900, "b": 100})
	is.Equal(catalog.Route{}.Service(1), "")
}

// ExampleRoute_MayRepeat shows which requests may be executed twice.
func ExampleRoute_MayRepeat() {
	fmt.Println(catalog.Route{Kind: catalog.Once}.MayRepeat())
	fmt.Println(catalog.Route{Kind: catalog.Repeatable}.MayRepeat())
	fmt.Println(catalog.Route{Kind: catalog.Stream}.MayRepeat())
	fmt.Println(catalog.Route{Kind: catalog.Stream, Resumable: true}.MayRepeat())
	// Output:
	// false
	// true
	// false
	// true
}

// BenchmarkRoute looks up a path among many routes.
func BenchmarkRoute(b *testing.B) {
	var routes []catalog.Route
	for i := range 800 {
		routes = append(routes, catalog.Route{Host: "a", Prefix: fmt.Sprintf("/p%d/q/", i)})
	}
	c := catalog.New(1, catalog.Limits{}, routes, nil, nil, nil)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := c.Route("a", "/p700/q/some/where"); !ok {
			b.Fatal("not found")
		}
	}
}

// ExampleRoute_EventTimeout shows how long callers wait for an event of a stream.
func ExampleRoute_EventTimeout() {
	fmt.Println(catalog.Route{Objective: 400 * time.Millisecond, EventGap: 100 * time.Millisecond}.EventTimeout())
	fmt.Println(catalog.Route{Objective: time.Second, EventGap: 600 * time.Millisecond}.EventTimeout())
	// Output:
	// 2s
	// 4.8s
}
