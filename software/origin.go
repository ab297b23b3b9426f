package software

// Origin is what began a stream.
type Origin struct {
	// Version is the software version that began it, if Known is set.
	Version string
	Known   bool
	Source  Source
}

// Source is how the origin of a stream is known.
type Source int

// The sources.
const (
	// Recorded means that the host that began the stream recorded its version.
	Recorded Source = iota + 1
	// OnlyVersion means that no other version can have begun the stream.
	OnlyVersion
	// Unrecorded means that several versions may have begun the stream and there
	// is no record of it.
	Unrecorded
	// Unreadable means that the records could not be read.
	Unreadable
	// Uncertain means that only one version is known, but this host may not have heard
	// of others.
	Uncertain
)

// String returns the name of the source in logs.
func (s Source) String() string {
	return [...]string{"None", "Recorded", "OnlyVersion", "Unrecorded", "Unreadable", "Uncertain"}[s]
}
