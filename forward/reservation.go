package forward

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"goldcrestpath/endpoint"
)

// Timers of reservations.
const (
	// orderTimeout bounds one order. Engines answer at once.
	orderTimeout = 300 * time.Millisecond
	// orderTries is how often an order without an answer is sent. A repeated reservation of the same ID renews it.
	orderTries = 3
	// renewAt is the part of the hold after which a reservation in use is renewed.
	renewAt = 0.6
)

// reservation is memory that engines hold for one attempt. The hold is shorter than the time within which memory has to be
// free after its last use, so that nothing stays behind where this VM is gone and cannot release it.
type reservation struct {
	q       *request
	id      string
	targets []endpoint.Target
	stop    context.CancelFunc
	done    sync.WaitGroup
}

// errNoReserver is the failure of a prompt that needs several engines' memory where none can be reserved.
var errNoReserver = errors.New("this gateway cannot reserve memory")

// reserve sets the memory of a placement aside at all of its engines, or at none.
func (q *request) reserve(ctx context.Context, p *endpoint.Placement) (*reservation, error) {
	r := &reservation{q: q, id: q.call.ID + "-" + p.Number()}
	for _, t := range p.Helpers() {
		if t.Memory > 0 {
			r.targets = append(r.targets, t)
		}
	}
	if len(r.targets) == 0 {
		return nil, nil
	}
	if q.h.reserver == nil {
		return nil, errNoReserver
	}
	renewCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	r.stop = cancel
	g, gctx := errgroup.WithContext(ctx)
	for _, t := range r.targets {
		g.Go(func() error { return r.order(gctx, t) })
	}
	err := g.Wait()
	fields := log.Fields{"engines": len(r.targets), "reservation": r.id}
	if err != nil {
		q.log().WithFields(fields).WithError(err).Info("forward: memory not reserved")
		r.release()
		return nil, err
	}
	q.log().WithFields(fields).Info("forward: memory reserved")
	r.done.Add(1)
	go func() {
		defer r.done.Done()
		r.renew(renewCtx)
	}()
	return r, nil
}

// order reserves or renews at one engine.
func (r *reservation) order(ctx context.Context, t endpoint.Target) error {
	var err error
	for range orderTries {
		orderCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		err = r.q.h.reserver.Reserve(orderCtx, t, r.id, r.q.h.hold)
		cancel()
		if err == nil || err == ErrNoMemory || ctx.Err() != nil {
			return err
		}
	}
	return err
}

func (r *reservation) renew(ctx context.Context) {
	ticker := time.NewTicker(time.Duration(renewAt * float64(r.q.h.hold)))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, t := range r.targets {
			if err := r.order(ctx, t); err != nil && ctx.Err() == nil {
				r.q.log().WithError(err).WithField("endpoint", t.ID).Warn("forward: a reservation was not renewed")
			}
		}
	}
}

// release ends the reservations in the background. Where the order is lost, the hold ends them.
func (r *reservation) release() {
	r.stop()
	r.done.Wait()
	for _, t := range r.targets {
		go func() {
			for range orderTries {
				ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
				err := r.q.h.reserver.Release(ctx, t, r.id)
				cancel()
				if err == nil {
					return
				}
				r.q.log().WithError(err).WithField("endpoint", t.ID).Info("forward: a reservation was not released")
			}
		}()
	}
}
