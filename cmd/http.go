package cmd

import (
	"net/http"
	"time"

	"github.com/kumquathoist/kumquathoist/bounded"
	"github.com/kumquathoist/kumquathoist/socket"
)

const (
	// dialTimeout bounds the time to connect to a host.
	dialTimeout = 10 * time.Second
	// maxSilence is how long a host may acknowledge nothing before the connection to it
	// is closed.
	maxSilence = 10 * time.Second
	// maxAnswerBytes bounds an answer that is read completely.
	maxAnswerBytes = 64 << 20
)

// newHTTPClient returns a client of hosts, which may be redirected. A call that is given up,
// such as by an interrupt, does not arrive later.
func newHTTPClient() *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.DialContext = socket.NewDialer(dialTimeout, maxSilence).DialContext
	transport.MaxResponseHeaderBytes = bounded.MaxHeadBytes
	client := socket.NewHTTPClient(transport)
	client.CheckRedirect = nil
	return client
}
