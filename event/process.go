package event

// Events 1000 to 1999: the life of the daemon's process.
var (
	// Listening reports the addresses that the daemon accepts connections on.
	Listening = Event{1001, "listening", "The daemon accepts connections on the given addresses."}
	// Stopping reports the start of a planned stop.
	Stopping = Event{1002, "stopping", "A planned stop began: the host is no longer in address answers and finishes its streams. LateMillis is how long ago the signal may have been sent, as far as the process knows: it may have stood still or have been starting."}
	// Stopped reports the end of a planned stop.
	Stopped = Event{1003, "stopped", "The daemon stopped. HandedOver counts requests whose callers were told to continue at another host; Cut counts those whose callers did not accept that answer in time. On a platform with a store, Cut counts the requests that end with the process, and the fields after it count them by state (event 1011)."}
	// Ready reports that the host is ready for callers.
	Ready = Event{1004, "ready", "The host has a configuration and serves requests."}
	// ProcessPaused reports that the process did not run for a while.
	ProcessPaused = Event{1005, "process paused", "The process or its host was suspended for the given time. Its state may be stale; it refuses no caller and orders no engine until it has refreshed it."}
	// Reloaded reports that the settings were read again.
	Reloaded = Event{1006, "settings reloaded", "The settings were read again after SIGHUP; those that bind addresses take effect at the next start."}
	// ReloadFailed reports settings that can't be used.
	ReloadFailed = Event{1007, "settings not reloaded", "The settings file can't be used; the process continues with its current settings."}
	// LinesDropped reports log lines that were not written.
	LinesDropped = Event{1008, "lines dropped", "Log lines were dropped since the last such line, because their volume exceeded the limit or the output was blocked."}
	// ListenerFailed reports that an address can no longer be served.
	ListenerFailed = Event{1009, "door failed", "Connections on one of the daemon's addresses are no longer accepted."}
	// Starting reports a start; from here on the process handles signals.
	Starting = Event{1010, "starting", "The settings were read, and signals are handled from here on. Until then SIGHUP may end the process."}
	// RequestCut reports a request that ends with the process.
	RequestCut = Event{1011, "request cut", "A request had no whole answer when its host stopped. Millis is how long it has been open, ArrivedMillis when its first byte was read after the stop was requested (negative: before). State: Arriving (a part of it was read), Waiting (at no upstream, no answer yet), Running (at Upstream, no answer yet), Moving (on its way from Upstream to another engine), Streaming (Upstream sends its answer), Interrupted (its answer has begun, and it is at no upstream), Writing (its caller has yet to take the rest of the answer). At most 200 lines are written; event 1003 counts all."}
	// ConnectionDisplaced reports clients whose connections make room for others.
	ConnectionDisplaced = Event{1012, "connection displaced", "All connections of a listener are in use, or the room for answers. Reason tells what became of a connection: Idle (the one idle for longest ended), Standstill (a request that stood still while it arrived was refused), UnreadAnswer (its client does not read an answer, which was cut) or Refused (a new one was refused with 503, since the others are in use). At most one such line a second is written for each listener; Count is the number of connections since the last one, Limit that of the listener."}
	// ConnectionEnded reports connections that this host ends without a whole answer.
	ConnectionEnded = Event{1013, "connection ended", "This host ended a connection on which it had read a request, or a part of one, without a whole answer. Reason is Unread (the request did not arrive whole, or could not be read, and nothing was answered), NoAnswer (it had arrived, and nothing was answered), AnswerBroken (the answer failed after it had begun; event 2106 tells why) or AnswerNotTaken (the caller did not take the answer in time). State is that of event 1011 at that moment, Upstream where the request was sent last, Millis how long the request was open, LeftMillis the time until its deadline (0 if that isn't known). Connections that callers end first have no line; the metric connections_ended_owing counts them, too. At most 20 lines a second are written for each listener; Count is the number of connections since the last one."}
)

var processEvents = []Event{Listening, Stopping, Stopped, Ready, ProcessPaused, Reloaded, ReloadFailed, LinesDropped, ListenerFailed, Starting, RequestCut, ConnectionDisplaced, ConnectionEnded}
