// Package isolation decides which client accounts share cached prompt parts.
//
// Engines find a part only under the salt that it was made with, and nobody can take a
// part back. So the salt of a group names the accounts that are excluded from it: no
// part under it was ever made for one of them, whichever configurations a host has
// missed, and however often hosts were restarted. An account that is no longer isolated
// stays excluded until the weights change, when all parts are made anew: otherwise the
// others would lose theirs. The package does no I/O.
package isolation

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strconv"
)

const (
	// maxSpans is the number of versions of weights for which exclusions are kept.
	// Engines have no older ones by the time that so many newer ones are named.
	maxSpans = 8
	// saltBytes is the size of a group's hash in its salt.
	saltBytes = 12
)

// Group is the group of all accounts but the excluded ones. The zero value is the group
// of all accounts. It is immutable.
type Group struct {
	// excluded holds the names of accounts, sorted.
	excluded []string
	// hash identifies the excluded accounts, "" if there are none.
	hash string
}

// NewGroup returns the group of all accounts but the excluded ones.
func NewGroup(excluded ...string) Group {
	return Group{}.without(excluded)
}

// without returns the group without further accounts.
func (g Group) without(accounts []string) Group {
	if g.excludes(accounts) {
		return g
	}
	names := append(slices.Clone(g.excluded), accounts...)
	slices.Sort(names)
	names = slices.Compact(names)
	h := sha256.New()
	for _, name := range names {
		_, _ = h.Write(append(strconv.AppendInt(nil, int64(len(name)), 10), ':'))
		_, _ = h.Write([]byte(name))
	}
	return Group{names, hex.EncodeToString(h.Sum(nil)[:saltBytes])}
}

// Excluded returns the names of the excluded accounts, sorted.
func (g Group) Excluded() []string { return g.excluded }

// excludes reports whether all of the accounts are excluded.
func (g Group) excludes(accounts []string) bool {
	for _, name := range accounts {
		if _, ok := slices.BinarySearch(g.excluded, name); !ok {
			return false
		}
	}
	return true
}

// Salt returns the salt of an account's parts that weights have made: that of the group,
// or one of its own for an excluded account.
func (g Group) Salt(weights int64, account string) string {
	salt := "w" + strconv.FormatInt(weights, 10)
	switch _, excluded := slices.BinarySearch(g.excluded, account); {
	case excluded:
		return salt + "/" + account
	case g.hash != "":
		return salt + "." + g.hash
	}
	return salt
}

// MayUse reports whether an account that has used the parts of this group may still do so
// when the given accounts are isolated. An account that had its own salt may.
func (g Group) MayUse(account string, isolated []string) bool {
	_, excluded := slices.BinarySearch(g.excluded, account)
	return excluded || g.excludes(isolated)
}

// Span is a group and the version of the weights from which on it is used.
type Span struct {
	From  int64
	Group Group
}

// History holds the groups of a model: one for each version of its weights. It is
// immutable.
type History struct {
	// spans are sorted by version. The last one is that of the newest weights.
	spans []Span
}

// NewHistory returns a history with spans.
func NewHistory(spans ...Span) History {
	var h History
	for _, s := range spans {
		h = h.withSpan(s)
	}
	return h
}

// Spans returns the groups, sorted by version.
func (h History) Spans() []Span { return h.spans }

// Group returns the group for a version of the weights: that of the first span for weights
// from before it.
func (h History) Group(weights int64) Group {
	for _, s := range slices.Backward(h.spans) {
		if s.From <= weights {
			return s.Group
		}
	}
	if len(h.spans) == 0 {
		return Group{}
	}
	return h.spans[0].Group
}

// With returns the history after accounts became isolated, or new weights were named:
// the isolated accounts are excluded from all groups, and alone from that of weights
// without a group.
func (h History) With(newest int64, isolated []string) History {
	if len(h.spans) == 0 && len(isolated) == 0 {
		return h
	}
	next := h.withSpan(Span{From: newest})
	for i, s := range next.spans {
		next.spans[i].Group = s.Group.without(isolated)
	}
	return next
}

// Merge returns the history with what another one excludes as well.
func (h History) Merge(other History) History {
	for _, s := range other.spans {
		h = h.withSpan(s)
	}
	return h
}

// withSpan returns the history with the exclusions of one more span.
func (h History) withSpan(s Span) History {
	i, found := slices.BinarySearchFunc(h.spans, s.From, func(a Span, from int64) int { return int(a.From - from) })
	spans := slices.Clone(h.spans)
	if found {
		spans[i].Group = spans[i].Group.without(s.Group.excluded)
		return History{spans}
	}
	spans = slices.Insert(spans, i, s)
	return History{spans[max(0, len(spans)-maxSpans):]}
}

// Newest returns the group of the newest weights.
func (h History) Newest() Span {
	if len(h.spans) == 0 {
		return Span{}
	}
	return h.spans[len(h.spans)-1]
}

// Records reports whether the newest group of another history stands in this one, or
// excludes nobody.
func (h History) Records(other History) bool {
	newest := other.Newest()
	return newest.Group.hash == "" || slices.ContainsFunc(h.spans, func(s Span) bool { return s.From == newest.From && s.Group.hash == newest.Group.hash })
}
