package connection_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/connection"
)

// TestPool takes and returns connections to one server and checks how many are opened.
func TestPool(t *testing.T) {
	for _, tt := range []struct {
		name string
		// together is the number of calls at a time.
		together, opened int
	}{
		{"one after the other", 1, 1},
		{"as many as are kept", 2, 2},
		{"more than are kept", 3, 4},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			// mu guards opened.
			var mu sync.Mutex
			opened := 0
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
				mu.Lock()
				defer mu.Unlock()
				if s == http.StateNew {
					opened++
				}
			}
			server.Start()
			t.Cleanup(server.Close)
			address := server.Listener.Addr().String()
			pool := connection.NewPool((&net.Dialer{}).DialContext, 2, time.Hour)
			for range 2 {
				var taken []*connection.Transport
				for range tt.together {
					transport := pool.Take(address)
					req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, nil)
					is.NoErr(err)
					a, err := connection.RoundTrip(transport.Transport, req, 1)
					is.NoErr(err)
					is.Equal(a.Status, http.StatusOK)
					taken = append(taken, transport)
				}
				for _, transport := range taken {
					pool.Put(address, transport)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			is.Equal(opened, tt.opened)
		})
	}
}
