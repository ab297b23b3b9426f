package standin

import (
	"context"
	"os"
	"os/exec"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStoppedProcessStalls has the test's process stopped for a while.
func TestStoppedProcessStalls(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	stalls := make(chan PlatformPeriod, 1000)
	go WatchStalls(ctx, func(p PlatformPeriod) { stalls <- p })
	began := time.Now()
	is.NoErr(exec.Command("sh", "-c", `kill -STOP $0; sleep 0.6; kill -CONT $0`, strconv.Itoa(os.Getpid())).Run())
	for p := range stalls {
		is.True(p.From.After(began.Add(-minStall)))
		if p.Until.Sub(p.From) >= 500*time.Millisecond {
			return
		}
	}
}

// TestTimeWithoutProcessorIsNoWork guards against counting the time in which an engine
// that was woken got no processor yet as work beside another engine.
func TestTimeWithoutProcessorIsNoWork(t *testing.T) {
	is := is.New(t)
	at := func(millis int) time.Time { return time.UnixMilli(int64(millis)) }
	p := &PlatformProcess{
		pauses: []PlatformPeriod{{at(1000), at(2000)}},
		stalls: []PlatformPeriod{{at(300), at(400)}, {at(990), at(2500)}},
	}
	run := PlatformRun{Began: at(0), Ended: at(2600)}
	is.Equal(p.Work(run), []PlatformPeriod{{at(0), at(1000)}, {at(2000), at(2600)}})
	is.Equal(p.Awake(run), []PlatformPeriod{{at(0), at(300)}, {at(400), at(990)}, {at(2500), at(2600)}})
	is.Equal(p.WorkAfter(run, at(1500)), 600*time.Millisecond)
	is.Equal(p.AwakeAfter(run, at(1500)), 100*time.Millisecond)
}
