package event

// Events 3000 to 3999: the configuration document.
var (
	// RevisionApplied reports that the host applies a newer configuration.
	RevisionApplied = Event{3001, "revision in force", "The host applies the configuration as of the given position."}
	// EditRefused reports an edit that was refused during folding.
	EditRefused = Event{3002, "edit refused", "An edit of a section was refused; the audit trail has the reason."}
	// LogUnreachable reports that the log service does not answer.
	LogUnreachable = Event{3003, "log unreachable", "The log service did not answer; the host continues with the configuration that it has."}
	// LogReachable reports that the log service answers again.
	LogReachable = Event{3004, "log reachable", "The log service answers again after an outage."}
	// FoldHalted reports a record that this version of the program is too old for.
	FoldHalted = Event{3005, "folding halted", "A record needs newer rules than this version of the program has; the host keeps its last configuration. Upgrade the program."}
	// LogTrimmed reports that the log trimmed records that this host needs.
	LogTrimmed = Event{3006, "log trimmed", "The log trimmed records that this host has not read; it queries other hosts and waits for a snapshot."}
	// LogReset reports a log that has fewer records than were read from it.
	LogReset = Event{3007, "log reset", "The log has fewer records than this host has read; the host keeps its configuration. Restore the stream on the log."}
	// SnapshotWritten reports a snapshot that this host appended.
	SnapshotWritten = Event{3008, "snapshot written", "The host appended a snapshot of the configuration, so that the log may trim older records."}
	// SnapshotFailed reports that appending a snapshot failed.
	SnapshotFailed = Event{3009, "snapshot failed", "The log did not answer when a snapshot was appended; the host retries."}
	// StateConflict reports two hosts that folded the same records differently.
	StateConflict = Event{3010, "state conflict", "A snapshot differs from what this host folded up to the same offset. One of the hosts has a fault; compare their versions."}
	// StateFetched reports a configuration that was fetched from another host.
	StateFetched = Event{3011, "state fetched", "The host fetched a newer configuration from another host instead of the log."}
	// StateUnusable reports a configuration of another host that can't be used.
	StateUnusable = Event{3012, "state unusable", "Another host's configuration is damaged or needs newer rules; it is ignored."}
)

var configurationEvents = []Event{
	RevisionApplied, EditRefused, LogUnreachable, LogReachable, FoldHalted, LogTrimmed, LogReset,
	SnapshotWritten, SnapshotFailed, StateConflict, StateFetched, StateUnusable,
}
