package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/kumquathoist/kumquathoist/standin"
)

const (
	// streamEvents events at streamPace make up a sound stream of 12 s.
	streamEvents = 60
	streamPace   = 200 * time.Millisecond
	// slowFactor and slowTime are the largest dose of srv_slow on the site, slowCount
	// of 12 engines its share of 0.16.
	slowFactor = 5.0
	slowTime   = 6500 * time.Millisecond
	slowCount  = 2
	// streamDeadline is how long clients wait, and the route's timeout.
	streamDeadline = 30 * time.Second
	// maxCut is how many requests from kept connections a host may close unanswered.
	maxCut = 3
)

// playLongStreams has clients read streams on kept connections while some engines are
// slow for some seconds, and counts the connections that hosts close in the middle of
// an answer.
func playLongStreams(ctx context.Context, t *trial) (bool, error) {
	const engineCount, clients = 12, 144
	engines := make([]*engine, engineCount)
	for i := range engines {
		var err error
		if engines[i], err = newEngine(t, i, streamEvents, streamPace); err != nil {
			return false, err
		}
		defer engines[i].close()
	}
	d, err := newDeployment(t, configuration(3, streamDeadline, account("mill", false)), engines...)
	if err != nil {
		return false, err
	}
	defer d.close()
	if err := d.startHosts(ctx); err != nil {
		return false, err
	}
	var all sync.WaitGroup
	results := make([]streamResult, clients)
	for i := range results {
		all.Go(func() { results[i] = d.readStream(fmt.Sprintf("stream-%03d", i), d.hosts[i%hostCount]) })
	}
	if err := sleep(ctx, time.Second); err != nil {
		return false, err
	}
	if t.disrupted {
		t.logf("%d of %d engines work %g times as long for %s", slowCount, engineCount, slowFactor, slowTime)
		for _, e := range engines[:slowCount] {
			e.slow(slowFactor)
		}
	}
	if err := sleep(ctx, slowTime); err != nil {
		return false, err
	}
	for _, e := range engines {
		e.slow(1)
	}
	t.logf("all engines are as fast as before")
	all.Wait()
	return t.judgeStreams(d.hosts, results)
}

// streamResult is how a stream on a kept connection ended.
type streamResult struct {
	host  string
	kept  bool
	cut   bool
	whole bool
}

// judgeStreams reports whether a host closed too many kept connections in the middle
// of an answer.
func (t *trial) judgeStreams(hosts []*host, results []streamResult) (bool, error) {
	broken, whole := false, 0
	for _, h := range hosts {
		cut := 0
		for _, r := range results {
			if r.host == h.name && r.kept && r.cut {
				cut++
			}
			if r.host == h.name && r.whole {
				whole++
			}
		}
		t.logf("%s closed %d kept connections without the end of the answer; %d are allowed", h.name, cut, maxCut)
		broken = broken || cut > maxCut
	}
	t.logf("%d of %d streams were complete", whole, len(results))
	if whole == 0 {
		return false, fmt.Errorf("no stream was complete")
	}
	return broken, nil
}

// readStream sends a short request to make the connection a kept one, and then reads
// a whole stream.
func (d *deployment) readStream(id string, h *host) streamResult {
	r := streamResult{host: h.name}
	c, err := connect(h)
	if err != nil {
		d.logf("%s to %s: %v", id, h.name, err)
		return r
	}
	defer func() { _ = c.Close() }()
	// No route matches: the answer of the host itself keeps the connection open.
	warmUp := request(id+"-look", "key-mill", time.Second)
	warmUp.Path = "/none/"
	if a, err := c.send(warmUp); err != nil || !a.Whole || a.Closes {
		d.logf("%s: the connection is not kept: %s", id, describe(a, err))
		return r
	}
	r.kept = true
	began := time.Now()
	a, err := c.send(request(id, "key-mill", streamDeadline, standin.PlatformPart{ID: "5c" + id[len(id)-3:], Tokens: 400}, standin.PlatformPart{ID: "e4" + id[len(id)-3:], Tokens: 300}))
	took := time.Since(began)
	r.whole = err == nil && a.Status == 200 && a.Whole
	r.cut = !r.whole && (err != nil || a.Status == 200) && took < streamDeadline-time.Second
	d.logf("%s to %s: %s, after %.1f s", id, h.name, describe(a, err), took.Seconds())
	return r
}
