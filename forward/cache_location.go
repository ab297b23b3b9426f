package forward

import (
	"strconv"

	"github.com/kumquathoist/kumquathoist/cachemap"
	"github.com/kumquathoist/kumquathoist/call"
	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/isolation"
	"github.com/kumquathoist/kumquathoist/loadreport"
	"github.com/kumquathoist/kumquathoist/placement"
)

// cacheLocations holds where the shared parts of a prompt are assumed to be
// cached for one weights version.
type cacheLocations struct {
	weights int64
	// lastPart is the hash of the last shared part under these weights.
	lastPart string
	// holders are the engines that hold some of the parts, sorted by descending
	// tokens.
	holders []holder
	// owner is the engine that should read parts that no engine holds.
	owner string
	// storeAddress is the address of the part store for these parts, or "";
	// storedTokens counts the tokens that it holds.
	storeAddress string
	storedTokens int
}

// holder is an engine with the number of shared tokens that it holds.
type holder struct {
	upstream

	tokens int
}

// tokensAt returns how many shared tokens an engine holds.
func (loc cacheLocations) tokensAt(id string) int {
	for _, h := range loc.holders {
		if h.ID == id {
			return h.tokens
		}
	}
	return 0
}

// fetchableTokens returns how many shared tokens can be fetched from another
// engine or the part store.
func (loc cacheLocations) fetchableTokens() int {
	if len(loc.holders) > 0 {
		return max(loc.storedTokens, loc.holders[0].tokens)
	}
	return loc.storedTokens
}

// fetchSource returns the address that an engine should fetch missing parts
// from, or "". A fetch that finds nothing costs next to nothing.
func (loc cacheLocations) fetchSource(u upstream, shared int) string {
	own := loc.tokensAt(u.ID)
	if shared == 0 || own >= shared {
		return ""
	}
	best, bestTokens, near := loc.storeAddress, loc.storedTokens, false
	for _, h := range loc.holders {
		if h.ID == u.ID || h.tokens <= own || h.tokens < bestTokens {
			continue
		}
		if isNear := h.FailureDomain == u.FailureDomain; h.tokens > bestTokens || isNear && !near {
			best, bestTokens, near = h.Address, h.tokens, isNear
		}
	}
	return best
}

// group returns the accounts that share the parts of weights, by the newest
// configuration: the request may have waited since it was admitted.
func (h *handler) group(weights int64) isolation.Group {
	return h.snapshot.Group(h.call.Prompt.Model, weights)
}

// salt returns the salt of the cache keys, which separates the parts of
// different weights and of isolated accounts.
func (h *handler) salt(weights int64) string {
	return h.group(weights).Salt(weights, h.account.Name)
}

// locate returns where the shared parts of the prompt are cached, for each
// weights version of the upstreams.
func (h *handler) locate(upstreams []upstream, shared []call.Part, now clock.Instant) []cacheLocations {
	var all []cacheLocations
	for _, u := range upstreams {
		if _, ok := locationsFor(all, u.weights); !ok {
			all = append(all, h.locateFor(u.weights, upstreams, shared, now))
		}
	}
	return all
}

// locationsFor returns the locations for one weights version.
func locationsFor(all []cacheLocations, weights int64) (cacheLocations, bool) {
	for _, loc := range all {
		if loc.weights == weights {
			return loc, true
		}
	}
	return cacheLocations{}, false
}

func (h *handler) locateFor(weights int64, upstreams []upstream, shared []call.Part, now clock.Instant) cacheLocations {
	loc := cacheLocations{weights: weights}
	if len(shared) == 0 {
		return loc
	}
	keys, tokens := cachemap.Keys(h.salt(weights), shared), 0
	for _, p := range shared {
		tokens += p.Tokens
	}
	last := strconv.FormatUint(uint64(keys[len(keys)-1]), 16)
	loc.lastPart = last
	loc.owner = ownerOf(last, upstreams, weights)
	loc.storeAddress = h.partStore(last)
	storeHash := loadreport.HashEngine(loc.storeAddress)
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := len(keys) - 1; i >= 0; i-- {
		for _, hash := range h.cachedParts.Holders(keys[i], now) {
			if hash == storeHash && loc.storedTokens == 0 {
				loc.storedTokens = tokens
			}
			for _, u := range upstreams {
				if u.hash == hash && u.weights == weights && loc.tokensAt(u.ID) == 0 {
					loc.holders = append(loc.holders, holder{u, tokens})
				}
			}
		}
		tokens -= shared[i].Tokens
	}
	return loc
}

// ownerOf returns the engine that should read parts that no engine holds.
func ownerOf(key string, upstreams []upstream, weights int64) string {
	return placement.OwnerOf(key, func(yield func(string) bool) {
		for _, u := range upstreams {
			if u.weights == weights && !yield(u.ID) {
				return
			}
		}
	})
}

// partStore returns the address of the part store that owns a part's key, or "" if
// there is none.
func (h *handler) partStore(key string) string {
	return placement.OwnerOf(key, func(yield func(string) bool) {
		for _, s := range h.snapshot.Catalog.PartStores() {
			if !yield(s.Address) {
				return
			}
		}
	})
}

// recordCachedParts records that an engine that has started to answer holds
// the shared parts, and reports new ones to the other hosts.
func (h *handler) recordCachedParts(a *attempt) {
	shared := h.call.Prompt.Shared()
	if a.send.Weights == 0 || len(shared) == 0 {
		return
	}
	engine := loadreport.HashEngine(a.id)
	h.mu.Lock()
	added := h.cachedParts.Add(engine, cachemap.Keys(a.send.Salt, shared), clock.Now())
	h.mu.Unlock()
	for _, k := range added {
		h.LoadReports.NotifyObserved(loadreport.CachedPart{Engine: engine, Part: uint64(k)})
	}
}
