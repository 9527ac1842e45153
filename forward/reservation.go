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

// Timing of reservations.
const (
	// reserverTimeout limits the time of one request to reserve or release memory. Engines answer such requests at once.
	reserverTimeout = 300 * time.Millisecond
	// reserverAttempts is how often a request to reserve or release memory is sent before it counts as failed. Reserving again
	// under the same ID only renews the reservation.
	reserverAttempts = 3
	// renewShare is the fraction of the hold time after which a reservation in use is renewed.
	renewShare = 0.6
)

// reservation is memory that engines reserve for one attempt. Engines must have memory free again within a certain time after its
// last use. The hold time is shorter than that, so that a reservation ends in time even if this VM stops without releasing it.
type reservation struct {
	q       *request
	id      string
	targets []endpoint.Target
	stop    context.CancelFunc
	done    sync.WaitGroup
}

// errNoReserver is the error for a prompt that needs the memory of several engines when the handler has no Reserver.
var errNoReserver = errors.New("this gateway cannot reserve memory")

// reserve reserves memory at all helpers of the selection that store remote KV, or at none. It returns nil without an error if no
// helper stores any.
func (q *request) reserve(ctx context.Context, sel *endpoint.Selection) (*reservation, error) {
	r := &reservation{q: q, id: q.call.ID + "-" + sel.ID()}
	for _, t := range sel.Helpers() {
		if t.RemoteKVTokens > 0 {
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
		g.Go(func() error { return r.reserveAt(gctx, t) })
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

// reserveAt reserves memory at one engine, or renews the reservation there.
func (r *reservation) reserveAt(ctx context.Context, t endpoint.Target) error {
	var err error
	for range reserverAttempts {
		attemptCtx, cancel := context.WithTimeout(ctx, reserverTimeout)
		err = r.q.h.reserver.Reserve(attemptCtx, t, r.id, r.q.h.holdTime)
		cancel()
		if err == nil || err == ErrNoMemory || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// renew renews the reservations until ctx ends.
func (r *reservation) renew(ctx context.Context) {
	ticker := time.NewTicker(time.Duration(renewShare * float64(r.q.h.holdTime)))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, t := range r.targets {
			if err := r.reserveAt(ctx, t); err != nil && ctx.Err() == nil {
				r.q.log().WithError(err).WithField("endpoint", t.ID).Warn("forward: a reservation was not renewed")
			}
		}
	}
}

// release ends the reservations in the background. If a request is lost, the reservation ends after its hold time.
func (r *reservation) release() {
	r.stop()
	r.done.Wait()
	for _, t := range r.targets {
		go func() {
			for range reserverAttempts {
				ctx, cancel := context.WithTimeout(context.Background(), reserverTimeout)
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
