// Package local runs a whole system in one process: routers, and stand-ins
// for the platform and the upstreams.
package local

import (
	"context"
	"fmt"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/node"
	"github.com/kumquathoist/kumquathoist/platform"
	"github.com/kumquathoist/kumquathoist/settings"
	"github.com/kumquathoist/kumquathoist/standin"
)

const (
	// anyPort lets the kernel choose a port on this machine.
	anyPort = "127.0.0.1:0"
	// Key is the key of the only account.
	Key = "local-key"
	// Model is the name of the only model.
	Model = "matcher"
	// startTimeout bounds the wait for the routers to be ready.
	startTimeout = 10 * time.Second
)

// domains are the failure domains that hosts and engines are spread over.
var domains = []string{"abbotsford", "chilliwack", "langley"}

// Options sets the size of the system.
type Options struct {
	Routers, Engines int
}

// System is a running system.
type System struct {
	Log      *standin.Log
	HostList *standin.HostList
	Engines  []*standin.Engine
	Service  *standin.Service
	Routers  []*node.Node
}

// New starts a system that ends with the context.
func New(ctx context.Context, o Options) (*System, error) {
	s := &System{}
	var err error
	if s.Log, err = standin.NewLog(ctx, anyPort); err != nil {
		return nil, err
	}
	if s.HostList, err = standin.NewHostList(ctx, anyPort); err != nil {
		return nil, err
	}
	if s.Service, err = standin.NewService(ctx, anyPort, "approvals"); err != nil {
		return nil, err
	}
	for i := range o.Engines {
		e, err := standin.NewEngine(ctx, anyPort, standin.DefaultEngineOptions(fmt.Sprintf("engine-%d", i+1)))
		if err != nil {
			return nil, err
		}
		s.Engines = append(s.Engines, e)
	}
	if err := s.configure(ctx); err != nil {
		return nil, err
	}
	return s, s.startRouters(ctx, o.Routers)
}

// configure publishes a first configuration.
func (s *System) configure(ctx context.Context) error {
	log := platform.NewLog(s.Log.URL())
	bodies := map[document.Section]any{
		document.CapacitySection: s.capacity(),
		document.ModelsSection:   document.Models{Models: []document.Model{{Name: Model, Pool: "engines", Version: "v1"}}},
		document.AccountsSection: document.Accounts{Accounts: []document.Account{{Name: "local", KeyHash: document.HashKey(Key), Weight: 1}}},
	}
	for _, section := range document.Sections() {
		value, ok := bodies[section]
		if !ok {
			continue
		}
		body, err := yaml.Marshal(value)
		if err != nil {
			return trace.Wrap(err)
		}
		raw, err := document.EncodeEdit(document.Edit{ID: uuid.NewString(), Section: section, Author: "local", Body: string(body)})
		if err != nil {
			return err
		}
		if _, err := log.Append(ctx, platform.ConfigurationStream, raw); err != nil {
			return err
		}
	}
	return nil
}

// capacity lists the stand-ins as pools.
func (s *System) capacity() document.Capacity {
	engines := document.Pool{Name: "engines", Kind: document.EnginePool}
	for i, e := range s.Engines {
		engines.Upstreams = append(engines.Upstreams, document.Upstream{
			Name: fmt.Sprintf("engine-%d", i+1), Address: e.Address(), FailureDomain: domains[i%len(domains)],
		})
	}
	service := document.Pool{Name: "approvals", Kind: document.ServicePool, Upstreams: []document.Upstream{
		{Name: "approvals-1", Address: s.Service.Address(), FailureDomain: domains[0]},
	}}
	return document.Capacity{Pools: []document.Pool{engines, service}}
}

// startRouters starts the routers and waits until they serve.
func (s *System) startRouters(ctx context.Context, count int) error {
	for i := range count {
		conf := settings.Default()
		conf.Host = settings.Host{Name: fmt.Sprintf("host-%d", i+1), FailureDomain: domains[i%len(domains)], Region: "local"}
		conf.Listen = settings.Listen{Callers: anyPort, Peers: anyPort, Operators: anyPort}
		conf.Platform = settings.Platform{Log: s.Log.URL(), HostList: s.HostList.URL()}
		n, err := node.New(ctx, conf)
		if err != nil {
			return err
		}
		s.Routers = append(s.Routers, n)
		s.HostList.Put(platform.Host{
			Name: conf.Host.Name, Role: platform.EntryHost, FailureDomain: conf.Host.FailureDomain,
			Region: "local", State: platform.Live, Callers: n.Callers(), Peers: n.Peers(),
		})
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, n := range s.Routers {
		if err := n.AwaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Wait returns when every part has ended.
func (s *System) Wait() {
	for _, n := range s.Routers {
		n.Wait()
	}
}

// Greeting tells a person how to use the system.
func Greeting(s *System) string {
	first := s.Routers[0]
	return fmt.Sprintf(`The system runs. Callers: http://%[1]s, operators: http://%[2]s

Stream an answer:
  curl -N http://%[1]s/v1/chat/completions -H 'Authorization: Bearer %[3]s' -d '{"model":"%[4]s","stream":true,"messages":[{"role":"user","content":"Match invoice 17."}]}'

Stop with Ctrl-C.
`, first.Callers(), first.Operators(), Key, Model)
}
