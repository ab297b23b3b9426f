package main

import (
	"context"

	"github.com/kumquathoist/kumquathoist/standin"
)

type weightsCommand struct{ listenFlags }

// Run serves a weight store.
func (c *weightsCommand) Run(ctx context.Context) error {
	return announce(standin.NewWeightStore(ctx, c.Listen))
}
