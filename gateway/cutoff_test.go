package gateway

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"goldcrestpath/http1"
	"goldcrestpath/http1/http1test"
	"goldcrestpath/operator"
	"goldcrestpath/platform/platformtest"
)

// cutSite is a deployment of gateways whose paths to the endpoints can be cut one by one.
type cutSite struct {
	t         *testing.T
	vms       []*cutVM
	endpoints int

	mu   sync.Mutex
	runs map[string]int // times that endpoints received a request, by its ID
}

// cutVM is a gateway and its path to the endpoints.
type cutVM struct {
	g       *Gateway
	cut     *http1test.Cut
	address string // of callers
}

// cutStabilityWindow is the time after the beginning of a cut from which callers of the VM must be served nearly as well as others.
const cutStabilityWindow = 3 * time.Second

// newCutSite starts gateways, a store and plain endpoints, and waits until the gateways are ready and know each other.
func newCutSite(t *testing.T, vms, endpoints int) *cutSite {
	t.Helper()
	s := &cutSite{t: t, endpoints: endpoints, runs: map[string]int{}}
	store := platformtest.NewStore()
	store.PublishConfiguration(platformtest.Configuration{
		Version: 1, Host: "cut.test", Service: "desk", Public: true, Attempts: 2, Timeout: 5 * time.Second, LatencyGoal: 300 * time.Millisecond,
		Routes: []platformtest.Route{{Name: "read", Idempotent: true}, {Name: "book"}, {Name: "stream", Stream: true}},
	})
	for i := range endpoints {
		worker := httptest.NewServer(http.HandlerFunc(s.serve))
		t.Cleanup(worker.Close)
		id := fmt.Sprint("e", i)
		store.PublishEndpoint(&platformtest.Endpoint{ID: id, Service: "desk", Zone: fmt.Sprint("dc", i%2), Slots: 8}, worker.Listener.Addr().String(), false)
	}
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	for i := range vms {
		s.vms = append(s.vms, s.start(fmt.Sprint("vm", i), fmt.Sprint("dc", i%2), storeServer.Listener.Addr().String()))
	}
	for _, v := range s.vms {
		s.await("the gateways are ready and know each other", func() bool {
			reaching, _ := v.g.exchange.Reach()
			return v.g.currentUnreadyReason() == "" && reaching == vms-1
		})
	}
	return s
}

// start starts a gateway at an unused loopback address.
func (s *cutSite) start(name, dataCentre, store string) *cutVM {
	s.t.Helper()
	v := &cutVM{cut: http1test.NewCut(http1.NewDialer(endpointDialTimeout).DialContext)}
	var err error
	for range 10 {
		ip, port := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250), 1+rand.IntN(250)), 20_000+rand.IntN(10_000)
		v.address = fmt.Sprintf("%s:%d", ip, port)
		file := filepath.Join(s.t.TempDir(), "settings.ini")
		text := fmt.Sprintf("[gateway]\nname = %s\ndataCentre = %s\nstore = %s\n[caller]\nlisten = %s\nreadyListen = %s:%d\n[peer]\naddress = %s\nports = %d,%d\n[limits]\nstopGrace = %v\n",
			name, dataCentre, store, v.address, ip, port+1, ip, port+2, port+9, testStopGrace)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			s.t.Fatal(err)
		}
		settings, loadErr := operator.LoadGatewaySettings(file)
		if loadErr != nil {
			s.t.Fatal(loadErr)
		}
		if v.g, err = New(settings, "test", io.Discard, WithDial(v.cut.DialContext)); err == nil {
			s.t.Cleanup(v.g.Close)
			return v
		}
	}
	s.t.Fatal(err)
	return nil
}

// serve answers at an endpoint: a stream of four events in 200 ms, or a short body.
func (s *cutSite) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := platformtest.MarkAnswer(w, r)
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	if !strings.HasPrefix(r.URL.Path, "/stream/") {
		_, _ = io.WriteString(w, "done")
		return
	}
	for i := 1; i <= 4; i++ {
		fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(50 * time.Millisecond)
	}
}

func (s *cutSite) await(condition string, ok func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(15 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			s.t.Fatalf("waiting until %s", condition)
		}
	}
}

// send sends a request on a connection and reports whether the whole answer, a success, arrived within the limit.
func (s *cutSite) send(conn net.Conn, r *bufio.Reader, path, id string, limit time.Duration) error {
	_ = conn.SetDeadline(time.Now().Add(limit))
	if err := platformtest.WriteRequest(conn, "cut.test", path, id, limit); err != nil {
		return err
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// tally counts requests.
type tally struct {
	served, sent int
	failures     []string // the first ones
}

// add counts a request that was sent at that time after the window began.
func (c *tally) add(at time.Duration, err error) {
	c.sent++
	switch {
	case err == nil:
		c.served++
	case len(c.failures) < 4:
		c.failures = append(c.failures, fmt.Sprintf("%.1f s after the window: %v", at.Seconds(), err))
	}
}

// load sends requests to a VM from some clients, each on a connection of its own that it keeps while it can, until the time given. It returns
// the tally of those sent from begin on, by path.
func (s *cutSite) load(v *cutVM, name string, begin, end time.Time) map[string]*tally {
	const clients, limit = 6, 2 * time.Second
	var mu sync.Mutex
	tallies := map[string]*tally{}
	var wg sync.WaitGroup
	for i := range clients {
		wg.Go(func() {
			var conn net.Conn
			var r *bufio.Reader
			path := []string{"/read/1", "/book/1", "/stream/1"}[i%3]
			for n := 0; time.Now().Before(end); n++ {
				at := time.Now()
				var err error
				if conn == nil {
					if conn, err = net.Dial("tcp4", v.address); err == nil {
						r = bufio.NewReader(conn)
					}
				}
				if err == nil {
					err = s.send(conn, r, path, fmt.Sprintf("%s-%d-%d", name, i, n), limit)
				}
				if err != nil && conn != nil {
					conn.Close()
					conn = nil
				}
				if !at.Before(begin) {
					mu.Lock()
					if tallies[path] == nil {
						tallies[path] = &tally{}
					}
					tallies[path].add(at.Sub(begin), err)
					mu.Unlock()
				}
				time.Sleep(20 * time.Millisecond)
			}
			if conn != nil {
				conn.Close()
			}
		})
	}
	wg.Wait()
	return tallies
}

// TestVMsCutOffFromEndpointsServe guards against VMs that cannot serve their callers while they have lost their paths to all endpoints,
// although other VMs have theirs. From the stability window on, they must serve at least two thirds of their requests
// on each route.
// No request that runs once may run twice.
func TestVMsCutOffFromEndpointsServe(t *testing.T) {
	for name, mode := range map[string]http1test.CutMode{"connections hang": http1test.Hang, "connections are reset": http1test.Reset, "new connections are refused": http1test.Refuse} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newCutSite(t, 4, 5)
			cut := s.vms[:2]
			begin := time.Now()
			var wg sync.WaitGroup
			for i, v := range cut {
				wg.Go(func() {
					tallies := s.load(v, fmt.Sprint(name, i), begin.Add(500*time.Millisecond+cutStabilityWindow), begin.Add(7*time.Second))
					for path, c := range tallies {
						if 3*c.served < 2*c.sent {
							t.Errorf("VM %d served %d of %d requests for %s; failures: %s", i, c.served, c.sent, path, strings.Join(c.failures, "; "))
						}
					}
					if len(tallies) < 3 {
						t.Errorf("VM %d got requests for %d paths, want 3", i, len(tallies))
					}
				})
			}
			time.Sleep(500 * time.Millisecond) // connections to endpoints are open by then
			for _, v := range cut {
				v.cut.Set(mode)
			}
			wg.Wait()
			s.mu.Lock()
			defer s.mu.Unlock()
			for id, runs := range s.runs {
				if strings.Contains(id, "-1-") && runs > 1 || strings.Contains(id, "-4-") && runs > 1 {
					t.Errorf("request %s, which runs once, reached endpoints %d times", id, runs)
				}
			}
		})
	}
}
