package oplog

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// defaultBusyWait is used where the weight store gives no Retry-After.
const defaultBusyWait = time.Second

// BusyError says that too many downloads wait at the weight store.
type BusyError struct{ RetryAfter time.Duration }

// Error implements error.
func (e *BusyError) Error() string {
	return fmt.Sprintf("weight store is busy; try again after %v", e.RetryAfter)
}

// WeightStore is the client of the platform's weight store.
type WeightStore struct{ http *httpClient }

// NewWeightStore returns a client of the weight store at an IP address and port.
func NewWeightStore(address string, opts ...HTTPOption) *WeightStore {
	return &WeightStore{http: newHTTPClient(address, opts)}
}

type wireReservation struct {
	Model string `json:"model"`
	Bytes int64  `json:"bytes"`
}

type wireWait struct {
	WaitMillis int64 `json:"waitMillis"`
}

// Reserve asks for a download and returns how long it has to wait before it begins. The error is a *BusyError where too
// many downloads wait.
func (w *WeightStore) Reserve(ctx context.Context, model string, bytes int64) (time.Duration, error) {
	var out wireWait
	err := w.http.call(ctx, fasthttp.MethodPost, "/weights/reservations", 0, wireReservation{Model: model, Bytes: bytes}, &out)
	var status *StatusError
	if errors.As(err, &status) && status.Status == fasthttp.StatusTooManyRequests {
		busy := &BusyError{RetryAfter: defaultBusyWait}
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
