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

// Config is what a VM knows from its settings.
type Config struct {
	Place       string
	DataCentre  string
	Listen      string // IP address and port
	Incarnation uint64 // higher than that of every earlier VM at the place
	Contacts    []string
	TLS         *tls.Config // mutual TLS with Certificates, RootCAs and ClientCAs, or nil for none
}

// Syncer is the configuration state that VMs exchange. Version differs after every change of Export; versions
// have no order.
type Syncer interface {
	Export() []byte
	Import(data []byte) error
	Version() uint64
}

// Endpoints reaches the endpoints of this data centre.
type Endpoints interface {
	Report(ctx context.Context, s engine.Spec) (engine.Report, error)
	Cancel(ctx context.Context, s engine.Spec, id string) error
	CancelHolder(ctx context.Context, s engine.Spec, holder string, incarnation uint64) error
}

// Ledger keeps what one endpoint has promised.
type Ledger interface {
	SetShares(now time.Time, usable, total int)
	Observe(now time.Time, r engine.Report)
	Ask(now time.Time, d engine.Demand) engine.Decision
	Next(now time.Time) []engine.Decision
	Withdraw(now time.Time, id string)
	Register(now time.Time, g engine.Grant)
	Release(now time.Time, id string, r engine.Result)
	ReleaseHolder(now time.Time, holder string)
	Load() engine.Load
}

var (
	_ Ledger    = (*engine.Ledger)(nil)
	_ Endpoints = (*engine.Client)(nil)
)

// Local serves requests that other data centres forward.
type Local interface {
	engine.Completer
	service.Caller
}

// Option sets an option of a Node.
type Option func(*options)

type options struct {
	syncer     Syncer
	endpoints  Endpoints
	local      Local
	registry   metrics.Registry
	newLedger  func(engine.Spec, time.Time) Ledger
	listener   net.Listener
	dial       func(ctx context.Context, address string) (net.Conn, error)
	firstStart bool
	mayLend    func() bool
	demand     func(customer string) Need
}

// WithSyncer sets the configuration state to exchange.
func WithSyncer(s Syncer) Option { return func(o *options) { o.syncer = s } }

// WithEndpoints sets the client for load reports and cancellations. Without it endpoints count as reporting nothing.
func WithEndpoints(e Endpoints) Option { return func(o *options) { o.endpoints = e } }

// WithLocal sets what serves requests from other data centres.
func WithLocal(l Local) Option { return func(o *options) { o.local = l } }

// WithMetrics sets the registry for metrics.
func WithMetrics(r metrics.Registry) Option { return func(o *options) { o.registry = r } }

// WithLedger replaces the ledger of owned endpoints.
func WithLedger(f func(s engine.Spec, now time.Time) Ledger) Option {
	return func(o *options) { o.newLedger = f }
}

// WithListener uses an open listener in place of Config.Listen. The Node closes it.
func WithListener(ln net.Listener) Option { return func(o *options) { o.listener = ln } }

// WithDialer replaces the dialer to other VMs.
func WithDialer(f func(ctx context.Context, address string) (net.Conn, error)) Option {
	return func(o *options) { o.dial = f }
}

// WithFirstStart asserts that no process has run at this place before, for example because the log has no record of one. The
// Node then lends at once and marks its shares as never lent.
func WithFirstStart() Option { return func(o *options) { o.firstStart = true } }

// WithMayLend holds back all lending while f is false. A VM gives a function that is true once it is known that the earlier
// VM at the place is gone. The Node lends one lease after f turned true, or at once after BeginFirst.
func WithMayLend(f func() bool) Option { return func(o *options) { o.mayLend = f } }
