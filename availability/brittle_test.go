package availability_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/availability"
	"github.com/kumquathoist/kumquathoist/clock"
)

// ExampleHasRoom shows the room of an engine with 64 slots for one of 8 hosts.
func ExampleHasRoom() {
	fmt.Println(availability.HasRoom(64, 20, 30, 8)) // few are taken
	fmt.Println(availability.HasRoom(64, 7, 40, 8))
	fmt.Println(availability.HasRoom(64, 8, 40, 8)) // the host has its share
	fmt.Println(availability.HasRoom(64, 0, 64, 8))
	// Output:
	// true
	// true
	// false
	// false
}

// TestBrittle checks how long an upstream counts as brittle.
func TestBrittle(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	s := availability.Status{}.WithBrittle(now)
	is.True(!availability.Status{}.Brittle(now))
	is.True(s.Brittle(now.Add(time.Second)))
	is.True(!s.Brittle(now.Add(time.Minute)))
	is.True(!s.WithoutBrittle().Brittle(now))
}
