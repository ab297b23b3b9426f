// Package cachemap remembers which engines and stores hold which shared parts
// of prompts.
//
// A part can be used only together with all parts before it, and holders drop
// what was used longest ago, so one that holds a part is taken to hold those
// before it. Observations count for a bounded time, since news of what was
// dropped may be lost. The package does no I/O.
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
	// lifetime is how long a part is believed to stay unused. Holders tell
	// what they drop; a few of these news are lost.
	lifetime = 20 * time.Second
	// news is how old a sighting must be for the next to be news.
	news = 3 * time.Second
	// holders bounds the holders remembered for a part.
	holders = 8
	// capacity bounds the parts remembered.
	capacity = 20_000
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

// holder is an engine or store that was seen with a part.
type holder struct {
	engine loadreport.EngineHash
	at     clock.Instant
}

// Map remembers holders. Its owner guards it.
type Map struct {
	parts map[Key][]holder
}

// New returns an empty map.
func New() *Map { return &Map{parts: map[Key][]holder{}} }

// Saw notes that an engine holds parts, and returns those for which that is
// news to others: they were not seen there a moment ago.
func (m *Map) Saw(engine loadreport.EngineHash, keys []Key, now clock.Instant) []Key {
	if len(m.parts) > capacity {
		m.expire(now)
	}
	var fresh []Key
	for _, k := range keys {
		known := false
		list := slices.DeleteFunc(m.parts[k], func(h holder) bool {
			known = known || h.engine == engine && now.Sub(h.at) < news
			return h.engine == engine || now.Sub(h.at) > lifetime
		})
		if !known {
			fresh = append(fresh, k)
		}
		if len(list) == holders {
			list = slices.Delete(list, 0, 1)
		}
		m.parts[k] = append(list, holder{engine, now})
	}
	return fresh
}

// expire drops what is too old.
func (m *Map) expire(now clock.Instant) {
	for k, list := range m.parts {
		if now.Sub(list[len(list)-1].at) > lifetime {
			delete(m.parts, k)
		}
	}
}

// Dropped notes that an engine no longer holds a part, and tells whether it
// was believed to.
func (m *Map) Dropped(engine loadreport.EngineHash, key Key) bool {
	list, known := m.parts[key]
	left := slices.DeleteFunc(list, func(h holder) bool { return h.engine == engine })
	changed := len(left) < len(list)
	switch {
	case len(left) > 0:
		m.parts[key] = left
	case known:
		delete(m.parts, key)
	}
	return changed
}

// Lost forgets all that an engine held.
func (m *Map) Lost(engine loadreport.EngineHash) {
	for k := range m.parts {
		m.Dropped(engine, k)
	}
}

// Holders returns the engines that were seen with a part, the last first.
func (m *Map) Holders(k Key, now clock.Instant) []loadreport.EngineHash {
	list := m.parts[k]
	found := make([]loadreport.EngineHash, 0, len(list))
	for _, h := range slices.Backward(list) {
		if now.Sub(h.at) <= lifetime {
			found = append(found, h.engine)
		}
	}
	return found
}
