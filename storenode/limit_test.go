package storenode_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/standin"
)

const (
	// limitWindow is the time in which an engine may get limitFactor times what
	// its limit allows and limitSlack requests more, from limitLearnTime after it
	// first named the limit.
	limitWindow    = 4 * time.Second
	limitFactor    = 1.5
	limitSlack     = 5
	limitLearnTime = 3 * time.Second
)

// load sends requests of a kind to all hosts in turn, at a rate, until stop is
// called, which returns the number of answers by status.
func (d *deployment) load(host, path string, perSecond int) (stop func() map[int]int) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	statuses, done := map[int]int{}, make(chan struct{})
	hosts := append([]*testHost{}, d.hosts...)
	wait.Add(1)
	go func() {
		defer wait.Done()
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-ticker.C:
			}
			wait.Add(1)
			go func() {
				defer wait.Done()
				id := fmt.Sprintf("load-%d-%d", i, time.Now().UnixNano())
				a := d.do(hosts[i%len(hosts)], http.MethodPost, host, path+id, id, withPart("bb"), id)
				mu.Lock()
				defer mu.Unlock()
				statuses[a.status]++
			}()
		}
	}()
	return func() map[int]int {
		close(done)
		wait.Wait()
		return statuses
	}
}

// mostInWindow returns the most requests that reached an engine within
// limitWindow, from a time on.
func mostInWindow(e *standin.PlatformEngine, from time.Time) int {
	most := 0
	arrivals := e.Arrivals()
	for i, first := range arrivals {
		if first.At.Before(from) {
			continue
		}
		count := 0
		for _, a := range arrivals[i:] {
			if a.At.Sub(first.At) <= limitWindow {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

func allowed(perSecond float64) int {
	return int(limitFactor*perSecond*limitWindow.Seconds()) + limitSlack
}

// TestNamedLimitIsKeptByAllHostsTogether has engines and a service name limits
// that are below, at and above the number of hosts.
func TestNamedLimitIsKeptByAllHostsTogether(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 4, 4, 2)
	stops := []func() map[int]int{d.load(modelHost, "/flag/", 40), d.load(serviceHost, "/post/", 30)}
	time.Sleep(time.Second)
	limits := map[*standin.PlatformEngine]float64{d.engines[0]: 0, d.engines[1]: 0.5, d.engines[2]: 4, d.services[0]: 3}
	named := time.Now()
	for e, perSecond := range limits {
		e.NameLimit(strconv.FormatFloat(perSecond, 'f', -1, 64))
	}
	time.Sleep(limitLearnTime + 2*limitWindow)
	for _, stop := range stops {
		statuses := stop()
		t.Log(statuses)
		is.Equal(len(statuses), 1) // the other upstreams have room
		is.True(statuses[http.StatusOK] > 0)
	}
	for e, perSecond := range limits {
		most := mostInWindow(e, named.Add(limitLearnTime))
		t.Logf("limit %v: at most %d requests in a window, %d allowed", perSecond, most, allowed(perSecond))
		is.True(most <= allowed(perSecond))
	}
}

// TestRequestsBeyondAllLimitsAreRefusedAtOnce has all upstreams of a service name
// limits far below the load.
func TestRequestsBeyondAllLimitsAreRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 2, 0, 2)
	for _, e := range d.services {
		e.NameLimit("2")
	}
	refused, answered := 0, 0
	for i := range 80 {
		a := d.do(d.hosts[i%2], http.MethodPost, serviceHost, "/post/a", fmt.Sprint("r", i), nil, fmt.Sprint(i))
		switch a.status {
		case http.StatusOK:
			answered++
		case http.StatusServiceUnavailable:
			refused++
			seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
			is.NoErr(err)
			is.True(seconds > 0)
			is.Equal(d.arrivals(fmt.Sprint("r", i)), 0) // it did not run
		}
		time.Sleep(25 * time.Millisecond)
	}
	t.Logf("%d answered, %d refused", answered, refused)
	is.Equal(answered+refused, 80)
	is.True(refused > 0)
	is.True(answered > 5)
	for _, e := range d.services {
		e.NameLimit("")
	}
	d.await("the limits end", func() bool {
		for i := range 10 {
			if d.do(d.hosts[i%2], http.MethodPost, serviceHost, "/post/a", fmt.Sprint("e", time.Now().UnixNano()), nil, "body").status != http.StatusOK {
				return false
			}
		}
		return true
	})
}
