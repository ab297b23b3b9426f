package crash_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/quarantine"
)

// TestRequestToLostEngineIsNotRefused lets a request crash an engine, and sends another
// one first to that engine and then to a second one, which is lost, too.
func TestRequestToLostEngineIsNotRefused(t *testing.T) {
	is := is.New(t)
	g := startGuards(t, 1)[0]
	lose := func(request quarantine.Fingerprint, engine string) {
		g.Lost(quarantine.Loss{Content: quarantine.Content{Request: request}, Attempt: string(request), Engine: engine, Incarnation: "1", Sent: time.Now()})
	}
	lose("crasher", "a")
	time.Sleep(10 * time.Millisecond) // the other request is sent after that
	lose("innocent", "a")
	lose("innocent", "b")
	is.True(!g.IsQuarantined("next", quarantine.Content{Request: "innocent"}))
}
