// Package prefix computes the keys of shared prompt prefixes.
//
// A key is a hash chain over the account, the model, the weights version and
// the pieces of the prompt in order. Prompts of different accounts, models or
// weights therefore don't share keys.
package prefix

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"
)

const (
	// PieceTokens is the size of a cached piece, in tokens.
	PieceTokens = 4096
	// TokenBytes is the mean size of a token, in bytes of prompt text.
	TokenBytes = 4
	// PieceBytes is the size of a cached piece, in bytes of prompt text.
	PieceBytes = PieceTokens * TokenBytes
)

// Key identifies a prefix within one account, model and weights version.
type Key uint64

// Scope holds what all prompts with shared prefixes have in common.
type Scope struct {
	Account string
	Model   string
	// Weights is the version of the model's weights.
	Weights string
}

// Root returns the key of the empty prefix of a scope.
func (s Scope) Root() Key {
	h := sha256.New()
	for _, part := range []string{s.Account, s.Model, s.Weights} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = h.Write(size[:])
		_, _ = h.Write([]byte(part))
	}
	return Key(binary.BigEndian.Uint64(h.Sum(nil)))
}

// Next returns the key of the prefix extended by a part.
func (k Key) Next(part []byte) Key {
	h := sha256.New()
	var parent [8]byte
	binary.BigEndian.PutUint64(parent[:], uint64(k))
	_, _ = h.Write(parent[:])
	_, _ = h.Write(part)
	return Key(binary.BigEndian.Uint64(h.Sum(nil)))
}

// Pieces returns the keys of the whole pieces of a prompt, in order.
func Pieces(s Scope, prompt []byte) []Key {
	key := s.Root()
	var keys []Key
	for len(prompt) >= PieceBytes {
		key = key.Next(prompt[:PieceBytes])
		keys = append(keys, key)
		prompt = prompt[PieceBytes:]
	}
	return keys
}

// Tokens returns the number of tokens of a prompt of the given size in bytes.
func Tokens(size int) int { return (size + TokenBytes - 1) / TokenBytes }

// String returns the key in hexadecimal.
func (k Key) String() string { return strconv.FormatUint(uint64(k), 16) }
