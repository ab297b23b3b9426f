package event

// Events 4000 to 4999: the hosts of the system.
var (
	// HostListUnreachable reports that the host list does not answer.
	HostListUnreachable = Event{4001, "host list unreachable", "The host list did not answer; heartbeats between hosts go on."}
	// MemberChanged reports a host that joined, left or failed.
	MemberChanged = Event{4002, "member changed", "A host of the system changed its state."}
)

var membershipEvents = []Event{HostListUnreachable, MemberChanged}
