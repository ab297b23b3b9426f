package registry_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/registry"
	"github.com/kumquathoist/kumquathoist/standin"
)

// startRepeater starts a service of the platform that refuses the first call and sends that
// refusal once more; it gives later calls the answers.
func startRepeater(t *testing.T, answer func(nth int, r *http.Request) string) *standin.Repeater {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	var wait conc.WaitGroup
	p, err := standin.NewRepeater(ctx, &wait, func(nth int, r *http.Request) string {
		if nth == 1 {
			return "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
		}
		body := answer(nth, r)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	})
	is.New(t).NoErr(err)
	t.Cleanup(func() { stop(); wait.Wait() })
	return p
}

// TestLogAnswersAreNotCrossed guards against a record that is believed to be at the offset of
// another, and pages of another stream, because of a refusal that was sent twice.
func TestLogAnswersAreNotCrossed(t *testing.T) {
	ctx := context.Background()
	start := func(t *testing.T) (*registry.Log, *standin.Repeater) {
		p := startRepeater(t, func(nth int, r *http.Request) string {
			if r.Method == http.MethodPost {
				return fmt.Sprintf(`{"Offset":%d,"AppendedMillis":1}`, nth)
			}
			stream := strings.Split(r.URL.Path, "/")[2]
			return fmt.Sprintf(`{"Records":[{"Offset":0,"Data":%q}],"First":0,"Next":1}`, map[string]string{"configuration": "Y29uZg==", "claims-0": "Y2xhaW0="}[stream])
		})
		return registry.NewLog("http://" + p.Address()), p
	}
	t.Run("append", func(t *testing.T) {
		is := is.New(t)
		log, p := start(t)
		_, err := log.Append(ctx, "claims-0", []byte("a"))
		is.True(err != nil)
		_, _ = log.Append(ctx, "claims-0", []byte("b"))
		appended, err := log.Append(ctx, "claims-0", []byte("c"))
		is.NoErr(err)
		is.Equal(appended.Offset, int64(3))
		is.Equal(p.Copies(), 0)
	})
	t.Run("read", func(t *testing.T) {
		is := is.New(t)
		log, p := start(t)
		_, err := log.Read(ctx, "configuration", 0, 0)
		is.True(err != nil)
		_, _ = log.Read(ctx, "configuration", 0, 0)
		page, err := log.Read(ctx, "claims-0", 0, 0)
		is.NoErr(err)
		is.Equal(string(page.Records[0].Data), "claim")
		is.Equal(p.Copies(), 0)
	})
}

// TestHostListIsNotAnEarlierOne guards against a host that is believed to be live after it
// was listed as leaving, because the host list sent a refusal twice.
func TestHostListIsNotAnEarlierOne(t *testing.T) {
	is := is.New(t)
	p := startRepeater(t, func(nth int, _ *http.Request) string {
		return fmt.Sprintf(`{"Hosts":[{"Name":"h","State":%q}]}`, map[bool]registry.HostState{true: registry.Live, false: registry.Leaving}[nth == 2])
	})
	list := registry.NewHostList("http://" + p.Address())
	_, err := list.Hosts(context.Background())
	is.True(err != nil)
	_, _ = list.Hosts(context.Background())
	hosts, err := list.Hosts(context.Background())
	is.NoErr(err)
	is.Equal(hosts[0].State, registry.Leaving)
	is.Equal(p.Copies(), 0)
}
