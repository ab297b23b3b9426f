// Package peersync lets hosts tell each other what they know of the platform's
// store and what they do with engines, over the peers' connections. It keeps
// hosts going that the store turns away.
package peersync

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc"
	"storj.io/drpc"

	"github.com/kumquathoist/kumquathoist/registry"
	"github.com/kumquathoist/kumquathoist/reloader"
	"github.com/kumquathoist/kumquathoist/replica"
)

const (
	// tellTimeout bounds telling one host.
	tellTimeout = time.Second
	// tellMost bounds the hosts that are told at once; the others learn from
	// the store.
	tellMost = 100

	// othersEach is how rarely a host is asked that does not read the store:
	// one in so many times, since the readers may know less than others.
	othersEach = 6

	pullRPC = "/kumquathoist.Relay/Pull"
	tellRPC = "/kumquathoist.Relay/Tell"
)

// plain is the encoding of the messages: JSON, since they hold records of any
// shape and are few.
type plain struct{}

// Marshal implements drpc.Encoding.
func (plain) Marshal(m drpc.Message) ([]byte, error) { return json.Marshal(m) }

// Unmarshal implements drpc.Encoding.
func (plain) Unmarshal(b []byte, m drpc.Message) error { return json.Unmarshal(b, m) }

// PullRequest asks for news.
type PullRequest struct {
	// Positions are what the asker knows of each topic.
	Positions []int64
	// Hosts asks for the hosts that are known, too.
	Hosts bool
}

// PullReply holds news.
type PullReply struct {
	replica.Reply

	// Hosts are the hosts that the answerer knows, if asked for.
	Hosts []registry.Host `json:",omitempty"`
}

// TellReply is empty.
type TellReply struct{}

// Options is what a relay needs.
type Options struct {
	Pool connections
	// Others returns the addresses of other hosts; Seeds those of hosts that
	// may exist, asked when no other is known.
	Others func() []string
	Seeds  []string
	// Prefer returns those of the others that read the store.
	Prefer func() []string
	// Answer and Hosts tell what this host knows.
	Answer func(positions []int64) replica.Reply
	Hosts  func() []registry.Host
	// Heard takes a notice of another host.
	Heard func(reloader.Update)
}

// connections gives connections to other hosts.
type connections interface {
	Conn(ctx context.Context, address string) drpc.Conn
	Context(ctx context.Context) context.Context
}

// Relay is one host's end.
type Relay struct {
	Options

	ctx  context.Context
	wait *conc.WaitGroup
	// mu guards learnt, the hosts that others told of.
	mu     sync.Mutex
	learnt []registry.Host
}

// New returns a relay whose calls end with the context.
func New(ctx context.Context, wait *conc.WaitGroup, o Options) *Relay {
	return &Relay{Options: o, ctx: ctx, wait: wait}
}

// Register adds the service to a mux.
func Register(mux drpc.Mux, r *Relay) error {
	return trace.Wrap(mux.Register(server{r}, description{}), "registering the relay service")
}

// Pull asks another host, chosen at random, for what it knows beyond the
// positions.
func (r *Relay) Pull(ctx context.Context, positions []int64) (replica.Reply, error) {
	addresses := r.Prefer()
	if len(addresses) == 0 || rand.IntN(othersEach) == 0 {
		addresses = r.Others()
	}
	unknown := len(addresses) == 0
	if unknown {
		addresses = r.Seeds
	}
	if len(addresses) == 0 {
		return replica.Reply{}, trace.NotFound("no other host is known")
	}
	var reply PullReply
	err := r.call(ctx, addresses[rand.IntN(len(addresses))], pullRPC, &PullRequest{positions, unknown}, &reply)
	if err != nil {
		return replica.Reply{}, err
	}
	if unknown {
		r.mu.Lock()
		r.learnt = reply.Hosts
		r.mu.Unlock()
	}
	return reply.Reply, nil
}

// Learnt returns the hosts that another host knew of last.
func (r *Relay) Learnt() []registry.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.learnt)
}

// Tell sends a notice to the other hosts without waiting for them.
func (r *Relay) Tell(n reloader.Update) {
	others := r.Others()
	for _, address := range others[:min(len(others), tellMost)] {
		r.wait.Go(func() {
			ctx, cancel := context.WithTimeout(r.ctx, tellTimeout)
			defer cancel()
			// A host that is not reached learns from the engines' answers.
			_ = r.call(ctx, address, tellRPC, &n, &TellReply{})
		})
	}
}

// call makes one call to the host at an address.
func (r *Relay) call(ctx context.Context, address, rpc string, in, out drpc.Message) error {
	conn := r.Pool.Conn(ctx, address)
	defer func() { _ = conn.Close() }()
	return trace.Wrap(conn.Invoke(r.Pool.Context(ctx), rpc, plain{}, in, out), "calling %s", address)
}

// server answers other hosts.
type server struct{ relay *Relay }

// Pull returns what this host knows.
func (s server) Pull(_ context.Context, in *PullRequest) (*PullReply, error) {
	reply := &PullReply{Reply: s.relay.Answer(in.Positions)}
	if in.Hosts {
		reply.Hosts = s.relay.Hosts()
	}
	return reply, nil
}

// Tell takes a notice.
func (s server) Tell(_ context.Context, in *reloader.Update) (*TellReply, error) {
	s.relay.Heard(*in)
	return &TellReply{}, nil
}

// description names the methods for drpc.
type description struct{}

// NumMethods implements drpc.Description.
func (description) NumMethods() int { return 2 }

// Method implements drpc.Description.
func (description) Method(n int) (string, drpc.Encoding, drpc.Receiver, interface{}, bool) {
	switch n {
	case 0:
		return pullRPC, plain{}, func(srv interface{}, ctx context.Context, in, _ interface{}) (drpc.Message, error) {
			return srv.(server).Pull(ctx, in.(*PullRequest))
		}, server.Pull, true
	case 1:
		return tellRPC, plain{}, func(srv interface{}, ctx context.Context, in, _ interface{}) (drpc.Message, error) {
			return srv.(server).Tell(ctx, in.(*reloader.Update))
		}, server.Tell, true
	}
	return "", nil, nil, nil, false
}
