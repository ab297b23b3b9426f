package dispatch_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSlowCaller checks backpressure: an engine that sends 64 MiB is blocked
// while the caller reads nothing, and then the caller receives everything.
func TestSlowCaller(t *testing.T) {
	const events = 1024
	is := is.New(t)
	text := strings.Repeat("x", 63<<10)
	var written atomic.Int64
	s := newSession(t, []script{func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Weights", "v1")
		unrecorded := w.(recorder).ResponseWriter
		for i := range events {
			fmt.Fprintf(unrecorded, "id: %d\ndata: {\"choices\":[{\"text\":%q}]}\n\n", i+1, text)
			written.Add(1)
		}
		fmt.Fprint(unrecorded, "data: [DONE]\n\n")
	}})
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, s.caller+"/v1/completions", strings.NewReader(sessionBody))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer key")
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	for before := int64(-1); before != written.Load(); {
		before = written.Load()
		time.Sleep(200 * time.Millisecond)
	}
	is.True(written.Load() < events)
	position := 0
	reader := bufio.NewReader(resp.Body)
	for err == nil {
		var line string
		if line, err = reader.ReadString('\n'); strings.HasPrefix(line, "id: ") {
			position++
			is.Equal(line, fmt.Sprintf("id: %d\n", position))
		}
	}
	is.Equal(err, io.EOF)
	is.Equal(position, events)
	is.NoErr(resp.Body.Close())
}

// TestAnswerBeforeCancel checks that the final answer doesn't wait for the
// cancel: the engine handles the cancel only after the caller has the answer.
func TestAnswerBeforeCancel(t *testing.T) {
	is := is.New(t)
	s := newSession(t, []script{streamTokens(1, 2, hang)})
	answered, cancelled := make(chan struct{}), make(chan error, 1)
	s.onCancel = func(ctx context.Context) {
		select {
		case <-answered:
			cancelled <- nil
		case <-ctx.Done():
			cancelled <- ctx.Err()
		}
	}
	s.send(nil, s.router.Stop)
	close(answered)
	is.NoErr(<-cancelled)
}
