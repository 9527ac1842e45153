package endpoint

import "time"

// Engine is the timing model of a model engine, from the configuration of its service. An engine runs in steps: a step that
// generates tokens consists of IterationsPerStep decode iterations.
type Engine struct {
	Slots                int           // batch slots: requests that run at once
	KVTokens             int           // KV cache in tokens
	IterationTime        time.Duration // duration of one decode iteration without load
	IterationPerSequence time.Duration // added to a decode iteration for each running request
	IterationPerContext  time.Duration // added to a decode iteration for each 1,000 tokens of context
	PrefillRate          float64       // prompt tokens prefilled per second
	PairTime             time.Duration // prefill time added for each million pairs of a prompt token and an earlier one
	ChunkTokens          int           // most prompt tokens prefilled in one decode iteration
	IterationsPerStep    int           // decode iterations in a step that generates tokens
	RemoteKVDelay        time.Duration // added to a decode iteration if the prompt's KV cache is spread over several engines
	UsualPrompt          int           // mean prompt tokens of a request, 0 if unknown
	UsualOutput          int           // mean tokens of an answer, 0 if unknown
	// Delays holds the one-way network delays between data centres, with an element for each direction. It is nil if they are unknown.
	Delays map[[2]string]time.Duration
}

// PrefillTime returns how long one idle engine takes to prefill a prompt of that many tokens.
func (e *Engine) PrefillTime(tokens int) time.Duration {
	if e.PrefillRate <= 0 {
		return 0
	}
	n := float64(tokens)
	linear := n / e.PrefillRate * float64(time.Second)
	pairs := n * n / 2 / 1e6 * float64(e.PairTime)
	return time.Duration(linear + pairs)
}

// StepTime returns the duration of a step without prefills, for the given running requests and KV cache tokens in use.
func (e *Engine) StepTime(sequences, contextTokens int) time.Duration {
	step := e.IterationTime + time.Duration(sequences)*e.IterationPerSequence + time.Duration(float64(contextTokens)/1000*float64(e.IterationPerContext))
	return time.Duration(max(e.IterationsPerStep, 1)) * step
}

// GenerationTime returns how long an engine with a full batch and a full KV cache takes to generate that many tokens, without prefills.
func (e *Engine) GenerationTime(tokens int) time.Duration {
	perStep := max(e.IterationsPerStep, 1)
	steps := (tokens + perStep - 1) / perStep
	return time.Duration(steps) * e.StepTime(e.Slots, e.KVTokens)
}
