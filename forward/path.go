package forward

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"goldcrestpath/endpoint"
	"goldcrestpath/http1"
)

// Relays opens connections to endpoints through other VMs, for endpoints that this VM has lost its path to.
type Relays interface {
	// Dial opens a connection to the endpoint at an address. The error is syscall.ECONNREFUSED if another VM found that the endpoint refuses
	// connections.
	Dial(ctx context.Context, address string) (net.Conn, error)
	// ReportPause tells the VM at the other end of a relayed connection that the endpoint asked for a pause.
	ReportPause(conn net.Addr, endpointID string, d time.Duration)
}

// WithRelays sets how endpoints are reached that this VM has no path to. Without it, they count as unreachable.
func WithRelays(r Relays) Option {
	return func(h *Handler) { h.relays = r }
}

// newRelayed returns the transport for connections through other VMs. They serve one request each, because a VM that stops cannot tell an idle
// one from one in use.
func (h *Handler) newRelayed() *http1.Transport {
	return http1.NewTransport(&http.Transport{
		DialContext:        func(ctx context.Context, _, address string) (net.Conn, error) { return h.relays.Dial(ctx, address) },
		DisableCompression: true, DisableKeepAlives: true, ReadBufferSize: 4 << 10, WriteBufferSize: 4 << 10, MaxResponseHeaderBytes: maxAnswerHeadBytes,
	})
}

// roundTrip sends an attempt on a connection of this VM or, if its path to the endpoint is lost, through another VM. If no connection could be
// opened, no byte was sent, so the other way is tried within the same attempt. opened reports whether a connection was.
func (q *request) roundTrip(target endpoint.Target, newRequest func() *http.Request, opened func() bool) (resp *http.Response, relayed bool, err error) {
	h := q.h
	if h.relays != nil && h.fleet.PathLost(target.ID) {
		resp, err = h.relayed.RoundTrip(newRequest())
		return resp, true, err
	}
	transport := h.pooled
	if !q.route.Kind.Repeatable() {
		// An endpoint can close an idle connection while the request is written, which leaves open whether the request ran.
		transport = h.unpooled
	}
	req := newRequest()
	resp, err = transport.RoundTrip(req)
	if err == nil || opened() || h.relays == nil || req.Context().Err() != nil {
		return resp, false, err
	}
	direct := err
	h.fleet.RecordNotOpened(target.Address)
	if !errors.Is(direct, syscall.ECONNREFUSED) && !h.fleet.PathInDoubt(target.ID) {
		// Another endpoint is tried next, because this one has more likely failed, and to ask other VMs of it takes time.
		h.inBackground(func() { h.askOthers(target, direct) })
		return nil, false, direct
	}
	resp, err = h.relayed.RoundTrip(newRequest())
	switch {
	case opened():
		h.recordRelayed(target, direct)
		return resp, true, err
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, true, err // the endpoint is not there for other VMs either
	}
	return nil, false, errors.WithMessage(direct, "through other VMs: "+err.Error())
}

// askOthers finds out whether another VM reaches an endpoint to which this VM could not open a connection.
func (h *Handler) askOthers(target endpoint.Target, direct error) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	conn, err := h.relays.Dial(ctx, target.Address)
	if err != nil {
		return // the endpoint has failed, or other VMs know no more than this one
	}
	conn.Close()
	h.recordRelayed(target, direct)
}

// checkInterval is the least time between two checks of CheckPath.
const checkInterval = 200 * time.Millisecond

// CheckPath finds out in the background whether this VM has lost its path to an endpoint to which it could not open a connection for another
// VM. A VM that has lost its paths learns it from the first request that it should relay, and not only from requests of its own.
func (h *Handler) CheckPath(target endpoint.Target, direct error) {
	now := time.Now().UnixNano()
	last := h.lastCheck.Load()
	if h.relays == nil || now-last < int64(checkInterval) || !h.lastCheck.CompareAndSwap(last, now) {
		return // VMs that are all cut off would otherwise ask each other without end
	}
	h.inBackground(func() { h.askOthers(target, direct) })
}

// recordRelayed records that another VM reached an endpoint to which this VM could not open a connection.
func (h *Handler) recordRelayed(target endpoint.Target, direct error) {
	first, all := h.fleet.RecordRelayed(target.ID)
	if first {
		h.logger.WithFields(log.Fields{"endpoint": target.ID, "address": target.Address, "allOfService": all, "failure": direct.Error()}).
			Warn("forward: the path to an endpoint is lost; another VM reaches it")
	}
	if all {
		h.pooled.CloseIdleConnections() // they may hang
	}
}

// hasEnded reports whether the machine of an endpoint refuses connections, to this VM and to others. err says why that is not known.
func (h *Handler) hasEnded(ctx context.Context, target endpoint.Target) (bool, error) {
	conn, err := h.dialWithin(ctx, "tcp", target.Address)
	if err == nil {
		conn.Close()
		return false, nil
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return false, err
	}
	if h.relays == nil {
		return true, nil
	}
	conn, relayErr := h.relays.Dial(ctx, target.Address)
	switch {
	case relayErr == nil:
		conn.Close()
		return false, nil
	case errors.Is(relayErr, syscall.ECONNREFUSED):
		return true, nil
	case h.fleet.CutOff():
		return false, errors.WithMessage(err, "this VM is cut off")
	}
	return true, nil // without other VMs, this one has only its own evidence
}

// probeTimeout limits a connection that only shows whether an endpoint is reached.
const probeTimeout = 300 * time.Millisecond

// ProbePaths tries connections to endpoints that this VM does not reach, so that no caller's request has to.
func (h *Handler) ProbePaths(ctx context.Context) {
	var probes sync.WaitGroup
	for _, t := range h.fleet.ProbeTargets() {
		probes.Go(func() { h.probePath(ctx, t) })
	}
	probes.Wait()
}

// probePath tries a connection of this VM to an endpoint and, if its data centre counts as unreachable, one through another VM.
func (h *Handler) probePath(ctx context.Context, t endpoint.Target) {
	if h.probe(ctx, h.dial, t) {
		h.fleet.MarkReachable(t.ID)
		h.logger.WithField("endpoint", t.ID).Info("forward: an endpoint can be reached again")
		return
	}
	if h.relays == nil || h.fleet.PathLost(t.ID) {
		return
	}
	throughOther := func(ctx context.Context, _, address string) (net.Conn, error) { return h.relays.Dial(ctx, address) }
	if h.probe(ctx, throughOther, t) {
		h.fleet.RecordRelayProbe(t.ID)
		h.logger.WithField("endpoint", t.ID).Info("forward: another VM reaches an endpoint of an unreachable data centre")
	}
}

// probe reports whether a connection to the endpoint can be opened.
func (h *Handler) probe(ctx context.Context, dial Dial, t endpoint.Target) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := dial(ctx, "tcp", t.Address)
	if err != nil {
		return false // tried again with the next probes
	}
	conn.Close()
	return true
}

// DialEndpoint opens a connection to an endpoint, through another VM if this VM does not reach it.
func (h *Handler) DialEndpoint(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := h.dialWithin(ctx, network, address)
	if err == nil || h.relays == nil || ctx.Err() != nil {
		return conn, err
	}
	if relayed, relayErr := h.relays.Dial(ctx, address); relayErr == nil {
		return relayed, nil
	}
	return nil, err
}
