package standin

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

// MoveTakes sets how long later moves copy memory after the run has stopped.
func (e *PlatformEngine) MoveTakes(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.moveTime = d
}

// move answers POST /kv-move: it sends a copy of a run's memory to the target, unless there
// is a NoRoomFault. With "last" it stops the run first; the memory stays here, too.
func (e *PlatformEngine) move(w http.ResponseWriter, r *http.Request) {
	var m struct {
		ID     string `json:"id"`
		Target string `json:"target"`
		Last   bool   `json:"last"`
	}
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	handle := "h-" + m.ID
	e.mu.Lock()
	stop, running := e.running[m.ID]
	hasRoom := !e.takeFault(NoRoomFault)
	var isLost bool
	var takes time.Duration
	if running && m.Last {
		delete(e.running, m.ID)
		e.moves++
		hasRoom = hasRoom && !e.takeFault(LateNoRoomFault)
		isLost, takes = e.takeFault(LostMoveFault), e.moveTime
	}
	e.mu.Unlock()
	if !running {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if m.Last {
		close(stop)
		time.Sleep(takes) // the copy goes on whether or not the caller waits
	}
	isCopied := hasRoom && e.sendMemory(m.Target, handle)
	if !m.Last && !isCopied {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	status := http.StatusOK
	e.mu.Lock()
	if isCopied {
		e.movedTo[handle] = m.Target
	} else {
		status = http.StatusServiceUnavailable
	}
	switch {
	case !m.Last:
	case isCopied:
		e.keptMemory[e.Address()+"/"+handle] = true
	default:
		e.memoryHandles[e.Address()+"/"+handle] = true
	}
	e.mu.Unlock()
	if isLost {
		panic(http.ErrAbortHandler)
	}
	platformJSON(w, status, map[string]any{"handle": handle, "created": 0})
}

// sendMemory sends the memory of a run to another engine, and reports whether it arrived.
func (e *PlatformEngine) sendMemory(target, handle string) bool {
	body, _ := json.Marshal(handle)
	resp, err := http.Post("http://"+target+"/memory", "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return true
}

// receiveMemory answers POST /memory: it stores the memory handle of a run
// that another engine migrates here.
func (e *PlatformEngine) receiveMemory(_ http.ResponseWriter, r *http.Request) {
	var handle string
	if err := json.NewDecoder(r.Body).Decode(&handle); err != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.memoryHandles[handle] { // a copy that was sent before is brought up to date
		e.received++
	}
	e.memoryHandles[handle] = true
}

// freeMemory answers DELETE /kv-handle/ID: it frees the memory here and where it was
// moved.
func (e *PlatformEngine) freeMemory(w http.ResponseWriter, r *http.Request) {
	handle := r.PathValue("id")
	e.mu.Lock()
	target, moved := e.movedTo[handle]
	known := moved || e.memoryHandles[handle] || e.memoryHandles[e.Address()+"/"+handle]
	delete(e.movedTo, handle)
	delete(e.memoryHandles, handle)
	delete(e.memoryHandles, e.Address()+"/"+handle)
	delete(e.keptMemory, e.Address()+"/"+handle)
	e.mu.Unlock()
	if moved {
		req, err := http.NewRequestWithContext(r.Context(), http.MethodDelete, "http://"+target+"/kv-handle/"+handle, nil)
		if err == nil {
			var resp *http.Response
			if resp, err = http.DefaultClient.Do(req); err == nil {
				_ = resp.Body.Close()
			}
		}
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	if !known {
		w.WriteHeader(http.StatusNotFound)
	}
}

// takeMemory reports whether the memory that a request resumes from is here,
// and removes it. The caller holds mu.
func (e *PlatformEngine) takeMemory(from string) bool {
	_, handle, _ := strings.Cut(from, "/")
	for _, name := range []string{from, handle} {
		if e.memoryHandles[name] || e.keptMemory[name] {
			delete(e.memoryHandles, name)
			delete(e.keptMemory, name)
			e.resumed++
			return true
		}
	}
	return false
}

// Continued returns how many runs were resumed here from a memory handle.
func (e *PlatformEngine) Continued() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.resumed
}

// Moves returns how many runs stopped here to move.
func (e *PlatformEngine) Moves() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.moves
}

// Received returns how many copies of the memory of runs arrived here from other engines.
func (e *PlatformEngine) Received() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.received
}

// Copies returns how many copies of the memory of runs wait here for their requests.
func (e *PlatformEngine) Copies() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.memoryHandles)
}
