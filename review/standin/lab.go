package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"goldcrestpath/platform/platformtest"
)

// Bounds of the deployment, as in the sheet of bmhc-tentline.
const (
	stabilityWindow = 3 * time.Second
	drainDelay      = 2 * time.Second
	stopGrace       = 8 * time.Second
	lossSlack       = 200 * time.Millisecond
	heartbeat       = 1200 * time.Millisecond
	coldFactor      = 1.5
	coldSlack       = 5
)

// Names of the deployment.
const (
	hostName = "desk.example"
	apiKey   = "key-1"
	customer = "deskTeam"
)

// zones are the data centres. VMs and workers are spread over them in turn.
var zones = []string{"portland", "st-thomas", "kingston"}

// lab is one deployment with its stand-ins.
type lab struct {
	dir    string // temporary folder
	root   string // root of the repository
	start  time.Time
	store  *platformtest.Store
	reads  chan time.Time // times of reads of the workers' entries; dropped if nobody waits
	server *http.Server
	addr   string // address of the store
	vms    []*vm

	mu     sync.Mutex
	record *os.File
}

// newLab starts the store and opens the record.
func newLab(record string) (*lab, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	l := &lab{dir: dir, root: root, start: time.Now(), store: platformtest.NewStore(), record: f, reads: make(chan time.Time)}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l.addr = listener.Addr().String()
	l.server = &http.Server{Handler: http.HandlerFunc(l.serveStore)}
	go l.server.Serve(listener) //nolint:errcheck // returns after Close
	return l, nil
}

// serveStore answers a call to the store and reports reads of the workers' entries.
func (l *lab) serveStore(w http.ResponseWriter, r *http.Request) {
	l.store.ServeHTTP(w, r)
	if r.URL.Path == "/log-read" && r.URL.Query().Get("topic") == "keyed.servers" {
		select {
		case l.reads <- time.Now():
		default:
		}
	}
}

// note writes a line to the record.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f "+format+"\n", append([]any{time.Since(l.start).Seconds()}, args...)...)
}

// close ends all processes and removes the temporary folder.
func (l *lab) close() {
	for _, v := range l.vms {
		v.kill()
	}
	l.server.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(l.dir)
	} else {
		l.note("kept %s", l.dir)
	}
	l.record.Close()
}

// route is a route of the configuration, whose path prefix is its name between slashes.
type route struct {
	name, kind, service       string
	timeout, target, gapLimit time.Duration
	attempts                  int
}

// publish writes a configuration with the routes and the given services.
func (l *lab) publish(routes []route, services []map[string]any) error {
	var list []map[string]any
	for _, r := range routes {
		prefix := "/"
		if r.name != "" {
			prefix = "/" + r.name + "/"
		}
		list = append(list, map[string]any{
			"name": "r-" + r.name, "host": hostName, "pathPrefix": prefix, "kind": r.kind, "service": r.service, "attempts": r.attempts,
			"timeoutMs": r.timeout.Milliseconds(), "latencyGoalMs": r.target.Milliseconds(), "gapTargetMs": r.gapLimit.Milliseconds(),
			"priority": 1, "public": false, "sticky": r.kind == "streaming", "resumable": r.kind == "streaming",
		})
	}
	data, err := json.Marshal(map[string]any{
		"version": 7, "routes": list, "services": services, "tenants": []map[string]any{{"name": customer, "apiKeys": []string{apiKey}, "priority": 1}},
		"limits": map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		return err
	}
	l.store.Put("keyed.op", "config", data)
	return nil
}

// engineService returns the configuration of a service of engines with the figures of bmhc-tentline.
func engineService(name string) map[string]any {
	return map[string]any{
		"name": name, "healthPath": "/health", "connectionLimit": 314, "coldStartS": 3.0, "coldPerS": 26.0,
		"engine": map[string]any{
			"slots": engineSlots, "kvCacheTokens": 315000, "stride": 51, "step_ms": 0.85, "per_seq_ms": 0.00425, "context_per_k": 0.00285,
			"read_per_s": 177000.0, "pairs_per_m": 0.184, "chunk": 2048, "report_lag_ms": 200.0, "hopMs": 0.05,
		},
	}
}

// vm is one entry VM.
type vm struct {
	l        *lab
	name, ip string
	port     int // of callers; the next one answers readiness checks
	settings string
	cmd      *exec.Cmd
	exited   chan struct{}
}

// startVMs starts n entry VMs and waits until all are ready.
func (l *lab) startVMs(n int) error {
	template, err := os.ReadFile(filepath.Join(l.root, "deploy", "settings.ini"))
	if err != nil {
		return err
	}
	network, port := 1+rand.IntN(250), 20000+rand.IntN(10000)
	for i := range n {
		v := &vm{l: l, name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], i/len(zones)+1), ip: fmt.Sprintf("127.%d.%d.%d", network, i%len(zones)+1, i/len(zones)+40), port: port}
		v.settings = filepath.Join(l.dir, v.name+".ini")
		if err := os.WriteFile(v.settings, []byte(v.fill(string(template), zones[i%len(zones)])), 0o644); err != nil {
			return err
		}
		l.vms = append(l.vms, v)
		if err := v.start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, v := range l.vms {
		for !v.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", v.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	l.note("%d VMs are ready", n)
	time.Sleep(stabilityWindow) // the VMs get to know each other, and are in touch
	return nil
}

// fill replaces the placeholders of the settings template.
func (v *vm) fill(template, zone string) string {
	return strings.NewReplacer(
		"{{node}}", v.name, "{{zone}}", zone, "{{platform.address}}", v.l.addr, "{{ipAddress}}", v.ip,
		"{{listen.frontend}}", v.address(), "{{listen.readiness}}", net.JoinHostPort(v.ip, strconv.Itoa(v.port+1)),
		"{{internalPorts}}", fmt.Sprintf("%d,%d", v.port+2, v.port+17), "{{limits.memoryMb}}", "284", "{{limits.linkMbps}}", "1000.0",
		"{{bounds.configurationMs}}", "2000", "{{bounds.drainMs}}", strconv.Itoa(int(drainDelay.Milliseconds())), "{{bounds.graceS}}", strconv.Itoa(int(stopGrace.Seconds())),
		"{{bounds.retryBudgetRatio}}", "0.2", "{{bounds.budgetExtraRetries}}", "106", "{{bounds.budgetWindowS}}", "10", "{{bounds.holdMaxMs}}", "20000",
		"{{bounds.freeMs}}", "4000", "{{bounds.coldOverloadFactor}}", "1.5", "{{bounds.coldSlack}}", "5",
	).Replace(template)
}

// start starts the process with the command of deploy/system.toml.
func (v *vm) start() error {
	out, err := os.OpenFile(filepath.Join(v.l.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	v.cmd = exec.Command("target/goldcrest", "serve")
	v.cmd.Dir = v.l.root
	v.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GOLDCRESTPATH_SETTINGS=" + v.settings}
	v.cmd.Stdout, v.cmd.Stderr = out, out
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	v.exited = exited
	cmd := v.cmd
	go func() {
		defer close(exited)
		err := cmd.Wait()
		v.l.note("%s ended: %v", v.name, err)
	}()
	return nil
}

// address returns the address for callers.
func (v *vm) address() string { return net.JoinHostPort(v.ip, strconv.Itoa(v.port)) }

// ready reports whether the VM answers a readiness check with 200.
func (v *vm) ready() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get("http://" + net.JoinHostPort(v.ip, strconv.Itoa(v.port+1)) + platformtest.ReadyPath)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// signal sends a signal to the process.
func (v *vm) signal(s syscall.Signal) error {
	v.l.note("%v to %s", s, v.name)
	return v.cmd.Process.Signal(s)
}

// kill ends the process and waits for it.
func (v *vm) kill() {
	if v.exited == nil {
		return
	}
	_ = v.cmd.Process.Signal(syscall.SIGCONT)
	_ = v.cmd.Process.Kill()
	<-v.exited
}

// call is one request of a caller.
type call struct {
	id, method, path string
	header           map[string]string
	body             string
	timeLimit        time.Duration
}

// answer is what the caller got.
type answer struct {
	status         int
	body           string
	complete       bool // the whole answer arrived
	err            error
	sentAt, endsAt time.Time
}

var lastID struct {
	sync.Mutex
	n int
}

// newID returns the ID of an attempt.
func newID() string {
	lastID.Lock()
	defer lastID.Unlock()
	lastID.n++
	return fmt.Sprintf("%016x", 0x9c41d07b00000000+uint64(lastID.n))
}

// send sends a request to a VM on a new connection and reads the answer. The path is sent as it is.
func (v *vm) send(c call) answer {
	a := answer{sentAt: time.Now()}
	defer func() { a.endsAt = time.Now() }()
	conn, err := net.DialTimeout("tcp4", v.address(), time.Second)
	if err != nil {
		a.err = err
		a.endsAt = time.Now()
		return a
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(c.timeLimit + time.Second))
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Remaining: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n",
		c.method, c.path, hostName, c.id, c.timeLimit.Milliseconds(), apiKey, len(c.body))
	for name, value := range c.header {
		fmt.Fprintf(&head, "%s: %s\r\n", name, value)
	}
	head.WriteString("\r\n" + c.body)
	if _, a.err = conn.Write(head.Bytes()); a.err != nil {
		a.endsAt = time.Now()
		return a
	}
	a.sentAt = time.Now()
	a.status, a.body, a.err = readAnswer(conn)
	a.complete = a.err == nil
	a.endsAt = time.Now()
	return a
}

// readAnswer reads one response with its body.
func readAnswer(r io.Reader) (int, string, error) {
	resp, err := http.ReadResponse(newReader(r), nil)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}
