package peersync_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"storj.io/drpc"

	"github.com/kumquathoist/kumquathoist/peersync"
)

var errRefused = errors.New("connection refused")

// fakeHosts answer by address: "dark" hosts never, "down" hosts with an error.
type fakeHosts struct{}

func (fakeHosts) Conn(_ context.Context, address string) drpc.Conn { return fakeConn{address: address} }

func (fakeHosts) Context(ctx context.Context) context.Context { return ctx }

type fakeConn struct {
	drpc.Conn

	address string
}

func (c fakeConn) Close() error { return nil }

func (c fakeConn) Invoke(ctx context.Context, _ string, _ drpc.Encoding, _, out drpc.Message) error {
	switch c.address {
	case "dark":
		<-ctx.Done()
		return ctx.Err()
	case "down":
		return errRefused
	}
	out.(*peersync.PullReply).Age = time.Second
	return nil
}

// TestPullPassesSilentHosts checks that a pull succeeds whatever host it asks first,
// so that hosts learn of leaving upstreams in time while readers of the store are down.
func TestPullPassesSilentHosts(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	var wait conc.WaitGroup
	defer wait.Wait()
	defer cancel()
	s := peersync.New(ctx, &wait, peersync.Options{
		Pool:    fakeHosts{},
		Readers: func() []string { return []string{"dark", "down"} },
		Others:  func() []string { return []string{"dark", "down", "up"} },
	})
	for range 20 {
		call, cancel := context.WithTimeout(ctx, 10*time.Second)
		reply, err := s.Pull(call, nil)
		cancel()
		is.NoErr(err)
		is.Equal(reply.Age, time.Second)
	}
}
