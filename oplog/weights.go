package oplog

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// defaultRetryAfter is the RetryAfter of a WeightStoreBusyError if the weight store sends no valid Retry-After header.
const defaultRetryAfter = time.Second

// WeightStoreBusyError is the error of a reservation that the weight store refuses because too many downloads are waiting.
type WeightStoreBusyError struct{ RetryAfter time.Duration }

// Error implements error.
func (e *WeightStoreBusyError) Error() string {
	return fmt.Sprintf("weight store is busy; try again after %v", e.RetryAfter)
}

// WeightStore is a client of the platform's weight store.
type WeightStore struct{ http *httpClient }

// NewWeightStore returns a client of the weight store at an IP address and port.
func NewWeightStore(address string, opts ...HTTPOption) *WeightStore {
	return &WeightStore{http: newHTTPClient(address, opts)}
}

type wireReservationRequest struct {
	Model string `json:"model"`
	Bytes int64  `json:"bytes"`
}

type wireReservationResponse struct {
	WaitMillis int64 `json:"waitMillis"`
}

// Reserve reserves the download of a model's weights and returns how long the caller has to wait before it starts the
// download. The error is a *WeightStoreBusyError if too many downloads are waiting.
func (w *WeightStore) Reserve(ctx context.Context, model string, bytes int64) (time.Duration, error) {
	var out wireReservationResponse
	err := w.http.call(ctx, fasthttp.MethodPost, "/weights/reservations", 0, wireReservationRequest{Model: model, Bytes: bytes}, &out)
	var status *StatusError
	if errors.As(err, &status) && status.Status == fasthttp.StatusTooManyRequests {
		busy := &WeightStoreBusyError{RetryAfter: defaultRetryAfter}
		if seconds, err := strconv.Atoi(status.RetryAfter); err == nil && seconds >= 0 {
			busy.RetryAfter = time.Duration(seconds) * time.Second
		}
		return 0, busy
	}
	if err != nil {
		return 0, errors.Wrapf(err, "reserve the download of model %s", model)
	}
	return time.Duration(out.WaitMillis) * time.Millisecond, nil
}
