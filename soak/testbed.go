package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/Shopify/toxiproxy"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"goldcrestpath/platform/platformtest"
)

const (
	service   = "desk"
	host      = "soak.test"
	stopGrace = 4 * time.Second // limit of a gateway for a graceful stop
)

// vm is one VM, which runs as a gateway process. Each VM has a loopback address of its own, because all VMs use the same ports.
type vm struct {
	name, ip     string
	storeProxy   *toxiproxy.Proxy
	settingsFile string
	pathsFile    string // states how its paths to the endpoints are cut

	mu          sync.Mutex
	cmd         *exec.Cmd
	done        chan struct{} // closed when the process has exited
	stableSince time.Time     // when the last fault on this VM ended or its process started
	boots       int           // number of process starts
	cutSince    time.Time     // when its paths to the endpoints were cut, zero while they are not
}

// proxiedEndpoint is one endpoint and the proxy through which VMs reach it.
type proxiedEndpoint struct {
	*platformtest.Endpoint
	proxy         *toxiproxy.Proxy
	drainingSince time.Time // when the drain was published; zero while the endpoint is ready
}

// testbed is the set of processes and servers of one soak run.
type testbed struct {
	cfg       Config
	dir       string
	store     *platformtest.Store
	runLog    *platformtest.RunLog
	endpoints []*proxiedEndpoint
	vms       []*vm
	timeline  *timeline

	mu                sync.Mutex
	random            *rand.Rand // selects the behaviour of endpoints and the distances of version numbers
	version           int
	extraRoutes       int                  // number of routes /r0/, /r1/ and so on, which faults add
	keys              []string             // API keys, oldest first, including revoked ones
	revokedAt         map[string]time.Time // by API key
	misbehaviourShare float64              // see baseMisbehaviourShare
}

// timeline writes the events of a run to a text file.
type timeline struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// add writes one line, which begins with the seconds since the start of the run.
func (t *timeline) add(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fmt.Fprintf(t.file, "%8.3f "+format+"\n", append([]any{time.Since(t.start).Seconds()}, args...)...)
}

// newTestbed starts the store, the endpoints, their proxies and the VMs, and publishes the first configuration. The ports and the
// addresses of the VMs depend on the seed.
func newTestbed(cfg Config) (*testbed, error) {
	logrus.SetLevel(logrus.PanicLevel) // silences the proxy library
	if err := os.MkdirAll(cfg.Dir, 0o755); err != nil {
		return nil, err
	}
	file, err := os.Create(filepath.Join(cfg.Dir, "timeline.txt"))
	if err != nil {
		return nil, err
	}
	b := &testbed{
		cfg: cfg, dir: cfg.Dir, store: platformtest.NewStore(), runLog: &platformtest.RunLog{}, revokedAt: map[string]time.Time{},
		random: rand.New(rand.NewPCG(cfg.Seed, 1)), timeline: &timeline{file: file, start: time.Now()}, keys: []string{"key-0", "key-1"},
	}
	storeAddress, err := startServer(b.store)
	if err != nil {
		return nil, err
	}
	for i := range cfg.Endpoints {
		e, err := platformtest.NewEndpoint(fmt.Sprint("e", i), service, fmt.Sprint("dc", i%2), "127.0.0.1:0", b.runLog, b.behaviour)
		if err != nil {
			return nil, err
		}
		p, err := newProxy(e.Address)
		if err != nil {
			return nil, err
		}
		proxied := &proxiedEndpoint{Endpoint: e, proxy: p}
		b.endpoints = append(b.endpoints, proxied)
		b.store.PublishEndpoint(proxied.Endpoint, p.Listen, false)
	}
	b.publishConfiguration()
	ports := 20000 + int(cfg.Seed%20000)
	for i := range cfg.VMs {
		v := &vm{name: fmt.Sprint("vm-", i), ip: fmt.Sprintf("127.0.%d.%d", 1+cfg.Seed%200, i+1)}
		if v.storeProxy, err = newProxy(storeAddress); err != nil {
			return nil, err
		}
		v.settingsFile, v.pathsFile = filepath.Join(b.dir, v.name+".ini"), filepath.Join(b.dir, v.name+".paths")
		text := fmt.Sprintf("[gateway]\nname = %s\ndataCentre = dc%d\nstore = %s\n[caller]\nlisten = %s:%d\nreadyListen = %s:%d\n[peer]\naddress = %s\nports = %d,%d\n[limits]\nstopGrace = %v\n",
			v.name, i%2, v.storeProxy.Listen, v.ip, ports, v.ip, ports+1, v.ip, ports+2, ports+9, stopGrace)
		if err := os.WriteFile(v.settingsFile, []byte(text), 0o644); err != nil {
			return nil, err
		}
		b.vms = append(b.vms, v)
		if err := b.start(v); err != nil {
			return nil, err
		}
	}
	return b, nil
}

func (b *testbed) callerAddress(v *vm) string {
	return fmt.Sprintf("%s:%d", v.ip, 20000+int(b.cfg.Seed%20000))
}

func (b *testbed) ready(v *vm) bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d%s", v.ip, 20001+int(b.cfg.Seed%20000), platformtest.ReadyPath))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func startServer(h http.Handler) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go http.Serve(l, h) //nolint:errcheck // ends with the process
	return l.Addr().String(), nil
}

func newProxy(upstream string) (*toxiproxy.Proxy, error) {
	p := toxiproxy.NewProxy()
	p.Listen, p.Upstream = "127.0.0.1:0", upstream
	return p, p.Start()
}

// behaviour selects how an endpoint treats its next request.
func (b *testbed) behaviour() platformtest.Behaviour {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.random.Float64() >= b.misbehaviourShare {
		return platformtest.Respond
	}
	return platformtest.Behaviour(1 + b.random.IntN(int(platformtest.Hang)))
}

// publishConfiguration publishes a new version of the configuration. The caller holds mu unless the testbed is still being started.
func (b *testbed) publishConfiguration() {
	b.version += 1 + b.random.IntN(5)
	c := platformtest.Configuration{
		Version: b.version, Host: host, Service: service, Customers: map[string][]string{},
		Routes: []platformtest.Route{{Name: "read", Idempotent: true}, {Name: "book"}, {Name: "stream", Stream: true}},
	}
	for i := range b.extraRoutes {
		c.Routes = append(c.Routes, platformtest.Route{Name: fmt.Sprint("r", i), Idempotent: true})
	}
	for i, key := range b.keys {
		if _, revoked := b.revokedAt[key]; !revoked {
			c.Customers[fmt.Sprint("team-", i)] = []string{key}
		}
	}
	b.store.PublishConfiguration(c)
	b.timeline.add("configuration %d: %d extra routes, %d keys revoked", b.version, b.extraRoutes, len(b.revokedAt))
}

// start starts the VM's process. Each boot writes a log file of its own.
func (b *testbed) start(v *vm) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	out, err := os.Create(filepath.Join(b.dir, fmt.Sprintf("%s-%d.log", v.name, v.boots)))
	if err != nil {
		return err
	}
	v.boots++
	args := []string{"serve", "--settings", v.settingsFile}
	if b.cfg.Cuts {
		args = []string{"soak-vm", "--settings", v.settingsFile, "--paths", v.pathsFile}
	}
	cmd := exec.Command(b.cfg.Program, args...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start "+v.name)
	}
	done := make(chan struct{})
	go func() {
		err := cmd.Wait()
		b.timeline.add("%s exited: %v", v.name, err)
		out.Close()
		close(done)
	}()
	v.cmd, v.done, v.stableSince = cmd, done, time.Now()
	b.timeline.add("%s started as process %d", v.name, cmd.Process.Pid)
	return nil
}

// signal sends a signal to the VM's process unless it has exited.
func (b *testbed) signal(v *vm, sig syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	select {
	case <-v.done:
	default:
		b.timeline.add("%s gets %v", v.name, sig)
		if err := v.cmd.Process.Signal(sig); err != nil {
			b.timeline.add("%s: %v", v.name, err)
		}
	}
}

// restart waits until the VM's process exits and starts it again.
func (b *testbed) restart(v *vm) error {
	v.mu.Lock()
	done := v.done
	v.mu.Unlock()
	<-done
	return b.start(v)
}

// markFaultEnd records that a fault on the VM has just ended.
func (v *vm) markFaultEnd() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.stableSince = time.Now()
}

// bootState returns the number of the current boot and how long the VM has been free of faults.
func (v *vm) bootState() (int, time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.boots, time.Since(v.stableSince)
}

// setCutSince records when the paths of the VM were cut, or that they are not.
func (v *vm) setCutSince(t time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cutSince = t
}

// cutFor returns for how long the paths of the VM have been cut, 0 if they are not.
func (v *vm) cutFor(now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cutSince.IsZero() {
		return 0
	}
	return now.Sub(v.cutSince)
}

func (b *testbed) close() {
	for _, v := range b.vms {
		b.signal(v, syscall.SIGKILL)
		<-v.done
		v.storeProxy.Stop()
	}
	for _, e := range b.endpoints {
		e.Close()
		e.proxy.Stop()
	}
	b.timeline.file.Close()
}
