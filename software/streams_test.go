package software_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/software"
)

func newStreams(host string) *software.Streams {
	s := software.NewStreams(host)
	s.SetLifetime(lifetime)
	return s
}

// TestStreamsOfOtherHosts records streams at one host and finds them at another.
func TestStreamsOfOtherHosts(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	first, second := newStreams("first"), newStreams("second")
	first.Began("s1", "models", "a", true, now)
	first.Began("s2", "models", "b", true, now.Add(batchWindow))
	batches := first.Unwritten(now.Add(batchWindow))
	is.Equal(len(batches), 2)
	is.Equal(len(first.Unwritten(now.Add(batchWindow))), 0)
	second.Merge(batches, now.Add(batchWindow))
	for id, want := range map[string]string{"s1": "a", "s2": "b", "s3": ""} {
		version, _ := second.Version(id)
		is.Equal(version, want)
	}
	is.Equal(len(second.Unwritten(now.Add(batchWindow))), 0) // only their own host writes them
}

// TestStreamsAreRecordedOnceVersionsDiffer checks that streams from before a second
// version came are recorded too.
func TestStreamsAreRecordedOnceVersionsDiffer(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	s := newStreams("host")
	s.Began("s1", "models", "a", false, now)
	s.Began("t1", "other", "a", false, now)
	is.Equal(len(s.Unwritten(now)), 0)
	s.Record("models", now.Add(time.Second))
	batches := s.Unwritten(now.Add(time.Second))
	is.Equal(len(batches), 1)
	is.Equal(batches[0].Streams, map[string][]string{"a": {"s1"}})
}

// TestRestartKeepsRecordedStreams checks that a host that starts again in the same
// window does not replace what it recorded before.
func TestRestartKeepsRecordedStreams(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	before := newStreams("host")
	before.Began("s1", "models", "a", true, now)
	after := newStreams("host")
	restarted, began := now.Add(batchWindow/4), now.Add(batchWindow/2)
	after.Merge(before.Unwritten(now), restarted)
	is.Equal(len(after.Unwritten(restarted)), 0)
	after.Began("s2", "models", "b", true, began)
	batches := after.Unwritten(began)
	is.Equal(len(batches), 1)
	is.Equal(batches[0].Streams, map[string][]string{"a": {"s1"}, "b": {"s2"}})
}

// TestEndedStreams checks that streams are forgotten after their lifetime, that
// their records are removed, and that memory stays bounded.
func TestEndedStreams(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	s := newStreams("host")
	s.Began("s1", "models", "a", true, now)
	written := s.Unwritten(now)
	is.Equal(len(written), 1)
	ended := now.Add(lifetime + 3*batchWindow)
	is.True(s.NeedsWrite(ended))
	removed := s.Unwritten(ended)
	is.True(!s.NeedsWrite(ended))
	is.Equal(len(removed), 1)
	is.Equal(len(removed[0].Streams), 0)
	is.Equal(removed[0].Slot(), written[0].Slot())
	_, known := s.Version("s1")
	is.True(!known)
	restarted := newStreams("host")
	restarted.Merge(written, ended)
	is.Equal(len(restarted.Unwritten(ended)), 1) // the record from before the start is removed
}

// TestFailedWrites checks that what could not be written stays to be written.
func TestFailedWrites(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	s := newStreams("host")
	for i := range 3 {
		s.Began(fmt.Sprint("s", i), "models", "a", true, now)
	}
	batches := s.Unwritten(now)
	s.Rewrite(batches)
	is.Equal(s.Unwritten(now), batches)
	s.RewriteAll()
	is.Equal(s.Unwritten(now), batches)
}

// batchWindow is the time in which streams share a record.
const batchWindow = 2 * time.Second
