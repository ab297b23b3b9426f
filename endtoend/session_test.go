package endtoend

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/registry"
	"github.com/kumquathoist/kumquathoist/settings"
)

var updateGolden = flag.Bool("update", false, "write the golden files")

// recorder is a proxy between a router and the log that records their exchanges.
type recorder struct {
	target string
	// mu guards the fields below.
	mu             sync.Mutex
	recording      bool
	appends, reads strings.Builder
}

// ServeHTTP forwards a request to the log and records it.
func (r *recorder) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, _ := io.ReadAll(req.Body)
	forwarded, _ := http.NewRequestWithContext(req.Context(), req.Method, r.target+req.URL.String(), bytes.NewReader(body))
	resp, err := http.DefaultClient.Do(forwarded)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer resp.Body.Close()
	answer, _ := io.ReadAll(resp.Body)
	if strings.Contains(req.URL.Path, registry.ConfigurationStream) {
		r.record(req, body, resp.StatusCode, answer)
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = w.Write(answer)
}

// record records an append, or a read that returned records.
func (r *recorder) record(req *http.Request, body []byte, status int, answer []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.recording {
		return
	}
	if req.Method == http.MethodPost {
		fmt.Fprintf(&r.appends, "%s %s\n%s\n%d %s\n", req.Method, req.URL, body, status, answer)
		return
	}
	var page registry.Page
	if json.Unmarshal(answer, &page) == nil && len(page.Records) > 0 {
		fmt.Fprintf(&r.reads, "%s %s\n%d first %d, next %d\n", req.Method, req.URL, status, page.First, page.Next)
		for _, record := range page.Records {
			fmt.Fprintf(&r.reads, "record %d %s\n", record.Offset, record.Data)
		}
	}
}

var timestamps = regexp.MustCompile(`("(?:AppendedMillis|NowMillis)":)\d+`)

// TestGoldenSession compares the exchanges between operator, router and log during
// configuration changes with a golden file.
func TestGoldenSession(t *testing.T) {
	is := is.New(t)
	r := &recorder{}
	proxy := httptest.NewServer(r)
	t.Cleanup(proxy.Close)
	s := startSystem(t, options{routers: 1, engines: 1, configure: func(s *system, conf *settings.Settings) {
		r.target = s.log.url()
		conf.Platform.Log = proxy.URL
	}})
	r.mu.Lock()
	r.recording = true
	r.mu.Unlock()
	var session strings.Builder
	exchange := func(method, path string, body any) {
		raw := []byte{}
		if body != nil {
			var err error
			raw, err = json.Marshal(body)
			is.NoErr(err)
		}
		req, err := http.NewRequestWithContext(context.Background(), method, "http://"+s.routers[0].operators+path, bytes.NewReader(raw))
		is.NoErr(err)
		req.Header.Set("Authorization", "Bearer "+operatorKey)
		req.Header.Set("Content-Type", "application/json")
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		defer resp.Body.Close()
		answer, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		fmt.Fprintf(&session, "%s %s\n%s\n%d %s\n", method, path, raw, resp.StatusCode, answer)
	}
	edit := func(id string, base int64, body string) document.Edit {
		return document.Edit{ID: id, Section: document.RoutingSection, Base: base, Author: "ana", Body: body}
	}
	exchange(http.MethodPost, "/operator/edits", edit("first", 0, "WasteWeight: 0.1\n"))
	exchange(http.MethodPost, "/operator/edits", edit("raced", 0, "WasteWeight: 0.2\n"))
	exchange(http.MethodPost, "/operator/edits", edit("first", 0, "WasteWeight: 0.1\n"))
	exchange(http.MethodPost, "/operator/edits", edit("broken", 4, "WasteWeight: 7\nColour: red\n"))
	exchange(http.MethodPost, "/operator/edits", edit("second", 4, "WasteWeight: 0.3\n"))
	exchange(http.MethodGet, "/operator/edits/raced", nil)
	exchange(http.MethodGet, "/operator/edits/never-sent", nil)
	exchange(http.MethodGet, "/operator/sections/Routing", nil)
	exchange(http.MethodGet, "/operator/sections/Routing?Revision=4", nil)
	r.mu.Lock()
	defer r.mu.Unlock()
	got := fmt.Sprintf("== operator and router\n%s== router and log, appends\n%s== router and log, reads\n%s", session.String(), r.appends.String(), r.reads.String())
	got = timestamps.ReplaceAllString(got, "${1}0")
	const golden = "testdata/configuration-session.golden"
	if *updateGolden {
		is.NoErr(os.MkdirAll("testdata", 0o750))
		is.NoErr(os.WriteFile(golden, []byte(got), 0o600))
	}
	want, err := os.ReadFile(golden)
	is.NoErr(err)
	is.Equal(got, string(want))
}
