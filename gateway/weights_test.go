package gateway

import (
	"testing"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/request"
)

// TestOtherWeights sends a request again in the weights in force only if it
// did not run for want of an engine.
func TestOtherWeights(t *testing.T) {
	doc := document.Document{Models: document.Models{Models: []document.Model{{Name: "matcher", Version: "v2", From: "v1"}}}}
	none := request.Refuse(request.NoUpstream, "none")
	before := request.Request{Model: "matcher", Version: "v1"}
	resumed, current := before, before
	resumed.ResumeAfter, current.Version = 3, "v2"
	cases := []struct {
		name    string
		request request.Request
		failure *request.Failure
		again   bool
	}{
		{"no engine serves the version before", before, none, true},
		{"done", before, nil, false},
		{"may have run", before, none.WithOutcome(request.Unknown), false},
		{"refused for another reason", before, request.Refuse(request.RateLimited, "limit"), false},
		{"a resumed answer stays in its weights", resumed, none, false},
		{"the weights in force have no engine either", current, none, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			next, again := otherWeights(doc, c.request, c.failure)
			is.Equal(again, c.again)
			is.True(!again || next.Version == "v2")
		})
	}
}
