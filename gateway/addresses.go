package gateway

import (
	"cmp"

	"github.com/gofiber/fiber/v3"

	"github.com/kumquathoist/kumquathoist/address"
	"github.com/kumquathoist/kumquathoist/membership"
)

// AddressAnswer lists the hosts that a caller should connect to.
type AddressAnswer struct {
	// Addresses are in the order in which the caller should try them.
	Addresses []Address
	// KeepSeconds is how long the caller may cache the answer.
	KeepSeconds int
}

// Address is one entry host.
type Address struct {
	Host          string
	Address       string
	FailureDomain string
}

// hostDirectory lists the entry hosts and their load.
type hostDirectory interface {
	Hosts() []membership.Host
}

// addresses returns the hosts that the caller should use. The caller may give
// its name, failure domain and region in the query. Without a name, the remote
// address identifies the caller.
func (g *Gateway) addresses(c fiber.Ctx) error {
	caller := address.Caller{
		Key:           cmp.Or(c.Query("caller"), c.RequestCtx().RemoteAddr().String()),
		FailureDomain: c.Query("failure_domain"),
		Region:        c.Query("region"),
	}
	answer := AddressAnswer{Addresses: []Address{}, KeepSeconds: g.Settings.Stop.AddressSeconds}
	for _, h := range address.Order(g.Directory.Hosts(), caller) {
		answer.Addresses = append(answer.Addresses, Address{h.Name, h.Callers, h.FailureDomain})
	}
	return c.JSON(answer)
}
