package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/kumquathoist/kumquathoist/standin"
)

const (
	// versionTime is the platform's version_ms.
	versionTime = 6 * time.Second
	// freezeTime is how long a host stands still; the site names up to 7.7 s.
	freezeTime = 7700 * time.Millisecond
	// clientPatience is how long a client waits for an event: eight times the pause
	// that the route names.
	clientPatience = 4800 * time.Millisecond
	// requestDeadline is the deadline of requests, and the route's timeout.
	requestDeadline = 15 * time.Second
	// sendPause is the time between two requests, so that hosts know of each other's.
	sendPause = 120 * time.Millisecond
)

// playOldWeights has a request wait at a busy engine when new weights are named, and
// freezes the host that sent it.
func playOldWeights(ctx context.Context, t *trial) (bool, error) {
	const engineCount, frozenHost = 12, 1
	engines := make([]*engine, engineCount)
	for i := range engines {
		var err error
		if engines[i], err = newEngine(t, i, 54, 150*time.Millisecond); err != nil {
			return false, err
		}
		engines[i].slots = 1
		defer engines[i].close()
	}
	d, err := newDeployment(t, configuration(3, requestDeadline, account("mill", false)), engines...)
	if err != nil {
		return false, err
	}
	defer d.close()
	if err := d.startHosts(ctx); err != nil {
		return false, err
	}
	var all sync.WaitGroup
	defer all.Wait()
	for i := range engineCount {
		all.Go(func() { d.sendPatiently(fmt.Sprintf("running-%02d", i), d.hosts[2*(i%2)], requestDeadline) })
		if err := sleep(ctx, sendPause); err != nil {
			return false, err
		}
	}
	all.Go(func() { d.sendPatiently("waiting", d.hosts[frozenHost], clientPatience) })
	if err := sleep(ctx, 300*time.Millisecond); err != nil {
		return false, err
	}
	named := time.Now()
	d.nameWeights(2)
	if err := sleep(ctx, 500*time.Millisecond); err != nil {
		return false, err
	}
	if t.disrupted {
		d.freeze(d.hosts[frozenHost])
	}
	if err := sleep(ctx, 14*time.Second-time.Since(named)); err != nil {
		return false, err
	}
	return t.judgeStarts(engines, named), nil
}

// judgeStarts reports whether a request began on version 1 too long after version 2 was
// named.
func (t *trial) judgeStarts(engines []*engine, named time.Time) (broken bool) {
	for _, e := range engines {
		for _, s := range e.started() {
			late := s.at.Sub(named)
			t.logf("engine %s: request %s began on version %d, %.1f s after version 2 was acknowledged", e.id, s.attempt, s.weights, late.Seconds())
			if s.weights < 2 && late > versionTime {
				t.logf("%s are allowed", versionTime)
				broken = true
			}
		}
	}
	return broken
}

// freeze stops a host, and lets it go on later.
func (d *deployment) freeze(h *host) {
	_ = h.cmd.Process.Signal(syscall.SIGSTOP)
	d.logf("%s stands still for %s", h.name, freezeTime)
	time.AfterFunc(freezeTime, func() {
		_ = h.cmd.Process.Signal(syscall.SIGCONT)
		d.logf("%s goes on", h.name)
	})
}

// sendPatiently sends a request whose client leaves after a time.
func (d *deployment) sendPatiently(id string, h *host, patience time.Duration) {
	c, err := connect(h)
	if err != nil {
		d.logf("%s to %s: %v", id, h.name, err)
		return
	}
	defer func() { _ = c.Close() }()
	r := request(id, "key-mill", requestDeadline, standin.PlatformPart{ID: "5c" + id, Tokens: 400}, standin.PlatformPart{ID: "e4" + id, Tokens: 300})
	d.logf("%s is sent to %s", id, h.name)
	err = c.SetDeadline(time.Now().Add(patience))
	if err == nil {
		err = r.Write(c)
	}
	var a standin.PlatformAnswer
	if err == nil {
		a, err = standin.ReadPlatformAnswer(c.in)
	}
	d.logf("%s to %s: %s", id, h.name, describe(a, err))
}
