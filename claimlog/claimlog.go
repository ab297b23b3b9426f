// Package claimlog makes hosts agree on claims through the platform's log.
//
// Keys are distributed over a fixed number of streams. One host owns each
// stream: it folds the stream and appends for all other hosts, so that the
// number of appends grows neither with the number of hosts nor with that of
// requests. Hosts need not agree on the owner: any host may append to any
// stream, and the log's order decides.
package claimlog

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc"
	"storj.io/drpc"

	"github.com/kumquathoist/kumquathoist/claim"
	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/peerpb"
	"github.com/kumquathoist/kumquathoist/placement"
	"github.com/kumquathoist/kumquathoist/registry"
)

const (
	// Streams is the number of claim streams.
	Streams = 8
	// peerTimeout bounds a call to the host that owns a stream.
	peerTimeout = 1500 * time.Millisecond
	// answerWait bounds the wait for the answer of the attempt that runs.
	answerWait = 5 * time.Second
	// pollInterval is the time between two queries for that answer.
	pollInterval = 200 * time.Millisecond
)

// directory lists the entry hosts.
type directory interface {
	Entries() []registry.Host
}

// peers connects to other hosts.
type peers interface {
	Conn(ctx context.Context, address string) drpc.Conn
	Context(ctx context.Context) context.Context
}

// Options holds the dependencies of Claims.
type Options struct {
	// Host is the name of this host.
	Host      string
	Log       logService
	Directory directory
	Peers     peers
}

// Claims is a client of the hosts that own the streams, and serves the streams
// that this host owns.
type Claims struct {
	Options

	// owners read their streams only once they are used.
	owners [Streams]*streamOwner
}

// New returns a client whose streams are served until the context ends.
func New(ctx context.Context, wait *conc.WaitGroup, o Options) *Claims {
	c := &Claims{Options: o}
	for stream := range c.owners {
		c.owners[stream] = newStreamOwner(ctx, wait, o.Log, streamName(stream))
	}
	return c
}

// streamOf returns the stream of a key.
func streamOf(r claim.Record) int {
	return int(xxhash.Sum64String(r.Account+"\x00"+r.Key) % Streams)
}

// streamName returns the name of a stream on the log.
func streamName(stream int) string { return fmt.Sprintf("claims-%d", stream) }

// Take claims a key for an attempt. While another attempt runs, it waits up to
// answerWait for that attempt's answer. After trace.LimitExceeded the claim is
// not on the log; after any other error it may be, and must be abandoned.
func (c *Claims) Take(ctx context.Context, r claim.Record) (claim.Status, claim.Entry, error) {
	s, e, err := c.call(ctx, r, peerpb.DRPCClaimsClient.Take, (*streamOwner).submit)
	deadline := time.Now().Add(answerWait)
	for err == nil && s == claim.Running && time.Now().Before(deadline) {
		if !sleep(ctx, pollInterval) {
			return s, e, nil
		}
		s, e, err = c.Query(ctx, r)
	}
	return s, e, err
}

// Query returns the status of a key without claiming it.
func (c *Claims) Query(ctx context.Context, r claim.Record) (claim.Status, claim.Entry, error) {
	return c.call(ctx, r, peerpb.DRPCClaimsClient.Look, (*streamOwner).query)
}

// End records how an attempt ended. After an error the record may still be
// appended later.
func (c *Claims) End(ctx context.Context, r claim.Record) error {
	_, _, err := c.call(ctx, r, peerpb.DRPCClaimsClient.End, (*streamOwner).submit)
	return err
}

// Abandon queues a record that an attempt never ran and never will; it is
// appended once the log answers. Abandon does not wait.
func (c *Claims) Abandon(r claim.Record) {
	if _, err := c.owners[streamOf(r)].enqueue(r.WithRelease()); err != nil {
		event.ClaimFailed.Error(err, "Attempt", r.Attempt, "Kind", claim.Release)
	}
}

// peerCall and localCall are an operation on a stream at another host and on
// this host.
type (
	peerCall  func(peerpb.DRPCClaimsClient, context.Context, *peerpb.ClaimRequest) (*peerpb.ClaimReply, error)
	localCall func(*streamOwner, context.Context, claim.Record) (claim.Status, claim.Entry, error)
)

// call calls the host that owns the key's stream. If that host does not confirm,
// this host performs the operation itself with the same attempt, which is safe
// because folding is idempotent.
func (c *Claims) call(ctx context.Context, r claim.Record, callRemote peerCall, callHere localCall) (claim.Status, claim.Entry, error) {
	stream := streamOf(r)
	var peerErr error
	if owner, ok := c.ownerHost(stream); ok && owner.Name != c.Host {
		s, e, err := c.callPeer(ctx, owner.Peers, stream, r, callRemote)
		if err == nil {
			return s, e, nil
		}
		if !trace.IsLimitExceeded(err) {
			peerErr = err
		}
	}
	s, e, err := callHere(c.owners[stream], ctx, r)
	if err != nil && peerErr != nil {
		return s, e, peerErr
	}
	return s, e, err
}

// ownerHost returns the host that owns a stream according to this host's
// directory.
func (c *Claims) ownerHost(stream int) (registry.Host, bool) {
	hosts := c.Directory.Entries()
	names := make([]string, len(hosts))
	for i, h := range hosts {
		names[i] = h.Name
	}
	name := placement.Owner(streamName(stream), names)
	for _, h := range hosts {
		if h.Name == name {
			return h, true
		}
	}
	return registry.Host{}, false
}

// callPeer performs an operation at another host.
func (c *Claims) callPeer(ctx context.Context, address string, stream int, r claim.Record, callRemote peerCall) (claim.Status, claim.Entry, error) {
	raw, err := claim.EncodeBatch([]claim.Record{r})
	if err != nil {
		return claim.Free, claim.Entry{}, err
	}
	ctx, cancel := context.WithTimeout(c.Peers.Context(ctx), peerTimeout)
	defer cancel()
	client := peerpb.NewDRPCClaimsClient(c.Peers.Conn(ctx, address))
	reply, err := callRemote(client, ctx, &peerpb.ClaimRequest{Stream: int32(stream), Record: raw})
	if err != nil {
		return claim.Free, claim.Entry{}, trace.ConnectionProblem(err, "calling peer %s", address)
	}
	if !reply.GetConfirmed() && !reply.GetUnsure() {
		return claim.Free, claim.Entry{}, trace.LimitExceeded("peer %s refused the request", address)
	}
	if !reply.GetConfirmed() {
		return claim.Free, claim.Entry{}, trace.ConnectionProblem(nil, "peer %s did not confirm", address)
	}
	return claim.Status(reply.GetStanding()), claim.Entry{
		Finished: claim.Status(reply.GetStanding()) == claim.Finished, Status: int(reply.GetStatus()),
		ContentType: reply.GetContentType(), Body: reply.GetBody(), Omitted: reply.GetOmitted(),
	}, nil
}
