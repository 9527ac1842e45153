package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"goldcrestpath/platform/platformtest"
)

// Figures of the site bmhc-tentline.
const (
	beatInterval = 1200 * time.Millisecond // heartbeatMs
	expiry       = 3 * beatInterval        // an entry is removed after three intervals of silence
	stability    = 3 * time.Second         // stabilityWindowMs
)

const (
	host = "desk.example"
	key  = "key-of-the-desk"
)

// bed is one small deployment: the store, the workers and the VMs of the project.
type bed struct {
	start  time.Time
	record *os.File
	dir    string // temporary folder with the settings
	store  *platformtest.Store
	vms    []*vm

	mu      sync.Mutex // guards the record and the workers' state
	workers []*worker
	stop    chan struct{}
}

// newBed starts the store, publishes the configuration and starts n VMs.
func newBed(folder string, n int, configuration map[string]any) (*bed, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	b := &bed{start: time.Now(), record: record, dir: dir, store: platformtest.NewStore(), stop: make(chan struct{})}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(l, b.store) }()
	data, err := json.Marshal(configuration)
	if err != nil {
		return nil, err
	}
	b.store.Put("keyed.op", "config", data)
	zones := []string{"portland", "st-thomas", "kingston"}
	for i := range n {
		v, err := b.newVM(i, zones[i%len(zones)], l.Addr().String())
		if err != nil {
			return b, err
		}
		b.vms = append(b.vms, v)
		if err := v.run(); err != nil {
			return b, err
		}
	}
	go b.beat()
	return b, nil
}

// logf writes a line to the record.
func (b *bed) logf(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%8.3f "+format+"\n", append([]any{time.Since(b.start).Seconds()}, args...)...)
}

// close ends all processes that the bed started.
func (b *bed) close() {
	close(b.stop)
	for _, v := range b.vms {
		v.kill()
	}
	b.record.Close()
	os.RemoveAll(b.dir)
}

// vm is one process of the project.
type vm struct {
	name, address, ready string
	settings, log        string
	cmd                  *exec.Cmd
	done                 chan struct{}
}

// Ports of a VM, which has a loopback address of its own.
const (
	callerPort  = 8227
	readyPort   = 8220
	peerPorts   = "7340,7355"
	metricsPort = 9464
)

// freeAddress returns a loopback address at which nothing listens on the ports of a VM.
func freeAddress() (string, error) {
	for range 100 {
		ip := fmt.Sprintf("127.%d.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250), 1+rand.IntN(250))
		free := true
		for _, port := range []int{callerPort, readyPort, metricsPort, 7340} {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			return ip, nil
		}
	}
	return "", fmt.Errorf("no loopback address with free ports")
}

// newVM fills in the deployment's template of the settings.
func (b *bed) newVM(i int, zone, store string) (*vm, error) {
	ip, err := freeAddress()
	if err != nil {
		return nil, err
	}
	template, err := os.ReadFile("deploy/settings.ini")
	if err != nil {
		return nil, err
	}
	at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	v := &vm{name: fmt.Sprintf("front-%s-%d", zone, i+1), address: at(callerPort), ready: at(readyPort)}
	settings := strings.NewReplacer(
		"{{node}}", v.name, "{{zone}}", zone, "{{platform.address}}", store, "{{ipAddress}}", ip,
		"{{listen.frontend}}", at(callerPort), "{{listen.readiness}}", at(readyPort), "{{internalPorts}}", peerPorts,
		"{{limits.memoryMb}}", "284", "{{limits.linkMbps}}", "1000.0",
		"{{bounds.configurationMs}}", "2000", "{{bounds.drainMs}}", "2000", "{{bounds.graceS}}", "8",
		"{{bounds.retryBudgetRatio}}", "0.2", "{{bounds.budgetExtraRetries}}", "106", "{{bounds.budgetWindowS}}", "10",
		"{{bounds.holdMaxMs}}", "20000", "{{bounds.freeMs}}", "4000", "{{bounds.coldOverloadFactor}}", "1.5", "{{bounds.coldSlack}}", "5",
	).Replace(string(template))
	v.settings, v.log = filepath.Join(b.dir, v.name+".ini"), filepath.Join(b.dir, v.name+".log")
	return v, os.WriteFile(v.settings, []byte(settings), 0o644)
}

// run starts the process with the command of the deploy file.
func (v *vm) run() error {
	out, err := os.OpenFile(v.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command("target/goldcrest", "serve")
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = append(os.Environ(), "GOLDCRESTPATH_SETTINGS="+v.settings, "GOLDCREST_DESCRIPTORS=4100",
		"GOLDCREST_CONTRACTS=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,spans")
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	v.cmd, v.done = cmd, done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

// kill kills the process and waits for its end.
func (v *vm) kill() {
	if v.cmd != nil {
		_ = v.cmd.Process.Kill()
		<-v.done
	}
}

// awaitReady waits until all VMs are ready.
func (b *bed) awaitReady() error {
	deadline := time.Now().Add(20 * time.Second)
	for _, v := range b.vms {
		for {
			resp, err := http.Get("http://" + v.ready + "/readiness")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", v.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
