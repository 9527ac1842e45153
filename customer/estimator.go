package customer

import (
	"math"
	"sync"
)

// Parameters of the token estimate.
const (
	// Four bytes per token is usual for English text. It is used until an engine has reported usage for the model.
	defaultBytesPerToken = 4.0
	// A token of a byte-level vocabulary is at least one byte, and tokens of more than 16 bytes are rare.
	minBytesPerToken = 1.0
	maxBytesPerToken = 16.0
	// Weight of one report in the moving average. About 14 reports move the estimate halfway to a new value.
	observationWeight = 0.05
	// A report is limited to this factor above or below the current estimate, so that a single outlier moves the estimate by at
	// most 5%.
	maxObservationFactor = 2.0
	// Limits the size of the map, in case requests keep naming new models.
	maxEstimatedModels = 10_000
)

// Estimator estimates the number of tokens in a prompt from its length in bytes, per model. It is safe for concurrent use.
type Estimator struct {
	mu            sync.RWMutex
	bytesPerToken map[string]float64
}

// NewEstimator returns an estimator without observations.
func NewEstimator() *Estimator {
	return &Estimator{bytesPerToken: map[string]float64{}}
}

// Estimate returns the estimated number of tokens in a prompt of the given length in bytes. It is at least 1.
func (e *Estimator) Estimate(model string, bytes int) int {
	e.mu.RLock()
	ratio, ok := e.bytesPerToken[model]
	e.mu.RUnlock()
	if !ok {
		ratio = defaultBytesPerToken
	}
	return max(1, int(math.Ceil(float64(bytes)/ratio)))
}

// Observe adjusts the estimate for the model, using the number of prompt tokens that an engine counted.
func (e *Estimator) Observe(model string, bytes, tokens int) {
	if bytes <= 0 || tokens <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	ratio, ok := e.bytesPerToken[model]
	if !ok {
		if len(e.bytesPerToken) >= maxEstimatedModels {
			return
		}
		ratio = defaultBytesPerToken
	}
	observed := float64(bytes) / float64(tokens)
	observed = min(max(observed, ratio/maxObservationFactor), ratio*maxObservationFactor)
	ratio += observationWeight * (observed - ratio)
	e.bytesPerToken[model] = min(max(ratio, minBytesPerToken), maxBytesPerToken)
}
