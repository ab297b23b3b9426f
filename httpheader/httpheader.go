// Package httpheader checks heads for what HTTP libraries don't reject.
package httpheader

import "bytes"

// HasLineFolding reports whether a header field continues on a second line (line
// folding), which upstreams may parse differently.
func HasLineFolding(raw []byte) bool {
	return bytes.Contains(raw, []byte("\n ")) || bytes.Contains(raw, []byte("\n\t"))
}

// IsStatus reports whether a number is a status that the protocol allows (RFC 9110,
// section 15). Any other is no answer, but an upstream that failed.
func IsStatus(code int) bool { return code >= 100 && code <= 599 }
