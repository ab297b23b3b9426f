package socket

import "net/http"

// NewHTTPClient returns a client that follows no redirects: an answer comes from the address
// that was called, and an error in reaching an address means that one.
func NewHTTPClient(t http.RoundTripper) *http.Client {
	return &http.Client{Transport: t, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}
