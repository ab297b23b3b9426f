package main

import (
	"context"

	"github.com/kumquathoist/kumquathoist/standin"
)

type keptStoreCommand struct {
	listenFlags

	Pieces int `default:"65536" help:"The capacity of the store, in pieces of prompts."`
}

// Run serves a kept store for KV cache.
func (c *keptStoreCommand) Run(ctx context.Context) error {
	return announce(standin.NewKeptStore(ctx, c.Listen, c.Pieces))
}
