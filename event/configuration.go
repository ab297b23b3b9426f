package event

// Events 3000 to 3999: the configuration document.
var (
	// RevisionInForce reports that the host applies a newer configuration.
	RevisionInForce = Event{3001, "revision in force", "The host applies the configuration folded up to the position given."}
	// EditRefused reports an edit that the fold refused.
	EditRefused = Event{3002, "edit refused", "An edit of a section was refused; the audit trail tells why."}
	// LogUnreachable reports that the log service does not answer.
	LogUnreachable = Event{3003, "log unreachable", "The log service did not answer; the host goes on with what it knows."}
)

var configurationEvents = []Event{RevisionInForce, EditRefused, LogUnreachable}
