package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// maxBodyBytes bounds request bodies. It admits a prompt of 2,000,000 tokens with JSON escapes.
	maxBodyBytes = 16 << 20
	// defaultMaxTokens is the answer length of a request without max_tokens.
	defaultMaxTokens = 16
)

func (e *Engine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.serveCompletion)
	mux.HandleFunc("GET /v1/streams/{id}", e.serveResume)
	mux.HandleFunc("DELETE /v1/streams/{id}", e.serveCancel)
	mux.HandleFunc("DELETE /v1/streams", e.serveCancelHolder)
	mux.HandleFunc("POST /v1/reservations", e.serveReserve)
	mux.HandleFunc("GET /v1/report", e.serveReport)
	mux.HandleFunc("GET /v1/cacheEvents", e.serveCacheEvents)
	mux.HandleFunc("POST /v1/orders", e.serveOrder)
	mux.HandleFunc("GET /v1/kv/{id}", e.serveExport)
	mux.HandleFunc("PUT /v1/kv/{id}", e.serveImport)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.awaitThaw(r)
		mux.ServeHTTP(w, r)
	})
}

// awaitThaw waits while the engine is frozen. It drops the connection if the engine is closed or the client disconnects before
// Thaw.
func (e *Engine) awaitThaw(r *http.Request) {
	e.mu.Lock()
	thawed := e.thawed
	e.mu.Unlock()
	if thawed == nil {
		return
	}
	select {
	case <-thawed:
	case <-e.done:
		dropConnection()
	case <-r.Context().Done():
		dropConnection()
	}
}

// refusal is the error response to a request that was not executed. Its verdict is notRun.
type refusal struct {
	status          int
	reason, message string
}

func (f *refusal) write(w http.ResponseWriter) {
	type body struct {
		Reason  string `json:"reason"`
		Message string `json:"message"`
		Verdict string `json:"verdict"`
	}
	writeJSON(w, f.status, struct {
		Error body `json:"error"`
	}{body{f.reason, f.message, "notRun"}})
}

func badRequest(message string) *refusal {
	return &refusal{http.StatusBadRequest, "badRequest", message}
}

// decodeBody decodes a JSON body into v. If it fails, it writes a refusal and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, v any) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(data, v)
	}
	if err != nil {
		badRequest(err.Error()).write(w)
		return false
	}
	return true
}

// completionRequest is the body of a completion request. GroupTokens is the number of tokens in remote KV.
type completionRequest struct {
	Model          string `json:"model"`
	Prompt         string `json:"prompt"`
	MaxTokens      int    `json:"max_tokens"`
	Stream         bool   `json:"stream"`
	RequestID      string `json:"request_id"`
	Priority       int    `json:"priority"`
	Holder         string `json:"holder"`
	Incarnation    uint64 `json:"incarnation"`
	ReservedTokens int    `json:"reserved_tokens"`
	GroupTokens    int    `json:"group_tokens"`
}

// serveCompletion accepts or refuses a completion request and streams the answer.
func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var q completionRequest
	if !decodeBody(w, r, &q) {
		return
	}
	if q.MaxTokens == 0 {
		q.MaxTokens = defaultMaxTokens
	}
	s := &stream{
		id: q.RequestID, holder: q.Holder, incarnation: q.Incarnation, priority: q.Priority, grouped: q.GroupTokens > 0,
		promptTokens: (len(q.Prompt) + TokenBytes - 1) / TokenBytes,
		prefix:       PrefixID(q.Prompt), blocks: blockHashes(q.Prompt),
		answer: AnswerText(q.RequestID, q.Model, max(0, q.MaxTokens)),
	}
	refusal, drop := e.accept(time.Now(), &q, s)
	switch {
	case refusal != nil:
		refusal.write(w)
	case drop:
		dropConnection()
	default:
		e.serveStream(w, r, s, 0)
	}
}

// accept starts a stream or refuses the request. The second result reports that the connection must be dropped instead, because the
// engine is down or the request overloaded a cold engine, which then crashed.
func (e *Engine) accept(now time.Time, q *completionRequest, s *stream) (*refusal, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return nil, true
	}
	if f := e.checkRequest(q, s); f != nil {
		e.counters.Refused++
		return f, false
	}
	if e.lastInstance[s.id] == e.instance {
		e.counters.Duplicates++
	}
	if len(e.lastInstance) >= maxTrackedIDs {
		clear(e.lastInstance)
		clear(e.acceptedCallerIDs)
	}
	e.lastInstance[s.id] = e.instance
	e.acceptedCallerIDs[CallerID(s.id)] = struct{}{}
	e.arrivals++
	e.counters.Accepted++
	s.arrival = e.arrivals
	s.cachedTokens = min(e.cache.lookup(s.prefix, s.blocks), s.promptTokens-1)
	s.pendingPrefill = s.promptTokens - s.cachedTokens
	e.counters.CachedTokens += s.cachedTokens
	s.idleSince = now
	e.usedTokens += s.reservedTokens
	e.streams[s.id] = s
	at, _ := slices.BinarySearchFunc(e.prefillQueue, s, func(a, b *stream) int {
		if a.priority != b.priority {
			return b.priority - a.priority
		}
		return -1
	})
	e.prefillQueue = slices.Insert(e.prefillQueue, at, s)
	if e.coldOverloaded(now) {
		e.counters.ColdCrashes++
		e.crash()
		return nil, true
	}
	e.signalWork()
	return nil, false
}

// checkRequest returns a refusal if a request cannot be executed, and nil otherwise. It sets the stream's reserved tokens to the
// larger of the tokens that the request states as reserved and those that it needs.
func (e *Engine) checkRequest(q *completionRequest, s *stream) *refusal {
	need := s.promptTokens + q.MaxTokens - q.GroupTokens
	s.reservedTokens = max(q.ReservedTokens, need)
	waiting := 0
	for _, p := range e.prefillQueue {
		if !p.hasSlot {
			waiting++
		}
	}
	switch {
	case !q.Stream || q.RequestID == "" || q.Prompt == "" || q.MaxTokens < 0 || q.ReservedTokens < 0 || q.GroupTokens < 0:
		return badRequest("stream, request_id and prompt are required, numbers must not be negative")
	case e.streams[q.RequestID] != nil:
		e.counters.Duplicates++
		return badRequest("a stream with this request_id exists")
	case q.Model != e.model && !slices.Contains(e.adapters, q.Model):
		return &refusal{http.StatusNotFound, "unknownModel", "model " + strconv.Quote(q.Model) + " is not loaded"}
	case e.loading:
		return &refusal{http.StatusServiceUnavailable, "cold", "a model is being loaded"}
	case e.refusing || waiting >= e.cfg.MaxWaiting:
		return &refusal{http.StatusServiceUnavailable, "overloaded", "too many requests are waiting"}
	}
	if q.ReservedTokens < need {
		e.counters.Underestimates++
	}
	if free := e.cfg.KVTokens - e.usedTokens; s.reservedTokens > free {
		if q.ReservedTokens > free {
			e.counters.Overcommits++
		}
		return &refusal{http.StatusConflict, "memory", fmt.Sprintf("%d tokens are free, %d are needed", free, s.reservedTokens)}
	}
	return nil
}

type streamEvent struct {
	Offset   int          `json:"offset"`
	Text     string       `json:"text"`
	Instance uint64       `json:"instance"`
	End      bool         `json:"end,omitempty"`
	Usage    *streamUsage `json:"usage,omitempty"`
}

type streamUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// serveStream sends the stream's events, starting at a byte offset of the answer, until the stream ends or another connection
// resumes it.
func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request, s *stream, offset int) {
	conn := &connection{notify: make(chan struct{}, 1)}
	e.mu.Lock()
	s.notify()
	s.conn = conn
	instance := e.instance
	reset := e.pendingResets > 0
	if reset {
		e.pendingResets--
	}
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		if s.conn == conn {
			s.conn, s.idleSince = nil, time.Now()
		}
		e.mu.Unlock()
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	flusher.Flush()
	send := func(ev streamEvent) {
		data, _ := json.Marshal(ev)
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", ev.Offset, data)
		flusher.Flush()
	}
	for {
		e.mu.Lock()
		state, published, replaced := s.state, s.publishedBytes, s.conn != conn
		e.mu.Unlock()
		if state == streamCancelled || replaced {
			dropConnection()
		}
		if offset < published {
			send(streamEvent{Offset: offset, Text: s.answer[offset:published], Instance: instance})
			offset = published
			if reset {
				dropConnection()
			}
		}
		if state == streamEnded {
			usage := &streamUsage{PromptTokens: s.promptTokens, CachedTokens: s.cachedTokens, CompletionTokens: len(s.answer) / TokenBytes}
			send(streamEvent{Offset: offset, Instance: instance, End: true, Usage: usage})
			return
		}
		select {
		case <-conn.notify:
		case <-r.Context().Done():
			return
		}
	}
}

// serveResume continues a stream on a new connection from a byte offset of the answer.
func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if err != nil || offset < 0 {
		badRequest("offset must be a number").write(w)
		return
	}
	e.mu.Lock()
	s := e.streams[r.PathValue("id")]
	if s != nil && offset <= s.publishedBytes {
		e.counters.Resumed++
	}
	e.mu.Unlock()
	switch {
	case s == nil:
		(&refusal{http.StatusNotFound, "unknownStream", "the stream is unknown or was cancelled"}).write(w)
	case offset > len(s.answer):
		badRequest("offset is beyond the answer").write(w)
	default:
		e.serveStream(w, r, s, offset)
	}
}

// serveCancel cancels the stream and the reservation with the given ID.
func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	e.mu.Lock()
	s, isStream := e.streams[id]
	_, isReservation := e.reservations[id]
	if isStream {
		if s.state == streamRunning {
			e.counters.Cancelled++
		}
		e.cancel(s)
	}
	if isReservation {
		e.releaseReservation(id)
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, struct {
		Known bool `json:"known"`
	}{isStream || isReservation})
}

func (e *Engine) releaseReservation(id string) {
	e.usedTokens -= e.reservations[id].tokens
	delete(e.reservations, id)
}

// serveCancelHolder cancels all running streams and reservations of a holder up to the given incarnation.
func (e *Engine) serveCancelHolder(w http.ResponseWriter, r *http.Request) {
	holder := r.URL.Query().Get("holder")
	incarnation, err := strconv.ParseUint(r.URL.Query().Get("incarnation"), 10, 64)
	if err != nil || holder == "" {
		badRequest("holder and incarnation are required").write(w)
		return
	}
	n := 0
	e.mu.Lock()
	for _, s := range e.streams {
		if s.holder == holder && s.incarnation <= incarnation && s.state == streamRunning {
			e.counters.Cancelled++
			e.cancel(s)
			n++
		}
	}
	for id, v := range e.reservations {
		if v.holder == holder && v.incarnation <= incarnation {
			e.releaseReservation(id)
			n++
		}
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, struct {
		Cancelled int `json:"cancelled"`
	}{n})
}

// serveReserve handles a request to reserve KV memory.
func (e *Engine) serveReserve(w http.ResponseWriter, r *http.Request) {
	var q struct {
		ID          string `json:"id"`
		Holder      string `json:"holder"`
		Incarnation uint64 `json:"incarnation"`
		Tokens      int    `json:"tokens"`
	}
	if !decodeBody(w, r, &q) {
		return
	}
	if f := e.reserve(q.ID, reservation{holder: q.Holder, incarnation: q.Incarnation, tokens: q.Tokens, lastUsed: time.Now()}); f != nil {
		f.write(w)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// reserve reserves KV memory for a stream on another engine. Repeating an identical reservation has no effect.
func (e *Engine) reserve(id string, v reservation) *refusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	old, known := e.reservations[id]
	switch {
	case id == "" || v.tokens <= 0:
		return badRequest("id and tokens are required")
	case known && old.tokens == v.tokens && old.holder == v.holder:
		return nil
	case known:
		return badRequest("a reservation with this id exists with other values")
	case v.tokens > e.cfg.KVTokens-e.usedTokens:
		e.counters.Overcommits++
		return &refusal{http.StatusConflict, "memory", fmt.Sprintf("%d tokens are free", e.cfg.KVTokens-e.usedTokens)}
	}
	e.usedTokens += v.tokens
	e.reservations[id] = &v
	return nil
}

func (e *Engine) serveReport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	report := e.report
	report.AgeMillis = time.Since(e.reportedAt).Milliseconds()
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, report)
}

// serveCacheEvents returns the cache events from a sequence number on.
func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	e.mu.Lock()
	events, next := e.cache.read(time.Now(), max(1, from))
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, struct {
		Events []CacheEvent `json:"events"`
		Next   uint64       `json:"next"`
	}{events, next})
}

type engineOrder struct {
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter"`
	Role    string `json:"role"`
	Fence   uint64 `json:"fence"`
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o engineOrder
	if !decodeBody(w, r, &o) {
		return
	}
	e.mu.Lock()
	f := e.executeOrder(o)
	e.mu.Unlock()
	if f != nil {
		f.write(w)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// executeOrder executes an order or refuses it. A loadModel order takes effect after ModelLoadTime.
func (e *Engine) executeOrder(o engineOrder) *refusal {
	if o.Fence < e.fence {
		if e.cfg.ChecksFence {
			e.counters.RefusedOrders++
			return &refusal{http.StatusConflict, "oldFence", fmt.Sprintf("the highest fencing token seen is %d", e.fence)}
		}
		e.counters.StaleOrders++
	}
	switch o.Kind {
	case "loadModel":
		if e.loading || e.closed {
			return &refusal{http.StatusServiceUnavailable, "overloaded", "another model is being loaded"}
		}
		e.loading = true
		e.wg.Add(1)
		go func() {
			defer e.wg.Done()
			e.loadModel(o)
		}()
	case "loadAdapter":
		if !slices.Contains(e.adapters, o.Adapter) {
			e.adapters = append(e.adapters, o.Adapter)
		}
	case "setVersion":
		e.version = o.Version
	case "setRole":
		e.role = o.Role
	default:
		return badRequest("unknown kind " + strconv.Quote(o.Kind))
	}
	e.fence = max(e.fence, o.Fence)
	e.counters.Orders++
	return nil
}

// loadModel waits for ModelLoadTime and then switches to the model without adapters, in the cold state.
func (e *Engine) loadModel(o engineOrder) {
	if !e.sleep(e.cfg.ModelLoadTime) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loading = false
	e.model = o.Model
	if o.Version != "" {
		e.version = o.Version
	}
	e.adapters = nil
	e.turnCold(time.Now())
}

// exportedKV is the body of KV cache exports and imports. It identifies the cached blocks of a prompt by their hashes.
type exportedKV struct {
	Prefix string   `json:"prefix"`
	Blocks []uint64 `json:"blocks"`
}

// serveExport returns the KV cache of a stream's prompt, in the form that serveImport accepts.
func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	s := e.streams[r.PathValue("id")]
	e.mu.Unlock()
	if s == nil {
		(&refusal{http.StatusNotFound, "unknownStream", "the stream is unknown"}).write(w)
		return
	}
	writeJSON(w, http.StatusOK, exportedKV{s.prefix, s.blocks})
}

// serveImport stores an exported KV cache in the prefix cache.
func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var kv exportedKV
	if !decodeBody(w, r, &kv) {
		return
	}
	if strings.TrimSpace(kv.Prefix) == "" {
		badRequest("not an exported KV cache").write(w)
		return
	}
	e.mu.Lock()
	e.cache.store(time.Now(), kv.Prefix, kv.Blocks)
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, struct{}{})
}
