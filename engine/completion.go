package engine

import (
	"context"
	"time"
)

// Completion is one request to a model. It is immutable after it was built, so that attempts can share it.
type Completion struct {
	ID           string        // unique request ID
	Customer     string        // customer name from the contract
	Model        string        // model name from the configuration
	Prompt       []byte        // prompt text
	PromptTokens int           // estimated length of Prompt in tokens
	MaxTokens    int           // limit of the answer in tokens
	Prefix       uint64        // hash of the prompt's first block, for cache affinity
	Priority     int           // contract priority, higher goes first
	Deadline     time.Time     // end of the time that the contract gives the request
	FirstToken   time.Duration // limit for the time to the first token, or 0
	Idempotent   bool          // may be sent again after it may have run
}

// Tokens returns the KV-cache memory that the request needs, in tokens.
func (c *Completion) Tokens() int { return c.PromptTokens + c.MaxTokens }

// Usage is what an engine reports at the end of an answer, in tokens.
type Usage struct {
	PromptTokens int
	CachedTokens int // part of PromptTokens that the prefix cache supplied
	AnswerTokens int
}

// Chunk is one part of an answer.
type Chunk struct {
	Attempt int    // number of the attempt that produced the chunk
	Offset  int    // byte offset of Text in the whole answer
	Text    string // the next bytes of the answer
	End     bool   // the answer is complete; Usage is set
	Usage   Usage
}

// Sink receives the chunks of one answer in order. An error stops the attempt.
type Sink interface {
	Chunk(Chunk) error
}

// Completer serves a completion from start to end mark. A nil error means that the end mark was delivered to the sink; any
// other error is a *customer.Refusal.
type Completer interface {
	Complete(ctx context.Context, c *Completion, sink Sink) error
}
