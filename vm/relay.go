package vm

import (
	"fmt"
	"sync"

	"goldcrestpath/customer"
	"goldcrestpath/engine"
)

// resetter is implemented by sinks that can buffer the answer until it is complete. Reset discards the buffered
// text and reports whether that was possible. If so, another endpoint can start the answer again.
type resetter interface {
	Reset() bool
}

// relay delivers one answer to a sink, in order and exactly once, across several attempts. Each attempt writes
// through a sink of its own from [relay.begin].
//
// Invariant: the sink receives contiguous text from offset 0, all of it from one attempt, and at most one end
// mark, which follows the complete text.
type relay struct {
	sink engine.Sink

	mu         sync.Mutex
	attempt    int // chunks of other attempts are ignored
	nextOffset int // offset of the next byte to deliver
	ended      bool
	usage      engine.Usage
}

func newRelay(sink engine.Sink) *relay { return &relay{sink: sink} }

// begin starts a new attempt and returns its sink and its number. It reports false if text of an earlier
// attempt has reached the caller, because the answer of the new attempt could differ from that text.
func (r *relay) begin() (engine.Sink, int, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.nextOffset > 0 {
		s, ok := r.sink.(resetter)
		if !ok || !s.Reset() {
			return nil, 0, false
		}
		r.nextOffset = 0
	}
	r.attempt++
	return attemptSink{relay: r, attempt: r.attempt}, r.attempt, true
}

// attemptSink passes the chunks of one attempt to its relay.
type attemptSink struct {
	relay   *relay
	attempt int
}

// Chunk implements engine.Sink.
func (s attemptSink) Chunk(c engine.Chunk) error { return s.relay.deliver(s.attempt, c) }

// deliver passes the text of a chunk that the sink does not have yet to the sink. It fails if text before the chunk
// is missing or if the end mark does not follow the complete text.
func (r *relay) deliver(attempt int, c engine.Chunk) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if attempt != r.attempt || r.ended {
		return nil // a late chunk of an earlier attempt, or a chunk after the end mark
	}
	if c.Offset > r.nextOffset {
		return customer.Fail(customer.ReasonEndpointFailed,
			fmt.Sprintf("answer has a gap: got offset %d, want %d", c.Offset, r.nextOffset))
	}
	skip := min(r.nextOffset-c.Offset, len(c.Text))
	c.Text = c.Text[skip:]
	c.Offset += skip
	if c.Text == "" && !c.End {
		return nil // all of its text was delivered before
	}
	if c.End && c.Offset != r.nextOffset {
		return customer.Fail(customer.ReasonEndpointFailed,
			fmt.Sprintf("end mark at offset %d, but %d bytes were delivered", c.Offset, r.nextOffset))
	}
	c.Attempt = attempt
	if err := r.sink.Chunk(c); err != nil {
		return err
	}
	r.nextOffset += len(c.Text)
	r.ended = c.End
	if c.End {
		r.usage = c.Usage
	}
	return nil
}

// reportedUsage returns the usage reported with the end mark, or zero before the end mark.
func (r *relay) reportedUsage() engine.Usage {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.usage
}
