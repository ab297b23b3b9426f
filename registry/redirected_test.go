package registry_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/registry"
)

// TestAnswersOfOtherAddressesAreNotBelieved guards against an append that is taken for done,
// since the address to which it was redirected answers.
func TestAnswersOfOtherAddressesAreNotBelieved(t *testing.T) {
	is := is.New(t)
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) }))
	t.Cleanup(other.Close)
	log := httptest.NewServer(http.RedirectHandler(other.URL, http.StatusFound))
	t.Cleanup(log.Close)
	_, err := registry.NewLog(log.URL).Append(context.Background(), "claims-0", []byte("a"))
	is.True(err != nil)
	_, err = registry.NewHostList(log.URL).Hosts(context.Background())
	is.True(err != nil)
}
