package vm

import (
	"context"
	"time"
)

// Shutdown stops the VM without cutting a request: readiness turns off, the listener stays open for the load balancer's delay, running
// requests end, share leases are given back. The end of ctx cuts what still runs.
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
	v.endPlace(ctx)
	v.Close()
	v.logger.Info("vm: stopped")
	return err
}

// forwardedPoll is the interval at which a stopping VM looks for forwarded requests that still run.
const forwardedPoll = 20 * time.Millisecond

// awaitForwarded waits until the requests that other data centres forwarded here have ended.
func (v *VM) awaitForwarded(ctx context.Context) {
	for v.forwarded.Load() > 0 && sleep(ctx, forwardedPoll) {
	}
}

// Close stops the VM at once and waits for its goroutines.
func (v *VM) Close() {
	v.closeOnce.Do(v.close)
}

func (v *VM) close() {
	v.cancel()
	if v.callerListen != nil {
		v.callerListen.Close()
	}
	if v.operatorListen != nil {
		v.operatorListen.Close() // Shutdown does not know a listener before Serve has begun
	}
	if v.operators != nil {
		v.operators.Shutdown(v.ctx) // v.ctx has ended, so this closes the listener and does not wait
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
