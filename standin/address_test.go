package standin_test

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/standin"
)

// TestUnusedAddressesDiffer chooses addresses from several goroutines at once.
func TestUnusedAddressesDiffer(t *testing.T) {
	for range 4 {
		t.Run("series", func(t *testing.T) {
			t.Parallel()
			for range 500 {
				is := is.New(t)
				addresses, err := standin.UnusedAddresses("127.0.0.1", 4)
				is.NoErr(err)
				slices.Sort(addresses)
				is.Equal(len(slices.Compact(addresses)), 4)
			}
		})
	}
}
