// Package peersync exchanges records of the platform's store and reload updates
// between hosts over their peer connections. It serves hosts that can't read the
// store themselves.
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

	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/registry"
	"github.com/kumquathoist/kumquathoist/reloader"
	"github.com/kumquathoist/kumquathoist/replica"
)

const (
	// tellTimeout limits one attempt to send an update to a host, tellAttempts how
	// many are made: the first may be on a silent connection.
	tellTimeout  = time.Second
	tellAttempts = 2
	// maxTellHosts limits the hosts to which a host sends an update itself; those pass
	// it on to the others.
	maxTellHosts = 100

	// On average, one in nonReaderInterval pulls goes to any other host instead of
	// a reader of the store, since other hosts may have newer records than the
	// readers.
	nonReaderInterval = 6

	// maxPullHosts limits the hosts that one pull asks, hedgeDelay is how long it waits
	// for one of them before it asks the next, too: a host answers within some
	// milliseconds. A slower one has askTimeout: a call that is cancelled costs its
	// connection.
	maxPullHosts = 3
	hedgeDelay   = 150 * time.Millisecond
	askTimeout   = time.Second

	pullRPC = "/kumquathoist.Relay/Pull"
	tellRPC = "/kumquathoist.Relay/Tell"
)

// jsonEncoding encodes messages as JSON, since they hold records of any shape and
// are few.
type jsonEncoding struct{}

// Marshal implements drpc.Encoding.
func (jsonEncoding) Marshal(m drpc.Message) ([]byte, error) { return json.Marshal(m) }

// Unmarshal implements drpc.Encoding.
func (jsonEncoding) Unmarshal(b []byte, m drpc.Message) error { return json.Unmarshal(b, m) }

// PullRequest requests records that the requesting host lacks.
type PullRequest struct {
	// Positions are the requesting host's positions by topic.
	Positions []int64
	// Hosts requests the list of known hosts, too.
	Hosts bool
}

// PullReply holds the records after the requested positions.
type PullReply struct {
	replica.Reply

	// Hosts are the hosts known to the replying host, if requested.
	Hosts []registry.Host `json:",omitempty"`
}

// TellReply is empty.
type TellReply struct{}

// Options configures a Syncer.
type Options struct {
	Pool connections
	// Others returns the addresses of other hosts. Seeds are addresses of hosts
	// that may exist, used when no other host is known.
	Others func() []string
	Seeds  []string
	// Readers returns the addresses of the other hosts that read the store.
	Readers func() []string
	// Answer returns the records after the positions, Hosts the known hosts.
	Answer func(positions []int64) replica.Reply
	Hosts  func() []registry.Host
	// ReceiveUpdate is called with each update of another host.
	ReceiveUpdate func(reloader.Update)
}

// connections opens connections to other hosts.
type connections interface {
	Conn(ctx context.Context, address string) drpc.Conn
	Context(ctx context.Context) context.Context
}

// Syncer exchanges records and updates with other hosts.
type Syncer struct {
	Options

	ctx  context.Context
	wait *conc.WaitGroup
	// mu guards learnedHosts, the last list of hosts received from another host.
	mu           sync.Mutex
	learnedHosts []registry.Host
}

// New returns a Syncer whose calls end with the context.
func New(ctx context.Context, wait *conc.WaitGroup, o Options) *Syncer {
	return &Syncer{Options: o, ctx: ctx, wait: wait}
}

// Register adds the service to a mux.
func Register(mux drpc.Mux, s *Syncer) error {
	return trace.Wrap(mux.Register(server{s}, description{}), "registering the peer sync service")
}

// Pull requests the records after the positions from another host, chosen at
// random.
func (s *Syncer) Pull(ctx context.Context, positions []int64) (replica.Reply, error) {
	addresses := s.pullOrder()
	useSeeds := len(addresses) == 0
	if useSeeds {
		addresses = shuffled(s.Seeds)
	}
	if len(addresses) == 0 {
		return replica.Reply{}, trace.NotFound("no other host is known")
	}
	reply, err := s.pullFirst(ctx, addresses[:min(len(addresses), maxPullHosts)], PullRequest{positions, useSeeds})
	if err != nil {
		return replica.Reply{}, err
	}
	if useSeeds {
		s.mu.Lock()
		s.learnedHosts = reply.Hosts
		s.mu.Unlock()
	}
	return reply.Reply, nil
}

// pullOrder returns the addresses of the other hosts in the order in which to ask
// them: mostly readers of the store first.
func (s *Syncer) pullOrder() []string {
	readers, others := shuffled(s.Readers()), shuffled(s.Others())
	if rand.IntN(nonReaderInterval) == 0 {
		return others
	}
	return append(readers, slices.DeleteFunc(others, func(a string) bool { return slices.Contains(readers, a) })...)
}

func shuffled(addresses []string) []string {
	addresses = slices.Clone(addresses)
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses
}

// pullFirst asks hosts in order until one has answered. It asks the next one when one
// fails or doesn't answer soon, since the first may be down or frozen.
func (s *Syncer) pullFirst(ctx context.Context, addresses []string, request PullRequest) (PullReply, error) {
	type result struct {
		reply PullReply
		err   error
	}
	results := make(chan result, len(addresses))
	hedge := time.NewTicker(hedgeDelay)
	defer hedge.Stop()
	asked, failed := 0, 0
	askNext := func() {
		if asked == len(addresses) {
			return
		}
		address := addresses[asked]
		asked++
		s.wait.Go(func() {
			ctx, cancel := context.WithTimeout(s.ctx, askTimeout)
			defer cancel()
			var r result
			r.err = s.call(ctx, address, pullRPC, &request, &r.reply)
			results <- r
		})
	}
	askNext()
	for {
		select {
		case <-ctx.Done():
			return PullReply{}, trace.Wrap(ctx.Err(), "pulling from other hosts")
		case r := <-results:
			if r.err == nil {
				return r.reply, nil
			}
			if failed++; failed == len(addresses) {
				return PullReply{}, r.err
			}
			askNext()
		case <-hedge.C:
			askNext()
		}
	}
}

// LearnedHosts returns the last list of hosts received from another host.
func (s *Syncer) LearnedHosts() []registry.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.learnedHosts)
}

// tellRequest carries an update to a host.
type tellRequest struct {
	reloader.Update

	// Relay holds the addresses of the hosts that the receiver tells in turn. Earlier
	// programs ignore it.
	Relay []string `json:",omitempty"`
}

// Tell sends an update to the other hosts without waiting for them.
func (s *Syncer) Tell(update reloader.Update) {
	others := s.Others()
	direct := min(len(others), maxTellHosts)
	for i, address := range others[:direct] {
		request := tellRequest{Update: update}
		for j := direct + i; j < len(others); j += direct {
			request.Relay = append(request.Relay, others[j])
		}
		s.wait.Go(func() { s.tellHost(address, request) })
	}
}

// tellHost sends an update to one host. An unreachable host learns of the change from
// the engines' answers.
func (s *Syncer) tellHost(address string, request tellRequest) {
	var err error
	for range tellAttempts {
		ctx, cancel := context.WithTimeout(s.ctx, tellTimeout)
		err = s.call(ctx, address, tellRPC, &request, &TellReply{})
		cancel()
		if err == nil || s.ctx.Err() != nil {
			return
		}
	}
	event.UpdateNotSent.Info("Host", address, "Offset", request.Offset, "Reason", event.Line(err))
	s.relay(request)
}

// relay passes an update on to the hosts that it names.
func (s *Syncer) relay(request tellRequest) {
	for _, address := range request.Relay {
		s.wait.Go(func() { s.tellHost(address, tellRequest{Update: request.Update}) })
	}
}

// call makes one call to the host at an address.
func (s *Syncer) call(ctx context.Context, address, rpc string, in, out drpc.Message) error {
	conn := s.Pool.Conn(ctx, address)
	defer func() { _ = conn.Close() }()
	return trace.Wrap(conn.Invoke(s.Pool.Context(ctx), rpc, jsonEncoding{}, in, out), "calling %s", address)
}

// server handles calls of other hosts.
type server struct{ syncer *Syncer }

// Pull returns the records after the requested positions.
func (s server) Pull(_ context.Context, in *PullRequest) (*PullReply, error) {
	reply := &PullReply{Reply: s.syncer.Answer(in.Positions)}
	if in.Hosts {
		reply.Hosts = s.syncer.Hosts()
	}
	return reply, nil
}

// Tell receives an update.
func (s server) Tell(_ context.Context, in *tellRequest) (*TellReply, error) {
	s.syncer.relay(*in)
	s.syncer.ReceiveUpdate(in.Update)
	return &TellReply{}, nil
}

// description describes the RPC methods for drpc.
type description struct{}

// NumMethods implements drpc.Description.
func (description) NumMethods() int { return 2 }

// Method implements drpc.Description.
func (description) Method(n int) (string, drpc.Encoding, drpc.Receiver, interface{}, bool) {
	switch n {
	case 0:
		return pullRPC, jsonEncoding{}, func(srv interface{}, ctx context.Context, in, _ interface{}) (drpc.Message, error) {
			return srv.(server).Pull(ctx, in.(*PullRequest))
		}, server.Pull, true
	case 1:
		return tellRPC, jsonEncoding{}, func(srv interface{}, ctx context.Context, in, _ interface{}) (drpc.Message, error) {
			return srv.(server).Tell(ctx, in.(*tellRequest))
		}, server.Tell, true
	}
	return "", nil, nil, nil, false
}
