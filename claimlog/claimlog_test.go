package claimlog_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"storj.io/drpc"

	"github.com/kumquathoist/kumquathoist/claim"
	"github.com/kumquathoist/kumquathoist/claimlog"
	"github.com/kumquathoist/kumquathoist/registry"
	"github.com/kumquathoist/kumquathoist/standin"
)

// soleOwner is a directory without entries, so that a host owns every stream.
type soleOwner struct{}

func (soleOwner) Entries() []registry.Host                    { return nil }
func (soleOwner) Conn(context.Context, string) drpc.Conn      { return nil }
func (soleOwner) Context(ctx context.Context) context.Context { return ctx }

func startHosts(t *testing.T, hosts int) (*standin.Log, []*claimlog.Claims) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	wait := &conc.WaitGroup{}
	log, err := standin.NewLog(ctx, "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() {
		cancel()
		wait.Wait()
	})
	var all []*claimlog.Claims
	for i := range hosts {
		all = append(all, claimlog.New(ctx, wait, claimlog.Options{
			Host: fmt.Sprint("host-", i), Log: registry.NewLog(log.URL()), Directory: soleOwner{}, Peers: soleOwner{},
		}))
	}
	return log, all
}

func newClaim(key, attempt string) claim.Record {
	return claim.Record{Kind: claim.Take, Account: "mill", Key: key, Attempt: attempt, IssuedMillis: time.Now().UnixMilli()}
}

// TestAllHostsOwnEveryStream checks that no key is held twice while every host
// acts as the owner of every stream and the log loses answers after appends.
func TestAllHostsOwnEveryStream(t *testing.T) {
	is := is.New(t)
	log, hosts := startHosts(t, 3)
	log.SetFaults(standin.LogFaults{LoseAnswers: 10})
	const keys = 30
	var mu sync.Mutex
	held := map[string]int{}
	var wait conc.WaitGroup
	for k := range keys {
		for h, c := range hosts {
			wait.Go(func() {
				key := fmt.Sprint("key-", k)
				r := newClaim(key, fmt.Sprint(key, "-", h))
				s, _, err := c.Take(context.Background(), r)
				if err != nil || s != claim.Held {
					return
				}
				mu.Lock()
				held[key]++
				mu.Unlock()
				_ = c.End(context.Background(), r.WithAnswer(200, "", []byte("booked")))
			})
		}
	}
	wait.Wait()
	for k := range keys {
		is.True(held[fmt.Sprint("key-", k)] <= 1) // a key is held by at most one attempt
	}
	is.True(len(held) > keys/2)
}

// TestLogDown checks which claims are refused while the log is down, and that an
// abandoned claim leaves the key free once the log answers again.
func TestLogDown(t *testing.T) {
	is := is.New(t)
	log, hosts := startHosts(t, 2)
	ctx := context.Background()
	log.SetFaults(standin.LogFaults{Down: true})
	first := newClaim("k", "one")
	_, _, err := hosts[0].Take(ctx, first)
	is.True(trace.IsConnectionProblem(err)) // the claim may be on the log
	hosts[0].Abandon(first)
	_, _, err = hosts[0].Take(ctx, newClaim("k", "two"))
	is.True(trace.IsLimitExceeded(err)) // refused immediately, so certainly not on the log
	log.SetFaults(standin.LogFaults{})
	status, _, err := hosts[1].Take(ctx, newClaim("k", "three"))
	is.NoErr(err)
	is.Equal(status, claim.Held)
}

// TestAnswerIsShared checks that a repeat at another host gets the first
// attempt's answer, also if the repeat came while the first was running.
func TestAnswerIsShared(t *testing.T) {
	is := is.New(t)
	_, hosts := startHosts(t, 2)
	ctx := context.Background()
	first := newClaim("k", "one")
	status, _, err := hosts[0].Take(ctx, first)
	is.NoErr(err)
	is.Equal(status, claim.Held)
	var wait conc.WaitGroup
	wait.Go(func() {
		status, e, err := hosts[1].Take(ctx, newClaim("k", "two"))
		is.NoErr(err)
		is.Equal(status, claim.Finished)
		is.Equal(string(e.Body), "booked")
	})
	is.NoErr(hosts[0].End(ctx, first.WithAnswer(200, "text/plain", []byte("booked"))))
	wait.Wait()
	status, _, err = hosts[1].Query(ctx, newClaim("free", "three"))
	is.NoErr(err)
	is.Equal(status, claim.Free)
}
