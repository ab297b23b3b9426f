// Package catalog holds one version of the operators' configuration: routes,
// services and client accounts. A catalog is immutable; each request uses one
// catalog throughout.
package catalog

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/kumquathoist/kumquathoist/account"
)

// Kind determines how often a request may be executed.
type Kind int

// The kinds of request.
const (
	// Repeatable requests may be executed any number of times.
	Repeatable Kind = iota + 1
	// Once requests may be executed at most once.
	Once
	// Stream requests are answered with events; only those of resumable routes
	// may be executed again.
	Stream
)

// Route configures how requests for a host and path prefix are served.
type Route struct {
	Name string
	// Host and Prefix select requests; the prefix starts and ends with "/".
	Host, Prefix string
	Kind         Kind
	// Timeout is the maximum time until a caller gets an answer.
	Timeout time.Duration
	// Objective is the maximum time to the answer or the first event for full
	// credit.
	Objective time.Duration
	// EventGap is the maximum pause between two events that counts as on time.
	EventGap time.Duration
	// Priority ranks requests; 0 is the highest.
	Priority int
	Shares   []Share
	// MaxUpstreams limits the upstreams that may execute one request.
	MaxUpstreams int
	// Public routes require no key.
	Public bool
	// Resumable streams may continue on another upstream.
	Resumable bool
}

// MayRepeat reports whether a request of the route may be executed more than once.
func (r Route) MayRepeat() bool {
	return r.Kind == Repeatable || r.Kind == Stream && r.Resumable
}

const (
	// Callers of a stream wait for its next event, including the first one, for
	// the longest of minEventTimeout, eventTimeoutObjectives times the objective
	// and eventTimeoutGaps times the event gap, as the users' pages say.
	minEventTimeout        = 2 * time.Second
	eventTimeoutObjectives = 4
	eventTimeoutGaps       = 8
)

// EventTimeout returns how long callers of a stream wait for its next event.
func (r Route) EventTimeout() time.Duration {
	return max(minEventTimeout, eventTimeoutObjectives*r.Objective, eventTimeoutGaps*r.EventGap)
}

// Service selects a service by weight. Random must be uniformly distributed over
// uint64.
func (r Route) Service(random uint64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return ""
	}
	offset := int(random % uint64(total))
	for _, s := range r.Shares {
		if offset < s.Weight {
			return s.Service
		}
		offset -= s.Weight
	}
	return ""
}

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// Service is a group of upstreams that do the same work.
type Service struct {
	Name string
	// HealthPath is the path at which its upstreams answer health checks.
	HealthPath string
	// Connections limits the open connections to one upstream from all hosts.
	Connections int
	// Engine is set for services of model engines.
	Engine *Engine
	// PartStore is set for part stores.
	PartStore *PartStore
}

// Engine describes the engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// Tokens is the capacity of its memory in tokens.
	Tokens int
	// TokenBytes is the size of one token in memory.
	TokenBytes int
	// SupportsMigration means that running requests can be migrated between them.
	SupportsMigration bool
	Models            []string
}

// PartStore is a store that caches prompt parts for engines.
type PartStore struct {
	// Address is its IP:port.
	Address string
	// FailureDomain is the failure domain of the store.
	FailureDomain string
}

// Account is a client account.
type Account struct {
	Name string
	// Priority, if set, overrides that of the route.
	Priority *int
	// Isolated accounts share no cached prompt parts with others.
	Isolated bool
	// Limit is the account's limit over all hosts; the zero value is none.
	Limit AccountLimit
}

// AccountLimit is the limit of an account, counted in requests or in tokens.
type AccountLimit struct {
	account.Limit

	// CountsTokens means that a request counts as its tokens, or as PlainTokens if it
	// names none. Otherwise each counts as 1.
	CountsTokens bool
	PlainTokens  int
}

// Amount returns what a request counts, given the tokens of its prompt and at most of
// its answer; 0 for a request that names none.
func (l AccountLimit) Amount(tokens float64) float64 {
	switch {
	case !l.CountsTokens:
		return 1
	case tokens > 0:
		return tokens
	}
	return float64(l.PlainTokens)
}

// Limits are the limits on requests of callers.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Catalog is one version of the configuration.
type Catalog struct {
	// Version increases with each change; 0 means that no configuration is known.
	Version int64
	Limits  Limits
	// Open means that no account is configured, so that no request requires a key.
	Open bool
	// LimitsAccounts means that an account has a limit.
	LimitsAccounts bool

	routes   map[string]map[string]Route
	services map[string]Service
	accounts map[string]Account
	keys     map[string]string
	// longestStream is the longest timeout of a resumable stream.
	longestStream time.Duration
	// isolated holds the names of the isolated accounts, sorted.
	isolated []string
}

// New returns a catalog. Keys maps the keys of accounts to account names.
func New(version int64, limits Limits, routes []Route, services []Service, accounts []Account, keys map[string]string) Catalog {
	c := Catalog{
		Version: version, Limits: limits, Open: len(accounts) == 0, keys: keys,
		routes: map[string]map[string]Route{}, services: map[string]Service{}, accounts: map[string]Account{},
	}
	for _, r := range routes {
		if r.Kind == Stream && r.Resumable {
			c.longestStream = max(c.longestStream, r.Timeout)
		}
		if c.routes[r.Host] == nil {
			c.routes[r.Host] = map[string]Route{}
		}
		c.routes[r.Host][r.Prefix] = r
	}
	for _, s := range services {
		c.services[s.Name] = s
	}
	for _, a := range accounts {
		c.accounts[a.Name] = a
		c.LimitsAccounts = c.LimitsAccounts || a.Limit.IsSet()
		if a.Isolated {
			c.isolated = append(c.isolated, a.Name)
		}
	}
	slices.Sort(c.isolated)
	return c
}

// Route returns the route of a host with the longest matching prefix of a path.
func (c Catalog) Route(host, path string) (Route, bool) {
	prefixes := c.routes[host]
	for end := len(path); end > 0 && len(prefixes) > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			break
		}
		if r, ok := prefixes[path[:slash+1]]; ok {
			return r, true
		}
		end = slash
	}
	return Route{}, false
}

// Service returns a service by its name.
func (c Catalog) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// LongestStream returns the longest timeout of the routes whose streams are
// resumable; 0 if there are none.
func (c Catalog) LongestStream() time.Duration { return c.longestStream }

// Services returns all services in no particular order.
func (c Catalog) Services() []Service {
	return slices.Collect(maps.Values(c.services))
}

// PartStores returns all part stores in no particular order.
func (c Catalog) PartStores() []PartStore {
	var stores []PartStore
	for _, s := range c.services {
		if s.PartStore != nil {
			stores = append(stores, *s.PartStore)
		}
	}
	return stores
}

// Isolated returns the names of the isolated accounts, sorted.
func (c Catalog) Isolated() []string { return c.isolated }

// ServicesByModel returns the names of the engine services by model.
func (c Catalog) ServicesByModel() map[string][]string {
	models := map[string][]string{}
	for _, s := range c.services {
		if s.Engine != nil {
			for _, m := range s.Engine.Models {
				models[m] = append(models[m], s.Name)
			}
		}
	}
	return models
}

// Account returns the account with a name.
func (c Catalog) Account(name string) (Account, bool) {
	a, ok := c.accounts[name]
	return a, ok
}

// AccountByKey returns the account that owns a key.
func (c Catalog) AccountByKey(key string) (Account, bool) {
	name, ok := c.keys[key]
	return c.accounts[name], ok
}
