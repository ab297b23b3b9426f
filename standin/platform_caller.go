package standin

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// PlatformRequest is a request as the users' callers send it.
type PlatformRequest struct {
	// ID identifies one attempt of a caller.
	ID, Method, Host, Path, Key string
	// Deadline is how long the caller waits.
	Deadline time.Duration
	// Resumes, if set, is the ID of the attempt that brought the first event of the
	// stream that this one takes up after the event LastEvent.
	Resumes   string
	LastEvent int
	// Prompt describes the prompt in the header; nil for plain services.
	Prompt *PlatformPrompt
	Body   string
	// Chunks is the number of chunks in which the body is sent, ChunkPause the time before
	// each of them; 0 chunks send a body with a length.
	Chunks     int
	ChunkPause time.Duration
}

// PlatformPrompt is the description of the prompt in a request to a model.
type PlatformPrompt struct {
	Model string
	// Input is the number of tokens of the prompt, MaxOutput the maximum number
	// of tokens of the answer.
	Input, MaxOutput int
	// Parts are the parts of the prompt in order.
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
	if r.Resumes != "" {
		fmt.Fprintf(&b, "Resumes: %s\r\nLast-Event-Id: %d\r\n", r.Resumes, r.LastEvent)
	}
	if p := r.Prompt; p != nil {
		parts := make([]string, len(p.Parts))
		for i, part := range p.Parts {
			parts[i] = fmt.Sprintf("%s:%d", part.ID, part.Tokens)
		}
		fmt.Fprintf(&b, "X-Model: %s\r\nX-Token-Usage: %d,%d\r\nX-Prompt-Prefix: %s\r\n", p.Model, p.Input, p.MaxOutput, strings.Join(parts, ","))
	}
	if r.Method != http.MethodGet && r.Chunks > 0 {
		return r.writeChunks(w, b.String()+"Transfer-Encoding: chunked\r\n\r\n")
	}
	if r.Method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	_, err := io.WriteString(w, b.String()+"\r\n"+r.Body)
	return err
}

// writeChunks writes a header and the body in chunks.
func (r PlatformRequest) writeChunks(w io.Writer, header string) error {
	if _, err := io.WriteString(w, header); err != nil {
		return err
	}
	for i := range r.Chunks {
		time.Sleep(r.ChunkPause)
		chunk := r.Body[i*len(r.Body)/r.Chunks : (i+1)*len(r.Body)/r.Chunks]
		text := ""
		if chunk != "" {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(chunk), chunk)
		}
		if i == r.Chunks-1 {
			text += "0\r\n\r\n"
		}
		if _, err := io.WriteString(w, text); err != nil {
			return err
		}
	}
	return nil
}

// PlatformAnswer is an answer as a caller receives it.
type PlatformAnswer struct {
	Status int
	// Stamp is the upstream's signature, or "".
	Stamp string
	Body  string
	// Whole reports whether the answer is complete, Closes whether its
	// connection can't be reused.
	Whole, Closes bool
}

// ReadPlatformAnswer reads an answer. It returns an error only if no response
// header was received.
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

// Certified reports whether the answer has an upstream's signature for the
// request with an ID.
func (a PlatformAnswer) Certified(id string) bool { return strings.HasSuffix(a.Stamp, "."+id) }

// PlatformArrival records a request that reached an upstream.
type PlatformArrival struct {
	// ID identifies the caller's attempt, Account the client account. Memory names the
	// memory of a run that it asks for, or is "".
	ID, Account, Memory string
	// HasAPIKey reports whether the request still had the caller's key.
	HasAPIKey bool
	// At is the time of arrival. RetryAfter is the pause that the answer asked
	// for. Leaving reports whether the answer said that the upstream is leaving.
	At         time.Time
	RetryAfter time.Duration
	Leaving    bool
	// Refusal is the status with which it was refused, or 0. IsMisdirected means that it
	// named another upstream.
	Refusal       int
	IsMisdirected bool
}

// Arrivals returns a record of each request that reached the engine.
func (e *PlatformEngine) Arrivals() []PlatformArrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := make([]PlatformArrival, len(e.requestHeaders))
	for i, header := range e.requestHeaders {
		all[i] = e.arrivals[i]
		all[i].ID, all[i].Account, all[i].HasAPIKey = header.Get("X-Attempt-Id"), header.Get("X-Tenant"), header.Get("X-Api-Key") != ""
		all[i].Memory = header.Get("Kv-From")
	}
	return all
}

// PlatformReady reports whether the readiness check of a host, at the IP:port
// for the platform's checks, succeeds.
func PlatformReady(address string) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + address + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
