package event

// Events 4000 to 4999: the hosts of the system.
var (
	// HostListUnreachable reports that the host list does not answer.
	HostListUnreachable = Event{4001, "host list unreachable", "The host list did not answer; heartbeats between hosts go on."}
	// MemberChanged reports a host that joined, left or failed.
	MemberChanged = Event{4002, "member changed", "A host of the system changed its state."}
	// OrderSent reports an order that an engine took.
	OrderSent = Event{4101, "order sent", "The keeper of a pool ordered an engine to load, change its role or leave."}
	// OrderFailed reports an order that an engine refused or did not answer.
	OrderFailed = Event{4102, "order failed", "An engine refused an order or did not answer; the keeper looks again and repeats it where needed."}
	// OrderDropped reports an order that was held back before it was sent.
	OrderDropped = Event{4103, "order dropped", "An order was too old, or its configuration was not confirmed to be the newest; it was not sent."}
)

var membershipEvents = []Event{HostListUnreachable, MemberChanged, OrderSent, OrderFailed, OrderDropped}
