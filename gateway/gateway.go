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
	headerTimeout     = 5 * time.Second  // for reading the header of a request
	maxHeaderBytes    = 64 << 10         // in bytes; the configured limit is lower
	maxIdleTimeout    = 10 * time.Minute // the configured limit is lower and enforced by idleConns
	idleSweepInterval = time.Second
)

// Timers of a graceful stop.
const (
	// deregistrationDelay is how long new connections are accepted after readiness is turned off. The load
	// balancer checks once per second and removes a VM after two failed checks.
	deregistrationDelay = 2500 * time.Millisecond
	// exitReserve is the part of the grace period that is reserved for the exit of the process.
	exitReserve = 400 * time.Millisecond
)

// holdRatio is the duration of one memory reservation as a fraction of the time within which reserved memory
// has to be free after its last use. The reservation then ends in time even if it is never released.
const holdRatio = 0.85

// memoryLimitRatio is the fraction of the process's memory limit that is set as the soft limit of the Go
// runtime, above which the garbage collector runs more often.
const memoryLimitRatio = 0.7

// Gateway is one running entry VM.
type Gateway struct {
	settings        *operator.GatewaySettings
	logger          *log.Logger
	output          *boundedOutput
	registry        metrics.Registry
	fleet           *endpoint.Fleet
	budget          *endpoint.RetryBudget
	handler         *forward.Handler
	feed            *feed
	exchange        *peer.Exchange
	callers         *http.Server
	idle            *idleConns
	internalServers []*http.Server
	stopping        atomic.Bool
	unreadyReason   atomic.Pointer[string] // last reason reported to the load balancer
	cancel          context.CancelFunc
	wg              sync.WaitGroup

	mu      sync.Mutex // guards drained and entries
	drained map[string]bool
	entries map[string]endpoint.Entry // last applied entries by endpoint
}

// New starts an entry VM. It writes its log to w.
func New(s *operator.GatewaySettings, version string, w io.Writer) (*Gateway, error) {
	debug.SetMemoryLimit(int64(memoryLimitRatio * float64(s.MemoryMiB()) * (1 << 20)))
	ctx, cancel := context.WithCancel(context.Background())
	g := &Gateway{
		settings: s, output: newBoundedOutput(w), registry: metrics.NewRegistry(), cancel: cancel, idle: newIdleConns(),
		drained: map[string]bool{}, entries: map[string]endpoint.Entry{},
	}
	g.logger = &log.Logger{Handler: json.New(g.output), Level: log.InfoLevel}
	g.fleet = endpoint.NewFleet(endpoint.WithColdBound(s.ColdFactor(), s.ColdAllowance()))
	g.budget = endpoint.NewRetryBudget(s.RetryRatio(), s.RetryAllowance(), s.RetryWindow())
	g.handler = forward.NewHandler(platform.Codec{}, g.fleet, g.budget, g.logger, forward.WithRegistry(g.registry),
		forward.WithReserver(platform.NewReservationClient(), time.Duration(holdRatio*float64(s.ReservationReleaseTime()))))
	self := net.JoinHostPort(s.PeerAddress(), strconv.Itoa(s.PeerPort()))
	g.feed = newFeed(ctx, self, platform.NewStore(s.StoreAddress()), peer.NewFetcher(), g.logger)
	g.feed.apply = g.apply
	if err := g.listen(self); err != nil {
		cancel()
		g.output.Close()
		return nil, err
	}
	g.feed.start(g.exchange)
	for _, loop := range []func(context.Context){g.closeIdle, g.probeUnreachable} {
		g.wg.Add(1)
		go func() {
			defer g.wg.Done()
			loop(ctx)
		}()
	}
	g.logger.WithFields(log.Fields{"vm": s.Name(), "dataCentre": s.DataCentre(), "version": version, "callers": s.CallerListen()}).
		Info("gateway: started")
	return g, nil
}

// listen opens all listeners and starts serving on them.
func (g *Gateway) listen(self string) error {
	ctx := context.Background()
	cfg := http1.NewListenConfig()
	datagrams, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp4", self)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	g.exchange = peer.New(self, datagrams, g.fleet, g.feed, g.logger, peer.WithMembersFunc(g.setMembers))
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+platform.ReadyPath, g.serveReady)
	servers := []struct {
		what, address string
		handler       http.Handler
	}{
		{"peers' fetches", self, peer.RecordsHandler(g.feed.recordsSince)},
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
		g.internalServers = append(g.internalServers, g.serve(&http.Server{Handler: s.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: maxIdleTimeout}, l))
	}
	l, err := cfg.Listen(ctx, "tcp4", g.settings.CallerListen())
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	g.callers = g.serve(&http.Server{
		Handler: g.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: maxIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: g.idle.track,
	}, l)
	return nil
}

// serve starts an HTTP server on a listener.
func (g *Gateway) serve(s *http.Server, l net.Listener) *http.Server {
	s.ErrorLog = stdlog.New(logWriter{g.logger}, "", 0)
	go func() {
		if err := s.Serve(l); err != http.ErrServerClosed {
			g.logger.WithError(err).Error("gateway: a listener failed")
		}
	}()
	return s
}

// logWriter forwards the log of net/http, for example about interrupted connections, at debug level.
type logWriter struct{ logger log.Interface }

// Write implements io.Writer.
func (w logWriter) Write(b []byte) (int, error) {
	w.logger.WithField("detail", string(b)).Debug("gateway: http")
	return len(b), nil
}

// setMembers updates the fleet and the retry budget with this VM's rank among the known VMs and their number.
func (g *Gateway) setMembers(rank, n int) {
	g.fleet.SetVMs(rank, n)
	g.budget.SetVMs(n)
	g.logger.WithFields(log.Fields{"rank": rank, "vms": n}).Info("gateway: the known VMs changed")
}

// apply applies changed records of a topic in the order of their offsets and returns those that peers need.
// Endpoints rewrite their records about once per second without a change, and those are not passed on. Whether
// a record is a change is decided by comparison with this VM's own state, no matter how the VM learned it,
// because a different VM may read the store each time.
func (g *Gateway) apply(topic platform.Topic, changed []oplog.TopicRecord, lapsed bool) []oplog.TopicRecord {
	slices.SortFunc(changed, func(a, b oplog.TopicRecord) int { return int(a.Offset - b.Offset) })
	var needed []oplog.TopicRecord
	for _, rec := range changed {
		if topic == platform.OperatorTopic {
			g.applyOperator(rec)
			needed = append(needed, rec)
		} else if g.applyEndpoint(rec, lapsed) {
			needed = append(needed, rec)
		}
	}
	return needed
}

// applyOperator applies an operators' record: a drain of a data centre or a configuration.
func (g *Gateway) applyOperator(rec oplog.TopicRecord) {
	if dataCentre, ok := platform.DrainedDataCentre(rec.Key); ok {
		g.setDrained(dataCentre, rec.Value != nil)
		return
	}
	if !platform.IsConfigurationKey(rec.Key) || rec.Value == nil {
		return
	}
	spec, err := platform.DecodeConfiguration(rec.Value)
	var table *operator.RoutingTable
	if err == nil {
		table, err = operator.NewRoutingTable(spec)
	}
	if err != nil {
		g.logger.WithError(err).WithField("offset", rec.Offset).Error("gateway: the configuration is refused; the last one stays in force")
		return
	}
	g.fleet.SetServices(table.Services())
	g.handler.SetTable(table)
	g.logger.WithFields(log.Fields{"version": table.Version(), "routes": table.RouteCount(), "offset": rec.Offset}).Info("gateway: configuration in force")
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

// applyEndpoint applies an endpoint's record and reports whether anything but the elapsed time has changed.
func (g *Gateway) applyEndpoint(rec oplog.TopicRecord, lapsed bool) bool {
	now := time.Now()
	fields := log.Fields{"endpoint": rec.Key, "offset": rec.Offset}
	if rec.Value == nil {
		g.logger.WithFields(fields).WithField("lapsed", lapsed).Info("gateway: endpoint removed")
		g.deleteEntry(rec.Key)
		g.fleet.Remove(now, rec.Key, lapsed)
		return true
	}
	e, err := platform.DecodeEndpoint(rec.Key, rec.Value)
	if err != nil {
		g.logger.WithError(err).WithFields(fields).Warn("gateway: endpoint not usable")
		g.deleteEntry(rec.Key)
		g.fleet.Remove(now, rec.Key, false)
		return true
	}
	changed := g.storeEntry(e)
	if changed {
		fields["service"], fields["address"], fields["draining"] = e.Service, e.Address, e.Draining
		fields["coldMs"] = e.ColdRemaining.Milliseconds()
		g.logger.WithFields(fields).Info("gateway: endpoint changed")
	}
	g.fleet.SetEntry(now, e, 0)
	return changed
}

// storeEntry stores the entry and reports whether it differs from the previous one in more than the elapsed
// time.
func (g *Gateway) storeEntry(e endpoint.Entry) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	old, known := g.entries[e.ID]
	g.entries[e.ID] = e
	return !known || differs(old, e)
}

func (g *Gateway) deleteEntry(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.entries, id)
}

// differs reports whether two entries of an endpoint differ in more than a shorter remaining cold time.
func differs(old, e endpoint.Entry) bool {
	if e.ColdRemaining <= old.ColdRemaining {
		old.ColdRemaining = e.ColdRemaining
	}
	return old != e
}

// serveReady answers the readiness checks of the load balancer.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	reason := g.notReady()
	if old := g.unreadyReason.Swap(&reason); old == nil || *old != reason {
		g.logger.WithFields(log.Fields{"ready": reason == "", "reason": reason}).Info("gateway: readiness changed")
	}
	if reason != "" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// notReady returns why the VM does not accept callers, or "" if it does.
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
			g.logger.WithError(err).Warn("gateway: could not write metrics")
		}
	})
	return mux
}

// probeInterval is the time between probes of unreachable data centres, and probeTimeout bounds one probe.
const (
	probeInterval = 400 * time.Millisecond
	probeTimeout  = 300 * time.Millisecond
)

// probeUnreachable opens connections to unreachable data centres until they are reachable again.
func (g *Gateway) probeUnreachable(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	dialer := http1.NewDialer(probeTimeout)
	isolated := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, t := range g.fleet.ProbeTargets() {
			conn, err := dialer.DialContext(ctx, "tcp", t.Address)
			if err != nil {
				continue // retried at the next tick
			}
			conn.Close()
			g.fleet.MarkReachable(t.ID)
			g.logger.WithField("endpoint", t.ID).Info("gateway: a data centre can be reached again")
		}
		if now := g.fleet.Isolated(); now != isolated {
			isolated = now
			g.logger.WithField("isolated", now).Warn("gateway: whether any endpoint can be reached changed")
		}
	}
}

// closeIdle closes idle connections of callers until ctx ends.
func (g *Gateway) closeIdle(ctx context.Context) {
	ticker := time.NewTicker(idleSweepInterval)
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

// Reload applies settings that were read again, or logs err and keeps the current ones. Addresses take effect
// only at the next start, and a change of them is logged.
func (g *Gateway) Reload(s *operator.GatewaySettings, err error) {
	if err != nil {
		g.logger.WithError(err).Error("gateway: the settings are refused; the current ones stay in force")
		return
	}
	if s.CallerListen() != g.settings.CallerListen() || s.ReadyListen() != g.settings.ReadyListen() || s.PeerAddress() != g.settings.PeerAddress() {
		g.logger.Warn("gateway: changed addresses take effect at the next start")
	}
	g.budget.SetBound(s.RetryRatio(), s.RetryAllowance())
	g.fleet.SetColdBound(s.ColdFactor(), s.ColdAllowance())
	g.logger.Info("gateway: settings read again")
}

// Shutdown stops accepting callers and waits for running requests, up to the grace period.
func (g *Gateway) Shutdown(ctx context.Context) error {
	g.logger.WithField("running", g.handler.Running()).Info("gateway: stopping")
	ctx, cancel := context.WithTimeout(ctx, g.settings.StopGrace()-exitReserve)
	defer cancel()
	g.stopping.Store(true)
	// From now on responses close their connections, and idle connections are closed immediately.
	g.callers.SetKeepAlivesEnabled(false)
	select {
	case <-time.After(deregistrationDelay):
	case <-ctx.Done():
	}
	return errors.Wrap(g.callers.Shutdown(ctx), "wait for running requests")
}

// Close stops everything immediately and waits for the goroutines.
func (g *Gateway) Close() {
	g.logger.WithField("running", g.handler.Running()).Info("gateway: stopped")
	g.callers.Close()
	for _, s := range g.internalServers {
		s.Close()
	}
	g.cancel()
	if err := g.exchange.Close(); err != nil {
		g.logger.WithError(err).Warn("gateway: could not close the exchange with peers")
	}
	g.feed.wg.Wait()
	g.wg.Wait()
	g.handler.Close()
	g.output.Close()
}
