// Package registry holds clients of the services that the platform gives:
// the log service and the host list.
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
)

// maxAnswerBytes bounds one answer of the log, a page of records.
const maxAnswerBytes = 64 << 20

// ConfigurationStream is the log's stream of configuration edits.
const ConfigurationStream = "configuration"

// Record is one record of a stream.
type Record struct {
	// Offset is the record's place in the stream; offsets only grow.
	Offset int64
	// AppendedMillis is the log's time of the append, in Unix milliseconds.
	AppendedMillis int64
	Data           []byte
}

// Page is an answer to a read.
type Page struct {
	Records []Record
	// First is the oldest offset that the log still keeps.
	First int64
	// Next is the offset that the next append will get.
	Next int64
	// NowMillis is the log's time, in Unix milliseconds.
	NowMillis int64
}

// Appended tells where a record was put.
type Appended struct {
	Offset         int64
	AppendedMillis int64
}

// Log is a client of the log service. Its methods return
// trace.ConnectionProblem when the log does not answer; an append that ended
// so may have taken effect.
type Log struct {
	base   string
	client *http.Client
}

// NewLog returns a client of the log service at the base URL.
func NewLog(base string) *Log {
	return &Log{base: base, client: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second, MaxResponseHeaderBytes: bounded.MaxHeadBytes,
	}}}
}

// Append appends one record to a stream.
func (l *Log) Append(ctx context.Context, stream string, data []byte) (Appended, error) {
	var a Appended
	target := fmt.Sprintf("%s/streams/%s/records", l.base, url.PathEscape(stream))
	err := call(ctx, l.client, http.MethodPost, target, data, &a)
	return a, trace.Wrap(err, "appending to stream %s", stream)
}

// Read reads records from an offset on, waiting up to wait for the first.
func (l *Log) Read(ctx context.Context, stream string, from int64, wait time.Duration) (Page, error) {
	var p Page
	target := fmt.Sprintf("%s/streams/%s/records?From=%d&WaitMillis=%d", l.base, url.PathEscape(stream), from, wait.Milliseconds())
	err := call(ctx, l.client, http.MethodGet, target, nil, &p)
	return p, trace.Wrap(err, "reading stream %s", stream)
}

// call sends one request and decodes the JSON answer.
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
	raw, err := bounded.ReadAll(resp.Body, maxAnswerBytes)
	if err != nil {
		return trace.ConnectionProblem(err, "answer from %s was cut", req.URL.Host)
	}
	if resp.StatusCode != http.StatusOK {
		return trace.ConnectionProblem(nil, "%s answered %s: %s", req.URL.Host, resp.Status, raw)
	}
	return trace.Wrap(json.Unmarshal(raw, into), "decoding the answer of %s", req.URL.Host)
}
