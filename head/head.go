// Package head checks heads of requests for what the HTTP library lets pass.
package head

import "bytes"

// Folded tells whether a header goes on in a second line, which upstreams may
// read in another way.
func Folded(raw []byte) bool {
	return bytes.Contains(raw, []byte("\n ")) || bytes.Contains(raw, []byte("\n\t"))
}
