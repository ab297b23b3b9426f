package endtoend

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/document"
)

// TestUnreadOutput stops reading the output of a daemon. The daemon must not
// block on its log: it answers requests, applies new revisions and carries out a
// planned stop.
func TestUnreadOutput(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, options{routers: 1, engines: 1})
	r := s.routers[0]
	// Blocks the reader of the output at its next line.
	r.mu.Lock()
	defer r.mu.Unlock()
	client := http.Client{Timeout: waitTimeout}
	for range 3000 {
		resp, err := client.Get("http://" + r.callers + "/unknown")
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
	}
	s.publish(t, document.ModelsSection, document.Models{Models: []document.Model{
		{Name: "matcher", Pool: "engines", Version: "v1"}, {Name: "unknown", Pool: "engines", Version: "v1"},
	}})
	eventually(t, "the new revision is applied", func() bool {
		_, status := r.send(t, http.MethodPost, "/v1/completions", nil, `{"model":"unknown","prompt":"p","max_tokens":1}`)
		return status == http.StatusOK
	})
	r.signal(syscall.SIGTERM)
	select {
	case <-r.done:
	case <-time.After(waitTimeout):
		t.Error("the daemon did not exit")
	}
}
