package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"goldcrestpath/platform/platformtest"
)

const (
	crashingPart     = "dead01"
	crashDelay       = 30 * time.Millisecond // from the request to the end of its engine
	engineDownFor    = time.Second
	stabilityWindow  = 3 * time.Second
	crashRunLength   = 10 * time.Second
	crashingInterval = 400 * time.Millisecond
)

// crashingEngine is a stand-in for an engine whose process ends when it answers a prompt with crashingPart. It passes other requests on to an
// endpoint.
type crashingEngine struct {
	address, upstream string
	inHead            func() bool // whether the end comes before the whole head of the answer is out

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	ends     []time.Time
	received []time.Time // prompts with crashingPart
}

// listen accepts connections until the engine ends.
func (e *crashingEngine) listen() error {
	l, err := net.Listen("tcp4", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.address, e.listener, e.conns = l.Addr().String(), l, map[net.Conn]bool{}
	e.mu.Unlock()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns[conn] = true
			e.mu.Unlock()
			go e.serve(conn)
		}
	}()
	return nil
}

// end ends the engine's process, which starts again after engineDownFor.
func (e *crashingEngine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.listener == nil {
		return
	}
	e.ends = append(e.ends, time.Now())
	e.listener.Close()
	for conn := range e.conns {
		conn.Close()
	}
	e.listener = nil
	time.AfterFunc(engineDownFor, func() {
		if err := e.listen(); err != nil {
			panic(err)
		}
	})
}

// serve handles the single request of a connection.
func (e *crashingEngine) serve(conn net.Conn) {
	defer conn.Close()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if strings.Contains(req.Header.Get(platformtest.PartsHeader), crashingPart+":") {
		e.mu.Lock()
		e.received = append(e.received, time.Now())
		e.mu.Unlock()
		time.Sleep(crashDelay)
		_ = platformtest.WriteHead(conn, req, e.inHead()) // the connection ends in any case
		time.Sleep(crashDelay)
		e.end()
		return
	}
	up, err := net.Dial("tcp4", e.upstream)
	if err != nil {
		return
	}
	defer up.Close()
	req.Close = true
	if req.Write(up) == nil {
		_, _ = io.Copy(conn, up)
	}
}

// TestPartThatCrashesEngines guards against prompts with a part that crashes engines and that several VMs pass on long after the fifth crash,
// also if the engines end inside the head of the answer while they answer other prompts, and after VMs have restarted.
func TestPartThatCrashesEngines(t *testing.T) {
	program := filepath.Join(t.TempDir(), "goldcrest")
	if out, err := exec.Command("go", "build", "-o", program, "goldcrestpath/cmd/goldcrest").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	for seed, inHead := range map[uint64]float64{9101: 1, 9102: 0.8, 9103: 0} {
		t.Run(fmt.Sprint(inHead, " of the ends inside the head"), func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			random := rand.New(rand.NewPCG(seed, 3))
			draw := func() bool {
				mu.Lock()
				defer mu.Unlock()
				return random.Float64() < inHead
			}
			testPartThatCrashesEngines(t, Config{Program: program, Dir: t.TempDir(), Seed: seed, VMs: 4}, draw)
		})
	}
}

func testPartThatCrashesEngines(t *testing.T, cfg Config, inHead func() bool) {
	b, err := newTestbed(cfg)
	if err != nil {
		t.Fatal(err)
	}
	defer b.close()
	var engines []*crashingEngine
	for i := range 10 {
		endpoint, err := platformtest.NewEndpoint(fmt.Sprint("e", i), service, fmt.Sprint("dc", i%2), "127.0.0.1:0", b.runLog, b.behaviour)
		if err != nil {
			t.Fatal(err)
		}
		defer endpoint.Close()
		e := &crashingEngine{address: "127.0.0.1:0", upstream: endpoint.Address, inHead: inHead}
		if err := e.listen(); err != nil {
			t.Fatal(err)
		}
		engines = append(engines, e)
		b.store.PublishEndpoint(endpoint, e.address, false)
	}
	if !b.awaitReady(startWithin) {
		t.Fatalf("the VMs are not ready within %v", startWithin)
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	served, sent := 0, 0
	send := func(v *vm, id, parts string) {
		clients.Go(func() {
			req, err := platformtest.NewRequest(b.callerAddress(v), host, "/stream/1", id, "key-0", "x")
			if err != nil {
				t.Error(err)
				return
			}
			req.Header.Set(platformtest.PartsHeader, parts+id+":4900")
			transport := &http.Transport{DisableKeepAlives: true}
			resp, err := transport.RoundTrip(req)
			ok := err == nil && resp.StatusCode == http.StatusOK
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
			mu.Lock()
			defer mu.Unlock()
			if sent++; ok && err == nil {
				served++
			}
		})
	}
	begin := time.Now()
	restarted := false
	next := begin.Add(time.Second)
	for n := 0; time.Since(begin) < crashRunLength; n++ {
		send(b.vms[n%len(b.vms)], fmt.Sprintf("%016x", n+1), "aa:40,")
		if now := time.Now(); now.After(next) {
			send(b.vms[n%len(b.vms)], fmt.Sprintf("%016x", 1<<32+n), "aa:40,"+crashingPart+":20,")
			next = next.Add(crashingInterval)
		}
		if !restarted && time.Since(begin) > crashRunLength/2 {
			restarted = true
			for _, v := range b.vms[:2] {
				b.signal(v, syscall.SIGKILL)
				if err := b.restart(v); err != nil {
					t.Fatal(err)
				}
			}
		}
		time.Sleep(15 * time.Millisecond)
	}
	clients.Wait()
	var ends, received []time.Time
	for _, e := range engines {
		e.mu.Lock()
		ends, received = append(ends, e.ends...), append(received, e.received...)
		e.mu.Unlock()
	}
	slices.SortFunc(ends, time.Time.Compare)
	if len(ends) == 0 {
		t.Fatal("no engine ended")
	}
	if len(ends) < 5 {
		t.Logf("%d ends of engines, %d of %d requests served", len(ends), served, sent)
		return
	}
	late := 0
	for _, at := range received {
		if at.Sub(ends[4]) > stabilityWindow {
			late++
		}
	}
	t.Logf("%d ends of engines, %d prompts received later than %v after the fifth, %d of %d requests served", len(ends), late, stabilityWindow, served, sent)
	if late > 3 {
		t.Errorf("%d prompts with the part were received later than %v after the fifth end, want at most 3", late, stabilityWindow)
	}
}
