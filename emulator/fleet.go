package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/settings"
	"github.com/kumquathoist/kumquathoist/standin"
)

const (
	// fleetSecret authenticates peers and operators of a measured fleet.
	fleetSecret = "measured"
	// ticksPerSecond is the resolution of CPU times in /proc.
	ticksPerSecond = 100
	bytesPerMB     = 1 << 20
)

// fleet is a set of router processes with stand-ins for the platform.
type fleet struct {
	dir, program string
	log          *standin.Log
	list         *standin.HostList
	hosts        []*fleetHost
}

// fleetHost is one router process.
type fleetHost struct {
	name, callers, peers, operators string
	cmd                             *exec.Cmd
}

var listeningAddresses = regexp.MustCompile(`Callers="([^"]+)" Peers="([^"]+)" Operators="([^"]+)"`)

// startHost starts one router and waits until it listens.
func (f *fleet) startHost(name, log, path string) (*fleetHost, error) {
	conf := settings.Default()
	conf.Host = settings.Host{Name: name, FailureDomain: "domain-1", Region: "region-1"}
	conf.Listen = settings.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Operators: "127.0.0.1:0"}
	conf.Platform = settings.Platform{Log: log, HostList: f.list.URL()}
	raw, err := yaml.Marshal(conf)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	cmd := exec.Command(f.program, "run", "--settings", path)
	cmd.Env = append(os.Environ(), "KUMQUATHOIST_PEER_SECRET="+fleetSecret, "KUMQUATHOIST_OPERATOR_SECRET="+fleetSecret)
	output, err := cmd.StdoutPipe()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := cmd.Start(); err != nil {
		return nil, trace.Wrap(err, "starting %s", f.program)
	}
	scanner := bufio.NewScanner(output)
	for scanner.Scan() {
		if m := listeningAddresses.FindStringSubmatch(scanner.Text()); m != nil {
			go func() { _, _ = io.Copy(io.Discard, output) }()
			return &fleetHost{name: name, callers: m[1], peers: m[2], operators: m[3], cmd: cmd}, nil
		}
	}
	return nil, trace.ConnectionProblem(cmd.Wait(), "%s did not listen", name)
}

// stop kills the router processes.
func (f *fleet) stop() {
	for _, h := range f.hosts {
		_ = h.cmd.Process.Kill()
		_ = h.cmd.Wait()
	}
}

func (h *fleetHost) get(ctx context.Context, path string, into any) error {
	return h.call(ctx, http.MethodGet, path, nil, into)
}

func (h *fleetHost) post(ctx context.Context, path string, body, into any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return trace.Wrap(err)
	}
	return h.call(ctx, http.MethodPost, path, raw, into)
}

func (h *fleetHost) call(ctx context.Context, method, path string, body []byte, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.operators+path, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+fleetSecret)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return trace.ConnectionProblem(err, "no answer from %s", h.name)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return trace.ConnectionProblem(err, "%s answered %s: %s", h.name, resp.Status, raw)
	}
	return trace.Wrap(json.Unmarshal(raw, into))
}

// appends returns the number of records that the log has accepted.
func (f *fleet) appends(ctx context.Context) int64 {
	var answer struct{ Appends int64 }
	raw, err := fetch(ctx, f.log.URL()+"/counts")
	if err == nil {
		err = json.Unmarshal(raw, &answer)
	}
	if err != nil {
		return -1
	}
	return answer.Appends
}

// statesFetched returns how many full states the hosts fetched from each other.
func (f *fleet) statesFetched(ctx context.Context) int {
	total := 0.0
	for _, h := range f.hosts {
		raw, err := fetch(ctx, "http://"+h.operators+"/metrics")
		if err != nil {
			return -1
		}
		for line := range strings.Lines(string(raw)) {
			if value, ok := strings.CutPrefix(line, "kumquathoist_configuration_states_fetched "); ok {
				n, _ := strconv.ParseFloat(strings.TrimSpace(value), 64)
				total += n
			}
		}
	}
	return int(total)
}

func fetch(ctx context.Context, url string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "no answer from %s", url)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return raw, trace.Wrap(err)
}

// usage is the resource usage of an idle host.
type usage struct{ cpuPercent, residentMB float64 }

// measureIdle returns the mean usage of the hosts over a period.
func (f *fleet) measureIdle(period time.Duration) usage {
	before := f.cpuTicks()
	time.Sleep(period)
	var pages int
	for _, h := range f.hosts {
		var size, resident int
		raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", h.cmd.Process.Pid))
		_, _ = fmt.Sscan(string(raw), &size, &resident)
		pages += resident
	}
	hosts := float64(len(f.hosts))
	seconds := float64(f.cpuTicks()-before) / ticksPerSecond
	return usage{
		cpuPercent: 100 * seconds / period.Seconds() / hosts,
		residentMB: float64(pages*os.Getpagesize()) / bytesPerMB / hosts,
	}
}

// cpuTicks returns the CPU time of all hosts in ticks.
func (f *fleet) cpuTicks() int {
	total := 0
	for _, h := range f.hosts {
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", h.cmd.Process.Pid))
		fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))
		if err != nil || len(fields) < 13 {
			continue
		}
		user, _ := strconv.Atoi(fields[11])
		system, _ := strconv.Atoi(fields[12])
		total += user + system
	}
	return total
}

// fleetOptions holds the options of a measurement.
type fleetOptions struct {
	program string
	// hosts holds the number of hosts of each fleet.
	hosts []int
	// withoutLog gives the last host a log address that refuses connections.
	withoutLog bool
}

// measureFleets starts a new fleet for each number of hosts, measures it and
// prints its row.
func measureFleets(ctx context.Context, o fleetOptions, header string, measure func(context.Context, *fleet) (string, error)) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, header)
	for _, hosts := range o.hosts {
		row, err := measureFleet(ctx, o, hosts, measure)
		if err != nil {
			return err
		}
		fmt.Fprintln(w, row)
		if err := w.Flush(); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// measureFleet starts a fleet, measures it and stops it.
func measureFleet(ctx context.Context, o fleetOptions, hosts int, measure func(context.Context, *fleet) (string, error)) (string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dir, err := os.MkdirTemp("", "fleet")
	if err != nil {
		return "", trace.ConvertSystemError(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	f := &fleet{dir: dir, program: o.program}
	defer f.stop()
	if err := f.start(ctx, hosts, o.withoutLog); err != nil {
		return "", err
	}
	return measure(ctx, f)
}
