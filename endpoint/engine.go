package endpoint

import "time"

// Engine is the timing model of a model engine, from the configuration of its service. An engine runs in steps: a step that
// generates tokens consists of Stride decode iterations.
type Engine struct {
	Slots           int           // batch slots: requests that run at once
	Memory          int           // KV cache in tokens
	Step            time.Duration // duration of one decode iteration without load
	StepPerSequence time.Duration // added to a decode iteration for each running request
	StepPerContext  time.Duration // added to a decode iteration for each 1,000 tokens of context
	ReadRate        float64       // prompt tokens prefilled per second
	PairTime        time.Duration // prefill time added for each million pairs of a token and an earlier one
	Chunk           int           // most prompt tokens prefilled in one decode iteration
	Stride          int           // decode iterations in a step that generates tokens
	Hop             time.Duration // added to a decode iteration if the prompt's KV cache is spread over several engines
}

// ReadTime returns how long one idle engine takes to prefill a prompt.
func (e *Engine) ReadTime(tokens int) time.Duration {
	if e.ReadRate <= 0 {
		return 0
	}
	n := float64(tokens)
	linear := n / e.ReadRate * float64(time.Second)
	pairs := n * n / 2 / 1e6 * float64(e.PairTime)
	return time.Duration(linear + pairs)
}

// PassTime returns the duration of a step without prefills.
func (e *Engine) PassTime(sequences, contextTokens int) time.Duration {
	step := e.Step + time.Duration(sequences)*e.StepPerSequence + time.Duration(float64(contextTokens)/1000*float64(e.StepPerContext))
	return time.Duration(max(e.Stride, 1)) * step
}
