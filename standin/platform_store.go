package standin

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// PlatformStore stands in for the store of the users' platform: a log with
// single-partition topics, and the newest record of each key in keyed topics.
type PlatformStore struct {
	server   *http.Server
	listener silencer
	// mu guards the fields below.
	mu      sync.Mutex
	topics  map[string]*platformTopic
	changed chan struct{}
	// refuse maps remote IPs to the status that answers all their calls; "" is
	// for all hosts and 0 refuses nothing.
	refuse map[string]int
	// mute, if set, blocks calls until it is closed, then drops them unanswered.
	mute chan struct{}
	// answersToLose is how many of the next appends take effect without being answered.
	answersToLose int
	calls         map[string]int
	// era counts how often the store came back from an older copy.
	era int64
}

type platformTopic struct {
	first   int64
	records [][]byte
	newest  map[string]newestRecord
}

type newestRecord struct {
	value  []byte
	offset int64
}

// NewPlatformStore starts a store on a free port.
func NewPlatformStore() (*PlatformStore, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &PlatformStore{listener: newSilencer(listener), topics: map[string]*platformTopic{}, changed: make(chan struct{}), refuse: map[string]int{}, calls: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.append)
	mux.HandleFunc("GET /log-read", s.read)
	mux.HandleFunc("GET /log-newest", s.listNewest)
	s.server = &http.Server{Handler: s.injectFaults(mux)}
	go func() { _ = s.server.Serve(s.listener) }()
	return s, nil
}

// Address returns the store's IP:port.
func (s *PlatformStore) Address() string { return s.listener.Addr().String() }

// Close stops the store.
func (s *PlatformStore) Close() { _ = s.server.Close() }

// Refuse answers calls from an IP ("" for all) with a status; 0 ends the
// fault.
func (s *PlatformStore) Refuse(ip string, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse[ip] = status
}

// Mute leaves all calls unanswered until the returned function is called.
func (s *PlatformStore) Mute() (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	unmuted := make(chan struct{})
	s.mute = unmuted
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.mute = nil
		close(unmuted)
	}
}

// Silence makes the connections that are open now silent for good; new ones work.
func (s *PlatformStore) Silence() { s.listener.silence() }

// LoseAnswers makes the next n appends take effect without being answered.
func (s *PlatformStore) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answersToLose = n
}

// Calls returns how often a path was called.
func (s *PlatformStore) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Trim drops the records of a topic but keeps the newest one of each key.
func (s *PlatformStore) Trim(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topic)
	t.first += int64(len(t.records))
	t.records = nil
}

// Copy returns a function that brings the store back to its present content: what
// is written until then is lost.
func (s *PlatformStore) Copy() (restore func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := map[string]*platformTopic{}
	for name, t := range s.topics {
		copied[name] = &platformTopic{first: t.first, records: slices.Clone(t.records), newest: maps.Clone(t.newest)}
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.topics = copied
		s.era++
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// Put writes the record of a key; a nil value removes the key.
func (s *PlatformStore) Put(topic, key string, value any) {
	record := append([]byte{byte(len(key))}, key...)
	switch v := value.(type) {
	case nil:
	case []byte:
		record = append(record, v...)
	default:
		raw, err := json.Marshal(v)
		if err != nil {
			panic(err)
		}
		record = append(record, raw...)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(topic, record)
}

// Append appends a record as a program wrote it.
func (s *PlatformStore) Append(topic string, record []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(topic, record)
}

// Records returns the records of a topic that were not trimmed.
func (s *PlatformStore) Records(topic string) [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([][]byte{}, s.topic(topic).records...)
}

// topic returns the named topic and creates it on first use. The caller holds
// mu.
func (s *PlatformStore) topic(name string) *platformTopic {
	t, ok := s.topics[name]
	if !ok {
		t = &platformTopic{newest: map[string]newestRecord{}}
		s.topics[name] = t
	}
	return t
}

// add appends a record. The caller holds mu.
func (s *PlatformStore) add(topic string, record []byte) {
	t := s.topic(topic)
	offset := t.first + int64(len(t.records))
	t.records = append(t.records, record)
	if strings.HasPrefix(topic, "keyed.") && len(record) > int(record[0]) {
		key, value := string(record[1:1+record[0]]), record[1+record[0]:]
		if len(value) == 0 {
			delete(t.newest, key)
		} else {
			t.newest[key] = newestRecord{value, offset}
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// injectFaults counts calls and applies the faults before the next handler.
func (s *PlatformStore) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ip, _, _ := net.SplitHostPort(r.RemoteAddr)
		s.mu.Lock()
		s.calls[r.URL.Path]++
		status, mute := max(s.refuse[ip], s.refuse[""]), s.mute
		s.mu.Unlock()
		w = &eraWriter{w, s}
		if mute != nil {
			select {
			case <-mute:
			case <-r.Context().Done():
			}
			panic(http.ErrAbortHandler)
		}
		if status != 0 {
			w.WriteHeader(status)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// eraWriter names the store's era in the head of an answer.
type eraWriter struct {
	http.ResponseWriter

	store *PlatformStore
}

// WriteHeader writes the head with the era at this moment.
func (w *eraWriter) WriteHeader(status int) {
	w.store.mu.Lock()
	w.Header().Set("Store-Era", strconv.FormatInt(w.store.era, 10))
	w.store.mu.Unlock()
	w.ResponseWriter.WriteHeader(status)
}

func platformJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *PlatformStore) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	name := r.URL.Query().Get("topic")
	s.mu.Lock()
	t := s.topic(name)
	end := t.first + int64(len(t.records))
	if asOf := r.URL.Query().Get("as_of"); asOf != "" && asOf != strconv.FormatInt(end, 10) {
		s.mu.Unlock()
		platformJSON(w, http.StatusPreconditionFailed, map[string]int64{"end_offset": end})
		return
	}
	offset := end
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		s.add(name, append([]byte{}, body[4:4+n]...))
		end++
		body = body[4+n:]
	}
	lose := s.answersToLose > 0
	if lose {
		s.answersToLose--
	}
	s.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	platformJSON(w, http.StatusOK, map[string]int64{"offset": offset, "end_offset": end})
}

func (s *PlatformStore) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.ParseInt(query.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		t, changed := s.topic(query.Get("topic")), s.changed
		end := t.first + int64(len(t.records))
		if from < t.first || from > end && s.era > 0 {
			first := t.first
			s.mu.Unlock()
			platformJSON(w, http.StatusGone, map[string]int64{"first_offset": first})
			return
		}
		if from < end || ctx.Err() != nil {
			out := binary.BigEndian.AppendUint64(nil, uint64(end))
			out = binary.BigEndian.AppendUint64(out, uint64(t.first))
			for _, record := range t.records[min(from, end)-t.first:] {
				out = append(binary.BigEndian.AppendUint32(out, uint32(len(record))), record...)
			}
			s.mu.Unlock()
			w.WriteHeader(http.StatusOK)
			_, _ = w.Write(out)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (s *PlatformStore) listNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int64  `json:"offset"`
	}
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	items := []item{}
	for key, n := range t.newest {
		items = append(items, item{key, n.value, n.offset})
	}
	end := t.first + int64(len(t.records))
	s.mu.Unlock()
	platformJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "end_offset": end})
}
