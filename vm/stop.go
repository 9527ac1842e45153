package vm

import (
	"context"
	"time"
)

// Shutdown stops the VM without interrupting requests: it turns readiness off, keeps the listener open for the
// configured delay so that the load balancer notices, waits for running requests to end, and hands its share
// leases back. When ctx ends, requests that are still running are interrupted.
func (v *VM) Shutdown(ctx context.Context) error {
	v.stopping.Store(true)
	v.logger.Infof("vm: stopping; the listener stays open for %s", v.settings.StopDelay())
	sleep(ctx, v.settings.StopDelay())
	err := v.callers.Shutdown(ctx)
	v.awaitForwarded(ctx)
	if e := v.node.HandOver(ctx); err == nil {
		err = e
	}
	v.pool.StopAndWait()
	v.recordRunEnd(ctx)
	v.Close()
	v.logger.Info("vm: stopped")
	return err
}

// forwardedPollInterval is the interval at which a stopping VM checks whether forwarded requests are still
// running.
const forwardedPollInterval = 20 * time.Millisecond

// awaitForwarded waits until all requests forwarded from other data centres have ended or ctx ends.
func (v *VM) awaitForwarded(ctx context.Context) {
	for v.forwarded.Load() > 0 && sleep(ctx, forwardedPollInterval) {
	}
}

// Close stops the VM immediately and waits for its goroutines.
func (v *VM) Close() {
	v.closeOnce.Do(v.close)
}

func (v *VM) close() {
	v.cancel()
	if v.callerListen != nil {
		v.callerListen.Close()
	}
	if v.operatorListen != nil {
		v.operatorListen.Close() // Shutdown does not close a listener on which Serve has not been called
	}
	if v.operators != nil {
		v.operators.Shutdown(v.ctx) // v.ctx is cancelled, so this closes the listener without waiting
	}
	if v.node != nil {
		v.node.Close()
	}
	if v.store != nil {
		v.store.Close()
	}
	v.pool.Stop()
	v.wg.Wait()
}
