// Package cachemap tracks which engines and stores cache which shared parts of
// prompts.
//
// A part is usable only together with all parts before it, and holders evict
// the least recently used parts, so a holder of a part is assumed to hold the
// parts before it too. Cache observations expire, since reports of evictions
// may be lost. The package does no I/O.
package cachemap

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquathoist/kumquathoist/call"
	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/loadreport"
)

const (
	// lifetime is how long an unused part is assumed to stay cached. Holders
	// report evictions, but a few of these reports are lost.
	lifetime = 20 * time.Second
	// refreshInterval is the age from which an observation is reported again.
	refreshInterval = 3 * time.Second
	// maxHolders bounds the holders tracked for a part.
	maxHolders = 8
	// maxParts is the number of tracked parts above which expired ones are
	// removed.
	maxParts = 20_000
)

// Key identifies a part under a salt.
type Key uint64

// KeyOf returns the key of one part.
func KeyOf(salt, part string) Key {
	d := xxhash.New()
	_, _ = d.WriteString(salt)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(part)
	return Key(d.Sum64())
}

// Keys returns the keys of parts.
func Keys(salt string, parts []call.Part) []Key {
	keys := make([]Key, 0, len(parts))
	for _, p := range parts {
		keys = append(keys, KeyOf(salt, p.ID))
	}
	return keys
}

// holder is an engine or part store that was observed to cache a part.
type holder struct {
	engine   loadreport.EngineHash
	lastSeen clock.Instant
}

// Map tracks the holders of parts. It isn't safe for concurrent use.
type Map struct {
	parts map[Key][]holder
}

// New returns an empty map.
func New() *Map { return &Map{parts: map[Key][]holder{}} }

// Add records that an engine holds parts. It returns the parts to report to
// other hosts: those not observed on the engine within refreshInterval.
func (m *Map) Add(engine loadreport.EngineHash, keys []Key, now clock.Instant) []Key {
	if len(m.parts) > maxParts {
		m.removeExpired(now)
	}
	var unreported []Key
	for _, k := range keys {
		reported := false
		list := slices.DeleteFunc(m.parts[k], func(h holder) bool {
			reported = reported || h.engine == engine && now.Sub(h.lastSeen) < refreshInterval
			return h.engine == engine || now.Sub(h.lastSeen) > lifetime
		})
		if !reported {
			unreported = append(unreported, k)
		}
		if len(list) == maxHolders {
			list = slices.Delete(list, 0, 1)
		}
		m.parts[k] = append(list, holder{engine, now})
	}
	return unreported
}

// removeExpired removes parts without an observation within lifetime.
func (m *Map) removeExpired(now clock.Instant) {
	for k, list := range m.parts {
		if now.Sub(list[len(list)-1].lastSeen) > lifetime {
			delete(m.parts, k)
		}
	}
}

// Remove records that an engine no longer holds a part, and reports whether it
// was assumed to hold it.
func (m *Map) Remove(engine loadreport.EngineHash, key Key) bool {
	list, known := m.parts[key]
	remaining := slices.DeleteFunc(list, func(h holder) bool { return h.engine == engine })
	removed := len(remaining) < len(list)
	switch {
	case len(remaining) > 0:
		m.parts[key] = remaining
	case known:
		delete(m.parts, key)
	}
	return removed
}

// RemoveAll removes an engine as a holder of all parts.
func (m *Map) RemoveAll(engine loadreport.EngineHash) {
	for k := range m.parts {
		m.Remove(engine, k)
	}
}

// Holders returns the engines that hold a part, most recently observed first.
func (m *Map) Holders(k Key, now clock.Instant) []loadreport.EngineHash {
	list := m.parts[k]
	found := make([]loadreport.EngineHash, 0, len(list))
	for _, h := range slices.Backward(list) {
		if now.Sub(h.lastSeen) <= lifetime {
			found = append(found, h.engine)
		}
	}
	return found
}
