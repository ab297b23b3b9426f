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

// TestSlowCaller lets an engine send 64 MiB to a caller that reads nothing at
// first: the engine is held back, and the caller then gets everything.
func TestSlowCaller(t *testing.T) {
	const events = 1024
	is := is.New(t)
	text := strings.Repeat("x", 63<<10)
	var written atomic.Int64
	s := newSession(t, []script{func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Weights", "v1")
		quiet := w.(recorder).ResponseWriter
		for i := range events {
			fmt.Fprintf(quiet, "id: %d\ndata: {\"choices\":[{\"text\":%q}]}\n\n", i+1, text)
			written.Add(1)
		}
		fmt.Fprint(quiet, "data: [DONE]\n\n")
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

// TestAnswerBeforeCancel lets the engine take a cancel only once the caller
// has its final answer.
func TestAnswerBeforeCancel(t *testing.T) {
	is := is.New(t)
	s := newSession(t, []script{tokens(1, 2, hangs)})
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
