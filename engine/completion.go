package engine

import (
	"context"
	"time"
)

// Completion is one request to a model. It must not be modified after it is created, because several attempts may share it.
type Completion struct {
	ID           string        // unique request ID
	Customer     string        // customer name from the contract
	Model        string        // model name from the configuration
	Prompt       []byte        // prompt text
	PromptTokens int           // estimated length of Prompt in tokens
	MaxTokens    int           // maximum length of the answer in tokens
	Prefix       uint64        // hash of the prompt's first block, for cache affinity
	Priority     int           // contract priority; requests with a higher one are served first
	Deadline     time.Time     // when the request must have ended according to the contract
	TTFTTarget   time.Duration // the contract's target for the time to first token (TTFT), or 0 if there is none
	Idempotent   bool          // whether the request may be sent again after an attempt that may have run
}

// Tokens returns the KV cache memory that the request needs, in tokens.
func (c *Completion) Tokens() int { return c.PromptTokens + c.MaxTokens }

// Usage is the token usage that an engine reports at the end of an answer.
type Usage struct {
	PromptTokens int
	CachedTokens int // tokens of PromptTokens that came from the prefix cache
	AnswerTokens int
}

// Chunk is one piece of a streamed answer.
type Chunk struct {
	Attempt int // number of the attempt that produced the chunk
	Offset  int // byte offset of Text in the answer
	Text    string
	End     bool // the answer is complete, and Usage is set
	Usage   Usage
}

// Sink receives the chunks of one answer in order. An error from Chunk stops the attempt.
type Sink interface {
	Chunk(Chunk) error
}

// Completer serves completions. Complete returns nil if the end mark was delivered to the sink; any error is a
// *customer.Refusal.
type Completer interface {
	Complete(ctx context.Context, c *Completion, sink Sink) error
}
