package standin

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/kumquathoist/kumquathoist/registry"
)

// LogFaults are the faults that a test or a person injects into the log.
type LogFaults struct {
	// Down refuses every call.
	Down bool
	// SlowMillis delays every append.
	SlowMillis int
	// LoseAnswers is how many of the next appends take effect without being
	// answered.
	LoseAnswers int
	// RetentionMillis is how long records are retained; 0 means forever.
	RetentionMillis int64
	// Trim drops all current records.
	Trim bool
}

// logStream is the records of one stream.
type logStream struct {
	first   int64
	records []registry.Record
	changed chan struct{}
}

// Log stands in for the platform's log service.
type Log struct {
	*Server

	// mu guards the fields below.
	mu      sync.Mutex
	streams map[string]*logStream
	faults  LogFaults
	appends int64
}

// NewLog serves a log on an address until the context ends.
func NewLog(ctx context.Context, address string) (*Log, error) {
	l := &Log{streams: map[string]*logStream{}}
	app := newApp()
	app.Post("/streams/:stream/records", l.append)
	app.Get("/streams/:stream/records", l.read)
	app.Post("/faults", l.setFaults)
	app.Get("/counts", l.counts)
	var err error
	l.Server, err = newServer(ctx, address, app)
	return l, err
}

// SetFaults replaces the faults.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f.Trim {
		for _, s := range l.streams {
			s.first += int64(len(s.records))
			s.records = nil
		}
		f.Trim = false
	}
	l.faults = f
}

func (l *Log) setFaults(c fiber.Ctx) error {
	var f LogFaults
	if err := c.Bind().JSON(&f); err != nil {
		return err
	}
	l.SetFaults(f)
	return c.JSON(f)
}

func (l *Log) counts(c fiber.Ctx) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return c.JSON(struct{ Appends int64 }{l.appends})
}

func (l *Log) append(c fiber.Ctx) error {
	l.mu.Lock()
	slow, down := l.faults.SlowMillis, l.faults.Down
	l.mu.Unlock()
	if down {
		return c.SendStatus(http.StatusServiceUnavailable)
	}
	time.Sleep(time.Duration(slow) * time.Millisecond)
	appended, lost := l.appendRecord(c.Params("stream"), c.Body())
	if lost {
		return c.RequestCtx().Conn().Close()
	}
	return c.JSON(appended)
}

// appendRecord appends a record and reports whether its answer must be lost.
func (l *Log) appendRecord(stream string, data []byte) (registry.AppendResult, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(stream)
	record := registry.Record{
		Offset:         s.first + int64(len(s.records)),
		AppendedMillis: time.Now().UnixMilli(),
		Data:           append([]byte(nil), data...),
	}
	s.records = append(s.records, record)
	l.appends++
	close(s.changed)
	s.changed = make(chan struct{})
	lost := l.faults.LoseAnswers > 0
	if lost {
		l.faults.LoseAnswers--
	}
	return registry.AppendResult{Offset: record.Offset, AppendedMillis: record.AppendedMillis}, lost
}

// stream returns the named stream and creates it on first use. The caller
// holds mu.
func (l *Log) stream(name string) *logStream {
	s, ok := l.streams[name]
	if !ok {
		s = &logStream{changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (l *Log) read(c fiber.Ctx) error {
	from, err := strconv.ParseInt(c.Query("From", "0"), 10, 64)
	if err != nil {
		return fiber.NewError(http.StatusBadRequest, "From is not a number")
	}
	wait, err := strconv.Atoi(c.Query("WaitMillis", "0"))
	if err != nil {
		return fiber.NewError(http.StatusBadRequest, "WaitMillis is not a number")
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		page, changed, down := l.page(c.Params("stream"), from)
		if down {
			return c.SendStatus(http.StatusServiceUnavailable)
		}
		if len(page.Records) > 0 {
			return c.JSON(page)
		}
		select {
		case <-changed:
		case <-timeout:
			return c.JSON(page)
		}
	}
}

// maxPageRecords limits the records in the answer to one read.
const maxPageRecords = 1000

// page returns the records from an offset on, a channel that closes at the
// next append, and whether the log is down.
func (l *Log) page(stream string, from int64) (registry.Page, <-chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(stream)
	l.expire(s)
	page := registry.Page{
		First:     s.first,
		Next:      s.first + int64(len(s.records)),
		NowMillis: time.Now().UnixMilli(),
		Records:   []registry.Record{},
	}
	start := max(from-s.first, 0)
	if start < int64(len(s.records)) {
		end := min(start+maxPageRecords, int64(len(s.records)))
		page.Records = append(page.Records, s.records[start:end]...)
	}
	return page, s.changed, l.faults.Down
}

// expire drops records older than the retention time. The caller holds mu.
func (l *Log) expire(s *logStream) {
	if l.faults.RetentionMillis == 0 {
		return
	}
	oldest := time.Now().UnixMilli() - l.faults.RetentionMillis
	for len(s.records) > 0 && s.records[0].AppendedMillis < oldest {
		s.records = s.records[1:]
		s.first++
	}
}
