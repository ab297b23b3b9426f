package main

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/operator"
	"github.com/kumquathoist/kumquathoist/registry"
	"github.com/kumquathoist/kumquathoist/standin"
)

// configurationCommand measures configuration changes by number of hosts. Each
// host is a separate process.
type configurationCommand struct {
	Program string        `required:"" type:"existingfile" help:"The router's program."`
	Hosts   []int         `default:"3,9,30" help:"Numbers of hosts."`
	Changes int           `default:"20" help:"Changes of each row, one after the other."`
	Burst   int           `default:"30" help:"Changes of each row that are sent without a pause."`
	Idle    time.Duration `default:"10s" help:"How long the idle hosts are measured."`
	Cut     bool          `help:"Give the last host a log address that refuses connections."`
}

// pollInterval is the time between two polls of a host and so the resolution
// of the measured times.
const pollInterval = 5 * time.Millisecond

// reportInterval is longer than the interval at which hosts report metrics.
const reportInterval = 2 * time.Second

// Run prints a row for each number of hosts.
func (c *configurationCommand) Run(ctx context.Context) error {
	const header = "HOSTS\tACCEPT P50 MS\tALL P50 MS\tALL MAX MS\tLAST HOST MAX MS\tAPPENDS/CHANGE\tBYTES/RECORD\tSTATES FETCHED\tBURST CHANGES/S\tBURST ALL MS\tIDLE CPU %/HOST\tRSS MB/HOST"
	return measureFleets(ctx, fleetOptions{program: c.Program, hosts: c.Hosts, withoutLog: c.Cut}, header, c.measureRow)
}

// measureRow measures one fleet.
func (c *configurationCommand) measureRow(ctx context.Context, f *fleet) (string, error) {
	m := &editMeasurement{fleet: f}
	// Hosts become ready with their first configuration.
	if err := m.publishAndAwait(ctx); err != nil {
		return "", err
	}
	idle := f.measureIdle(c.Idle)
	m.acceptTimes, m.allHostsTimes, m.lastHostTimes, m.appendsBefore = nil, nil, nil, f.appends(ctx)
	for range c.Changes {
		if err := m.publishAndAwait(ctx); err != nil {
			return "", err
		}
	}
	appends := float64(f.appends(ctx)-m.appendsBefore) / float64(c.Changes)
	rate, delay, err := m.publishBurst(ctx, c.Burst)
	if err != nil {
		return "", err
	}
	time.Sleep(reportInterval)
	return fmt.Sprintf("%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.2f\t%d\t%d\t%.0f\t%.0f\t%.2f\t%.1f", len(f.hosts),
		millis(median(m.acceptTimes)), millis(median(m.allHostsTimes)), millis(slices.Max(m.allHostsTimes)), millis(slices.Max(m.lastHostTimes)),
		appends, m.recordBytes, f.statesFetched(ctx), rate, millis(delay), idle.cpuPercent, idle.residentMB), nil
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func median(values []time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// editMeasurement publishes edits and records how long they take.
type editMeasurement struct {
	*fleet

	revision      int64
	count         int
	recordBytes   int
	appendsBefore int64
	// acceptTimes run from sending an edit to its acceptance; allHostsTimes and
	// lastHostTimes run from there until the edit is applied on every host and on
	// the last host.
	acceptTimes, allHostsTimes, lastHostTimes []time.Duration
}

// publish sends one edit; successive edits go to different hosts.
func (m *editMeasurement) publish(ctx context.Context) error {
	m.count++
	// The body is about as long as a section with ten accounts.
	e := document.Edit{
		ID: uuid.NewString(), Section: document.RoutingSection, Base: m.revision, Author: "measure",
		Body: fmt.Sprintf("# %0900d\nWasteWeight: 0.%d\n", m.count, m.count%10),
	}
	raw, err := document.EncodeEdit(e)
	if err != nil {
		return err
	}
	m.recordBytes = len(raw)
	// The last host may have no connection to the log.
	target := m.hosts[m.count%(len(m.hosts)-1)]
	var result document.EditResult
	if err := target.post(ctx, "/operator/edits", e, &result); err != nil {
		return err
	}
	if !result.Accepted {
		return trace.CompareFailed("the edit was refused: %s", result.Reason)
	}
	m.revision = result.Current
	return nil
}

// publishAndAwait publishes one edit and waits until every host has applied it.
func (m *editMeasurement) publishAndAwait(ctx context.Context) error {
	sent := time.Now()
	if err := m.publish(ctx); err != nil {
		return err
	}
	accepted := time.Now()
	lags := m.awaitAll(ctx, accepted)
	m.acceptTimes = append(m.acceptTimes, accepted.Sub(sent))
	m.allHostsTimes = append(m.allHostsTimes, slices.Max(lags))
	m.lastHostTimes = append(m.lastHostTimes, lags[len(lags)-1])
	return ctx.Err()
}

// publishBurst publishes edits without a pause and returns their rate and the
// time from the last acceptance until every host has applied the last edit.
func (m *editMeasurement) publishBurst(ctx context.Context, count int) (float64, time.Duration, error) {
	begin := time.Now()
	for range count {
		if err := m.publish(ctx); err != nil {
			return 0, 0, err
		}
	}
	end := time.Now()
	lags := m.awaitAll(ctx, end)
	return float64(count) / end.Sub(begin).Seconds(), slices.Max(lags), ctx.Err()
}

// awaitAll waits until every host has applied the newest revision and returns
// how long after since each host did.
func (m *editMeasurement) awaitAll(ctx context.Context, since time.Time) []time.Duration {
	lags := make([]time.Duration, len(m.hosts))
	var wait conc.WaitGroup
	for i, h := range m.hosts {
		wait.Go(func() {
			var answer operator.SectionAnswer
			for answer.Revision < m.revision && ctx.Err() == nil {
				if h.get(ctx, "/operator/sections/"+string(document.RoutingSection), &answer) != nil || answer.Revision < m.revision {
					time.Sleep(pollInterval)
				}
			}
			lags[i] = time.Since(since)
		})
	}
	wait.Wait()
	return lags
}

// start starts the stand-ins and the hosts; withoutLog gives the last host a
// log address that refuses connections.
func (f *fleet) start(ctx context.Context, hosts int, withoutLog bool) error {
	var err error
	if f.log, err = standin.NewLog(ctx, "127.0.0.1:0"); err != nil {
		return err
	}
	if f.list, err = standin.NewHostList(ctx, "127.0.0.1:0"); err != nil {
		return err
	}
	for i := range hosts {
		log := f.log.URL()
		if withoutLog && i == hosts-1 {
			log = "http://127.0.0.1:1"
		}
		h, err := f.startHost(fmt.Sprintf("host-%d", i+1), log, filepath.Join(f.dir, fmt.Sprintf("host-%d.yaml", i+1)))
		if err != nil {
			return err
		}
		f.hosts = append(f.hosts, h)
		f.list.Put(registry.Host{
			Name: h.name, Role: registry.EntryHost, FailureDomain: "domain-1", Region: "region-1",
			State: registry.Live, Callers: h.callers, Peers: h.peers,
		})
	}
	return nil
}
