package isolation_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/kumquathoist/kumquathoist/isolation"
)

func ExampleGroup_Salt() {
	all := isolation.NewGroup()
	fmt.Println(all.Salt(2, "mill"), all.Salt(2, "grocer"))
	withoutMill := isolation.NewGroup("mill")
	fmt.Println(withoutMill.Salt(2, "mill"), withoutMill.Salt(2, "grocer"))
	// Output:
	// w2 w2
	// w2/mill w2.68c286b8532bf97843046ccc
}

func ExampleHistory_With() {
	var h isolation.History
	h = h.With(1, []string{"mill"}) // mill becomes isolated
	h = h.With(1, nil)              // and is not any more: others keep their parts
	fmt.Println(h.Group(1).Excluded())
	h = h.With(2, nil) // new weights: all parts are made anew
	fmt.Println(h.Group(1).Excluded(), h.Group(2).Excluded())
	// Output:
	// [mill]
	// [mill] []
}

func TestMayUse(t *testing.T) {
	is := is.New(t)
	all, withoutMill := isolation.NewGroup(), isolation.NewGroup("mill")
	is.True(all.MayUse("grocer", nil))
	is.True(!all.MayUse("grocer", []string{"mill"})) // its parts may be mill's
	is.True(!all.MayUse("mill", []string{"mill"}))
	is.True(withoutMill.MayUse("grocer", []string{"mill"}))
	is.True(withoutMill.MayUse("grocer", nil))
	is.True(withoutMill.MayUse("mill", []string{"grocer", "mill"})) // it has a salt of its own
}

func TestRecords(t *testing.T) {
	is := is.New(t)
	var none isolation.History
	isolated := none.With(3, []string{"mill"})
	is.True(none.Records(none))
	is.True(!none.Records(isolated))
	is.True(isolated.Records(isolated))
	is.True(isolated.Records(none))
	is.True(!isolated.Records(isolated.With(4, []string{"mill"})))
	is.True(isolated.Records(isolated.With(4, nil)))
	is.Equal(none.Merge(isolated), isolated)
}

// part is a cached part: who made it under which salt.
type part struct{ salt, maker string }

// simulatedHost is a host that knows the configuration up to some version.
type simulatedHost struct {
	weights  int64
	isolated []string
	history  isolation.History
}

func (h *simulatedHost) update(weights int64, isolated []string) {
	h.weights, h.isolated = max(h.weights, weights), isolated
	h.history = h.history.With(h.weights, isolated)
}

// TestIsolatedAccountsShareNoParts guards against parts that an account's requests made
// before it was isolated, or while it was not for a time: no host lets others use them,
// whichever configurations it missed, and whether or not it was restarted.
func TestIsolatedAccountsShareNoParts(t *testing.T) {
	accounts := []string{"mill", "grocer", "school", "port"}
	rapid.Check(t, func(t *rapid.T) {
		hosts := make([]simulatedHost, 3)
		var recorded isolation.History
		var parts []part
		weights, isolated := int64(1), []string{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			h := &hosts[rapid.IntRange(0, len(hosts)-1).Draw(t, "host")]
			switch rapid.SampledFrom([]string{"configure", "name", "learn", "restart", "record", "send"}).Draw(t, "step") {
			case "configure":
				isolated = slices.Sorted(slices.Values(rapid.SliceOfNDistinct(rapid.SampledFrom(accounts), 0, 3, rapid.ID).Draw(t, "isolated")))
			case "name":
				weights++
			case "learn":
				h.update(weights, isolated)
			case "restart":
				*h = simulatedHost{}
				if rapid.Bool().Draw(t, "reads the record") {
					h.history = recorded
				}
				h.update(weights, isolated)
			case "record":
				recorded = recorded.Merge(h.history)
				h.history = h.history.Merge(recorded)
				h.update(h.weights, h.isolated)
			case "send":
				user := rapid.SampledFrom(accounts).Draw(t, "account")
				loaded := rapid.Int64Range(0, h.weights).Draw(t, "weights") // some engine still has older ones
				group := h.history.Group(loaded)
				salt := group.Salt(loaded, user)
				for _, p := range parts {
					if p.salt == salt && p.maker != user && (slices.Contains(h.isolated, user) || slices.Contains(h.isolated, p.maker)) {
						t.Fatalf("a request of %s uses a part of %s under %s; isolated: %v", user, p.maker, salt, h.isolated)
					}
				}
				if !group.MayUse(user, h.isolated) {
					t.Fatalf("a request of %s would be withdrawn at once", user)
				}
				parts = append(parts, part{salt, user})
			}
		}
	})
}

// TestChangesThatIsolateNobodyKeepTheParts checks that salts stay while no further account
// is isolated and the weights stay, also over a restart after the groups were recorded.
func TestChangesThatIsolateNobodyKeepTheParts(t *testing.T) {
	accounts := []string{"mill", "grocer", "school"}
	rapid.Check(t, func(t *rapid.T) {
		isolated := slices.Sorted(slices.Values(rapid.SliceOfNDistinct(rapid.SampledFrom(accounts), 0, 3, rapid.ID).Draw(t, "isolated")))
		h := isolation.History{}.With(4, isolated)
		before := map[string]string{}
		for _, a := range accounts {
			before[a] = h.Group(4).Salt(4, a)
		}
		for range rapid.IntRange(1, 8).Draw(t, "changes") {
			isolated = slices.DeleteFunc(isolated, func(string) bool { return rapid.Bool().Draw(t, "shares again") })
			h = h.With(4, isolated)
			if rapid.Bool().Draw(t, "restarts") {
				h = isolation.History{}.With(4, isolated).Merge(h)
			}
			for _, a := range accounts {
				if salt := h.Group(4).Salt(4, a); salt != before[a] {
					t.Fatalf("the salt of %s is %s after %s", a, salt, before[a])
				}
			}
		}
	})
}
