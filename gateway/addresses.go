package gateway

import (
	"cmp"

	"github.com/gofiber/fiber/v3"

	"github.com/kumquathoist/kumquathoist/address"
	"github.com/kumquathoist/kumquathoist/membership"
)

// AddressAnswer tells callers which hosts to connect to.
type AddressAnswer struct {
	// Addresses are in the order to try them.
	Addresses []Address
	// KeepSeconds is how long the answer may be used.
	KeepSeconds int
}

// Address is one entry host.
type Address struct {
	Host          string
	Address       string
	FailureDomain string
}

// hosts knows the entry hosts and their load.
type hosts interface {
	Hosts() []membership.Host
}

// addresses answers which hosts the caller should use. The caller may name
// itself, its failure domain and its region in the query; without a name the
// connection tells callers apart.
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
