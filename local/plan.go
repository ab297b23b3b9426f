package local

import (
	"fmt"
	"slices"

	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/samples"
	"github.com/kumquathoist/kumquathoist/settings"
	"github.com/kumquathoist/kumquathoist/standin"
)

// Options holds the options of a system.
type Options struct {
	Routers, Engines int
	// Sample is the name of a sample deployment to run; its hosts and pools replace the
	// counts above.
	Sample string
	// Engine, if set, changes the options of each stand-in engine.
	Engine func(*standin.EngineOptions)
}

// plan describes the system to start. The upstream addresses in its document are
// set when the stand-ins start.
type plan struct {
	hosts    []settings.Host
	document document.Document
	// key is the key of an account in the document.
	key string
}

func newPlan(o Options) (plan, error) {
	if o.Sample == "" {
		return newSmallPlan(o), nil
	}
	sample, err := samples.New(o.Sample)
	if err != nil {
		return plan{}, err
	}
	p := plan{document: sample.Document, key: samples.KeyPrefix + sample.Document.Accounts.Accounts[0].Name}
	for _, s := range sample.Settings {
		p.hosts = append(p.hosts, s.Host)
	}
	return p, nil
}

// newSmallPlan returns a plan with one model, one service and one account.
func newSmallPlan(o Options) plan {
	const key = "local-key"
	domains := []string{"abbotsford", "chilliwack", "langley"}
	p := plan{key: key}
	for i := range o.Routers {
		p.hosts = append(p.hosts, settings.Host{Name: fmt.Sprintf("host-%d", i+1), FailureDomain: domains[i%len(domains)], Region: "fraser-valley"})
	}
	engines := document.Pool{Name: "engines", Kind: document.EnginePool}
	for i := range o.Engines {
		engines.Upstreams = append(engines.Upstreams, document.Upstream{Name: fmt.Sprintf("engine-%d", i+1), FailureDomain: domains[i%len(domains)]})
	}
	service := document.Pool{Name: "approvals", Kind: document.ServicePool, Upstreams: []document.Upstream{{Name: "approvals-1", FailureDomain: domains[0]}}}
	p.document.Capacity.Pools = []document.Pool{engines, service}
	p.document.Models.Models = []document.Model{{Name: "matcher", Pool: engines.Name, Version: "v1"}}
	p.document.Accounts.Accounts = []document.Account{{Name: "local", KeyHash: document.HashKey(key), Weight: 1}}
	return p
}

// service returns the name of the first plain service.
func (p plan) service() string {
	i := slices.IndexFunc(p.document.Capacity.Pools, func(p document.Pool) bool { return p.Kind == document.ServicePool })
	return p.document.Capacity.Pools[i].Name
}
