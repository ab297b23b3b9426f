package event

// Events 4000 to 4999: the hosts of the system.
var (
	// HostListUnreachable reports that the host list does not answer.
	HostListUnreachable = Event{4001, "host list unreachable", "The host list did not answer; heartbeats between hosts continue."}
	// MemberChanged reports a host that joined, left or failed.
	MemberChanged = Event{4002, "member changed", "The state of a host changed."}
	// OrderSent reports an order that an engine accepted.
	OrderSent = Event{4101, "order sent", "The owner of a pool ordered an engine to load a model, change its role or leave."}
	// OrderFailed reports an order that an engine refused or did not answer.
	OrderFailed = Event{4102, "order failed", "An engine refused an order or did not answer; the owner of the pool checks again and repeats it if needed."}
	// OrderDropped reports an order that was dropped before it was sent.
	OrderDropped = Event{4103, "order dropped", "An order was too old, or its configuration was not confirmed to be the newest; it was not sent."}
)

var membershipEvents = []Event{HostListUnreachable, MemberChanged, OrderSent, OrderFailed, OrderDropped}
