// Package local runs a whole system in one process: routers, and stand-ins
// for the platform and the upstreams.
package local

import (
	"context"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/node"
	"github.com/kumquathoist/kumquathoist/registry"
	"github.com/kumquathoist/kumquathoist/settings"
	"github.com/kumquathoist/kumquathoist/standin"
)

const (
	// anyPort lets the kernel choose a loopback port.
	anyPort = "127.0.0.1:0"
	// peerVariable and operatorVariable are the environment variables that hold
	// the secrets of a local system.
	peerVariable     = "KUMQUATHOIST_LOCAL_PEER_SECRET"
	operatorVariable = "KUMQUATHOIST_LOCAL_OPERATOR_SECRET"
	// OperatorSecret authenticates operators and peers of a local system.
	OperatorSecret = "local"
	// keptStorePieces is the capacity of a kept store in pieces.
	keptStorePieces = 65_536
	// startTimeout bounds the wait for the routers to be ready.
	startTimeout = 10 * time.Second
)

// System is a running system.
type System struct {
	Log      *standin.Log
	HostList *standin.HostList
	Engines  []*standin.Engine
	Services []*standin.Service
	Routers  []*node.Node
	// Key is the account key that callers use; Model and Service are what the
	// account can request.
	Key, Model, Service string

	plan   plan
	engine func(*standin.EngineOptions)
}

// New starts a system that runs until the context ends.
func New(ctx context.Context, o Options) (*System, error) {
	for _, variable := range []string{peerVariable, operatorVariable} {
		if err := os.Setenv(variable, OperatorSecret); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	p, err := newPlan(o)
	if err != nil {
		return nil, err
	}
	s := &System{plan: p, Key: p.key, Model: p.document.Models.Models[0].Name, Service: p.service(), engine: o.Engine}
	if s.Log, err = standin.NewLog(ctx, anyPort); err != nil {
		return nil, err
	}
	if s.HostList, err = standin.NewHostList(ctx, anyPort); err != nil {
		return nil, err
	}
	if err := s.startUpstreams(ctx); err != nil {
		return nil, err
	}
	if err := s.configure(ctx); err != nil {
		return nil, err
	}
	return s, s.startRouters(ctx)
}

// startUpstreams starts a stand-in for each upstream and kept store, and sets
// their addresses in the plan.
func (s *System) startUpstreams(ctx context.Context) error {
	pools := s.plan.document.Capacity.Pools
	for n, pool := range pools {
		if pool.KeptStore != "" {
			kept, err := standin.NewKeptStore(ctx, anyPort, keptStorePieces)
			if err != nil {
				return err
			}
			pools[n].KeptStore = kept.URL()
		}
		for i, u := range pool.Upstreams {
			address, err := s.startUpstream(ctx, pool, u)
			if err != nil {
				return err
			}
			pool.Upstreams[i].Address = address
		}
	}
	return nil
}

// startUpstream starts one stand-in and returns its address.
func (s *System) startUpstream(ctx context.Context, pool document.Pool, u document.Upstream) (string, error) {
	if pool.Kind == document.ServicePool {
		service, err := standin.NewService(ctx, anyPort, pool.Name)
		if err != nil {
			return "", err
		}
		s.Services = append(s.Services, service)
		return service.Address(), nil
	}
	options := standin.DefaultEngineOptions(u.Name)
	options.Version, options.ChecksFence = s.plan.document.Models.Models[0].Version, u.ChecksFence
	if s.engine != nil {
		s.engine(&options)
	}
	e, err := standin.NewEngine(ctx, anyPort, options)
	if err != nil {
		return "", err
	}
	s.Engines = append(s.Engines, e)
	return e.Address(), nil
}

// configure publishes the first configuration.
func (s *System) configure(ctx context.Context) error {
	log := registry.NewLog(s.Log.URL())
	for _, section := range document.Sections() {
		body, err := s.plan.document.Encode(section)
		if err != nil {
			return trace.Wrap(err)
		}
		raw, err := document.EncodeEdit(document.Edit{ID: uuid.NewString(), Section: section, Author: "local", Body: string(body)})
		if err != nil {
			return err
		}
		if _, err := log.Append(ctx, registry.ConfigurationStream, raw); err != nil {
			return err
		}
	}
	return nil
}

// startRouters starts the routers and waits until they are ready.
func (s *System) startRouters(ctx context.Context) error {
	for _, host := range s.plan.hosts {
		conf := settings.Default()
		conf.Host = host
		conf.Listen = settings.Listen{Callers: anyPort, Peers: anyPort, Operators: anyPort}
		conf.Secrets = settings.Secrets{
			Peers:     settings.Source{Environment: peerVariable},
			Operators: settings.Source{Environment: operatorVariable},
		}
		conf.Platform = settings.Platform{Log: s.Log.URL(), HostList: s.HostList.URL()}
		n, err := node.New(ctx, conf)
		if err != nil {
			return err
		}
		s.Routers = append(s.Routers, n)
		s.HostList.Put(registry.Host{
			Name: host.Name, Role: registry.EntryHost, FailureDomain: host.FailureDomain,
			Region: host.Region, State: registry.Live, Callers: n.Callers(), Peers: n.Peers(),
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

// Wait waits until every router has stopped.
func (s *System) Wait() {
	for _, n := range s.Routers {
		n.Wait()
	}
}
