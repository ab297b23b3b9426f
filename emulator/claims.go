package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"runtime"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/claim"
	"github.com/kumquathoist/kumquathoist/claimlog"
	"github.com/kumquathoist/kumquathoist/peer"
	"github.com/kumquathoist/kumquathoist/peerpb"
	"github.com/kumquathoist/kumquathoist/registry"
	"github.com/kumquathoist/kumquathoist/standin"
)

// claimsCommand measures the cost of request claims by load and number of hosts.
type claimsCommand struct {
	Hosts   []int         `default:"3,9,30" help:"Numbers of hosts."`
	Rates   []int         `default:"50,150,500,1500" help:"Requests a second that may not be repeated."`
	Period  time.Duration `default:"5s" help:"How long each row runs."`
	Warmup  time.Duration `default:"1s" help:"How long a row runs before it counts."`
	Answers int           `default:"200" help:"Bytes of an answer."`
}

// Run prints a row for each number of hosts and request rate.
func (c *claimsCommand) Run(ctx context.Context) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "HOSTS\tREQUESTS/S\tAPPENDS/S\tAPPENDS/REQUEST\tTAKE P50 MS\tTAKE P99 MS\tCPU MS/REQUEST\tHEAP BYTES/KEY\tFAILED")
	for _, hosts := range c.Hosts {
		for _, rate := range c.Rates {
			if err := c.measureRow(ctx, w, hosts, rate); err != nil {
				return err
			}
		}
	}
	return w.Flush()
}

// claimHosts holds hosts that run in one process and share a log.
type claimHosts struct {
	log   *standin.Log
	hosts []*claimlog.Claims
	list  []registry.Host
}

// Entries returns every host.
func (h *claimHosts) Entries() []registry.Host { return h.list }

// newClaimHosts starts hosts that call each other over drpc.
func newClaimHosts(ctx context.Context, wait *conc.WaitGroup, count int) (*claimHosts, error) {
	log, err := standin.NewLog(ctx, "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &claimHosts{log: log}
	secret := peer.Credentials{Secret: "measurement"}
	var servers []*peer.Server
	for i := range count {
		server, err := peer.NewServer("127.0.0.1:0", secret)
		if err != nil {
			return nil, err
		}
		servers = append(servers, server)
		h.list = append(h.list, registry.Host{Name: fmt.Sprintf("host-%d", i), Peers: server.Address()})
	}
	for i, server := range servers {
		claims := claimlog.New(ctx, wait, claimlog.Options{
			Host: h.list[i].Name, Log: registry.NewLog(log.URL()), Directory: h, Peers: peer.NewPool(secret),
		})
		if err := peerpb.DRPCRegisterClaims(server, claimlog.NewServer(claims)); err != nil {
			return nil, err
		}
		wait.Go(func() { _ = server.Serve(ctx) })
		h.hosts = append(h.hosts, claims)
	}
	return h, nil
}

// measureRow runs one load and prints its figures.
func (c *claimsCommand) measureRow(ctx context.Context, w *tabwriter.Writer, hosts, rate int) error {
	ctx, cancel := context.WithCancel(ctx)
	var wait conc.WaitGroup
	defer wait.Wait()
	defer cancel()
	h, err := newClaimHosts(ctx, &wait, hosts)
	if err != nil {
		return err
	}
	c.load(ctx, h, rate, c.Warmup)
	appends, cpu, heap := h.appends(), processorTime(), heapBytes()
	latency, failed := c.load(ctx, h, rate, c.Period)
	appends, cpu, heap = h.appends()-appends, processorTime()-cpu, heapBytes()-heap
	requests := float64(latency.TotalCount())
	fmt.Fprintf(w, "%d\t%d\t%.0f\t%.3f\t%.1f\t%.1f\t%.2f\t%.0f\t%d\n",
		hosts, rate, float64(appends)/c.Period.Seconds(), float64(appends)/requests,
		float64(latency.ValueAtQuantile(50))/1000, float64(latency.ValueAtQuantile(99))/1000,
		cpu.Seconds()*1000/requests, float64(heap)/requests, failed)
	return w.Flush()
}

// load sends claims at a constant rate and returns the latencies of the takes
// in microseconds and the number of failed claims.
func (c *claimsCommand) load(ctx context.Context, h *claimHosts, rate int, period time.Duration) (*hdrhistogram.Histogram, int) {
	latency, failed := hdrhistogram.New(1, 60_000_000, 3), 0
	var mu sync.Mutex
	var wait conc.WaitGroup
	answer := make([]byte, c.Answers)
	start := time.Now()
	for i := range int(float64(rate) * period.Seconds()) {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / time.Duration(rate))))
		wait.Go(func() {
			key := uuid.Must(uuid.NewV7()).String()
			r := claim.Record{Kind: claim.Take, Account: "account", Key: key, Attempt: uuid.NewString(), IssuedMillis: time.Now().UnixMilli()}
			host := h.hosts[i%len(h.hosts)]
			begin := time.Now()
			status, _, err := host.Take(ctx, r)
			elapsed := time.Since(begin)
			if err == nil {
				err = host.End(ctx, r.WithAnswer(http.StatusOK, "application/json", answer))
			}
			mu.Lock()
			defer mu.Unlock()
			_ = latency.RecordValue(elapsed.Microseconds())
			if err != nil || status != claim.Held {
				failed++
			}
		})
	}
	wait.Wait()
	return latency, failed
}

// appends returns the number of appends that the log has accepted.
func (h *claimHosts) appends() int64 {
	resp, err := http.Get(h.log.URL() + "/counts")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var counts struct{ Appends int64 }
	_ = json.NewDecoder(resp.Body).Decode(&counts)
	return counts.Appends
}

// processorTime returns the CPU time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapBytes returns the size of the live heap.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
