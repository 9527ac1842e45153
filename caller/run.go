package caller

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/apex/log"

	"goldcrestpath/customer"
	"goldcrestpath/engine"
)

// outcome is how a call of the router ended: with a value, or with a refusal.
type outcome[T any] struct {
	value   T
	refusal *customer.Refusal
}

// start calls the router in a goroutine of its own and returns the channel that gets the outcome. The memory is released when
// the router has returned, even where nobody waits for it any more.
func start[T any](ctx context.Context, l log.Interface, h *hold, call func() (T, error)) <-chan outcome[T] {
	done := make(chan outcome[T], 1)
	go func() {
		var o outcome[T]
		defer func() {
			if v := recover(); v != nil {
				l.WithField("stack", string(debug.Stack())).Errorf("caller: panic in the router: %v", v)
				o = outcome[T]{refusal: customer.Fail(customer.ReasonInternal, "internal failure")}
			}
			h.release()
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

// await returns the outcome, or the context's cause where the outcome does not follow the context's end within the grace.
func await[T any](ctx context.Context, done <-chan outcome[T]) (T, *customer.Refusal) {
	select {
	case o := <-done:
		return o.value, o.refusal
	case <-ctx.Done():
	}
	timer := time.NewTimer(routerGrace)
	defer timer.Stop()
	select {
	case o := <-done:
		return o.value, o.refusal
	case <-timer.C:
		var none T
		return none, asRefusal(ctx, ctx.Err())
	}
}

// complete starts a completion whose chunks go to d. The outcome has a refusal unless the answer is whole.
func (x *exchange) complete(ctx context.Context, c *engine.Completion, d *delivery, h *hold) <-chan outcome[engine.Usage] {
	began := time.Now()
	ttft := x.server.counts.ttft[customer.ClassOf(c.PromptTokens)]
	d.first = func() { ttft.Update(time.Since(began).Milliseconds()) }
	return start(ctx, x.log, h, func() (engine.Usage, error) {
		err := x.server.router.Complete(ctx, c, d)
		if d.ended {
			return d.usage, nil
		}
		if err == nil {
			err = customer.Fail(customer.ReasonInternal, "the answer ended without its end mark")
		}
		return engine.Usage{}, err
	})
}
