// Package httpheader checks request headers for syntax that the HTTP library
// doesn't reject.
package httpheader

import "bytes"

// HasLineFolding reports whether a header field continues on a second line (line
// folding), which upstreams may parse differently.
func HasLineFolding(raw []byte) bool {
	return bytes.Contains(raw, []byte("\n ")) || bytes.Contains(raw, []byte("\n\t"))
}
