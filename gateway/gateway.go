package gateway

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"

	"goldcrestpath/endpoint"
	"goldcrestpath/forward"
	"goldcrestpath/http1"
	"goldcrestpath/operator"
	"goldcrestpath/oplog"
	"goldcrestpath/peer"
	"goldcrestpath/platform"
)

// Limits of the callers' listener.
const (
	headerTimeout = 5 * time.Second  // to the end of a request's header
	longestHeader = 64 << 10         // bytes; the configuration's limit is below it
	longestIdle   = 10 * time.Minute // the configuration's limit is below it and enforced apart
	sweepEvery    = time.Second
)

// Timers of a stop.
const (
	// rotationDelay is how long new connections are still taken after readiness is off: the load balancer asks once a
	// second and takes a VM out after two misses.
	rotationDelay = 2500 * time.Millisecond
	// exitReserve is the part of the grace that is left for the end of the process.
	exitReserve = 400 * time.Millisecond
)

// holdShare is the part of the time within which reserved memory has to be free after its last use that one reservation
// lasts, so that it ends in time where nobody releases it.
const holdShare = 0.85

// memoryShare is the part of the process's memory limit at which the garbage collector works harder.
const memoryShare = 0.7

// Gateway is one running entry VM.
type Gateway struct {
	settings  *operator.GatewaySettings
	logger    *log.Logger
	output    *boundedOutput
	registry  metrics.Registry
	fleet     *endpoint.Fleet
	budget    *endpoint.RetryBudget
	handler   *forward.Handler
	feed      *feed
	exchange  *peer.Exchange
	callers   *http.Server
	idle      *idleConns
	internal  []*http.Server
	stopping  atomic.Bool
	unready   atomic.Pointer[string] // the last reason told to the load balancer
	cancel    context.CancelFunc
	goroutine sync.WaitGroup

	mu      sync.Mutex // guards drained and entries
	drained map[string]bool
	entries map[string]endpoint.Entry // as last applied
}

// New starts an entry VM. Logs go to w.
func New(s *operator.GatewaySettings, version string, w io.Writer) (*Gateway, error) {
	debug.SetMemoryLimit(int64(memoryShare * float64(s.Memory()) * (1 << 20)))
	ctx, cancel := context.WithCancel(context.Background())
	g := &Gateway{
		settings: s, output: newBoundedOutput(w), registry: metrics.NewRegistry(), cancel: cancel, idle: newIdleConns(),
		drained: map[string]bool{}, entries: map[string]endpoint.Entry{},
	}
	g.logger = &log.Logger{Handler: json.New(g.output), Level: log.InfoLevel}
	g.fleet = endpoint.NewFleet(endpoint.WithColdBound(s.ColdFactor(), s.ColdExtra()))
	g.budget = endpoint.NewRetryBudget(s.RetryRatio(), s.RetryExtra(), s.RetryWindow())
	g.handler = forward.NewHandler(platform.Codec{}, g.fleet, g.budget, g.logger, forward.WithRegistry(g.registry),
		forward.WithReserver(platform.NewOrders(), time.Duration(holdShare*float64(s.ReservationFree()))))
	self := net.JoinHostPort(s.PeerAddress(), strconv.Itoa(s.PeerPort()))
	g.feed = newFeed(ctx, self, platform.NewStore(s.Store()), peer.NewFetcher(), g.logger)
	g.feed.apply = g.apply
	if err := g.listen(self); err != nil {
		cancel()
		g.output.Close()
		return nil, err
	}
	g.feed.start(g.exchange)
	for _, loop := range []func(context.Context){g.sweep, g.probe} {
		g.goroutine.Add(1)
		go func() {
			defer g.goroutine.Done()
			loop(ctx)
		}()
	}
	g.logger.WithFields(log.Fields{"vm": s.Name(), "dataCentre": s.DataCentre(), "version": version, "callers": s.CallerListen()}).
		Info("gateway: started")
	return g, nil
}

// listen opens all listeners and serves them.
func (g *Gateway) listen(self string) error {
	ctx := context.Background()
	cfg := http1.ListenConfig()
	datagrams, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp4", self)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	g.exchange = peer.New(self, datagrams, g.fleet, g.feed, g.logger, peer.WithMembers(g.setMembers))
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+platform.ReadyPath, g.serveReady)
	servers := []struct {
		what, address string
		handler       http.Handler
	}{
		{"peers' fetches", self, peer.RecordsHandler(g.feed.records)},
		{"readiness", g.settings.ReadyListen(), ready},
		{"metrics", g.settings.MetricsListen(), g.metricsHandler()},
	}
	for _, s := range servers {
		if s.address == "" {
			continue
		}
		l, err := cfg.Listen(ctx, "tcp4", s.address)
		if err != nil {
			return errors.Wrap(err, "listen for "+s.what)
		}
		g.internal = append(g.internal, g.serve(&http.Server{Handler: s.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: longestIdle}, l))
	}
	l, err := cfg.Listen(ctx, "tcp4", g.settings.CallerListen())
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	g.callers = g.serve(&http.Server{
		Handler: g.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: longestIdle, MaxHeaderBytes: longestHeader,
		ConnState: g.idle.track,
	}, l)
	return nil
}

func (g *Gateway) serve(s *http.Server, l net.Listener) *http.Server {
	s.ErrorLog = stdlog.New(logWriter{g.logger}, "", 0)
	go func() {
		if err := s.Serve(l); err != http.ErrServerClosed {
			g.logger.WithError(err).Error("gateway: a listener failed")
		}
	}()
	return s
}

// logWriter passes on what net/http logs, such as callers that broke off.
type logWriter struct{ logger log.Interface }

// Write implements io.Writer.
func (w logWriter) Write(b []byte) (int, error) {
	w.logger.WithField("detail", string(b)).Debug("gateway: http")
	return len(b), nil
}

func (g *Gateway) setMembers(rank, n int) {
	g.fleet.SetVMs(rank, n)
	g.budget.SetVMs(n)
	g.logger.WithFields(log.Fields{"rank": rank, "vms": n}).Info("gateway: the known VMs changed")
}

// apply takes over changed records of a topic, in the order of their offsets, and returns those that peers need. Endpoints
// write theirs about once a second without any change. What counts as a change is decided by the state of this VM, whichever
// way it learned of it, because the VM that reads for the others can be another one each time.
func (g *Gateway) apply(topic platform.Topic, changed []oplog.Record, lapsed bool) []oplog.Record {
	slices.SortFunc(changed, func(a, b oplog.Record) int { return int(a.Offset - b.Offset) })
	var needed []oplog.Record
	for _, rec := range changed {
		if topic == platform.Operator {
			g.applyOperator(rec)
			needed = append(needed, rec)
		} else if g.applyEndpoint(rec, lapsed) {
			needed = append(needed, rec)
		}
	}
	return needed
}

func (g *Gateway) applyOperator(rec oplog.Record) {
	if dataCentre, ok := platform.DrainedDataCentre(rec.Key); ok {
		g.setDrained(dataCentre, rec.Value != nil)
		return
	}
	if !platform.IsConfiguration(rec.Key) || rec.Value == nil {
		return
	}
	spec, err := platform.DecodeConfiguration(rec.Value)
	var table *operator.Table
	if err == nil {
		table, err = operator.NewTable(spec)
	}
	if err != nil {
		g.logger.WithError(err).WithField("offset", rec.Offset).Error("gateway: the configuration is refused; the last one stays in force")
		return
	}
	g.fleet.SetServices(table.Services())
	g.handler.SetTable(table)
	g.logger.WithFields(log.Fields{"version": table.Version(), "routes": table.Len(), "offset": rec.Offset}).Info("gateway: configuration in force")
}

func (g *Gateway) setDrained(dataCentre string, drained bool) {
	g.mu.Lock()
	next := map[string]bool{}
	for name := range g.drained {
		next[name] = true
	}
	if drained {
		next[dataCentre] = true
	} else {
		delete(next, dataCentre)
	}
	g.drained = next
	g.mu.Unlock()
	g.fleet.SetDrained(next)
	g.logger.WithFields(log.Fields{"dataCentre": dataCentre, "drained": drained}).Info("gateway: data centre drain changed")
}

// applyEndpoint takes over an endpoint's record and says whether it changes more than the time that has passed.
func (g *Gateway) applyEndpoint(rec oplog.Record, lapsed bool) bool {
	now := time.Now()
	fields := log.Fields{"endpoint": rec.Key, "offset": rec.Offset}
	if rec.Value == nil {
		g.logger.WithFields(fields).WithField("lapsed", lapsed).Info("gateway: endpoint removed")
		g.forget(rec.Key)
		g.fleet.Remove(now, rec.Key, lapsed)
		return true
	}
	e, err := platform.DecodeEndpoint(rec.Key, rec.Value)
	if err != nil {
		g.logger.WithError(err).WithFields(fields).Warn("gateway: endpoint not usable")
		g.forget(rec.Key)
		g.fleet.Remove(now, rec.Key, false)
		return true
	}
	changed := g.remember(e)
	if changed {
		fields["service"], fields["address"], fields["draining"] = e.Service, e.Address, e.Draining
		fields["coldMs"] = e.ColdRemaining.Milliseconds()
		g.logger.WithFields(fields).Info("gateway: endpoint changed")
	}
	g.fleet.Put(now, e, 0)
	return changed
}

// remember keeps the entry and says whether it differs from the last one in more than the time that has passed.
func (g *Gateway) remember(e endpoint.Entry) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	old, known := g.entries[e.ID]
	g.entries[e.ID] = e
	return !known || differs(old, e)
}

func (g *Gateway) forget(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.entries, id)
}

func differs(old, e endpoint.Entry) bool {
	if e.ColdRemaining <= old.ColdRemaining {
		old.ColdRemaining = e.ColdRemaining
	}
	return old != e
}

// serveReady answers the load balancer.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	reason := g.notReady()
	if old := g.unready.Swap(&reason); old == nil || *old != reason {
		g.logger.WithFields(log.Fields{"ready": reason == "", "reason": reason}).Info("gateway: readiness changed")
	}
	if reason != "" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// notReady returns why the VM takes no callers, or "".
func (g *Gateway) notReady() string {
	switch {
	case g.stopping.Load():
		return "stopping"
	case g.handler.Table() == nil:
		return "no configuration"
	case !g.feed.loaded() || g.fleet.Len() == 0:
		return "no endpoints known"
	case g.fleet.Isolated():
		return "no endpoint can be reached"
	}
	return ""
}

func (g *Gateway) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		if err := operator.WriteMetrics(w, g.registry); err != nil {
			g.logger.WithError(err).Warn("gateway: metrics not written")
		}
	})
	return mux
}

// probeEvery is the time between probes of data centres that cannot be reached, and probeTimeout how long one takes at most.
const (
	probeEvery   = 400 * time.Millisecond
	probeTimeout = 300 * time.Millisecond
)

// probe opens connections to data centres that cannot be reached until they can.
func (g *Gateway) probe(ctx context.Context) {
	ticker := time.NewTicker(probeEvery)
	defer ticker.Stop()
	dialer := http1.Dialer(probeTimeout)
	isolated := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, t := range g.fleet.Unreachable() {
			conn, err := dialer.DialContext(ctx, "tcp", t.Address)
			if err != nil {
				continue // the next probe asks again
			}
			conn.Close()
			g.fleet.Reached(t.ID)
			g.logger.WithField("endpoint", t.ID).Info("gateway: a data centre can be reached again")
		}
		if now := g.fleet.Isolated(); now != isolated {
			isolated = now
			g.logger.WithField("isolated", now).Warn("gateway: whether any endpoint can be reached changed")
		}
	}
}

func (g *Gateway) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if t := g.handler.Table(); t != nil && t.Limits().IdleTimeout > 0 {
				g.idle.sweep(now, t.Limits().IdleTimeout)
			}
		}
	}
}

// Reload takes over settings that were read again. Addresses stay as they were at the start; a change of them is logged.
// After an error the present settings stay in force.
func (g *Gateway) Reload(s *operator.GatewaySettings, err error) {
	if err != nil {
		g.logger.WithError(err).Error("gateway: the settings are refused; the present ones stay in force")
		return
	}
	if s.CallerListen() != g.settings.CallerListen() || s.ReadyListen() != g.settings.ReadyListen() || s.PeerAddress() != g.settings.PeerAddress() {
		g.logger.Warn("gateway: changed addresses take effect at the next start")
	}
	g.budget.SetBound(s.RetryRatio(), s.RetryExtra())
	g.fleet.SetColdBound(s.ColdFactor(), s.ColdExtra())
	g.logger.Info("gateway: settings read again")
}

// Shutdown stops taking callers and waits for running requests, up to the grace.
func (g *Gateway) Shutdown(ctx context.Context) error {
	g.logger.WithField("running", g.handler.Running()).Info("gateway: stopping")
	ctx, cancel := context.WithTimeout(ctx, g.settings.StopGrace()-exitReserve)
	defer cancel()
	g.stopping.Store(true)
	// Answers from now on end their connections, and idle ones end at once.
	g.callers.SetKeepAlivesEnabled(false)
	select {
	case <-time.After(rotationDelay):
	case <-ctx.Done():
	}
	return errors.Wrap(g.callers.Shutdown(ctx), "running requests")
}

// Close ends everything at once.
func (g *Gateway) Close() {
	g.logger.WithField("running", g.handler.Running()).Info("gateway: stopped")
	g.callers.Close()
	for _, s := range g.internal {
		s.Close()
	}
	g.cancel()
	if err := g.exchange.Close(); err != nil {
		g.logger.WithError(err).Warn("gateway: the exchange with peers did not close")
	}
	g.feed.done.Wait()
	g.goroutine.Wait()
	g.handler.Close()
	g.output.Close()
}
