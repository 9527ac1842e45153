package caller

import (
	"context"
	"fmt"
	"unicode/utf8"

	"goldcrestpath/customer"
	"goldcrestpath/engine"
)

// delivery receives the chunks of one answer and passes each byte on once and in order.
//
// Invariants: a chunk of an earlier attempt and a byte that was passed on already are dropped; a gap stops the attempt; the
// answer is whole only when the end mark arrived at the offset that was reached.
type delivery struct {
	ctx    context.Context
	emit   func(text string) error // takes the next text, in whole characters
	reset  func()                  // discards what was emitted, or nil where the caller has it already
	first  func()                  // is called once, at the first text
	offset int                     // bytes of the answer taken so far
	number int                     // attempt whose chunks are taken
	rest   string                  // bytes of a character whose end has not arrived
	ended  bool
	usage  engine.Usage
}

var (
	_ engine.Sink               = (*delivery)(nil)
	_ interface{ Reset() bool } = (*delivery)(nil)
)

// Reset discards the answer so far where the caller has none of it, and reports whether it could. Another endpoint may then
// begin the answer again; later chunks of the attempts so far are dropped. It is not called while Chunk runs.
func (d *delivery) Reset() bool {
	if d.reset == nil || d.ended {
		return false
	}
	d.reset()
	d.offset, d.rest = 0, ""
	d.number++
	return true
}

// Chunk implements engine.Sink.
func (d *delivery) Chunk(c engine.Chunk) error {
	if d.ctx.Err() != nil {
		return asRefusal(d.ctx, d.ctx.Err())
	}
	if d.ended || c.Attempt < d.number {
		return nil
	}
	if c.Attempt > d.number {
		// A further attempt starts again or goes on. What the caller has can't be taken back, so there it may only go on.
		if c.Offset == 0 && d.offset > 0 && d.reset != nil {
			d.reset()
			d.offset, d.rest = 0, ""
		}
		if c.Offset != d.offset {
			return d.mismatch(c)
		}
		d.number = c.Attempt
	}
	if c.Offset > d.offset {
		return d.mismatch(c)
	}
	if seen := d.offset - c.Offset; seen < len(c.Text) {
		if err := d.take(c.Text[seen:]); err != nil {
			return err
		}
	}
	if c.End {
		return d.end(c)
	}
	return nil
}

func (d *delivery) mismatch(c engine.Chunk) error {
	return customer.Fail(customer.ReasonInternal, fmt.Sprintf(
		"attempt %d sent a chunk at offset %d where the answer has %d bytes", c.Attempt, c.Offset, d.offset))
}

func (d *delivery) take(text string) error {
	if d.first != nil {
		d.first()
		d.first = nil
	}
	d.offset += len(text)
	text = d.rest + text
	whole := wholeCharacters(text)
	d.rest = text[whole:]
	if whole == 0 {
		return nil
	}
	return d.emit(text[:whole])
}

func (d *delivery) end(c engine.Chunk) error {
	if c.Offset+len(c.Text) != d.offset {
		return d.mismatch(c)
	}
	if d.rest != "" {
		// The answer ends within a character, so there is nothing to wait for.
		if err := d.emit(d.rest); err != nil {
			return err
		}
		d.rest = ""
	}
	d.ended, d.usage = true, c.Usage
	return nil
}

// wholeCharacters returns the length of text without an incomplete character at its end.
func wholeCharacters(text string) int {
	for i := len(text) - 1; i >= 0 && i >= len(text)-utf8.UTFMax+1; i-- {
		if utf8.RuneStart(text[i]) {
			if !utf8.FullRuneInString(text[i:]) {
				return i
			}
			break
		}
	}
	return len(text)
}
