package vm

import (
	"fmt"
	"sync"

	"goldcrestpath/customer"
	"goldcrestpath/engine"
)

// resetter is an optional ability of a sink that holds the answer back until it is complete. Reset discards what the sink
// holds and reports whether it could, so that another endpoint may begin the answer again.
type resetter interface {
	Reset() bool
}

// relay delivers one answer to a sink in order and once. It outlives the attempts at the answer; each attempt writes through a
// sink of its own from [relay.begin].
//
// Invariant: the sink receives contiguous text from offset 0, all of it from one attempt, and at most one end mark, which comes
// after the whole text.
type relay struct {
	sink engine.Sink

	mu      sync.Mutex
	attempt int // only chunks of this attempt pass
	next    int // offset of the next byte for the sink
	ended   bool
	usage   engine.Usage
}

func newRelay(sink engine.Sink) *relay { return &relay{sink: sink} }

// begin starts a new attempt and returns its sink. It reports false where text of an earlier attempt reached the caller, since the
// new attempt could differ from it.
func (r *relay) begin() (engine.Sink, int, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next > 0 {
		s, ok := r.sink.(resetter)
		if !ok || !s.Reset() {
			return nil, 0, false
		}
		r.next = 0
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

func (r *relay) deliver(attempt int, c engine.Chunk) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if attempt != r.attempt || r.ended {
		return nil // a late chunk of an earlier attempt or after the end mark
	}
	if c.Offset > r.next {
		return customer.Fail(customer.ReasonEndpointFailed,
			fmt.Sprintf("answer has a gap: got offset %d, want %d", c.Offset, r.next))
	}
	skip := min(r.next-c.Offset, len(c.Text))
	c.Text = c.Text[skip:]
	c.Offset += skip
	if c.Text == "" && !c.End {
		return nil // a duplicate
	}
	if c.End && c.Offset != r.next {
		return customer.Fail(customer.ReasonEndpointFailed,
			fmt.Sprintf("end mark at offset %d, but %d bytes were delivered", c.Offset, r.next))
	}
	c.Attempt = attempt
	if err := r.sink.Chunk(c); err != nil {
		return err
	}
	r.next += len(c.Text)
	r.ended = c.End
	if c.End {
		r.usage = c.Usage
	}
	return nil
}

// reported returns the usage that the end mark reported, or zero without one.
func (r *relay) reported() engine.Usage {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.usage
}
