package intake_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/intake"
)

// divide returns the allotment of a machine with the default shares.
func divide(memoryMB, descriptors int) intake.Allotment {
	return intake.Divide(intake.Machine{
		MemoryBytes: int64(memoryMB) * mega, Descriptors: descriptors,
		ClientShare: intake.DefaultClientShare, HeadBytes: 20 * kilo, ReceiveBytes: intake.DefaultReceiveBytes,
	})
}

// ExampleDivide shows what clients may make a small host hold.
func ExampleDivide() {
	a := divide(88, 4100)
	fmt.Println(a.Connections, "connections,", a.Bytes>>20, "MiB of bodies,", a.SmallBytes>>20, "MiB of small ones")
	// Output: 241 connections, 17 MiB of bodies, 4 MiB of small ones
}

// TestPartsFitIntoTheMachine divides machines of many sizes: the parts stay within the
// clients' share, and the descriptors suffice.
func TestPartsFitIntoTheMachine(t *testing.T) {
	const (
		// The least that a connection takes, and what the kernel holds of it.
		connection, received = 32 * kilo, 2 * intake.DefaultReceiveBytes
		largestBody          = 4 * mega
	)
	for _, memoryMB := range []int{88, 112, 134, 184, 284, 536, 24 << 10} {
		for _, descriptors := range []int{1000, 3075, 4100, 8192} {
			is := is.New(t)
			a := divide(memoryMB, descriptors)
			held, open := a.Bytes+a.SmallBytes, 0
			for _, divisor := range []int{1, intake.QueriesDivisor, intake.ChecksDivisor, intake.ChecksDivisor, intake.RelaysDivisor} {
				limit := a.Connections / divisor
				most := limit + limit/intake.SpareDivisor
				open += most
				held += int64(most*(connection+received) + limit/intake.BacklogDivisor*received)
			}
			is.True(held <= int64(memoryMB)*mega/2)
			is.True(open <= descriptors*9/10)
			is.True(a.Connections > 0 && a.Bytes >= 2*largestBody)
			is.True(a.RuntimeBytes < int64(memoryMB)*mega)
		}
	}
}
