package standin

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heldInterval is the interval between two measurements of a HeldBytes.
const heldInterval = 10 * time.Millisecond

// listenState is the state of a listening socket, whose queues count connections.
const listenState = "0A"

// HeldBytes measures the memory that counts toward the limit of a process: its resident
// memory and the bytes that it has received and not yet read.
type HeldBytes struct {
	pid   int
	ports []string
	stop  chan struct{}
	done  sync.WaitGroup
	// peak, resident and unread are the largest sum so far and its parts.
	peak, resident, unread int64
}

// NewHeldBytes measures a process that listens on addresses (IP:port) until Stop is called.
func NewHeldBytes(pid int, listeners ...string) *HeldBytes {
	h := &HeldBytes{pid: pid, stop: make(chan struct{})}
	for _, address := range listeners {
		if _, port, err := net.SplitHostPort(address); err == nil {
			n, _ := strconv.Atoi(port)
			h.ports = append(h.ports, fmt.Sprintf("%04X", n))
		}
	}
	h.done.Go(func() {
		for {
			h.measure()
			select {
			case <-h.stop:
				return
			case <-time.After(heldInterval):
			}
		}
	})
	return h
}

// Stop ends the measurement and returns the largest sum in bytes, with its parts.
func (h *HeldBytes) Stop() (peak, resident, unread int64) {
	close(h.stop)
	h.done.Wait()
	return h.peak, h.resident, h.unread
}

func (h *HeldBytes) measure() {
	resident, unread := h.residentBytes(), h.unreadBytes()
	if sum := resident + unread; sum > h.peak {
		h.peak, h.resident, h.unread = sum, resident, unread
	}
}

// residentBytes returns the resident memory, or 0 once the process has ended.
func (h *HeldBytes) residentBytes() int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", h.pid))
	fields := strings.Fields(string(raw))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// unreadBytes returns the bytes in the receive queues of the process's connections, also of
// those that wait to be accepted.
func (h *HeldBytes) unreadBytes() int64 {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", h.pid))
	total, own := int64(0), h.sockets()
	for line := range bytes.Lines(raw) {
		// The fields are a number, the local and the remote address, the state and the queues;
		// the tenth is the socket.
		fields := bytes.Fields(line)
		if len(fields) < 10 || string(fields[3]) == listenState {
			continue
		}
		_, port, _ := bytes.Cut(fields[1], []byte(":"))
		_, received, _ := bytes.Cut(fields[4], []byte(":"))
		if own["socket:["+string(fields[9])+"]"] || slices.Contains(h.ports, string(port)) {
			n, _ := strconv.ParseInt(string(received), 16, 64)
			total += n
		}
	}
	return total
}

// sockets returns the process's sockets by the names that the kernel gives them.
func (h *HeldBytes) sockets() map[string]bool {
	dir := fmt.Sprintf("/proc/%d/fd", h.pid)
	open, _ := os.ReadDir(dir)
	found := map[string]bool{}
	for _, f := range open {
		if name, err := os.Readlink(filepath.Join(dir, f.Name())); err == nil {
			found[name] = true
		}
	}
	return found
}
