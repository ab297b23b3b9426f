package gateway

import (
	"bufio"
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/request"
	"github.com/kumquathoist/kumquathoist/upstream"
)

// TestStreamEndMarker checks that a complete answer ends with its end marker even
// if the end chunk was lost, and that a failed answer ends with its failure.
func TestStreamEndMarker(t *testing.T) {
	failed := request.Refuse(request.UpstreamFailed, "no engine finished the request")
	tests := []struct {
		name    string
		chunks  []upstream.Chunk
		failure *request.Failure
		want    string
	}{
		{"lost end", []upstream.Chunk{{Position: 1, Data: []byte("{}")}}, nil, "id: 1\ndata: {}\n\ndata: [DONE]\n\n"},
		{"no token", nil, nil, "data: [DONE]\n\n"},
		{"end", []upstream.Chunk{{Position: 1, Data: []byte("{}")}, {End: true}}, nil, "id: 1\ndata: {}\n\ndata: [DONE]\n\n"},
		{"failure", nil, failed, "event: error\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a := &answer{chunks: make(chan upstream.Chunk, 2), failure: make(chan *request.Failure, 1)}
			for _, chunk := range tt.chunks {
				a.chunks <- chunk
			}
			a.failure <- tt.failure
			close(a.chunks)
			var out bytes.Buffer
			events := &eventWriter{w: bufio.NewWriter(&out), extendDeadline: func() {}, onDisconnect: func() {}}
			is.Equal(events.writeAll(a), tt.failure)
			is.True(strings.HasPrefix(out.String(), tt.want))
		})
	}
}
