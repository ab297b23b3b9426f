package crash_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/crash"
	"github.com/kumquathoist/kumquathoist/peer"
	"github.com/kumquathoist/kumquathoist/quarantine"
	"github.com/kumquathoist/kumquathoist/request"
)

// startGuards starts guards that share records over drpc.
func startGuards(t testing.TB, count int) []*crash.Guard {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	var wait conc.WaitGroup
	pool := peer.NewPool(peer.Credentials{Secret: "secret"})
	t.Cleanup(func() {
		cancel()
		pool.Close()
		wait.Wait()
	})
	var servers []*peer.Server
	for range count {
		server, err := peer.NewServer("127.0.0.1:0", peer.Credentials{Secret: "secret"})
		is.NoErr(err)
		servers = append(servers, server)
	}
	var guards []*crash.Guard
	for _, server := range servers {
		others := func() []string {
			var addresses []string
			for _, other := range servers {
				if other != server {
					addresses = append(addresses, other.Address())
				}
			}
			return addresses
		}
		guard := crash.NewGuard(ctx, &wait, crash.Options{Self: server.Address(), Peers: others, Sender: crash.NewPeerSender(pool)})
		is.NoErr(crash.Register(server, guard))
		wait.Go(func() { _ = server.Serve(ctx) })
		guards = append(guards, guard)
	}
	return guards
}

// TestShared records one loss on each of two hosts and expects a third host to
// quarantine the request.
func TestShared(t *testing.T) {
	is := is.New(t)
	guards := startGuards(t, 3)
	is.True(!guards[0].Lost(quarantine.Loss{Content: quarantine.Content{Request: "crasher"}, Attempt: "attempt-1", Engine: "engine-1", Sent: time.Now()}))
	for !guards[1].Lost(quarantine.Loss{Content: quarantine.Content{Request: "crasher"}, Attempt: "attempt-2", Engine: "engine-2", Sent: time.Now()}) {
		time.Sleep(10 * time.Millisecond)
	}
	ctx := context.Background()
	for {
		release, refused := guards[2].Admit(ctx, "attempt", quarantine.Content{Request: "crasher"})
		if refused != nil {
			is.Equal(refused.Code, request.Quarantined)
			is.Equal(refused.Outcome, request.NotRun)
			break
		}
		release()
		time.Sleep(10 * time.Millisecond)
	}
	release, refused := guards[2].Admit(ctx, "attempt", quarantine.Content{Request: "innocent"})
	is.Equal(refused, nil)
	release()
}

// TestTrial expects a second request with the fingerprint of a running suspect
// to wait until the first was answered.
func TestTrial(t *testing.T) {
	is := is.New(t)
	guard := startGuards(t, 1)[0]
	guard.Lost(quarantine.Loss{Content: quarantine.Content{Request: "suspect"}, Attempt: "attempt-1", Engine: "engine-1", Sent: time.Now()})
	ctx, cancel := context.WithCancel(context.Background())
	release, refused := guard.Admit(ctx, "attempt", quarantine.Content{Request: "suspect"})
	is.Equal(refused, nil)
	cancelled, cancelAdmit := context.WithCancel(ctx)
	cancelAdmit()
	_, refused = guard.Admit(cancelled, "attempt", quarantine.Content{Request: "suspect"})
	is.Equal(refused.Outcome, request.NotRun)
	admitted := make(chan *request.Failure)
	go func() {
		_, refused := guard.Admit(ctx, "attempt", quarantine.Content{Request: "suspect"})
		admitted <- refused
	}()
	guard.Answered("attempt-2", quarantine.Content{Request: "suspect"})
	release()
	is.Equal(<-admitted, nil)
	cancel()
}

// BenchmarkShare measures the time from the second lost engine until each of nine
// hosts refuses the request.
func BenchmarkShare(b *testing.B) {
	ctx := context.Background()
	for range b.N {
		b.StopTimer()
		guards := startGuards(b, 9)
		guards[0].Lost(quarantine.Loss{Content: quarantine.Content{Request: "crasher"}, Attempt: "attempt-1", Engine: "engine-1", Sent: time.Now()})
		b.StartTimer()
		guards[0].Lost(quarantine.Loss{Content: quarantine.Content{Request: "crasher"}, Attempt: "attempt-2", Engine: "engine-2", Sent: time.Now()})
		for _, guard := range guards {
			for refused := false; !refused; {
				release, failure := guard.Admit(ctx, "attempt", quarantine.Content{Request: "crasher"})
				if refused = failure != nil; !refused {
					release()
					time.Sleep(time.Millisecond)
				}
			}
		}
	}
}
