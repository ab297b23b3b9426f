package event

// Events 1000 to 1999: the life of the daemon's process.
var (
	// Listening reports the addresses that the daemon accepts connections on.
	Listening = Event{1001, "listening", "The daemon accepts connections on the addresses given."}
	// Stopping reports the start of a planned stop.
	Stopping = Event{1002, "stopping", "A planned stop began: the host leaves the address answers and finishes its streams."}
	// Stopped reports the end of a planned stop.
	Stopped = Event{1003, "stopped", "The daemon ended. HandedOver counts requests that were told to go on at another host; Cut counts those that did not take that answer in time."}
	// Ready reports that the host may be used by callers.
	Ready = Event{1004, "ready", "The host has a configuration and serves requests."}
)

var processEvents = []Event{Listening, Stopping, Stopped, Ready}
