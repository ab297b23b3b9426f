package forward

import (
	"maps"
	"sync"

	"github.com/kumquathoist/kumquathoist/retry"
)

// ranAttempts holds the upstreams whose attempts may have run, with the incarnations of
// their processes.
type ranAttempts struct {
	mu        sync.Mutex
	upstreams map[string]string
}

// recordRun records that an attempt may have run. Other hosts choose upstreams themselves.
func (h *handler) recordRun(a *attempt) {
	if a.relay {
		return
	}
	h.ran.mu.Lock()
	defer h.ran.mu.Unlock()
	if h.ran.upstreams == nil {
		h.ran.upstreams = map[string]string{}
	}
	h.ran.upstreams[a.id] = a.incarnation
}

// currentState returns the results of the attempts so far, with the upstreams that have
// ended since.
func (h *handler) currentState() retry.State {
	h.ran.mu.Lock()
	ran := maps.Clone(h.ran.upstreams)
	h.ran.mu.Unlock()
	state, upstreams := h.retryState, h.Replica.State().Upstreams
	for id, began := range ran {
		if e, ok := upstreams.Entry(id); !ok || began != "" && incarnation(e) != began {
			state.Ended++
		}
	}
	return state
}
