package caller

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/apex/log"

	"goldcrestpath/customer"
	"goldcrestpath/engine"
)

// outcome is the result of a call to the router: a value or a refusal.
type outcome[T any] struct {
	value   T
	refusal *customer.Refusal
}

// startCall runs call, which calls the router, in a new goroutine and returns the channel that receives its outcome.
// mem is released when call has returned, even if the handler no longer waits for the outcome.
func startCall[T any](ctx context.Context, l log.Interface, mem *reservation, call func() (T, error)) <-chan outcome[T] {
	done := make(chan outcome[T], 1)
	go func() {
		var o outcome[T]
		defer func() {
			if v := recover(); v != nil {
				l.WithField("stack", string(debug.Stack())).Errorf("caller: panic in the router: %v", v)
				o = outcome[T]{refusal: customer.Fail(customer.ReasonInternal, "internal failure")}
			}
			mem.release()
			done <- o
		}()
		value, err := call()
		o.value = value
		if err != nil {
			o.refusal = asRefusal(ctx, err)
		}
	}()
	return done
}

// await returns the outcome received from done. If ctx ends and no outcome follows within routerGracePeriod, it
// returns the cause of ctx.
func await[T any](ctx context.Context, done <-chan outcome[T]) (T, *customer.Refusal) {
	select {
	case o := <-done:
		return o.value, o.refusal
	case <-ctx.Done():
	}
	timer := time.NewTimer(routerGracePeriod)
	defer timer.Stop()
	select {
	case o := <-done:
		return o.value, o.refusal
	case <-timer.C:
		var zero T
		return zero, asRefusal(ctx, ctx.Err())
	}
}

// startCompletion starts a completion whose chunks go to sink, and records its TTFT. The outcome has a refusal unless the
// answer is complete.
func (x *exchange) startCompletion(ctx context.Context, c *engine.Completion, sink *answerSink, mem *reservation) <-chan outcome[engine.Usage] {
	started := time.Now()
	ttft := x.server.metrics.ttft[customer.ClassOf(c.PromptTokens)]
	sink.onFirstText = func() { ttft.Update(time.Since(started).Milliseconds()) }
	return startCall(ctx, x.log, mem, func() (engine.Usage, error) {
		err := x.server.router.Complete(ctx, c, sink)
		if sink.ended {
			return sink.usage, nil
		}
		if err == nil {
			err = customer.Fail(customer.ReasonInternal, "the answer ended without its end mark")
		}
		return engine.Usage{}, err
	})
}
