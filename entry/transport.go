package entry

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/stats"
)

const serviceName = "goldcrest.entry"

// methodPath returns the full gRPC path of a method.
func methodPath(method string) string { return "/" + serviceName + "/" + method }

// unary returns the description of a unary method.
func unary[Req, Rep any](name string, handle func(*Node, context.Context, *Req) (*Rep, error)) grpc.MethodDesc {
	return grpc.MethodDesc{
		MethodName: name,
		Handler: func(srv any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
			req := new(Req)
			if err := decode(req); err != nil {
				return nil, err
			}
			return handle(srv.(*Node), ctx, req)
		},
	}
}

// transport holds the gRPC server and the client connections to other VMs.
type transport struct {
	codec  cborCodec
	creds  credentials.TransportCredentials
	dial   func(ctx context.Context, address string) (net.Conn, error)
	stats  *trafficStats
	server *grpc.Server

	mu     sync.Mutex
	conns  map[string]*grpc.ClientConn
	closed bool
}

// newTransport creates the gRPC server. With TLS, the server accepts only clients with a certificate of a trusted
// authority. Without TLS, connections are not encrypted.
func newTransport(cfg *tls.Config, dial func(context.Context, string) (net.Conn, error), r metrics.Registry) (*transport, error) {
	codec, err := newCodec()
	if err != nil {
		return nil, err
	}
	serverCreds := insecure.NewCredentials()
	t := &transport{codec: codec, creds: serverCreds, dial: dial, stats: newTrafficStats(r), conns: map[string]*grpc.ClientConn{}}
	if cfg != nil {
		if cfg.ClientCAs == nil || cfg.RootCAs == nil || len(cfg.Certificates) == 0 && cfg.GetCertificate == nil {
			return nil, errors.New("TLS between VMs requires a certificate and the certificate authorities of clients and servers")
		}
		t.creds = credentials.NewTLS(cfg)
		serverTLS := cfg.Clone()
		serverTLS.ClientAuth = tls.RequireAndVerifyClientCert
		serverCreds = credentials.NewTLS(serverTLS)
	}
	t.server = grpc.NewServer(grpc.ForceServerCodec(codec), grpc.Creds(serverCreds), grpc.StatsHandler(t.stats),
		grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxSendMsgSize(maxMessageBytes))
	return t, nil
}

// conn returns the connection to an address and creates it if necessary.
func (t *transport) conn(address string) (*grpc.ClientConn, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil, errors.New("transport is closed")
	}
	if c, ok := t.conns[address]; ok {
		return c, nil
	}
	opts := []grpc.DialOption{
		grpc.WithTransportCredentials(t.creds),
		grpc.WithStatsHandler(t.stats),
		grpc.WithDisableRetry(), // the verdict of a forwarded request depends on its being sent at most once
		grpc.WithDefaultCallOptions(grpc.ForceCodec(t.codec), grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
		// A restarted VM has to be reachable again within one or two probes, so reconnection attempts are frequent.
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.5, Jitter: 0.2, MaxDelay: time.Second},
			MinConnectTimeout: time.Second,
		}),
	}
	if t.dial != nil {
		opts = append(opts, grpc.WithContextDialer(t.dial))
	}
	c, err := grpc.NewClient("passthrough:///"+address, opts...)
	if err != nil {
		return nil, errors.Wrapf(err, "connection to %s", address)
	}
	t.conns[address] = c
	return c, nil
}

// call makes a unary call to the VM at address.
func call[Rep any](ctx context.Context, t *transport, address, method string, req any) (*Rep, error) {
	c, err := t.conn(address)
	if err != nil {
		return nil, err
	}
	rep := new(Rep)
	if err := c.Invoke(ctx, methodPath(method), req, rep); err != nil {
		return nil, err
	}
	return rep, nil
}

// retain closes the connections to addresses that are no longer in use.
func (t *transport) retain(inUse func(address string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, c := range t.conns {
		if !inUse(address) {
			_ = c.Close()
			delete(t.conns, address)
		}
	}
}

func (t *transport) close() {
	t.mu.Lock()
	t.closed = true
	for _, c := range t.conns {
		_ = c.Close()
	}
	t.mu.Unlock()
	t.server.Stop()
}

// sentFlag records whether any part of a call may have left this VM.
type sentFlag struct{ sent atomic.Bool }

type sentKey struct{}

// trackSent returns a context for one call and a flag that is set when the call's header is written to a connection. While
// the flag is not set, the call has certainly not reached the other VM.
func trackSent(ctx context.Context) (context.Context, *sentFlag) {
	f := new(sentFlag)
	return context.WithValue(ctx, sentKey{}, f), f
}

// trafficStats counts the traffic between VMs and marks sent calls. Forwarded requests are counted separately from
// control traffic, because only control traffic has a limit.
type trafficStats struct {
	controlIn, controlOut, forwardIn, forwardOut trafficCounter
}

type trafficCounter struct{ messages, bytes metrics.Counter }

func (c trafficCounter) add(n int) {
	c.messages.Inc(1)
	c.bytes.Inc(int64(n))
}

func newTrafficStats(r metrics.Registry) *trafficStats {
	counter := func(name string) trafficCounter {
		return trafficCounter{
			messages: metrics.GetOrRegisterCounter("entry."+name+".messages", r),
			bytes:    metrics.GetOrRegisterCounter("entry."+name+".bytes", r),
		}
	}
	return &trafficStats{
		controlIn: counter("control.in"), controlOut: counter("control.out"),
		forwardIn: counter("forward.in"), forwardOut: counter("forward.out"),
	}
}

type forwardKey struct{}

// TagRPC implements stats.Handler.
func (s *trafficStats) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, forwardKey{}, info.FullMethodName == methodPath("forward") || info.FullMethodName == methodPath("call"))
}

// HandleRPC implements stats.Handler.
func (s *trafficStats) HandleRPC(ctx context.Context, event stats.RPCStats) {
	forward, _ := ctx.Value(forwardKey{}).(bool)
	switch e := event.(type) {
	case *stats.OutHeader:
		if f, ok := ctx.Value(sentKey{}).(*sentFlag); ok {
			f.sent.Store(true)
		}
	case *stats.OutPayload:
		if forward {
			s.forwardOut.add(e.WireLength)
		} else {
			s.controlOut.add(e.WireLength)
		}
	case *stats.InPayload:
		if forward {
			s.forwardIn.add(e.WireLength)
		} else {
			s.controlIn.add(e.WireLength)
		}
	}
}

// TagConn implements stats.Handler.
func (s *trafficStats) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (s *trafficStats) HandleConn(context.Context, stats.ConnStats) {}
