package peersync_test

import (
	"context"
	"fmt"
	"reflect"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"storj.io/drpc"

	"github.com/kumquathoist/kumquathoist/peersync"
	"github.com/kumquathoist/kumquathoist/reloader"
)

// mesh delivers calls between the hosts of a test.
type mesh struct {
	mu       sync.Mutex
	services map[string]*service
}

// service is what one host has registered.
type service struct {
	server      interface{}
	description drpc.Description
}

// Register implements drpc.Mux.
func (s *service) Register(server interface{}, d drpc.Description) error {
	s.server, s.description = server, d
	return nil
}

func (m *mesh) Conn(_ context.Context, address string) drpc.Conn {
	return meshConn{mesh: m, address: address}
}

func (m *mesh) Context(ctx context.Context) context.Context { return ctx }

type meshConn struct {
	drpc.Conn

	mesh    *mesh
	address string
}

func (c meshConn) Close() error { return nil }

func (c meshConn) Invoke(ctx context.Context, rpc string, e drpc.Encoding, in, out drpc.Message) error {
	c.mesh.mu.Lock()
	s, ok := c.mesh.services[c.address]
	c.mesh.mu.Unlock()
	if !ok {
		return errRefused
	}
	for i := range s.description.NumMethods() {
		name, _, receiver, method, _ := s.description.Method(i)
		if name != rpc {
			continue
		}
		received := reflect.New(reflect.TypeOf(method).In(2).Elem()).Interface()
		raw, err := e.Marshal(in)
		if err != nil {
			return err
		}
		if err := e.Unmarshal(raw, received); err != nil {
			return err
		}
		_, err = receiver(s.server, ctx, received, nil)
		return err
	}
	return errRefused
}

// TestTellReachesAllHosts tells 300 hosts of a load, a tenth of which are down. Each of
// the others must hear of it once, and the sender must not call them all itself.
func TestTellReachesAllHosts(t *testing.T) {
	is := is.New(t)
	const hosts = 300
	ctx, cancel := context.WithCancel(context.Background())
	var wait conc.WaitGroup
	m := &mesh{services: map[string]*service{}}
	var addresses []string
	for i := range hosts {
		addresses = append(addresses, fmt.Sprint("host-", i))
	}
	var mu sync.Mutex
	heard := map[string]int{}
	start := func(address string, others []string) *peersync.Syncer {
		s := peersync.New(ctx, &wait, peersync.Options{Pool: m, Others: func() []string { return others }, ReceiveUpdate: func(u reloader.Update) {
			mu.Lock()
			defer mu.Unlock()
			heard[address]++
			is.Equal(u.Loading["engine"], int64(2))
		}})
		registered := &service{}
		is.NoErr(peersync.Register(registered, s))
		m.services[address] = registered
		return s
	}
	for i, address := range addresses {
		if i%10 != 3 {
			start(address, nil)
		}
	}
	sender := start("sender", addresses)
	sender.Tell(reloader.Update{Loading: map[string]int64{"engine": 2}})
	wait.Wait()
	cancel()
	is.Equal(len(heard), hosts-hosts/10)
	for _, times := range heard {
		is.Equal(times, 1)
	}
}
