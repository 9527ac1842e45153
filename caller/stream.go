package caller

import (
	"bufio"
	"context"
	"time"

	"goldcrestpath/customer"
	"goldcrestpath/engine"
)

// stream writes one answer as server-sent events. Once it serves, it uses nothing of the exchange's RequestCtx, which belongs
// to the connection's goroutine by then.
type stream struct {
	exchange *exchange
	writer   *answerWriter
	deadline time.Time
	texts    chan string // unbuffered, so every text was received when the outcome arrives
	done     <-chan outcome[engine.Usage]
	out      *bufio.Writer
	extend   func() // gives the caller a new write timeout

	first string // first text; without one the answer is whole and empty
	usage engine.Usage
}

// begin waits for the first text or the end of the answer.
func (s *stream) begin(ctx context.Context) *customer.Refusal {
	select {
	case s.first = <-s.texts:
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

// serve writes the events until the answer has ended. An error means that the caller does not take them any more.
func (s *stream) serve(ctx context.Context) error {
	if opening := s.writer.opening(); opening != nil {
		if err := s.event("", opening); err != nil {
			return err
		}
	}
	if s.first == "" {
		return s.finish(s.usage, nil)
	}
	for text := s.first; ; {
		if err := s.event("", s.writer.part(text)); err != nil {
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

// finish writes the end of the answer, or an error event without the end mark.
func (s *stream) finish(u engine.Usage, r *customer.Refusal) error {
	x := s.exchange
	if r != nil {
		x.count(r)
		// The failure is counted already; a caller that does not take it is none of its own.
		s.event("error", newErrorBody(treatmentOf(r.Reason()).status, x.id, r))
		return nil
	}
	for _, v := range s.writer.closing(u) {
		if err := s.event("", v); err != nil {
			return err
		}
	}
	if err := s.write("data: [DONE]\n\n"); err != nil {
		return err
	}
	x.answered(s.deadline)
	return nil
}

func (s *stream) event(name string, v any) error {
	text := "data: " + string(encodeJSON(v)) + "\n"
	if name != "" {
		text = "event: " + name + "\n" + text
	}
	return s.write(text)
}

// write sends text at once. The time that the caller has for it bounds how long a slow reader holds the engine's memory.
func (s *stream) write(text string) error {
	s.extend()
	if _, err := s.out.WriteString(text); err != nil {
		return err
	}
	return s.out.Flush()
}
