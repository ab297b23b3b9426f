package host

import (
	"github.com/kumquathoist/kumquathoist/membership"
	"github.com/kumquathoist/kumquathoist/peerpb"
)

// encode converts a message to its wire form.
func encode(m membership.Message) *peerpb.Heartbeat {
	h := &peerpb.Heartbeat{
		Sender: encodeRecord(m.Sender), Position: m.Position, Digest: m.Digest, Answer: m.Answer, Final: m.Final,
		Departing: m.Departing,
	}
	for _, r := range m.Records {
		h.Members = append(h.Members, encodeRecord(r))
	}
	return h
}

func encodeRecord(r membership.Record) *peerpb.Member {
	m := &peerpb.Member{Name: r.Name, Incarnation: r.Incarnation, State: int32(r.State), Load: r.Load}
	if i := r.Identity; i.Name != "" {
		m.Identity = &peerpb.Identity{FailureDomain: i.FailureDomain, Region: i.Region, Callers: i.Callers, Peers: i.Peers}
	}
	return m
}

// decode converts a message from its wire form.
func decode(h *peerpb.Heartbeat) membership.Message {
	m := membership.Message{
		Sender: decodeRecord(h.GetSender()), Position: h.GetPosition(), Digest: h.GetDigest(), Answer: h.GetAnswer(), Final: h.GetFinal(),
		Departing: h.GetDeparting(),
	}
	for _, r := range h.GetMembers() {
		m.Records = append(m.Records, decodeRecord(r))
	}
	return m
}

func decodeRecord(m *peerpb.Member) membership.Record {
	r := membership.Record{Name: m.GetName(), Incarnation: m.GetIncarnation(), State: membership.State(m.GetState()), Load: m.GetLoad()}
	if i := m.GetIdentity(); i != nil {
		r.Identity = membership.Identity{
			Name: r.Name, FailureDomain: i.GetFailureDomain(), Region: i.GetRegion(), Callers: i.GetCallers(), Peers: i.GetPeers(),
		}
	}
	return r
}
