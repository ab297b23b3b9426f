// Package claimlog agrees on claims through the platform's log.
//
// Keys are spread over a fixed number of streams. One host keeps each stream:
// it folds it and appends for all others, so that the number of appends
// depends neither on the number of hosts nor on that of requests. Which host
// that is needs no agreement: any host may append to any stream, and the
// log's order decides.
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
	// keeperTimeout bounds the wait for the host that keeps a stream.
	keeperTimeout = 1500 * time.Millisecond
	// answerWait bounds the wait for the answer of the attempt that runs.
	answerWait = 5 * time.Second
	// answerInterval is the time between two looks for that answer.
	answerInterval = 200 * time.Millisecond
)

// directory knows the entry hosts.
type directory interface {
	Entries() []registry.Host
}

// peers connects to other hosts.
type peers interface {
	Conn(ctx context.Context, address string) drpc.Conn
	Context(ctx context.Context) context.Context
}

// Options is what claims need.
type Options struct {
	// Host is the name of this host.
	Host      string
	Log       stream
	Directory directory
	Peers     peers
}

// Claims agrees on claims, as a client of the hosts that keep the streams
// and as one of them.
type Claims struct {
	Options

	// keepers read their streams only once they are asked.
	keepers [Streams]*keeper
}

// New returns claims that end with the context.
func New(ctx context.Context, wait *conc.WaitGroup, o Options) *Claims {
	c := &Claims{Options: o}
	for stream := range c.keepers {
		c.keepers[stream] = newKeeper(ctx, wait, o.Log, streamName(stream))
	}
	return c
}

// streamOf returns the stream of a key.
func streamOf(r claim.Record) int {
	return int(xxhash.Sum64String(r.Account+"\x00"+r.Key) % Streams)
}

// streamName returns the log's name of a stream.
func streamName(stream int) string { return fmt.Sprintf("claims-%d", stream) }

// Take claims a key for an attempt. While another attempt runs, it waits for
// that one's answer for a while. After trace.LimitExceeded the claim is not
// on the log; after any other error it may be, and is to be abandoned.
func (c *Claims) Take(ctx context.Context, r claim.Record) (claim.Standing, claim.Entry, error) {
	s, e, err := c.ask(ctx, r, peerpb.DRPCClaimsClient.Take, (*keeper).take)
	deadline := time.Now().Add(answerWait)
	for err == nil && s == claim.Running && time.Now().Before(deadline) {
		if !pause(ctx, answerInterval) {
			return s, e, nil
		}
		s, e, err = c.Look(ctx, r)
	}
	return s, e, err
}

// Look tells where a key stands and claims nothing.
func (c *Claims) Look(ctx context.Context, r claim.Record) (claim.Standing, claim.Entry, error) {
	return c.ask(ctx, r, peerpb.DRPCClaimsClient.Look, (*keeper).look)
}

// End records how an attempt ended. After an error the record may still be
// appended later.
func (c *Claims) End(ctx context.Context, r claim.Record) error {
	_, _, err := c.ask(ctx, r, peerpb.DRPCClaimsClient.End, (*keeper).take)
	return err
}

// Abandon records, once the log answers, that an attempt never ran and never
// will. It does not wait.
func (c *Claims) Abandon(r claim.Record) {
	if _, err := c.keepers[streamOf(r)].enqueue(r.WithRelease()); err != nil {
		event.ClaimFailed.Error(err, "Attempt", r.Attempt, "Kind", claim.Release)
	}
}

// remote and local are the two ways to ask for a stream.
type (
	remote func(peerpb.DRPCClaimsClient, context.Context, *peerpb.ClaimRequest) (*peerpb.ClaimReply, error)
	local  func(*keeper, context.Context, claim.Record) (claim.Standing, claim.Entry, error)
)

// ask asks the host that keeps the key's stream; when it does not confirm,
// this host does the work itself with the same attempt, which is safe since
// folding is idempotent.
func (c *Claims) ask(ctx context.Context, r claim.Record, far remote, near local) (claim.Standing, claim.Entry, error) {
	stream := streamOf(r)
	var unsure error
	if owner, ok := c.owner(stream); ok && owner.Name != c.Host {
		s, e, err := c.askPeer(ctx, owner.Peers, stream, r, far)
		if err == nil {
			return s, e, nil
		}
		if !trace.IsLimitExceeded(err) {
			unsure = err
		}
	}
	s, e, err := near(c.keepers[stream], ctx, r)
	if err != nil && unsure != nil {
		return s, e, unsure
	}
	return s, e, err
}

// owner returns the host that keeps a stream, as this host sees it.
func (c *Claims) owner(stream int) (registry.Host, bool) {
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

// askPeer asks another host.
func (c *Claims) askPeer(ctx context.Context, address string, stream int, r claim.Record, far remote) (claim.Standing, claim.Entry, error) {
	raw, err := claim.EncodeBatch([]claim.Record{r})
	if err != nil {
		return claim.Free, claim.Entry{}, err
	}
	ctx, cancel := context.WithTimeout(c.Peers.Context(ctx), keeperTimeout)
	defer cancel()
	client := peerpb.NewDRPCClaimsClient(c.Peers.Conn(ctx, address))
	reply, err := far(client, ctx, &peerpb.ClaimRequest{Stream: int32(stream), Record: raw})
	if err != nil {
		return claim.Free, claim.Entry{}, trace.ConnectionProblem(err, "asking peer %s", address)
	}
	if !reply.GetConfirmed() && !reply.GetUnsure() {
		return claim.Free, claim.Entry{}, trace.LimitExceeded("peer %s refused", address)
	}
	if !reply.GetConfirmed() {
		return claim.Free, claim.Entry{}, trace.ConnectionProblem(nil, "peer %s did not confirm", address)
	}
	return claim.Standing(reply.GetStanding()), claim.Entry{
		Finished: claim.Standing(reply.GetStanding()) == claim.Finished, Status: int(reply.GetStatus()),
		ContentType: reply.GetContentType(), Body: reply.GetBody(), Omitted: reply.GetOmitted(),
	}, nil
}
