package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// longestAppendWait bounds how long an append waits for its turn under the rate limit; later ones are answered 503.
const longestAppendWait = time.Second

// longestRead is the most entries that one read returns.
const longestRead = 10_000

type logRecord struct {
	data  []byte
	added time.Time
}

// Log is a stand-in for the platform's append-only log. The record at offset earliest+i is records[i].
type Log struct {
	*server
	outageSwitch

	mu        sync.Mutex
	records   []logRecord
	earliest  uint64
	identity  uint64
	keepCount int
	keepAge   time.Duration
	lose      int
	appends   int
	limit     *rate.Limiter
	grown     chan struct{}
}

// LogOption sets an optional property of a Log.
type LogOption func(*Log)

// KeepRecords limits the retention to the newest n records.
func KeepRecords(n int) LogOption { return func(l *Log) { l.keepCount = n } }

// KeepAge limits the retention to records younger than d.
func KeepAge(d time.Duration) LogOption { return func(l *Log) { l.keepAge = d } }

// AppendRate limits the appends a second. Appends above the rate wait for their turn, at most a second.
func AppendRate(perSecond float64) LogOption {
	return func(l *Log) { l.limit = rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10))) }
}

// NewLog starts a log on address.
func NewLog(address string, opts ...LogOption) (*Log, error) {
	l := &Log{identity: 1, grown: make(chan struct{}), limit: rate.NewLimiter(rate.Inf, 1)}
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

// LoseAnswers makes the next n appends take effect without an answer: the connection is dropped.
func (l *Log) LoseAnswers(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lose = n
}

// Forget drops all records below offset, as retention does.
func (l *Log) Forget(offset uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.records) > 0 && l.earliest < offset {
		l.records = l.records[1:]
		l.earliest++
	}
}

// Truncate loses the newest n records, as a restore from an older copy does. The identity stays.
func (l *Log) Truncate(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = l.records[:max(0, len(l.records)-n)]
}

// Recreate empties the log. Offsets start again at 0 under a new identity.
func (l *Log) Recreate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records, l.earliest = nil, 0
	l.identity++
	l.wake()
}

// Appends returns the number of appends that took effect.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Records returns the contents that the log keeps, oldest first.
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

func (l *Log) next() uint64 { return l.earliest + uint64(len(l.records)) }

func (l *Log) name() string { return "log-" + strconv.FormatUint(l.identity, 10) }

func (l *Log) wake() {
	close(l.grown)
	l.grown = make(chan struct{})
}

func (l *Log) expire(now time.Time) {
	n := 0
	if l.keepCount > 0 {
		n = max(0, len(l.records)-l.keepCount)
	}
	for l.keepAge > 0 && n < len(l.records) && now.Sub(l.records[n].added) > l.keepAge {
		n++
	}
	l.records = l.records[n:]
	l.earliest += uint64(n)
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Records [][]byte `json:"records"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || len(body.Records) == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	turn := l.limit.Reserve()
	if d := turn.Delay(); d > longestAppendWait {
		turn.Cancel()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	} else if d > 0 {
		time.Sleep(d)
	}
	l.mu.Lock()
	now := time.Now()
	first := l.next()
	for _, data := range body.Records {
		l.records = append(l.records, logRecord{data: data, added: now})
	}
	l.appends++
	l.expire(now)
	l.wake()
	identity := l.name()
	lost := l.lose > 0
	if lost {
		l.lose--
	}
	l.mu.Unlock()
	if lost {
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

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.ParseUint(q.Get("from"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	n, err := strconv.Atoi(q.Get("max"))
	if err != nil || n <= 0 || n > longestRead {
		n = longestRead
	}
	wait, _ := strconv.Atoi(q.Get("waitMillis"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	_, outage := l.state()
	for {
		batch, grown := l.read(from, n)
		if len(batch.Entries) > 0 || wait <= 0 || from > batch.Next {
			writeJSON(w, http.StatusOK, batch)
			return
		}
		select {
		case <-grown:
		case <-timer.C:
			wait = 0
		case <-outage:
			dropConnection()
		case <-r.Context().Done():
			return
		}
	}
}

// read returns at most n entries from offset from and a channel that is closed by the next change.
func (l *Log) read(from uint64, n int) (logBatch, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(time.Now())
	b := logBatch{Entries: []logEntry{}, Earliest: l.earliest, Next: l.next(), Identity: l.name()}
	for o := max(from, l.earliest); o < b.Next && len(b.Entries) < n; o++ {
		b.Entries = append(b.Entries, logEntry{Offset: o, Data: l.records[o-l.earliest].data})
	}
	return b, l.grown
}
