package forward_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"goldcrestpath/endpoint"
	"goldcrestpath/forward"
	"goldcrestpath/http1/http1test"
)

// otherVM relays connections. It counts them.
type otherVM struct {
	dials atomic.Int64
	err   error // if set, it reaches no endpoint
}

func (v *otherVM) Dial(ctx context.Context, address string) (net.Conn, error) {
	v.dials.Add(1)
	if v.err != nil {
		return nil, v.err
	}
	return new(net.Dialer).DialContext(ctx, "tcp", address)
}

func (v *otherVM) ReportPause(net.Addr, string, time.Duration) {}

// TestRequestsThroughAnotherVM guards against requests that fail, run twice or wait for a connection of this VM each time while the VM has lost
// its paths to endpoints that another VM reaches, and against paths that are not used again after their return.
func TestRequestsThroughAnotherVM(t *testing.T) {
	for name, mode := range map[string]http1test.CutMode{"hang": http1test.Hang, "reset": http1test.Reset, "refuse": http1test.Refuse} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			requests := 0
			cut, other := http1test.NewCut(new(net.Dialer).DialContext), &otherVM{}
			var direct atomic.Int64
			dial := func(ctx context.Context, network, address string) (net.Conn, error) {
				direct.Add(1)
				return cut.DialContext(ctx, network, address)
			}
			h := counted(&requests, &mu, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/stream/" || r.URL.Path == "/once/" {
					shortStream(w, r)
					return
				}
				echo(w, r)
			})
			s := newSiteWith(t, []forward.Option{forward.WithDial(dial), forward.WithRelays(other)}, h, h, h)
			cut.Set(mode)
			for _, path := range []string{"/book/", "/once/", "/read/", "/stream/", "/book/", "/read/"} {
				mu.Lock()
				requests = 0
				mu.Unlock()
				got, err := s.do("POST", path, "body")
				if err != nil || got.Status != http.StatusOK {
					t.Fatalf("%s: status %d, error %v\n%s", path, got.Status, err, s.logs.text())
				}
				mu.Lock()
				if requests != 1 {
					t.Errorf("%s reached endpoints %d times", path, requests)
				}
				mu.Unlock()
			}
			if got := direct.Load(); got > 4 {
				t.Errorf("this VM tried %d connections of its own for six requests, want at most one for each of the three endpoints and one more", got)
			}
			if got := s.fleet.LostPaths(); got != 3 {
				t.Errorf("%d paths count as lost, want 3", got)
			}
			cut.Set(http1test.Open)
			for range 4 { // probes of one endpoint, and then of the others
				s.handler.ProbePaths(context.Background())
			}
			relayed := other.dials.Load()
			for range 6 {
				if got, err := s.do("POST", "/book/", "body"); err != nil || got.Status != http.StatusOK {
					t.Errorf("after the cut: status %d, error %v", got.Status, err)
				}
			}
			if diff := cmp.Diff([]int64{0, relayed}, []int64{int64(s.fleet.LostPaths()), other.dials.Load()}); diff != "" {
				t.Errorf("lost paths and relayed connections after the cut (-want +got):\n%s", diff)
			}
		})
	}
}

// TestNoOtherVMReachesTheEndpoints guards against requests that wait, or a VM that stays ready, while no VM reaches the endpoints.
func TestNoOtherVMReachesTheEndpoints(t *testing.T) {
	cut := http1test.NewCut(new(net.Dialer).DialContext)
	s := newSiteWith(t, []forward.Option{forward.WithDial(cut.DialContext), forward.WithRelays(&otherVM{err: syscall.ETIMEDOUT})}, echo, echo)
	cut.Set(http1test.Hang)
	for range 3 {
		began := time.Now()
		got, err := s.do("POST", "/book/", "body")
		if err != nil || got.Status != http.StatusServiceUnavailable || !got.Retry {
			t.Errorf("status %d, retry time %t, error %v, want 503 with a retry time", got.Status, got.Retry, err)
		}
		if d := time.Since(began); d > 2*time.Second {
			t.Errorf("refused after %v, later than the time limit of 2 s", d)
		}
	}
	if !s.fleet.Isolated() || !s.fleet.CutOff() {
		t.Errorf("isolated %t, cut off %t, want both", s.fleet.Isolated(), s.fleet.CutOff())
	}
}

// TestEndThatOnlyThisVMSees guards against evidence for a quarantine from an engine whose connections to this VM alone are reset and refused.
func TestEndThatOnlyThisVMSees(t *testing.T) {
	q := endpoint.NewQuarantine()
	cut := http1test.NewCut(new(net.Dialer).DialContext)
	engine := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerID, r.Header.Get(headerID))
		w.Header().Set(headerAuthentic, "1")
		fmt.Fprint(w, "id: 1\ndata: x\n\n")
		_ = http.NewResponseController(w).Flush()
		cut.Set(http1test.Reset)
		<-r.Context().Done()
	}
	s := newSiteWith(t, []forward.Option{forward.WithQuarantine(q, &trials{}), forward.WithDial(cut.DialContext), forward.WithRelays(&otherVM{})}, engine)
	if got, err := s.do("POST", "/once/", "", headerPart, "sound"); err == nil && got.Status == http.StatusOK {
		t.Error("the stream did not break off")
	}
	s.handler.Close() // waits for the probe of the engine
	if reports := q.TakeReports(false); len(reports.Suspects) > 0 {
		t.Errorf("evidence was reported: %+v\n%s", reports.Suspects, s.logs.text())
	}
}
