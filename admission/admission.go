// Package admission decides whether a request may start now.
package admission

import (
	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/request"
)

// Gate admits requests.
type Gate struct{}

// New returns a gate.
func New() *Gate { return &Gate{} }

// Admit returns a function to call at the request's end, or why the request
// is refused.
func (*Gate) Admit(document.Document, request.Request) (release func(), refused *request.Failure) {
	return func() {}, nil
}
