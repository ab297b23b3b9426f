package crash

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"storj.io/drpc"

	"github.com/kumquathoist/kumquathoist/peerpb"
	"github.com/kumquathoist/kumquathoist/quarantine"
)

// connections provides connections to other hosts.
type connections interface {
	Conn(ctx context.Context, address string) drpc.Conn
	Context(ctx context.Context) context.Context
}

// PeerSender sends records over drpc.
type PeerSender struct{ pool connections }

// NewPeerSender returns a sender that uses the connections of a pool.
func NewPeerSender(pool connections) *PeerSender { return &PeerSender{pool: pool} }

// Send sends records to the host at an address (IP:port).
func (s *PeerSender) Send(ctx context.Context, address string, records []quarantine.Record) error {
	conn := s.pool.Conn(ctx, address)
	defer func() { _ = conn.Close() }()
	_, err := peerpb.NewDRPCQuarantinesClient(conn).Share(s.pool.Context(ctx), &peerpb.ShareRecordsRequest{Records: encode(records, time.Now())})
	return trace.Wrap(err, "sharing crash records with %s", address)
}

// Server receives records from other hosts.
type Server struct{ guard *Guard }

// Register registers a server for the guard with a mux.
func Register(mux drpc.Mux, g *Guard) error {
	return trace.Wrap(peerpb.DRPCRegisterQuarantines(mux, &Server{guard: g}))
}

// Share implements peerpb.DRPCQuarantinesServer.
func (s *Server) Share(_ context.Context, in *peerpb.ShareRecordsRequest) (*peerpb.ShareRecordsReply, error) {
	if len(in.GetRecords()) > maxCallRecords {
		return nil, trace.LimitExceeded("a call may contain at most %d records", maxCallRecords)
	}
	s.guard.Merge(decode(in.GetRecords(), time.Now()))
	return &peerpb.ShareRecordsReply{}, nil
}

// encode converts times to ages, since the clocks of hosts differ.
func encode(records []quarantine.Record, now time.Time) []*peerpb.CrashRecord {
	encoded := make([]*peerpb.CrashRecord, 0, len(records))
	for _, r := range records {
		encoded = append(encoded, &peerpb.CrashRecord{
			Id: r.ID, Fingerprint: string(r.Fingerprint), Engine: r.Engine, Start: r.Incarnation, Answered: r.Answered,
			AgeMillis: max(now.Sub(r.At).Milliseconds(), 0), RanMillis: runTime(r).Milliseconds(), Losses: int32(r.Losses), Sound: r.KnownGood, Account: r.Account, Depth: int32(r.Depth),
		})
	}
	return encoded
}

func decode(records []*peerpb.CrashRecord, now time.Time) []quarantine.Record {
	decoded := make([]quarantine.Record, 0, len(records))
	for _, r := range records {
		age := time.Duration(max(r.GetAgeMillis(), 0)) * time.Millisecond
		at := now.Add(-age)
		decoded = append(decoded, quarantine.Record{
			ID: r.GetId(), Fingerprint: quarantine.Fingerprint(r.GetFingerprint()), Engine: r.GetEngine(), Incarnation: r.GetStart(), Answered: r.GetAnswered(),
			Sent: at.Add(-time.Duration(max(r.GetRanMillis(), 0)) * time.Millisecond), At: at, Losses: int(r.GetLosses()), KnownGood: r.GetSound(), Account: r.GetAccount(), Depth: int(r.GetDepth()),
		})
	}
	return decoded
}

// runTime returns how long a request ran on its engine.
func runTime(r quarantine.Record) time.Duration {
	if r.Sent.IsZero() {
		return 0
	}
	return max(r.At.Sub(r.Sent), 0)
}
