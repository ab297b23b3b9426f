package event

// Events 5000 to 5999: engines and routing.
var (
	// EngineUnreachable reports an engine that did not answer a poll of its load.
	EngineUnreachable = Event{5001, "engine unreachable", "An engine did not report its load; it gets no new requests until it does."}
	// EngineRestarted reports a new incarnation of an engine.
	EngineRestarted = Event{5002, "engine restarted", "An engine came back with an empty cache; its cache index is cleared."}
)

var routingEvents = []Event{EngineUnreachable, EngineRestarted}
