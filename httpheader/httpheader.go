// Package httpheader checks heads for what HTTP libraries don't reject.
package httpheader

import (
	"bytes"

	"github.com/gravitational/trace"
	"golang.org/x/net/http/httpguts"
)

const (
	// MaxInformational bounds the informational heads (1xx) before an answer;
	// upstreams send one or two.
	MaxInformational = 8
	// maxQuotedBytes bounds how much of an invalid name an error quotes.
	maxQuotedBytes = 64
)

// HasLineFolding reports whether a header field continues on a second line (line
// folding), which upstreams may parse differently.
func HasLineFolding(raw []byte) bool {
	return bytes.Contains(raw, []byte("\n ")) || bytes.Contains(raw, []byte("\n\t"))
}

// IsStatus reports whether a number is a status that the protocol allows (RFC 9110,
// section 15). Any other is no answer, but an upstream that failed.
func IsStatus(code int) bool { return code >= 100 && code <= 599 }

// CheckName returns an error if a name of a field is no token (RFC 9110, section 5.1). The
// libraries take names that hold blanks, or that blanks follow, and may pass such a field on
// or frame the body by it (RFC 9112, section 5.1).
func CheckName(name string) error {
	if httpguts.ValidHeaderFieldName(name) {
		return nil
	}
	return invalidName(name)
}

// invalidName returns the error for an invalid name. It is a function of its own so that valid
// names stay off the heap.
func invalidName(name string) error {
	return trace.BadParameter("a field has the invalid name %q", name[:min(len(name), maxQuotedBytes)])
}

// CheckNames checks the names of the fields in the bytes of a head, which begin with its first
// line, and reports whether the head is complete. A line that continues the one before counts
// as a field whose name begins with a blank: gateways may reject either (RFC 9112, section 5.2).
func CheckNames(head []byte) (isComplete bool, err error) {
	before, rest, _ := bytes.Cut(head, []byte("\n"))
	for {
		line, next, ok := bytes.Cut(rest, []byte("\n"))
		switch {
		case !ok:
			return false, nil
		case len(line) == 0 && bytes.HasSuffix(before, []byte("\r")):
			return false, trace.BadParameter("a name begins with a line feed, or a bare one ends the head")
		case len(line) == 0, string(line) == "\r":
			return true, nil
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		if !httpguts.ValidHeaderFieldName(string(name)) {
			return false, invalidName(string(name))
		}
		before, rest = line, next
	}
}
