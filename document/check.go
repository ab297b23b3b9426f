package document

import (
	"fmt"
	"net/netip"
	"regexp"

	"github.com/kumquathoist/kumquathoist/problem"
)

// The largest values that the document takes.
const (
	maxWeight   = 1_000_000
	maxRate     = 1e12
	maxVerdicts = 20_000
	maxDays     = 3650
	maxBodies   = 20
)

var keyHash = regexp.MustCompile(`^[0-9a-f]{64}$`)

// checker collects the problems of a document.
type checker struct {
	// edited is the section whose file is known.
	edited Section
	file   problem.File
	list   problem.List
}

// report adds a problem at a path of a section.
func (c *checker) report(s Section, path, format string, args ...any) {
	if s == c.edited {
		c.list = append(c.list, c.file.At(path, format, args...))
		return
	}
	c.list = append(c.list, problem.Problem{Path: fmt.Sprintf("section %s: %s", s, path), Message: fmt.Sprintf(format, args...)})
}

// problems lists what is wrong with the edited section and, if wanted, with
// references between sections.
func (d Document) problems(edited Section, file problem.File, references bool) problem.List {
	c := &checker{edited: edited, file: file}
	switch edited {
	case CapacitySection:
		c.capacity(d.Capacity)
	case ModelsSection:
		c.models(d.Models)
	case AccountsSection:
		c.accounts(d.Accounts)
	case RoutingSection:
		c.number(RoutingSection, "WasteWeight", d.Routing.WasteWeight, 0, 1)
	case AuditSection:
		c.number(AuditSection, "Verdicts", float64(d.Audit.Verdicts), 0, maxVerdicts)
		c.number(AuditSection, "Days", float64(d.Audit.Days), 0, maxDays)
		c.number(AuditSection, "Bodies", float64(d.Audit.Bodies), 0, maxBodies)
	}
	if references {
		c.modelReferences(d)
		c.accountReferences(d)
	}
	return c.list
}

// names checks that every name is set and stands once.
func (c *checker) names(s Section, names, paths []string) {
	first := map[string]string{}
	for i, name := range names {
		switch at, twice := first[name]; {
		case name == "":
			c.report(s, paths[i]+".Name", "is not set")
		case twice:
			c.report(s, paths[i]+".Name", "the name %q is taken by %s", name, at)
		default:
			first[name] = paths[i]
		}
	}
}

// number checks that a value is within bounds, both included.
func (c *checker) number(s Section, path string, value, least, most float64) {
	if !(value >= least && value <= most) {
		c.report(s, path, "%v is out of range, %v to %v", value, least, most)
	}
}

func (c *checker) capacity(capacity Capacity) {
	var pools, poolPaths, upstreams, upstreamPaths []string
	for i, p := range capacity.Pools {
		at := fmt.Sprintf("Pools[%d]", i)
		pools, poolPaths = append(pools, p.Name), append(poolPaths, at)
		if p.Kind != EnginePool && p.Kind != ServicePool {
			c.report(CapacitySection, at+".Kind", "%q is neither %s nor %s", p.Kind, EnginePool, ServicePool)
		}
		for j, u := range p.Upstreams {
			inner := fmt.Sprintf("%s.Upstreams[%d]", at, j)
			upstreams, upstreamPaths = append(upstreams, u.Name), append(upstreamPaths, inner)
			if _, err := netip.ParseAddrPort(u.Address); err != nil {
				c.report(CapacitySection, inner+".Address", "%q is not IP:port", u.Address)
			}
			if u.FailureDomain == "" {
				c.report(CapacitySection, inner+".FailureDomain", "is not set")
			}
		}
	}
	c.names(CapacitySection, pools, poolPaths)
	c.names(CapacitySection, upstreams, upstreamPaths)
}

func (c *checker) models(models Models) {
	var names, paths []string
	for i, m := range models.Models {
		at := fmt.Sprintf("Models[%d]", i)
		names, paths = append(names, m.Name), append(paths, at)
		if m.Version == "" {
			c.report(ModelsSection, at+".Version", "is not set")
		}
	}
	c.names(ModelsSection, names, paths)
}

func (c *checker) accounts(accounts Accounts) {
	var names, paths []string
	hashes := map[string]string{}
	for i, a := range accounts.Accounts {
		at := fmt.Sprintf("Accounts[%d]", i)
		names, paths = append(names, a.Name), append(paths, at)
		if !keyHash.MatchString(a.KeyHash) {
			c.report(AccountsSection, at+".KeyHash", "is not a SHA-256 in lower-case hexadecimal")
		} else if other, taken := hashes[a.KeyHash]; taken {
			c.report(AccountsSection, at+".KeyHash", "is the same as that of %s", other)
		}
		hashes[a.KeyHash] = at
		c.number(AccountsSection, at+".Weight", float64(a.Weight), 1, maxWeight)
		c.number(AccountsSection, at+".RequestsPerSecond", a.RequestsPerSecond, 0, maxRate)
		c.number(AccountsSection, at+".TokensPerSecond", a.TokensPerSecond, 0, maxRate)
		c.number(AccountsSection, at+".Concurrency", float64(a.Concurrency), 0, maxRate)
	}
	c.names(AccountsSection, names, paths)
}

func (c *checker) modelReferences(d Document) {
	for i, m := range d.Models.Models {
		at := fmt.Sprintf("Models[%d].Pool", i)
		switch pool, ok := d.Pool(m.Pool); {
		case !ok:
			c.report(ModelsSection, at, "there is no pool %q in section %s", m.Pool, CapacitySection)
		case pool.Kind != EnginePool:
			c.report(ModelsSection, at, "pool %q has no engines", m.Pool)
		}
	}
}

func (c *checker) accountReferences(d Document) {
	for i, a := range d.Accounts.Accounts {
		for j, name := range a.Models {
			if _, ok := d.Model(name); !ok {
				c.report(AccountsSection, fmt.Sprintf("Accounts[%d].Models[%d]", i, j), "there is no model %q in section %s", name, ModelsSection)
			}
		}
		for j, name := range a.Services {
			if pool, ok := d.Pool(name); !ok || pool.Kind != ServicePool {
				c.report(AccountsSection, fmt.Sprintf("Accounts[%d].Services[%d]", i, j), "there is no service %q in section %s", name, CapacitySection)
			}
		}
	}
}
