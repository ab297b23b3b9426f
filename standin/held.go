package standin

import (
	"bytes"
	"fmt"
	"net"
	"os"
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

// unreadBytes returns the bytes in the receive queues of the listeners' connections, also of
// those that wait to be accepted.
func (h *HeldBytes) unreadBytes() int64 {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", h.pid))
	total := int64(0)
	for line := range bytes.Lines(raw) {
		// The fields are a number, the local and the remote address, the state and the queues.
		fields := bytes.Fields(line)
		if len(fields) < 5 || string(fields[3]) == listenState {
			continue
		}
		_, port, _ := bytes.Cut(fields[1], []byte(":"))
		_, received, _ := bytes.Cut(fields[4], []byte(":"))
		if slices.Contains(h.ports, string(port)) {
			n, _ := strconv.ParseInt(string(received), 16, 64)
			total += n
		}
	}
	return total
}
