// Command emulator runs a stand-in for the platform or an upstream as a separate
// process, or a measurement.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/kumquathoist/kumquathoist/standin"
)

// commands lists the stand-ins and the measurements.
type commands struct {
	Log           logCommand           `cmd:"" help:"Stand in for the platform's log service."`
	HostList      hostListCommand      `cmd:"" help:"Stand in for the platform's host list."`
	Engine        engineCommand        `cmd:"" help:"Stand in for a model engine."`
	Service       serviceCommand       `cmd:"" help:"Stand in for a plain service."`
	Control       controlCommand       `cmd:"" help:"Measure the network traffic, CPU and memory of idle hosts."`
	Claims        claimsCommand        `cmd:"" help:"Measure claims against load and the number of hosts."`
	Configuration configurationCommand `cmd:"" help:"Measure changes of the configuration against the number of hosts."`
	Weights       weightsCommand       `cmd:"" help:"Stand in for the weight store."`
	Kept          keptStoreCommand     `cmd:"" help:"Stand in for a kept KV cache store."`
	// PlatformEngine runs with soak.EngineArgument.
	PlatformEngine platformEngineCommand `cmd:"" help:"Stand in for one engine of the users' platform: options in the first line of the input, address and runs in the output."`
	Membership     membershipCommand     `cmd:"" help:"Measure the heartbeats of many hosts in this process."`

	Overhead   overheadCommand   `cmd:"" help:"Measure what a router adds to a request."`
	Drive      driveCommand      `cmd:"" help:"Send a user's arrivals through running routers."`
	Soak       soakCommand       `cmd:"" help:"Run hosts as processes under random faults and check what callers and upstreams see."`
	Experiment experimentCommand `cmd:"" help:"Measure policies of routing and admission."`
}

// listenFlags holds the listen address of a stand-in.
type listenFlags struct {
	Listen string `default:"127.0.0.1:0" help:"IP:port to listen on; port 0 lets the kernel choose."`
}

// server is a running stand-in.
type server interface {
	Address() string
	Wait()
}

// announce prints the address of a stand-in and waits until it stops.
func announce(s server, err error) error {
	if err != nil {
		return err
	}
	fmt.Printf("listening %s\n", s.Address())
	s.Wait()
	return nil
}

type logCommand struct{ listenFlags }

// Run serves a log.
func (c *logCommand) Run(ctx context.Context) error {
	return announce(standin.NewLog(ctx, c.Listen))
}

type hostListCommand struct{ listenFlags }

// Run serves a host list.
func (c *hostListCommand) Run(ctx context.Context) error {
	return announce(standin.NewHostList(ctx, c.Listen))
}

type engineCommand struct {
	listenFlags

	Name         string  `default:"engine-1" help:"The engine's name."`
	Version      string  `default:"v1" help:"The weights that the engine starts with."`
	TokenMillis  float64 `default:"5" help:"Milliseconds between two tokens."`
	AnswerTokens int     `default:"32" help:"Tokens of an answer."`
	CachePieces  int     `default:"256" help:"The capacity of the engine's cache, in pieces of prompts."`
	Slots        int     `default:"16" help:"Requests that run concurrently."`
	Prefill      float64 `default:"40000" help:"Tokens of prompts read a second."`
	ChecksFence  bool    `help:"Refuse orders with an old fencing number."`
	WeightStore  string  `help:"Base URL of the weight store."`
}

// Run serves an engine.
func (c *engineCommand) Run(ctx context.Context) error {
	o := standin.DefaultEngineOptions(c.Name)
	o.Version, o.TokenMillis, o.AnswerTokens = c.Version, c.TokenMillis, c.AnswerTokens
	o.CachePieces, o.ChecksFence, o.WeightStore = c.CachePieces, c.ChecksFence, c.WeightStore
	return announce(standin.NewEngine(ctx, c.Listen, o))
}

type serviceCommand struct {
	listenFlags

	Name string `default:"service" help:"The service's name."`
}

// Run serves a plain service.
func (c *serviceCommand) Run(ctx context.Context) error {
	return announce(standin.NewService(ctx, c.Listen, c.Name))
}

type platformEngineCommand struct{}

// Run serves an engine until its input ends.
func (c *platformEngineCommand) Run(ctx context.Context) error {
	return standin.ServePlatformProcess(ctx, os.Stdin, os.Stdout)
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var c commands
	parsed := kong.Parse(&c, kong.Name("emulator"), kong.Description("Stand-ins for the platform and the upstreams of kumquathoist."))
	parsed.BindTo(ctx, (*context.Context)(nil))
	parsed.FatalIfErrorf(parsed.Run())
}
