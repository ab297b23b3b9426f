// Package document defines the configuration document of the system and the
// fold that builds it from the records of the platform's log.
//
// The document has one section for each team. Every host folds the same
// records in the same order with the same rules, so that an edit is accepted
// either on every host or on none. The package does no I/O.
package document

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
)

// Document is one revision of the whole configuration. It is immutable:
// methods return changed copies.
type Document struct {
	// Position is the offset of the last folded log record.
	Position int64 `yaml:"Position"`
	// Capacity lists the pools of engines and plain services.
	Capacity Capacity `yaml:"Capacity"`
	// Models lists the models and their current versions.
	Models Models `yaml:"Models"`
	// Accounts lists the client accounts.
	Accounts Accounts `yaml:"Accounts"`
	// Routing configures the choice of engines.
	Routing Routing `yaml:"Routing"`
	// Audit limits the history of edits.
	Audit Audit `yaml:"Audit"`
}

// Capacity is the section of the capacity team.
type Capacity struct {
	// Pools are groups of upstreams that do the same work.
	Pools []Pool `yaml:"Pools"`
}

// PoolKind is the kind of upstreams in a pool.
type PoolKind string

// Pool kinds.
const (
	// EnginePool holds engines that run models.
	EnginePool PoolKind = "Engines"
	// ServicePool holds plain services.
	ServicePool PoolKind = "Service"
)

// Pool is a group of upstreams.
type Pool struct {
	Name string   `yaml:"Name"`
	Kind PoolKind `yaml:"Kind"`
	// Upstreams are the members of the pool.
	Upstreams []Upstream `yaml:"Upstreams"`
	// KeptStore is the base URL of the pool's kept KV cache store, if any.
	KeptStore string `yaml:"KeptStore,omitempty"`
}

// Upstream is an engine or an endpoint of a plain service.
type Upstream struct {
	Name string `yaml:"Name"`
	// Address is IP:port.
	Address       string `yaml:"Address"`
	FailureDomain string `yaml:"FailureDomain"`
	// Generation is the hardware generation.
	Generation string `yaml:"Generation,omitempty"`
	// ChecksFence reports whether the upstream rejects orders with an old
	// fencing number.
	ChecksFence bool `yaml:"ChecksFence,omitempty"`
	// Role is the engine's task, or "" for any.
	Role string `yaml:"Role,omitempty"`
	// Leave makes the engine finish its requests and accept no new ones.
	Leave bool `yaml:"Leave,omitempty"`
}

// Models is the section of the models team.
type Models struct {
	Models []Model `yaml:"Models"`
}

// Model is a model and its current version.
type Model struct {
	Name string `yaml:"Name"`
	// Pool is the name of the pool whose engines run the model.
	Pool string `yaml:"Pool"`
	// Version is the current version of the weights.
	Version string `yaml:"Version"`
	// From is the previous version, which may serve while engines load.
	From string `yaml:"From,omitempty"`
	// Adapters are loaded in addition to the weights.
	Adapters []string `yaml:"Adapters,omitempty"`
	// Paused stops further engines from loading the version.
	Paused bool `yaml:"Paused,omitempty"`
	// Interrupt allows even the last ready engine of the pool to load.
	Interrupt bool `yaml:"Interrupt,omitempty"`
}

// Accounts is the section of the accounts team.
type Accounts struct {
	Accounts []Account `yaml:"Accounts"`
}

// Account is a client account.
type Account struct {
	Name string `yaml:"Name"`
	// KeyHash is the SHA-256 of the account's key, in hexadecimal.
	KeyHash string `yaml:"KeyHash"`
	// Weight is the account's fair share relative to others.
	Weight int `yaml:"Weight"`
	// RequestsPerSecond limits the account across all hosts; 0 means no limit.
	RequestsPerSecond float64 `yaml:"RequestsPerSecond,omitempty"`
	// TokensPerSecond limits prompt and answer tokens; 0 means no limit.
	TokensPerSecond float64 `yaml:"TokensPerSecond,omitempty"`
	// Concurrency limits requests in flight; 0 means no limit.
	Concurrency int `yaml:"Concurrency,omitempty"`
	// Models and Services list the names that the account may use; empty
	// means all.
	Models   []string `yaml:"Models,omitempty"`
	Services []string `yaml:"Services,omitempty"`
}

// Routing is the section that weights the goals of routing.
type Routing struct {
	// WasteWeight balances the choice of engines between the lowest tail time
	// to first token (0) and the least wasted recomputation (1).
	WasteWeight float64 `yaml:"WasteWeight"`
}

// Audit is the section that limits the history of edits. It is part of the
// document because all hosts must have the same history.
type Audit struct {
	// Verdicts is the maximum number of audit trail entries; 0 means the
	// default.
	Verdicts int `yaml:"Verdicts,omitempty"`
	// Days is the maximum age of an entry; 0 means no limit.
	Days int `yaml:"Days,omitempty"`
	// Bodies is the maximum number of older revisions stored per section; 0
	// means the default.
	Bodies int `yaml:"Bodies,omitempty"`
}

const (
	defaultVerdicts = 1000
	defaultBodies   = 3
)

// withDefaults returns the section with its defaults set.
func (a Audit) withDefaults() Audit {
	if a.Verdicts == 0 {
		a.Verdicts = defaultVerdicts
	}
	if a.Bodies == 0 {
		a.Bodies = defaultBodies
	}
	return a
}

// HashKey returns the KeyHash of an account's key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Account returns the account with the name.
func (d Document) Account(name string) (Account, bool) {
	i := slices.IndexFunc(d.Accounts.Accounts, func(a Account) bool { return a.Name == name })
	if i < 0 {
		return Account{}, false
	}
	return d.Accounts.Accounts[i], true
}

// AccountByKeyHash returns the account with the key hash.
func (d Document) AccountByKeyHash(hash string) (Account, bool) {
	i := slices.IndexFunc(d.Accounts.Accounts, func(a Account) bool { return a.KeyHash == hash })
	if i < 0 {
		return Account{}, false
	}
	return d.Accounts.Accounts[i], true
}

// Model returns the model with the name.
func (d Document) Model(name string) (Model, bool) {
	i := slices.IndexFunc(d.Models.Models, func(m Model) bool { return m.Name == name })
	if i < 0 {
		return Model{}, false
	}
	return d.Models.Models[i], true
}

// Pool returns the pool with the name.
func (d Document) Pool(name string) (Pool, bool) {
	i := slices.IndexFunc(d.Capacity.Pools, func(p Pool) bool { return p.Name == name })
	if i < 0 {
		return Pool{}, false
	}
	return d.Capacity.Pools[i], true
}

// AllowsModel reports whether the account may use the model.
func (a Account) AllowsModel(name string) bool {
	return len(a.Models) == 0 || slices.Contains(a.Models, name)
}

// AllowsService reports whether the account may use the plain service.
func (a Account) AllowsService(name string) bool {
	return len(a.Services) == 0 || slices.Contains(a.Services, name)
}
