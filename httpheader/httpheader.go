// Package httpheader checks heads of requests for what the HTTP library lets pass.
package httpheader

import "bytes"

// Folded tells whether a header goes on in a second line, which upstreams may
// read in another way.
func Folded(raw []byte) bool {
	return bytes.Contains(raw, []byte("\n ")) || bytes.Contains(raw, []byte("\n\t"))
}
