// Package registry has clients of two services of the platform: the log service
// and the host list.
package registry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/bounded"
	"github.com/kumquathoist/kumquathoist/socket"
)

const (
	// dialTimeout bounds the time to connect to the platform.
	dialTimeout = 5 * time.Second
	// maxSilence is how long the platform's host may acknowledge nothing before a
	// connection to it is closed.
	maxSilence = 3 * time.Second
	// maxResponseBytes bounds a response, such as a page of records of the log.
	maxResponseBytes = 64 << 20
)

// ConfigurationStream is the log stream of configuration edits.
const ConfigurationStream = "configuration"

// Record is one record of a stream.
type Record struct {
	// Offset is the record's offset in the stream; offsets only grow.
	Offset int64
	// AppendedMillis is the time of the append by the log's clock, in Unix
	// milliseconds.
	AppendedMillis int64
	Data           []byte
}

// Page is the result of a read.
type Page struct {
	Records []Record
	// First is the oldest offset that the log retains.
	First int64
	// Next is the offset of the next append.
	Next int64
	// NowMillis is the time by the log's clock, in Unix milliseconds.
	NowMillis int64
}

// AppendResult is the offset and time of an appended record.
type AppendResult struct {
	Offset         int64
	AppendedMillis int64
}

// Log is a client of the log service. Its methods return
// trace.ConnectionProblem if the log does not answer; an append that returns it
// may have taken effect.
type Log struct {
	baseURL string
	client  *http.Client
}

// NewLog returns a client of the log service at the base URL.
func NewLog(base string) *Log {
	return &Log{baseURL: base, client: socket.NewHTTPClient(newTransport())}
}

// newTransport returns a transport that uses a connection for one call. Nothing in an answer
// shows which call it answers, and a server may send a refusal once more on a kept connection.
func newTransport() *http.Transport {
	return &http.Transport{
		DialContext: socket.NewDialer(dialTimeout, maxSilence).DialContext, DisableKeepAlives: true, MaxResponseHeaderBytes: bounded.MaxHeadBytes,
	}
}

// Append appends one record to a stream.
func (l *Log) Append(ctx context.Context, stream string, data []byte) (AppendResult, error) {
	var a AppendResult
	target := fmt.Sprintf("%s/streams/%s/records", l.baseURL, url.PathEscape(stream))
	err := call(ctx, l.client, http.MethodPost, target, data, &a)
	return a, trace.Wrap(err, "appending to stream %s", stream)
}

// Read reads records that start at an offset. It waits up to wait if there are
// none yet.
func (l *Log) Read(ctx context.Context, stream string, from int64, wait time.Duration) (Page, error) {
	var p Page
	target := fmt.Sprintf("%s/streams/%s/records?From=%d&WaitMillis=%d", l.baseURL, url.PathEscape(stream), from, wait.Milliseconds())
	err := call(ctx, l.client, http.MethodGet, target, nil, &p)
	return p, trace.Wrap(err, "reading stream %s", stream)
}

// call sends one request and decodes the JSON response.
func call(ctx context.Context, client *http.Client, method, target string, body []byte, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return trace.ConnectionProblem(err, "no answer from %s", req.URL.Host)
	}
	defer resp.Body.Close()
	raw, err := bounded.ReadAll(resp.Body, maxResponseBytes)
	if err != nil {
		return trace.ConnectionProblem(err, "response from %s was truncated", req.URL.Host)
	}
	if resp.StatusCode != http.StatusOK {
		return trace.ConnectionProblem(nil, "%s answered %s: %s", req.URL.Host, resp.Status, raw)
	}
	return trace.Wrap(json.Unmarshal(raw, into), "decoding the response from %s", req.URL.Host)
}
