package customer

import (
	"math"
	"sync"
)

// Parameters of the token estimate.
const (
	// Four bytes a token is usual for English text; it is used until an engine has reported usage for the model.
	defaultBytesPerToken = 4.0
	// A token is at least one byte of text in byte-level vocabularies, and vocabularies hardly hold tokens over 16 bytes.
	minBytesPerToken = 1.0
	maxBytesPerToken = 16.0
	// Weight of one report. About 14 reports move the estimate half the way to a new value.
	estimateWeight = 0.05
	// One report counts as at most this factor away from the present estimate, so that a single wild one moves it by 5% at most.
	maxEstimateStep = 2.0
	// Bounds the map against an endless series of model names.
	maxEstimatedModels = 10_000
)

// Estimator estimates prompt tokens from bytes for each model. It is safe for concurrent use.
type Estimator struct {
	mu            sync.RWMutex
	bytesPerToken map[string]float64
}

// NewEstimator returns an estimator that has seen no usage.
func NewEstimator() *Estimator {
	return &Estimator{bytesPerToken: map[string]float64{}}
}

// Estimate returns the probable number of tokens of a prompt of that many bytes, at least 1.
func (e *Estimator) Estimate(model string, bytes int) int {
	e.mu.RLock()
	ratio, ok := e.bytesPerToken[model]
	e.mu.RUnlock()
	if !ok {
		ratio = defaultBytesPerToken
	}
	return max(1, int(math.Ceil(float64(bytes)/ratio)))
}

// Observe corrects the estimate by the prompt tokens that an engine counted.
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
	seen := float64(bytes) / float64(tokens)
	seen = min(max(seen, ratio/maxEstimateStep), ratio*maxEstimateStep)
	ratio += estimateWeight * (seen - ratio)
	e.bytesPerToken[model] = min(max(ratio, minBytesPerToken), maxBytesPerToken)
}
