package prefix_test

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/prefix"
)

// TestLevelsMatchPieces checks that the levels of a prompt have the keys of the
// pieces of the whole text, wherever the parts end.
func TestLevelsMatchPieces(t *testing.T) {
	sizes := []int{0, 1, prefix.PieceBytes - 1, prefix.PieceBytes, prefix.PieceBytes + 1, 2*prefix.PieceBytes + 5}
	scope := prefix.Scope{Account: "mill", Model: "m", Weights: "v1"}
	for _, a := range sizes {
		for _, b := range sizes {
			for _, c := range sizes {
				is := is.New(t)
				parts := [][]byte{bytes.Repeat([]byte("a"), a), bytes.Repeat([]byte("b"), b), bytes.Repeat([]byte("c"), c), []byte("question")}
				pieces := prefix.Pieces(scope, bytes.Join(parts, nil))
				for i, l := range prefix.Levels(scope, parts) {
					n := l.Tokens / prefix.PieceTokens
					is.Equal(n, len(bytes.Join(parts[:i+1], nil))/prefix.PieceBytes)
					if n > 0 {
						is.Equal(l.Piece, pieces[n-1])
					}
				}
			}
		}
	}
}

// TestScopesShareNothing checks that different accounts, models and weights have
// no key in common for the same text.
func TestScopesShareNothing(t *testing.T) {
	is := is.New(t)
	seen := map[prefix.Key]bool{}
	for _, s := range []prefix.Scope{
		{Account: "a", Model: "m", Weights: "v1"}, {Account: "b", Model: "m", Weights: "v1"},
		{Account: "a", Model: "n", Weights: "v1"}, {Account: "a", Model: "m", Weights: "v2"},
		{Account: "am", Weights: "v1"}, {Account: "a", Model: "mv1"},
	} {
		for _, l := range prefix.Levels(s, [][]byte{make([]byte, prefix.PieceBytes), make([]byte, prefix.PieceBytes), nil}) {
			is.True(!seen[l.Key])
			is.True(!seen[l.Piece])
			seen[l.Key], seen[l.Piece] = true, true
		}
	}
}
