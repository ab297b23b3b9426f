package main

import (
	"bufio"
	"fmt"
	"net"
	"time"

	"github.com/kumquathoist/kumquathoist/standin"
)

// routeHost and routePath are those of the route of all requests.
const (
	routeHost = "jepu9.example"
	routePath = "/full/1/"
)

// connection is a client's connection to a host.
type connection struct {
	net.Conn

	in   *bufio.Reader
	host *host
}

// connect opens a connection to a host.
func connect(h *host) (*connection, error) {
	c, err := net.DialTimeout("tcp4", h.callers(), time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: c, in: bufio.NewReader(c), host: h}, nil
}

// request returns a request to the model with a shared prompt.
func request(id, key string, deadline time.Duration, parts ...standin.PlatformPart) standin.PlatformRequest {
	input := 0
	for _, p := range parts {
		input += p.Tokens
	}
	return standin.PlatformRequest{
		ID: id, Method: "POST", Host: routeHost, Path: routePath, Key: key, Deadline: deadline, Body: "an invoice",
		Prompt: &standin.PlatformPrompt{Model: modelName, Input: input, MaxOutput: 64, Parts: parts},
	}
}

// send sends a request and reads its answer to the end.
func (c *connection) send(r standin.PlatformRequest) (standin.PlatformAnswer, error) {
	if err := c.SetDeadline(time.Now().Add(r.Deadline)); err != nil {
		return standin.PlatformAnswer{}, err
	}
	if err := r.Write(c); err != nil {
		return standin.PlatformAnswer{}, err
	}
	return standin.ReadPlatformAnswer(c.in)
}

// configuration returns a version of the configuration with one resumable route.
func configuration(version int, timeout time.Duration, accounts ...standin.PlatformAccount) standin.PlatformConfiguration {
	return standin.PlatformConfiguration{
		Version: version,
		Routes: []standin.PlatformRoute{{
			Name: "full-reconcile", Host: routeHost, Prefix: "/full/", Kind: "streaming", Service: serviceName, Timeout: int(timeout.Milliseconds()), Objective: 1000, Gap: 600, Priority: 1, MaxUpstreams: 2, Resumable: true,
		}},
		Services: []standin.PlatformService{{Name: serviceName, Connections: 370, Engine: &standin.PlatformEngineKind{Slots: 64, Models: []standin.PlatformModel{{Name: modelName}}}}},
		Limits:   standin.PlatformLimits{HeaderBytes: 16384, BodyBytes: 4 << 20, HeaderTimeout: 3000, IdleTimeout: 15000},
		Accounts: accounts,
	}
}

// account returns a client account whose key bears its name.
func account(name string, isolated bool) standin.PlatformAccount {
	return standin.PlatformAccount{Name: name, Keys: []string{"key-" + name}, Isolated: isolated}
}

// describe describes the answer to a request for the record.
func describe(a standin.PlatformAnswer, err error) string {
	if err != nil {
		return fmt.Sprintf("no answer: %v", err)
	}
	return fmt.Sprintf("status %d, whole: %v, %d bytes, signature %q", a.Status, a.Whole, len(a.Body), a.Stamp)
}
