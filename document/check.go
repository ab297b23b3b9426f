package document

import (
	"fmt"
	"net/netip"
	"regexp"

	"github.com/kumquathoist/kumquathoist/problem"
)

// The largest values allowed in the document.
const (
	maxWeight   = 1_000_000
	maxRate     = 1e12
	maxVerdicts = 20_000
	maxDays     = 3650
	maxBodies   = 20
)

var keyHashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// checker collects the problems of a document.
type checker struct {
	// edited is the section being replaced; problems in it are reported with
	// their position in file.
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

// problems validates the edited section and, if references is set, the
// references between sections.
func (d Document) problems(edited Section, file problem.File, references bool) problem.List {
	c := &checker{edited: edited, file: file}
	switch edited {
	case CapacitySection:
		c.checkCapacity(d.Capacity)
	case ModelsSection:
		c.checkModels(d.Models)
	case AccountsSection:
		c.checkAccounts(d.Accounts)
	case RoutingSection:
		c.checkRange(RoutingSection, "WasteWeight", d.Routing.WasteWeight, 0, 1)
	case AuditSection:
		c.checkRange(AuditSection, "Verdicts", float64(d.Audit.Verdicts), 0, maxVerdicts)
		c.checkRange(AuditSection, "Days", float64(d.Audit.Days), 0, maxDays)
		c.checkRange(AuditSection, "Bodies", float64(d.Audit.Bodies), 0, maxBodies)
	}
	if references {
		c.checkModelReferences(d)
		c.checkAccountReferences(d)
	}
	return c.list
}

// checkNames checks that every name is set and unique.
func (c *checker) checkNames(s Section, names, paths []string) {
	first := map[string]string{}
	for i, name := range names {
		switch at, duplicate := first[name]; {
		case name == "":
			c.report(s, paths[i]+".Name", "is not set")
		case duplicate:
			c.report(s, paths[i]+".Name", "the name %q is taken by %s", name, at)
		default:
			first[name] = paths[i]
		}
	}
}

// checkRange checks that a value is between lower and upper, inclusive.
func (c *checker) checkRange(s Section, path string, value, lower, upper float64) {
	if !(value >= lower && value <= upper) {
		c.report(s, path, "%v is out of range, %v to %v", value, lower, upper)
	}
}

func (c *checker) checkCapacity(capacity Capacity) {
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
	c.checkNames(CapacitySection, pools, poolPaths)
	c.checkNames(CapacitySection, upstreams, upstreamPaths)
}

func (c *checker) checkModels(models Models) {
	var names, paths []string
	for i, m := range models.Models {
		at := fmt.Sprintf("Models[%d]", i)
		names, paths = append(names, m.Name), append(paths, at)
		if m.Version == "" {
			c.report(ModelsSection, at+".Version", "is not set")
		}
	}
	c.checkNames(ModelsSection, names, paths)
}

func (c *checker) checkAccounts(accounts Accounts) {
	var names, paths []string
	hashes := map[string]string{}
	for i, a := range accounts.Accounts {
		at := fmt.Sprintf("Accounts[%d]", i)
		names, paths = append(names, a.Name), append(paths, at)
		if !keyHashPattern.MatchString(a.KeyHash) {
			c.report(AccountsSection, at+".KeyHash", "is not a SHA-256 in lower-case hexadecimal")
		} else if other, taken := hashes[a.KeyHash]; taken {
			c.report(AccountsSection, at+".KeyHash", "is the same as that of %s", other)
		}
		hashes[a.KeyHash] = at
		c.checkRange(AccountsSection, at+".Weight", float64(a.Weight), 1, maxWeight)
		c.checkRange(AccountsSection, at+".RequestsPerSecond", a.RequestsPerSecond, 0, maxRate)
		c.checkRange(AccountsSection, at+".TokensPerSecond", a.TokensPerSecond, 0, maxRate)
		c.checkRange(AccountsSection, at+".Concurrency", float64(a.Concurrency), 0, maxRate)
	}
	c.checkNames(AccountsSection, names, paths)
}

func (c *checker) checkModelReferences(d Document) {
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

func (c *checker) checkAccountReferences(d Document) {
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
