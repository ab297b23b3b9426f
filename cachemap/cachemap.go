// Package cachemap remembers which engines hold which shared parts of
// prompts.
//
// A part can be used only together with all parts before it, so it is known
// by the chain that it ends. Engines drop what is not used; an observation
// counts for a bounded time. The package does no I/O.
package cachemap

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquathoist/kumquathoist/call"
	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/pulse"
)

const (
	// lifetime is how long a part is believed to stay unused: engines turn
	// their memory over in about this time.
	lifetime = 10 * time.Second
	// holders bounds the engines remembered for a part.
	holders = 4
	// capacity bounds the parts remembered.
	capacity = 20_000
)

// Chain identifies a part and all before it under a salt.
type Chain uint64

// Chains returns the chain that ends with each of the parts.
func Chains(salt string, parts []call.Part) []Chain {
	chains := make([]Chain, 0, len(parts))
	d := xxhash.New()
	_, _ = d.WriteString(salt)
	for _, p := range parts {
		_, _ = d.Write([]byte{0})
		_, _ = d.WriteString(p.ID)
		chains = append(chains, Chain(d.Sum64()))
	}
	return chains
}

// holder is an engine that was seen with a part.
type holder struct {
	engine pulse.Engine
	at     clock.Instant
}

// Map remembers holders. Its owner guards it.
type Map struct {
	parts map[Chain][]holder
}

// New returns an empty map.
func New() *Map { return &Map{parts: map[Chain][]holder{}} }

// Saw notes that an engine holds the chains.
func (m *Map) Saw(engine pulse.Engine, chains []Chain, now clock.Instant) {
	if len(m.parts) > capacity {
		m.expire(now)
	}
	for _, c := range chains {
		list := slices.DeleteFunc(m.parts[c], func(h holder) bool {
			return h.engine == engine || now.Sub(h.at) > lifetime
		})
		if len(list) == holders {
			list = list[1:]
		}
		m.parts[c] = append(list, holder{engine, now})
	}
}

// expire drops what is too old.
func (m *Map) expire(now clock.Instant) {
	for c, list := range m.parts {
		if now.Sub(list[len(list)-1].at) > lifetime {
			delete(m.parts, c)
		}
	}
}

// Lost forgets all that an engine held.
func (m *Map) Lost(engine pulse.Engine) {
	for c, list := range m.parts {
		list = slices.DeleteFunc(list, func(h holder) bool { return h.engine == engine })
		if len(list) == 0 {
			delete(m.parts, c)
		} else {
			m.parts[c] = list
		}
	}
}

// Holders returns the engines that were seen with a chain, the last first.
func (m *Map) Holders(c Chain, now clock.Instant) []pulse.Engine {
	list := m.parts[c]
	found := make([]pulse.Engine, 0, len(list))
	for _, h := range slices.Backward(list) {
		if now.Sub(h.at) <= lifetime {
			found = append(found, h.engine)
		}
	}
	return found
}
