package forward

import (
	"strconv"

	"github.com/kumquathoist/kumquathoist/cachemap"
	"github.com/kumquathoist/kumquathoist/call"
	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/loadreport"
	"github.com/kumquathoist/kumquathoist/placement"
)

// whereabouts tells where the shared parts of a prompt are believed to be
// under one number of weights.
type whereabouts struct {
	weights int64
	// part is the short name of the last shared part under these weights.
	part string
	// held are the engines that hold some, those with most tokens first.
	held []holding
	// home is the engine that should read parts that nobody holds.
	home string
	// store is the address of the store of these parts, or "", and stored
	// counts the tokens that it holds.
	store  string
	stored int
}

// holding is what one engine holds.
type holding struct {
	site

	tokens int
}

// at returns how many shared tokens an engine holds.
func (w whereabouts) at(id string) int {
	for _, h := range w.held {
		if h.ID == id {
			return h.tokens
		}
	}
	return 0
}

// elsewhere returns how many shared tokens can be fetched.
func (w whereabouts) elsewhere() int {
	if len(w.held) > 0 {
		return max(w.stored, w.held[0].tokens)
	}
	return w.stored
}

// source returns where an engine should fetch parts from that it lacks, or
// "". A look that finds nothing costs next to nothing.
func (w whereabouts) source(s site, shared int) string {
	own := w.at(s.ID)
	if shared == 0 || own >= shared {
		return ""
	}
	best, bestTokens, near := w.store, w.stored, false
	for _, h := range w.held {
		if h.ID == s.ID || h.tokens <= own || h.tokens < bestTokens {
			continue
		}
		if isNear := h.FailureDomain == s.FailureDomain; h.tokens > bestTokens || isNear && !near {
			best, bestTokens, near = h.Address, h.tokens, isNear
		}
	}
	return best
}

// salt keeps parts apart that were made by other weights or for accounts that
// share nothing.
func (d *run) salt(weights int64) string {
	salt := "w" + strconv.FormatInt(weights, 10)
	if d.account.Isolated {
		salt += "/" + d.account.Name
	}
	return salt
}

// locate finds out where the shared parts of the prompt are, for each number
// of weights that the sites have.
func (d *run) locate(sites []site, shared []call.Part, now clock.Instant) []whereabouts {
	var all []whereabouts
	for _, s := range sites {
		if _, ok := under(all, s.weights); !ok {
			all = append(all, d.locateUnder(s.weights, sites, shared, now))
		}
	}
	return all
}

// under returns the whereabouts under one number of weights.
func under(all []whereabouts, weights int64) (whereabouts, bool) {
	for _, w := range all {
		if w.weights == weights {
			return w, true
		}
	}
	return whereabouts{}, false
}

func (d *run) locateUnder(weights int64, sites []site, shared []call.Part, now clock.Instant) whereabouts {
	w := whereabouts{weights: weights}
	if len(shared) == 0 {
		return w
	}
	keys, tokens := cachemap.Keys(d.salt(weights), shared), 0
	for _, p := range shared {
		tokens += p.Tokens
	}
	last := strconv.FormatUint(uint64(keys[len(keys)-1]), 16)
	w.part = last
	w.home = homeOf(last, sites, weights)
	w.store = d.partStore(last)
	store := loadreport.Short(w.store)
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := len(keys) - 1; i >= 0; i-- {
		for _, holder := range d.cached.Holders(keys[i], now) {
			if holder == store && w.stored == 0 {
				w.stored = tokens
			}
			for _, s := range sites {
				if s.short == holder && s.weights == weights && w.at(s.ID) == 0 {
					w.held = append(w.held, holding{s, tokens})
				}
			}
		}
		tokens -= shared[i].Tokens
	}
	return w
}

// homeOf returns the engine that should read parts that nobody holds.
func homeOf(key string, sites []site, weights int64) string {
	return placement.OwnerOf(key, func(yield func(string) bool) {
		for _, s := range sites {
			if s.weights == weights && !yield(s.ID) {
				return
			}
		}
	})
}

// partStore returns the address of the store that keeps parts with a key, or
// "" if there is none.
func (d *run) partStore(key string) string {
	return placement.OwnerOf(key, func(yield func(string) bool) {
		for _, s := range d.book.Catalog.PartStores() {
			if !yield(s.Address) {
				return
			}
		}
	})
}

// saw notes that an engine that has begun to answer holds the parts, and
// tells other hosts.
func (d *run) saw(a *attempt) {
	shared := d.call.Prompt.Shared()
	if a.send.Weights == 0 || len(shared) == 0 {
		return
	}
	holder := loadreport.Short(a.id)
	d.mu.Lock()
	fresh := d.cached.Add(holder, cachemap.Keys(a.send.Salt, shared), clock.Now())
	d.mu.Unlock()
	for _, k := range fresh {
		d.Pulses.Saw(loadreport.Sighting{Engine: holder, Part: uint64(k)})
	}
}
