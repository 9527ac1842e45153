package peer

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"goldcrestpath/http1"
	"goldcrestpath/oplog"
)

// Limits of a fetch of records from a peer.
const (
	fetchTimeout  = 800 * time.Millisecond
	maxFetchBytes = 16 << 20
	recordsPath   = "/records"
)

// RecordSource returns the records of a topic from an offset on, the offset up to which they are complete, and how long ago the
// store confirmed that.
type RecordSource func(topic uint8, from int64) (records []oplog.TopicRecord, end int64, age time.Duration)

// RecordsHandler returns a handler that serves records to peers that lack them.
func RecordsHandler(records RecordSource) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+recordsPath, func(w http.ResponseWriter, r *http.Request) {
		topic, err := strconv.ParseUint(r.URL.Query().Get("topic"), 10, 8)
		from, err2 := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
		if err != nil || err2 != nil {
			http.Error(w, "topic and from must be numbers", http.StatusBadRequest)
			return
		}
		list, end, age := records(uint8(topic), from)
		data, err := cbor.Marshal(recordsResponse{Records: encodeRecords(list), End: end, Age: age.Milliseconds()})
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/cbor")
		_, _ = w.Write(data) // a peer whose connection broke fetches again
	})
	return mux
}

// Fetcher fetches records from peers. It is safe for concurrent use.
type Fetcher struct{ client *http.Client }

// NewFetcher returns a fetcher whose requests time out after fetchTimeout.
func NewFetcher() *Fetcher {
	return &Fetcher{client: &http.Client{Timeout: fetchTimeout, Transport: &http.Transport{
		DialContext:     http1.NewDialer(fetchTimeout).DialContext,
		IdleConnTimeout: 2 * time.Second,
	}}}
}

// Fetch returns the records of a topic that the peer holds from an offset on, the offset up to which they are complete, and how
// long ago the store confirmed that.
func (f *Fetcher) Fetch(ctx context.Context, peer string, topic uint8, from int64) ([]oplog.TopicRecord, int64, time.Duration, error) {
	q := url.Values{"topic": {strconv.Itoa(int(topic))}, "from": {strconv.FormatInt(from, 10)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer+recordsPath+"?"+q.Encode(), nil)
	if err != nil {
		return nil, 0, 0, err
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return nil, 0, 0, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxFetchBytes))
	if err != nil {
		return nil, 0, 0, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, 0, 0, errors.Errorf("peer %s answered with status %d", peer, resp.StatusCode)
	}
	var records recordsResponse
	if err := decodeMode.Unmarshal(data, &records); err != nil {
		return nil, 0, 0, errors.Wrapf(err, "decode records of peer %s", peer)
	}
	return decodeRecords(records.Records), records.End, time.Duration(records.Age) * time.Millisecond, nil
}

// Close closes idle connections.
func (f *Fetcher) Close() { f.client.CloseIdleConnections() }
