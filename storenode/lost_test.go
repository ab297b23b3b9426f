package storenode_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/standin"
)

// longPrompt is a prompt whose request has time for several silences.
func longPrompt(prefix string) map[string]string {
	return map[string]string{"X-Model": "m1", "X-Token-Usage": "1000,20", "X-Prompt-Prefix": prefix, "X-Deadline-Ms": "19000"}
}

// allowLongStreams configures 20 s for both routes of streams, and waits until the host
// has the configuration.
func (d *silentEngines) allowLongStreams() {
	d.configure(func(c map[string]any) {
		routes := c["routes"].([]any)
		for _, r := range routes[:2] {
			r.(map[string]any)["target_latency_ms"], r.(map[string]any)["timeout_ms"] = 500, 20000
		}
		c["routes"] = append(routes, route("new", serviceHost, "/new/", "idempotent", "desk", nil))
	})
	d.await("the configuration is in force", func() bool {
		return d.do(d.hosts[0], http.MethodGet, serviceHost, "/new/a", "new", nil, "").status == http.StatusOK
	})
}

// TestStreamsBeyondTheBudgetAreKept has all engines fall silent at once, so that more
// streams are idle together than may go on elsewhere: each is complete.
func TestStreamsBeyondTheBudgetAreKept(t *testing.T) {
	const streams, count, interval = 150, 8, 400 * time.Millisecond
	d := newSilentEngines(t, 3, count, 100*time.Millisecond, interval)
	d.allowLongStreams()
	answers := make([]answer, streams)
	var wait sync.WaitGroup
	for i := range streams {
		path := []string{"/full/a", "/flag/a"}[i%2]
		c := d.client(d.hosts[0])
		wait.Go(func() {
			c.write(http.MethodPost, modelHost, path, fmt.Sprint("r-", i), longPrompt(fmt.Sprintf("%x:300", i)), "body")
			answers[i] = c.read()
		})
	}
	time.Sleep(100*time.Millisecond + 2*interval)
	d.fallSilent(3 * time.Second)
	wait.Wait()
	for _, a := range answers {
		d.is.True(!a.truncated)
		d.is.Equal(a.status, http.StatusOK)
		d.is.Equal(a.body, events(1, count))
	}
}

// fallSilent stops all engines for a time.
func (d *silentEngines) fallSilent(silence time.Duration) {
	for _, e := range d.engines {
		e.Pause()
	}
	time.Sleep(silence)
	for _, e := range d.engines {
		e.Resume()
	}
}

// TestStreamOutlivesFurtherSilence has the engine of a stream fall silent until the stream
// goes on at a second one, and then something else happens.
func TestStreamOutlivesFurtherSilence(t *testing.T) {
	const prefill, interval, count = 300 * time.Millisecond, 500 * time.Millisecond, 8
	for _, c := range []struct {
		name string
		// after is called when the second engine has begun to run.
		after func(first, second *standin.PlatformProcess)
	}{
		{"both fall silent, and the first wakes first", func(first, second *standin.PlatformProcess) {
			time.Sleep(prefill + interval + interval/2)
			second.Pause()
			time.Sleep(time.Second)
			first.Resume()
			time.Sleep(1500 * time.Millisecond)
			second.Resume()
		}},
		{"the first ends while the second is silent", func(first, second *standin.PlatformProcess) {
			second.Pause()
			first.Kill()
			time.Sleep(1200 * time.Millisecond)
			second.Resume()
		}},
		{"the second ends while it reads, and the first wakes", func(first, second *standin.PlatformProcess) {
			second.Kill()
			time.Sleep(500 * time.Millisecond)
			first.Resume()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newSilentEngines(t, 2, count, prefill, interval)
			done := make(chan answer, 1)
			caller := d.client(d.hosts[0])
			go func() {
				caller.write(http.MethodPost, modelHost, "/full/a", silentRequest, silentPrompt, "body")
				done <- caller.read()
			}()
			first, _ := d.engineOf(nil)
			time.Sleep(prefill + interval + interval/2)
			first.Pause()
			second, _ := d.engineOf(first)
			c.after(first, second)
			a := <-done
			first.Resume()
			second.Resume()
			d.is.Equal(a.status, http.StatusOK)
			d.is.True(!a.truncated)
			d.is.Equal(a.body, events(1, count))
		})
	}
}

// TestUnresumableStreamOutlivesSilence has the engine of a stream that may run at one
// engine only fall silent, before its first event and after two.
func TestUnresumableStreamOutlivesSilence(t *testing.T) {
	const prefill, interval, count = 400 * time.Millisecond, 300 * time.Millisecond, 6
	for _, before := range []time.Duration{prefill / 2, prefill + interval + interval/2} {
		t.Run(before.String(), func(t *testing.T) {
			is := is.New(t)
			d := newSilentEngines(t, 2, count, prefill, interval)
			done := make(chan answer, 1)
			caller := d.client(d.hosts[0])
			go func() {
				caller.write(http.MethodPost, modelHost, "/flag/a", silentRequest, map[string]string{"X-Model": "m1", "X-Token-Usage": "1000,20", "X-Prompt-Prefix": "aa:300", "X-Deadline-Ms": "4900"}, "body")
				done <- caller.read()
			}()
			first, _ := d.engineOf(nil)
			time.Sleep(before)
			first.Pause()
			time.Sleep(2500 * time.Millisecond)
			first.Resume()
			a := <-done
			is.Equal(a.status, http.StatusOK)
			is.True(!a.truncated)
			is.Equal(a.body, events(1, count))
		})
	}
}

// TestKeptConnectionsAmongSilences has callers reuse their connections, some at almost four
// fifths of the limit, while the limits of
// the configuration change and all engines fall silent at once: each request is answered.
func TestKeptConnectionsAmongSilences(t *testing.T) {
	const callers, interval, count = 40, 50 * time.Millisecond, 6
	d := newSilentEngines(t, 3, count, 20*time.Millisecond, interval)
	stop := time.Now().Add(7 * time.Second)
	var mu sync.Mutex
	unanswered, served, refused := 0, 0, map[int]int{}
	var wait sync.WaitGroup
	for i := range callers {
		c := d.client(d.hosts[0])
		wait.Go(func() {
			for n := 0; time.Now().Before(stop); n++ {
				id := fmt.Sprintf("k-%d-%d", i, n)
				switch n % 4 {
				case 0, 1:
					c.write(http.MethodPost, modelHost, []string{"/full/a", "/flag/a"}[n%2], id, longPrompt(fmt.Sprintf("%x:300", i)), "body")
				case 2:
					c.write(http.MethodPost, serviceHost, "/post/a", id, nil, "body")
				default:
					c.write(http.MethodGet, serviceHost, "/read/a", id, nil, "")
				}
				a := c.read()
				mu.Lock()
				switch {
				case a.truncated:
					unanswered++
				case a.status == http.StatusOK:
					served++
				default:
					refused[a.status]++
				}
				mu.Unlock()
				if a.truncated || a.closes {
					c = d.client(d.hosts[0])
				}
				time.Sleep(time.Duration(i%8) * 110 * time.Millisecond)
			}
		})
	}
	for i, idle := range []int{60000, 1000} {
		time.Sleep(1500 * time.Millisecond)
		d.configure(func(c map[string]any) {
			c["limits"].(map[string]any)["idle_timeout_ms"] = idle
			full := c["routes"].([]any)[0].(map[string]any)
			full["target_latency_ms"], full["timeout_ms"] = 500, 20000-i
		})
		time.Sleep(300 * time.Millisecond)
		d.fallSilent(1200 * time.Millisecond)
	}
	wait.Wait()
	t.Logf("%d requests served, refused %v, %d unanswered", served, refused, unanswered)
	d.is.Equal(unanswered, 0)
}
