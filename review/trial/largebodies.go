package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/kumquathoist/kumquathoist/standin"
)

const (
	// usualUsers is the number of users of a host at a time, and burstFactor that by
	// which burst multiplies them at most.
	usualUsers  = 22
	burstFactor = 1.7
	// bodyBytes is the size of a request: the configuration's max_body_bytes.
	bodyBytes = 4 << 20
	// arrivalTime is the time in which all users come; each stays for 5 s.
	arrivalTime = 2 * time.Second
	// memoryCheckInterval is the time between two checks of the processes' memory.
	memoryCheckInterval = 10 * time.Millisecond
)

// playLargeBodies has many users send the largest requests that the configuration
// allows at the same time. As the platform does, it kills a process that exceeds the
// memory of its machine.
func playLargeBodies(ctx context.Context, t *trial) (bool, error) {
	const engineCount = 4
	engines := make([]*engine, engineCount)
	for i := range engines {
		var err error
		if engines[i], err = newEngine(t, i, 50, 100*time.Millisecond); err != nil {
			return false, err
		}
		defer engines[i].close()
	}
	d, err := newDeployment(t, configuration(3, 15*time.Second, account("mill", false)), engines...)
	if err != nil {
		return false, err
	}
	defer d.close()
	if err := d.startHosts(ctx); err != nil {
		return false, err
	}
	watching, stop := context.WithCancel(ctx)
	defer stop()
	var peaks sync.WaitGroup
	for _, h := range d.hosts {
		peaks.Go(func() { d.watchMemory(watching, h) })
	}
	users := hostCount * usualUsers
	if t.disrupted {
		users = int(float64(users) * burstFactor)
	}
	t.logf("%d users on %d hosts each send a request of %d bytes", users, hostCount, bodyBytes)
	var all sync.WaitGroup
	results := make([]streamResult, users)
	for i := range results {
		if err := sleep(ctx, arrivalTime/time.Duration(users)); err != nil {
			return false, err
		}
		all.Go(func() { results[i] = d.sendDocument(fmt.Sprintf("document-%03d", i), d.hosts[i%hostCount]) })
	}
	all.Wait()
	stop()
	peaks.Wait()
	return d.judgeStreams(engines, results)
}

// sendDocument sends a large request on a kept connection.
func (d *deployment) sendDocument(id string, h *host) streamResult {
	r := streamResult{id: id, host: h.name}
	c, err := d.keptConnection(id, h)
	if err != nil {
		d.logf("%s to %s: %v", id, h.name, err)
		return r
	}
	defer func() { _ = c.Close() }()
	r.kept = true
	document := request(id, "key-mill", 15*time.Second, standin.PlatformPart{ID: "5c" + id[len(id)-3:], Tokens: 400}, standin.PlatformPart{ID: "e4" + id[len(id)-3:], Tokens: 300})
	document.Body = strings.Repeat("x", bodyBytes)
	began := time.Now()
	a, err := c.send(document)
	r.whole = err == nil && a.Status == 200 && a.Whole
	r.cut = !r.whole && (err != nil || a.Status == 200)
	d.logf("%s to %s: %s, after %.1f s", id, h.name, describe(a, err), time.Since(began).Seconds())
	return r
}

// watchMemory kills a host whose process exceeds the memory of its machine.
func (d *deployment) watchMemory(ctx context.Context, h *host) {
	peak, limit := 0, d.memoryMB<<20
	for ctx.Err() == nil {
		used := residentBytes(h.cmd.Process.Pid)
		peak = max(peak, used)
		if used > limit {
			d.logf("%s uses %d MB of %d and is killed", h.name, used>>20, d.memoryMB)
			_ = h.cmd.Process.Signal(syscall.SIGKILL)
			<-h.ended
			return
		}
		_ = sleep(ctx, memoryCheckInterval)
	}
	d.logf("%s used at most %d MB of %d", h.name, peak>>20, d.memoryMB)
}

// residentBytes returns the resident memory of a process, 0 if it has ended.
func residentBytes(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(raw))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize()
}
