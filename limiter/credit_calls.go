package limiter

import (
	"context"
	"encoding/json"
	"errors"
	"syscall"

	"github.com/gravitational/trace"
	"storj.io/drpc"

	"github.com/kumquathoist/kumquathoist/account"
)

const creditRPC = "/kumquathoist.Credits/Ask"

// errReleased means that a host coordinates no accounts.
var errReleased = errors.New("the host coordinates no accounts")

// CreditRequest delegates a host's part of the limits of a group of accounts to their
// coordinator, and asks for credit.
type CreditRequest struct {
	Group      int
	Delegation account.Delegation
	Asks       []account.Ask `json:",omitempty"`
}

// CreditReply is the coordinator's answer, with a grant for each ask.
type CreditReply struct {
	Stamp account.Stamp
	// Released means that the host coordinates nothing any more.
	Released bool            `json:",omitempty"`
	Grants   []account.Grant `json:",omitempty"`
}

// RegisterCredits adds the service to a mux.
func RegisterCredits(mux drpc.Mux, c *Credits) error {
	return trace.Wrap(mux.Register(creditServer{c}, creditDescription{}), "registering the service for credit")
}

// send makes one call to the host at an address. If the connection ends, it opens another
// one, which tells whether the host's process has ended.
func (c *Credits) send(address string, request CreditRequest) (reply CreditReply, err error) {
	ctx, cancel := context.WithTimeout(c.ctx, askTimeout)
	defer cancel()
	if reply, err = c.invoke(ctx, address, request); err != nil && ctx.Err() == nil && !errors.Is(err, syscall.ECONNREFUSED) {
		reply, err = c.invoke(ctx, address, request)
	}
	return reply, trace.Wrap(err, "asking %s for credit", address)
}

// invoke sends a request over one connection.
func (c *Credits) invoke(ctx context.Context, address string, request CreditRequest) (reply CreditReply, err error) {
	conn := c.Peers.Conn(ctx, address)
	defer func() { _ = conn.Close() }()
	err = conn.Invoke(c.Peers.Context(ctx), creditRPC, creditEncoding{}, &request, &reply)
	return reply, err
}

// creditServer handles calls of other hosts.
type creditServer struct{ credits *Credits }

// Ask answers a request for credit.
func (s creditServer) Ask(_ context.Context, in *CreditRequest) (*CreditReply, error) {
	reply := s.credits.answer(*in)
	return &reply, nil
}

// creditEncoding encodes the few, small messages as JSON.
type creditEncoding struct{}

// Marshal implements drpc.Encoding.
func (creditEncoding) Marshal(m drpc.Message) ([]byte, error) { return json.Marshal(m) }

// Unmarshal implements drpc.Encoding.
func (creditEncoding) Unmarshal(b []byte, m drpc.Message) error { return json.Unmarshal(b, m) }

// creditDescription describes the RPC method for drpc.
type creditDescription struct{}

// NumMethods implements drpc.Description.
func (creditDescription) NumMethods() int { return 1 }

// Method implements drpc.Description.
func (creditDescription) Method(int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	return creditRPC, creditEncoding{}, func(srv any, ctx context.Context, in, _ any) (drpc.Message, error) {
		return srv.(creditServer).Ask(ctx, in.(*CreditRequest))
	}, creditServer.Ask, true
}
