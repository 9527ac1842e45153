package peer_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"goldcrestpath/endpoint"
	"goldcrestpath/peer"
)

// relayingVM is a VM with a relay server, known to an asking VM.
type relayingVM struct {
	server *peer.RelayServer
	http   *httptest.Server
	asking *peer.Relays
	fleet  *endpoint.Fleet // of the relaying VM
}

// newRelayingVM returns a VM that relays up to limit connections with connect.
func newRelayingVM(t *testing.T, limit int, connect peer.Connect) *relayingVM {
	t.Helper()
	v := &relayingVM{server: peer.NewRelayServer(limit, connect)}
	t.Cleanup(v.server.Close)
	mux := http.NewServeMux()
	v.server.Handle(mux)
	v.http = httptest.NewServer(mux)
	t.Cleanup(v.http.Close)
	address := v.http.Listener.Addr().String() // VMs listen for datagrams and for connections at the same address
	conn, err := net.ListenPacket("udp4", address)
	if err != nil {
		t.Fatal(err)
	}
	v.fleet = endpoint.NewFleet()
	x := peer.NewExchange(address, conn, v.fleet, &receiver{}, logger, peer.WithDataCentre("b"))
	t.Cleanup(func() { _ = x.Close() })
	a := newVM(t)
	a.exchange.AddPeers([]peer.VM{{Address: address, DataCentre: "b"}})
	v.asking = peer.NewRelays(a.exchange)
	await(t, "the VMs know each other", func() bool { return len(a.exchange.Alive()) == 2 })
	return v
}

// connectTo opens a connection without any check.
func connectTo(ctx context.Context, address string) (net.Conn, peer.RelayRefusal, error) {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	return conn, peer.RelayRefusal{}, err
}

// serveOnce accepts one connection and calls serve for it.
func serveOnce(t *testing.T, serve func(conn *net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		serve(conn.(*net.TCPConn))
	}()
	return l.Addr().String()
}

// TestEndOfARelayedConnection guards against an answer that looks complete although the endpoint reset its connection or the relaying VM ended,
// and against bytes that a relay changes or loses. An answer may end with its connection, so its end must be the endpoint's.
func TestEndOfARelayedConnection(t *testing.T) {
	long := strings.Repeat("0123456789", 10_000)
	for name, c := range map[string]struct {
		end     func(v *relayingVM, conn *net.TCPConn)
		wantErr bool
	}{
		"the endpoint closes": {end: func(*relayingVM, *net.TCPConn) {}},
		"the endpoint resets": {end: func(_ *relayingVM, conn *net.TCPConn) { _ = conn.SetLinger(0) }, wantErr: true},
		"the VM ends":         {end: func(v *relayingVM, conn *net.TCPConn) { time.Sleep(50 * time.Millisecond); v.server.Close() }, wantErr: true},
	} {
		t.Run(name, func(t *testing.T) {
			v := newRelayingVM(t, 4, connectTo)
			address := serveOnce(t, func(conn *net.TCPConn) {
				buf := make([]byte, 4)
				if _, err := io.ReadFull(conn, buf); err != nil || string(buf) != "ping" {
					t.Errorf("the endpoint read %q, error %v", buf, err)
				}
				_, _ = io.WriteString(conn, long)
				c.end(v, conn)
			})
			conn, err := v.asking.Dial(context.Background(), address, "b")
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if _, err := io.WriteString(conn, "ping"); err != nil {
				t.Fatal(err)
			}
			got, err := io.ReadAll(conn)
			if (err != nil) != c.wantErr || !c.wantErr && string(got) != long {
				t.Errorf("%d of %d bytes, error %v, want an error: %t", len(got), len(long), err, c.wantErr)
			}
		})
	}
}

// TestRelayedAnswerThatIsResetDuringTheUpload guards against an answer without a length that looks complete although the endpoint reset its
// connection while the request was on its way: on Linux, the error shows in a write of the request or in a read of the answer, not in both.
func TestRelayedAnswerThatIsResetDuringTheUpload(t *testing.T) {
	v := newRelayingVM(t, 100, connectTo)
	for range 20 {
		address := serveOnce(t, func(conn *net.TCPConn) {
			_, _ = io.ReadFull(conn, make([]byte, 1<<10)) // the connection is relayed by then
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
			_ = conn.SetLinger(0)
		})
		conn, err := v.asking.Dial(context.Background(), address, "b")
		if err != nil {
			t.Fatal(err)
		}
		go func() { _, _ = io.Copy(conn, io.LimitReader(zeros{}, 64<<20)) }()
		if got, err := io.ReadAll(conn); err == nil {
			t.Errorf("%q looks complete", got)
		}
		conn.Close()
	}
}

// zeros is an endless source of bytes.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) { clear(b); return len(b), nil }

// TestRelayLearnsThatTheCallerLeft guards against an endpoint that works on for a caller that has left: the end of the asking VM's connection
// ends that to the endpoint.
func TestRelayLearnsThatTheCallerLeft(t *testing.T) {
	v := newRelayingVM(t, 4, connectTo)
	left := make(chan time.Time, 1)
	address := serveOnce(t, func(conn *net.TCPConn) {
		_, _ = io.Copy(io.Discard, conn)
		left <- time.Now()
	})
	conn, err := v.asking.Dial(context.Background(), address, "b")
	if err != nil {
		t.Fatal(err)
	}
	await(t, "one connection is relayed", func() bool { return v.server.Open() == 1 })
	closedAt := time.Now()
	conn.Close()
	select {
	case at := <-left:
		if d := at.Sub(closedAt); d > 500*time.Millisecond {
			t.Errorf("the endpoint learned it after %v, later than 500 ms", d)
		}
	case <-time.After(5 * time.Second):
		t.Error("the endpoint does not learn that the caller left")
	}
	await(t, "no connection is relayed", func() bool { return v.server.Open() == 0 })
}

// TestRelayRefusals guards against VMs that relay more connections than their limit or relay where they send no request themselves, against
// a refusal by a VM that is taken for one by the endpoint, and against a VM that is not asked for other endpoints because one has ended.
func TestRelayRefusals(t *testing.T) {
	var refusal atomic.Pointer[peer.RelayRefusal]
	refusal.Store(&peer.RelayRefusal{})
	v := newRelayingVM(t, 1, func(ctx context.Context, address string) (net.Conn, peer.RelayRefusal, error) {
		if r := refusal.Load(); r.Reason != "" {
			return nil, *r, nil
		}
		return connectTo(ctx, address)
	})
	address := serveOnce(t, func(conn *net.TCPConn) { _, _ = io.Copy(io.Discard, conn) })
	pause := func() { time.Sleep(400 * time.Millisecond) } // a VM that refused is not asked again at once
	refusal.Store(&peer.RelayRefusal{Reason: "stopping"})
	if _, err := v.asking.Dial(context.Background(), address, "b"); !errors.Is(err, peer.ErrNoRelay) || errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("error %v, want ErrNoRelay", err)
	}
	refusal.Store(&peer.RelayRefusal{})
	if _, err := v.asking.Dial(context.Background(), address, "b"); !errors.Is(err, peer.ErrNoRelay) {
		t.Errorf("right after a refusal: error %v, want ErrNoRelay without another question", err)
	}
	pause()
	refusal.Store(&peer.RelayRefusal{Reason: "draining", EndpointOnly: true})
	if _, err := v.asking.Dial(context.Background(), address, "b"); !errors.Is(err, peer.ErrNoRelay) {
		t.Errorf("an endpoint that drains: error %v, want ErrNoRelay", err)
	}
	refusal.Store(&peer.RelayRefusal{})
	ended := endedAddress(t)
	if _, err := v.asking.Dial(context.Background(), ended, "b"); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("right after a refusal for one endpoint, an endpoint that ended: error %v, want a refused connection", err)
	}
	conn, err := v.asking.Dial(context.Background(), address, "b")
	if err != nil {
		t.Fatalf("right after the failure of one endpoint: %v", err)
	}
	defer conn.Close()
	await(t, "the connection is relayed", func() bool { return v.server.Open() == 1 })
	if _, err := v.asking.Dial(context.Background(), address, "b"); !errors.Is(err, peer.ErrNoRelay) {
		t.Errorf("beyond the limit: error %v, want ErrNoRelay", err)
	}
}

// endedAddress returns an address that refuses connections.
func endedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// TestPauseReachesTheRelayingVM guards against a VM that goes on sending to an endpoint that asked for a pause in an answer which the VM relayed: the
// endpoint takes it for the sender.
func TestPauseReachesTheRelayingVM(t *testing.T) {
	v := newRelayingVM(t, 4, connectTo)
	address := serveOnce(t, func(conn *net.TCPConn) { _, _ = io.Copy(io.Discard, conn) })
	v.fleet.SetEntry(time.Now(), endpoint.Entry{ID: "e", Service: "desk", Address: address, DataCentre: "b", Slots: 1}, 0)
	conn, err := v.asking.Dial(context.Background(), address, "b")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	v.asking.ReportPause(conn.RemoteAddr(), "e", time.Minute)
	await(t, "the relaying VM pauses too", func() bool {
		_, _, refusal := v.fleet.RelayTarget(time.Now(), address)
		return refusal == "paused"
	})
}

// TestVMsThatAreCutOffRelayNothing guards against a second hop: a VM that reaches no endpoint itself is not asked.
func TestVMsThatAreCutOffRelayNothing(t *testing.T) {
	var asked atomic.Int64
	v := newRelayingVM(t, 4, func(context.Context, string) (net.Conn, peer.RelayRefusal, error) {
		asked.Add(1)
		return nil, peer.RelayRefusal{Reason: endpoint.RelayPathLost}, nil
	})
	v.fleet.SetEntry(time.Now(), endpoint.Entry{ID: "e", Service: "desk", Address: "10.0.0.1:80", DataCentre: "b", Slots: 1}, 0)
	v.fleet.RecordRelayed("e")
	await(t, "the asking VM knows", func() bool {
		before := asked.Load()
		_, err := v.asking.Dial(context.Background(), "10.0.0.1:80", "b")
		time.Sleep(350 * time.Millisecond) // until it may be asked again
		return errors.Is(err, peer.ErrNoRelay) && asked.Load() == before
	})
}
