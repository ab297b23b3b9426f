package quarantine

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/kumquathoist/kumquathoist/request"
)

const (
	// maxParts bounds the prompt parts of a request that records name. Of more
	// parts the last ones count, which the fewest requests share.
	maxParts = 16
	// partPrefix begins the fingerprint of a prompt part.
	partPrefix = "part-"
	// enginePrefix begins the fingerprint of what lost an engine besides requests.
	enginePrefix = "engine-"
	// fingerprintBytes is the length of the hash in a fingerprint.
	fingerprintBytes = 16
)

// Fingerprint identifies what may crash an engine: a whole request, whoever
// sends it, or a prompt part that requests share.
type Fingerprint string

// IsPart reports whether the fingerprint is that of a prompt part.
func (f Fingerprint) IsPart() bool { return strings.HasPrefix(string(f), partPrefix) }

// isEngine reports whether the fingerprint stands for what no request caused.
func (f Fingerprint) isEngine() bool { return strings.HasPrefix(string(f), enginePrefix) }

// Content holds the fingerprints of a request and of its parts.
type Content struct {
	// Request identifies the whole request.
	Request Fingerprint
	// Parts identify the prompt parts that it shares with other requests.
	Parts []Fingerprint
	// Account is the name of the client account that sent it.
	Account string
}

// Fingerprints returns the fingerprint of the request and, from index 1, those of
// its parts in order.
func (c Content) Fingerprints() []Fingerprint {
	return append([]Fingerprint{c.Request}, c.Parts...)
}

// FingerprintOf returns the fingerprint of a request. It doesn't cover the
// account and the key, since a caller may resend the request with others.
func FingerprintOf(r request.Request) Fingerprint {
	return Fingerprint(hash([]byte(r.Model+"\x00"+r.Path+"\x00"), r.Body))
}

// PartOf returns the fingerprint of a prompt part, given its text or its ID, as
// a prompt of a model.
func PartOf(model string, part []byte) Fingerprint {
	return partPrefix + Fingerprint(hash([]byte(model+"\x00"), part))
}

// ContentOf returns the content of a request whose prompt has the given shared
// parts.
func ContentOf(r request.Request, model string, shared ...[]byte) Content {
	c := Content{Request: FingerprintOf(r), Account: r.Account}
	for _, part := range shared[max(0, len(shared)-maxParts):] {
		c.Parts = append(c.Parts, PartOf(model, part))
	}
	return c
}

// EngineFingerprint returns the fingerprint for a loss that no request caused. Records of
// it count as losses of another engine for the requests that may have caused others.
func EngineFingerprint(l Loss) Fingerprint {
	return enginePrefix + Fingerprint(hash([]byte(l.Engine+"\x00"), []byte(cmp.Or(l.Incarnation, l.Attempt))))
}

func hash(pieces ...[]byte) string {
	h := sha256.New()
	for _, p := range pieces {
		_, _ = h.Write(p)
	}
	return hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}
