package ingress

import (
	"sync"
	"time"

	"github.com/kumquathoist/kumquathoist/intake"
)

// Answers limits the bytes of the whole answers of a host, from when they are read until
// their clients have taken them.
//
// The load that it answers: clients that ask for large answers and don't read them. If there
// is no room, the answer that its client has not taken for longest ends.
type Answers struct {
	limit int64
	// mu guards the fields below.
	mu   sync.Mutex
	held int64
	// writing holds the connections whose clients are sent an answer.
	writing map[*Conn]struct{}
}

// NewAnswers returns the answers of a host, which may hold a number of bytes together.
func NewAnswers(limit int64) *Answers {
	return &Answers{limit: limit, writing: map[*Conn]struct{}{}}
}

// Take takes room for more bytes of an answer, and reports whether there is any.
func (a *Answers) Take(bytes int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.held+int64(bytes) <= a.limit {
		a.held += int64(bytes)
		return true
	}
	a.makeRoom()
	return false
}

// Release gives back room for bytes that were taken.
func (a *Answers) Release(bytes int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.held -= int64(bytes)
}

// Hold keeps the room of an answer until the client of a connection has
// taken it or the connection has ended.
func (a *Answers) Hold(c *Conn, bytes int) {
	a.mu.Lock()
	a.writing[c] = struct{}{}
	a.mu.Unlock()
	c.Update(func(r *OpenRequest) {
		r.Taken = func() {
			a.mu.Lock()
			defer a.mu.Unlock()
			delete(a.writing, c)
			a.held -= int64(bytes)
		}
	})
}

// makeRoom ends the answer that its client has not taken for longest, if that is long
// enough. The caller holds the mutex.
func (a *Answers) makeRoom() {
	var longest standing
	for c := range a.writing {
		since, state := c.standing()
		if state == standsUnread && (longest.conn == nil || since.Before(longest.since)) {
			longest = standing{c, since}
		}
	}
	if longest.conn != nil && time.Since(longest.since) >= intake.StandstillTime {
		longest.conn.endAnswer()
		longest.conn.listener.record(connectionUnread)
	}
}
