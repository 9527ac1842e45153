package peer

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"goldcrestpath/http1"
	"goldcrestpath/oplog"
)

// Limits of a fetch of records from a peer.
const (
	fetchTimeout  = 800 * time.Millisecond
	maxFetchBytes = 16 << 20 // after decompression
	maxHeadBytes  = 64 << 10
	// maxWait limits how long a peer waits for records that it lacks itself before it answers. It leaves the rest of fetchTimeout for
	// the transfer.
	maxWait = 400 * time.Millisecond
	// minCompressedBytes is the size from which a response is compressed.
	minCompressedBytes = 1 << 10
	recordsPath        = "/records"
	// headerAge has the time since the store confirmed the records, in milliseconds. It takes precedence over the value in the body,
	// which is older if the response is sent to several peers.
	headerAge = "Records-Age"
)

// RecordSource returns the records of a topic from an offset on, the offset up to which they are complete, and how long ago the
// store confirmed that. Until they are complete up to offset upTo, it waits, but not longer than until ctx ends. The result is false
// if the VM has no complete copy of the topic.
type RecordSource func(ctx context.Context, topic uint8, from, upTo int64) (records []oplog.TopicRecord, end int64, age time.Duration, ok bool)

// recordsHandler serves records to peers that lack them.
type recordsHandler struct {
	source RecordSource

	mu   sync.Mutex // guards last, and prevents that responses to several peers are encoded at the same time
	last encodedRecords
}

// encodedRecords is the compressed response for a range of a topic. It serves the peers that lack the same records.
type encodedRecords struct {
	topic     uint8
	from, end int64
	data      []byte
}

// RecordsHandler returns a handler that serves records to peers that lack them.
func RecordsHandler(source RecordSource) http.Handler {
	h := &recordsHandler{source: source}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+recordsPath, h.serve)
	return mux
}

func (h *recordsHandler) serve(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	topic, err := strconv.ParseUint(q.Get("topic"), 10, 8)
	from, err2 := strconv.ParseInt(q.Get("from"), 10, 64)
	if err != nil || err2 != nil {
		http.Error(w, "topic and from must be numbers", http.StatusBadRequest)
		return
	}
	upTo := int64(0) // builds that do not wait for records send no upTo
	if v := q.Get("upTo"); v != "" {
		if upTo, err = strconv.ParseInt(v, 10, 64); err != nil {
			http.Error(w, "upTo must be a number", http.StatusBadRequest)
			return
		}
	}
	ctx, cancel := context.WithTimeout(r.Context(), maxWait)
	defer cancel()
	list, end, age, ok := h.source(ctx, uint8(topic), from, upTo)
	if !ok {
		http.Error(w, "this VM has no complete copy of the topic yet", http.StatusServiceUnavailable)
		return
	}
	var data []byte
	if accepted := r.Header.Get("Accept-Encoding"); recordsSize(list) >= minCompressedBytes && strings.Contains(accepted, "gzip") {
		w.Header().Set("Content-Encoding", "gzip")
		data, err = h.compressed(uint8(topic), from, end, age, list)
	} else {
		data, err = encodeResponse(end, age, list)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	w.Header().Set(headerAge, strconv.FormatInt(age.Milliseconds(), 10))
	_, _ = w.Write(data) // a peer whose connection broke fetches again
}

func encodeResponse(end int64, age time.Duration, list []oplog.TopicRecord) ([]byte, error) {
	return cbor.Marshal(recordsResponse{Records: encodeRecords(list), End: end, Age: age.Milliseconds()})
}

// compressed returns the compressed response, which may be that of an earlier request for the same range.
func (h *recordsHandler) compressed(topic uint8, from, end int64, age time.Duration, list []oplog.TopicRecord) ([]byte, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.last.data != nil && h.last.topic == topic && h.last.from == from && h.last.end == end {
		return h.last.data, nil
	}
	data, err := encodeResponse(end, age, list)
	if err != nil {
		return nil, err
	}
	var buf bytes.Buffer
	z, err := gzip.NewWriterLevel(&buf, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := z.Write(data); err != nil {
		return nil, err
	}
	if err := z.Close(); err != nil {
		return nil, err
	}
	h.last = encodedRecords{topic: topic, from: from, end: end, data: buf.Bytes()}
	return h.last.data, nil
}

// Fetcher fetches records from peers. It is safe for concurrent use.
type Fetcher struct{ client *http.Client }

// FetcherOption configures a Fetcher.
type FetcherOption func(*Fetcher)

// WithTransport sets the transport of the requests.
func WithTransport(rt http.RoundTripper) FetcherOption {
	return func(f *Fetcher) { f.client.Transport = rt }
}

// NewFetcher returns a fetcher whose requests time out after fetchTimeout.
func NewFetcher(opts ...FetcherOption) *Fetcher {
	f := &Fetcher{client: &http.Client{Timeout: fetchTimeout, Transport: http1.NewTransport(&http.Transport{
		DialContext:     http1.NewDialer(fetchTimeout).DialContext,
		IdleConnTimeout: 2 * time.Second,

		MaxResponseHeaderBytes: maxHeadBytes,
		DisableCompression:     true, // Fetch decompresses, so that its limit applies to the decompressed size with any transport
	})}}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Fetch returns the records of a topic that the peer holds from an offset on, the offset up to which they are complete, and how
// long ago the store confirmed that. A peer that lacks records below offset upTo waits for them for a while before it answers.
func (f *Fetcher) Fetch(ctx context.Context, peer string, topic uint8, from, upTo int64) ([]oplog.TopicRecord, int64, time.Duration, error) {
	q := url.Values{"topic": {strconv.Itoa(int(topic))}, "from": {strconv.FormatInt(from, 10)}, "upTo": {strconv.FormatInt(upTo, 10)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer+recordsPath+"?"+q.Encode(), nil)
	if err != nil {
		return nil, 0, 0, err
	}
	req.Header.Set("Accept-Encoding", "gzip")
	resp, err := f.client.Do(req)
	if err != nil {
		return nil, 0, 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, 0, 0, errors.Errorf("peer %s answered with status %d", peer, resp.StatusCode)
	}
	body := io.Reader(resp.Body)
	if resp.Header.Get("Content-Encoding") == "gzip" {
		if body, err = gzip.NewReader(resp.Body); err != nil {
			return nil, 0, 0, errors.Wrapf(err, "decompress records of peer %s", peer)
		}
	}
	data, err := io.ReadAll(io.LimitReader(body, maxFetchBytes+1))
	switch {
	case err != nil:
		return nil, 0, 0, err
	case len(data) > maxFetchBytes:
		return nil, 0, 0, errors.Errorf("peer %s sent more than %d bytes", peer, maxFetchBytes)
	}
	var records recordsResponse
	if err := decodeMode.Unmarshal(data, &records); err != nil {
		return nil, 0, 0, errors.Wrapf(err, "decode records of peer %s", peer)
	}
	if v := resp.Header.Get(headerAge); v != "" {
		if records.Age, err = strconv.ParseInt(v, 10, 64); err != nil {
			return nil, 0, 0, errors.Wrapf(err, "age of the records of peer %s", peer)
		}
	}
	return decodeRecords(records.Records), records.End, time.Duration(records.Age) * time.Millisecond, nil
}

// Close closes idle connections.
func (f *Fetcher) Close() { f.client.CloseIdleConnections() }
