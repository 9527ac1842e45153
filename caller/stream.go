package caller

import (
	"bufio"
	"context"
	"time"

	"goldcrestpath/customer"
	"goldcrestpath/engine"
)

// eventStream writes one answer as server-sent events. Its method writeEvents must not use the exchange's RequestCtx,
// which belongs to the goroutine of the connection while writeEvents runs.
type eventStream struct {
	exchange            *exchange
	builder             *answerBuilder
	deadline            time.Time
	texts               chan string // unbuffered, so that every text has been received when the outcome arrives
	done                <-chan outcome[engine.Usage]
	out                 *bufio.Writer
	extendWriteDeadline func() // gives the caller another write timeout

	firstText string // empty if the answer is complete and empty
	usage     engine.Usage
}

// awaitFirstText waits for the first text or the end of the answer. It returns a refusal if the request fails before
// its first text.
func (s *eventStream) awaitFirstText(ctx context.Context) *customer.Refusal {
	select {
	case s.firstText = <-s.texts:
		return nil
	case o := <-s.done:
		s.usage = o.value
		return o.refusal
	case <-ctx.Done():
		var refusal *customer.Refusal
		s.usage, refusal = await(ctx, s.done)
		return refusal
	}
}

// writeEvents writes the events until the answer has ended. An error means that the caller has disconnected or no longer
// accepts data.
func (s *eventStream) writeEvents(ctx context.Context) error {
	if opening := s.builder.openingChunk(); opening != nil {
		if err := s.writeEvent("", opening); err != nil {
			return err
		}
	}
	if s.firstText == "" {
		return s.finish(s.usage, nil)
	}
	for text := s.firstText; ; {
		if err := s.writeEvent("", s.builder.textChunk(text)); err != nil {
			return err
		}
		select {
		case text = <-s.texts:
		case o := <-s.done:
			return s.finish(o.value, o.refusal)
		case <-ctx.Done():
			return s.finish(await(ctx, s.done))
		}
	}
}

// finish writes the end of the answer or, if r is not nil, an error event without the end mark.
func (s *eventStream) finish(u engine.Usage, r *customer.Refusal) error {
	x := s.exchange
	if r != nil {
		x.recordRefusal(r)
		// The failure is already counted, so an error when writing the event is not counted as a disconnect as well.
		s.writeEvent("error", newErrorBody(refusalPolicyOf(r.Reason()).status, x.id, r))
		return nil
	}
	for _, v := range s.builder.closingChunks(u) {
		if err := s.writeEvent("", v); err != nil {
			return err
		}
	}
	if err := s.write("data: [DONE]\n\n"); err != nil {
		return err
	}
	x.recordAnswer(s.deadline)
	return nil
}

// writeEvent writes v as one event. The event type is omitted if name is empty.
func (s *eventStream) writeEvent(name string, v any) error {
	text := "data: " + string(encodeJSON(v)) + "\n"
	if name != "" {
		text = "event: " + name + "\n" + text
	}
	return s.write(text)
}

// write sends text without buffering. The write timeout limits how long a slow reader occupies the engine's memory.
func (s *eventStream) write(text string) error {
	s.extendWriteDeadline()
	if _, err := s.out.WriteString(text); err != nil {
		return err
	}
	return s.out.Flush()
}
