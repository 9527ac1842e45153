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

// Limits of the HTTP listeners.
const (
	headerTimeout  = 5 * time.Second  // for reading the header of a request
	maxHeaderBytes = 32 << 10         // the configured limit, which the handler enforces, is lower
	maxIdleTimeout = 10 * time.Minute // the configured limit, which idleConns enforces, is lower

	// For the listeners of readiness, metrics and peers. Peers close idle connections after 2 s, and a fetch takes less than a second.
	internalHeaderBytes = 8 << 10
	internalReadTimeout = 5 * time.Second
	internalTimeout     = 15 * time.Second
	idleSweepInterval   = time.Second // between checks for idle connections
)

// Timers of a graceful stop.
const (
	// deregistrationDelay is how long new connections are accepted after readiness is turned off. The load
	// balancer checks once per second and removes a VM after two failed checks.
	deregistrationDelay = 2500 * time.Millisecond
	// exitReserve is the part of the grace period that is reserved for the exit of the process.
	exitReserve = 400 * time.Millisecond
	// settleReserve is the part of the grace period before exitReserve in which the last answers are written.
	settleReserve = 400 * time.Millisecond
	// lastAnswerTimeout limits the time to refuse the requests that arrive while the last connections are closed.
	lastAnswerTimeout = 100 * time.Millisecond
)

// holdRatio is the duration of one reservation of remote KV as a fraction of the time within which reserved memory
// has to be released after its last use. A reservation that is never released then still expires in time.
const holdRatio = 0.85

// memoryLimitRatio is the fraction of the process's memory limit that is set as the soft limit of the Go
// runtime, above which the garbage collector runs more often.
const memoryLimitRatio = 0.7

// Gateway is one running entry VM.
type Gateway struct {
	settings              *operator.GatewaySettings // as at the start; Reload applies later values
	logger                *log.Logger
	logOutput             *boundedOutput
	registry              metrics.Registry
	fleet                 *endpoint.Fleet
	retryBudget           *endpoint.RetryBudget
	shares                *endpoint.Shares // nil if customers have no fair shares
	handler               *forward.Handler
	feed                  *feed
	parts                 *partLog
	exchange              *peer.Exchange
	account               *forward.Memory
	dial                  forward.Dial // opens connections to endpoints
	relays                *peer.Relays
	relayServer           *peer.RelayServer
	callers               *http.Server
	idleConns             *idleConns
	internalServers       []*http.Server
	stopping              atomic.Bool
	reportedUnreadyReason atomic.Pointer[string] // last reason reported to the load balancer; "" if ready
	cancel                context.CancelFunc
	wg                    sync.WaitGroup

	mu      sync.Mutex                // guards drained and entries
	drained map[string]bool           // drained data centres; replaced, never modified
	entries map[string]endpoint.Entry // last applied entry of each endpoint, by ID
}

// Option configures a Gateway.
type Option func(*Gateway)

// WithDial sets how connections to endpoints are opened; see forward.WithDial.
func WithDial(dial forward.Dial) Option {
	return func(g *Gateway) { g.dial = dial }
}

// endpointDialTimeout limits the time to open a connection to an endpoint, unless the caller's context ends before.
const endpointDialTimeout = 300 * time.Millisecond

// New starts an entry VM, which writes its log to w. Listeners are open when it returns, but the VM is not ready until
// it has read the configuration and the endpoints.
func New(s *operator.GatewaySettings, version string, w io.Writer, opts ...Option) (*Gateway, error) {
	debug.SetMemoryLimit(int64(memoryLimitRatio * float64(s.MemoryMiB()) * (1 << 20)))
	ctx, cancel := context.WithCancel(context.Background())
	g := &Gateway{
		settings: s, logOutput: newBoundedOutput(w), registry: metrics.NewRegistry(), cancel: cancel, idleConns: newIdleConns(),
		dial: http1.NewDialer(endpointDialTimeout).DialContext, drained: map[string]bool{}, entries: map[string]endpoint.Entry{},
		account: forward.NewMemory(int64(accountRatio * float64(s.MemoryMiB()) * (1 << 20))),
	}
	metrics.NewRegisteredFunctionalGauge("gateway.accountedBytes", g.registry, g.account.Used)
	g.logger = &log.Logger{Handler: json.New(g.logOutput), Level: log.InfoLevel}
	self := net.JoinHostPort(s.PeerAddress(), strconv.Itoa(s.PeerPort()))
	g.shares = newShares(s, func(now time.Time, service string) bool { return g.fleet.Scarce(now, service) })
	fleetOptions := []endpoint.FleetOption{endpoint.WithColdBound(s.ColdFactor(), s.ColdAllowance()), endpoint.WithLocation(s.DataCentre(), self)}
	if g.shares != nil {
		fleetOptions = append(fleetOptions, endpoint.WithShares(g.shares))
	}
	if s.LearnPaces() {
		fleetOptions = append(fleetOptions, endpoint.WithPaces())
	}
	if s.WeighDataCentres() {
		fleetOptions = append(fleetOptions, endpoint.WithDataCentreWeighing())
	}
	if n := s.SpareSlots(); n > 0 {
		fleetOptions = append(fleetOptions, endpoint.WithSpareSlots(n))
	}
	g.fleet = endpoint.NewFleet(fleetOptions...)
	g.fleet.SetVMs(0, 0) // unknown until the VMs' records have been read
	g.retryBudget = endpoint.NewRetryBudget(s.RetryRatio(), s.RetryAllowance(), s.RetryWindow())
	g.retryBudget.Started()
	store := platform.NewStore(s.StoreAddress())
	g.parts = newPartLog(ctx, store, g.logger, g.registry)
	for _, opt := range opts {
		opt(g)
	}
	g.handler = forward.NewHandler(platform.Codec{}, g.fleet, g.retryBudget, g.logger, forward.WithRegistry(g.registry), forward.WithDial(g.dial),
		forward.WithQuarantine(g.parts.quarantine, g.parts), forward.WithAccount(g.account), forward.WithShares(g.shares),
		forward.WithRelays(relayDialer{g}), forward.WithReserver(platform.NewReservationClient(g.recordNotice, platform.WithDial(g.dialEndpoint)), time.Duration(holdRatio*float64(s.ReservationReleaseTime()))))
	g.feed = newFeed(ctx, peer.VM{Address: self, DataCentre: s.DataCentre()}, store, peer.NewFetcher(), g.logger)
	g.feed.apply, g.feed.dropLapsed = g.apply, g.fleet.DropLapsed
	g.feed.register(g.registry)
	if err := g.listen(self); err != nil {
		cancel()
		g.logOutput.Close()
		return nil, err
	}
	g.feed.start(g.exchange)
	g.parts.start()
	loops := []func(context.Context){g.closeIdle, g.probeUnreachable, g.watchPaces, g.reportPlacement, g.watchScarcity, g.watchSizes}
	if g.shares != nil {
		loops = append(loops, newSharePublisher(g.shares, g.logger, g.registry).run)
	}
	for _, loop := range loops {
		g.wg.Add(1)
		go func() {
			defer g.wg.Done()
			loop(ctx)
		}()
	}
	g.logger.WithFields(log.Fields{"vm": s.Name(), "dataCentre": s.DataCentre(), "version": version, "callers": s.CallerListen(), "fairShares": g.shares != nil}).
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
	g.exchange = peer.NewExchange(self, datagrams, g.fleet, g.feed, g.logger, peer.WithMembersFunc(g.setMembers), peer.WithQuarantine(g.parts.quarantine),
		peer.WithDataCentre(g.settings.DataCentre()), peer.WithStoreWatcher(g.feed), peer.WithShares(g.shares))
	g.relays = peer.NewRelays(g.exchange)
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+platform.ReadyPath, g.serveReady)
	limits := newConnectionLimits(g.settings.Descriptors(), g.account.Limit())
	g.relayServer = peer.NewRelayServer(limits.relays, g.connectForPeer)
	metrics.NewRegisteredFunctionalGauge("gateway.relayedForPeers", g.registry, func() int64 { return int64(g.relayServer.Open()) })
	peers := http.NewServeMux()
	peers.Handle("/", peer.RecordsHandler(g.feed.recordsSince))
	g.relayServer.Handle(peers)
	internal := forward.NewMemory(int64(limits.peers+limits.ready+limits.metrics) * internalClientBytes)
	internal.ReportTo(g.handler.RecordCut)
	servers := []struct {
		purpose, address, gauge string
		handler                 http.Handler
		limit                   int
	}{
		{"peers", self, "peers", peers, limits.peers},
		{"readiness", g.settings.ReadyListen(), "ready", ready, limits.ready},
		{"metrics", g.settings.MetricsListen(), "metrics", g.metricsHandler(), limits.metrics},
	}
	for _, s := range servers {
		if s.address == "" {
			continue
		}
		l, err := cfg.Listen(ctx, "tcp4", s.address)
		if err != nil {
			return errors.Wrap(err, "listen for "+s.purpose)
		}
		g.internalServers = append(g.internalServers, g.serve(&http.Server{
			Handler: s.handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: internalReadTimeout, WriteTimeout: internalTimeout,
			IdleTimeout: internalTimeout, MaxHeaderBytes: internalHeaderBytes,
		}, l, clientLimits{gauge: s.gauge, connections: s.limit, minStall: internalMinStall, account: internal}))
	}
	callers := http1.NewListenConfig(http1.WithUnreadTimeout(unreadTimeout), http1.WithSocketBuffers(receiveBufferBytes, sendBufferBytes))
	l, err := callers.Listen(ctx, "tcp4", g.settings.CallerListen())
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	g.callers = g.serve(&http.Server{
		Handler: g.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: maxIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: g.idleConns.track,
	}, l, clientLimits{gauge: "callers", connections: limits.callers, minStall: forward.MinStall, account: g.account})
	return nil
}

// serve starts s on a listener with limits on its clients, and returns s.
func (g *Gateway) serve(s *http.Server, l net.Listener, limits clientLimits) *http.Server {
	limited := &clientListener{Listener: l, group: s, limit: limits.connections, minStall: limits.minStall, account: limits.account, record: g.handler.RecordCut}
	limited.register(g.registry, limits.gauge)
	track := s.ConnState
	s.ConnState = func(c net.Conn, state http.ConnState) {
		c.(*clientConn).track(state)
		if track != nil {
			track(c, state)
		}
	}
	s.ErrorLog = stdlog.New(logWriter{g.logger}, "", 0)
	go func() {
		if err := s.Serve(limited); err != http.ErrServerClosed {
			g.logger.WithError(err).Error("gateway: a listener failed")
		}
	}()
	return s
}

// logWriter logs the messages of net/http, for example about interrupted connections, at debug level.
type logWriter struct{ logger log.Interface }

// Write implements io.Writer.
func (w logWriter) Write(b []byte) (int, error) {
	w.logger.WithField("detail", string(b)).Debug("gateway: http")
	return len(b), nil
}

// recordNotice passes on what an engine's response to an order says of the engine.
func (g *Gateway) recordNotice(engine string, n endpoint.Notice) { g.handler.RecordNotice(engine, n) }

// setMembers passes this VM's view of the known VMs to the components that share limits with them.
func (g *Gateway) setMembers(m peer.Members) {
	g.fleet.SetVMs(m.Rank, m.InCell)
	if g.feed.vmsRead.Load() {
		g.retryBudget.SetVMs(m.Total) // with a part of the VMs, their number is too small, and each share too large
	}
	if g.shares != nil {
		g.shares.SetVMs(m.InCell)
	}
	g.parts.rank.Store(int64(m.Position))
	g.logger.WithFields(log.Fields{"rank": m.Rank, "inCell": m.InCell, "vms": m.Total}).Info("gateway: the known VMs changed")
}

// apply applies changed records of a topic in the order of their offsets and returns those that peers need. If keepUntil is set, a
// removed record may only have expired during an outage of the store, and its endpoint stays in use until then. Endpoints rewrite their records
// about once per second, mostly without a change, and unchanged ones are not passed on. A record counts as a change if
// it differs from this VM's own state, no matter how this VM learned that state, because a different VM may read the
// store each time.
func (g *Gateway) apply(topic platform.Topic, changed []oplog.TopicRecord, keepUntil time.Time) []oplog.TopicRecord {
	slices.SortFunc(changed, func(a, b oplog.TopicRecord) int { return int(a.Offset - b.Offset) })
	var needed []oplog.TopicRecord
	for _, rec := range changed {
		if topic == platform.OperatorTopic {
			g.applyOperator(rec)
			needed = append(needed, rec)
		} else if g.applyEndpoint(rec, keepUntil) {
			needed = append(needed, rec)
		}
	}
	return needed
}

// applyOperator applies a record of the operators, which drains a data centre, ends its drain, or sets the
// configuration. A configuration that is not valid is not applied.
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
		g.logger.WithError(err).WithField("offset", rec.Offset).Error("gateway: the configuration is refused; the previous one remains in use")
		return
	}
	for _, warning := range spec.Warnings {
		g.logger.WithField("offset", rec.Offset).Warn("gateway: a value of the configuration is not used: " + warning)
	}
	if len(spec.LimitedPriorities) > 0 {
		g.logger.WithFields(log.Fields{"version": spec.Version, "values": spec.LimitedPriorities}).Warn("gateway: priorities outside of 0 to 9 are limited")
	}
	g.fleet.SetServices(table.Services())
	g.handler.SetTable(table)
	g.logger.WithFields(log.Fields{"version": table.Version(), "routes": table.RouteCount(), "offset": rec.Offset, "prioritised": table.PrioritisedServices()}).Info("gateway: configuration in force")
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
	g.fleet.SetDrained(time.Now(), next)
	g.logger.WithFields(log.Fields{"dataCentre": dataCentre, "drained": drained}).Info("gateway: data centre drain changed")
}

// applyEndpoint applies an endpoint's record and reports whether it changes anything but the remaining cold time, which
// shortens as time passes. An endpoint whose record cannot be decoded is removed.
func (g *Gateway) applyEndpoint(rec oplog.TopicRecord, keepUntil time.Time) bool {
	now := time.Now()
	fields := log.Fields{"endpoint": rec.Key, "offset": rec.Offset}
	if rec.Value == nil {
		fields["lapsed"] = !keepUntil.IsZero()
		if !keepUntil.IsZero() {
			fields["keptMs"] = keepUntil.Sub(now).Milliseconds()
		}
		g.logger.WithFields(fields).Info("gateway: endpoint removed")
		g.deleteEntry(rec.Key)
		g.fleet.Remove(rec.Key, keepUntil)
		return true
	}
	e, err := platform.DecodeEndpoint(rec.Key, rec.Value)
	if err != nil {
		g.logger.WithError(err).WithFields(fields).Warn("gateway: endpoint not usable")
		g.deleteEntry(rec.Key)
		g.fleet.Remove(rec.Key, time.Time{})
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

// storeEntry stores the entry and reports whether it is new or differs from the previous one; see differs.
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

// serveReady answers the readiness checks of the load balancer and logs changes of the answer.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	reason := g.currentUnreadyReason()
	if old := g.reportedUnreadyReason.Swap(&reason); old == nil || *old != reason {
		g.logger.WithFields(log.Fields{"ready": reason == "", "reason": reason}).Info("gateway: readiness changed")
	}
	if reason != "" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// currentUnreadyReason returns why the VM does not accept callers, or "" if it does.
func (g *Gateway) currentUnreadyReason() string {
	switch {
	case g.stopping.Load():
		return "stopping"
	case g.handler.Table() == nil:
		return "no configuration"
	case !g.feed.loaded() || g.fleet.Len() == 0:
		return "no endpoints known"
	case !g.parts.read.Load():
		return "parts in quarantine not read"
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
	mux.HandleFunc("GET "+explainPath, g.serveExplain)
	return mux
}

// probeInterval is the time between probes of endpoints that this VM does not reach.
const probeInterval = 400 * time.Millisecond

// probeUnreachable periodically tries the paths to endpoints that this VM does not reach. It also logs when this VM loses or regains the
// last reachable data centre, and the last path of its own to an endpoint.
func (g *Gateway) probeUnreachable(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	isolated, cutOffSelf := false, false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		g.handler.ProbePaths(ctx)
		if now := g.fleet.Isolated(); now != isolated {
			isolated = now
			reaching, cutOff := g.exchange.Reach()
			g.logger.WithFields(log.Fields{"isolated": now, "peersReaching": reaching, "peersCutOff": cutOff}).Warn("gateway: whether any endpoint can be reached changed")
		}
		if now := g.fleet.CutOff(); now != cutOffSelf {
			cutOffSelf = now
			reaching, cutOff := g.exchange.Reach()
			g.logger.WithFields(log.Fields{"cutOff": now, "lostPaths": g.fleet.LostPaths(), "peersReaching": reaching, "peersCutOff": cutOff}).
				Warn("gateway: whether this VM has a path of its own to any endpoint changed")
		}
	}
}

// closeIdle closes callers' connections that exceed the configured idle timeout, until ctx ends.
func (g *Gateway) closeIdle(ctx context.Context) {
	ticker := time.NewTicker(idleSweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if t := g.handler.Table(); t != nil && t.Limits().IdleTimeout > 0 {
				g.idleConns.sweep(now, t.Limits().IdleTimeout)
			}
		}
	}
}

// Reload applies settings that were read again. If err is not nil, it logs err and keeps the current settings. New
// addresses take effect only at the next start, so a change of them is logged.
func (g *Gateway) Reload(s *operator.GatewaySettings, err error) {
	if err != nil {
		g.logger.WithError(err).Error("gateway: the settings are refused; the current ones remain in use")
		return
	}
	if s.CallerListen() != g.settings.CallerListen() || s.ReadyListen() != g.settings.ReadyListen() || s.PeerAddress() != g.settings.PeerAddress() {
		g.logger.Warn("gateway: changed addresses take effect at the next start")
	}
	g.retryBudget.SetBound(s.RetryRatio(), s.RetryAllowance())
	g.fleet.SetColdBound(s.ColdFactor(), s.ColdAllowance())
	g.logger.Info("gateway: settings read again")
}

// Shutdown turns readiness off, still accepts connections for deregistrationDelay, and then waits for running requests. Each of them
// has its final answer before the grace period ends; see forward.Handler.Stop. The other listeners and the goroutines run until Close.
// Shutdown must be called at most once.
func (g *Gateway) Shutdown(ctx context.Context) error {
	g.logger.WithField("running", g.handler.Running()).Info("gateway: stopping")
	exitBy := time.Now().Add(g.settings.StopGrace() - exitReserve)
	ctx, cancel := context.WithDeadline(ctx, exitBy)
	defer cancel()
	g.stopping.Store(true)
	g.handler.Stop(exitBy.Add(-settleReserve))
	// From now on each response closes its connection, and connections that become idle are closed immediately.
	g.callers.SetKeepAlivesEnabled(false)
	select {
	case <-time.After(deregistrationDelay):
	case <-ctx.Done():
	}
	err := g.callers.Shutdown(ctx)
	g.relayServer.Wait(ctx) // requests of other VMs
	if err == nil {
		return nil
	}
	g.idleConns.sweep(time.Now(), 0)
	if g.idleConns.awaitAnswers(lastAnswerTimeout) {
		return nil // only connections without a request were left
	}
	return errors.Wrap(err, "wait for running requests")
}

// Close closes all connections and listeners immediately and waits for the goroutines.
func (g *Gateway) Close() {
	g.logger.WithField("running", g.handler.Running()).Info("gateway: stopped")
	g.callers.Close()
	g.relayServer.Close()
	for _, s := range g.internalServers {
		s.Close()
	}
	g.cancel()
	if err := g.exchange.Close(); err != nil {
		g.logger.WithError(err).Warn("gateway: could not close the exchange with peers")
	}
	g.feed.wg.Wait()
	g.parts.wg.Wait()
	g.wg.Wait()
	g.handler.Close()
	g.logOutput.Close()
}
