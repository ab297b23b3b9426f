package peersync_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"storj.io/drpc"

	"github.com/kumquathoist/kumquathoist/peersync"
	"github.com/kumquathoist/kumquathoist/reloader"
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

// slowHosts answer a first call late; ended receives how its context ended.
type slowHosts struct {
	fakeHosts

	asked *atomic.Int32
	ended chan error
}

func (s slowHosts) Conn(context.Context, string) drpc.Conn { return slowConn{fakeConn{}, s} }

type slowConn struct {
	fakeConn

	hosts slowHosts
}

func (c slowConn) Invoke(ctx context.Context, _ string, _ drpc.Encoding, _, out drpc.Message) error {
	if c.hosts.asked.Add(1) == 1 {
		time.Sleep(250 * time.Millisecond)
		c.hosts.ended <- ctx.Err()
	}
	out.(*peersync.PullReply).Age = time.Second
	return nil
}

// TestPullDoesNotCancelSlowHosts checks that a pull that another host has answered
// leaves the call to a slow one open: a cancelled call costs its connection.
func TestPullDoesNotCancelSlowHosts(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	var wait conc.WaitGroup
	defer wait.Wait()
	defer cancel()
	hosts := slowHosts{asked: &atomic.Int32{}, ended: make(chan error, 1)}
	s := peersync.New(ctx, &wait, peersync.Options{Pool: hosts, Readers: func() []string { return []string{"a", "b"} }, Others: func() []string { return []string{"a", "b"} }})
	call, cancelCall := context.WithTimeout(ctx, 10*time.Second)
	_, err := s.Pull(call, nil)
	cancelCall()
	is.NoErr(err)
	is.NoErr(<-hosts.ended)
}

// silentOnce holds connections to a host the first of which is silent.
type silentOnce struct {
	fakeHosts

	used *atomic.Bool
	told chan struct{}
}

func (s silentOnce) Conn(context.Context, string) drpc.Conn {
	return silentOnceConn{fakeConn{}, s}
}

type silentOnceConn struct {
	fakeConn

	hosts silentOnce
}

func (c silentOnceConn) Invoke(ctx context.Context, _ string, _ drpc.Encoding, _, _ drpc.Message) error {
	if c.hosts.used.CompareAndSwap(false, true) {
		<-ctx.Done()
		return ctx.Err()
	}
	close(c.hosts.told)
	return nil
}

// TestUpdatePassesSilentConnection checks that an update reaches a host although the
// open connection to it has fallen silent.
func TestUpdatePassesSilentConnection(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	var wait conc.WaitGroup
	defer wait.Wait()
	defer cancel()
	hosts := silentOnce{used: &atomic.Bool{}, told: make(chan struct{})}
	s := peersync.New(ctx, &wait, peersync.Options{Pool: hosts, Others: func() []string { return []string{"other"} }})
	s.Tell(reloader.Update{})
	select {
	case <-hosts.told:
	case <-time.After(20 * time.Second):
		is.Fail() // the update arrives
	}
}
