package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// maxAppendWait bounds how long the rate limit may delay an append. An append that would wait longer is refused with status 503.
const maxAppendWait = time.Second

// maxReadEntries bounds the number of entries that one read returns.
const maxReadEntries = 10_000

type logRecord struct {
	data  []byte
	added time.Time
}

// Log is a stand-in for the platform's append-only log. The record at offset earliest+i is records[i].
type Log struct {
	*server
	outageSwitch

	mu           sync.Mutex
	records      []logRecord
	earliest     uint64
	identity     uint64        // incremented by Recreate
	maxRecords   int           // number of retained records; 0 for no limit
	maxAge       time.Duration // age of retained records; 0 for no limit
	pendingDrops int           // number of appends whose answer is still to be dropped
	appends      int           // number of executed appends
	limit        *rate.Limiter
	changed      chan struct{} // closed and replaced by each append and by Recreate
}

// LogOption sets an optional property of a Log.
type LogOption func(*Log)

// WithMaxRecords limits retention to the newest n records.
func WithMaxRecords(n int) LogOption { return func(l *Log) { l.maxRecords = n } }

// WithMaxAge limits retention to records younger than d.
func WithMaxAge(d time.Duration) LogOption { return func(l *Log) { l.maxAge = d } }

// WithAppendRate limits the appends a second. Appends above the rate are delayed by up to maxAppendWait; those that would have to wait
// longer are refused.
func WithAppendRate(perSecond float64) LogOption {
	return func(l *Log) { l.limit = rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10))) }
}

// NewLog starts a log on address.
func NewLog(address string, opts ...LogOption) (*Log, error) {
	l := &Log{identity: 1, changed: make(chan struct{}), limit: rate.NewLimiter(rate.Inf, 1)}
	for _, opt := range opts {
		opt(l)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log/append", l.serveAppend)
	mux.HandleFunc("GET /log/read", l.serveRead)
	s, err := newServer(address, l.wrap(mux))
	if err != nil {
		return nil, err
	}
	l.server = s
	return l, nil
}

// Close stops the log.
func (l *Log) Close() { l.stop() }

// DropResponses makes the log execute the next n appends and drop the connection instead of answering.
func (l *Log) DropResponses(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pendingDrops = n
}

// RemoveBefore removes all records below offset, as retention does.
func (l *Log) RemoveBefore(offset uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.records) > 0 && l.earliest < offset {
		l.records = l.records[1:]
		l.earliest++
	}
}

// Truncate removes the newest n records, as a restore from an older backup does. The log keeps its identity.
func (l *Log) Truncate(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = l.records[:max(0, len(l.records)-n)]
}

// Recreate empties the log and gives it a new identity. Offsets start again at 0.
func (l *Log) Recreate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records, l.earliest = nil, 0
	l.identity++
	l.notifyReaders()
}

// Appends returns the number of executed appends.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Records returns the data of the retained records, oldest first.
func (l *Log) Records() [][]byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(time.Now())
	all := make([][]byte, len(l.records))
	for i, r := range l.records {
		all[i] = r.data
	}
	return all
}

func (l *Log) nextOffset() uint64 { return l.earliest + uint64(len(l.records)) }

func (l *Log) identityName() string { return "log-" + strconv.FormatUint(l.identity, 10) }

func (l *Log) notifyReaders() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// expire removes the records that exceed the retention limits.
func (l *Log) expire(now time.Time) {
	n := 0
	if l.maxRecords > 0 {
		n = max(0, len(l.records)-l.maxRecords)
	}
	for l.maxAge > 0 && n < len(l.records) && now.Sub(l.records[n].added) > l.maxAge {
		n++
	}
	l.records = l.records[n:]
	l.earliest += uint64(n)
}

// serveAppend appends records, delayed or refused by the rate limit, and answers with the offset of the first one.
func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Records [][]byte `json:"records"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || len(body.Records) == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	reservation := l.limit.Reserve()
	if d := reservation.Delay(); d > maxAppendWait {
		reservation.Cancel()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	} else if d > 0 {
		time.Sleep(d)
	}
	l.mu.Lock()
	now := time.Now()
	first := l.nextOffset()
	for _, data := range body.Records {
		l.records = append(l.records, logRecord{data: data, added: now})
	}
	l.appends++
	l.expire(now)
	l.notifyReaders()
	identity := l.identityName()
	drop := l.pendingDrops > 0
	if drop {
		l.pendingDrops--
	}
	l.mu.Unlock()
	if drop {
		dropConnection()
	}
	writeJSON(w, http.StatusOK, struct {
		Offset   uint64 `json:"offset"`
		Identity string `json:"identity"`
	}{first, identity})
}

type logEntry struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

type logBatch struct {
	Entries  []logEntry `json:"entries"`
	Earliest uint64     `json:"earliest"`
	Next     uint64     `json:"next"`
	Identity string     `json:"identity"`
}

// serveRead returns the entries from an offset on. While there are none, it waits for an append for up to waitMillis.
func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.ParseUint(q.Get("from"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	n, err := strconv.Atoi(q.Get("max"))
	if err != nil || n <= 0 || n > maxReadEntries {
		n = maxReadEntries
	}
	wait, _ := strconv.Atoi(q.Get("waitMillis"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	_, outage := l.state()
	for {
		batch, changed := l.read(from, n)
		if len(batch.Entries) > 0 || wait <= 0 || from > batch.Next {
			writeJSON(w, http.StatusOK, batch)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-outage:
			dropConnection()
		case <-r.Context().Done():
			return
		}
	}
}

// read returns up to n entries, starting at offset from, and a channel that is closed at the next append or recreation.
func (l *Log) read(from uint64, n int) (logBatch, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(time.Now())
	b := logBatch{Entries: []logEntry{}, Earliest: l.earliest, Next: l.nextOffset(), Identity: l.identityName()}
	for o := max(from, l.earliest); o < b.Next && len(b.Entries) < n; o++ {
		b.Entries = append(b.Entries, logEntry{Offset: o, Data: l.records[o-l.earliest].data})
	}
	return b, l.changed
}
