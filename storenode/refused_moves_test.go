package storenode_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/standin"
)

// TestRefusedMoveReturnsToTheMemory guards against streams that are cut, or read in again,
// since the engine that got a copy of their memory refuses them.
func TestRefusedMoveReturnsToTheMemory(t *testing.T) {
	for _, c := range []struct {
		name, path string
		refusal    standin.PlatformFault
	}{
		{"resumable, no slot", "/full/a", standin.FullFault},
		{"resumable, another instance", "/full/a", standin.OtherInstanceFault},
		{"not resumable, no slot", "/flag/a", standin.FullFault},
		{"not resumable, another instance", "/flag/a", standin.OtherInstanceFault},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := newDeployment(t, 1, 1, 0)
			source := d.engines[0]
			source.Pace(500 * time.Millisecond)
			caller := d.client(d.hosts[0])
			caller.write("POST", modelHost, c.path, "s", longAnswerPrompt(0), "body")
			_, err := caller.in.Peek(1) // the answer has begun
			is.NoErr(err)
			target := d.engine("target", "models", "m1")
			target.Fail(c.refusal, 1)
			d.await("the host knows the target", func() bool { return d.hosts[0].Knows(target.ID) })
			d.hosts[0].Evacuate(source.ID)
			a := caller.read()
			is.Equal(a.status, 200)
			is.True(!a.truncated)
			is.Equal(a.body, completeStream())
			is.Equal(target.Received(), 1)
			is.Equal(len(target.Ran()), 0)
			is.Equal(source.Ran()["s"], 1)
			is.Equal(source.Continued(), 1)
			d.await("the copy is freed", func() bool { return target.Copies() == 0 })
		})
	}
}
