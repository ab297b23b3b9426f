package storenode_test

import (
	"bytes"
	"fmt"
	"maps"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/standin"
)

// slowStream is an interval between events at which a stream lasts until a test
// breaks it off.
const slowStream = 700 * time.Millisecond

// newMixedDeployment starts a deployment with engines of two software versions.
func newMixedDeployment(t *testing.T, hosts, enginesOfEach int) *deployment {
	d := newDeployment(t, hosts, 0, 1)
	for i := range 2 * enginesOfEach {
		d.addEngine(fmt.Sprintf("engine-%d", i), fmt.Sprintf("v%d", i%2+1))
	}
	d.awaitEngines(d.engines...)
	return d
}

// addEngine starts an engine of a software version.
func (d *deployment) addEngine(id, software string) *standin.PlatformEngine {
	e, err := standin.NewPlatformEngine(id, "models", "north", "m1")
	d.is.NoErr(err)
	d.t.Cleanup(e.Close)
	e.Software = software
	d.store.Register(e)
	d.engines = append(d.engines, e)
	return e
}

// removeEngines ends engines and removes their entries.
func (d *deployment) removeEngines(software string) {
	for _, e := range d.engines {
		if e.Software == software {
			e.Close()
			d.store.Put("keyed.servers", e.ID, nil)
		}
	}
}

// awaitEngines waits until each host sends requests to engines.
func (d *deployment) awaitEngines(engines ...*standin.PlatformEngine) {
	sent := 0
	for i, h := range d.hosts {
		for _, e := range engines {
			d.await("host sends requests to "+e.ID, func() bool {
				sent++
				id := fmt.Sprintf("probe-%d-%d-%d", i, sent, time.Now().UnixNano())
				d.do(h, http.MethodPost, modelHost, "/full/a", id, longAnswerPrompt(sent), "body")
				return e.Ran()[id] > 0
			})
		}
	}
}

// versionsOf returns the software versions of the engines that ran a request.
func (d *deployment) versionsOf(id string) map[string]bool {
	versions := map[string]bool{}
	for _, e := range d.engines {
		if e.Ran()[id] > 0 {
			versions[e.Software] = true
		}
	}
	return versions
}

// begin begins the streams s0, s1 and so on, and waits until their first events have arrived.
func (d *deployment) begin(count int) {
	for _, e := range d.engines {
		e.Pace(slowStream)
	}
	for i := range count {
		c := d.client(d.hosts[i%len(d.hosts)])
		c.write(http.MethodPost, modelHost, "/full/a", fmt.Sprint("s", i), longAnswerPrompt(i), "body")
		for line := ""; !strings.HasPrefix(line, "id: 1"); {
			var err error
			line, err = c.in.ReadString('\n')
			d.is.NoErr(err)
		}
	}
	for _, e := range d.engines {
		e.Pace(0)
	}
}

// awaitOrigins waits until the store has the origins of the streams that begin began.
func (d *deployment) awaitOrigins(count int) {
	d.await("the store has the origins of streams", func() bool {
		records := string(bytes.Join(d.store.Records("keyed.streams"), nil))
		for i := range count {
			if !strings.Contains(records, fmt.Sprintf("%q", fmt.Sprint("s", i))) {
				return false
			}
		}
		return true
	})
}

// takeUp resumes a stream after its first event.
func (d *deployment) takeUp(h *testHost, began, id string, prompt int) answer {
	headers := map[string]string{"Resumes": began, "Last-Event-Id": "1"}
	for k, v := range longAnswerPrompt(prompt) {
		headers[k] = v
	}
	return d.do(h, http.MethodPost, modelHost, "/full/a", id, headers, "body")
}

// restartHosts kills all hosts and starts as many.
func (d *deployment) restartHosts(meanwhile func()) {
	count := len(d.hosts)
	for _, h := range d.hosts {
		h.kill()
	}
	d.hosts = nil
	meanwhile()
	for i := range count {
		d.awaitReady(d.host(i))
	}
}

// TestBrokenStreamContinuesAtItsSoftware breaks streams off inside their answers.
func TestBrokenStreamContinuesAtItsSoftware(t *testing.T) {
	is := is.New(t)
	d := newMixedDeployment(t, 1, 3)
	for i := range 24 {
		for _, e := range d.engines {
			e.Fail(standin.CutFault, 1)
		}
		id := fmt.Sprint("s", i)
		headers := longAnswerPrompt(i)
		d.do(d.hosts[0], http.MethodPost, modelHost, "/full/a", id, headers, "body")
		is.Equal(len(d.versionsOf(id)), 1) // software versions that wrote the answer
	}
}

// TestTakenUpStreamContinuesAtItsSoftware has callers take streams up at other
// hosts than those that began them.
func TestTakenUpStreamContinuesAtItsSoftware(t *testing.T) {
	const streams = 12
	for _, c := range []struct {
		name string
		// after happens between the break and the take-up.
		after func(d *deployment)
	}{
		{"while their host goes on", func(*deployment) {}},
		{"after all hosts were killed", func(d *deployment) {
			d.awaitOrigins(streams)
			d.restartHosts(func() {})
			d.awaitEngines(d.engines...)
		}},
		{"after the store came back from an older copy", func(d *deployment) {
			d.awaitOrigins(streams)
			d.restore()
			for _, e := range d.engines {
				d.store.Register(e)
			}
			d.configure(nil)
			d.awaitOrigins(streams)
			d.restartHosts(func() {})
			d.awaitEngines(d.engines...)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := newMixedDeployment(t, 2, 3)
			d.restore = d.store.Copy()
			d.begin(streams)
			c.after(d)
			continued := 0
			for i := range streams {
				began, id := fmt.Sprint("s", i), fmt.Sprint("t", i)
				answer := d.takeUp(d.hosts[(i+1)%2], began, id, i)
				for version := range d.versionsOf(id) {
					is.True(d.versionsOf(began)[version]) // the version that began the stream
				}
				if answer.status == http.StatusOK && !answer.truncated {
					continued++
				}
			}
			is.True(2*continued >= streams) // most streams go on
		})
	}
}

// TestStreamOfReplacedSoftwareIsRefused replaces the only software version while
// all hosts are dark.
func TestStreamOfReplacedSoftwareIsRefused(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 2, 3, 0)
	d.await("the versions are recorded", func() bool { return len(d.store.Records("keyed.software")) > 0 })
	d.begin(6)
	d.restartHosts(func() {
		d.removeEngines("v1")
		for i := range 3 {
			d.addEngine(fmt.Sprintf("new-%d", i), "v2")
		}
	})
	d.awaitEngines(d.engines[3:]...)
	for i := range 6 {
		answer := d.takeUp(d.hosts[i%2], fmt.Sprint("s", i), fmt.Sprint("t", i), i)
		is.Equal(answer.status, http.StatusServiceUnavailable)
		is.Equal(d.executions(fmt.Sprint("t", i)), 0)
	}
}

// TestTakeUpWithOneSoftware kills all hosts while one software version serves.
func TestTakeUpWithOneSoftware(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 2, 3, 0)
	d.await("the versions are recorded", func() bool { return len(d.store.Records("keyed.software")) > 0 })
	d.begin(6)
	d.restartHosts(func() {})
	for i := range 6 {
		answer := d.takeUp(d.hosts[i%2], fmt.Sprint("s", i), fmt.Sprint("t", i), i)
		is.Equal(answer.status, http.StatusOK)
		is.True(!answer.truncated)
	}
	is.Equal(len(d.store.Records("keyed.streams")), 0) // nothing is recorded
}

// TestTakenUpStreamStaysAtItsService takes streams of a route that is split between
// two services up at another host.
func TestTakenUpStreamStaysAtItsService(t *testing.T) {
	is := is.New(t)
	const streams = 16
	d := newDeployment(t, 2, 2, 0)
	d.configure(func(config map[string]any) {
		full := config["routes"].([]any)[0].(map[string]any)
		full["weighted_services"] = []any{map[string]any{"service": "models", "weight": 1}, map[string]any{"service": "trial", "weight": 1}}
		services := config["services"].([]any)
		trial := maps.Clone(services[0].(map[string]any))
		trial["name"] = "trial"
		config["services"] = append(services, trial)
	})
	for i := range 2 {
		d.engines = append(d.engines, d.engine(fmt.Sprint("trial-", i), "trial", "m1"))
	}
	d.awaitEngines(d.engines...)
	d.begin(streams)
	servicesOf := func(id string) map[string]bool {
		services := map[string]bool{}
		for _, e := range d.engines {
			if e.Ran()[id] > 0 {
				services[e.Service] = true
			}
		}
		return services
	}
	for i := range streams {
		began, id := fmt.Sprint("s", i), fmt.Sprint("t", i)
		is.Equal(d.takeUp(d.hosts[(i+1)%2], began, id, i).status, http.StatusOK)
		is.Equal(servicesOf(id), servicesOf(began))
	}
}

// TestNewStreamIsNotUnresumable checks that a new stream is not refused like one that
// can't continue while all engines are leaving.
func TestNewStreamIsNotUnresumable(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1, 2, 0)
	for _, e := range d.engines {
		e.Leave()
		d.store.Register(e)
	}
	var refused answer
	d.await("no engine takes requests", func() bool {
		refused = d.do(d.hosts[0], http.MethodPost, modelHost, "/full/a", fmt.Sprint("s", time.Now().UnixNano()), prompt, "body")
		return refused.status != http.StatusOK
	})
	is.True(strings.Contains(refused.body, "NoUpstream"))
	is.Equal(refused.header.Get("Retry-After"), "0.300")
}
