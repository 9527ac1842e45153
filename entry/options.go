package entry

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/rcrowley/go-metrics"

	"goldcrestpath/engine"
	"goldcrestpath/service"
)

// Config holds a VM's settings.
type Config struct {
	VMName             string // VM name, such as jm-a/1
	DataCentre         string
	Listen             string      // IP address and port
	Incarnation        uint64      // higher than that of every earlier VM with the same name
	BootstrapAddresses []string    // peer addresses to probe while no VMs are configured
	TLS                *tls.Config // mutual TLS with Certificates, RootCAs and ClientCAs, or nil for no TLS
}

// Syncer provides the configuration state that VMs exchange. Version returns a different value after every change of the
// state that Export returns; versions have no order.
type Syncer interface {
	Export() []byte
	Import(data []byte) error
	Version() uint64
}

// Endpoints accesses the endpoints of this data centre.
type Endpoints interface {
	Report(ctx context.Context, s engine.Spec) (engine.Report, error)
	Cancel(ctx context.Context, s engine.Spec, id string) error
	CancelHolder(ctx context.Context, s engine.Spec, holder string, incarnation uint64) error
}

// Ledger tracks how much capacity of one endpoint has been granted.
type Ledger interface {
	SetShares(now time.Time, usable, total int)
	ObserveReport(now time.Time, r engine.Report)
	RequestGrant(now time.Time, d engine.GrantRequest) engine.Decision
	ProcessQueue(now time.Time) []engine.Decision
	Withdraw(now time.Time, id string)
	AdoptGrant(now time.Time, g engine.Grant)
	Release(now time.Time, id string, r engine.Result)
	ReleaseGrantsOf(now time.Time, holder string)
	Load() engine.Load
}

var (
	_ Ledger    = (*engine.Ledger)(nil)
	_ Endpoints = (*engine.Client)(nil)
)

// ForwardHandler serves requests that other data centres forward to this VM.
type ForwardHandler interface {
	engine.Completer
	service.Caller
}

// Option sets an option of a Node.
type Option func(*options)

type options struct {
	syncer         Syncer
	endpoints      Endpoints
	forwardHandler ForwardHandler
	registry       metrics.Registry
	newLedger      func(engine.Spec, time.Time) Ledger
	listener       net.Listener
	dial           func(ctx context.Context, address string) (net.Conn, error)
	firstStart     bool
	mayLease       func() bool
	demand         func(customer string) QuotaDemand
}

// WithSyncer sets the configuration state to exchange with other VMs.
func WithSyncer(s Syncer) Option { return func(o *options) { o.syncer = s } }

// WithEndpoints sets the client for load reports and cancellations. Without it, endpoints are treated as idle.
func WithEndpoints(e Endpoints) Option { return func(o *options) { o.endpoints = e } }

// WithForwardHandler sets the handler of requests that other data centres forward to this VM. Without it, they are refused.
func WithForwardHandler(h ForwardHandler) Option { return func(o *options) { o.forwardHandler = h } }

// WithMetrics sets the metrics registry.
func WithMetrics(r metrics.Registry) Option { return func(o *options) { o.registry = r } }

// WithLedger replaces the constructor of the ledgers of owned endpoints.
func WithLedger(f func(s engine.Spec, now time.Time) Ledger) Option {
	return func(o *options) { o.newLedger = f }
}

// WithListener uses an open listener in place of Config.Listen. The Node closes it.
func WithListener(ln net.Listener) Option { return func(o *options) { o.listener = ln } }

// WithDialer replaces the dialer for connections to other VMs.
func WithDialer(f func(ctx context.Context, address string) (net.Conn, error)) Option {
	return func(o *options) { o.dial = f }
}

// WithFirstStart asserts that no process has run under this VM name before, for example because the log has no record
// of one. The Node then grants leases at once and marks its shares as never leased.
func WithFirstStart() Option { return func(o *options) { o.firstStart = true } }

// WithMayLease sets a function that prevents the Node from granting leases while it returns false. It must return true
// only once it is known that the earlier VM of the same name has stopped. The Node grants leases one lease period after
// f first returns true, or at once after [Node.BeginLeasingAtOnce].
func WithMayLease(f func() bool) Option { return func(o *options) { o.mayLease = f } }
