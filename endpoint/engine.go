package endpoint

import "time"

// Engine is the timing model of a model engine, from the configuration of its service.
type Engine struct {
	Slots           int           // requests that run at once
	Memory          int           // KV cache in tokens
	Step            time.Duration // one token step without load
	StepPerSequence time.Duration // added to a step for each running request
	StepPerContext  time.Duration // added to a step for each 1,000 tokens of context
	ReadRate        float64       // prompt tokens read in a second
	PairTime        time.Duration // added for each million pairs of a token and an earlier one
	Chunk           int           // prompt tokens read in one step at most
	Stride          int           // steps of a pass that includes writers
	Hop             time.Duration // added to a step where the prompt is stored on several engines
}

// ReadTime returns how long one idle engine takes to read a prompt.
func (e *Engine) ReadTime(tokens int) time.Duration {
	if e.ReadRate <= 0 {
		return 0
	}
	n := float64(tokens)
	linear := n / e.ReadRate * float64(time.Second)
	pairs := n * n / 2 / 1e6 * float64(e.PairTime)
	return time.Duration(linear + pairs)
}

// PassTime returns the length of a pass in which nothing is read.
func (e *Engine) PassTime(sequences, contextTokens int) time.Duration {
	step := e.Step + time.Duration(sequences)*e.StepPerSequence + time.Duration(float64(contextTokens)/1000*float64(e.StepPerContext))
	return time.Duration(max(e.Stride, 1)) * step
}
