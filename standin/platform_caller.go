package standin

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// PlatformRequest is a request as the users' callers write it.
type PlatformRequest struct {
	// ID names one try of a caller.
	ID, Method, Host, Path, Key string
	// Deadline is how long the caller waits.
	Deadline time.Duration
	// Prompt is what the request says of its prompt, or nil.
	Prompt *PlatformPrompt
	Body   string
}

// PlatformPrompt is what a request to a model says of its prompt.
type PlatformPrompt struct {
	Model string
	// Input counts the tokens of the prompt, MostOutput those of the answer at
	// most.
	Input, MostOutput int
	// Parts are the parts of the prompt in their order.
	Parts []PlatformPart
}

// PlatformPart is one part of a prompt.
type PlatformPart struct {
	ID     string
	Tokens int
}

// Write writes the request to a connection.
func (r PlatformRequest) Write(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Api-Key: %s\r\n", r.Method, r.Path, r.Host, r.ID, r.Deadline.Milliseconds(), r.Key)
	if p := r.Prompt; p != nil {
		parts := make([]string, len(p.Parts))
		for i, part := range p.Parts {
			parts[i] = fmt.Sprintf("%s:%d", part.ID, part.Tokens)
		}
		fmt.Fprintf(&b, "X-Model: %s\r\nX-Token-Usage: %d,%d\r\nX-Prompt-Prefix: %s\r\n", p.Model, p.Input, p.MostOutput, strings.Join(parts, ","))
	}
	if r.Method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	_, err := io.WriteString(w, b.String()+"\r\n"+r.Body)
	return err
}

// PlatformAnswer is an answer as a caller reads it.
type PlatformAnswer struct {
	Status int
	// Stamp is the upstream's signature, or "".
	Stamp string
	Body  string
	// Whole tells that the answer had an end, Closes that its connection can't
	// be used again.
	Whole, Closes bool
}

// ReadPlatformAnswer reads an answer; an error means that no head of it came.
func ReadPlatformAnswer(in *bufio.Reader) (PlatformAnswer, error) {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return PlatformAnswer{}, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return PlatformAnswer{
		Status: resp.StatusCode, Stamp: resp.Header.Get("X-Response-Stamp"), Body: string(raw), Whole: err == nil, Closes: resp.Close,
	}, nil
}

// Certified tells whether the answer bears an upstream's signature for a
// request.
func (a PlatformAnswer) Certified(id string) bool { return strings.HasSuffix(a.Stamp, "."+id) }

// PlatformArrival is what an upstream was told with a request.
type PlatformArrival struct {
	// ID names the caller's try, Account whose it is.
	ID, Account string
	// Keyed tells that it still bore the caller's key.
	Keyed bool
	// At is when it came. Asked is the time without requests that the engine
	// asked for in its answer, Leaving tells that the answer said it leaves.
	At      time.Time
	Asked   time.Duration
	Leaving bool
}

// Arrivals returns what the engine was told with each request.
func (e *PlatformEngine) Arrivals() []PlatformArrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := make([]PlatformArrival, len(e.seen))
	for i, head := range e.seen {
		all[i] = e.answers[i]
		all[i].ID, all[i].Account, all[i].Keyed = head.Get("X-Attempt-Id"), head.Get("X-Tenant"), head.Get("X-Api-Key") != ""
	}
	return all
}

// PlatformReady tells whether the host at an IP:port for such questions says
// that it is ready.
func PlatformReady(address string) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + address + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
