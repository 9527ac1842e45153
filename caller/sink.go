package caller

import (
	"context"
	"fmt"
	"unicode/utf8"

	"goldcrestpath/customer"
	"goldcrestpath/engine"
)

// answerSink receives the chunks of one answer and passes each byte on once and in order.
//
// Chunks of an earlier attempt and bytes that were already passed on are dropped. A gap in the text fails the attempt.
// The answer is complete only if the end mark follows the last byte that was passed on.
type answerSink struct {
	ctx            context.Context
	emit           func(text string) error // receives the next text, in whole UTF-8 characters
	discard        func()                  // discards the emitted text; nil for a streamed answer
	onFirstText    func()                  // called once, at the first text
	offset         int                     // bytes of the answer accepted so far
	attempt        int                     // number of the attempt whose chunks are accepted
	incompleteRune string                  // bytes of a character that has not arrived completely
	ended          bool                    // the end mark arrived and the answer is complete
	usage          engine.Usage
}

var (
	_ engine.Sink               = (*answerSink)(nil)
	_ interface{ Reset() bool } = (*answerSink)(nil)
)

// Reset discards the answer so far and reports whether this was possible. A streamed answer cannot be discarded, because
// the caller may already have it, and neither can a complete one. After a successful Reset another endpoint may start
// the answer again, and later chunks of the attempts so far are dropped. Reset must not be called while Chunk runs.
func (s *answerSink) Reset() bool {
	if s.discard == nil || s.ended {
		return false
	}
	s.discard()
	s.offset, s.incompleteRune = 0, ""
	s.attempt++
	return true
}

// Chunk implements engine.Sink.
func (s *answerSink) Chunk(c engine.Chunk) error {
	if s.ctx.Err() != nil {
		return asRefusal(s.ctx, s.ctx.Err())
	}
	if s.ended || c.Attempt < s.attempt {
		return nil
	}
	if c.Attempt > s.attempt {
		// A later attempt either starts again or resumes. Text that the caller already has cannot be taken back, so a
		// streamed answer can only be resumed.
		if c.Offset == 0 && s.offset > 0 && s.discard != nil {
			s.discard()
			s.offset, s.incompleteRune = 0, ""
		}
		if c.Offset != s.offset {
			return s.offsetError(c)
		}
		s.attempt = c.Attempt
	}
	if c.Offset > s.offset {
		return s.offsetError(c)
	}
	if delivered := s.offset - c.Offset; delivered < len(c.Text) {
		if err := s.appendText(c.Text[delivered:]); err != nil {
			return err
		}
	}
	if c.End {
		return s.finish(c)
	}
	return nil
}

// offsetError returns the refusal for a chunk whose offset does not match the answer so far.
func (s *answerSink) offsetError(c engine.Chunk) error {
	return customer.Fail(customer.ReasonInternal, fmt.Sprintf(
		"attempt %d sent a chunk at offset %d, but the answer has %d bytes so far", c.Attempt, c.Offset, s.offset))
}

// appendText accepts the next bytes of the answer and emits the characters that are complete.
func (s *answerSink) appendText(text string) error {
	if s.onFirstText != nil {
		s.onFirstText()
		s.onFirstText = nil
	}
	s.offset += len(text)
	text = s.incompleteRune + text
	complete := completeRunesLen(text)
	s.incompleteRune = text[complete:]
	if complete == 0 {
		return nil
	}
	return s.emit(text[:complete])
}

// finish completes the answer if the end mark in c follows the last byte of the answer so far.
func (s *answerSink) finish(c engine.Chunk) error {
	if c.Offset+len(c.Text) != s.offset {
		return s.offsetError(c)
	}
	if s.incompleteRune != "" {
		// The answer ends in the middle of a character, so the remaining bytes will not arrive.
		if err := s.emit(s.incompleteRune); err != nil {
			return err
		}
		s.incompleteRune = ""
	}
	s.ended, s.usage = true, c.Usage
	return nil
}

// completeRunesLen returns the length of text without an incomplete UTF-8 character at its end.
func completeRunesLen(text string) int {
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
