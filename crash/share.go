package crash

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"storj.io/drpc"

	"github.com/kumquathoist/kumquathoist/peerpb"
	"github.com/kumquathoist/kumquathoist/quarantine"
)

// connections gives connections to other hosts.
type connections interface {
	Conn(ctx context.Context, address string) drpc.Conn
	Context(ctx context.Context) context.Context
}

// PeerSender sends records over drpc.
type PeerSender struct{ pool connections }

// NewPeerSender returns a sender that uses the connections of a pool.
func NewPeerSender(pool connections) *PeerSender { return &PeerSender{pool: pool} }

// Send hands records to the host at an address (IP:port).
func (s *PeerSender) Send(ctx context.Context, address string, records []quarantine.Record) error {
	conn := s.pool.Conn(ctx, address)
	defer func() { _ = conn.Close() }()
	_, err := peerpb.NewDRPCQuarantinesClient(conn).Share(s.pool.Context(ctx), &peerpb.ShareRecordsRequest{Records: encode(records, time.Now())})
	return trace.Wrap(err, "sharing crash records with %s", address)
}

// Server takes records from other hosts.
type Server struct{ guard *Guard }

// Register adds the service to a mux.
func Register(mux drpc.Mux, g *Guard) error {
	return trace.Wrap(peerpb.DRPCRegisterQuarantines(mux, &Server{guard: g}))
}

// Share implements peerpb.DRPCQuarantinesServer.
func (s *Server) Share(_ context.Context, in *peerpb.ShareRecordsRequest) (*peerpb.ShareRecordsReply, error) {
	if len(in.GetRecords()) > batch {
		return nil, trace.LimitExceeded("a call holds at most %d records", batch)
	}
	s.guard.Merge(decode(in.GetRecords(), time.Now()))
	return &peerpb.ShareRecordsReply{}, nil
}

// encode turns times into ages, since the clocks of hosts differ.
func encode(records []quarantine.Record, now time.Time) []*peerpb.CrashRecord {
	encoded := make([]*peerpb.CrashRecord, 0, len(records))
	for _, r := range records {
		encoded = append(encoded, &peerpb.CrashRecord{
			Id: r.ID, Fingerprint: string(r.Fingerprint), Engine: r.Engine, Start: r.Start, Answered: r.Answered,
			AgeMillis: max(now.Sub(r.At).Milliseconds(), 0), RanMillis: ran(r).Milliseconds(), Losses: int32(r.Losses), Sound: r.Sound,
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
			ID: r.GetId(), Fingerprint: quarantine.Fingerprint(r.GetFingerprint()), Engine: r.GetEngine(), Start: r.GetStart(), Answered: r.GetAnswered(),
			Sent: at.Add(-time.Duration(max(r.GetRanMillis(), 0)) * time.Millisecond), At: at, Losses: int(r.GetLosses()), Sound: r.GetSound(),
		})
	}
	return decoded
}

// ran returns how long a request ran at its engine.
func ran(r quarantine.Record) time.Duration {
	if r.Sent.IsZero() {
		return 0
	}
	return max(r.At.Sub(r.Sent), 0)
}
